"""Which processes a fault affects: by number, by zone, or drawn at random."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.model.errors import ProcessNumbersError
from larchhaven.model.experiment_pb2 import Who
from larchhaven.model.random_streams import RandomStream
from larchhaven.model.units import PERCENT_PER_WHOLE


def parse_numbers(text: str, members: int) -> list[int]:
    """Return the process numbers of a list such as ``0-9,12``.

    Args:
        text: Numbers and ranges, separated by commas.
        members: How many processes there are.

    Raises:
        ProcessNumbersError: The list is malformed or names a process that does not exist.
    """
    numbers: list[int] = []
    for part in filter(None, text.replace(" ", "").split(",")):
        first, _, last = part.partition("-")
        last = last or first
        if not (first.isdigit() and last.isdigit()):
            raise ProcessNumbersError(part, f"numbers are written like 0-9,12, not {part!r}")
        if int(last) >= members:
            reason = f"there is no member {last}: the last is {members - 1}"
            raise ProcessNumbersError(part, reason)
        numbers += range(int(first), int(last) + 1)
    return numbers


@dataclass(frozen=True, slots=True)
class ProcessSelector:
    """Selects processes of a fleet.

    Attributes:
        members: How many processes there are.
        zones: How many zones they are spread over, by number modulo zones.
    """

    members: int
    zones: int

    def select(self, who: Who, rng: RandomStream) -> list[int]:
        """Return the numbers of the processes that are meant, all if nothing is said.

        Args:
            who: Numbers, a zone or a percentage.
            rng: Where a percentage is drawn from.
        """
        match who.WhichOneof("which"):
            case "numbers":
                return parse_numbers(who.numbers, self.members)
            case "zone":
                return [n for n in range(self.members) if n % self.zones == who.zone]
            case "percent":
                return sorted(self.draw(who.percent, rng))
        return list(range(self.members))

    def draw(self, percent: float, rng: RandomStream) -> list[int]:
        """Return the numbers of a percentage of the processes, in the order of drawing."""
        count = round(self.members * percent / PERCENT_PER_WHOLE)
        return rng.sample(count, list(range(self.members)))
