"""Variants of the membership protocol with one fault each, which the search must detect."""

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
    """Never raises its incarnation to refute a suspicion."""

    def apply_state(self, update: StateUpdate) -> None:
        """Ignore updates about the local member once it has joined."""
        if not self.has_joined:
            super().apply_state(update)


class DoesNotRefute(Membership):
    """Never raises its incarnation to refute a suspicion."""

    local_member_type = LocalMemberWithoutRefutation


class LastUpdateWinsMerger(UpdateMerger):
    """Applies the update that arrives last, even if its stamp is smaller."""

    def apply_state(self, update: StateUpdate) -> None:
        """Apply updates with smaller stamps too."""
        number = update.number
        member = self._table.get(number)
        is_own = number == self._table.own_number
        if not is_own and member is not None and update.stamp < member.stamp:
            self._table.put(replace(member, stamp=update.stamp))
            return
        super().apply_state(update)


class LastUpdateWins(Membership):
    """Applies the update that arrives last, even if its stamp is smaller."""

    update_merger_type = LastUpdateWinsMerger


class MergerSuspectingDepartedMembers(UpdateMerger):
    """Lets a suspicion override a graceful leave."""

    def apply_state(self, update: StateUpdate) -> None:
        """Suspect members that have left."""
        member = self._table.get(update.number)
        if (
            member is not None
            and member.state is MemberState.LEFT
            and stamp_state(update.stamp) is MemberState.SUSPECT
        ):
            incarnation = stamp_incarnation(max(update.stamp, member.stamp))
            stamp = make_stamp(incarnation, MemberState.SUSPECT)
            self._set_state(replace(update, stamp=stamp), member)
            return
        super().apply_state(update)


class SuspectsDepartedMembers(Membership):
    """Lets a suspicion override a graceful leave."""

    update_merger_type = MergerSuspectingDepartedMembers


class MergerInventingIncarnations(UpdateMerger):
    """Raises the incarnation of another member before declaring it dead."""

    def declare_dead(self, number: int) -> None:
        """Raise the incarnation first, so that earlier refutations do not override the death."""
        member = self._table.get(number)
        if member is not None:
            incarnation = min(member.incarnation + 5, MAX_INCARNATION)
            stamp = make_stamp(incarnation, MemberState.SUSPECT)
            self._table.put(replace(member, stamp=stamp))
        super().declare_dead(number)


class InventsIncarnations(Membership):
    """Raises the incarnation of another member before declaring it dead."""

    update_merger_type = MergerInventingIncarnations


class LocalMemberIgnoringEarlierProcess(LocalMember):
    """Ignores updates about an earlier process with the same member number."""

    def join(self) -> None:
        """Discard the entry about the earlier process before joining."""
        view = self._table.view
        self._table.view = replace(view, members=view.members.discard(view.own_number))
        super().join()

    def apply_state(self, update: StateUpdate) -> None:
        """Refute suspicions of the current incarnation only."""
        if stamp_incarnation(update.stamp) == self.incarnation:
            super().apply_state(update)

    def apply_info(self, update: InfoUpdate) -> None:
        """Ignore infos about the local member, such as that of the earlier process.

        The inherited method refutes that info with a larger incarnation. This would also override
        the earlier process's stamp, and the search would not find the fault.
        """


class IgnoresEarlierProcess(Membership):
    """Refutes only suspicions of its current incarnation, not of an earlier process."""

    local_member_type = LocalMemberIgnoringEarlierProcess


class ExchangeOmittingAbsentMembers(StateExchange):
    """Compares complete views, but sends only the entries of present members."""

    def send_differences(self, receiver: int, digests: tuple[int, ...]) -> None:
        """Hide dead and departed members while differences are sent."""
        complete = self._table.view
        present = complete.members
        for member in list(present.values()):
            if not member.is_present:
                present = present.discard(member.number)
        self._table.view = replace(complete, members=present)
        super().send_differences(receiver, digests)
        self._table.view = complete


class OmitsAbsentMembers(Membership):
    """Compares complete views, but sends only the entries of present members."""

    state_exchange_type = ExchangeOmittingAbsentMembers


class KeepsObservationsAfterPause(Membership):
    """Keeps probes and suspicion deadlines from before a pause of its process."""

    def _discard_observations(self) -> None:
        self.counters[ProtocolCounter.PROCESS_PAUSES] += 0


class QueueClaimingSuspicions(UpdateQueue):
    """Passes on every suspicion as its own, and deaths with a raised incarnation."""

    def add_state(self, update: StateUpdate) -> None:
        """Replace the suspector, and raise the incarnation of deaths."""
        suspector = self._table.own_number if update.suspector != NO_MEMBER else NO_MEMBER
        incarnation = stamp_incarnation(update.stamp)
        state = stamp_state(update.stamp)
        if state is MemberState.DEAD:
            incarnation += 1
        super().add_state(StateUpdate(update.number, make_stamp(incarnation, state), suspector))


class ClaimsOthersSuspicions(Membership):
    """Passes on every suspicion as its own, so that one suspector looks like many."""

    update_queue_type = QueueClaimingSuspicions


class PlantedFault(NamedTuple):
    """A protocol variant and the starting state from which the search must find its fault."""

    starting_state: str
    membership_type: type[Membership]


PLANTED_FAULTS = (
    PlantedFault("accused", DoesNotRefute),
    PlantedFault("accused", LastUpdateWins),
    PlantedFault("leaving", SuspectsDepartedMembers),
    PlantedFault("killed", InventsIncarnations),
    PlantedFault("restarted", IgnoresEarlierProcess),
    PlantedFault("cut off", OmitsAbsentMembers),
    # A pause before the last probe does not show the fault: the probe is sent after the pause.
    PlantedFault("asleep late", KeepsObservationsAfterPause),
    PlantedFault("killed", ClaimsOthersSuspicions),
)
