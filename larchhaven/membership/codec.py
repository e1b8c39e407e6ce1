"""The bytes of messages: at most 256, with a tag that proves their origin.

A datagram is a header, a body by kind, and a tag. Numbers are big-endian.

=======  ================  ==================================================================
bytes    field             meaning
=======  ================  ==================================================================
1        prefix            ``M``: other datagrams of proxies begin with other letters
1        format version    a later version is rejected and counted
1        kind              one of ``MessageKind``
1        update count      how many state updates follow
2, 2     sender, receiver  numbers in the peer table; they differ if the tables differ
4        session id        drawn at the start of the sender's process
4        counter           raised with each message of a session, against replays
4        stamp             the sender's own, 0 before it has joined
4        sequence          matches an answer with its request
2        target            the member that is probed
=======  ================  ==================================================================

The body has state updates of 8 bytes (number, stamp, accuser), in push-pull messages digests of 4
bytes, then info updates. The tag is a keyed BLAKE2b of all before it, 8 bytes; without a key it is
a checksum only.
"""

from __future__ import annotations

import hmac
import struct
from collections.abc import Sequence
from dataclasses import replace
from hashlib import blake2b
from typing import NamedTuple

from larchhaven.membership.errors import DatagramError, RejectReason
from larchhaven.membership.member import (
    MAX_INCARNATION,
    MAX_NAME_BYTES,
    Capability,
    MemberInfo,
    MemberState,
    make_stamp,
)
from larchhaven.membership.messages import (
    DIGEST_BUCKETS,
    InfoUpdate,
    Message,
    MessageKind,
    StateUpdate,
)

MAX_DATAGRAM_BYTES = 256
DATAGRAM_PREFIX = b"M"
FORMAT_VERSION = 1
TAG_BYTES = 8

_HEADER = struct.Struct(">cBBBHHIIIIH")
_STATE_UPDATE = struct.Struct(">HIH")
_DIGEST = struct.Struct(">I")
# Number, incarnation, zone, protocol version, start, capabilities, length of the name.
_INFO_UPDATE = struct.Struct(">HIBHIHB")
_TAG_PERSONALIZATION = b"larchhaven-membr"
# A member that has not joined says nothing of itself; 32 bits bound the largest stamp.
_MIN_STAMP = make_stamp(1, MemberState.ALIVE)
_PUSH_PULL_KINDS = (MessageKind.PUSH_PULL_REQUEST, MessageKind.PUSH_PULL_RESPONSE)
_UINT8_MASK = 0xFF
_UINT16_MASK = 0xFFFF
_UINT32_MASK = 0xFFFF_FFFF

MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - _HEADER.size - TAG_BYTES
STATE_UPDATE_BYTES = _STATE_UPDATE.size
DIGEST_BYTES = _DIGEST.size
MIN_INFO_UPDATE_BYTES = _INFO_UPDATE.size
MAX_STATE_UPDATES = MAX_BODY_BYTES // STATE_UPDATE_BYTES


class _Header(NamedTuple):
    """The fields of the header, in the order of their bytes."""

    prefix: bytes
    format_version: int
    kind: int
    update_count: int
    sender: int
    receiver: int
    session_id: int
    counter: int
    stamp: int
    sequence: int
    target: int


def info_update_bytes(info: MemberInfo) -> int:
    """Return how many bytes an update with this info takes."""
    return _INFO_UPDATE.size + len(_encode_name(info.name))


def truncate_info(info: MemberInfo) -> MemberInfo:
    """Return the info as other members will receive it."""
    return replace(info, name=_encode_name(info.name).decode())


def compute_tag(data: bytes, key: bytes) -> bytes:
    """Return the tag that proves the origin of the data."""
    return blake2b(data, digest_size=TAG_BYTES, key=key, person=_TAG_PERSONALIZATION).digest()


def encode(message: Message, key: bytes = b"") -> bytes:
    """Encode a message.

    Args:
        message: The message.
        key: The key of the tag, at most 64 bytes.

    Raises:
        ValueError: The datagram would be longer than 256 bytes.
    """
    header = _HEADER.pack(
        DATAGRAM_PREFIX,
        FORMAT_VERSION,
        message.kind,
        len(message.state_updates),
        message.sender,
        message.receiver,
        message.session_id,
        message.counter,
        message.stamp,
        message.sequence,
        message.target,
    )
    parts = [header]
    parts += [_STATE_UPDATE.pack(u.number, u.stamp, u.accuser) for u in message.state_updates]
    parts += [_DIGEST.pack(digest) for digest in message.digests]
    parts += [_encode_info_update(update) for update in message.info_updates]
    data = b"".join(parts)
    data += compute_tag(data, key)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram of {len(data)} bytes, at most {MAX_DATAGRAM_BYTES} are allowed")
    return data


def decode(data: bytes, keys: Sequence[bytes] = (b"",)) -> Message:
    """Decode a datagram whose tag is proved by any of the keys.

    Raises:
        DatagramError: It is damaged, or not from a member of this version.
    """
    if not _HEADER.size + TAG_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise DatagramError(RejectReason.SIZE)
    header = _Header._make(_HEADER.unpack_from(data))
    if header.prefix != DATAGRAM_PREFIX:
        raise DatagramError(RejectReason.PREFIX)
    if header.format_version != FORMAT_VERSION:
        raise DatagramError(RejectReason.FORMAT_VERSION)
    signed = _check_tag(data, keys)
    kind = _decode_kind(header.kind)
    updates_end = _HEADER.size + header.update_count * STATE_UPDATE_BYTES
    state_updates = _decode_state_updates(signed, updates_end)
    digests_end = updates_end
    if kind in _PUSH_PULL_KINDS:
        digests_end += 2 * DIGEST_BUCKETS * DIGEST_BYTES
    return Message(
        kind,
        header.sender,
        header.receiver,
        header.stamp,
        header.sequence,
        header.target,
        state_updates,
        _decode_digests(signed, updates_end, digests_end),
        _decode_info_updates(signed[digests_end:]),
        header.session_id,
        header.counter,
    )


def _encode_name(name: str) -> bytes:
    data = name.encode("utf-8", "replace")
    if len(data) <= MAX_NAME_BYTES:
        return data
    # A character that is cut in the middle is left out.
    return data[:MAX_NAME_BYTES].decode("utf-8", "ignore").encode()


def _encode_info_update(update: InfoUpdate) -> bytes:
    info = update.info
    name = _encode_name(info.name)
    fields = _INFO_UPDATE.pack(
        update.number,
        update.incarnation,
        info.zone & _UINT8_MASK,
        info.protocol_version & _UINT16_MASK,
        info.started_unix_s & _UINT32_MASK,
        info.capabilities & _UINT16_MASK,
        len(name),
    )
    return fields + name


def _check_tag(data: bytes, keys: Sequence[bytes]) -> bytes:
    """Return the datagram without its tag."""
    signed, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
    if not any(hmac.compare_digest(compute_tag(signed, key), tag) for key in keys):
        raise DatagramError(RejectReason.TAG)
    return signed


def _decode_kind(number: int) -> MessageKind:
    try:
        return MessageKind(number)
    except ValueError:
        raise DatagramError(RejectReason.KIND) from None


def _decode_state_updates(signed: bytes, end: int) -> tuple[StateUpdate, ...]:
    if end > len(signed):
        raise DatagramError(RejectReason.STATE_UPDATES)
    packed = signed[_HEADER.size : end]
    updates = tuple(StateUpdate(*fields) for fields in _STATE_UPDATE.iter_unpack(packed))
    for update in updates:
        if update.stamp < _MIN_STAMP:
            raise DatagramError(RejectReason.INCARNATION)
    return updates


def _decode_digests(signed: bytes, begin: int, end: int) -> tuple[int, ...]:
    if end > len(signed):
        raise DatagramError(RejectReason.DIGESTS)
    return tuple(digest for (digest,) in _DIGEST.iter_unpack(signed[begin:end]))


def _decode_info_updates(packed: bytes) -> tuple[InfoUpdate, ...]:
    updates = []
    offset = 0
    while offset < len(packed):
        if offset + _INFO_UPDATE.size > len(packed):
            raise DatagramError(RejectReason.INFO_UPDATES)
        fields = _INFO_UPDATE.unpack_from(packed, offset)
        number, incarnation, zone, protocol_version, started_unix_s, capabilities, length = fields
        offset += _INFO_UPDATE.size
        name = _decode_name(packed[offset : offset + length], length)
        offset += length
        if not 0 < incarnation <= MAX_INCARNATION:
            raise DatagramError(RejectReason.INFO_UPDATES)
        info = MemberInfo(name, zone, protocol_version, started_unix_s, Capability(capabilities))
        updates.append(InfoUpdate(number, incarnation, info))
    return tuple(updates)


def _decode_name(data: bytes, length: int) -> str:
    if len(data) != length or length > MAX_NAME_BYTES:
        raise DatagramError(RejectReason.INFO_UPDATES)
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise DatagramError(RejectReason.INFO_UPDATES) from None
