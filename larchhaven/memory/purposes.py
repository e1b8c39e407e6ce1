"""The purposes of memory usage and their descriptions for operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class MemoryPurpose(IntEnum):
    """A purpose of memory usage; each has its own cap and cannot use the memory of another."""

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
        """The purpose's name in settings and reports."""
        return self.name.lower()


# Purposes that are part of the process's resident size; files and kernel buffers are not.
RESIDENT_PURPOSES = tuple(
    purpose
    for purpose in MemoryPurpose
    if purpose not in (MemoryPurpose.FILES, MemoryPurpose.KERNEL)
)


@dataclass(frozen=True, slots=True)
class PurposeDescription:
    """The description of a purpose for operators.

    Attributes:
        covers: The memory that the purpose accounts for.
        at_cap: The effect of reaching the cap.
    """

    covers: str
    at_cap: str


PURPOSE_DESCRIPTIONS: dict[MemoryPurpose, PurposeDescription] = {
    MemoryPurpose.CONNECTIONS: PurposeDescription(
        covers="clients and upstream connections, without their buffers",
        at_cap=(
            "clients that have sent no request line, linger or do not read are shed; after that,"
            " new requests get BUSY, those of the highest priority weight last"
        ),
    ),
    MemoryPurpose.TABLES: PurposeDescription(
        covers="requests and their ids, routing state, the sticky table, timers, the endpoint list",
        at_cap=(
            "the oldest sticky table entries are evicted; after that, new requests get BUSY;"
            " active requests are never evicted"
        ),
    ),
    MemoryPurpose.BUFFERS: PurposeDescription(
        covers="bytes in flight between clients and servers",
        at_cap="reading pauses until a buffer is released, so backpressure reaches the sender",
    ),
    MemoryPurpose.PROBES: PurposeDescription(
        covers="cached health check connections to servers, and their buffers",
        at_cap="health checks are skipped and reported as not sent",
    ),
    MemoryPurpose.PEERS: PurposeDescription(
        covers="state received from other proxies and from the other process of a hot restart",
        at_cap="further request ids from the other process are not stored",
    ),
    MemoryPurpose.MANAGEMENT: PurposeDescription(
        covers="calls to the admin API and calls to discovery",
        at_cap=(
            "the oldest incomplete call is closed; a call to discovery fails if the endpoint list"
            " is too long"
        ),
    ),
    MemoryPurpose.LOG: PurposeDescription(
        covers="events tracked to limit the rate of log lines",
        at_cap="the event that was logged least recently is no longer tracked",
    ),
    MemoryPurpose.FILES: PurposeDescription(
        covers="the proxy's files in $TMPDIR",
        at_cap="a new administrative ejection is not saved, and the caller gets an error",
    ),
    MemoryPurpose.KERNEL: PurposeDescription(
        covers="bytes in the kernel's socket buffers, in both directions",
        at_cap="clients that do not read are shed, starting with the longest unread",
    ),
}


def caps_by_purpose(caps_by_key: Mapping[str, int]) -> dict[MemoryPurpose, int]:
    """Convert caps by key, as operators write them, to caps by purpose."""
    return {
        purpose: caps_by_key[purpose.key] for purpose in MemoryPurpose if purpose.key in caps_by_key
    }
