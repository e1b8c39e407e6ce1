"""Who stands for a key: rendezvous over the living, spread over zones.

Each proxy ranks the living by a hash of key and number (Thaler, Ravishankar 1998): all whose views are the
same choose the same ones, and a death moves only what the dead one stood for. The ranks are then taken zone
by zone, so that a lost zone takes one of several with it. Accused members still stand: an accusation is
often wrong.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from larchhaven.membership.member import Member, View


def weight(key: bytes, number: int) -> int:
    """Return what a member's claim to a key weighs; the same in every process."""
    data = number.to_bytes(2, "big") + key
    return int.from_bytes(blake2b(data, digest_size=8, person=b"larchhaven-place").digest(), "big")


def neighbours(view: View, key: bytes, many: int, besides: Iterable[int] = ()) -> list[int]:
    """Choose members for a key, the first to be asked first.

    Args:
        view: Who is there.
        key: What they stand for.
        many: How many are wanted; fewer are chosen where fewer live.
        besides: Numbers that are not to be chosen, such as the own one.

    """
    left_out = set(besides)
    ranked = sorted(
        (member for member in view.here() if member.number not in left_out),
        key=lambda member: weight(key, member.number),
        reverse=True,
    )
    chosen: list[Member] = []
    while ranked and len(chosen) < many:
        zones = set[int]()
        rest = []
        for member in ranked:
            zone = member.about.zone if member.about is not None else -1
            if zone in zones or len(chosen) >= many:
                rest.append(member)
            else:
                zones.add(zone)
                chosen.append(member)
        ranked = rest
    return [member.number for member in chosen]
