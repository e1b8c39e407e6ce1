"""``larchhaven members``: who of the other proxies is there, as one running proxy sees it."""

from __future__ import annotations

import sys
import time
from typing import Any

import msgspec

from larchhaven.cli.calls import CallError, get
from larchhaven.net.control.membership_transport import MembersState

WATCH_S = 1.0


def show(address: str, watch: bool, as_json: bool) -> int:
    """Print a proxy's view, once or each time it changes; return the exit code.

    It holds if the view is sure, nobody is accused or dead, and this is no minority of a cut.
    """
    last: Any = None
    while True:
        try:
            body = get(address, "/v1/members")
            state = msgspec.json.decode(body, type=MembersState)
        except (CallError, msgspec.DecodeError) as error:
            print(f"larchhaven members: {error}", file=sys.stderr)
            return 2
        seen = (
            [(m.number, m.state, m.incarnation, m.by) for m in state.members],
            state.sure,
            state.part,
        )
        if seen != last:
            if as_json:
                print(body.decode(), flush=True)
            else:
                _show(state)
        last = seen
        if not watch:
            return 0 if _holds(state) else 1
        try:
            time.sleep(WATCH_S)
        except KeyboardInterrupt:
            return 0 if _holds(state) else 1


def _holds(state: MembersState) -> bool:
    return (
        state.on
        and state.sure
        and state.part in ("whole", "majority", "unknown")
        and all(member.state in ("alive", "left") for member in state.members)
    )


def _show(state: MembersState) -> None:
    if not state.on:
        print(f"off: {state.why_off}")
        return
    sure = (
        ""
        if state.sure
        else ", not sure: nobody has answered since the start or a gap in its own time"
    )
    print(
        f"{state.here} of {state.table} here, part: {state.part} of {state.agreed} that last agreed{sure}"
    )
    if state.doubt:
        print(
            f"it doubts itself ({state.doubt} of 8), and waits {state.doubt + 1} times as long to accuse"
        )
    if state.zones_lost:
        print(f"zones of which nobody is here: {', '.join(map(str, state.zones_lost))}")
    print(
        f"{'no.':>4}  {'name':<24}  {'zone':>4}  {'state':<8}  {'for':>9}  {'incarnation':>11}  by"
    )
    for member in state.members:
        zone = "" if member.zone is None else str(member.zone)
        mark = " (this one)" if member.number == state.me else ""
        by = ", ".join(str(number) for number in member.by)
        name = member.name.encode("unicode_escape").decode()
        print(
            f"{member.number:>4}  {name:<24}  {zone:>4}  {member.state:<8}  {member.since_s:>8.1f}s"
            f"  {member.incarnation:>11}  {by}{mark}"
        )
    unheard = state.table - len(state.members)
    if unheard:
        print(f"{unheard} never heard of")
    refused = ", ".join(f"{reason} {count}" for reason, count in state.refused.items())
    if refused:
        print(f"datagrams refused: {refused}")
