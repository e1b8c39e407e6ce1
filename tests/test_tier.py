"""Real processes with a faulty network between them: membership through kills, pauses, cuts, forgeries."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from larchhaven.membership.authenticator import DatagramAuthenticator
from larchhaven.membership.codec import MAX_DATAGRAM_BYTES
from larchhaven.membership.member import MemberState, make_stamp
from larchhaven.membership.messages import Message, MessageKind, StateUpdate
from larchhaven.net.control.membership_switch import derive_key
from larchhaven.testbed.proxy_fleet import KEY, Tier, operator_text

# Generous, so that a busy machine gives the same verdict; nothing is expected to take a least time.
SOON, LATER = 20.0, 40.0


def run(folder: Path, size: int, script: Callable[[Tier], Awaitable[None]]) -> Tier:
    """Start a tier, play a script on it, end it; nothing may have gone wrong inside a process."""

    async def whole() -> Tier:
        tier = Tier(size, folder)
        await tier.start()
        try:
            await script(tier)
        finally:
            errors = await tier.end()
        assert not errors, errors
        return tier

    return asyncio.run(whole())


def said_dead(tier: Tier) -> list[str]:
    return [line for proxy in tier.proxies for line in proxy.log if "dead" in line]


async def refused(tier: Tier, number: int) -> dict[str, int]:
    return dict((await tier.view(number))["refused"])


async def agreed(tier: Tier, states: dict[int, str], seconds: float = SOON, **more: object) -> None:
    step = await tier.expect(states, seconds, **more)  # type: ignore[arg-type]
    assert step.holds, (step, [line for proxy in tier.proxies for line in list(proxy.log)[-3:]])


async def no_harm_by_links(tier: Tier) -> None:
    """Cuts of pairs that others hear both of, a bad network, a moment's pause: nobody dies."""
    await agreed(tier, {})
    tier.network.cut([2], [3], one_way=True)
    tier.network.cut([4], [5])
    tier.network.weather(loss=0.15, delay_s=0.004, doubled=0.3)
    tier.pause(7)
    await asyncio.sleep(1.5)
    tier.resume(7)
    await asyncio.sleep(3.5)
    tier.network.weather()
    tier.network.heal(range(8), range(8))
    await agreed(tier, {})
    assert not said_dead(tier)


async def forged(tier: Tier) -> None:
    """What no member sent, was cut short, was heard before, or a later version sends: counted only."""
    before = await tier.view(0)
    key = derive_key(KEY)
    death = StateUpdate(2, make_stamp(1 << 29, MemberState.DEAD), 1)
    kill = Message(MessageKind.GOSSIP, 1, 0, 1 << 20, state_updates=(death,))
    stolen = DatagramAuthenticator(1, 8, 5, (b"another key",))
    gate = DatagramAuthenticator(1, 8, 5, (key,))
    right = gate.seal(Message(MessageKind.GOSSIP, 1, 0, make_stamp(1, MemberState.ALIVE)))
    future = bytearray(right)
    future[1] = 9
    longest = b"M" * MAX_DATAGRAM_BYTES
    for data in (stolen.seal(kill), right[:-1], bytes(future), b"M", longest, longest + b"M"):
        tier.network.forge(1, 0, data)
    tier.network.forge(2, 0, right)  # of another address than it says
    mine = next(m["incarnation"] for m in before["members"] if m["number"] == 1)
    again = gate.seal(
        Message(MessageKind.GOSSIP, 1, 0, make_stamp(mine, MemberState.ALIVE))
    )  # the incarnation of a living one
    tier.network.forge(1, 0, again)

    async def counted() -> str:
        seen = await refused(tier, 0)
        wanted = {"tag": 1, "version": 2, "size": 2, "table": 1, "replayed": 1}
        more = {name: seen.get(name, 0) - before["refused"].get(name, 0) for name in wanted}
        return "" if more == wanted else str(more)

    step = await tier.until("forgeries are counted", counted, SOON)
    assert step.holds, step
    await agreed(tier, {})


async def roll_key(tier: Tier) -> None:
    """First all are given the new key as their second, then as their first: nobody is lost on the way."""
    for text in (
        operator_text(KEY, "the next key of all"),
        operator_text("the next key of all", KEY),
    ):
        for number in range(tier.size):
            tier.operator(number, text)
            await asyncio.sleep(0.05)  # some have it and some do not
    await asyncio.sleep(1.0)
    await agreed(tier, {})
    assert not said_dead(tier)


async def deaths(tier: Tier) -> None:
    """Killed and back without its files; paused for long; told to stop; half of the tier at once."""
    tier.kill(3)
    tier.pause(5)
    await agreed(tier, {3: "dead", 5: "dead"})
    await tier.restart(3, fresh=True)
    tier.resume(5)
    await agreed(tier, {})
    assert any("briefly declared dead" in line or "alive: " in line for line in tier.proxies[0].log)
    tier.stop(2)
    await agreed(tier, {2: "left|dead"}, 8)
    tier.kill(0, 1, 4)
    await agreed(tier, {0: "dead", 1: "dead", 2: "left|dead", 4: "dead"}, LATER)


async def cut_between_zones(tier: Tier) -> None:
    """Each side says that the other is dead, and which part it is; healed, all views get equal."""
    await agreed(tier, {})

    async def settled() -> str:
        views = [await tier.view(number) for number in range(tier.size)]
        return (
            ""
            if all(view["part"] == "whole" for view in views)
            else str([v["part"] for v in views])
        )

    assert (await tier.until("all agree who is here", settled, LATER)).holds
    ours = [n for n in range(tier.size) if n % tier.zones == 1]
    theirs = [n for n in range(tier.size) if n % tier.zones != 1]
    tier.network.cut(ours, theirs)

    async def parts_are(number: int, part: str, zones_lost: list[int], agreed_on: int) -> None:
        async def says() -> str:
            view = await tier.view(number)
            seen = (view["part"], view["zones_lost"], view["agreed"])
            return "" if seen == (part, zones_lost, agreed_on) else str(seen)

        step = await tier.until(f"{number} says that it is of the {part}", says, LATER)
        assert step.holds, step

    # The larger part says so for SETTLED_US only, then it is the whole: looked for first, not after the rest.
    await parts_are(theirs[0], "majority", [1], tier.size)
    await agreed(tier, dict.fromkeys(theirs, "dead"), LATER, of=ours)
    await agreed(tier, dict.fromkeys(ours, "dead"), LATER, of=theirs)
    await parts_are(theirs[0], "whole", [], len(theirs))
    await parts_are(ours[0], "minority", [0, 2], tier.size)  # however long it waits
    tier.network.heal(ours, theirs)
    await agreed(tier, {})
    # One has another table of peers, as after a change that reached some only: no harm, and it is counted.
    one = tier.proxies[0]
    one.configuration["peers"] = one.configuration["peers"][:-1]
    tier.kill(0)
    await tier.restart(0)
    await agreed(tier, {}, of=range(1, tier.size))

    async def counted() -> str:
        view = await tier.view(0)
        beyond = view["counts"].get("numbers beyond the table", 0)
        return "" if beyond and len(view["members"]) == tier.size - 1 else str(view)

    assert (await tier.until("a shorter table is seen", counted, SOON)).holds


def test_faults_in_a_tier_of_eight(tmp_path: Path) -> None:
    async def script(tier: Tier) -> None:
        for part in (no_harm_by_links, forged, roll_key, deaths):
            await part(tier)

    run(tmp_path, 8, script)


def test_cut_between_zones_and_a_shorter_table(tmp_path: Path) -> None:
    run(tmp_path, 8, cut_between_zones)


@pytest.mark.parametrize("off", ["file", "settings"])
def test_membership_is_off_unless_file_and_settings_allow_it(tmp_path: Path, off: str) -> None:
    """Where talk is forbidden nothing is sent, whatever the operators' file says."""

    async def whole() -> None:
        tier = Tier(2, tmp_path)
        tier.on = off != "file"
        tier.may_tell = off != "settings"
        await tier.start()
        try:
            await asyncio.sleep(1.0)
            views = [await tier.view(number) for number in range(2)]
        finally:
            errors = await tier.end()
        assert not errors, errors
        why = "operators' file" if off == "file" else "settings do not let"
        assert all(not view["on"] and why in view["why_off"] for view in views)
        assert all(link.passed == link.lost == 0 for link in tier.network.links.values())

    asyncio.run(whole())


def test_off_and_on_again_while_running(tmp_path: Path) -> None:
    async def script(tier: Tier) -> None:
        await agreed(tier, {})
        tier.operator(1, operator_text(on=False))
        tier.stopped.add(1)
        await agreed(tier, {1: "left|dead"})
        tier.operator(1, operator_text())
        tier.stopped.discard(1)
        await agreed(tier, {})
        tier.proxies[1].signal(signal.SIGHUP)  # the same again changes nothing

        async def read() -> str:
            reloads = int((await tier.proxies[1].call("/v1/metrics"))["config_reloads"])
            return "" if reloads == 6 else f"{reloads} files read again"

        assert (await tier.until("both files are read three times", read, SOON)).holds
        await agreed(tier, {})

    run(tmp_path, 3, script)
