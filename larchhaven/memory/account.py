"""The memory account: the cap, usage, peak usage and number of rejections of each purpose.

Usage has two sources. Individual items are charged and released (``try_charge``, ``charge``,
``release``). Structures that are easier to measure as a whole are sampled periodically
(``set_sampled_bytes``). Only ``try_charge`` can reject; a sample is recorded even above the cap.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.memory.purposes import RESIDENT_PURPOSES, MemoryPurpose

_UNBOUNDED_BYTES = 1 << 62


@dataclass(frozen=True, slots=True)
class PurposeUsage:
    """A snapshot of the usage of one purpose.

    Attributes:
        cap_bytes: The upper limit of the usage.
        used_bytes: The current usage, charged and sampled.
        peak_bytes: The highest usage so far.
        rejected: The number of rejections because of the cap.
    """

    cap_bytes: int
    used_bytes: int
    peak_bytes: int
    rejected: int


class MemoryAccount:
    """Memory usage by purpose.

    Attributes:
        excess_releases: The number of releases of more than was charged; always 0 without a bug.
    """

    __slots__ = (
        "_caps",
        "_charged",
        "_peak",
        "_rejected",
        "_sampled",
        "_sampled_total",
        "excess_releases",
    )

    def __init__(self, caps: Mapping[MemoryPurpose, int]) -> None:
        # Lists indexed by purpose are fast: every buffer is charged when it is acquired.
        count = len(MemoryPurpose)
        self._caps = [0] * count
        self._charged = [0] * count
        self._sampled: list[dict[str, int]] = [{} for _ in MemoryPurpose]
        self._sampled_total = [0] * count
        self._peak = [0] * count
        self._rejected = [0] * count
        self.excess_releases = 0
        self.set_caps(caps)

    @classmethod
    def unbounded(cls) -> MemoryAccount:
        """Create an account that counts usage but never rejects."""
        return cls(dict.fromkeys(MemoryPurpose, _UNBOUNDED_BYTES))

    def set_caps(self, caps: Mapping[MemoryPurpose, int]) -> None:
        """Replace the caps of some purposes.

        Usage above a new cap remains charged. ``try_charge`` rejects until the usage is back under
        the cap.

        Args:
            caps: The new caps in bytes, by purpose; the caps of other purposes stay as they are.
        """
        for purpose, cap_bytes in caps.items():
            self._caps[purpose] = cap_bytes

    def try_charge(self, purpose: MemoryPurpose, size_bytes: int) -> bool:
        """Charge an item if it fits under the cap; otherwise count a rejection.

        Returns:
            Whether the item was charged.
        """
        used_bytes = self._charged[purpose] + self._sampled_total[purpose] + size_bytes
        if used_bytes > self._caps[purpose]:
            self._rejected[purpose] += 1
            return False
        self._charged[purpose] += size_bytes
        self._peak[purpose] = max(self._peak[purpose], used_bytes)
        return True

    def charge(self, purpose: MemoryPurpose, size_bytes: int) -> None:
        """Charge an item regardless of the cap, as it has been admitted or exists already."""
        self._charged[purpose] += size_bytes
        used_bytes = self._charged[purpose] + self._sampled_total[purpose]
        self._peak[purpose] = max(self._peak[purpose], used_bytes)

    def release(self, purpose: MemoryPurpose, size_bytes: int) -> None:
        """Release charged bytes; a release of more than is charged leaves 0 and is counted."""
        charged_bytes = self._charged[purpose] - size_bytes
        if charged_bytes < 0:
            self.excess_releases += 1
            charged_bytes = 0
        self._charged[purpose] = charged_bytes

    def count_rejection(self, purpose: MemoryPurpose) -> None:
        """Count a rejection that a caller made because of this purpose's cap."""
        self._rejected[purpose] += 1

    def set_sampled_bytes(self, purpose: MemoryPurpose, source: str, size_bytes: int) -> None:
        """Replace the sampled size of one source."""
        sampled = self._sampled[purpose]
        self._sampled_total[purpose] += size_bytes - sampled.get(source, 0)
        sampled[source] = size_bytes
        self._peak[purpose] = max(self._peak[purpose], self.used_bytes(purpose))

    def used_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the current usage of a purpose, charged and sampled."""
        return self._charged[purpose] + self._sampled_total[purpose]

    def charged_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the charged share of the usage of a purpose."""
        return self._charged[purpose]

    def cap_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the cap of a purpose."""
        return self._caps[purpose]

    def available_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the cap minus the usage of a purpose; negative if the usage exceeds the cap."""
        return self._caps[purpose] - self.used_bytes(purpose)

    def resident_bytes(self) -> int:
        """Return the accounted share of the process's resident size.

        The size of the program itself is not accounted.
        """
        return sum(self.used_bytes(purpose) for purpose in RESIDENT_PURPOSES)

    def usage(self, purpose: MemoryPurpose) -> PurposeUsage:
        """Return a snapshot of the usage of a purpose."""
        return PurposeUsage(
            cap_bytes=self._caps[purpose],
            used_bytes=self.used_bytes(purpose),
            peak_bytes=self._peak[purpose],
            rejected=self._rejected[purpose],
        )
