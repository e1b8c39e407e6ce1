"""Abuses by name: ways to wear a proxy out, each pressing on one memory purpose."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.testbed.client_profile import ClientBehavior


@dataclass(frozen=True, slots=True)
class Abuse:
    """One way to wear a proxy out: clients that misbehave, or events.

    Attributes:
        description: What happens.
        purpose: The memory purpose that it presses on.
        behavior: How its clients behave.
        arrivals_per_second: Rate of its clients; 0 if events alone make it.
        mean_stay_s: How long its clients stay.
        flood_bytes: Bytes of a flood or of an endless line.
        request_id_bytes: Length of a request's identity.
        surge_interval_s: Time between two surges; 0 for none.
        surge_clients: Clients that arrive at once in a surge.
        reconnect_interval_s: Time between two breaks of all connections; 0 for none.
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
        "clients that ask for 2 MB and read nothing",
        "kernel",
        behavior=ClientBehavior.NEVER_READ,
        arrivals_per_second=4,
        mean_stay_s=20,
        flood_bytes=2_000_000,
    ),
    "silent": Abuse(
        "clients that connect and say nothing",
        "connections",
        behavior=ClientBehavior.SILENT,
        arrivals_per_second=60,
        mean_stay_s=30,
    ),
    "slow-lines": Abuse(
        "first lines that come byte by byte",
        "buffers",
        behavior=ClientBehavior.SLOW_LINES,
        arrivals_per_second=20,
        mean_stay_s=30,
    ),
    "half-command": Abuse(
        "half a first line",
        "buffers",
        behavior=ClientBehavior.HALF_REQUEST_LINE,
        arrivals_per_second=40,
        mean_stay_s=30,
    ),
    "endless": Abuse(
        "60 MB without an end of line",
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
        "first lines cut off at any byte",
        "connections",
        behavior=ClientBehavior.CUT_REQUEST_LINE,
        arrivals_per_second=60,
    ),
    "long-ids": Abuse(
        "ids of 2,000 bytes",
        "tables",
        arrivals_per_second=10,
        mean_stay_s=4,
        request_id_bytes=2_000,
    ),
    "surge": Abuse(
        "three times as many clients as fit, at once",
        "connections",
        surge_interval_s=15,
        surge_clients=1_440,
    ),
    "reconnect": Abuse(
        "all break and connect again within 1.7 s",
        "connections",
        reconnect_interval_s=10,
    ),
}
