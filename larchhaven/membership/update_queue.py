"""Queue of updates that are piggybacked on messages, each a limited number of times."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from itertools import islice

from larchhaven.membership.codec import (
    MAX_STATE_UPDATES,
    MIN_INFO_UPDATE_BYTES,
    STATE_UPDATE_BYTES,
    info_update_bytes,
)
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberState
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.messages import InfoUpdate, StateUpdate

# Limits on transmissions are proportional to the bit length of the table size, and so grow with its
# logarithm. Smaller tables count as this size, so that the bit length is at least 2.
_MIN_TABLE_SIZE = 2


@dataclass(slots=True)
class _PiggybackedUpdate:
    """A state update, and the number of times that it was sent."""

    update: StateUpdate
    transmissions: int = 0


class UpdateQueue:
    """The pending updates; new ones are first, then those sent least recently.

    Args:
        table: The member table.
        config: Intervals, timeouts and limits.
    """

    def __init__(self, table: MemberTable, config: ProtocolConfig) -> None:
        table_size_bits = max(table.size, _MIN_TABLE_SIZE).bit_length()
        self._table = table
        self._state_transmissions = config.retransmit_multiplier * table_size_bits
        # Infos can wait for the next push-pull exchange.
        self._info_transmissions = table_size_bits
        self._states: OrderedDict[int, _PiggybackedUpdate] = OrderedDict()
        self._infos: OrderedDict[int, int] = OrderedDict()  # transmissions by member number

    @property
    def has_states(self) -> bool:
        """Whether state updates are pending."""
        return bool(self._states)

    def pending_numbers(self) -> list[int]:
        """Return the members that pending state updates are about, in ascending order."""
        return sorted(self._states)

    def add_state(self, update: StateUpdate) -> None:
        """Queue a state update at the front, in place of an older one about the same member."""
        self._states[update.number] = _PiggybackedUpdate(update)
        self._states.move_to_end(update.number, last=False)

    def add_info(self, number: int) -> None:
        """Queue the info of a member."""
        self._infos[number] = 0

    def take_states(
        self, receiver: int, room_bytes: int, *, include_receiver: bool
    ) -> tuple[StateUpdate, ...]:
        """Choose the state updates for a message, and count their transmission.

        An update about the receiver itself comes first. It is always included if the receiver is
        suspected, so that it can refute.

        Args:
            receiver: The member that the message is sent to.
            room_bytes: Number of bytes available.
            include_receiver: Whether the receiver's state is included even if it is not suspected.
                It may be a new member that has to take an incarnation above its last one.
        """
        limit = min(room_bytes // STATE_UPDATE_BYTES, MAX_STATE_UPDATES)
        chosen = list(islice(self._states, limit))
        if receiver in self._states:
            chosen = [receiver, *(number for number in chosen if number != receiver)][:limit]
        updates = [self._take_state(number) for number in chosen]
        receiver_record = self._table.get(receiver)
        if receiver_record is None or receiver in chosen:
            return tuple(updates)
        if include_receiver or receiver_record.state is MemberState.SUSPECT:
            updates = [StateUpdate.from_member(receiver_record), *updates][:limit]
        return tuple(updates)

    def take_infos(self, room_bytes: int) -> tuple[InfoUpdate, ...]:
        """Choose the info updates for a message, and count their transmission."""
        updates = []
        for number in list(islice(self._infos, room_bytes // MIN_INFO_UPDATE_BYTES)):
            member = self._table.get(number)
            if member is None or member.info is None:
                del self._infos[number]
                continue
            room_bytes -= info_update_bytes(member.info)
            if room_bytes < 0:
                break
            updates.append(InfoUpdate(number, member.info_incarnation, member.info))
            self._count_info(number)
        return tuple(updates)

    def fingerprint(self) -> tuple[object, ...]:
        """Return the state that later choices depend on, as a hashable value."""
        states = tuple((state.update, state.transmissions) for state in self._states.values())
        return states, tuple(self._infos.items())

    def _take_state(self, number: int) -> StateUpdate:
        state = self._states[number]
        state.transmissions += 1
        if state.transmissions >= self._state_transmissions:
            del self._states[number]
        else:
            self._states.move_to_end(number)
        return state.update

    def _count_info(self, number: int) -> None:
        self._infos[number] += 1
        if self._infos[number] >= self._info_transmissions:
            del self._infos[number]
        else:
            self._infos.move_to_end(number)
