"""Token bucket that limits the messages of the local member."""

from __future__ import annotations

from larchhaven.membership.config import ProtocolConfig

# Replies may overdraw the budget by this many messages: without replies a member looks dead.
REPLY_OVERDRAFT = 50.0

_US_PER_S = 1e6


class MessageBudget:
    """Token bucket for messages, refilled at a constant rate.

    Args:
        now_us: Current time, in microseconds.
        config: Limits of the protocol.

    Attributes:
        refill_interval_us: Time to refill one token, in microseconds.
    """

    def __init__(self, now_us: int, config: ProtocolConfig) -> None:
        self._refill_per_s = config.messages_per_second
        self._capacity = float(config.message_burst)
        self._tokens = self._capacity
        self._refilled_at_us = now_us
        self.refill_interval_us = int(_US_PER_S / config.messages_per_second)

    def has_token(self, now_us: int) -> bool:
        """Return whether a message that is not a reply may be sent."""
        self._refill(now_us)
        return self._tokens >= 1

    def try_spend(self, now_us: int, *, is_reply: bool) -> bool:
        """Spend a token if one is available; replies may overdraw the budget."""
        self._refill(now_us)
        min_tokens = 1 - REPLY_OVERDRAFT if is_reply else 1
        if self._tokens < min_tokens:
            return False
        self._tokens -= 1
        return True

    def fingerprint(self) -> object:
        """Return the state that later decisions depend on, as a hashable value."""
        return round(self._tokens, 3)

    def _refill(self, now_us: int) -> None:
        elapsed_us = max(now_us - self._refilled_at_us, 0)
        self._refilled_at_us = now_us
        refilled = self._tokens + elapsed_us * self._refill_per_s / _US_PER_S
        self._tokens = min(refilled, self._capacity)
