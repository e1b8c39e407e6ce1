"""Merges received updates into the member table: the larger stamp wins."""

from __future__ import annotations

from dataclasses import replace

from larchhaven.membership.context import ProtocolContext
from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.local_member import LocalMember
from larchhaven.membership.member import (
    Member,
    MemberInfo,
    MemberState,
    info_sort_key,
    make_stamp,
    stamp_incarnation,
    stamp_state,
)
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.messages import NO_MEMBER, InfoUpdate, Message, StateUpdate
from larchhaven.membership.probe_order import ProbeOrder
from larchhaven.membership.suspicion import SuspicionTable
from larchhaven.membership.update_queue import UpdateQueue

# On average this many members per required confirmation probe a new suspect next. In their random
# probe order it could take seconds until enough members probe it to confirm the suspicion.
_PROBERS_PER_CONFIRMATION = 2


class UpdateMerger:
    """Applies updates to the member table, and queues new ones for others.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        queue: Receives the updates to be sent to others.
        local: Receives the updates about the local member.
        suspicions: The suspicions that updates begin and end.
        probe_order: Decides which member is probed next.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        queue: UpdateQueue,
        local: LocalMember,
        suspicions: SuspicionTable,
        probe_order: ProbeOrder,
    ) -> None:
        self._table = table
        self._queue = queue
        self._local = local
        self._suspicions = suspicions
        self._probe_order = probe_order
        self._rng = context.rng
        self._wanted_probers = _PROBERS_PER_CONFIRMATION * context.config.suspicion_confirmations
        self._batch = context.batch
        self._counters = context.counters

    def apply_all(self, message: Message) -> None:
        """Apply the updates of a message."""
        for state_update in message.state_updates:
            self.apply_state(state_update)
        for info_update in message.info_updates:
            self.apply_info(info_update)

    def apply_state(self, update: StateUpdate) -> None:
        """Apply a state update."""
        number = update.number
        if number >= self._table.size:
            self._counters[ProtocolCounter.NUMBERS_BEYOND_TABLE] += 1
            return
        if number == self._table.own_number:
            self._local.apply_state(update)
            return
        member = self._table.get(number)
        if member is not None and update.stamp <= member.stamp:
            if update.stamp == member.stamp:
                self._confirm_suspicion(member, update)
            return
        if member is not None and _implies_return(member, update):
            # The member was alive again in between: report both changes, in order.
            alive_stamp = make_stamp(stamp_incarnation(update.stamp), MemberState.ALIVE)
            self._table.put(replace(member, stamp=alive_stamp, suspectors=()))
            member = self._table.get(number)
        self._set_state(update, member)
        self._queue.add_state(update)

    def apply_info(self, update: InfoUpdate) -> None:
        """Apply an info update: the later incarnation wins, and at the same one the larger info."""
        number = update.number
        if number >= self._table.size:
            self._counters[ProtocolCounter.NUMBERS_BEYOND_TABLE] += 1
            return
        if number == self._table.own_number:
            self._local.apply_info(update)
            return
        member = self._table.get(number)
        if member is None or not _is_newer_info(member, update):
            return
        changed = replace(member, info=update.info, info_incarnation=update.incarnation)
        self._table.put(changed, quiet=True)
        self._queue.add_info(number)

    def declare_dead(self, number: int) -> None:
        """Declare a suspected member dead that has not refuted in time."""
        member = self._table.get(number)
        suspicion = self._suspicions.get(number)
        self._suspicions.end(number)
        if suspicion is None or member is None or member.state is not MemberState.SUSPECT:
            return
        stamp = make_stamp(member.incarnation, MemberState.DEAD)
        suspectors = tuple(suspicion.suspectors)
        self._table.put(
            replace(member, stamp=stamp, learned_at_us=self._batch.now_us, suspectors=suspectors)
        )
        self._queue.add_state(StateUpdate(number, stamp, suspectors[0]))

    def _suspector_of(self, update: StateUpdate) -> int:
        return update.suspector if update.suspector < self._table.size else NO_MEMBER

    def _confirm_suspicion(self, member: Member, update: StateUpdate) -> None:
        suspicion = self._suspicions.get(member.number)
        if suspicion is None:
            return
        suspector = self._suspector_of(update)
        if suspector != NO_MEMBER and suspicion.confirm(suspector):
            confirmed = replace(member, suspectors=tuple(suspicion.suspectors))
            self._table.put(confirmed, quiet=True)
            self._queue.add_state(update)

    def _set_state(self, update: StateUpdate, previous: Member | None) -> None:
        number, stamp = update.number, update.stamp
        suspector = self._suspector_of(update)
        suspectors = (suspector,) if suspector != NO_MEMBER else ()
        info: MemberInfo | None = None
        info_incarnation = 0
        if previous is not None:
            info, info_incarnation = previous.info, previous.info_incarnation
        now_us = self._batch.now_us
        self._table.put(Member(number, stamp, now_us, suspectors, info, info_incarnation))
        if stamp_state(stamp) is MemberState.SUSPECT:
            self._begin_suspicion(number, suspector)
        else:
            self._suspicions.end(number)

    def _begin_suspicion(self, number: int, suspector: int) -> None:
        present_count = len(self._table.present_peers()) + 1
        self._suspicions.begin(self._batch.now_us, number, suspector, present_count)
        if suspector == self._table.own_number:
            return
        if self._rng.random() * present_count < self._wanted_probers:
            self._probe_order.put_first(number)


def _implies_return(member: Member, update: StateUpdate) -> bool:
    """Return whether an absent member must have been alive again before this update."""
    if member.is_present or stamp_incarnation(update.stamp) <= member.incarnation:
        return False
    return stamp_state(update.stamp) is not MemberState.ALIVE


def _is_newer_info(member: Member, update: InfoUpdate) -> bool:
    if update.incarnation != member.info_incarnation:
        return update.incarnation > member.info_incarnation
    return info_sort_key(update.info) > info_sort_key(member.info)
