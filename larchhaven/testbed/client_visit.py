"""One visit of a stand-in client: from its request until it leaves or has to reconnect."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from enum import Enum, auto

from larchhaven.testbed.client_connection import ClientConnection
from larchhaven.testbed.client_profile import ClientBehavior, ClientProfile
from larchhaven.testbed.client_statistics import ClientOutcomes
from larchhaven.testbed.event_record import EventKind, EventRecorder

# A client waits this long past its deadline, so that the invariant checker sees late answers.
ANSWER_GRACE_S = 2.0
SLOW_BYTE_INTERVAL_S = 0.1
READ_BLOCK_BYTES = 65_536
_ENDLESS_BLOCK = b"x" * READ_BLOCK_BYTES
_REQUEST_ID_BLOCK_LENGTH = 16


class VisitOutcome(Enum):
    """How a visit ended; it decides whether the client connects again."""

    FINISHED = auto()
    REJECTED = auto()
    RECONNECT = auto()  # migrated, lost, or aborted by the client


@dataclass(frozen=True, slots=True)
class RequestLine:
    """The identity of a request and its encoded request line."""

    request_id: str
    data: bytes


def make_request_line(
    profile: ClientProfile, rng: random.Random, group_number: int, *, is_reconnect: bool
) -> RequestLine:
    """Draw a request identity and encode the request line.

    Args:
        profile: Profile of the client.
        rng: Random numbers of the client.
        group_number: Number of the client's affinity group.
        is_reconnect: Whether the client had an established connection before.
    """
    block = f"{rng.getrandbits(64):016x}"
    request_id = block * (profile.request_id_bytes // _REQUEST_ID_BLOCK_LENGTH or 1)
    tenant = f",t={profile.tenant}" if profile.tenant else ""
    reconnect = ",again=1" if is_reconnect else ""
    deadline = f",d={profile.request_deadline_ms}"
    options = f"c={profile.request_class}{tenant}{deadline},g={group_number:x}{reconnect}"
    line = f"OPEN {request_id} {rng.getrandbits(64):016x} {options}\r\n"
    return RequestLine(request_id, line.encode())


def resolve(future: asyncio.Future[None]) -> None:
    """Set the result of a future, unless it is done already."""
    if not future.done():
        future.set_result(None)


class ClientVisit:
    """One visit of a client, over a connection that has just been opened.

    Args:
        profile: Profile of the client.
        connection: The connection; the visit closes it.
        established: All established connections; contains this one while it is established.
        outcomes: Receives the results of the visit.
        recorder: Receives the records of the visit.
        rng: Random numbers of the client.
        leave_at_s: When the client leaves, on the clock of the event loop.
        answered: Resolved once the client expects no more answers.
    """

    def __init__(
        self,
        profile: ClientProfile,
        connection: ClientConnection,
        established: set[ClientConnection],
        outcomes: ClientOutcomes,
        recorder: EventRecorder,
        rng: random.Random,
        leave_at_s: float,
        answered: asyncio.Future[None],
    ) -> None:
        self._profile = profile
        self._connection = connection
        self._established = established
        self._outcomes = outcomes
        self._recorder = recorder
        self._rng = rng
        self._leave_at_s = leave_at_s
        self._answered = answered
        self._request_id = ""

    async def run(self, request_line: RequestLine) -> VisitOutcome:
        """Send the request, behave as the profile says, and close the connection.

        Returns:
            How the visit ended.

        Raises:
            OSError: The connection failed while the client was writing.
        """
        self._request_id = request_line.request_id
        try:
            if not self._profile.behavior.completes_request_line:
                resolve(self._answered)
                await self._misbehave(request_line.data)
                return VisitOutcome.FINISHED
            return await self._request(request_line.data)
        except asyncio.CancelledError:
            self._record(EventKind.CLIENT_LEFT)
            raise
        finally:
            self._established.discard(self._connection)
            self._connection.close()

    def _record(self, kind: EventKind, detail: str = "", wait_us: int = 0) -> None:
        self._recorder.record(kind, request_id=self._request_id, detail=detail, wait_us=wait_us)

    async def _request(self, line: bytes) -> VisitOutcome:
        loop = asyncio.get_running_loop()
        statistics = self._outcomes.statistics_of(self._profile.request_class)
        statistics.requests += 1
        self._record(EventKind.REQUEST_SENT, wait_us=self._profile.request_deadline_ms * 1000)
        self._connection.writer.write(line)
        sent_at_s = loop.time()
        timeout_s = self._profile.request_deadline_ms / 1000 + ANSWER_GRACE_S
        try:
            answer = await asyncio.wait_for(self._connection.read_line(), timeout_s)
        except TimeoutError:
            statistics.answers["none"] += 1
            return VisitOutcome.FINISHED
        resolve(self._answered)
        self._record(EventKind.ANSWER_RECEIVED, answer)
        word = answer.partition(" ")[0] or "end"
        statistics.answers[word] += 1
        if self._profile.tenant:
            self._outcomes.add_tenant_answer(self._profile.tenant, word)
        if word == "BUSY":
            return VisitOutcome.REJECTED
        if word != "UP":
            return VisitOutcome.FINISHED
        statistics.add_setup_time((loop.time() - sent_at_s) * 1000)
        self._established.add(self._connection)
        return await self._use_established_connection()

    async def _use_established_connection(self) -> VisitOutcome:
        if self._profile.behavior == ClientBehavior.RESETS:
            self._connection.reset()
            return self._leave()
        if self._profile.behavior == ClientBehavior.NEVER_READ:
            self._connection.writer.write(f"flood {self._profile.flood_bytes}\r\n".encode())
            await asyncio.sleep(max(self._leave_at_s - asyncio.get_running_loop().time(), 0))
            return self._leave()
        return await self._exchange_messages()

    def _leave(self) -> VisitOutcome:
        self._record(EventKind.CLIENT_LEFT)
        return VisitOutcome.FINISHED

    async def _exchange_messages(self) -> VisitOutcome:
        loop = asyncio.get_running_loop()
        send_at_s = loop.time() + self._rng.uniform(0, self._profile.message_interval_s)
        number = 0
        while True:
            remaining_s = min(send_at_s, self._leave_at_s) - loop.time()
            if remaining_s > 0:
                line = await self._read_line_within(remaining_s)
                if line is not None and self._ends_connection(line):
                    return VisitOutcome.RECONNECT
                continue
            if loop.time() >= self._leave_at_s:
                return self._leave()
            number += 1
            with contextlib.suppress(OSError):  # the next read reports the failure
                self._connection.writer.write(f"question {number}\r\n".encode())
            send_at_s = loop.time() + self._profile.message_interval_s

    async def _read_line_within(self, timeout_s: float) -> str | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connection.read_line()
        except TimeoutError:
            return None

    def _ends_connection(self, line: str) -> bool:
        """Return whether a line is MOVE, or empty at the end of the connection; record either."""
        statistics = self._outcomes.statistics_of(self._profile.request_class)
        if line == "MOVE":
            statistics.migrations += 1
            self._record(EventKind.MIGRATE_RECEIVED)
            return True
        if line:
            return False
        if self._connection.was_broken_by_client:
            self._record(EventKind.CLIENT_LEFT)
        else:
            statistics.lost_connections += 1
            self._record(EventKind.CONNECTION_LOST, "end")
        return True

    async def _misbehave(self, line: bytes) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._profile.mean_stay_s):
                if self._profile.behavior == ClientBehavior.CUT_REQUEST_LINE:
                    self._connection.writer.write(line[: self._rng.randrange(len(line))])
                    return
                await self._send_misbehaving(line)
                while await self._connection.reader.read(READ_BLOCK_BYTES):
                    pass

    async def _send_misbehaving(self, line: bytes) -> None:
        writer = self._connection.writer
        match self._profile.behavior:
            case ClientBehavior.HALF_REQUEST_LINE:
                writer.write(line[: len(line) // 2])
            case ClientBehavior.SLOW_LINES:
                for byte in line:
                    writer.write(bytes([byte]))
                    await asyncio.sleep(SLOW_BYTE_INTERVAL_S)
            case ClientBehavior.ENDLESS_LINE:
                for _ in range(self._profile.flood_bytes // len(_ENDLESS_BLOCK) + 1):
                    writer.write(_ENDLESS_BLOCK)
                    await writer.drain()
