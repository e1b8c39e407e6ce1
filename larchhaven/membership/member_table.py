"""Owns the current view of the fleet, its digests and the list of present peers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import lru_cache
from hashlib import blake2b

from larchhaven.membership.actions import ActionBatch
from larchhaven.membership.member import Member, MemberInfo, MemberState, info_sort_key
from larchhaven.membership.messages import DIGEST_BUCKETS
from larchhaven.membership.view import MemberChanged, MembershipView

_DIGEST_SIZE_BYTES = 4


class MemberTable:
    """The current view of the fleet; each change creates a new view with the next version.

    Args:
        own_number: The local member's index in the peer table.
        size: Number of entries in the peer table.
        batch: Receives a ``MemberChanged`` for each change.

    Attributes:
        view: The current view.
        peers: All numbers except the local member's, in ascending order.
    """

    def __init__(self, own_number: int, size: int, batch: ActionBatch) -> None:
        self.own_number = own_number
        self.size = size
        self.view = MembershipView(own_number, size)
        self.peers = [number for number in range(size) if number != own_number]
        self._batch = batch
        self._present_peers: list[int] | None = None  # None: not computed yet
        self._stamp_digests = [0] * DIGEST_BUCKETS
        self._info_digests = [0] * DIGEST_BUCKETS

    def get(self, number: int) -> Member | None:
        """Return the record of a member, or None if there is none."""
        return self.view.members.get(number)

    def put(self, member: Member, *, quiet: bool = False) -> None:
        """Replace the record of a member, and report the change unless ``quiet``."""
        number = member.number
        previous = self.view.get(number)
        self._update_digests(previous, member)
        if previous is None or previous.is_present != member.is_present:
            self._present_peers = None
        view = self.view
        members = view.members.insert(number, member)
        self.view = replace(view, version=view.version + 1, members=members)
        if quiet:
            return
        self._batch.append(
            MemberChanged(
                self._batch.now_us, self._notified_state(previous), member, self.view.version
            )
        )

    def set_synchronized(self, is_synchronized: bool) -> None:
        """Set whether another member has confirmed the view, without a new version."""
        if self.view.is_synchronized != is_synchronized:
            self.view = replace(self.view, is_synchronized=is_synchronized)

    def present_peers(self) -> list[int]:
        """Return the present peers in ascending order; callers must not modify the list."""
        if self._present_peers is None:
            present = self.view.present_members()
            numbers = (member.number for member in present)
            self._present_peers = sorted(n for n in numbers if n != self.own_number)
        return self._present_peers

    def absent_peers(self) -> list[int]:
        """Return the peers that are dead, have left or have no record, in ascending order."""
        present = set(self.present_peers())
        return [number for number in self.peers if number not in present]

    def digests(self) -> tuple[int, ...]:
        """Return the stamp digests of all buckets, followed by their info digests.

        The digests of a bucket are equal at two members that have the same records in it.
        """
        return (*self._stamp_digests, *self._info_digests)

    def _notified_state(self, previous: Member | None) -> MemberState | None:
        """Return the last state that a ``MemberChanged`` reported, or None."""
        if previous is None:
            return None
        if previous.number == self.own_number and previous.info is None:
            return None  # stored before the local member joined, without a report
        return previous.state

    def _update_digests(self, previous: Member | None, member: Member) -> None:
        bucket = member.number % DIGEST_BUCKETS
        versions: Iterable[Member] = (member,) if previous is None else (previous, member)
        for version in versions:
            self._stamp_digests[bucket] ^= _digest(version.number, version.stamp)
            self._info_digests[bucket] ^= _digest(
                version.number, version.info_incarnation, version.info
            )


@lru_cache(maxsize=512)
def _digest(number: int, stamp_or_incarnation: int, info: MemberInfo | None = None) -> int:
    data = f"{number} {stamp_or_incarnation} {info_sort_key(info)}".encode()
    return int.from_bytes(blake2b(data, digest_size=_DIGEST_SIZE_BYTES).digest(), "big")
