"""The scenarios of a soak: churn as at the site but faster, and abuses by name on top of it."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.testbed.scenario_pb2 import Event, Scenario, Terminals

# The site sees 2.7 arrivals a second, each standing for 32 to 67 s; 20 times as many with short stays give a
# day's worth of connections in 40 minutes and as many standing at a time as fit.
SITE_ARRIVALS = 2.7
STAY_S = 4.0


@dataclass(frozen=True, slots=True)
class Abuse:
    """One way to wear a proxy out: terminals that do it, or events."""

    text: str
    purpose: str  # the purpose that it presses on
    habit: int = Terminals.USUAL
    rate: float = 0.0  # a second
    stay: float = 10.0
    size: int = 0
    id_bytes: int = 16
    surge_every: float = 0.0
    surge: int = 0
    reconnect_every: float = 0.0


ABUSES: dict[str, Abuse] = {
    "never-read": Abuse(
        "clients that ask for 2 MB and read nothing",
        "kernel",
        Terminals.NEVER_READ,
        4,
        20,
        2_000_000,
    ),
    "silent": Abuse(
        "clients that connect and say nothing", "connections", Terminals.SILENT, 60, 30
    ),
    "slow-lines": Abuse(
        "first lines that come byte by byte", "buffers", Terminals.SLOW_LINES, 20, 30
    ),
    "half-command": Abuse("half a first line", "buffers", Terminals.HALF_COMMAND, 40, 30),
    "endless": Abuse(
        "60 MB without an end of line", "buffers", Terminals.ENDLESS, 0.5, 60, 60_000_000
    ),
    "resets": Abuse(
        "connections that break as soon as they stand", "connections", Terminals.RESETS, 30
    ),
    "cut": Abuse("first lines cut off at any byte", "connections", Terminals.CUT, 60),
    "long-ids": Abuse("ids of 2,000 bytes", "tables", Terminals.USUAL, 10, 4, 0, 2_000),
    "surge": Abuse(
        "three times as many clients as fit, at once", "connections", surge_every=15, surge=1_440
    ),
    "reconnect": Abuse("all break and come again within 1.7 s", "connections", reconnect_every=10),
}


def day(
    seconds: float, arrivals: float, memory_mb: float, sockets: int, seed: int, abuse: str = ""
) -> Scenario:
    """Write the scenario: usual traffic, and one abuse on top if one is named."""
    scenario = Scenario(name=f"soak {abuse}".strip(), seed=seed, seconds=seconds)
    scenario.grant.memory_mb, scenario.grant.sockets = memory_mb, sockets
    scenario.classes.add(name="cevap-kaydet", aim_ms=500, deadline_ms=2000, worth=1)
    scenario.classes.add(name="sinav-bitir", aim_ms=300, deadline_ms=1800, worth=5)
    # Room for twice what stands, so that the fleet itself refuses nobody.
    standing = arrivals * STAY_S
    scenario.servers.add(count=10, capacity=max(standing / 4, 150), setup_ms=4)
    for name, share in (("cevap-kaydet", 0.85), ("sinav-bitir", 0.15)):
        group = scenario.terminals.add(
            arrivals_per_second=arrivals * share,
            stay_seconds=STAY_S,
            message_seconds=1.0,
            retries=1,
        )
        setattr(group, "class", name)
    if abuse:
        what = ABUSES[abuse]
        if what.rate:
            group = scenario.terminals.add(
                habit=what.habit,
                arrivals_per_second=what.rate,
                stay_seconds=what.stay,
                message_seconds=1.0,
                bytes=what.size,
                id_bytes=what.id_bytes,
            )
            setattr(group, "class", "cevap-kaydet")
        _every(scenario, seconds, what.surge_every, Event(surge=what.surge))
        _every(scenario, seconds, what.reconnect_every, Event(reconnect_all=True))
    return scenario


def _every(scenario: Scenario, seconds: float, gap: float, event: Event) -> None:
    at = gap / 2
    while gap and at < seconds - 3:
        event.at_seconds = at
        scenario.events.add().CopyFrom(event)
        at += gap
