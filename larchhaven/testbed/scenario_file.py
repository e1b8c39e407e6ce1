"""Reads a scenario in protobuf text format and checks the names that it refers to."""

from __future__ import annotations

from collections.abc import Iterator

from larchhaven.testbed.client_profile import DEFAULT_REQUEST_CLASS, read_request_class
from larchhaven.testbed.scenario_pb2 import Scenario

SERVER_EVENTS = frozenset({"drain", "ready", "gone", "crash", "hang", "start"})


def load_scenario(text: str) -> tuple[Scenario, list[str]]:
    """Read a scenario in protobuf text format.

    Args:
        text: The text of the scenario.

    Returns:
        The scenario and a message for each error. Parse errors start with their line and column;
        names are checked only if parsing found no error.
    """
    from larchhaven.operator.text_parser import parse_message

    parsed = parse_message(text, Scenario)
    scenario = parsed.message
    complaints = [f"{c.line}:{c.column}: {c.text}" for c in parsed.complaints]
    if not complaints:
        complaints = [
            *_check_event_servers(scenario),
            *_check_client_classes(scenario),
            *_check_client_members(scenario),
        ]
        if not server_names(scenario):
            complaints.append("servers: write at least one group of exam servers")
    return scenario, complaints


def server_names(scenario: Scenario) -> list[str]:
    """Return the names of the upstream servers of all groups."""
    count = sum(max(group.count, 1) for group in scenario.servers)
    return [f"s{number}" for number in range(count)]


def _check_event_servers(scenario: Scenario) -> Iterator[str]:
    names = server_names(scenario)
    for event in scenario.events:
        kind = event.WhichOneof("what")
        if kind in SERVER_EVENTS and getattr(event, kind) not in names:
            yield f"event {kind}: there is no exam server {getattr(event, kind)!r}"


def _check_client_classes(scenario: Scenario) -> Iterator[str]:
    defined = {request_class.name for request_class in scenario.classes} or {DEFAULT_REQUEST_CLASS}
    for group in scenario.terminals:
        name = read_request_class(group)
        if name not in defined:
            listed = ", ".join(sorted(defined))
            yield f"terminals: there is no class {name!r}, known are {listed}"


def _check_client_members(scenario: Scenario) -> Iterator[str]:
    defined = {member.name for member in scenario.members}
    for name in {group.member for group in scenario.terminals} - defined - {""}:
        yield f"terminals: there is no member {name!r}, known are {sorted(defined)}"
