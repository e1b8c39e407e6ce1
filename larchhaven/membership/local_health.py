"""Lifeguard's local health multiplier: how far a member trusts its own observations."""

from __future__ import annotations

MAX_HEALTH_SCORE = 8


class LocalHealth:
    """The health score of the local member: 0 is healthy, ``MAX_HEALTH_SCORE`` is the worst.

    A member whose own probes fail, or that has to refute a suspicion, is probably slow itself. It
    lengthens its probe intervals and timeouts before it suspects anybody.
    """

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Note a sign of being slow or cut off."""
        self.score = min(self.score + 1, MAX_HEALTH_SCORE)

    def improve(self) -> None:
        """Note a sign of being healthy."""
        self.score = max(self.score - 1, 0)

    def scale_us(self, duration_us: int) -> int:
        """Return a duration times the local health multiplier, which is the score plus 1."""
        return duration_us * (self.score + 1)
