"""Membership of real processes through kills, pauses, cuts and forged datagrams."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Collection
from pathlib import Path

import pytest

from larchhaven.membership.authenticator import DatagramAuthenticator
from larchhaven.membership.codec import MAX_DATAGRAM_BYTES
from larchhaven.membership.member import MemberState, make_stamp
from larchhaven.membership.messages import Message, MessageKind, StateUpdate
from larchhaven.net.control.membership_switch import derive_key
from larchhaven.testbed.proxy_fleet import MEMBERSHIP_KEY, ProxyFleet, write_operator_text

# Generous, so that a busy machine gives the same verdict; nothing is expected to take a least time.
SOON, LATER = 20.0, 40.0


def run(folder: Path, size: int, script: Callable[[ProxyFleet], Awaitable[None]]) -> ProxyFleet:
    """Start a fleet, play a script on it, end it; nothing may have gone wrong inside a process."""

    async def whole() -> ProxyFleet:
        fleet = ProxyFleet(size, folder)
        await fleet.start()
        try:
            await script(fleet)
        finally:
            errors = await fleet.stop()
        assert not errors, errors
        return fleet

    return asyncio.run(whole())


def said_dead(fleet: ProxyFleet) -> list[str]:
    return [line for proxy in fleet.proxies for line in proxy.log if "dead" in line]


async def refused(fleet: ProxyFleet, number: int) -> dict[str, int]:
    return dict((await fleet.read_view(number))["refused"])


async def agreed(
    fleet: ProxyFleet,
    states: dict[int, str],
    seconds: float = SOON,
    observers: Collection[int] | None = None,
) -> None:
    step = await fleet.expect_agreement(states, seconds, observers)
    assert step.holds, (step, [line for proxy in fleet.proxies for line in list(proxy.log)[-3:]])


async def no_harm_by_links(fleet: ProxyFleet) -> None:
    """Cut pairs that others reach, a lossy network, a short pause: nobody is declared dead."""
    await agreed(fleet, {})
    fleet.network.cut_links([2], [3], one_way=True)
    fleet.network.cut_links([4], [5])
    fleet.network.set_link_quality(loss_ratio=0.15, mean_delay_s=0.004, duplicate_ratio=0.3)
    fleet.pause(7)
    await asyncio.sleep(1.5)
    fleet.resume(7)
    await asyncio.sleep(3.5)
    fleet.network.set_link_quality()
    fleet.network.heal_links(range(8), range(8))
    await agreed(fleet, {})
    assert not said_dead(fleet)


async def forged(fleet: ProxyFleet) -> None:
    """Forged, truncated and replayed datagrams, and those of later versions, are only counted."""
    before = await fleet.read_view(0)
    key = derive_key(MEMBERSHIP_KEY)
    death = StateUpdate(2, make_stamp(1 << 29, MemberState.DEAD), 1)
    kill = Message(MessageKind.GOSSIP, 1, 0, 1 << 20, state_updates=(death,))
    stolen = DatagramAuthenticator(1, 8, 5, (b"another key",))
    gate = DatagramAuthenticator(1, 8, 5, (key,))
    right = gate.seal(Message(MessageKind.GOSSIP, 1, 0, make_stamp(1, MemberState.ALIVE)))
    future = bytearray(right)
    future[1] = 9
    longest = b"M" * MAX_DATAGRAM_BYTES
    for data in (stolen.seal(kill), right[:-1], bytes(future), b"M", longest, longest + b"M"):
        fleet.network.inject(1, 0, data)
    fleet.network.inject(2, 0, right)  # of another address than it says
    mine = next(m["incarnation"] for m in before["members"] if m["number"] == 1)
    again = gate.seal(
        Message(MessageKind.GOSSIP, 1, 0, make_stamp(mine, MemberState.ALIVE))
    )  # the incarnation of a living one
    fleet.network.inject(1, 0, again)

    async def counted() -> str:
        seen = await refused(fleet, 0)
        wanted = {"tag": 1, "version": 2, "size": 2, "table": 1, "replayed": 1}
        more = {name: seen.get(name, 0) - before["refused"].get(name, 0) for name in wanted}
        return "" if more == wanted else str(more)

    step = await fleet.wait_until("forgeries are counted", counted, SOON)
    assert step.holds, step
    await agreed(fleet, {})


async def roll_key(fleet: ProxyFleet) -> None:
    """All get the new key as their second, then as their first: no member is lost on the way."""
    for text in (
        write_operator_text(MEMBERSHIP_KEY, "the next key of all"),
        write_operator_text("the next key of all", MEMBERSHIP_KEY),
    ):
        for number in range(fleet.size):
            fleet.replace_operator_file(number, text)
            await asyncio.sleep(0.05)  # some have it and some do not
    await asyncio.sleep(1.0)
    await agreed(fleet, {})
    assert not said_dead(fleet)


async def deaths(fleet: ProxyFleet) -> None:
    """A restart without files; a long pause; a graceful shutdown; half of the fleet killed."""
    fleet.kill(3)
    fleet.pause(5)
    await agreed(fleet, {3: "dead", 5: "dead"})
    await fleet.restart(3, without_files=True)
    fleet.resume(5)
    await agreed(fleet, {})
    assert any(
        "briefly declared dead" in line or "alive: " in line for line in fleet.proxies[0].log
    )
    fleet.shut_down(2)
    await agreed(fleet, {2: "left|dead"}, 8)
    fleet.kill(0, 1, 4)
    await agreed(fleet, {0: "dead", 1: "dead", 2: "left|dead", 4: "dead"}, LATER)


async def cut_between_zones(fleet: ProxyFleet) -> None:
    """Each side says that the other is dead, and which part it is; healed, all views get equal."""
    await agreed(fleet, {})

    async def settled() -> str:
        views = [await fleet.read_view(number) for number in range(fleet.size)]
        return (
            ""
            if all(view["part"] == "whole" for view in views)
            else str([v["part"] for v in views])
        )

    assert (await fleet.wait_until("all agree who is here", settled, LATER)).holds
    ours = [n for n in range(fleet.size) if n % fleet.zones == 1]
    theirs = [n for n in range(fleet.size) if n % fleet.zones != 1]
    fleet.network.cut_links(ours, theirs)

    async def parts_are(number: int, part: str, zones_lost: list[int], agreed_on: int) -> None:
        async def says() -> str:
            view = await fleet.read_view(number)
            seen = (view["part"], view["zones_lost"], view["agreed"])
            return "" if seen == (part, zones_lost, agreed_on) else str(seen)

        step = await fleet.wait_until(f"{number} says that it is of the {part}", says, LATER)
        assert step.holds, step

    # The larger side is a majority for AGREEMENT_DELAY_US only, then it is the whole: so first.
    await parts_are(theirs[0], "majority", [1], fleet.size)
    await agreed(fleet, dict.fromkeys(theirs, "dead"), LATER, observers=ours)
    await agreed(fleet, dict.fromkeys(ours, "dead"), LATER, observers=theirs)
    await parts_are(theirs[0], "whole", [], len(theirs))
    await parts_are(ours[0], "minority", [0, 2], fleet.size)  # however long it waits
    fleet.network.heal_links(ours, theirs)
    await agreed(fleet, {})
    # One has another table of peers, as after a change that reached some only: it is counted.
    one = fleet.proxies[0]
    one.configuration["peers"] = one.configuration["peers"][:-1]
    fleet.kill(0)
    await fleet.restart(0)
    await agreed(fleet, {}, observers=range(1, fleet.size))

    async def counted() -> str:
        view = await fleet.read_view(0)
        beyond = view["counts"].get("numbers beyond the table", 0)
        return "" if beyond and len(view["members"]) == fleet.size - 1 else str(view)

    assert (await fleet.wait_until("a shorter table is seen", counted, SOON)).holds


def test_faults_in_a_tier_of_eight(tmp_path: Path) -> None:
    async def script(fleet: ProxyFleet) -> None:
        for part in (no_harm_by_links, forged, roll_key, deaths):
            await part(fleet)

    run(tmp_path, 8, script)


def test_cut_between_zones_and_a_shorter_table(tmp_path: Path) -> None:
    run(tmp_path, 8, cut_between_zones)


@pytest.mark.parametrize("off", ["file", "settings"])
def test_membership_is_off_unless_file_and_settings_allow_it(tmp_path: Path, off: str) -> None:
    """Where talk is forbidden nothing is sent, whatever the operators' file says."""

    async def whole() -> None:
        fleet = ProxyFleet(
            2, tmp_path, membership_enabled=off != "file", may_tell=off != "settings"
        )
        await fleet.start()
        try:
            await asyncio.sleep(1.0)
            views = [await fleet.read_view(number) for number in range(2)]
        finally:
            errors = await fleet.stop()
        assert not errors, errors
        why = "operators' file" if off == "file" else "settings do not let"
        assert all(not view["on"] and why in view["why_off"] for view in views)
        assert all(link.forwarded == link.lost == 0 for link in fleet.network.links.values())

    asyncio.run(whole())


def test_off_and_on_again_while_running(tmp_path: Path) -> None:
    async def script(fleet: ProxyFleet) -> None:
        await agreed(fleet, {})
        fleet.replace_operator_file(1, write_operator_text(enabled=False))
        fleet.stopped.add(1)
        await agreed(fleet, {1: "left|dead"})
        fleet.replace_operator_file(1, write_operator_text())
        fleet.stopped.discard(1)
        await agreed(fleet, {})
        fleet.proxies[1].send_signal(signal.SIGHUP)  # the same again changes nothing

        async def read() -> str:
            reloads = int((await fleet.proxies[1].call("/v1/metrics"))["config_reloads"])
            return "" if reloads == 6 else f"{reloads} files read again"

        assert (await fleet.wait_until("both files are read three times", read, SOON)).holds
        await agreed(fleet, {})

    run(tmp_path, 3, script)
