"""The purposes that memory is accounted by, and their descriptions for operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class MemoryPurpose(IntEnum):
    """What memory is used for; each purpose has a cap of its own and takes from no other."""

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


# Part of the process's resident size; files and kernel buffers are charged beside it.
RESIDENT_PURPOSES = tuple(
    purpose
    for purpose in MemoryPurpose
    if purpose not in (MemoryPurpose.FILES, MemoryPurpose.KERNEL)
)


@dataclass(frozen=True, slots=True)
class PurposeDescription:
    """A purpose in words for operators.

    Attributes:
        covers: What is accounted under the purpose.
        at_cap: What happens when its cap is reached.
    """

    covers: str
    at_cap: str


PURPOSE_DESCRIPTIONS: dict[MemoryPurpose, PurposeDescription] = {
    MemoryPurpose.CONNECTIONS: PurposeDescription(
        covers="clients, upstream connections, and what each keeps beside its buffers",
        at_cap=(
            "clients without a request line, in lingering close or not reading are shed; then new"
            " requests get BUSY, the class with the highest weight last"
        ),
    ),
    MemoryPurpose.TABLES: PurposeDescription(
        covers="requests, routing decisions, ids, the sticky table, timers, the endpoint list",
        at_cap=(
            "the oldest sticky table entries are evicted; then new requests get BUSY; a live"
            " request is never evicted"
        ),
    ),
    MemoryPurpose.BUFFERS: PurposeDescription(
        covers="bytes in flight between clients and servers",
        at_cap="reading stops until a buffer is released: backpressure on the other side",
    ),
    MemoryPurpose.PROBES: PurposeDescription(
        covers="cached connections to servers for health checks, and their buffers",
        at_cap="a health check is skipped and reported as not sent",
    ),
    MemoryPurpose.PEERS: PurposeDescription(
        covers="state received from other proxies and from the other process of a hot restart",
        at_cap="further request ids of the other process are not kept",
    ),
    MemoryPurpose.MANAGEMENT: PurposeDescription(
        covers="operators' calls and calls to discovery",
        at_cap=(
            "the oldest incomplete call is closed; an endpoint list that is too long is a failed"
            " call"
        ),
    ),
    MemoryPurpose.LOG: PurposeDescription(
        covers="events remembered to limit the rate of log lines",
        at_cap="the event logged longest ago is forgotten",
    ),
    MemoryPurpose.FILES: PurposeDescription(
        covers="the proxy's files in $TMPDIR",
        at_cap="an administrative ejection is not saved and the caller gets an error",
    ),
    MemoryPurpose.KERNEL: PurposeDescription(
        covers="bytes in the kernel's socket buffers, both ways",
        at_cap="clients that do not read are shed, the longest unread first",
    ),
}


def caps_by_purpose(caps_by_key: Mapping[str, int]) -> dict[MemoryPurpose, int]:
    """Return caps under their purposes, from caps under the keys that operators write."""
    return {
        purpose: caps_by_key[purpose.key] for purpose in MemoryPurpose if purpose.key in caps_by_key
    }
