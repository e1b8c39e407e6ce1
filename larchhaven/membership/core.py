"""The protocol of one member: SWIM with suspicion and incarnations, Lifeguard's additions, views compared.

Each period a member pings one other, in an order shuffled anew each round, so that all are met equally often
and a death is met within a time that does not grow with the tier. Without an acknowledgement it asks helpers,
then accuses; news rides on all messages and in rounds of its own. Views are compared by digests with somebody
at random now and then, at once after a join or a gap in one's own time, and with somebody who is not there at
every call, which is how a healed cut is noticed.

Pure: messages and a time in, actions out. Times are microseconds of one's own monotonic clock; no clocks are
compared. Random numbers are given.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import lru_cache
from hashlib import blake2b
from itertools import islice
from typing import Protocol

from larchhaven.membership.member import (
    INCARNATION_MOST,
    About,
    Changed,
    Member,
    State,
    View,
    incarnation_of,
    stamp,
    state_of,
)
from larchhaven.membership.messages import (
    ENTRIES_MOST,
    NOBODY,
    PARTS,
    ROOM,
    Entry,
    Kind,
    Message,
    Told,
    cut,
    told_size,
)
from larchhaven.membership.suspicion import Health, Suspicion, Tuning

# Pieces of comparisons that wait to be sent, and pings under way for others; beyond, the oldest is dropped.
WAITING_MOST = 128
HELPING_MOST = 64
# Bytes of the shortest account: so many may fit into a message at most.
_TALE_LEAST = told_size(About())
# Messages that may be sent beyond the budget when they answer somebody: a silent member looks dead.
ANSWERS_BEYOND = 50.0
# Rounds in which a planned stop is told, and to how many each.
GOODBYE_ROUNDS, GOODBYE_MANY = 3, 4


class Randoms(Protocol):
    """Where random numbers come from: ``random.Random`` will do."""

    def random(self) -> float:
        """Return a number from 0 to below 1."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    message: Message


Action = Send | Changed


@dataclass(slots=True)
class _Probe:
    """The probe of this period."""

    seq: int
    target: int
    began: int
    direct_due: int
    due: int
    asked: int = 0  # helpers
    nacks: int = 0
    acked: bool = False


@dataclass(slots=True)
class _Help:
    """A ping for somebody else."""

    seq: int
    asker: int
    asked_seq: int
    target: int
    due: int


@dataclass(slots=True)
class _News:
    """A piece of news that rides on messages."""

    entry: Entry
    sent: int = 0


class Membership:
    """One member's part.

    Args:
        now: The time.
        me: The own number in the table of peers.
        size: How many places the table has.
        about: What the member tells of itself.
        incarnation: The first to try, from 1: a wall clock's seconds do, as one that is behind is raised
            above what others remember. At an upgrade the older process's next.
        rng: Random numbers.
        tuning: Times.

    """

    def __init__(
        self,
        now: int,
        me: int,
        size: int,
        about: About,
        incarnation: int,
        rng: Randoms,
        tuning: Tuning,
    ) -> None:
        self.me = me
        self.size = size
        self.tuning = tuning
        self.about = cut(about)
        self.view = View(me, size)
        self.health = Health()
        self.counts: Counter[str] = Counter()
        self._rng = rng
        self._first = min(max(incarnation, 1), INCARNATION_MOST)
        self._stamp = 0  # own; 0 while joining
        self._seq = 0
        self._probe: _Probe | None = None
        self._probe_at = now
        self._round: list[int] = []
        self._helping: dict[int, _Help] = {}
        self._suspicions: dict[int, Suspicion] = {}
        self._news: OrderedDict[int, _News] = OrderedDict()  # what is to be told next is first
        self._tales: OrderedDict[int, int] = (
            OrderedDict()
        )  # accounts to be passed on, and how often they were
        self._waiting: deque[Message] = deque()
        self._gossip_at = now
        self._join_until = now + tuning.join
        self._ask_at = now
        self._unsure_since: int | None = now
        self._compare_at = self._call_at = now + int(tuning.call * rng.random())
        self._tokens = float(tuning.burst)
        self._tokens_at = now
        self._others = [number for number in range(size) if number != me]
        self._here: list[int] | None = None  # the others that count as there, until that changes
        self._stamps, self._accounts = [0] * PARTS, [0] * PARTS  # digests of the view's parts
        self.due = now
        self._at = now
        self._out: list[Action] = []
        if size <= 1:
            self._join(now)
            self._trust()

    # What others may ask

    @property
    def joined(self) -> bool:
        """Tell whether this member has an incarnation, and says so."""
        return self._stamp != 0

    @property
    def incarnation(self) -> int:
        """The own incarnation; an upgrade hands on the next one."""
        return incarnation_of(self._stamp) or self._first

    def digests(self) -> tuple[int, ...]:
        """Return two numbers for each part of the view, of stamps and of accounts: equal where these are."""
        return (*self._stamps, *self._accounts)

    # What happens

    def receive(self, now: int, message: Message) -> list[Action]:
        """Take a message that the gate let in."""
        self._look(now)
        self._at = now
        sender = message.sender
        known = self.view.get(sender)
        if message.stamp:
            self._take(Entry(sender, message.stamp))
            if known is not None and message.stamp < known.stamp and self._may_begin():
                # It has not heard what is said of it.
                self._send(Kind.NEWS, sender, entries=(self._entry(known),))
        self._be_told(message)
        match message.kind:
            case Kind.PING:
                self._send(Kind.ACK, sender, seq=message.seq, target=self.me, answer=True)
            case Kind.ASK:
                self._help(message)
            case Kind.ACK | Kind.NACK:
                self._on_answer(message)
            case Kind.COMPARE:
                # A newcomer does not answer: what it has is no view yet.
                if self.joined:
                    self._compare(sender, Kind.COMPARED)
                    self._send_differing(sender, message.digests)
            case Kind.COMPARED:
                self._trust()
                self._send_differing(sender, message.digests)
            case Kind.NEWS:
                pass
        if not self.joined and message.kind is Kind.COMPARED:
            self._join(now)
        return self._done()

    def turn(self, now: int) -> list[Action]:
        """Do all that is due."""
        self._look(now)
        self._at = now
        if not self.joined and now >= self._join_until:
            self._join(now)
        if self._unsure_since is not None and now >= self._ask_at:
            self._ask_at = now + self.tuning.ask
            for number in self._some(self.tuning.ask_many, self._others):
                self._compare(number, Kind.COMPARE)
        if self._trusts_itself(now):
            for number, suspicion in list(self._suspicions.items()):
                if suspicion.due(self.me) <= now:
                    self._bury(number)
                elif self.joined and suspicion.ask_at <= now and self.me in suspicion.accusers:
                    # It may clear itself here, where its death would be declared.
                    suspicion.ask_at = now + self.tuning.period
                    self._send(Kind.PING, number, seq=self._next_seq(), target=number)
        if self.joined:
            self._help_until(now)
            self._turn_probe(now)
            self._turn_views(now)
        self._turn_news(now)
        return self._done()

    def leave(self, now: int) -> list[Action]:
        """Say that this member stops as planned; ``turn`` goes on telling it until the process ends."""
        self._look(now)
        self._at = now
        if self.joined and state_of(self._stamp) is State.ALIVE:
            self._state(stamp(self.incarnation, State.LEFT))
        for _ in range(GOODBYE_ROUNDS):
            for number in self._some(GOODBYE_MANY, self._here_others()):
                self._send(Kind.NEWS, number)
        return self._done()

    def hear_of_me(self, now: int, entry: Entry) -> list[Action]:
        """Hear of an earlier life of this member by another way than messages: an upgrade, a file."""
        self._look(now)
        self._at = now
        self._hear_of_me(entry)
        return self._done()

    # One's own time

    def _look(self, now: int) -> None:
        """See whether this process was asleep: nothing that was due then was done, and nothing was heard."""
        late = now - self.due
        if late >= self.tuning.gap:
            self.counts["gaps"] += 1
            self._doubt(now)
        elif late >= self.tuning.late and self._probe is not None:
            self.counts["late turns"] += 1
            self.health.worse()
            self._probe = None
            self._probe_at = now

    def _doubt(self, now: int) -> None:
        """Believe nothing until it has been heard again."""
        self.health.worse()
        self._probe = None
        self._probe_at = now + self.health.stretch(self.tuning.period)
        self._helping.clear()
        for suspicion in self._suspicions.values():
            suspicion.began = suspicion.ask_at = now  # the accused had no way to clear itself here
        if self.size > 1:
            self._unsure_since = self._ask_at = now
            self.view = replace(self.view, sure=False)

    def _trust(self) -> None:
        self._unsure_since = None
        if not self.view.sure:
            self.view = replace(self.view, sure=True)

    def _trusts_itself(self, now: int) -> bool:
        since = self._unsure_since
        return self.joined and (since is None or now >= since + self.tuning.alone)

    def _join(self, now: int) -> None:
        """Take an incarnation above all that was heard of this member, and say so."""
        own = self.view.get(self.me)
        above = own.incarnation + 1 if own is not None else 0
        first = min(max(self._first, above), INCARNATION_MOST)
        self._state(stamp(first, State.ALIVE), first)
        # Not all of a tier that starts at once at the same moment.
        self._probe_at = now + int(self.tuning.period * self._rng.random())

    def _state(self, mark: int, told_at: int | None = None) -> None:
        """Say something of oneself."""
        self._stamp = mark
        own = self.view.get(self.me)
        at = (
            told_at
            if told_at is not None
            else (own.about_at if own is not None else incarnation_of(mark))
        )
        self._put(Member(self.me, mark, self._at, (), self.about, at))
        self._spread(Entry(self.me, mark))
        if told_at is not None:
            self._tales[self.me] = 0

    # News

    def _be_told(self, message: Message) -> None:
        for entry in message.entries:
            self._take(entry)
        for told in message.told:
            self._take_account(told)

    def _take(self, entry: Entry) -> None:
        """Take a piece of news: the larger stamp wins."""
        number, mark = entry.number, entry.stamp
        if number >= self.size:
            self.counts["numbers beyond the table"] += 1
            return
        if number == self.me:
            self._hear_of_me(entry)
            return
        member = self.view.get(number)
        by = entry.by if entry.by < self.size else NOBODY
        if member is not None and mark <= member.stamp:
            suspicion = self._suspicions.get(number)
            if (
                mark == member.stamp
                and suspicion is not None
                and by != NOBODY
                and suspicion.confirm(by)
            ):
                self._put(replace(member, by=tuple(suspicion.accusers)), quiet=True)
                self._spread(entry)
            return
        later = member is not None and incarnation_of(mark) > member.incarnation
        if member is not None and later and not member.here and state_of(mark) is not State.ALIVE:
            # It was back before it was accused: first the one, then the other.
            self._put(replace(member, stamp=stamp(incarnation_of(mark), State.ALIVE), by=()))
            member = self.view.get(number)
        self._judge(number, mark, by, member)
        self._spread(entry)

    def _judge(self, number: int, mark: int, by: int, member: Member | None) -> None:
        accusers = (by,) if by != NOBODY else ()
        about, at = (member.about, member.about_at) if member is not None else (None, 0)
        self._put(Member(number, mark, self._at, accusers, about, at))
        if state_of(mark) is State.SUSPECT:
            here = len(self._here_others()) + 1
            self._suspicions[number] = Suspicion.begin(self._at, by, here, self.tuning)
            # Some look next, whoever they are: waiting for all to come round could take seconds by chance.
            if by != self.me and self._rng.random() * here < 2 * self.tuning.confirmations:
                self._round.append(number)
        else:
            self._suspicions.pop(number, None)

    def _hear_of_me(self, entry: Entry) -> None:
        """Answer what is said of this member: an incarnation above it clears."""
        mark = entry.stamp
        if not self.joined:
            own = self.view.get(self.me)
            if own is None or mark > own.stamp:  # remembered until an incarnation is taken
                self._put(Member(self.me, mark, self._at), quiet=True)
            return
        if mark <= self._stamp or incarnation_of(mark) >= INCARNATION_MOST:
            return
        if incarnation_of(mark) == self.incarnation:
            self.counts["accused"] += 1
            self.health.worse()
        self._state(stamp(incarnation_of(mark) + 1, state_of(self._stamp)))

    def _take_account(self, told: Told) -> None:
        """Take what a member told of itself: its later word, and of two at once the larger one."""
        number = told.number
        if number >= self.size:
            self.counts["numbers beyond the table"] += 1
            return
        if number == self.me:
            own = self.view.get(number)
            if (
                own is None
                or not self.joined
                or told.told_at < own.about_at
                or told.about == self.about
            ):
                return
            # Two lives under one number took the same incarnation: this one is the one that runs.
            above = min(max(told.told_at, self.incarnation) + 1, INCARNATION_MOST)
            self._state(stamp(above, state_of(self._stamp)), above)
            return
        member = self.view.get(number)
        if member is None or (told.told_at, _order(told.about)) <= (
            member.about_at,
            _order(member.about),
        ):
            return
        self._put(replace(member, about=told.about, about_at=told.told_at), quiet=True)
        self._tales[number] = 0

    def _put(self, member: Member, quiet: bool = False) -> None:
        """Make the next view."""
        view = self.view
        number = member.number
        before = view.get(number)
        if before is not None:
            self._stamps[number % PARTS] ^= _digest(number, before.stamp)
            self._accounts[number % PARTS] ^= _digest(number, before.about_at, before.about)
        self._stamps[number % PARTS] ^= _digest(number, member.stamp)
        self._accounts[number % PARTS] ^= _digest(number, member.about_at, member.about)
        if before is None or before.here != member.here:
            self._here = None
        was = (
            None if before is None or (number == self.me and before.about is None) else before.state
        )
        self.view = replace(
            view, version=view.version + 1, members=view.members.insert(number, member)
        )
        if not quiet:
            self._out.append(Changed(self._at, was, member, self.view.version))

    def _entry(self, member: Member) -> Entry:
        return Entry(member.number, member.stamp, member.by[0] if member.by else NOBODY)

    def _spread(self, entry: Entry) -> None:
        self._news[entry.number] = _News(entry)
        self._news.move_to_end(entry.number, last=False)  # before all that was told already

    def _often(self) -> int:
        return self.tuning.spread * max(self.size, 2).bit_length()

    def _riders(
        self, to: int, room: int, always: bool
    ) -> tuple[tuple[Entry, ...], tuple[Told, ...]]:
        """Choose the news that rides on a message: what concerns its reader first, then each in turn.

        The reader is told of itself where it is accused, so that it can clear itself, or ``always``: it may
        be a newcomer that is to take an incarnation above its last one.
        """
        often = self._often()
        rarely = often // self.tuning.spread  # accounts can wait for the next comparison
        most = min(room // 8, ENTRIES_MOST)
        chosen = list(islice(self._news, most))
        known = self.view.get(to)
        if to in self._news:
            chosen = [to, *(number for number in chosen if number != to)][:most]
        entries = [self._ride(number, often) for number in chosen]
        if known is not None and to not in chosen and (always or known.state is State.SUSPECT):
            entries = [self._entry(known), *entries][:most]
        room -= 8 * len(entries)
        told = []
        for number in list(islice(self._tales, room // _TALE_LEAST)):
            member = self.view.get(number)
            if member is None or member.about is None:
                del self._tales[number]
                continue
            room -= told_size(member.about)
            if room < 0:
                break
            told.append(Told(number, member.about_at, member.about))
            self._tales[number] += 1
            if self._tales[number] >= rarely:
                del self._tales[number]
            else:
                self._tales.move_to_end(number)
        return tuple(entries), tuple(told)

    def _ride(self, number: int, often: int) -> Entry:
        """Count that a piece of news is told once more, and put it behind the others."""
        news = self._news[number]
        news.sent += 1
        if news.sent >= often:
            del self._news[number]
        else:
            self._news.move_to_end(number)
        return news.entry

    # Sending

    def _refill(self) -> None:
        passed = max(self._at - self._tokens_at, 0)
        self._tokens_at = self._at
        self._tokens = min(self._tokens + passed * self.tuning.rate / 1e6, float(self.tuning.burst))

    def _may_begin(self) -> bool:
        self._refill()
        return self._tokens >= 1

    def _send(
        self,
        kind: Kind,
        to: int,
        *,
        seq: int = 0,
        target: int = NOBODY,
        entries: tuple[Entry, ...] | None = None,
        digests: tuple[int, ...] = (),
        told: tuple[Told, ...] = (),
        answer: bool = False,
    ) -> bool:
        """Send a message if the budget allows it, with news where it has none of its own."""
        self._refill()
        if self._tokens < (1 - ANSWERS_BEYOND if answer else 1):
            self.counts["held back"] += 1
            return False
        self._tokens -= 1
        if entries is None:
            entries, told = self._riders(to, ROOM - 4 * len(digests), kind is Kind.COMPARED)
        message = Message(kind, self.me, to, self._stamp, seq, target, entries, digests, told)
        self._out.append(Send(message))
        self.counts["sent"] += 1
        return True

    def _done(self) -> list[Action]:
        out, self._out = self._out, []
        self._plan()
        return out

    def _here_others(self) -> list[int]:
        if self._here is None:
            self._here = sorted(
                member.number for member in self.view.here() if member.number != self.me
            )
        return self._here

    def _some(self, many: int, among: list[int], besides: int = -1) -> list[int]:
        """Draw some of them, none twice."""
        random = self._rng.random
        if 4 * many < len(among):
            drawn: dict[int, None] = {}
            while len(drawn) < many:
                number = among[int(random() * len(among))]
                if number != besides:
                    drawn[number] = None
            return list(drawn)
        left = [number for number in among if number != besides]
        for i in range(min(many, len(left))):
            j = i + int(random() * (len(left) - i))
            left[i], left[j] = left[j], left[i]
        return left[:many]

    def _next_seq(self) -> int:
        self._seq = self._seq + 1 & 0xFFFFFFFF
        return self._seq

    # Probes

    def _turn_probe(self, now: int) -> None:
        probe = self._probe
        if probe is not None and not probe.acked and not probe.asked and now >= probe.direct_due:
            self._send(
                Kind.PING, probe.target, seq=probe.seq, target=probe.target
            )  # the first may be lost
            for helper in self._some(
                self.tuning.helpers, self._here_others(), besides=probe.target
            ):
                probe.asked += self._send(Kind.ASK, helper, seq=probe.seq, target=probe.target)
            probe.asked = probe.asked or -1  # nobody to ask
        if probe is not None and now >= probe.due:
            self._probe = None
            if not probe.acked:
                self._fail(probe)
        if self._probe is None and now >= self._probe_at:
            self._begin_probe(now)

    def _begin_probe(self, now: int) -> None:
        period = self.health.stretch(self.tuning.period)
        self._probe_at = now + period
        target = self._next_target()
        if target is None:
            return
        seq = self._next_seq()
        if self._send(Kind.PING, target, seq=seq, target=target, answer=True):
            direct = self.health.stretch(self.tuning.direct)
            self._probe = _Probe(seq, target, now, now + direct, now + period)

    def _next_target(self) -> int | None:
        for _ in range(2):
            while self._round:
                number = self._round.pop()
                member = self.view.get(number)
                if member is not None and member.here:
                    return number
            self._round = self._some(self.size, self._here_others())
        return None

    def _fail(self, probe: _Probe) -> None:
        """Accuse whoever did not answer, and doubt oneself where helpers were not heard either."""
        self.counts["probes failed"] += 1
        if probe.asked <= 0 or probe.nacks < probe.asked:
            self.health.worse()
        member = self.view.get(probe.target)
        if not self._trusts_itself(self._at) or member is None or not member.here:
            return
        mark = stamp(member.incarnation, State.SUSPECT)
        self._take(Entry(probe.target, mark, self.me))

    def _on_answer(self, message: Message) -> None:
        probe, helped = self._probe, self._helping.get(message.seq)
        if probe is not None and message.seq == probe.seq and message.target == probe.target:
            if message.kind is Kind.NACK:
                probe.nacks += 1
            elif not probe.acked:
                probe.acked = True
                self.health.better()
        elif helped is not None and message.sender == helped.target and message.kind is Kind.ACK:
            del self._helping[message.seq]
            self._send(
                Kind.ACK, helped.asker, seq=helped.asked_seq, target=helped.target, answer=True
            )

    def _help(self, message: Message) -> None:
        target = message.target
        if target >= self.size or target == self.me or not self.joined:
            return
        seq = self._next_seq()
        if self._send(Kind.PING, target, seq=seq, target=target):
            due = self._at + self.tuning.direct
            self._helping[seq] = _Help(seq, message.sender, message.seq, target, due)
            if len(self._helping) > HELPING_MOST:
                del self._helping[next(iter(self._helping))]

    def _help_until(self, now: int) -> None:
        for helped in [h for h in self._helping.values() if h.due <= now]:
            del self._helping[helped.seq]
            self._send(
                Kind.NACK, helped.asker, seq=helped.asked_seq, target=helped.target, answer=True
            )

    def _bury(self, number: int) -> None:
        """Take it that an accused member is dead."""
        member = self.view.get(number)
        suspicion = self._suspicions.pop(number)
        if member is None or member.state is not State.SUSPECT:
            return
        mark = stamp(member.incarnation, State.DEAD)
        self._put(replace(member, stamp=mark, since=self._at, by=tuple(suspicion.accusers)))
        self._spread(Entry(number, mark, suspicion.accusers[0]))

    # Whole views

    def _turn_views(self, now: int) -> None:
        if now >= self._compare_at:
            self._compare_at = now + self.tuning.sync
            for number in self._some(1, self._here_others()):
                self._compare(number, Kind.COMPARE)
        if now >= self._call_at:
            self._call_at = now + self.tuning.call
            here = set(self._here_others())
            for number in self._some(1, [n for n in self._others if n not in here]):
                self._compare(number, Kind.COMPARE)

    def _compare(self, to: int, kind: Kind) -> None:
        self._send(kind, to, digests=self.digests(), answer=kind is Kind.COMPARED)

    def _send_differing(self, to: int, digests: tuple[int, ...]) -> None:
        """Queue what is known of all parts that differ: whom it concerns first, accounts last."""
        differ = [mine != theirs for mine, theirs in zip(self.digests(), digests, strict=True)]
        members = sorted(self.view.members.values(), key=lambda m: (m.number != to, m.number))
        entries = tuple(self._entry(m) for m in members if differ[m.number % PARTS])
        told = [
            Told(m.number, m.about_at, m.about)
            for m in members
            if m.about is not None and differ[PARTS + m.number % PARTS]
        ]
        pieces = [
            Message(Kind.NEWS, self.me, to, entries=entries[i : i + ENTRIES_MOST])
            for i in range(0, len(entries), ENTRIES_MOST)
        ]
        room, batch = 0, list[Told]()
        for each in told:
            size = told_size(each.about)
            if batch and size > room:
                pieces.append(Message(Kind.NEWS, self.me, to, told=tuple(batch)))
                batch = []
            if not batch:
                room = ROOM
            batch.append(each)
            room -= size
        if batch:
            pieces.append(Message(Kind.NEWS, self.me, to, told=tuple(batch)))
        self._waiting.extend(pieces[: WAITING_MOST - len(self._waiting)])
        self._send_waiting()

    def _send_waiting(self) -> None:
        while self._waiting and self._may_begin():
            piece = self._waiting.popleft()
            self._send(Kind.NEWS, piece.to, entries=piece.entries, told=piece.told)

    def _turn_news(self, now: int) -> None:
        self._send_waiting()
        if now >= self._gossip_at and self._news and self.joined:
            self._gossip_at = now + self.tuning.gossip
            for number in self._some(self.tuning.fanout, self._here_others()):
                self._send(Kind.NEWS, number)

    # What is due when

    def _plan(self) -> None:
        self.due = max(min(self._dues()), self._at)  # a confirmed suspicion may be due long since

    def _dues(self) -> Iterable[int]:
        if not self.joined:
            yield self._join_until
        if self._unsure_since is not None:
            yield self._ask_at
        trusts = self._trusts_itself(self._at)
        for suspicion in self._suspicions.values():
            due = suspicion.due(self.me)
            if self.joined and self.me in suspicion.accusers:
                due = min(due, suspicion.ask_at)
            yield due if trusts else max(due, self._at + self.tuning.ask)
        if self.joined:
            probe = self._probe
            if probe is not None:
                yield probe.due if probe.asked or probe.acked else probe.direct_due
            else:
                yield self._probe_at
            yield self._compare_at
            yield self._call_at
            for helped in self._helping.values():
                yield helped.due
            if self._news:
                yield max(self._gossip_at, self._at)
        if self._waiting:
            yield self._at + int(1e6 / self.tuning.rate)


def _order(about: About | None) -> tuple[object, ...]:
    """Order accounts: which of two is kept must be the same everywhere."""
    if about is None:
        return ()
    return (about.started, about.name, about.zone, about.version, int(about.can))


@lru_cache(maxsize=512)
def _digest(number: int, mark: int, about: About | None = None) -> int:
    data = f"{number} {mark} {_order(about)}".encode()
    return int.from_bytes(blake2b(data, digest_size=4).digest(), "big")
