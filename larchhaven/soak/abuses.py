"""The abuses of a soak: client behavior and events that each stress one memory purpose."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.testbed.client_profile import ClientBehavior


@dataclass(frozen=True, slots=True)
class Abuse:
    """One kind of abuse: misbehaving clients, or events that affect all clients.

    Attributes:
        description: What the clients do, in a few words.
        purpose: Key of the memory purpose that it stresses.
        behavior: Behavior of its clients.
        arrivals_per_second: Arrival rate of its clients; 0 if the abuse consists of events only.
        mean_stay_s: Mean time for which a client stays connected.
        flood_bytes: Bytes that a client requests without reading, or sends without a line end.
        request_id_bytes: Length of a request's id.
        surge_interval_s: Time between two surges; 0 for no surges.
        surge_clients: Number of clients that arrive at once in a surge.
        reconnect_interval_s: Time between two breaks of all connections; 0 for no breaks.
    """

    description: str
    purpose: str
    behavior: ClientBehavior = ClientBehavior.USUAL
    arrivals_per_second: float = 0.0
    mean_stay_s: float = 10.0
    flood_bytes: int = 0
    request_id_bytes: int = 16
    surge_interval_s: float = 0.0
    surge_clients: int = 0
    reconnect_interval_s: float = 0.0


ABUSES: dict[str, Abuse] = {
    "never-read": Abuse(
        "clients that request 2 MB and never read the response",
        "kernel",
        behavior=ClientBehavior.NEVER_READ,
        arrivals_per_second=4,
        mean_stay_s=20,
        flood_bytes=2_000_000,
    ),
    "silent": Abuse(
        "clients that connect and send nothing",
        "connections",
        behavior=ClientBehavior.SILENT,
        arrivals_per_second=60,
        mean_stay_s=30,
    ),
    "slow-lines": Abuse(
        "request lines that arrive byte by byte",
        "buffers",
        behavior=ClientBehavior.SLOW_LINES,
        arrivals_per_second=20,
        mean_stay_s=30,
    ),
    "half-command": Abuse(
        "request lines of which only the first half arrives",
        "buffers",
        behavior=ClientBehavior.HALF_REQUEST_LINE,
        arrivals_per_second=40,
        mean_stay_s=30,
    ),
    "endless": Abuse(
        "60 MB without a line end",
        "buffers",
        behavior=ClientBehavior.ENDLESS_LINE,
        arrivals_per_second=0.5,
        mean_stay_s=60,
        flood_bytes=60_000_000,
    ),
    "resets": Abuse(
        "connections that are reset as soon as they are established",
        "connections",
        behavior=ClientBehavior.RESETS,
        arrivals_per_second=30,
    ),
    "cut": Abuse(
        "request lines truncated at a random byte",
        "connections",
        behavior=ClientBehavior.CUT_REQUEST_LINE,
        arrivals_per_second=60,
    ),
    "long-ids": Abuse(
        "request ids of 2,000 bytes",
        "tables",
        arrivals_per_second=10,
        mean_stay_s=4,
        request_id_bytes=2_000,
    ),
    "surge": Abuse(
        "three times as many clients at once as the proxy can hold",
        "connections",
        surge_interval_s=15,
        surge_clients=1_440,
    ),
    "reconnect": Abuse(
        "all connections break, and the clients reconnect within 1.7 s",
        "connections",
        reconnect_interval_s=10,
    ),
}
