"""Membership of real proxy processes under kills, pauses, network cuts and forged datagrams."""

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

# Long enough that a busy machine gives the same verdict. No step has a lower time limit.
TIMEOUT_S, LONG_TIMEOUT_S = 20.0, 40.0


def run_script(
    folder: Path, size: int, script: Callable[[ProxyFleet], Awaitable[None]]
) -> ProxyFleet:
    """Run a script on a new fleet, and check that no process logged an unexpected error."""

    async def run() -> ProxyFleet:
        fleet = ProxyFleet(size, folder)
        await fleet.start()
        try:
            await script(fleet)
        finally:
            errors = await fleet.stop()
        assert not errors, errors
        return fleet

    return asyncio.run(run())


def logged_deaths(fleet: ProxyFleet) -> list[str]:
    return [line for proxy in fleet.proxies for line in proxy.log if "dead" in line]


async def read_rejections(fleet: ProxyFleet, number: int) -> dict[str, int]:
    return dict((await fleet.read_view(number))["refused"])


async def assert_agreed(
    fleet: ProxyFleet,
    states: dict[int, str],
    timeout_s: float = TIMEOUT_S,
    observers: Collection[int] | None = None,
) -> None:
    step = await fleet.expect_agreement(states, timeout_s, observers)
    assert step.holds, (step, [line for proxy in fleet.proxies for line in list(proxy.log)[-3:]])


async def check_survivable_faults(fleet: ProxyFleet) -> None:
    """No member is declared dead over a few cut links, a lossy network or a short pause.

    Each member of a cut pair is still reached by the others.
    """
    await assert_agreed(fleet, {})
    fleet.network.cut_links([2], [3], one_way=True)
    fleet.network.cut_links([4], [5])
    fleet.network.set_link_quality(loss_ratio=0.15, mean_delay_s=0.004, duplicate_ratio=0.3)
    fleet.pause(7)
    await asyncio.sleep(1.5)
    fleet.resume(7)
    await asyncio.sleep(3.5)
    fleet.network.set_link_quality()
    fleet.network.heal_links(range(8), range(8))
    await assert_agreed(fleet, {})
    assert not logged_deaths(fleet)


async def check_invalid_datagrams(fleet: ProxyFleet) -> None:
    """Forged, truncated, replayed and later-version datagrams are counted and have no effect."""
    view_before = await fleet.read_view(0)
    key = derive_key(MEMBERSHIP_KEY)
    death = StateUpdate(2, make_stamp(1 << 29, MemberState.DEAD), 1)
    forged_death = Message(MessageKind.GOSSIP, 1, 0, 1 << 20, state_updates=(death,))
    wrong_authenticator = DatagramAuthenticator(1, 8, 5, (b"another key",))
    authenticator = DatagramAuthenticator(1, 8, 5, (key,))
    valid = authenticator.seal(Message(MessageKind.GOSSIP, 1, 0, make_stamp(1, MemberState.ALIVE)))
    later_version = bytearray(valid)
    later_version[1] = 9
    longest = b"M" * MAX_DATAGRAM_BYTES
    for data in (
        wrong_authenticator.seal(forged_death),
        valid[:-1],
        bytes(later_version),
        b"M",
        longest,
        longest + b"M",
    ):
        fleet.network.inject(1, 0, data)
    fleet.network.inject(2, 0, valid)  # its sender is 1, but it comes from the address of 2
    incarnation = next(m["incarnation"] for m in view_before["members"] if m["number"] == 1)
    # The current incarnation of a live member with another ``session_id`` counts as a replay.
    replay = authenticator.seal(
        Message(MessageKind.GOSSIP, 1, 0, make_stamp(incarnation, MemberState.ALIVE))
    )
    fleet.network.inject(1, 0, replay)

    async def find_uncounted() -> str:
        rejections = await read_rejections(fleet, 0)
        expected = {"tag": 1, "version": 2, "size": 2, "table": 1, "replayed": 1}
        increases = {
            name: rejections.get(name, 0) - view_before["refused"].get(name, 0) for name in expected
        }
        return "" if increases == expected else str(increases)

    step = await fleet.wait_until("invalid datagrams are counted", find_uncounted, TIMEOUT_S)
    assert step.holds, step
    await assert_agreed(fleet, {})


async def check_key_rotation(fleet: ProxyFleet) -> None:
    """No member is declared dead while the members switch to a new key one after the other.

    Every member first gets the new key as its second key, then as its first one.
    """
    for text in (
        write_operator_text(MEMBERSHIP_KEY, "the next key of all"),
        write_operator_text("the next key of all", MEMBERSHIP_KEY),
    ):
        for number in range(fleet.size):
            fleet.replace_operator_file(number, text)
            await asyncio.sleep(0.05)  # for a while only some members have the file
    await asyncio.sleep(1.0)
    await assert_agreed(fleet, {})
    assert not logged_deaths(fleet)


async def check_deaths_and_returns(fleet: ProxyFleet) -> None:
    """All members agree after kills, a restart without files, a long pause and a shutdown."""
    fleet.kill(3)
    fleet.pause(5)
    await assert_agreed(fleet, {3: "dead", 5: "dead"})
    await fleet.restart(3, without_files=True)
    fleet.resume(5)
    await assert_agreed(fleet, {})
    assert any(
        "briefly declared dead" in line or "alive: " in line for line in fleet.proxies[0].log
    )
    fleet.shut_down(2)
    await assert_agreed(fleet, {2: "left|dead"}, 8)
    fleet.kill(0, 1, 4)
    await assert_agreed(fleet, {0: "dead", 1: "dead", 2: "left|dead", 4: "dead"}, LONG_TIMEOUT_S)


async def check_partition_between_zones(fleet: ProxyFleet) -> None:
    """Each side of a partition declares the other dead and reports which side it is on.

    After the cut heals all views are equal again. A process with a shorter peer table counts the
    members that its table lacks.
    """
    await assert_agreed(fleet, {})

    async def find_incomplete() -> str:
        views = [await fleet.read_view(number) for number in range(fleet.size)]
        return (
            ""
            if all(view["part"] == "whole" for view in views)
            else str([v["part"] for v in views])
        )

    assert (
        await fleet.wait_until("all report the whole fleet", find_incomplete, LONG_TIMEOUT_S)
    ).holds
    minority = [n for n in range(fleet.size) if n % fleet.zones == 1]
    majority = [n for n in range(fleet.size) if n % fleet.zones != 1]
    fleet.network.cut_links(minority, majority)

    async def assert_side(number: int, side: str, lost_zones: list[int], agreed_count: int) -> None:
        async def find_mismatch() -> str:
            view = await fleet.read_view(number)
            reported = (view["part"], view["zones_lost"], view["agreed"])
            return "" if reported == (side, lost_zones, agreed_count) else str(reported)

        step = await fleet.wait_until(
            f"{number} reports side {side}", find_mismatch, LONG_TIMEOUT_S
        )
        assert step.holds, step

    # Checked first: after AGREEMENT_DELAY_US the majority counts as the whole fleet.
    await assert_side(majority[0], "majority", [1], fleet.size)
    await assert_agreed(fleet, dict.fromkeys(majority, "dead"), LONG_TIMEOUT_S, observers=minority)
    await assert_agreed(fleet, dict.fromkeys(minority, "dead"), LONG_TIMEOUT_S, observers=majority)
    await assert_side(majority[0], "whole", [], len(majority))
    # The minority never counts as the whole fleet.
    await assert_side(minority[0], "minority", [0, 2], fleet.size)
    fleet.network.heal_links(minority, majority)
    await assert_agreed(fleet, {})
    # One process has a shorter peer table, as after a change that reached only some processes.
    proxy = fleet.proxies[0]
    proxy.configuration["peers"] = proxy.configuration["peers"][:-1]
    fleet.kill(0)
    await fleet.restart(0)
    await assert_agreed(fleet, {}, observers=range(1, fleet.size))

    async def find_uncounted() -> str:
        view = await fleet.read_view(0)
        beyond_table = view["counts"].get("numbers beyond the table", 0)
        return "" if beyond_table and len(view["members"]) == fleet.size - 1 else str(view)

    assert (
        await fleet.wait_until(
            "members beyond the shorter table are counted", find_uncounted, TIMEOUT_S
        )
    ).holds


def test_membership_under_faults_in_a_fleet_of_eight(tmp_path: Path) -> None:
    async def script(fleet: ProxyFleet) -> None:
        for check in (
            check_survivable_faults,
            check_invalid_datagrams,
            check_key_rotation,
            check_deaths_and_returns,
        ):
            await check(fleet)

    run_script(tmp_path, 8, script)


def test_partition_between_zones_and_a_shorter_peer_table(tmp_path: Path) -> None:
    run_script(tmp_path, 8, check_partition_between_zones)


@pytest.mark.parametrize("disabled_by", ["file", "settings"])
def test_membership_is_off_unless_file_and_settings_allow_it(
    tmp_path: Path, disabled_by: str
) -> None:
    """No datagram is sent if either the operators' file or the settings turn membership off."""

    async def run() -> None:
        fleet = ProxyFleet(
            2,
            tmp_path,
            membership_enabled=disabled_by != "file",
            can_gossip=disabled_by != "settings",
        )
        await fleet.start()
        try:
            await asyncio.sleep(1.0)
            views = [await fleet.read_view(number) for number in range(2)]
        finally:
            errors = await fleet.stop()
        assert not errors, errors
        reason = "operators' file" if disabled_by == "file" else "settings do not let"
        assert all(not view["on"] and reason in view["why_off"] for view in views)
        assert all(link.forwarded == link.lost == 0 for link in fleet.network.links.values())

    asyncio.run(run())


def test_membership_is_turned_off_and_on_while_running(tmp_path: Path) -> None:
    async def script(fleet: ProxyFleet) -> None:
        await assert_agreed(fleet, {})
        fleet.replace_operator_file(1, write_operator_text(enabled=False))
        fleet.stopped.add(1)
        await assert_agreed(fleet, {1: "left|dead"})
        fleet.replace_operator_file(1, write_operator_text())
        fleet.stopped.discard(1)
        await assert_agreed(fleet, {})
        fleet.proxies[1].send_signal(signal.SIGHUP)  # reloading unchanged files has no effect

        async def find_missing_reloads() -> str:
            reloads = int((await fleet.proxies[1].call("/v1/metrics"))["config_reloads"])
            return "" if reloads == 6 else f"{reloads} of 6 file reloads"

        assert (
            await fleet.wait_until(
                "both files are reloaded three times", find_missing_reloads, TIMEOUT_S
            )
        ).holds
        await assert_agreed(fleet, {})

    run_script(tmp_path, 3, script)
