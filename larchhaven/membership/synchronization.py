"""Tracks whether the local view is up to date, and requests the views of others if it is not."""

from __future__ import annotations

from larchhaven.membership.context import NEVER_US, ProtocolContext
from larchhaven.membership.local_member import LocalMember
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.sampling import sample
from larchhaven.membership.state_exchange import StateExchange


class ViewSynchronizer:
    """Tracks whether another member has confirmed the view since the start or the last pause.

    Until then local observations do not lead to suspicions or declarations of death. If no member
    answers for ``isolation_timeout_us`` they are trusted again, because all others may be dead.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        local: The local member.
        exchange: Sends push-pull requests.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        local: LocalMember,
        exchange: StateExchange,
    ) -> None:
        self._table = table
        self._local = local
        self._exchange = exchange
        self._rng = context.rng
        self._config = context.config
        self._batch = context.batch
        self._stale_since_us: int | None = context.batch.now_us
        self._next_request_us = context.batch.now_us

    def mark_stale(self) -> None:
        """Mark the view as stale, because updates may have been missed."""
        self._stale_since_us = self._next_request_us = self._batch.now_us
        self._table.set_synchronized(False)

    def mark_synchronized(self) -> None:
        """Mark the view as confirmed, because a push-pull request was answered."""
        self._stale_since_us = None
        self._table.set_synchronized(True)

    def trusts_own_observations(self) -> bool:
        """Return whether a missing answer may lead to a suspicion or a declaration of death."""
        if not self._local.has_joined:
            return False
        since_us = self._stale_since_us
        if since_us is None:
            return True
        return self._batch.now_us >= since_us + self._config.isolation_timeout_us

    def run_timers(self) -> None:
        """Send a round of push-pull requests if one is due, also to absent members."""
        now_us = self._batch.now_us
        if self._stale_since_us is None or now_us < self._next_request_us:
            return
        self._next_request_us = now_us + self._config.join_retry_interval_us
        for number in sample(self._rng, self._config.join_fanout, self._table.peers):
            self._exchange.request(number)

    def next_deadline_us(self) -> int:
        """Return when ``run_timers`` has work to do, or ``NEVER_US``."""
        return NEVER_US if self._stale_since_us is None else self._next_request_us

    def fingerprint(self) -> tuple[object, ...]:
        """Return the state that later decisions depend on, as a hashable value."""
        return self._stale_since_us, self._next_request_us
