"""Whether there is room for one more client: bytes by purpose and descriptors, for ``memory.admission``."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from larchhaven.memory.account import Account
from larchhaven.memory.admission import Admission, Room
from larchhaven.memory.purposes import COMMAND, STREAM, Purpose
from larchhaven.net.core.event_loop import Loop

# Room for so many clients that only get their BUSY; no command that is let in may use it.
TURN_AWAY = 8
# Commands may fill so much of the tables; the rest is for what grows between two samples and is only counted:
# in a soak with surges deadlines took the gauge 7% over its cap.
TABLES_SHARE = 0.9


class Rooms:
    """The kinds of room that a client needs: its execution's connection, its command, its descriptors."""

    def __init__(
        self, loop: Loop, account: Account, worths: Sequence[float], descriptors: int
    ) -> None:
        self._loop = loop
        self._account = account
        self.admission = Admission(worths)
        self.descriptors = descriptors  # that clients and their executions may use together
        self.refused_descriptors = 0
        # Forgets what only helps, as many bytes of the tables as it is asked for or as there are.
        self.spare_tables: Callable[[int], None] = lambda size: None

    def short(self, silent: int, parting: int) -> bool:
        """Tell whether no newcomer fits; each silent client may yet need an execution.

        Where caps were set under what is in use, a few are let in beyond them all the same: else newcomers
        would wait for their answer until those that stand have gone.
        """
        if self._loop.sockets() + silent >= self.descriptors:
            return True
        if silent + parting < TURN_AWAY:
            return False
        account = self._account
        return account.room(Purpose.CONNECTIONS) < (silent + 2) * STREAM

    def count_refusal(self) -> None:
        """Count one that gives way under the room that is nearer to its end."""
        connections = self._account.line(Purpose.CONNECTIONS)
        if self._loop.sockets() * connections.cap >= connections.used * self.descriptors:
            self.refused_descriptors += 1
        else:
            self._account.refuse(Purpose.CONNECTIONS)

    def admits(self, cls: int, size: int, sparable: int, standing: bool) -> bool:
        """Tell, and count, whether a command of this class fits; its own connection is charged already.

        ``size`` is its payload and id in bytes; ``sparable`` counts clients that give way. What ``standing``
        marks has a place already, in the fleet if not here: it may use the reserve, whatever its class.
        """
        account = self._account
        tables = int(TABLES_SHARE * account.cap(Purpose.TABLES))
        lacking = COMMAND + size + account.used(Purpose.TABLES) - tables
        if lacking > 0:
            self.spare_tables(lacking)
        cap = account.cap(Purpose.CONNECTIONS)
        rooms = (
            Room(
                cap - TURN_AWAY * STREAM,
                account.used(Purpose.CONNECTIONS) - sparable * STREAM,
                STREAM,
            ),
            Room(tables, account.used(Purpose.TABLES), COMMAND + size),
            Room(self.descriptors - TURN_AWAY, self._loop.sockets() - sparable, 1),
        )
        if standing:
            short = next((i for i, room in enumerate(rooms) if not room.fits(0.0)), None)
        else:
            short = self.admission.may_take(cls, rooms)
        if short == 2:
            self.refused_descriptors += 1
        elif short is not None:
            account.refuse((Purpose.CONNECTIONS, Purpose.TABLES)[short])
        return short is None
