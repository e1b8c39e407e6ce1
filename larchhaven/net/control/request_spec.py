"""What a client asks for, whatever its protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RequestSpec:
    """What a client asks for.

    It stays as it is, but for the payload, which is dropped once a server has accepted the request.

    Attributes:
        payload: What servers get to see, in the form of its protocol.
        class_index: Its class, by index into the settings.
        budget_us: Time that it may wait for its answer; None for the deadline of its class.
        identity: Its id, which no other open request has; empty where a protocol has none.
        affinity_key: Key of its connection, by which it is found again mid-flow.
        affinity_group: Group of connections that share state on a server.
        load: Expected load of its connection, in cores.
        is_retry: Whether its client has tried before.
        is_reconnect: Whether its client was connected before.
        is_mid_flow: Whether its connection is to go on where it was.
        pinned_server_id: The server that holds it already; no other will do.
        tenant_index: Its tenant, by index into the settings; past the last for none.
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
