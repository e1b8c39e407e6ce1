"""What memory is used for, and what one such use costs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Purpose(IntEnum):
    """What memory is used for; each has a cap of its own, and none takes from another."""

    CONNECTIONS = 0
    TABLES = 1
    BUFFERS = 2
    PROBES = 3
    PEERS = 4
    MANAGEMENT = 5
    LOG = 6
    FILES = 7
    KERNEL = 8

    @property
    def key(self) -> str:
        """The name that operators read and write."""
        return self.name.lower()


# Those that are part of the process's resident size; files and kernel buffers are charged beside it.
RESIDENT = tuple(p for p in Purpose if p not in (Purpose.FILES, Purpose.KERNEL))


@dataclass(frozen=True, slots=True)
class About:
    """One purpose for people: what it covers and what happens at its cap."""

    covers: str
    at_cap: str


ABOUT: dict[Purpose, About] = {
    Purpose.CONNECTIONS: About(
        "clients, exam servers' ends, and what each connection keeps beside its buffers",
        "silent, parting and unread clients give way; then newcomers get BUSY, the class worth most last",
    ),
    Purpose.TABLES: About(
        "commands, the decision module, identities, holders, deadlines, the list of exam servers",
        "the oldest holders are forgotten; then new commands get BUSY; a live command is never forgotten",
    ),
    Purpose.BUFFERS: About(
        "bytes on their way between clients and exam servers",
        "nothing more is read until a buffer comes back: the other side has to wait",
    ),
    Purpose.PROBES: About(
        "kept connections to exam servers for load reports, and their buffers",
        "a probe is left out, and the decision module hears so",
    ),
    Purpose.PEERS: About(
        "what other proxies and the other process of an upgrade tell",
        "further ids of the other process are not kept",
    ),
    Purpose.MANAGEMENT: About(
        "operators' calls and calls to discovery",
        "the oldest incomplete call is closed; a list of exam servers that is too long is a failed call",
    ),
    Purpose.LOG: About("kinds of notices remembered", "the kind told longest ago is forgotten"),
    Purpose.FILES: About(
        "files of ours in $TMPDIR", "a suspension is not saved and the caller is told so"
    ),
    Purpose.KERNEL: About(
        "bytes that the system holds for our sockets, both ways",
        "clients that do not read give way, the longest unread first",
    ),
}

# What one item costs, in bytes. Measured by benchmarks/memory_costs.py as growth of the resident size over
# hundreds of items, on CPython 3.11; the benchmark says how far a figure is off on another.
STREAM = 1_900  # a connection's end with its owner: client, execution, half a relay, or a caller
DEADLINE = 210
COMMAND_DEADLINES = 3  # that a command has at a time
# A command in the broker and in the decision module, its id and payload not counted.
COMMAND = 1_350 + COMMAND_DEADLINES * DEADLINE
BUFFER_EXTRA = 290  # beside a buffer's bytes
FIRST_USE = 220_000  # what the first commands make the program load and build, once
SERVER = 2_600  # an exam server in the directory, the ranking and the tables beside it
HOLDER = 230
HOST_ONCE = 170  # an exam server that was listed once
IDENTITY = 110
NOTICE = 260
"""Each is an average; `Reality` watches that together they stay near the truth."""
