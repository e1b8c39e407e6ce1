"""The account: for each purpose a cap, a gauge, a high-water mark and a count of refusals.

A gauge has two sources. What comes and goes one by one is charged and given back (``take``, ``must``,
``give``); what is easier counted whole is set now and then (``set_part``). Only the first can be refused at
the moment it is asked for.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.memory.purposes import RESIDENT_PURPOSES, MemoryPurpose


@dataclass(frozen=True, slots=True)
class PurposeUsage:
    """One purpose at one moment, in bytes and times refused."""

    cap_bytes: int
    used_bytes: int
    peak_bytes: int
    rejected: int


class MemoryAccount:
    """Who uses how much. ``over`` counts give-backs beyond what was taken: it stays 0 or there is a bug."""

    __slots__ = (
        "_caps",
        "_charged",
        "_high",
        "_parts",
        "_parts_sum",
        "_refused",
        "excess_releases",
    )

    def __init__(self, caps: Mapping[MemoryPurpose, int]) -> None:
        count = len(MemoryPurpose)
        self._caps = [0] * count
        self._charged = [0] * count
        self._parts: list[dict[str, int]] = [{} for _ in MemoryPurpose]
        self._parts_sum = [0] * count
        self._high = [0] * count
        self._refused = [0] * count
        self.excess_releases = 0
        self.set_caps(caps)

    @classmethod
    def unbounded(cls) -> MemoryAccount:
        """Return an account that counts and never refuses."""
        return cls(dict.fromkeys(MemoryPurpose, 1 << 62))

    def set_caps(self, caps: Mapping[MemoryPurpose, int]) -> None:
        """Replace caps; what is in use beyond a new cap stays, and nothing more is granted until then."""
        for purpose, cap in caps.items():
            self._caps[purpose] = cap

    def try_charge(self, purpose: MemoryPurpose, size: int) -> bool:
        """Charge if it fits under the cap; else count a refusal and charge nothing."""
        used = self._charged[purpose] + self._parts_sum[purpose] + size
        if used > self._caps[purpose]:
            self._refused[purpose] += 1
            return False
        self._charged[purpose] += size
        self._high[purpose] = max(self._high[purpose], used)
        return True

    def charge(self, purpose: MemoryPurpose, size: int) -> None:
        """Charge what cannot be refused: its room was seen to before, or it is already there."""
        self._charged[purpose] += size
        used = self._charged[purpose] + self._parts_sum[purpose]
        self._high[purpose] = max(self._high[purpose], used)

    def release(self, purpose: MemoryPurpose, size: int) -> None:
        """Give back what was charged."""
        left = self._charged[purpose] - size
        if left < 0:
            self.excess_releases += 1
            left = 0
        self._charged[purpose] = left

    def count_rejection(self, purpose: MemoryPurpose) -> None:
        """Count a refusal that was decided elsewhere because of this purpose's cap."""
        self._refused[purpose] += 1

    def set_sampled_bytes(self, purpose: MemoryPurpose, name: str, size: int) -> None:
        """Set what one part uses that is counted as a whole."""
        parts = self._parts[purpose]
        self._parts_sum[purpose] += size - parts.get(name, 0)
        parts[name] = size
        used = self.used_bytes(purpose)
        self._high[purpose] = max(self._high[purpose], used)

    def used_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the gauge, in bytes."""
        return self._charged[purpose] + self._parts_sum[purpose]

    def charged_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the part of the gauge that comes and goes one by one."""
        return self._charged[purpose]

    def cap_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the cap, in bytes."""
        return self._caps[purpose]

    def available_bytes(self, purpose: MemoryPurpose) -> int:
        """Return what is left under the cap; negative after the cap was set under what is in use."""
        return self._caps[purpose] - self.used_bytes(purpose)

    def resident_bytes(self) -> int:
        """Return what the account says of the process's resident size, the start size not counted."""
        return sum(self.used_bytes(purpose) for purpose in RESIDENT_PURPOSES)

    def usage(self, purpose: MemoryPurpose) -> PurposeUsage:
        """Return one purpose as it stands."""
        return PurposeUsage(
            self._caps[purpose],
            self.used_bytes(purpose),
            self._high[purpose],
            self._refused[purpose],
        )
