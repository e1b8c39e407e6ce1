"""The membership protocol as the program of a simulated process."""

from __future__ import annotations

from collections.abc import Iterator

from larchhaven.membership.actions import Action, SendMessage
from larchhaven.membership.authenticator import DatagramAuthenticator
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberInfo
from larchhaven.membership.membership import Membership
from larchhaven.membership.sampling import RandomSource
from larchhaven.model.process import Datagram


class MembershipProgram:
    """Connects the protocol to its authenticator, as the proxy does for a real socket.

    Args:
        now_us: The current time of the process's own clock.
        own_number: The member's index in the peer table.
        table_size: The number of entries in the peer table.
        info: The metadata that the member announces.
        first_incarnation: The lowest incarnation to join with.
        session_id: Random identifier of this run of the process.
        rng: Source of the protocol's random numbers.
        config: Intervals, timeouts and limits of the protocol.
        membership_type: The protocol, or a variant of it with a planted fault.

    Attributes:
        authenticator: Signs outgoing datagrams and verifies incoming ones.
        membership: The protocol instance.
    """

    def __init__(
        self,
        now_us: int,
        own_number: int,
        table_size: int,
        info: MemberInfo,
        first_incarnation: int,
        session_id: int,
        rng: RandomSource,
        config: ProtocolConfig,
        membership_type: type[Membership] = Membership,
    ) -> None:
        self.authenticator = DatagramAuthenticator(own_number, table_size, session_id)
        self.membership = membership_type(
            now_us, own_number, table_size, info, first_incarnation, rng, config
        )

    @property
    def due_us(self) -> int:
        """When ``run_timers`` has to be called next, by the process's own clock."""
        return self.membership.due_us

    def run_timers(self, now_us: int) -> Iterator[object]:
        """Run the protocol's timers that are due."""
        return self._seal_messages(self.membership.run_timers(now_us))

    def receive(self, now_us: int, data: bytes, sender: int) -> Iterator[object]:
        """Handle a datagram, or drop it if the authenticator rejects it."""
        message = self.authenticator.open(data, sender)
        actions = self.membership.receive(now_us, message) if message is not None else []
        return self._seal_messages(actions)

    def leave(self, now_us: int) -> Iterator[object]:
        """Announce a graceful leave."""
        return self._seal_messages(self.membership.leave(now_us))

    def _seal_messages(self, actions: list[Action]) -> Iterator[object]:
        for action in actions:
            if isinstance(action, SendMessage):
                message = action.message
                yield Datagram(message.receiver, self.authenticator.seal(message))
            else:
                yield action
