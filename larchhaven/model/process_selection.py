"""Selects the processes that a fault affects: by number, by zone or at random."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.model.errors import ProcessNumbersError
from larchhaven.model.experiment_pb2 import Who
from larchhaven.model.random_streams import RandomStream
from larchhaven.model.units import PERCENT_PER_WHOLE


def parse_numbers(text: str, members: int) -> list[int]:
    """Parse a list of process numbers such as ``0-9,12``.

    Args:
        text: Numbers and ranges, separated by commas.
        members: The number of processes.

    Raises:
        ProcessNumbersError: The list is malformed or names a process that does not exist.
    """
    numbers: list[int] = []
    for item in filter(None, text.replace(" ", "").split(",")):
        first, _, last = item.partition("-")
        last = last or first
        if not (first.isdigit() and last.isdigit()):
            raise ProcessNumbersError(item, f"numbers must be a list like 0-9,12, not {item!r}")
        if int(last) >= members:
            reason = f"there is no member {last}: the last is {members - 1}"
            raise ProcessNumbersError(item, reason)
        numbers += range(int(first), int(last) + 1)
    return numbers


@dataclass(frozen=True, slots=True)
class ProcessSelector:
    """Selects processes of a fleet.

    Attributes:
        members: The number of processes.
        zones: The number of zones. The zone of a process is its number modulo ``zones``.
    """

    members: int
    zones: int

    def select(self, who: Who, rng: RandomStream) -> list[int]:
        """Return the numbers of the selected processes; an empty selection means all processes.

        Args:
            who: A list of numbers, a zone or a percentage.
            rng: Random stream that draws the processes of a percentage.
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
        """Draw a percentage of the processes at random; return their numbers in drawing order."""
        count = round(self.members * percent / PERCENT_PER_WHOLE)
        return rng.sample(count, list(range(self.members)))
