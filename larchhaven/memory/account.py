"""The account: for each purpose a cap, a gauge, a high-water mark and a count of refusals.

A gauge has two sources. What comes and goes one by one is charged and given back (``take``, ``must``,
``give``); what is easier counted whole is set now and then (``set_part``). Only the first can be refused at
the moment it is asked for.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.memory.purposes import RESIDENT, Purpose


@dataclass(frozen=True, slots=True)
class Line:
    """One purpose at one moment, in bytes and times refused."""

    cap: int
    used: int
    high: int
    refused: int


class Account:
    """Who uses how much. ``over`` counts give-backs beyond what was taken: it stays 0 or there is a bug."""

    __slots__ = ("_caps", "_charged", "_high", "_parts", "_parts_sum", "_refused", "over")

    def __init__(self, caps: Mapping[Purpose, int]) -> None:
        count = len(Purpose)
        self._caps = [0] * count
        self._charged = [0] * count
        self._parts: list[dict[str, int]] = [{} for _ in Purpose]
        self._parts_sum = [0] * count
        self._high = [0] * count
        self._refused = [0] * count
        self.over = 0
        self.set_caps(caps)

    @classmethod
    def unbounded(cls) -> Account:
        """Return an account that counts and never refuses."""
        return cls(dict.fromkeys(Purpose, 1 << 62))

    def set_caps(self, caps: Mapping[Purpose, int]) -> None:
        """Replace caps; what is in use beyond a new cap stays, and nothing more is granted until then."""
        for purpose, cap in caps.items():
            self._caps[purpose] = cap

    def take(self, purpose: Purpose, size: int) -> bool:
        """Charge if it fits under the cap; else count a refusal and charge nothing."""
        used = self._charged[purpose] + self._parts_sum[purpose] + size
        if used > self._caps[purpose]:
            self._refused[purpose] += 1
            return False
        self._charged[purpose] += size
        self._high[purpose] = max(self._high[purpose], used)
        return True

    def must(self, purpose: Purpose, size: int) -> None:
        """Charge what cannot be refused: its room was seen to before, or it is already there."""
        self._charged[purpose] += size
        used = self._charged[purpose] + self._parts_sum[purpose]
        self._high[purpose] = max(self._high[purpose], used)

    def give(self, purpose: Purpose, size: int) -> None:
        """Give back what was charged."""
        left = self._charged[purpose] - size
        if left < 0:
            self.over += 1
            left = 0
        self._charged[purpose] = left

    def refuse(self, purpose: Purpose) -> None:
        """Count a refusal that was decided elsewhere because of this purpose's cap."""
        self._refused[purpose] += 1

    def set_part(self, purpose: Purpose, name: str, size: int) -> None:
        """Set what one part uses that is counted as a whole."""
        parts = self._parts[purpose]
        self._parts_sum[purpose] += size - parts.get(name, 0)
        parts[name] = size
        used = self.used(purpose)
        self._high[purpose] = max(self._high[purpose], used)

    def used(self, purpose: Purpose) -> int:
        """Return the gauge, in bytes."""
        return self._charged[purpose] + self._parts_sum[purpose]

    def charged(self, purpose: Purpose) -> int:
        """Return the part of the gauge that comes and goes one by one."""
        return self._charged[purpose]

    def cap(self, purpose: Purpose) -> int:
        """Return the cap, in bytes."""
        return self._caps[purpose]

    def room(self, purpose: Purpose) -> int:
        """Return what is left under the cap; negative after the cap was set under what is in use."""
        return self._caps[purpose] - self.used(purpose)

    def resident(self) -> int:
        """Return what the account says of the process's resident size, the start size not counted."""
        return sum(self.used(purpose) for purpose in RESIDENT)

    def line(self, purpose: Purpose) -> Line:
        """Return one purpose as it stands."""
        return Line(
            self._caps[purpose], self.used(purpose), self._high[purpose], self._refused[purpose]
        )
