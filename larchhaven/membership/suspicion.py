"""Suspicions: which members suspect another one, and how long it has to refute.

As in Lifeguard (Dadgar, Phillips, Currey 2018) a suspicion with a single suspector has a long
timeout, and each further suspector shortens it.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from larchhaven.membership.config import ProtocolConfig


@dataclass(slots=True)
class Suspicion:
    """A suspicion about one member.

    Attributes:
        began_us: When the timeout began.
        min_timeout_us: The timeout with all wanted confirmations, in microseconds.
        max_timeout_us: The timeout without confirmations, in microseconds.
        wanted_confirmations: Number of suspectors besides the first that shorten the timeout to
            the minimum.
        suspectors: Members that suspect it, the first one first.
        next_probe_us: When the local member, if it is a suspector, probes the suspect again.
        last_answer_due_us: When the answer to the last probe before the deadline is due; 0 if that
            probe was not sent yet.
    """

    began_us: int
    min_timeout_us: int
    max_timeout_us: int
    wanted_confirmations: int
    suspectors: list[int] = field(default_factory=list)
    next_probe_us: int = 0
    last_answer_due_us: int = 0

    @classmethod
    def begin(
        cls, now_us: int, suspector: int, present_count: int, config: ProtocolConfig
    ) -> Suspicion:
        """Return a new suspicion.

        Args:
            now_us: Current time.
            suspector: The member that raises the suspicion.
            present_count: Number of present members; in a small fleet fewer can confirm.
            config: Intervals, timeouts and limits.
        """
        wanted = max(min(config.suspicion_confirmations, present_count - 2), 0)
        min_timeout_us = config.min_suspicion_us
        max_timeout_us = int(min_timeout_us * config.suspicion_max_multiplier)
        return cls(now_us, min_timeout_us, max_timeout_us, wanted, [suspector], now_us)

    def deadline_us(self, own_number: int) -> int:
        """Return when the local member declares the suspected one dead.

        Suspectors probe it again until then and decide. The other members wait for the update of a
        suspector, so a refutation that reaches them late does no harm. They decide themselves after
        the maximum timeout, because all suspectors may be dead.
        """
        if own_number not in self.suspectors:
            return self.began_us + self.max_timeout_us
        if self.wanted_confirmations <= 0:
            return self.began_us + self.min_timeout_us
        confirmed = math.log(len(self.suspectors)) / math.log(self.wanted_confirmations + 1)
        range_us = self.max_timeout_us - self.min_timeout_us
        timeout_us = int(self.max_timeout_us - range_us * confirmed)
        return self.began_us + max(self.min_timeout_us, timeout_us)

    def confirm(self, suspector: int) -> bool:
        """Add a suspector; return whether it was added."""
        if suspector in self.suspectors or len(self.suspectors) > self.wanted_confirmations:
            return False
        self.suspectors.append(suspector)
        return True

    def restart(self, now_us: int) -> None:
        """Restart the timeout; the suspectors stay the same."""
        self.began_us = now_us
        self.next_probe_us = now_us
        self.last_answer_due_us = 0


class SuspicionTable:
    """All suspicions by member number, the oldest first.

    Args:
        config: Intervals, timeouts and limits.
    """

    def __init__(self, config: ProtocolConfig) -> None:
        self._config = config
        self._suspicions: dict[int, Suspicion] = {}

    def get(self, number: int) -> Suspicion | None:
        """Return the suspicion about a member, or None if it is not suspected."""
        return self._suspicions.get(number)

    def items(self) -> list[tuple[int, Suspicion]]:
        """Return a copy of the suspected members and their suspicions."""
        return list(self._suspicions.items())

    def values(self) -> Collection[Suspicion]:
        """Return the suspicions; none may begin or end during an iteration over them."""
        return self._suspicions.values()

    def numbers(self) -> list[int]:
        """Return the suspected members, the earliest suspected one first."""
        return list(self._suspicions)

    def begin(self, now_us: int, number: int, suspector: int, present_count: int) -> None:
        """Begin a suspicion about a member; it replaces an existing one."""
        suspicion = Suspicion.begin(now_us, suspector, present_count, self._config)
        self._suspicions[number] = suspicion

    def end(self, number: int) -> None:
        """Remove the suspicion about a member, if any."""
        self._suspicions.pop(number, None)

    def restart_all(self, now_us: int) -> None:
        """Restart all timeouts, because no refutation could arrive during a pause."""
        for suspicion in self._suspicions.values():
            suspicion.restart(now_us)

    def fingerprint(self) -> tuple[object, ...]:
        """Return the state that later decisions depend on, as a hashable value."""
        return tuple(
            (
                number,
                suspicion.began_us,
                suspicion.next_probe_us,
                suspicion.last_answer_due_us,
                tuple(suspicion.suspectors),
            )
            for number, suspicion in self._suspicions.items()
        )
