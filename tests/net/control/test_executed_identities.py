"""Executions that are remembered: by class, window and memory."""

from __future__ import annotations

from dataclasses import replace

import pytest

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.executed_identities import (
    ExecutedIdentities,
    Execution,
    identity_hash,
)
from larchhaven.routing.settings import DeduplicationScope, Idempotency
from tests.routing.builders import BASIC_SETTINGS

BASIC_CLASS = BASIC_SETTINGS.classes[0]
WINDOW_US = 5_000_000
AT_MOST_ONCE = replace(BASIC_CLASS, idempotency=Idempotency.NEVER)
DEDUPLICATED = replace(
    BASIC_CLASS, idempotency=Idempotency.WITH_KEY, deduplication_window_us=WINDOW_US
)


@pytest.fixture
def executed() -> ExecutedIdentities:
    classes = [
        AT_MOST_ONCE,
        DEDUPLICATED,
        replace(DEDUPLICATED, deduplication_scope=DeduplicationScope.CELL),
        replace(BASIC_CLASS, idempotency=Idempotency.ALWAYS),
    ]
    return ExecutedIdentities(classes, MemoryAccount.unbounded())


@pytest.mark.parametrize(
    ("class_index", "until_us", "may_execute"),
    [
        (0, 1, False),
        (1, WINDOW_US - 1, True),
        (1, WINDOW_US, False),
        (2, 1, False),
        (3, 10 * WINDOW_US, True),
        (4, 1, True),  # a class that only the other process of a hot restart has
    ],
)
def test_request_may_run_again_only_where_servers_discard_the_repeat(
    executed: ExecutedIdentities, class_index: int, until_us: int, may_execute: bool
) -> None:
    executed.record(identity_hash(b"a"), Execution(class_index, 0))
    assert executed.may_execute(b"a", until_us) is may_execute
    assert executed.may_execute(b"b", until_us)


def test_window_begins_with_the_first_execution(executed: ExecutedIdentities) -> None:
    """Guards against a window that each repeat extends."""
    executed.record(identity_hash(b"a"), Execution(1, 0))
    executed.record(identity_hash(b"a"), Execution(1, 3_000_000))
    assert not executed.may_execute(b"a", WINDOW_US)


def test_oldest_executions_are_forgotten_when_memory_is_full() -> None:
    """Guards against memory that grows without end under ever new ids."""
    caps = dict.fromkeys(MemoryPurpose, 26_000)
    executed = ExecutedIdentities([AT_MOST_ONCE], MemoryAccount(caps))
    for number in range(100):
        executed.record(identity_hash(b"%d" % number), Execution(0, number))
    assert 0 < executed.count_bytes() <= 2_600
    assert executed.may_execute(b"0", 1)
    assert not executed.may_execute(b"99", 1)
    latest = [execution.sent_at_us for _, execution in executed.latest(3)]
    assert latest == [99, 98, 97]
