"""The operators' settings; the defaults are those of ``deploy/operator.textproto``.

``larchhaven check --write`` writes these types as JSON, and a proxy reads them.
"""

from __future__ import annotations

import msgspec


class TextPosition(msgspec.Struct, frozen=True, array_like=True):
    """A position in a text: line and column count from 1; both are 0 for the whole file."""

    line: int
    column: int


WHOLE_FILE = TextPosition(0, 0)


class Complaint(msgspec.Struct, frozen=True):
    """An error in a file.

    Attributes:
        line: The line of the error, from 1; 0 for the whole file.
        column: The column of the error, from 1; 0 for the whole file.
        text: The description of the error and of its correction.
    """

    line: int
    column: int
    text: str

    @classmethod
    def at(cls, position: TextPosition, text: str) -> Complaint:
        """Create a complaint for a position."""
        return cls(position.line, position.column, text)

    def format(self, path: str) -> str:
        """Format the complaint like a compiler error, so that editors can jump to its position."""
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
    """The operators' settings of a proxy.

    Attributes:
        caps: The caps of memory purposes in bytes, by key of the purpose.
        reserve_ratio: The fraction of each capacity reserved for the classes with the highest
            priority weight.
        unread_us: The time without reading after which a client may be shed.
        log_as_json: Whether log lines are JSON.
        log_repeat_interval_us: The minimum time between two log lines of the same event.
        membership_enabled: Whether the proxy runs the membership protocol.
        membership_keys: The keys of the membership protocol, all of which are accepted; the first
            key authenticates the proxy's own datagrams.
    """

    caps: dict[str, int] = {}
    reserve_ratio: float = 0.08
    unread_us: int = 5_000_000
    log_as_json: bool = False
    log_repeat_interval_us: int = 10_000_000
    membership_enabled: bool = False
    membership_keys: list[str] = []


class Reading(msgspec.Struct, rename={"memory_position": "memory_at"}):
    """The result of reading a file.

    Attributes:
        settings: The settings; valid only if there are no complaints.
        complaints: All errors in the file.
        memory_position: The position of the caps, for complaints about their sum, which can be
            checked only when the grant is known.
    """

    settings: Settings
    complaints: list[Complaint]
    memory_position: TextPosition = WHOLE_FILE
