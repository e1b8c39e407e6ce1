"""Parameters of a client's request, independent of its protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RequestSpec:
    """Parameters of a client's request.

    Only the payload changes: it is dropped once a server has accepted the request.

    Attributes:
        payload: The request as it is sent to the server, encoded in the client's protocol.
        class_index: Index of the request class in the settings.
        budget_us: Maximum time to the answer, in microseconds; None for the deadline of the class.
        identity: Id that is unique among open requests; empty if the protocol has none.
        affinity_key: Key of the connection, by which its server is found again mid-flow.
        affinity_group: Group of connections that share state on a server.
        load: Expected load of the connection, in cores.
        is_retry: Whether the client has sent this request before.
        is_reconnect: Whether the client was connected before.
        is_mid_flow: Whether the connection continues an earlier one mid-flow.
        pinned_server_id: Server that already holds the connection; no other server can be used.
        tenant_index: Index of the tenant in the settings; past the last index if there is none.
    """

    payload: bytes
    class_index: int
    budget_us: int | None
    identity: bytes = b""
    affinity_key: int | None = None
    affinity_group: int | None = None
    load: float | None = None
    is_retry: bool = False
    is_reconnect: bool = False
    is_mid_flow: bool = False
    pinned_server_id: str | None = None
    tenant_index: int = 0

    def drop_payload(self) -> None:
        """Drop the payload: it may be 4 KiB long, and a connection may last for hours."""
        self.payload = b""
