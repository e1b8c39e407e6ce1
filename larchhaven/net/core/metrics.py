"""The proxy's metrics: integer gauges, and counters since the start of the process."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class RequestOutcomes(msgspec.Struct):
    """The outcomes of the requests of one class.

    A request has one outcome, or none if its client disconnected first.
    """

    completed: int = 0
    rejected: int = 0
    failed: int = 0


class Metrics(
    msgspec.Struct,
    rename={
        "active_requests": "pending",
        "listed_servers": "members",
        "unavailable_servers": "members_unavailable",
        "invalid_peer_messages": "strange_messages",
    },
):
    """The metrics of a proxy, encoded under the names that operators read.

    Attributes:
        downstream_requests: The outcomes of requests by class name.
        upstream_requests: Attempts whose request line was sent completely.
        active_requests: Accepted requests whose connection has not ended.
        listed_servers: Servers on the endpoint list.
        unavailable_servers: Listed servers that get no new requests at present.
        config_reloads: Reloads of the configuration or of the operators' file.
        config_reload_errors: Reloads that failed and changed nothing.
        invalid_peer_messages: Unusable messages of peers, or unusable entries in them.
    """

    downstream_requests: dict[str, RequestOutcomes]
    upstream_requests: int = 0
    active_requests: int = 0
    listed_servers: int = 0
    unavailable_servers: int = 0
    config_reloads: int = 0
    config_reload_errors: int = 0
    invalid_peer_messages: int = 0

    @classmethod
    def for_classes(cls, class_names: Sequence[str]) -> Metrics:
        """Return metrics at zero, with an entry for each request class."""
        return cls({name: RequestOutcomes() for name in class_names})

    def outcomes_by_class(self) -> list[RequestOutcomes]:
        """Return the outcomes in the order of the request class indexes."""
        return list(self.downstream_requests.values())

    def encode(self) -> bytes:
        """Return the metrics as JSON."""
        return msgspec.json.encode(self)
