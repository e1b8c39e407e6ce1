"""Remembers requests that a server may have executed, so that they are not executed again.

A client may leave while its request is at a server, and come again with the same id. The request
table knows the ids of open requests only.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import EXECUTED_IDENTITY_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.routing.settings import DeduplicationScope, Idempotency, RequestClass

IDENTITY_HASH_BYTES = 8
# Share of the memory for tables that remembered executions may fill.
MAX_TABLES_RATIO = 0.1


def identity_hash(identity: bytes) -> bytes:
    """Return a hash of fixed length for a request's identity, which may be as long as a line."""
    return blake2b(identity, digest_size=IDENTITY_HASH_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Execution:
    """A possible execution of a request.

    Attributes:
        class_index: Index of its request class in the settings.
        sent_at_us: When the request was first sent to a server that may have executed it, by the
            clock of the event loop.
    """

    class_index: int
    sent_at_us: int


class ExecutedIdentities:
    """The executions of requests that may not simply run again, by the hashes of their identities.

    The oldest are forgotten first when they fill their share of the memory for tables.

    Args:
        classes: The request classes.
        account: Memory account whose cap of tables limits them.
    """

    def __init__(self, classes: Sequence[RequestClass], account: MemoryAccount) -> None:
        self._classes = classes
        self._account = account
        self._executions: dict[bytes, Execution] = {}  # in the order in which they were recorded

    def __len__(self) -> int:
        """Return the number of remembered executions."""
        return len(self._executions)

    def count_bytes(self) -> int:
        """Return the memory that the remembered executions take, in bytes."""
        return len(self._executions) * EXECUTED_IDENTITY_BYTES

    def latest(self, count: int) -> Iterator[tuple[bytes, Execution]]:
        """Yield the latest executions with the hashes of their identities, the newest first."""
        for hashed, _ in zip(reversed(self._executions), range(count), strict=False):
            yield hashed, self._executions[hashed]

    def is_relevant(self, execution: Execution) -> bool:
        """Return whether a second execution of a request of this class would matter."""
        request_class = self._find_class(execution.class_index)
        return request_class is not None and request_class.idempotency is not Idempotency.ALWAYS

    def record(self, hashed: bytes, execution: Execution) -> None:
        """Remember an execution, unless an earlier one of the same request is remembered."""
        if not self.is_relevant(execution) or hashed in self._executions:
            return
        max_bytes = int(MAX_TABLES_RATIO * self._account.cap_bytes(MemoryPurpose.TABLES))
        while self._executions and self.count_bytes() + EXECUTED_IDENTITY_BYTES > max_bytes:
            del self._executions[next(iter(self._executions))]
        self._executions[hashed] = execution

    def may_execute(self, identity: bytes, until_us: int) -> bool:
        """Return whether a request may be sent to servers.

        Args:
            identity: The identity of the request.
            until_us: The latest time at which it may be sent, by the clock of the event loop.
        """
        if not self._executions:
            return True
        execution = self._executions.get(identity_hash(identity))
        return execution is None or self._is_repeat_discarded(execution, until_us)

    def _is_repeat_discarded(self, execution: Execution, until_us: int) -> bool:
        """Return whether all servers still discard a repeat of the request at that time."""
        request_class = self._find_class(execution.class_index)
        if request_class is None or request_class.idempotency is not Idempotency.WITH_KEY:
            return False
        window_end_us = execution.sent_at_us + request_class.deduplication_window_us
        is_in_scope = request_class.deduplication_scope is DeduplicationScope.ALL
        return is_in_scope and until_us < window_end_us

    def _find_class(self, class_index: int) -> RequestClass | None:
        return self._classes[class_index] if 0 <= class_index < len(self._classes) else None
