"""The operators' settings; the defaults are those of ``deploy/operator.textproto``.

The JSON of these types is what ``larchhaven check --write`` writes and a proxy reads.
"""

from __future__ import annotations

import msgspec


class TextPosition(msgspec.Struct, frozen=True, array_like=True):
    """A place in a text; line and column count from 1 and are 0 for the whole file."""

    line: int
    column: int


WHOLE_FILE = TextPosition(0, 0)


class Complaint(msgspec.Struct, frozen=True):
    """One thing in a file that cannot be used.

    Attributes:
        line: Its line, from 1; 0 for the whole file.
        column: Its column, from 1; 0 for the whole file.
        text: What is wrong and what to write instead.
    """

    line: int
    column: int
    text: str

    @classmethod
    def at(cls, position: TextPosition, text: str) -> Complaint:
        """Return a complaint about a place."""
        return cls(position.line, position.column, text)

    def format(self, path: str) -> str:
        """Return the complaint as compilers write theirs, so that editors find the place."""
        if not self.line:
            return f"{path}: {self.text}"
        return f"{path}:{self.line}:{self.column}: {self.text}"


class Settings(
    msgspec.Struct,
    rename={
        "reserve_ratio": "reserve_share",
        "log_as_json": "log_json",
        "log_repeat_interval_us": "quiet_us",
        "membership_enabled": "membership",
        "membership_keys": "member_keys",
    },
):
    """What operators may set.

    Attributes:
        caps: Caps of memory purposes in bytes, by the purposes' keys.
        reserve_ratio: Part of the capacity for the class of the highest priority weight.
        unread_us: A client may be shed after so long without reading.
        log_as_json: Whether log lines are JSON.
        log_repeat_interval_us: Least time between two log lines of one kind.
        membership_enabled: Whether the proxy takes part in the membership.
        membership_keys: Keys of the membership; the first authenticates the proxy's own datagrams.
    """

    caps: dict[str, int] = {}
    reserve_ratio: float = 0.08
    unread_us: int = 5_000_000
    log_as_json: bool = False
    log_repeat_interval_us: int = 10_000_000
    membership_enabled: bool = False
    membership_keys: list[str] = []


class Reading(msgspec.Struct, rename={"memory_position": "memory_at"}):
    """What reading a file gave.

    Attributes:
        settings: The settings; they count only if there are no complaints.
        complaints: All that is wrong with the file.
        memory_position: Where the caps begin; their sum is checked once the grant is known.
    """

    settings: Settings
    complaints: list[Complaint]
    memory_position: TextPosition = WHOLE_FILE
