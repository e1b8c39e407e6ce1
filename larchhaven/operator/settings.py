"""The operators' settings as the proxy uses them; the defaults are those of ``deploy/operator.textproto``."""

from __future__ import annotations

import msgspec


class Complaint(msgspec.Struct, frozen=True):
    """One thing that cannot be used: where it stands (from 1; 0 for the whole file) and what to write."""

    line: int
    column: int
    text: str

    def at(self, file: str) -> str:
        """Write it as compilers do, so that editors find the place."""
        return (
            f"{file}:{self.line}:{self.column}: {self.text}"
            if self.line
            else f"{file}: {self.text}"
        )


class Settings(msgspec.Struct):
    """What operators may set. Caps are in bytes by the purposes' keys; times in microseconds."""

    caps: dict[str, int] = {}
    reserve_share: float = 0.08
    unread_us: int = 5_000_000
    log_json: bool = False
    quiet_us: int = 10_000_000
    membership: bool = False
    member_keys: list[str] = []  # the first proves one's own messages


class Reading(msgspec.Struct):
    """What became of reading a file; ``settings`` counts only without complaints.

    ``memory_at`` is the line and column where the caps begin: sums are checked once the grant is known.
    """

    settings: Settings
    complaints: list[Complaint]
    memory_at: tuple[int, int] = (0, 0)
