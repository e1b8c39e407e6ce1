"""The proxy in figures: whole numbers, counted where things happen, from the start of the process."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

# Keys of the JSON that operators read, where they differ from the fields.
_JSON_KEYS = {
    "active_requests": "pending",
    "listed_servers": "members",
    "unavailable_servers": "members_unavailable",
    "invalid_peer_messages": "strange_messages",
}


class RequestOutcomes(msgspec.Struct):
    """What became of the commands of one class; a command has one outcome, or none if its client left."""

    completed: int = 0
    rejected: int = 0
    failed: int = 0


class Metrics(msgspec.Struct, rename=_JSON_KEYS):
    """What operators read, in the form in which they read it."""

    downstream_requests: dict[str, RequestOutcomes]
    upstream_requests: int = 0  # executions whose first line was written to its last byte
    active_requests: int = 0  # commands taken whose connection has not ended
    listed_servers: int = 0
    unavailable_servers: int = 0
    config_reloads: int = 0
    config_reload_errors: int = 0
    invalid_peer_messages: int = 0  # of other proxies, or entries in them, that could not be used

    @classmethod
    def for_classes(cls, classes: Sequence[str]) -> Metrics:
        """Begin at nothing, with every class there is."""
        return cls({name: RequestOutcomes() for name in classes})

    def outcomes_by_class(self) -> list[RequestOutcomes]:
        """Return the outcomes by the classes' numbers."""
        return list(self.downstream_requests.values())

    def encode(self) -> bytes:
        """Write the figures as JSON."""
        return msgspec.json.encode(self)
