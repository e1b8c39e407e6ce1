"""Hosts one balancer for each simulated proxy.

The simulator sends batches: a clock line, lines that name a proxy and its events, and a line that
ends the batch. The host answers each batch with the actions of all its proxies.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import TextIO

from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import Event
from larchhaven.routing.settings_codec import decode_flat
from larchhaven.simulator import codec
from larchhaven.text_fields import FormatError

END_OF_BATCH = "your_turn"
NO_BATCH = "-"
MAX_SHOWN_LINE_LENGTH = 200
FAULT_EXIT_CODE = 2


@dataclass(slots=True)
class _Batch:
    """What is read of the current batch.

    Attributes:
        number: Its number, as text; ``-`` before the clock line is read.
        line: The line read last.
        line_count: How many lines were read.
        proxy_index: The proxy that the next events are for; None before the first.
        events: The events so far, by proxy.
    """

    number: str = NO_BATCH
    line: str = ""
    line_count: int = 0
    proxy_index: int | None = None
    events: dict[int, list[Event]] = field(default_factory=dict)


class SimulatorHost:
    """The proxies of one process; they share nothing but the pipe.

    Args:
        lines: The simulator's lines.
        out: Where replies are written.
    """

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self._lines: Iterator[str] = iter(lines)
        self._out = out
        self._balancers: dict[int, Balancer] = {}
        self._batch = _Batch()

    def run(self) -> int:
        """Answer batches until the input ends; return the exit code."""
        for line in self._lines:
            self._batch = _Batch(line=line.rstrip("\n"), line_count=1)
            try:
                reply = self._answer()
            except FormatError as error:
                self._report_fault(error)
                return FAULT_EXIT_CODE
            self._out.write("\n".join(reply) + "\n")
            self._out.flush()
        return 0

    def _take_line(self) -> str:
        line = next(self._lines, None)
        if line is None:
            raise codec.UnexpectedLineError(f"{END_OF_BATCH!r}, but the input ended")
        batch = self._batch
        batch.line_count += 1
        batch.line = text = line.rstrip("\n")
        return text

    def _answer(self) -> list[str]:
        batch = self._batch
        now_us = self._read_clock(batch.line.split(" "))
        while (text := self._take_line()) != END_OF_BATCH:
            line = text.split(" ")
            if line[0] == "context":
                batch.proxy_index = codec.decode_proxy_index(line)
            else:
                self._read_line(line, text)
        reply = []
        for proxy_index, events in batch.events.items():
            actions = self._balancers[proxy_index].handle(now_us, events)
            if actions:
                reply.append(f"on_behalf {proxy_index}")
                reply += codec.encode_actions(actions)
        reply.append(f"next {batch.number}")
        return reply

    def _read_clock(self, line: list[str]) -> int:
        """Read the first line of a batch; return the time in microseconds."""
        if line[0] != "clock":
            raise codec.UnexpectedLineError(f"'clock now batch', not {line[0]!r}")
        codec.check_field_count(line, "now batch")
        _, now, number = line
        now_us = codec.decode_clock(now)
        self._batch.number = str(codec.decode_clock(number))
        return now_us

    def _read_line(self, line: list[str], text: str) -> None:
        """Read a line for the current proxy: split, and as it came."""
        name = line[0]
        batch = self._batch
        proxy_index = batch.proxy_index
        if proxy_index is None:
            raise codec.UnexpectedLineError("'context i' ahead of the first event")
        if name == "open_instance":
            self._start_proxy(proxy_index, text)
        elif proxy_index not in self._balancers:
            expectation = f"'open_instance' ahead of events for {proxy_index}"
            raise codec.UnexpectedLineError(expectation)
        elif name == "teardown":
            self._stop_proxy(proxy_index, line)
        elif name == "view":
            update = codec.decode_endpoint_list(line, self._take_line)
            batch.events.setdefault(proxy_index, []).append(update)
        else:
            event = codec.decode_event(line)
            batch.events.setdefault(proxy_index, []).append(event)

    def _start_proxy(self, proxy_index: int, text: str) -> None:
        line = text.split(" ", 2)
        codec.check_field_count(line, "prng options")
        _, seed, options = line
        settings = decode_flat(options)
        self._balancers[proxy_index] = Balancer(settings, codec.decode_clock(seed))
        self._batch.events[proxy_index] = []

    def _stop_proxy(self, proxy_index: int, line: list[str]) -> None:
        codec.check_field_count(line, "")
        del self._balancers[proxy_index]
        self._batch.events.pop(proxy_index, None)

    def _report_fault(self, error: FormatError) -> None:
        batch = self._batch
        shown = batch.line
        if len(shown) > MAX_SHOWN_LINE_LENGTH:
            shown = shown[:MAX_SHOWN_LINE_LENGTH] + "..."
        text = f"batch {batch.number}, line {batch.line_count} ({shown}): {error}"
        print(f"larchhaven: {text}", file=sys.stderr)
        if batch.proxy_index is not None:
            self._out.write(f"on_behalf {batch.proxy_index}\n")
        self._out.write(f"fault {text}\nnext {batch.number}\n")
        self._out.flush()
