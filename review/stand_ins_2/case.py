"""Runs a case: its verdict is the exit code, and its record is written in any event."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins_2.platform import CannotRunError, Platform
from stand_ins_2.record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_S = 110.0

Play = Callable[[Record, Platform, bool], Awaitable[list[str]]]


def run_case(folder: Path, play: Play) -> None:
    """Play a case and exit with its verdict.

    Args:
        folder: The folder of the case, for its record.
        play: Plays the case; it gets whether to make the trouble, and returns what broke the rule.
    """
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", f"trouble: {'yes' if with_trouble else 'no'}")
    platform = Platform(record)
    try:
        code = asyncio.run(_judge(record, platform, play, with_trouble))
    except (CannotRunError, OSError, TimeoutError) as error:
        print(f"cannot run: {error!r}")
        record.add("case", f"cannot run: {error!r}")
        code = CANNOT_RUN
    finally:
        record.write()
        platform.close()
    sys.exit(code)


async def _judge(record: Record, platform: Platform, play: Play, with_trouble: bool) -> int:
    async with asyncio.timeout(LONGEST_S):
        breaches = await play(record, platform, with_trouble)
    for breach in breaches:
        record.add("BROKEN", breach)
        print(f"broken: {breach}")
    if not breaches:
        record.add("case", "the rule held")
        print("the rule held")
    return BROKEN if breaches else HELD
