"""Compatibility with other versions: the bytes of the ejection file and of hot restart messages.

The literals were generated with the code of commit 06723bf: the file by its
``Suspensions.change``, the messages by ``msgspec.msgpack.encode`` of the structs in its
``larchhaven.net.handover``.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from larchhaven.net.admin.administrative_ejection import AdministrativeEjections
from larchhaven.net.control.executed_identities import identity_hash
from larchhaven.net.hot_restart_messages import (
    ConnectionTransfer,
    GossipForwarded,
    IdentityChanged,
    Message,
    ReportRecord,
    RestartHello,
    ServerReport,
    SharedState,
    decode,
    encode,
)
from larchhaven.net.text_protocol.relay_state import RelayState, SideState

EJECTION_FILE = b'{"v":1,"hosts":["s-\xc3\xbc","s0","s1"]}'

SHARED_STATE = (
    "85a474797065a54b6e6f776ea17601a77265706f7274739293a27330ce075bcd1585a5726174696fcb3fd0000000"
    "000000ab7574696c697a6174696f6ecb3fe0000000000000a8696e666c69676874cb4008000000000000a5717565"
    "7565cb4000000000000000a96261636b6c6f675f73cb3fc000000000000093a27331f985a5726174696fc0ab7574"
    "696c697a6174696f6ecb3fe8000000000000a8696e666c69676874c0a57175657565c0a96261636b6c6f675f73c0"
    "aa6964656e74697469657392c408ee19384b32f2fdd9c4087f0ccfdaf44f4079ab696e6361726e6174696f6e09"
)
CONNECTION = (
    "89a474797065a85374616e64696e67a86964656e74697479c4083962316630336161a3636c7301a4686f7374a273"
    "30a572656c617983a6636c69656e7485a5696e626f78c402696ea66f7574626f78c4036f7574a468656164c40268"
    "65a26372c3a76d69646c696e65c2a8696e7374616e636585a5696e626f78c400a66f7574626f78c4020d0aa46865"
    "6164c40178a26372c2a76d69646c696e65c3a561736b656492cd03e8ce001e8480a36b65794da567726f757003a4"
    "6c6f6164cb3fe0000000000000a674656e616e7402"
)
BARE_CONNECTION = (
    "89a474797065a85374616e64696e67a86964656e74697479c4083962316630336161a3636c7300a4686f7374a273"
    "31a572656c617983a6636c69656e7485a5696e626f78c402696ea66f7574626f78c4036f7574a468656164c40268"
    "65a26372c3a76d69646c696e65c2a8696e7374616e636585a5696e626f78c400a66f7574626f78c4020d0aa46865"
    "6164c40178a26372c2a76d69646c696e65c3a561736b656492cd03e8ce001e8480a36b6579c0a567726f7570c0a4"
    "6c6f6164c0a674656e616e7400"
)

RELAY = RelayState(
    SideState(b"in", b"out", b"he", True, False),
    SideState(b"", b"\r\n", b"x", False, True),
    [1000, 2_000_000],
)
REPORTS = [
    ServerReport("s0", 123456789, ReportRecord(0.25, 0.5, 3.0, 2.0, 0.125)),
    ServerReport("s1", -7, ReportRecord(utilization=0.75)),
]
MESSAGES: dict[str, tuple[str, Message]] = {
    "hello": ("82a474797065a548656c6c6fa17601", RestartHello(1)),
    "state shared with the successor": (
        SHARED_STATE,
        SharedState(1, REPORTS, [identity_hash(b"id"), identity_hash(b"another")], 9),
    ),
    "request opened": (
        "83a474797065a84964656e74697479a46d61726bc408ee19384b32f2fdd9a26f6ec3",
        IdentityChanged(identity_hash(b"id"), True),
    ),
    "request closed": (
        "83a474797065a84964656e74697479a46d61726bc408ee19384b32f2fdd9a26f6ec2",
        IdentityChanged(identity_hash(b"id"), False),
    ),
    "gossip": ("82a474797065a54865617264a464617461c4035000ff", GossipForwarded(b"P\x00\xff")),
    "connection": (
        CONNECTION,
        ConnectionTransfer(b"9b1f03aa", 1, "s0", RELAY, 77, 3, 0.5, 2),
    ),
    "connection without key, group and load": (
        BARE_CONNECTION,
        ConnectionTransfer(b"9b1f03aa", 0, "s1", RELAY),
    ),
}


@pytest.mark.parametrize("name", MESSAGES)
def test_hot_restart_message_of_another_version_is_read(name: str) -> None:
    encoded_hex, message = MESSAGES[name]
    assert decode(bytes.fromhex(encoded_hex)) == message


@pytest.mark.parametrize("name", MESSAGES)
def test_hot_restart_message_is_written_as_another_version_reads_it(name: str) -> None:
    encoded_hex, message = MESSAGES[name]
    assert encode(message).hex() == encoded_hex


def test_ejection_file_of_another_version_is_read(tmp_path: Path) -> None:
    (tmp_path / "larchhaven-suspended.json").write_bytes(EJECTION_FILE)
    changes: list[tuple[str, bool]] = []
    ejections = AdministrativeEjections(
        str(tmp_path), lambda server, is_ejected: changes.append((server, is_ejected))
    )
    ejections.refresh()
    assert changes == [("s-ü", True), ("s0", True), ("s1", True)]
    assert all(server in ejections for server in ("s-ü", "s0", "s1"))
    assert "s2" not in ejections


def test_ejection_file_is_written_as_another_version_reads_it(tmp_path: Path) -> None:
    ejections = AdministrativeEjections(str(tmp_path), lambda server, is_ejected: None)
    for server in ("s1", "s-ü", "s0", "s2"):
        ejections.set_ejected(server, True)
    ejections.set_ejected("s2", False)
    assert (tmp_path / "larchhaven-suspended.json").read_bytes() == EJECTION_FILE
