"""The record of a run: what was sent, answered and executed, with the time of each event."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines and writes them to ``record.txt`` when the run is over."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started_s

    def add(self, who: str, what: str) -> float:
        """Add an event; return its time in seconds since the start of the run."""
        at_s = self.now()
        self._lines.append(f"{at_s:9.3f}  {who:<12} {what}")
        return at_s

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
