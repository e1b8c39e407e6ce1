"""Builds the scenarios of a soak: connection churn above the production rate, and abuses."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.soak.abuses import ABUSES, Abuse
from larchhaven.testbed.scenario_pb2 import Event, Scenario, Terminals

# In production 2.7 clients arrive per second and stay for 32 to 67 s. Twenty times that rate gives
# the connections of a day in 40 minutes. The short stay keeps as many connections established at a
# time as the grant allows.
MEAN_STAY_S = 4.0
MESSAGE_INTERVAL_S = 1.0
SERVER_COUNT = 10
SERVER_SETUP_MS = 4
MIN_SERVER_CAPACITY = 150
# Capacity of one server as a fraction of all established connections. The servers together have
# more than twice the capacity that these connections need, so no server rejects a request.
SERVER_CAPACITY_FRACTION = 0.25
# No event is scheduled this close to the end, so that the effects of the last one can be observed.
QUIET_END_S = 3.0
USUAL_CLASS = "cevap-kaydet"
URGENT_CLASS = "sinav-bitir"
USUAL_CLASS_FRACTION = 0.85
URGENT_CLASS_FRACTION = 0.15


@dataclass(frozen=True, slots=True)
class SoakLoad:
    """The traffic of a soak and the resources that the proxy is granted.

    Attributes:
        arrivals_per_second: New connections per second.
        memory_mb: Memory granted to the proxy.
        sockets: Descriptors granted to the proxy.
        seed: Seed of the scenario.
    """

    arrivals_per_second: float
    memory_mb: float
    sockets: int
    seed: int


def build_soak_scenario(duration_s: float, load: SoakLoad, abuse_name: str = "") -> Scenario:
    """Build a scenario of usual traffic, with an abuse added if one is named.

    Args:
        duration_s: Duration of the scenario.
        load: The traffic and the grant.
        abuse_name: A key of ``ABUSES``; empty for no abuse.
    """
    name = f"soak {abuse_name}".strip()
    scenario = Scenario(name=name, seed=load.seed, seconds=duration_s)
    scenario.grant.memory_mb = load.memory_mb
    scenario.grant.sockets = load.sockets
    scenario.classes.add(name=USUAL_CLASS, aim_ms=500, deadline_ms=2000, worth=1)
    scenario.classes.add(name=URGENT_CLASS, aim_ms=300, deadline_ms=1800, worth=5)
    established = load.arrivals_per_second * MEAN_STAY_S
    capacity = max(established * SERVER_CAPACITY_FRACTION, MIN_SERVER_CAPACITY)
    scenario.servers.add(count=SERVER_COUNT, capacity=capacity, setup_ms=SERVER_SETUP_MS)
    _add_usual_clients(scenario, USUAL_CLASS, load.arrivals_per_second * USUAL_CLASS_FRACTION)
    _add_usual_clients(scenario, URGENT_CLASS, load.arrivals_per_second * URGENT_CLASS_FRACTION)
    if abuse_name:
        _add_abuse(scenario, ABUSES[abuse_name])
    return scenario


def _add_usual_clients(scenario: Scenario, request_class: str, arrivals_per_second: float) -> None:
    group = scenario.terminals.add(
        arrivals_per_second=arrivals_per_second,
        stay_seconds=MEAN_STAY_S,
        message_seconds=MESSAGE_INTERVAL_S,
        retries=1,
    )
    _set_class(group, request_class)


def _set_class(group: Terminals, request_class: str) -> None:
    """Set the class of a group's requests; the field is named ``class``, a Python keyword."""
    setattr(group, "class", request_class)


def _add_abuse(scenario: Scenario, abuse: Abuse) -> None:
    if abuse.arrivals_per_second:
        group = scenario.terminals.add(
            habit=Terminals.Habit.ValueType(abuse.behavior),
            arrivals_per_second=abuse.arrivals_per_second,
            stay_seconds=abuse.mean_stay_s,
            message_seconds=MESSAGE_INTERVAL_S,
            bytes=abuse.flood_bytes,
            id_bytes=abuse.request_id_bytes,
        )
        _set_class(group, USUAL_CLASS)
    if abuse.surge_interval_s:
        _repeat_event(scenario, abuse.surge_interval_s, Event(surge=abuse.surge_clients))
    if abuse.reconnect_interval_s:
        _repeat_event(scenario, abuse.reconnect_interval_s, Event(reconnect_all=True))


def _repeat_event(scenario: Scenario, interval_s: float, event: Event) -> None:
    at_s = interval_s / 2
    while at_s < scenario.seconds - QUIET_END_S:
        event.at_seconds = at_s
        scenario.events.add().CopyFrom(event)
        at_s += interval_s
