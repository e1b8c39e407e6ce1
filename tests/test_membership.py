"""Membership: which news wins, what a member says of itself, its messages, whom it chooses. No sockets."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from larchhaven.membership.core import Action, Membership, Send
from larchhaven.membership.gate import WINDOW, Gate
from larchhaven.membership.member import (
    INCARNATION_MOST,
    NAME_MOST,
    About,
    Can,
    Changed,
    Member,
    State,
    View,
    stamp,
)
from larchhaven.membership.messages import (
    ENTRIES_MOST,
    LONGEST,
    PARTS,
    Entry,
    Kind,
    Message,
    Told,
    UnreadableError,
    decode,
    encode,
)
from larchhaven.membership.parts import SETTLED_US, Part, Parts, present_in
from larchhaven.membership.placement import neighbours
from larchhaven.membership.suspicion import Suspicion, Tuning

S = 1_000_000
TUNING = Tuning()


def member(me: int = 0, size: int = 6, incarnation: int = 50) -> Membership:
    """Return a member that knows that all others live, at incarnation 10."""
    core = Membership(0, me, size, About(f"n{me}", me % 3), incarnation, random.Random(1), TUNING)
    for number in range(size):
        if number != me:
            hear(core, 0, Entry(number, stamp(10, State.ALIVE)), sender=(me + 1) % size)
    core.receive(0, message(core, (me + 1) % size, Kind.COMPARED, digests=core.digests()))
    assert core.joined
    assert core.view.sure
    return core


def message(core: Membership, sender: int, kind: Kind, **more: object) -> Message:
    return Message(kind, sender, core.me, stamp(10, State.ALIVE), **more)  # type: ignore[arg-type]


def hear(core: Membership, now: int, *entries: Entry, sender: int = 1) -> list[Action]:
    return core.receive(now, message(core, sender, Kind.NEWS, entries=entries))


def sent(actions: Sequence[Action], kind: Kind | None = None) -> list[Message]:
    return [a.message for a in actions if isinstance(a, Send) and kind in (None, a.message.kind)]


def changed(actions: Sequence[Action]) -> list[Changed]:
    return [action for action in actions if isinstance(action, Changed)]


def turn_until(core: Membership, until: int, answer: Callable[[Message], bool]) -> list[Action]:
    """Let time pass; pings for which ``answer`` says so are acknowledged at once."""
    actions: list[Action] = []
    while core.due <= until:
        now = core.due
        done = core.turn(now)
        for ping in sent(done, Kind.PING):
            if answer(ping):
                back = message(core, ping.to, Kind.ACK, seq=ping.seq, target=ping.target)
                done += core.receive(now, replace(back, stamp=core.view.members[ping.to].stamp))
        actions += done
    return actions


ENTRIES = st.builds(
    Entry,
    st.integers(1, 5),
    st.builds(stamp, st.integers(1, 14), st.sampled_from(State)),
    st.integers(0, 5),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(ENTRIES, max_size=25), st.randoms(use_true_random=False), st.booleans())
def test_news_in_any_order_and_again_gives_the_same_view(
    news: list[Entry], rng: random.Random, again: bool
) -> None:
    """Views join as maxima do: whoever heard all of it knows the same, however it came."""
    one, other = member(), member()
    for entry in news:
        seen = {m.number: m.stamp for m in one.view.members.values()}
        for change in changed(hear(one, 1, entry, sender=5)):
            assert (change.was, change.now.state) != (State.LEFT, State.SUSPECT)
        assert all(one.view.members[n].stamp >= mark for n, mark in seen.items())
    shuffled = news * 2 if again else list(news)
    rng.shuffle(shuffled)
    for entry in shuffled:
        hear(other, 1, entry, sender=5)
    assert one.view.same_as(other.view)
    # What was told of the members' accounts came only through `member`, so the stamps are all there is.
    assert one.digests() == other.digests()


def test_accused_member_clears_itself_with_the_next_incarnation() -> None:
    core = member()
    accusation = Entry(0, stamp(core.incarnation, State.SUSPECT), 3)
    before = core.incarnation
    hear(core, 10, accusation)
    assert core.incarnation == before + 1
    assert core.view.state(0) is State.ALIVE
    assert core.health.doubt == 1  # whoever has to clear itself may be slow
    hear(core, 20, accusation)  # 200 stale ones change nothing any more
    assert core.incarnation == before + 1
    hear(core, 30, Entry(0, stamp(before + 7, State.DEAD), 3))  # an earlier life was buried
    assert core.incarnation == before + 8
    assert core.view.state(0) is State.ALIVE
    hear(core, 40, Entry(0, stamp(INCARNATION_MOST, State.DEAD), 3))  # nothing is above it
    assert core.incarnation == before + 8


def test_who_left_says_so_again_when_accused() -> None:
    core = member()
    core.leave(10)
    assert core.view.state(0) is State.LEFT
    hear(core, 20, Entry(0, stamp(core.incarnation + 1, State.DEAD), 3))
    assert core.view.state(0) is State.LEFT


def test_newcomer_takes_an_incarnation_above_what_others_remember() -> None:
    """A clock that is behind does no harm."""
    core = Membership(0, 0, 3, About("n0"), 5, random.Random(1), TUNING)
    asked = core.turn(0)
    assert sent(asked, Kind.COMPARE)
    assert not core.joined
    assert sent(asked)[0].stamp == 0
    core.receive(
        10, message(core, 1, Kind.COMPARED, digests=(0,) * 2 * PARTS, entries=(Entry(0, 90 << 2),))
    )
    assert core.joined
    assert core.incarnation == 91


def test_newcomer_that_nobody_answers_takes_its_own() -> None:
    core = Membership(0, 0, 3, About("n0"), 5, random.Random(1), TUNING)
    turn_until(core, TUNING.join, lambda ping: False)
    assert core.joined
    assert core.incarnation == 5
    assert not core.view.sure


def test_silent_member_is_accused_and_then_dead() -> None:
    core = member()
    actions = turn_until(core, 30 * S, lambda ping: ping.target != 2)
    states = [c.now.state for c in changed(actions) if c.now.number == 2]
    assert states == [State.SUSPECT, State.DEAD]
    dead = next(c for c in changed(actions) if c.now.state is State.DEAD)
    assert dead.now.by == (0,)  # nobody confirmed it: the longest time
    accused = next(c for c in changed(actions) if c.now.state is State.SUSPECT)
    assert dead.at - accused.at >= int(TUNING.suspicion * TUNING.suspicion_growth)
    assert all(core.view.state(n) is State.ALIVE for n in (0, 1, 3, 4, 5))


def test_confirmations_shorten_the_time_and_only_accusers_decide() -> None:
    suspicion = Suspicion.begin(0, 1, 10, TUNING)
    alone = suspicion.due(1)
    assert alone == int(TUNING.suspicion * TUNING.suspicion_growth) == suspicion.due(9)
    assert not suspicion.confirm(1)  # the same accuser again
    times = [alone]
    for accuser in (2, 3, 4):
        assert suspicion.confirm(accuser)
        times.append(suspicion.due(1))
    assert times == sorted(times, reverse=True)
    assert times[-1] == TUNING.suspicion
    assert suspicion.due(9) == alone
    assert (
        Suspicion.begin(0, 1, 2, TUNING).due(1) == TUNING.suspicion
    )  # of two nobody else can confirm


def test_accuser_asks_again_until_it_decides() -> None:
    """One acknowledgement from the accused, with a later incarnation, is enough."""
    core = member()
    hear(core, 10, Entry(2, stamp(10, State.SUSPECT), 0), sender=3)
    asked = [
        p
        for p in sent(turn_until(core, 2 * S, lambda ping: ping.target != 2), Kind.PING)
        if p.to == 2
    ]
    assert len(asked) >= 3
    assert all(p.entries[0].number == 2 for p in asked)
    answer = Message(Kind.ACK, 2, 0, stamp(11, State.ALIVE), seq=asked[-1].seq, target=2)
    core.receive(2 * S, answer)
    assert core.view.state(2) is State.ALIVE
    assert not core._suspicions


def test_slow_member_doubts_itself_and_takes_longer() -> None:
    core = member()
    turn_until(core, 10 * S, lambda ping: False)
    assert core.health.doubt > 2
    period = core.health.stretch(TUNING.period)
    assert period == TUNING.period * (core.health.doubt + 1)
    for _ in range(20):
        core.health.better()
    assert core.health.stretch(TUNING.period) == TUNING.period


def test_gap_in_ones_own_time_is_seen_and_nothing_is_believed() -> None:
    """A process that slept for ten seconds declares nobody dead, whatever stood in its socket."""
    core = member()
    hear(core, 10, Entry(2, stamp(10, State.SUSPECT), 0), sender=3)
    actions = hear(core, 12 * S, *(Entry(n, stamp(10, State.SUSPECT), 1) for n in (3, 4, 5)))
    actions += core.turn(12 * S)
    assert core.counts["gaps"] == 1
    assert not core.view.sure
    assert not [c for c in changed(actions) if c.now.state is State.DEAD]
    assert sent(actions, Kind.COMPARE)  # it asks at once
    core.receive(12 * S + 10, message(core, 1, Kind.COMPARED, digests=core.digests()))
    assert core.view.sure


def test_gap_with_nobody_left_to_ask_ends_with_ones_own_evidence() -> None:
    core = member(size=2)
    actions = core.turn(20 * S)
    actions += turn_until(core, 60 * S, lambda ping: False)
    assert core.view.state(1) is State.DEAD
    assert not core.view.sure


def test_short_delay_only_voids_the_probe_under_way() -> None:
    core = member()
    while core._probe is None:
        core.turn(core.due)
    core.turn(core.due + TUNING.late)
    assert core.counts["late turns"] == 1
    assert core.counts["gaps"] == 0
    assert core.view.sure


def test_accusation_of_who_left_reports_the_return_first() -> None:
    core = member()
    hear(core, 10, Entry(2, stamp(10, State.LEFT)))
    changes = changed(hear(core, 20, Entry(2, stamp(12, State.SUSPECT), 3)))
    assert [(c.was, c.now.state) for c in changes] == [
        (State.LEFT, State.ALIVE),
        (State.ALIVE, State.SUSPECT),
    ]
    hear(core, 30, Entry(2, stamp(13, State.LEFT)))
    assert not changed(hear(core, 40, Entry(2, stamp(13, State.SUSPECT), 3)))


def test_numbers_beyond_the_table_are_counted_and_passed_over() -> None:
    core = member()
    hear(core, 10, Entry(60, stamp(10, State.ALIVE)))
    told = Told(60, 10, About("stranger"))
    core.receive(20, message(core, 1, Kind.NEWS, told=(told,)))
    core.receive(30, message(core, 1, Kind.ASK, seq=1, target=60))
    assert core.counts["numbers beyond the table"] == 2
    assert core.view.get(60) is None


def test_two_lives_with_one_incarnation_are_told_apart() -> None:
    """The same name started twice within a second: the one that runs says so with a later incarnation."""
    core = member()
    own = core.view.members[0]
    core.receive(
        10, message(core, 1, Kind.NEWS, told=(Told(0, own.about_at, About("n0", started=9)),))
    )
    assert core.incarnation == own.incarnation + 1
    assert core.view.members[0].about == own.about


def test_account_that_is_larger_wins_at_one_incarnation() -> None:
    one, other = member(), member()
    told = [
        Told(2, 10, About("a", started=1)),
        Told(2, 10, About("b", started=2)),
        Told(2, 9, About("c")),
    ]
    for core, order in ((one, told), (other, told[::-1])):
        for each in order:
            core.receive(10, message(core, 1, Kind.NEWS, told=(each,)))
    assert one.view.same_as(other.view)
    assert one.view.members[2].about == About("b", started=2)


def test_messages_begun_are_bounded_whatever_is_asked() -> None:
    core = member(size=200)
    before = core.counts["sent"]
    for i in range(400):
        core.receive(S, message(core, 1, Kind.ASK, seq=i, target=2))
        core.receive(S, message(core, 1, Kind.COMPARE, digests=(0,) * 2 * PARTS))
    burst = core.counts["sent"] - before
    assert burst <= TUNING.burst + 50
    assert core.counts["held back"] > 300
    for now in range(S, 11 * S, 100_000):
        core.turn(now)
    assert core.counts["sent"] - before <= burst + 10 * TUNING.rate + 1


@pytest.mark.parametrize("size", [1, 2, 3])
def test_smallest_tiers(size: int) -> None:
    cores = [
        Membership(0, n, size, About(f"n{n}"), 5, random.Random(n), TUNING) for n in range(size)
    ]
    now = 0
    while now < 4 * S:
        now = max(now, min(core.due for core in cores))
        flying = [m for core in cores if core.due <= now for m in sent(core.turn(now))]
        while flying:
            each = flying.pop(0)
            flying += sent(cores[each.to].receive(now, each))
    assert all(
        core.joined and core.view.sure and len(core.view.here_numbers()) == size for core in cores
    )
    assert all(core.view.same_as(cores[0].view) for core in cores)


# Messages

ABOUTS = st.builds(
    About,
    st.text(max_size=8),
    st.integers(0, 255),
    st.integers(0, 65535),
    st.integers(0, (1 << 32) - 1),
    st.builds(Can, st.integers(0, 7)),
)
MESSAGES = st.builds(
    Message,
    st.sampled_from([Kind.PING, Kind.ACK, Kind.ASK, Kind.NACK, Kind.NEWS]),
    st.integers(0, 65535),
    st.integers(0, 65535),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, 65535),
    st.lists(ENTRIES, max_size=10).map(tuple),
    st.just(()),
    st.lists(
        st.builds(Told, st.integers(0, 65535), st.integers(1, INCARNATION_MOST), ABOUTS), max_size=2
    ).map(tuple),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 32) - 1),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(MESSAGES, st.binary(max_size=16), st.integers(0, 255 * 8))
def test_message_is_read_as_written_and_damage_is_seen(sent: Message, key: bytes, bit: int) -> None:
    data = encode(sent, key)
    assert len(data) <= LONGEST
    assert decode(data, (b"other", key)) == sent
    damaged = bytearray(data)
    damaged[bit // 8 % len(data)] ^= 1 << bit % 8
    with pytest.raises(UnreadableError):
        decode(bytes(damaged), (key,))
    with pytest.raises(UnreadableError):
        decode(data[:-1], (key,))


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.binary(max_size=300))
@example(b"")
@example(b"M" + bytes(255))
def test_any_bytes_are_refused_with_a_reason(data: bytes) -> None:
    gate = Gate(0, 8, 1)
    assert gate.read(data) is None
    assert sum(gate.refused.values()) == 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(MESSAGES, st.binary(max_size=60))
def test_any_body_under_a_right_tag_is_read_or_refused(sent: Message, tail: bytes) -> None:
    """Whoever has the key may be of another version, or wrong: the reader must stand it."""
    from larchhaven.membership.messages import TAG, tag

    body = (encode(sent)[:-TAG] + tail)[: LONGEST - TAG]
    gate = Gate(sent.to % 8, 8, 1)
    read = gate.read(body + tag(body, b""))
    core = member(sent.to % 6, 6)
    if read is not None and read.to == core.me:
        core.receive(1, read)
    assert read is not None or sum(gate.refused.values()) == 1


def test_fullest_messages_fit() -> None:
    """Names of any length, 27 entries, all digests: 256 bytes hold what the core puts into one message."""
    core = Membership(0, 0, 200, About("é" * 60), 5, random.Random(1), TUNING)
    assert len(core.about.name.encode()) <= NAME_MOST
    for number in range(1, 200):
        told = Told(number, 10, About("x" * 60, 255, 9, 1 << 31, Can(7)))
        core.receive(
            0, message(core, 1, Kind.NEWS, entries=(Entry(number, stamp(10, State.ALIVE), 3),))
        )
        core.receive(0, message(core, 1, Kind.NEWS, told=(told,)))
    core.receive(0, message(core, 1, Kind.COMPARED, digests=(1,) * 2 * PARTS))
    actions: list[Action] = []
    while core.due < 8 * S:
        actions += core.turn(core.due)
        actions += core.receive(core.due, message(core, 1, Kind.COMPARE, digests=(0,) * 2 * PARTS))
    sizes = [len(encode(each, b"k" * 32)) for each in sent(actions)]
    assert max(sizes) <= LONGEST
    assert max(len(each.entries) for each in sent(actions)) == ENTRIES_MOST


def test_gate_refuses_replays_and_takes_a_restarted_process() -> None:
    sender, gate = Gate(1, 4, 7), Gate(0, 4, 9)
    made = [
        sender.write(Message(Kind.PING, 1, 0, stamp(5, State.ALIVE))) for _ in range(WINDOW + 3)
    ]
    assert gate.read(made[2])
    assert gate.read(made[0])
    assert gate.read(made[2]) is None
    assert gate.read(made[0]) is None
    assert gate.read(made[-1])
    assert gate.read(made[1]) is None
    assert gate.refused["replayed"] == 3
    again = Gate(1, 4, 8)
    assert gate.read(again.write(Message(Kind.COMPARE, 1, 0, 0, digests=(0,) * 2 * PARTS)))
    assert gate.read(again.write(Message(Kind.PING, 1, 0, stamp(6, State.ALIVE))))
    assert gate.read(sender.write(Message(Kind.PING, 1, 0, stamp(6, State.ALIVE)))) is None


def test_gate_refuses_what_is_for_another_table_and_rolls_keys() -> None:
    gate = Gate(0, 4, 9, (b"new", b"old"))
    ping = Message(Kind.PING, 1, 0, stamp(5, State.ALIVE))
    assert gate.read(Gate(1, 4, 1, (b"old", b"new")).write(ping))
    assert gate.read(Gate(2, 4, 1, (b"new",)).write(replace(ping, sender=2)))
    assert gate.read(Gate(1, 4, 1, (b"stolen",)).write(ping)) is None
    for other in (replace(ping, to=3), replace(ping, sender=9), replace(ping, sender=0)):
        assert gate.read(Gate(1, 4, 1, (b"new",)).write(other)) is None
    assert gate.read(Gate(1, 4, 2, (b"new",)).write(ping), sender=3) is None  # of another address
    future = bytearray(encode(ping, b"new"))
    future[1] += 1
    assert gate.read(bytes(future)) is None
    assert gate.refused == {"tag": 1, "table": 4, "version": 1}


# Whom a key is for, how many there are


def view(states: dict[int, State], zones: int = 3, sure: bool = True) -> View:
    made = View(0, 64, 1, sure)
    for number, state in states.items():
        one = Member(number, stamp(1, state), 0, (), About(f"n{number}", number % zones), 1)
        made = replace(made, members=made.members.insert(number, one))
    return made


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.binary(min_size=1, max_size=8),
    st.sets(st.integers(0, 63), min_size=4, max_size=40),
    st.data(),
)
def test_death_moves_only_what_the_dead_one_stood_for(
    key: bytes, numbers: set[int], data: st.DataObject
) -> None:
    whole = view(dict.fromkeys(numbers, State.ALIVE), zones=1)
    chosen = neighbours(whole, key, 3)
    assert len(set(chosen)) == 3
    assert set(chosen) <= numbers
    dead = data.draw(st.sampled_from(sorted(numbers)))
    after = neighbours(
        view({n: State.DEAD if n == dead else State.ALIVE for n in numbers}, zones=1), key, 3
    )
    assert dead not in after
    assert set(chosen) - {dead} <= set(after)


def test_neighbours_are_spread_over_zones() -> None:
    living = view(dict.fromkeys(range(30), State.ALIVE))
    for key in range(40):
        chosen = neighbours(living, bytes([key]), 4, besides=[0])
        assert {n % 3 for n in chosen[:3]} == {0, 1, 2}
        assert len(set(chosen)) == 4
        assert 0 not in chosen
    assert neighbours(view({1: State.ALIVE, 2: State.LEFT, 4: State.SUSPECT}), b"k", 5) in (
        [1, 4],
        [4, 1],
    )


def test_part_of_a_cut_by_who_agreed_last() -> None:
    parts = Parts()
    whole = dict.fromkeys(range(6), State.ALIVE)
    assert parts.look(0, view(whole)).part is Part.UNKNOWN
    assert parts.look(SETTLED_US, view(whole)).part is Part.WHOLE
    larger = {**whole, 0: State.DEAD, 3: State.DEAD}
    standing = parts.look(SETTLED_US + 1, view(larger))
    assert (standing.part, standing.here, standing.agreed, standing.zones_lost) == (
        Part.MAJORITY,
        4,
        6,
        (0,),
    )
    smaller = {n: State.ALIVE if n in (0, 3) else State.DEAD for n in range(6)}
    for late in range(1, 20):  # however long it lasts
        standing = parts.look(SETTLED_US * (1 + late), view(smaller))
        assert (standing.part, standing.agreed) == (Part.MINORITY, 6)
    half = {n: State.ALIVE if n < 3 else State.DEAD for n in range(6)}
    other = {n: State.ALIVE if n >= 3 else State.DEAD for n in range(6)}
    assert parts.look(30 * SETTLED_US, view(half)).part is Part.MAJORITY  # it has the lowest number
    fresh = Parts()
    fresh.agreed = frozenset(range(6))
    assert fresh.look(0, view(other)).part is Part.MINORITY
    gone = {n: State.ALIVE if n in (0, 3) else State.LEFT for n in range(6)}
    assert fresh.look(1, view(gone)).part is Part.WHOLE  # whoever leaves as planned does not count


def test_confidence_falls_with_suspects_and_after_a_gap() -> None:
    parts = Parts()
    states = {0: State.ALIVE, 1: State.ALIVE, 2: State.SUSPECT, 3: State.SUSPECT}
    assert parts.look(0, view(states)).confidence == 0.5
    assert parts.look(0, view(states, sure=False)).confidence == 0.0
    assert (
        parts.look(9 * SETTLED_US, view(states)).part is Part.UNKNOWN
    )  # nothing is agreed with suspects


def test_only_a_sure_majority_says_that_others_are_gone() -> None:
    """What each does for all is dealt out among the rest: a side that is cut off must not take all of it."""
    parts = Parts()
    whole = dict.fromkeys(range(6), State.ALIVE)
    assert present_in(view(whole), parts.look(0, view(whole))) == frozenset(range(64))
    parts.look(SETTLED_US, view(whole))
    lost = {**whole, 1: State.DEAD, 2: State.LEFT, 3: State.SUSPECT}
    seen = view(lost)
    assert present_in(seen, parts.look(SETTLED_US + 1, seen)) == frozenset(range(64)) - {1, 2}
    unsure = view(lost, sure=False)
    assert present_in(unsure, parts.look(SETTLED_US + 2, unsure)) == frozenset(range(64))
    small = view({n: State.ALIVE if n < 2 else State.DEAD for n in range(6)})
    assert present_in(small, parts.look(SETTLED_US + 3, small)) == frozenset(range(64))
