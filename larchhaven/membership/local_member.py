"""Incarnation and state of the local member, and its refutations of updates from others."""

from __future__ import annotations

from larchhaven.membership.context import ProtocolContext
from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.local_health import LocalHealth
from larchhaven.membership.member import (
    MAX_INCARNATION,
    NO_STAMP,
    Member,
    MemberInfo,
    MemberState,
    make_stamp,
    stamp_incarnation,
    stamp_state,
)
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.messages import InfoUpdate, StateUpdate
from larchhaven.membership.update_queue import UpdateQueue


class LocalMember:
    """Owns the incarnation, state and info of the local member.

    Args:
        context: Objects that all components of the protocol share.
        info: The info that it announces.
        first_incarnation: The smallest incarnation to join with.
        table: The member table.
        queue: Receives the updates to be sent to others.
        health: Degraded by each refuted suspicion.

    Attributes:
        info: The info that it announces.
        stamp: Its incarnation and state; ``NO_STAMP`` before it has joined.
    """

    def __init__(
        self,
        context: ProtocolContext,
        info: MemberInfo,
        first_incarnation: int,
        *,
        table: MemberTable,
        queue: UpdateQueue,
        health: LocalHealth,
    ) -> None:
        self.info = info
        self.stamp = NO_STAMP
        self._first_incarnation = min(max(first_incarnation, 1), MAX_INCARNATION)
        self._table = table
        self._queue = queue
        self._health = health
        self._batch = context.batch
        self._counters = context.counters

    @property
    def has_joined(self) -> bool:
        """Whether it has taken an incarnation and announced it."""
        return self.stamp != NO_STAMP

    @property
    def incarnation(self) -> int:
        """Its incarnation, or before it has joined the smallest one to join with."""
        return stamp_incarnation(self.stamp) or self._first_incarnation

    def join(self) -> None:
        """Take an incarnation above the last one that others remember, and announce it."""
        remembered = self._table.get(self._table.own_number)
        next_incarnation = remembered.incarnation + 1 if remembered is not None else 0
        incarnation = min(max(self._first_incarnation, next_incarnation), MAX_INCARNATION)
        self._announce_info(make_stamp(incarnation, MemberState.ALIVE))

    def leave(self) -> None:
        """Announce a planned stop."""
        if self.has_joined and stamp_state(self.stamp) is MemberState.ALIVE:
            self._announce(make_stamp(self.incarnation, MemberState.LEFT))

    def apply_state(self, update: StateUpdate) -> None:
        """Apply an update about the local member.

        It is stored before the join. After the join it is refuted with a larger incarnation if it
        overrides the local stamp.
        """
        if not self.has_joined:
            self._store_before_join(update)
            return
        update_incarnation = stamp_incarnation(update.stamp)
        if update.stamp <= self.stamp or update_incarnation >= MAX_INCARNATION:
            return
        if update_incarnation == self.incarnation:
            self._counters[ProtocolCounter.REFUTATIONS] += 1
            self._health.degrade()
        self._announce(make_stamp(update_incarnation + 1, stamp_state(self.stamp)))

    def apply_info(self, update: InfoUpdate) -> None:
        """Refute the info of another process with the same number, unless the info is older."""
        own = self._table.get(self._table.own_number)
        if own is None or not self.has_joined:
            return
        if update.incarnation < own.info_incarnation or update.info == self.info:
            return
        next_incarnation = min(max(update.incarnation, self.incarnation) + 1, MAX_INCARNATION)
        self._announce_info(make_stamp(next_incarnation, stamp_state(self.stamp)))

    def _store_before_join(self, update: StateUpdate) -> None:
        own_number = self._table.own_number
        remembered = self._table.get(own_number)
        if remembered is None or update.stamp > remembered.stamp:
            self._table.put(Member(own_number, update.stamp, self._batch.now_us), quiet=True)

    def _announce(self, stamp: int) -> None:
        own = self._table.get(self._table.own_number)
        info_incarnation = stamp_incarnation(stamp) if own is None else own.info_incarnation
        self._set_stamp(stamp, info_incarnation)

    def _announce_info(self, stamp: int) -> None:
        """Announce a stamp, and the info with the incarnation of the stamp."""
        self._set_stamp(stamp, stamp_incarnation(stamp))
        self._queue.add_info(self._table.own_number)

    def _set_stamp(self, stamp: int, info_incarnation: int) -> None:
        number = self._table.own_number
        self.stamp = stamp
        self._table.put(Member(number, stamp, self._batch.now_us, (), self.info, info_incarnation))
        self._queue.add_state(StateUpdate(number, stamp))
