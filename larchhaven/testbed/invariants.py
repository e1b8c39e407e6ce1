"""Checks from records alone whether the proxies kept the site's rules. Pure: no socket, file or clock.

The checker works as records come, and forgets a connection once nothing can be wrong with it any more, so
that a day of any length fits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from larchhaven.testbed.event_record import Record

BROKEN_MOST = 100


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures of the rules, in microseconds; ``slack_us`` is what sockets and a busy machine may add."""

    drain_us: int = 3_000_000
    cold_from: float = 0.33
    tip_multiple: float = 2.5
    tip_after_us: int = 1_500_000
    slack_us: int = 250_000
    overlap_us: int = 50_000


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that was broken: which, when, by what."""

    rule: str
    at: int
    text: str


@dataclass(slots=True)
class _Open:
    """A terminal's connection."""

    until: int = 0
    answered: str = ""
    moved: bool = False
    out: dict[str, int] = field(
        default_factory=dict
    )  # servers that hold an execution, and since when
    overs: dict[str, int] = field(default_factory=dict)
    receipts: set[str] = field(default_factory=set)
    held: str = ""  # the server that said UP
    ended: bool = False  # that server has ended it


@dataclass(slots=True)
class _Server:
    """An exam server."""

    told: int | None = None  # when a proxy was first told that it drains or is gone
    left: bool = False  # crashed, or ends what it holds: its connections end without a MOVE
    holds: int = 0
    born: int | None = None
    warm_after: int = 0
    capacity: float = 0.0
    over_since: int | None = None


class Checker:
    """Takes records in their order of time."""

    def __init__(self, contract: Contract | None = None) -> None:
        self.contract = contract or Contract()
        self.broken: list[Broken] = []
        self.more = 0  # broken beyond those that are kept
        self._open: dict[str, _Open] = {}
        self._servers: dict[str, _Server] = {}
        self._late: deque[tuple[int, str]] = (
            deque()
        )  # answered ones that are forgotten after a while
        self._kinds: dict[str, Callable[[Record], None]] = {
            "ask": self._ask,
            "answer": self._answer,
            "move": self._move,
            "end": self._end,
            "leave": self._leave,
            "sent": self._sent,
            "up": self._up,
            "turned": self._over,
            "over": self._over,
            "long": self._long,
            "told": self._told,
            "born": self._born,
            "left": self._left,
        }

    def take(self, record: Record) -> None:
        """Take the next record."""
        kind = self._kinds.get(record.kind)
        if kind is not None:
            kind(record)
        while self._late and self._late[0][0] < record.at - 10_000_000:
            _, name = self._late.popleft()
            one = self._open.get(name)
            if one is not None and not one.out and (one.answered or not one.until):
                del self._open[name]

    def finish(self, at: int) -> list[Broken]:
        """Say that nothing more comes; return all that was broken."""
        for name, one in self._open.items():
            if one.until and not one.answered and one.until + self.contract.slack_us < at:
                self._break("one answer", at, f"{name} never had an answer")
        return self.broken

    def _break(self, rule: str, at: int, text: str) -> None:
        if len(self.broken) < BROKEN_MOST:
            self.broken.append(Broken(rule, at, text))
        else:
            self.more += 1

    def _of(self, record: Record) -> _Open:
        return self._open.setdefault(record.id, _Open())

    # Terminals

    def _ask(self, record: Record) -> None:
        one = self._of(record)
        one.until = record.at + record.wait

    def _answer(self, record: Record) -> None:
        one = self._of(record)
        if one.answered:
            self._break(
                "one answer",
                record.at,
                f"{record.id} was answered {one.answered}, then {record.text}",
            )
        one.answered = record.text or "end"
        if not record.text:
            self._break("one answer", record.at, f"{record.id} was ended without an answer")
        elif record.at > one.until + self.contract.slack_us:
            late = (record.at - one.until) // 1000
            self._break(
                "one answer", record.at, f"{record.id} was answered {late} ms after its deadline"
            )
        if record.text.startswith("UP") and record.text not in one.receipts:
            self._break(
                "one answer",
                record.at,
                f"{record.id} got {record.text!r}, which no exam server said",
            )
        if not record.text.startswith("UP"):
            self._late.append((record.at, record.id))

    def _move(self, record: Record) -> None:
        self._of(record).moved = True

    def _end(self, record: Record) -> None:
        one = self._of(record)
        server = self._servers.get(one.held)
        excused = one.moved or one.ended or server is None or server.left
        if one.answered.startswith("UP") and not excused:
            self._break(
                "move before loss",
                record.at,
                f"{record.id} was cut off from {one.held} without MOVE",
            )
        self._late.append((record.at, record.id))

    def _leave(self, record: Record) -> None:
        self._late.append((record.at, record.id))
        one = self._of(record)
        one.answered = one.answered or "left"

    # Exam servers

    def _sent(self, record: Record) -> None:
        one = self._of(record)
        for other, since in one.out.items():
            if record.at - since > self.contract.overlap_us and other != record.server:
                # The proxy ends the old one first; its end may be seen a moment later than the new one.
                one.overs[other] = record.at
        if len(one.out) > 1:
            self._break(
                "one execution", record.at, f"{record.id} is out at {', '.join(one.out)} at once"
            )
        one.out[record.server] = record.at
        server = self._servers.setdefault(record.server, _Server())
        late = 0 if server.told is None else record.at - server.told - self.contract.drain_us
        if late > self.contract.slack_us:
            self._break(
                "drain",
                record.at,
                f"{record.id} came to {record.server} {late // 1000} ms after the grace",
            )
        server.holds += 1
        self._look_at_cold(server, record)

    def _up(self, record: Record) -> None:
        one = self._of(record)
        one.receipts.add(record.text)
        one.held, one.ended = record.server, False

    def _over(self, record: Record) -> None:
        one = self._of(record)
        if one.out.pop(record.server, None) is None:
            return
        since = one.overs.pop(record.server, None)
        if since is not None and record.at - since > self.contract.overlap_us:
            both = (record.at - since) // 1000
            self._break(
                "one execution", record.at, f"{record.id} was out at two servers for {both} ms"
            )
        if one.held == record.server:
            one.ended = record.text == "self"
        self._late.append((record.at, record.id))
        server = self._servers.setdefault(record.server, _Server())
        server.holds -= 1
        self._look_at_cold(server, record)

    def _left(self, record: Record) -> None:
        self._servers.setdefault(record.server, _Server()).left = True

    def _born(self, record: Record) -> None:
        server = self._servers.setdefault(record.server, _Server())
        server.born, server.warm_after, server.capacity = record.at, record.wait, record.amount
        server.left, server.over_since = False, None

    def _look_at_cold(self, server: _Server, record: Record) -> None:
        if server.born is None or record.at >= server.born + server.warm_after:
            return
        warm = (record.at - server.born) / server.warm_after
        part = self.contract.cold_from + (1 - self.contract.cold_from) * warm
        if server.holds <= self.contract.tip_multiple * part * server.capacity:
            server.over_since = None
        elif server.over_since is None:
            server.over_since = record.at
        elif record.at - server.over_since > self.contract.tip_after_us:
            self._break("cold", record.at, f"{record.server} holds {server.holds} while it is cold")
            server.over_since = record.at

    # Peers

    def _long(self, record: Record) -> None:
        self._break("datagrams", record.at, f"{record.server} got one of {record.amount:.0f} bytes")

    # Discovery

    def _told(self, record: Record) -> None:
        server = self._servers.setdefault(record.server, _Server())
        if record.text == "ready":
            server.told = None
        elif server.told is None:
            server.told = record.at
