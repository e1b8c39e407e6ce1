"""Whether there is room for one more client: bytes by purpose and descriptors, for ``memory.admission``."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.admission import Admission, Capacity
from larchhaven.memory.item_costs import REQUEST_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.event_loop import EventLoop

# Room for so many clients that only get their BUSY; no command that is let in may use it.
RESERVED_REJECTION_SLOTS = 8
# Commands may fill so much of the tables; the rest is for what grows between two samples and is only counted:
# in a soak with surges deadlines took the gauge 7% over its cap.
REQUEST_TABLES_RATIO = 0.9


class ConnectionLimits:
    """The kinds of room that a client needs: its execution's connection, its command, its descriptors."""

    def __init__(
        self, loop: EventLoop, account: MemoryAccount, worths: Sequence[float], descriptors: int
    ) -> None:
        self._loop = loop
        self._account = account
        self.admission = Admission(worths)
        self.max_descriptors = descriptors  # that clients and their executions may use together
        self.descriptor_rejections = 0
        # Forgets what only helps, as many bytes of the tables as it is asked for or as there are.
        self.evict_table_bytes: Callable[[int], None] = lambda size: None

    def is_exhausted(self, silent: int, parting: int) -> bool:
        """Tell whether no newcomer fits; each silent client may yet need an execution.

        Where caps were set under what is in use, a few are let in beyond them all the same: else newcomers
        would wait for their answer until those that stand have gone.
        """
        if self._loop.socket_count() + silent >= self.max_descriptors:
            return True
        if silent + parting < RESERVED_REJECTION_SLOTS:
            return False
        account = self._account
        return account.available_bytes(MemoryPurpose.CONNECTIONS) < (silent + 2) * STREAM_BYTES

    def count_shed_client(self) -> None:
        """Count one that gives way under the room that is nearer to its end."""
        connections = self._account.usage(MemoryPurpose.CONNECTIONS)
        if (
            self._loop.socket_count() * connections.cap_bytes
            >= connections.used_bytes * self.max_descriptors
        ):
            self.descriptor_rejections += 1
        else:
            self._account.count_rejection(MemoryPurpose.CONNECTIONS)

    def try_admit(self, cls: int, size: int, sparable: int, standing: bool) -> bool:
        """Tell, and count, whether a command of this class fits; its own connection is charged already.

        ``size`` is its payload and id in bytes; ``sparable`` counts clients that give way. What ``standing``
        marks has a place already, in the fleet if not here: it may use the reserve, whatever its class.
        """
        account = self._account
        tables = int(REQUEST_TABLES_RATIO * account.cap_bytes(MemoryPurpose.TABLES))
        lacking = REQUEST_BYTES + size + account.used_bytes(MemoryPurpose.TABLES) - tables
        if lacking > 0:
            self.evict_table_bytes(lacking)
        cap = account.cap_bytes(MemoryPurpose.CONNECTIONS)
        rooms = (
            Capacity(
                cap - RESERVED_REJECTION_SLOTS * STREAM_BYTES,
                account.used_bytes(MemoryPurpose.CONNECTIONS) - sparable * STREAM_BYTES,
                STREAM_BYTES,
            ),
            Capacity(tables, account.used_bytes(MemoryPurpose.TABLES), REQUEST_BYTES + size),
            Capacity(
                self.max_descriptors - RESERVED_REJECTION_SLOTS,
                self._loop.socket_count() - sparable,
                1,
            ),
        )
        if standing:
            short = next((i for i, room in enumerate(rooms) if not room.fits(0.0)), None)
        else:
            short = self.admission.find_exhausted(cls, rooms)
        if short == 2:
            self.descriptor_rejections += 1
        elif short is not None:
            account.count_rejection((MemoryPurpose.CONNECTIONS, MemoryPurpose.TABLES)[short])
        return short is None
