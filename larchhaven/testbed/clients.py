"""The stand-in clients of a deployment, well-behaved and misbehaving."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from larchhaven.testbed.client_connection import ClientConnection, connect
from larchhaven.testbed.client_profile import ClientBehavior, ClientProfile
from larchhaven.testbed.client_statistics import ClientOutcomes
from larchhaven.testbed.client_visit import (
    ClientVisit,
    VisitOutcome,
    make_request_line,
    resolve,
)
from larchhaven.testbed.event_record import EventRecorder


class ClientPopulation:
    """All clients of a run; each client is a task of its own.

    Args:
        next_address: Returns the address of the proxy for the next connection.
        recorder: Receives the records of the clients.
        rng: Random numbers from which each client's generator is seeded.

    Attributes:
        outcomes: Results of all clients.
    """

    def __init__(
        self,
        next_address: Callable[[], tuple[str, int]],
        recorder: EventRecorder,
        rng: random.Random,
    ) -> None:
        self._next_address = next_address
        self._recorder = recorder
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self._established: set[ClientConnection] = set()
        self._pending_answers: set[asyncio.Future[None]] = set()
        self._arrived = 0
        self.outcomes = ClientOutcomes()

    @property
    def established_connections(self) -> int:
        """Number of established connections."""
        return len(self._established)

    def add_client(self, profile: ClientProfile) -> None:
        """Start one client."""
        task = asyncio.get_running_loop().create_task(self._run_client(profile))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def break_all_connections(self) -> None:
        """Abort all established connections; their clients connect again."""
        for connection in list(self._established):
            connection.abort()

    async def wait_until_answered(self) -> None:
        """Wait until no client expects an answer; each gives up some time after its deadline."""
        while self._pending_answers:
            await asyncio.wait(self._pending_answers)

    async def stop(self) -> None:
        """Cancel all clients and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_client(self, profile: ClientProfile) -> None:
        rng = random.Random(self._rng.getrandbits(64))
        self._arrived += 1
        group_number = (self._arrived - 1) // profile.group_size + 1
        stay_s = rng.expovariate(1 / profile.mean_stay_s)
        leave_at_s = asyncio.get_running_loop().time() + stay_s
        remaining_retries = profile.retries
        is_reconnect = False
        with contextlib.suppress(OSError):
            while True:
                outcome = await self._visit(
                    profile, rng, group_number, leave_at_s, is_reconnect=is_reconnect
                )
                if outcome is VisitOutcome.RECONNECT:
                    is_reconnect = True
                elif outcome is VisitOutcome.REJECTED and remaining_retries:
                    remaining_retries -= 1
                else:
                    return
                delay_s = rng.uniform(profile.min_reconnect_delay_s, profile.max_reconnect_delay_s)
                await asyncio.sleep(delay_s)

    async def _visit(
        self,
        profile: ClientProfile,
        rng: random.Random,
        group_number: int,
        leave_at_s: float,
        *,
        is_reconnect: bool,
    ) -> VisitOutcome:
        answered = asyncio.get_running_loop().create_future()
        self._pending_answers.add(answered)
        answered.add_done_callback(self._pending_answers.discard)
        try:
            return await self._visit_until_end(
                profile, rng, group_number, leave_at_s, answered, is_reconnect=is_reconnect
            )
        finally:
            resolve(answered)

    async def _visit_until_end(
        self,
        profile: ClientProfile,
        rng: random.Random,
        group_number: int,
        leave_at_s: float,
        answered: asyncio.Future[None],
        *,
        is_reconnect: bool,
    ) -> VisitOutcome:
        small_buffers = profile.behavior == ClientBehavior.NEVER_READ
        connection = await connect(self._next_address(), small_buffers=small_buffers)
        request_line = make_request_line(profile, rng, group_number, is_reconnect=is_reconnect)
        visit = ClientVisit(
            profile,
            connection,
            self._established,
            self.outcomes,
            self._recorder,
            rng,
            leave_at_s,
            answered,
        )
        return await visit.run(request_line)
