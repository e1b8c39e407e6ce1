"""Tests of the datagram encoding, and of the checks that reject datagrams."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from larchhaven.errors import LarchhavenError
from larchhaven.membership.actions import Action
from larchhaven.membership.authenticator import REPLAY_WINDOW, DatagramAuthenticator
from larchhaven.membership.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_STATE_UPDATES,
    TAG_BYTES,
    compute_tag,
    decode,
    encode,
)
from larchhaven.membership.errors import DatagramError, RejectReason
from larchhaven.membership.member import (
    MAX_INCARNATION,
    MAX_NAME_BYTES,
    Capability,
    MemberInfo,
    MemberState,
    make_stamp,
)
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import (
    DIGEST_BUCKETS,
    InfoUpdate,
    Message,
    MessageKind,
    StateUpdate,
)
from tests.membership.harness import (
    CONFIG,
    SECOND_US,
    STATE_UPDATES,
    message_to,
    sent_messages,
    synchronized_member,
)

INFOS = st.builds(
    MemberInfo,
    st.text(max_size=8),
    st.integers(0, 255),
    st.integers(0, 65535),
    st.integers(0, (1 << 32) - 1),
    st.builds(Capability, st.integers(0, 7)),
)
MESSAGES = st.builds(
    Message,
    st.sampled_from(
        [
            MessageKind.PING,
            MessageKind.ACK,
            MessageKind.INDIRECT_PROBE_REQUEST,
            MessageKind.NACK,
            MessageKind.GOSSIP,
        ]
    ),
    st.integers(0, 65535),
    st.integers(0, 65535),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, 65535),
    st.lists(STATE_UPDATES, max_size=10).map(tuple),
    st.just(()),
    st.lists(
        st.builds(InfoUpdate, st.integers(0, 65535), st.integers(1, MAX_INCARNATION), INFOS),
        max_size=2,
    ).map(tuple),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 32) - 1),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(MESSAGES, st.binary(max_size=16), st.integers(0, 255 * 8))
def test_message_survives_encoding_and_damage_is_detected(
    message: Message, key: bytes, bit: int
) -> None:
    data = encode(message, key)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data, (b"other", key)) == message
    damaged = bytearray(data)
    damaged[bit // 8 % len(data)] ^= 1 << bit % 8
    with pytest.raises(DatagramError):
        decode(bytes(damaged), (key,))
    with pytest.raises(DatagramError):
        decode(data[:-1], (key,))


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.binary(max_size=300))
@example(b"")
@example(b"M" + bytes(255))
def test_any_bytes_are_rejected_with_a_reason(data: bytes) -> None:
    authenticator = DatagramAuthenticator(0, 8, 1)
    assert authenticator.open(data) is None
    assert sum(authenticator.rejected.values()) == 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(MESSAGES, st.binary(max_size=60))
def test_any_body_with_a_valid_tag_is_decoded_or_rejected(message: Message, tail: bytes) -> None:
    """A faulty sender with a valid key, or another version, causes no error except a rejection."""
    body = (encode(message)[:-TAG_BYTES] + tail)[: MAX_DATAGRAM_BYTES - TAG_BYTES]
    authenticator = DatagramAuthenticator(message.receiver % 8, 8, 1)
    opened = authenticator.open(body + compute_tag(body, b""))
    membership = synchronized_member(message.receiver % 6, 6)
    if opened is not None and opened.receiver == membership.own_number:
        membership.receive(1, opened)
    assert opened is not None or sum(authenticator.rejected.values()) == 1


def test_largest_messages_fit_into_a_datagram() -> None:
    """Messages with long names, 27 state updates or all digests stay within 256 bytes."""
    membership = Membership(0, 0, 200, MemberInfo("é" * 60), 5, random.Random(1), CONFIG)
    assert len(membership.info.name.encode()) <= MAX_NAME_BYTES
    for number in range(1, 200):
        info_update = InfoUpdate(number, 10, MemberInfo("x" * 60, 255, 9, 1 << 31, Capability(7)))
        membership.receive(
            0,
            message_to(
                membership,
                1,
                MessageKind.GOSSIP,
                state_updates=(StateUpdate(number, make_stamp(10, MemberState.ALIVE), 3),),
            ),
        )
        membership.receive(
            0, message_to(membership, 1, MessageKind.GOSSIP, info_updates=(info_update,))
        )
    membership.receive(
        0,
        message_to(
            membership, 1, MessageKind.PUSH_PULL_RESPONSE, digests=(1,) * 2 * DIGEST_BUCKETS
        ),
    )
    actions: list[Action] = []
    while membership.due_us < 8 * SECOND_US:
        actions += membership.run_timers(membership.due_us)
        actions += membership.receive(
            membership.due_us,
            message_to(
                membership, 1, MessageKind.PUSH_PULL_REQUEST, digests=(0,) * 2 * DIGEST_BUCKETS
            ),
        )
    sizes = [len(encode(message, b"k" * 32)) for message in sent_messages(actions)]
    assert max(sizes) <= MAX_DATAGRAM_BYTES
    assert max(len(m.state_updates) for m in sent_messages(actions)) == MAX_STATE_UPDATES


def test_replays_are_rejected_and_a_restarted_process_is_accepted() -> None:
    sender, authenticator = DatagramAuthenticator(1, 4, 7), DatagramAuthenticator(0, 4, 9)
    datagrams = [
        sender.seal(Message(MessageKind.PING, 1, 0, make_stamp(5, MemberState.ALIVE)))
        for _ in range(REPLAY_WINDOW + 3)
    ]
    assert authenticator.open(datagrams[2])
    assert authenticator.open(datagrams[0])
    assert authenticator.open(datagrams[2]) is None
    assert authenticator.open(datagrams[0]) is None
    assert authenticator.open(datagrams[-1])
    assert authenticator.open(datagrams[1]) is None
    assert authenticator.rejected[RejectReason.REPLAY] == 3
    restarted_sender = DatagramAuthenticator(1, 4, 8)
    assert authenticator.open(
        restarted_sender.seal(
            Message(MessageKind.PUSH_PULL_REQUEST, 1, 0, 0, digests=(0,) * 2 * DIGEST_BUCKETS)
        )
    )
    assert authenticator.open(
        restarted_sender.seal(Message(MessageKind.PING, 1, 0, make_stamp(6, MemberState.ALIVE)))
    )
    assert (
        authenticator.open(
            sender.seal(Message(MessageKind.PING, 1, 0, make_stamp(6, MemberState.ALIVE)))
        )
        is None
    )


def test_datagrams_for_another_table_are_rejected_and_keys_rotate() -> None:
    authenticator = DatagramAuthenticator(0, 4, 9, (b"new", b"old"))
    ping = Message(MessageKind.PING, 1, 0, make_stamp(5, MemberState.ALIVE))
    assert authenticator.open(DatagramAuthenticator(1, 4, 1, (b"old", b"new")).seal(ping))
    assert authenticator.open(
        DatagramAuthenticator(2, 4, 1, (b"new",)).seal(replace(ping, sender=2))
    )
    assert authenticator.open(DatagramAuthenticator(1, 4, 1, (b"stolen",)).seal(ping)) is None
    for foreign in (replace(ping, receiver=3), replace(ping, sender=9), replace(ping, sender=0)):
        assert authenticator.open(DatagramAuthenticator(1, 4, 1, (b"new",)).seal(foreign)) is None
    # The source address belongs to member 3, but the header names member 1 as the sender.
    assert (
        authenticator.open(DatagramAuthenticator(1, 4, 2, (b"new",)).seal(ping), sender=3) is None
    )
    later_version = bytearray(encode(ping, b"new"))
    later_version[1] += 1
    assert authenticator.open(bytes(later_version)) is None
    assert authenticator.rejected == {
        RejectReason.TAG: 1,
        RejectReason.PEER_TABLE: 4,
        RejectReason.FORMAT_VERSION: 1,
    }


def test_bytes_of_datagrams_do_not_change() -> None:
    """Proxies of different versions exchange datagrams during an upgrade."""
    ack = Message(
        MessageKind.ACK,
        3,
        7,
        make_stamp(60481251, MemberState.ALIVE),
        sequence=9,
        target=3,
        state_updates=(
            StateUpdate(2, make_stamp(60481250, MemberState.SUSPECT), 5),
            StateUpdate(4, make_stamp(1, MemberState.LEFT)),
        ),
        info_updates=(InfoUpdate(2, 60481250, MemberInfo("n2é", 1, 1, 1790000000, Capability(5))),),
        session_id=0x01020304,
        counter=258,
    )
    assert encode(ack, b"k" * 32).hex() == (
        "4d0102020003000701020304000001020e6b7b8c0000000900030002"
        "0e6b7b890005000400000007ffff"
        "0002039adee20100016ab13b800005046e32c3a9"
        "2f0800f1ef9c5b42"
    )
    digests = tuple(range(1, 33))
    request = Message(MessageKind.PUSH_PULL_REQUEST, 0, 1, digests=digests, session_id=1, counter=1)
    assert encode(request).hex() == (
        "4d0106000000000100000001000000010000000000000000ffff"
        + "".join(f"{digest:08x}" for digest in digests)
        + "11184cc4b897aa05"
    )


def reject_reason(data: bytes) -> RejectReason:
    with pytest.raises(DatagramError) as caught:
        decode(data)
    return caught.value.reason


def test_rejected_datagram_has_the_reason_of_its_first_violation() -> None:
    ping = encode(Message(MessageKind.PING, 0, 1))

    def changed(offset: int, value: int, extra: bytes = b"") -> bytes:
        body = bytearray(ping[:-TAG_BYTES] + extra)
        body[offset] = value
        return bytes(body) + compute_tag(bytes(body), b"")

    assert reject_reason(ping[: TAG_BYTES + 1]) is RejectReason.SIZE
    assert reject_reason(changed(0, ord("X"))) is RejectReason.PREFIX
    assert reject_reason(changed(1, 2)) is RejectReason.FORMAT_VERSION
    assert reject_reason(ping[:-1] + bytes([ping[-1] ^ 1])) is RejectReason.TAG
    assert reject_reason(changed(2, 99)) is RejectReason.KIND
    assert reject_reason(changed(3, 1)) is RejectReason.STATE_UPDATES
    assert reject_reason(changed(3, 1, bytes(8))) is RejectReason.INCARNATION
    assert reject_reason(changed(2, MessageKind.PUSH_PULL_REQUEST)) is RejectReason.DIGESTS
    assert reject_reason(changed(0, ord("M"), b"x")) is RejectReason.INFO_UPDATES
    assert isinstance(DatagramError(RejectReason.SIZE), LarchhavenError)


def test_reject_reasons_have_the_names_that_operators_read() -> None:
    assert [reason.value for reason in RejectReason] == [
        "size", "letter", "version", "tag", "kind", "entries", "incarnation", "digests", "account",
        "table", "replayed",
    ]  # fmt: skip
