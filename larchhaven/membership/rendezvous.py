"""Rendezvous hashing: chooses the present members responsible for a key, spread over zones.

Each proxy ranks the present members by a hash of key and number (Thaler, Ravishankar 1998).
Members with equal views choose the same ones, and a death moves only the keys of the dead member.
The best member of each zone is chosen before the second best of any, so that the loss of a zone
affects as few of the chosen members as possible. Suspected members remain responsible, because
suspicions are often wrong.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from larchhaven.membership.member import Member
from larchhaven.membership.view import MembershipView

_UNKNOWN_ZONE = -1
_WEIGHT_BYTES = 8
_NUMBER_BYTES = 2
_WEIGHT_PERSONALIZATION = b"larchhaven-place"


def rendezvous_weight(key: bytes, number: int) -> int:
    """Return the weight of a member for a key; it is the same in every process."""
    data = number.to_bytes(_NUMBER_BYTES, "big") + key
    digest = blake2b(data, digest_size=_WEIGHT_BYTES, person=_WEIGHT_PERSONALIZATION).digest()
    return int.from_bytes(digest, "big")


def choose_members(
    view: MembershipView, key: bytes, count: int, excluded: Iterable[int] = ()
) -> list[int]:
    """Choose members for a key.

    Args:
        view: The view with the present members.
        key: The key that they are responsible for.
        count: Number of members to choose; fewer are chosen if fewer are present.
        excluded: Numbers that must not be chosen, such as the local member's.

    Returns:
        The numbers of the chosen members, in order of responsibility.
    """
    excluded_numbers = set(excluded)
    candidates = sorted(
        (member for member in view.present_members() if member.number not in excluded_numbers),
        key=lambda member: rendezvous_weight(key, member.number),
        reverse=True,
    )
    chosen: list[int] = []
    while candidates and len(chosen) < count:
        winners = _best_of_each_zone(candidates)[: count - len(chosen)]
        chosen += [member.number for member in winners]
        candidates = [member for member in candidates if member.number not in chosen]
    return chosen


def _best_of_each_zone(ranked: list[Member]) -> list[Member]:
    """Return the first member of each zone, in the order of the ranking."""
    best: dict[int, Member] = {}
    for member in ranked:
        zone = member.info.zone if member.info is not None else _UNKNOWN_ZONE
        best.setdefault(zone, member)
    return list(best.values())
