"""The host of the simulated proxies: one balancer for each of them.

The simulator sends batches. A batch is a ``clock`` line, then ``context`` lines, each of which
selects a proxy and is followed by the events of that proxy, and a ``your_turn`` line at the end.
The host replies to each batch with the actions of all proxies.
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
    """The current batch, as far as it has been read.

    Attributes:
        number: The batch number as text; ``-`` until the clock line has been read.
        line: The last line read, for error messages.
        line_count: The number of lines read.
        proxy_index: The proxy that the next events belong to; None until a proxy is selected.
        events: The events read so far, by proxy index.
    """

    number: str = NO_BATCH
    line: str = ""
    line_count: int = 0
    proxy_index: int | None = None
    events: dict[int, list[Event]] = field(default_factory=dict)


class SimulatorHost:
    """Runs the simulated proxies of one process, which share only its input and output.

    Args:
        lines: The lines that the simulator sends.
        out: The stream that replies are written to.
    """

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self._lines: Iterator[str] = iter(lines)
        self._out = out
        self._balancers: dict[int, Balancer] = {}
        self._batch = _Batch()

    def run(self) -> int:
        """Reply to batches until the input ends or a line is invalid.

        Returns:
            The exit code: 0 at the end of the input, ``FAULT_EXIT_CODE`` after an invalid line.
        """
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
            raise codec.UnexpectedLineError(f"{END_OF_BATCH!r}, but the input ended inside a batch")
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
        """Decode the clock line of a batch and return the simulated time in microseconds."""
        if line[0] != "clock":
            raise codec.UnexpectedLineError(f"'clock now batch', not {line[0]!r}")
        codec.check_field_count(line, "now batch")
        _, now, number = line
        now_us = codec.decode_integer(now)
        self._batch.number = str(codec.decode_integer(number))
        return now_us

    def _read_line(self, line: list[str], text: str) -> None:
        """Process one line of the current proxy.

        Args:
            line: The line, split at spaces.
            text: The same line as received.
        """
        name = line[0]
        batch = self._batch
        proxy_index = batch.proxy_index
        if proxy_index is None:
            raise codec.UnexpectedLineError(f"'context i' before {name!r}")
        if name == "open_instance":
            self._start_proxy(proxy_index, text)
        elif proxy_index not in self._balancers:
            expectation = f"'open_instance' before {name!r} for proxy {proxy_index}"
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
        self._balancers[proxy_index] = Balancer(settings, codec.decode_integer(seed))
        self._batch.events[proxy_index] = []

    def _stop_proxy(self, proxy_index: int, line: list[str]) -> None:
        codec.check_field_count(line, "")
        del self._balancers[proxy_index]
        self._batch.events.pop(proxy_index, None)

    def _report_fault(self, error: FormatError) -> None:
        batch = self._batch
        shown_line = batch.line
        if len(shown_line) > MAX_SHOWN_LINE_LENGTH:
            shown_line = shown_line[:MAX_SHOWN_LINE_LENGTH] + "..."
        text = f"batch {batch.number}, line {batch.line_count} ({shown_line}): {error}"
        print(f"larchhaven: {text}", file=sys.stderr)
        if batch.proxy_index is not None:
            self._out.write(f"on_behalf {batch.proxy_index}\n")
        self._out.write(f"fault {text}\nnext {batch.number}\n")
        self._out.flush()
