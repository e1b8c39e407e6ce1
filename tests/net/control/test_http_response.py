"""Responses of discovery, and the memory limits of their bodies."""

from __future__ import annotations

import httptools
import pytest

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.http_response import HttpResponse

CAP_BYTES = 400
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture
def account() -> MemoryAccount:
    return MemoryAccount(dict.fromkeys(MemoryPurpose, CAP_BYTES))


def test_body_is_charged_as_it_arrives_and_released(account: MemoryAccount) -> None:
    response = HttpResponse(account)
    response.feed(HEAD % 8 + b"abcd")
    assert not response.is_complete
    assert account.charged_bytes(MemoryPurpose.MANAGEMENT) == 4
    response.feed(b"efgh")
    assert response.is_complete
    assert response.keeps_connection
    assert (response.read_status(), bytes(response.body)) == (200, b"abcdefgh")
    response.release()
    assert account.charged_bytes(MemoryPurpose.MANAGEMENT) == 0


def test_body_larger_than_a_quarter_of_the_memory_cap_is_too_long(account: MemoryAccount) -> None:
    response = HttpResponse(account)
    response.feed(HEAD % CAP_BYTES + b"x" * (CAP_BYTES // 4))
    assert not response.is_too_long
    response.feed(b"x")
    assert response.is_too_long
    response.release()
    assert account.charged_bytes(MemoryPurpose.MANAGEMENT) == 0


def test_connection_is_not_kept_if_discovery_closes_it(account: MemoryAccount) -> None:
    response = HttpResponse(account)
    response.feed(b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    assert response.is_complete
    assert not response.keeps_connection
    assert response.read_status() == 503


def test_body_without_a_length_ends_with_the_connection(account: MemoryAccount) -> None:
    response = HttpResponse(account)
    response.feed(b"HTTP/1.1 200 OK\r\n\r\nabcd")
    assert not response.is_complete
    response.feed_eof()
    assert response.is_complete
    assert not response.keeps_connection
    assert (response.read_status(), bytes(response.body)) == (200, b"abcd")


@pytest.mark.parametrize(
    "received",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        HEAD % 8 + b"abcd",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
    ],
)
def test_end_of_the_connection_does_not_complete_a_cut_response(
    account: MemoryAccount, received: bytes
) -> None:
    response = HttpResponse(account)
    response.feed(received)
    response.feed_eof()
    assert not response.is_complete


def test_bytes_of_another_protocol_are_an_error(account: MemoryAccount) -> None:
    with pytest.raises(httptools.HttpParserError):
        HttpResponse(account).feed(b"SSH-2.0\r\n")
