"""Lifeguard's local health multiplier: how far a member trusts its own observations."""

from __future__ import annotations

MAX_HEALTH_SCORE = 8


class LocalHealth:
    """The health score of the local member: 0 is healthy, ``MAX_HEALTH_SCORE`` is the worst.

    A member whose own probes fail, or that has to refute a suspicion, is probably slow itself. It
    lengthens its probe intervals and timeouts, so that it raises fewer false suspicions.
    """

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Raise the score after a sign that the local member is slow or cut off."""
        self.score = min(self.score + 1, MAX_HEALTH_SCORE)

    def improve(self) -> None:
        """Lower the score after a sign that the local member is healthy."""
        self.score = max(self.score - 1, 0)

    def scale_us(self, duration_us: int) -> int:
        """Return a duration times the local health multiplier, the score plus 1."""
        return duration_us * (self.score + 1)
