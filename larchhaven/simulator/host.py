"""Host one Balancer per instance on the text wire: ``python -m larchhaven.simulator.host``."""

from __future__ import annotations

import gc
import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import Event
from larchhaven.simulator import codec as wire


class Host:
    """The instances of one process; they share nothing but the pipe."""

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self._lines: Iterator[str] = iter(lines)
        self._out = out
        self._balancers: dict[int, Balancer] = {}
        self._batch = "-"
        self._instance: int | None = None
        self._line_no = 0
        self._line = ""

    def run(self) -> int:
        """Answer batches until the input ends; return the exit code."""
        while True:
            self._batch, self._line_no, self._instance = "-", 0, None
            line = next(self._lines, None)
            if line is None:
                return 0
            self._line, self._line_no = line.rstrip("\n"), 1
            try:
                reply = self._answer(self._line.split(" "))
            except wire.WireError as error:
                return self._fault(str(error))
            self._out.write("\n".join(reply) + "\n")
            self._out.flush()

    def _take(self) -> str:
        line = next(self._lines, None)
        if line is None:
            raise wire.WireError("expected 'your_turn', but the input ended")
        self._line_no += 1
        self._line = line.rstrip("\n")
        return self._line

    def _answer(self, head: list[str]) -> list[str]:
        if head[0] != "clock":
            raise wire.WireError(f"expected 'clock now batch', not {head[0]!r}")
        wire.expect_fields(head, "now batch")
        now, self._batch = wire.decode_now(head[1]), str(wire.decode_now(head[2]))
        events: dict[int, list[Event]] = {}
        while (line := self._take()) != "your_turn":
            parts = line.split(" ")
            name = parts[0]
            instance = self._instance
            if name == "context":
                self._instance = wire.decode_instance(parts)
            elif instance is None:
                raise wire.WireError("expected 'context i' ahead of the first event")
            elif name == "open_instance":
                self._open(instance, line)
                events[instance] = []
            elif instance not in self._balancers:
                raise wire.WireError(f"expected 'open_instance' ahead of events for {instance}")
            elif name == "teardown":
                wire.expect_fields(parts, "")
                del self._balancers[instance]
                events.pop(instance, None)
            elif name == "view":
                events.setdefault(instance, []).append(wire.decode_view(parts, self._take))
            else:
                events.setdefault(instance, []).append(wire.decode_event(parts))
        reply = []
        for number, batch in events.items():
            actions = self._balancers[number].handle(now, batch)
            if actions:
                reply.append(f"on_behalf {number}")
                reply += wire.encode_actions(actions)
        reply.append(f"next {self._batch}")
        return reply

    def _open(self, instance: int, line: str) -> None:
        parts = line.split(" ", 2)
        wire.expect_fields(parts, "prng options")
        self._balancers[instance] = Balancer(
            wire.decode_settings(parts[2]), wire.decode_now(parts[1])
        )

    def _fault(self, expected: str) -> int:
        shown = self._line if len(self._line) <= 200 else self._line[:200] + "..."
        text = f"batch {self._batch}, line {self._line_no} ({shown}): {expected}"
        print(f"larchhaven: {text}", file=sys.stderr)
        if self._instance is not None:
            self._out.write(f"on_behalf {self._instance}\n")
        self._out.write(f"fault {text}\nnext {self._batch}\n")
        self._out.flush()
        return 2


def main() -> int:
    """Serve the wire on standard input and output."""
    gc.set_threshold(
        100_000, 50, 50
    )  # instances make next to no cycles, so full passes would find nothing
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return Host(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
