"""The established connections of this proxy, by server and by tenant."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from larchhaven.routing.request import Request
from larchhaven.routing.server import Server


class ConnectionTable:
    """The connections that are established and have not ended.

    Attributes:
        count_by_tenant: Number of connections of each tenant, by its index.
    """

    def __init__(self) -> None:
        self.count_by_tenant: Counter[int] = Counter()
        self._by_server: dict[str, dict[int, Request]] = {}

    def on_server(self, server: Server) -> Mapping[int, Request]:
        """Return the connections of a server, by request id, oldest first."""
        return self._by_server.get(server.id, {})

    def add_connection(self, request: Request) -> None:
        """Add a connection that was just established."""
        self.count_by_tenant[request.tenant_index] += 1
        if request.server is not None:
            self._by_server.setdefault(request.server.id, {})[request.id] = request

    def remove_connection(self, request: Request) -> None:
        """Remove a connection that has ended."""
        self.count_by_tenant[request.tenant_index] -= 1
        if request.server is not None:
            self._by_server.get(request.server.id, {}).pop(request.id, None)
