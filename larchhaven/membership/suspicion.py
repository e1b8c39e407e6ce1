"""When an accusation becomes a death, and how far a member trusts its own judgement.

Both follow Lifeguard (Dadgar, Phillips, Currey 2018). A suspicion waits long while one member alone holds it,
and shorter with each further accuser. A member whose own probes fail, or that has to clear itself, takes it
that it is the slow one and waits longer before it accuses anybody.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# A member that doubts itself most waits this many times as long, less one.
HEALTH_MOST = 8


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times of the protocol, in microseconds.

    The defaults are weighed against each other in docs/design/membership.md: a death is to be agreed within
    six seconds at 200 members, and a pause of two seconds is not to be taken for a death.
    """

    period: int = 500_000  # between two probes of a member that trusts itself
    direct: int = 200_000  # an acknowledgement is due within; then others are asked
    helpers: int = 3
    gossip: int = 200_000  # between two rounds of news
    fanout: int = 2
    spread: int = 3  # times the logarithm of the size: how often each piece of news is sent by each
    suspicion: int = (
        2_300_000  # the least: with the period before it a pause of two seconds fits in
    )
    suspicion_growth: float = 3.0  # with a single accuser it is so many times as long
    confirmations: int = 3
    join: int = 1_000_000  # a newcomer waits for news of itself at most so long
    ask: int = 250_000  # between two rounds of questions of one who knows nothing
    ask_many: int = 3
    sync: int = 5_000_000  # between two comparisons with a living member
    call: int = 2_000_000  # between two calls to somebody who is not there
    gap: int = 1_000_000  # so late, and what was known counts for nothing
    late: int = 100_000  # so late, and the probe under way proves nothing
    alone: int = 3_000_000  # after a gap nobody has answered for so long: own evidence counts again
    rate: float = 25.0  # messages a second that are begun, whatever the size of the tier
    burst: int = 50


@dataclass(slots=True)
class Suspicion:
    """One accused member: who accuses it, since when, and until when it may clear itself."""

    began: int
    least: int
    most: int
    wanted: int  # accusers beside the first that shorten the time to the least
    accusers: list[int] = field(default_factory=list)
    ask_at: int = 0  # when an accuser asks it again

    def due(self, me: int) -> int:
        """When the member counts as dead here.

        Its accusers ask it again until then, and decide; the others wait for their word, or for the longest
        time, as all accusers may be dead. So news of an answer that comes late to some harms nobody.
        """
        if me not in self.accusers:
            return self.began + self.most
        if self.wanted <= 0:
            return self.began + self.least
        share = math.log(len(self.accusers)) / math.log(self.wanted + 1) if self.accusers else 0.0
        return self.began + max(self.least, int(self.most - (self.most - self.least) * share))

    def confirm(self, accuser: int) -> bool:
        """Take a further accuser; tell whether it was news."""
        if accuser in self.accusers or len(self.accusers) > self.wanted:
            return False
        self.accusers.append(accuser)
        return True

    @classmethod
    def begin(cls, now: int, accuser: int, here: int, tuning: Tuning) -> Suspicion:
        """Begin with one accuser in a tier of so many living; fewer confirmations than members can be had."""
        wanted = max(min(tuning.confirmations, here - 2), 0)
        least = tuning.suspicion
        return cls(now, least, int(least * tuning.suspicion_growth), wanted, [accuser], now)


@dataclass(slots=True)
class Health:
    """How much a member doubts itself, from 0."""

    doubt: int = 0

    def worse(self) -> None:
        """Take a sign of being slow or deaf."""
        self.doubt = min(self.doubt + 1, HEALTH_MOST)

    def better(self) -> None:
        """Take a sign of being well."""
        self.doubt = max(self.doubt - 1, 0)

    def stretch(self, time: int) -> int:
        """Lengthen a time by the doubt."""
        return time * (self.doubt + 1)
