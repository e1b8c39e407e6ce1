"""Messages between members, at most 256 bytes: their form, checksum and proof of origin.

A message is a head, a body by kind, and a tag. Numbers are big-endian.

=======  =====  =========================================================================
bytes    name   meaning
=======  =====  =========================================================================
1        ours   ``M``: other messages of proxies begin with other letters
1        form   the version of this form; a later one is refused and counted
1        kind   one of ``Kind``
1        many   how many entries follow
2, 2     from, to   numbers in the table of peers: a reader whose own differs has another table
4        life   drawn at the sender's start
4        count  raised with each message of that life, against replays
4        stamp  the sender's own, 0 before it has one
4        seq    binds an answer to its question
2        target who a question or an answer is about
=======  =====  =========================================================================

Then entries of 8 bytes (number, stamp, who accuses), digests of 4 bytes where views are compared, and
what members tell of themselves. The tag is a keyed BLAKE2b of all before it, 8 bytes; without a key it is a
checksum only.
"""

from __future__ import annotations

import hmac
import struct
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import IntEnum
from hashlib import blake2b

from larchhaven.membership.member import INCARNATION_MOST, NAME_MOST, About, Can, incarnation_of

LONGEST = 256
OURS = b"M"
FORM = 1
TAG = 8
KEY_MOST = 64  # of BLAKE2b, in bytes
_HEAD = struct.Struct(">cBBBHHIIIIH")
_ENTRY = struct.Struct(">HIH")
_DIGEST = struct.Struct(">I")
_ABOUT = struct.Struct(
    ">HIBHIHB"
)  # number, incarnation it was told at, zone, version, started, can, name's size
# The whole view is compared in so many parts, stamps and accounts each by themselves.
PARTS = 16
NOBODY = 0xFFFF  # no number
ROOM = LONGEST - _HEAD.size - TAG
ENTRIES_MOST = ROOM // _ENTRY.size


class Kind(IntEnum):
    """What a message is for."""

    PING = 1
    ACK = 2  # the target of the question is there
    ASK = 3  # ping the target for me
    NACK = 4  # asked, and it does not answer
    NEWS = 5
    COMPARE = 6  # here are my digests: tell me where yours differ, and send yours
    COMPARED = 7  # the answer: my digests, after which the first sends what differs


@dataclass(frozen=True, slots=True)
class Entry:
    """A piece of news: a member's stamp, and who says so where it is accused or dead."""

    number: int
    stamp: int
    by: int = NOBODY


@dataclass(frozen=True, slots=True)
class Told:
    """What a member told of itself, as passed on by anybody."""

    number: int
    told_at: int
    about: About


@dataclass(frozen=True, slots=True)
class Message:
    """One message; ``life`` and ``count`` are put in when it is sent."""

    kind: Kind
    sender: int
    to: int
    stamp: int = 0
    seq: int = 0
    target: int = NOBODY
    entries: tuple[Entry, ...] = ()
    digests: tuple[int, ...] = ()
    told: tuple[Told, ...] = ()
    life: int = 0
    count: int = 0


class UnreadableError(Exception):
    """A datagram that no member of this version would send; the text is the reason it is counted under."""


def told_size(about: About) -> int:
    """Return how many bytes a member's own account takes."""
    return _ABOUT.size + len(_name(about))


def _name(about: About) -> bytes:
    data = about.name.encode("utf-8", "replace")
    return data if len(data) <= NAME_MOST else data[:NAME_MOST].decode("utf-8", "ignore").encode()


def cut(about: About) -> About:
    """Return the account as others will have it."""
    return replace(about, name=_name(about).decode())


def tag(data: bytes, key: bytes) -> bytes:
    """Return the proof of origin."""
    return blake2b(data, digest_size=TAG, key=key, person=b"larchhaven-membr").digest()


def encode(message: Message, key: bytes = b"") -> bytes:
    """Write a message.

    Raises:
        ValueError: It is longer than 256 bytes; nobody here puts so much into one.

    """
    digests = message.digests
    parts = [
        _HEAD.pack(
            OURS,
            FORM,
            message.kind,
            len(message.entries),
            message.sender,
            message.to,
            message.life,
            message.count,
            message.stamp,
            message.seq,
            message.target,
        ),
        *(_ENTRY.pack(entry.number, entry.stamp, entry.by) for entry in message.entries),
        *(_DIGEST.pack(digest) for digest in digests),
    ]
    for told in message.told:
        about, name = told.about, _name(told.about)
        parts.append(
            _ABOUT.pack(
                told.number,
                told.told_at,
                about.zone & 0xFF,
                about.version & 0xFFFF,
                about.started & 0xFFFFFFFF,
                about.can & 0xFFFF,
                len(name),
            )
            + name
        )
    data = b"".join(parts)
    data += tag(data, key)
    if len(data) > LONGEST:
        raise ValueError(f"a message of {len(data)} bytes")
    return data


def decode(data: bytes, keys: Sequence[bytes] = (b"",)) -> Message:
    """Read a message whose tag any of the keys proves.

    Raises:
        UnreadableError: No member of this version sent it, or it was damaged.

    """
    if not _HEAD.size + TAG <= len(data) <= LONGEST:
        raise UnreadableError("size")
    ours, form, kind, many, sender, to, life, count, mark, seq, target = _HEAD.unpack_from(data)
    if ours != OURS:
        raise UnreadableError("letter")
    if form != FORM:
        raise UnreadableError("version")
    body, proof = data[:-TAG], data[-TAG:]
    if not any(hmac.compare_digest(tag(body, key), proof) for key in keys):
        raise UnreadableError("tag")
    try:
        kind = Kind(kind)
    except ValueError:
        raise UnreadableError("kind") from None
    at = _HEAD.size
    end = at + many * _ENTRY.size
    if end > len(body):
        raise UnreadableError("entries")
    entries = tuple(Entry(*fields) for fields in _ENTRY.iter_unpack(body[at:end]))
    if any(not 0 < incarnation_of(entry.stamp) <= INCARNATION_MOST for entry in entries):
        raise UnreadableError("incarnation")
    digests: tuple[int, ...] = ()
    if kind in (Kind.COMPARE, Kind.COMPARED):
        at, end = end, end + 2 * PARTS * _DIGEST.size
        if end > len(body):
            raise UnreadableError("digests")
        digests = tuple(digest for (digest,) in _DIGEST.iter_unpack(body[at:end]))
    return Message(
        kind, sender, to, mark, seq, target, entries, digests, _read_told(body[end:]), life, count
    )


def _read_told(data: bytes) -> tuple[Told, ...]:
    told = []
    at = 0
    while at < len(data):
        if at + _ABOUT.size > len(data):
            raise UnreadableError("account")
        number, told_at, zone, version, started, can, size = _ABOUT.unpack_from(data, at)
        at += _ABOUT.size
        name = data[at : at + size]
        at += size
        if len(name) != size or size > NAME_MOST or not 0 < told_at <= INCARNATION_MOST:
            raise UnreadableError("account")
        try:
            about = About(name.decode(), zone, version, started, Can(can))
        except UnicodeDecodeError:
            raise UnreadableError("account") from None
        told.append(Told(number, told_at, about))
    return tuple(told)
