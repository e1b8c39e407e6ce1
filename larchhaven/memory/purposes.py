"""What memory is used for, and what one such use costs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MemoryPurpose(IntEnum):
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
RESIDENT_PURPOSES = tuple(
    p for p in MemoryPurpose if p not in (MemoryPurpose.FILES, MemoryPurpose.KERNEL)
)


@dataclass(frozen=True, slots=True)
class PurposeDescription:
    """One purpose for people: what it covers and what happens at its cap."""

    covers: str
    at_cap: str


PURPOSE_DESCRIPTIONS: dict[MemoryPurpose, PurposeDescription] = {
    MemoryPurpose.CONNECTIONS: PurposeDescription(
        "clients, exam servers' ends, and what each connection keeps beside its buffers",
        "silent, parting and unread clients give way; then newcomers get BUSY, the class worth most last",
    ),
    MemoryPurpose.TABLES: PurposeDescription(
        "commands, the decision module, identities, holders, deadlines, the list of exam servers",
        "the oldest holders are forgotten; then new commands get BUSY; a live command is never forgotten",
    ),
    MemoryPurpose.BUFFERS: PurposeDescription(
        "bytes on their way between clients and exam servers",
        "nothing more is read until a buffer comes back: the other side has to wait",
    ),
    MemoryPurpose.PROBES: PurposeDescription(
        "kept connections to exam servers for load reports, and their buffers",
        "a probe is left out, and the decision module hears so",
    ),
    MemoryPurpose.PEERS: PurposeDescription(
        "what other proxies and the other process of an upgrade tell",
        "further ids of the other process are not kept",
    ),
    MemoryPurpose.MANAGEMENT: PurposeDescription(
        "operators' calls and calls to discovery",
        "the oldest incomplete call is closed; a list of exam servers that is too long is a failed call",
    ),
    MemoryPurpose.LOG: PurposeDescription(
        "kinds of notices remembered", "the kind told longest ago is forgotten"
    ),
    MemoryPurpose.FILES: PurposeDescription(
        "files of ours in $TMPDIR", "a suspension is not saved and the caller is told so"
    ),
    MemoryPurpose.KERNEL: PurposeDescription(
        "bytes that the system holds for our sockets, both ways",
        "clients that do not read give way, the longest unread first",
    ),
}
