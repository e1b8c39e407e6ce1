"""The memory account: for each purpose a cap, the usage, its peak and a count of rejections.

Usage has two sources. Items that come and go one by one are charged and released (``try_charge``,
``charge``, ``release``). Structures that are easier to count as a whole are sampled now and then
(``set_sampled_bytes``). Only a charge can be rejected at the moment it is asked for.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.memory.purposes import RESIDENT_PURPOSES, MemoryPurpose

_UNBOUNDED_BYTES = 1 << 62


@dataclass(frozen=True, slots=True)
class PurposeUsage:
    """Usage of one purpose at one moment.

    Attributes:
        cap_bytes: The most that the purpose may use.
        used_bytes: What it uses now, charged and sampled.
        peak_bytes: The most it has used so far.
        rejected: How often something was rejected because of its cap.
    """

    cap_bytes: int
    used_bytes: int
    peak_bytes: int
    rejected: int


class MemoryAccount:
    """Memory usage by purpose.

    Attributes:
        excess_releases: Releases of more than was charged; anything but 0 is a bug.
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
        # Lists indexed by purpose: charging is on the path of every buffer.
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
        """Return an account that counts and never rejects."""
        return cls(dict.fromkeys(MemoryPurpose, _UNBOUNDED_BYTES))

    def set_caps(self, caps: Mapping[MemoryPurpose, int]) -> None:
        """Replace caps, in bytes.

        Usage above a new cap stays; nothing more is granted until usage is below the cap.
        """
        for purpose, cap_bytes in caps.items():
            self._caps[purpose] = cap_bytes

    def try_charge(self, purpose: MemoryPurpose, size_bytes: int) -> bool:
        """Charge an item if it fits under the cap.

        Returns:
            Whether it was charged; if not, a rejection is counted.
        """
        used_bytes = self._charged[purpose] + self._sampled_total[purpose] + size_bytes
        if used_bytes > self._caps[purpose]:
            self._rejected[purpose] += 1
            return False
        self._charged[purpose] += size_bytes
        self._peak[purpose] = max(self._peak[purpose], used_bytes)
        return True

    def charge(self, purpose: MemoryPurpose, size_bytes: int) -> None:
        """Charge an item that cannot be rejected: it was admitted before, or it exists already."""
        self._charged[purpose] += size_bytes
        used_bytes = self._charged[purpose] + self._sampled_total[purpose]
        self._peak[purpose] = max(self._peak[purpose], used_bytes)

    def release(self, purpose: MemoryPurpose, size_bytes: int) -> None:
        """Release what was charged."""
        charged_bytes = self._charged[purpose] - size_bytes
        if charged_bytes < 0:
            self.excess_releases += 1
            charged_bytes = 0
        self._charged[purpose] = charged_bytes

    def count_rejection(self, purpose: MemoryPurpose) -> None:
        """Count a rejection that was decided elsewhere because of this purpose's cap."""
        self._rejected[purpose] += 1

    def set_sampled_bytes(self, purpose: MemoryPurpose, source: str, size_bytes: int) -> None:
        """Replace the sample of one source that is counted as a whole."""
        sampled = self._sampled[purpose]
        self._sampled_total[purpose] += size_bytes - sampled.get(source, 0)
        sampled[source] = size_bytes
        self._peak[purpose] = max(self._peak[purpose], self.used_bytes(purpose))

    def used_bytes(self, purpose: MemoryPurpose) -> int:
        """Return what the purpose uses, charged and sampled."""
        return self._charged[purpose] + self._sampled_total[purpose]

    def charged_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the charged part of the usage."""
        return self._charged[purpose]

    def cap_bytes(self, purpose: MemoryPurpose) -> int:
        """Return the cap."""
        return self._caps[purpose]

    def available_bytes(self, purpose: MemoryPurpose) -> int:
        """Return what is left under the cap; negative after the cap was set below the usage."""
        return self._caps[purpose] - self.used_bytes(purpose)

    def resident_bytes(self) -> int:
        """Return the part of the process's resident size that the account explains.

        The size of the program itself is not included.
        """
        return sum(self.used_bytes(purpose) for purpose in RESIDENT_PURPOSES)

    def usage(self, purpose: MemoryPurpose) -> PurposeUsage:
        """Return the current usage of one purpose."""
        return PurposeUsage(
            cap_bytes=self._caps[purpose],
            used_bytes=self.used_bytes(purpose),
            peak_bytes=self._peak[purpose],
            rejected=self._rejected[purpose],
        )
