"""The proxy in figures: whole numbers, counted where things happen, from the start of the process."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class Outcomes(msgspec.Struct):
    """What became of the commands of one class; a command has one outcome, or none if its client left."""

    completed: int = 0
    rejected: int = 0
    failed: int = 0


class Figures(msgspec.Struct):
    """What operators read, in the form in which they read it."""

    downstream_requests: dict[str, Outcomes]
    upstream_requests: int = 0  # executions whose first line was written to its last byte
    pending: int = 0  # commands taken whose connection has not ended
    members: int = 0
    members_unavailable: int = 0
    config_reloads: int = 0
    config_reload_errors: int = 0
    strange_messages: int = 0  # of other proxies, or entries in them, that could not be used

    @classmethod
    def of(cls, classes: Sequence[str]) -> Figures:
        """Begin at nothing, with every class there is."""
        return cls({name: Outcomes() for name in classes})

    def outcomes(self) -> list[Outcomes]:
        """Return the outcomes by the classes' numbers."""
        return list(self.downstream_requests.values())

    def encode(self) -> bytes:
        """Write the figures as JSON."""
        return msgspec.json.encode(self)
