"""Variants of the membership protocol with one fault each, which the search has to catch."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.local_member import LocalMember
from larchhaven.membership.member import (
    MAX_INCARNATION,
    MemberState,
    make_stamp,
    stamp_incarnation,
    stamp_state,
)
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import NO_MEMBER, InfoUpdate, StateUpdate
from larchhaven.membership.state_exchange import StateExchange
from larchhaven.membership.update_merger import UpdateMerger
from larchhaven.membership.update_queue import UpdateQueue


class LocalMemberWithoutRefutation(LocalMember):
    """Stays at the incarnation that is suspected."""

    def apply_state(self, update: StateUpdate) -> None:
        """Ignore updates about the local member once it has joined."""
        if not self.has_joined:
            super().apply_state(update)


class DoesNotRefute(Membership):
    """Stays alive at the incarnation that is suspected."""

    local_member_type = LocalMemberWithoutRefutation


class MergerOfLastUpdates(UpdateMerger):
    """Applies whatever update arrives last."""

    def apply_state(self, update: StateUpdate) -> None:
        """Apply smaller stamps too."""
        number = update.number
        known = self._table.get(number)
        is_own = number == self._table.own_number
        if not is_own and known is not None and update.stamp < known.stamp:
            self._table.put(replace(known, stamp=update.stamp))
            return
        super().apply_state(update)


class LastUpdateWins(Membership):
    """Applies whatever update arrives last."""

    update_merger_type = MergerOfLastUpdates


class MergerThatSuspectsWhoLeft(UpdateMerger):
    """Lets a suspicion override a planned stop."""

    def apply_state(self, update: StateUpdate) -> None:
        """Suspect members that have left."""
        known = self._table.get(update.number)
        if (
            known is not None
            and known.state is MemberState.LEFT
            and stamp_state(update.stamp) is MemberState.SUSPECT
        ):
            incarnation = stamp_incarnation(max(update.stamp, known.stamp))
            stamp = make_stamp(incarnation, MemberState.SUSPECT)
            self._set_state(replace(update, stamp=stamp), known)
            return
        super().apply_state(update)


class SuspectsWhoLeft(Membership):
    """Lets a suspicion override a planned stop."""

    update_merger_type = MergerThatSuspectsWhoLeft


class MergerThatInventsIncarnations(UpdateMerger):
    """Raises another's incarnation so that its verdict stands."""

    def declare_dead(self, number: int) -> None:
        """Raise the incarnation first."""
        known = self._table.get(number)
        if known is not None:
            incarnation = min(known.incarnation + 5, MAX_INCARNATION)
            stamp = make_stamp(incarnation, MemberState.SUSPECT)
            self._table.put(replace(known, stamp=stamp))
        super().declare_dead(number)


class InventsIncarnations(Membership):
    """Raises another's incarnation so that its verdict stands."""

    update_merger_type = MergerThatInventsIncarnations


class ForgetfulLocalMember(LocalMember):
    """Knows nothing of an earlier process with its number."""

    def join(self) -> None:
        """Forget what others remember first."""
        view = self._table.view
        self._table.view = replace(view, members=view.members.discard(view.own_number))
        super().join()

    def apply_state(self, update: StateUpdate) -> None:
        """Refute suspicions of the own incarnation only."""
        if stamp_incarnation(update.stamp) == self.incarnation:
            super().apply_state(update)

    def apply_info(self, update: InfoUpdate) -> None:
        """Ignore it: else two processes would still be distinguished by their infos."""


class ForgetsItsEarlierProcess(Membership):
    """Refutes suspicions of its own incarnation only."""

    local_member_type = ForgetfulLocalMember


class ExchangeOfTheLiving(StateExchange):
    """Compares views, but sends only what it knows of the living."""

    def send_differences(self, receiver: int, digests: tuple[int, ...]) -> None:
        """Hide the dead while differences are sent."""
        complete = self._table.view
        living = complete.members
        for member in list(living.values()):
            if not member.is_present:
                living = living.discard(member.number)
        self._table.view = replace(complete, members=living)
        super().send_differences(receiver, digests)
        self._table.view = complete


class KeepsTheDeadToItself(Membership):
    """Compares views, but sends only what it knows of the living."""

    state_exchange_type = ExchangeOfTheLiving


class TrustsItselfAfterAPause(Membership):
    """Keeps its observations when its process was paused."""

    def _discard_observations(self) -> None:
        self.counters[ProtocolCounter.PROCESS_PAUSES] += 0


class QueueOfOwnSuspicions(UpdateQueue):
    """Passes on every suspicion as its own, and deaths at a later incarnation."""

    def add_state(self, update: StateUpdate) -> None:
        """Replace the accuser."""
        accuser = self._table.own_number if update.suspector != NO_MEMBER else NO_MEMBER
        incarnation = stamp_incarnation(update.stamp)
        state = stamp_state(update.stamp)
        if state is MemberState.DEAD:
            incarnation += 1
        super().add_state(StateUpdate(update.number, make_stamp(incarnation, state), accuser))


class ClaimsSuspicionsAsItsOwn(Membership):
    """Passes on every suspicion as its own, so that one accuser looks like many."""

    update_queue_type = QueueOfOwnSuspicions


class PlantedFault(NamedTuple):
    """A variant and the starting state from which the search has to find its fault."""

    starting_state: str
    membership_type: type[Membership]


PLANTED_FAULTS = (
    PlantedFault("accused", DoesNotRefute),
    PlantedFault("accused", LastUpdateWins),
    PlantedFault("leaving", SuspectsWhoLeft),
    PlantedFault("killed", InventsIncarnations),
    PlantedFault("restarted", ForgetsItsEarlierProcess),
    PlantedFault("cut off", KeepsTheDeadToItself),
    # Paused before the last probe it is harmless: that probe is sent after the pause.
    PlantedFault("asleep late", TrustsItselfAfterAPause),
    PlantedFault("killed", ClaimsSuspicionsAsItsOwn),
)
