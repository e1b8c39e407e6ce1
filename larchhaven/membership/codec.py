"""Binary encoding of messages, as datagrams of at most 256 bytes with an authentication tag.

A datagram consists of a header, a body that depends on the kind, and a tag. Numbers are big-endian.

=======  ================  ==================================================================
bytes    field             meaning
=======  ================  ==================================================================
1        prefix            ``M``; other datagrams between proxies have other prefixes
1        format version    a later version is rejected and counted
1        kind              one of ``MessageKind``
1        update count      number of state updates in the body
2, 2     sender, receiver  numbers in the sender's peer table; other tables may differ
4        session id        random number, chosen when the sender's process starts
4        counter           raised with each message of a session, to detect replays
4        stamp             the sender's own stamp, 0 before it has joined
4        sequence          matches a reply with its request
2        target            the probed member
=======  ================  ==================================================================

The body holds state updates of 8 bytes each (number, stamp, suspector), then digests of 4 bytes
each in push-pull messages only, then info updates. The tag is an 8-byte keyed BLAKE2b hash of all
preceding bytes. Without a key it is only a checksum.
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
# Number, incarnation, zone, protocol version, start time, capabilities, length of the name.
_INFO_UPDATE = struct.Struct(">HIBHIHB")
_TAG_PERSONALIZATION = b"larchhaven-membr"
# The smallest stamp of a member that has joined. The 32 bits of the field limit the largest.
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
    """Header fields, in the order of their bytes."""

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
    """Return the encoded size of an update with this info, in bytes."""
    return _INFO_UPDATE.size + len(_encode_name(info.name))


def truncate_info(info: MemberInfo) -> MemberInfo:
    """Return the info as other members receive it, with a truncated name if necessary."""
    return replace(info, name=_encode_name(info.name).decode())


def compute_tag(data: bytes, key: bytes) -> bytes:
    """Return the authentication tag of the data."""
    return blake2b(data, digest_size=TAG_BYTES, key=key, person=_TAG_PERSONALIZATION).digest()


def encode(message: Message, key: bytes = b"") -> bytes:
    """Encode a message as a datagram.

    Args:
        message: The message.
        key: The key of the tag, at most 64 bytes.

    Raises:
        ValueError: The datagram would exceed ``MAX_DATAGRAM_BYTES``.
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
    sections = [header]
    sections += [_STATE_UPDATE.pack(u.number, u.stamp, u.suspector) for u in message.state_updates]
    sections += [_DIGEST.pack(digest) for digest in message.digests]
    sections += [_encode_info_update(update) for update in message.info_updates]
    data = b"".join(sections)
    data += compute_tag(data, key)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram has {len(data)} bytes, limit is {MAX_DATAGRAM_BYTES}")
    return data


def decode(data: bytes, keys: Sequence[bytes] = (b"",)) -> Message:
    """Decode a datagram whose tag was made with one of the keys.

    Raises:
        DatagramError: The datagram is malformed, has another format version, or has a tag that
            matches none of the keys.
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
    # Ignore the incomplete character that the cut may leave at the end.
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
    """Verify the tag, and return the datagram without it."""
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
