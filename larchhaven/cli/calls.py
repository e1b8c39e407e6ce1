"""Calls to the management address of a running proxy."""

from __future__ import annotations

import http.client
from http import HTTPStatus

from larchhaven.errors import LarchhavenError

TIMEOUT_S = 10.0


class CallError(LarchhavenError):
    """A call to a proxy's management address failed.

    Attributes:
        address: The address as it was given.
        reason: What went wrong, as a sentence.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(reason)
        self.address = address
        self.reason = reason


def fetch_body(address: str, path: str) -> bytes:
    """Return the body of the answer to a GET call.

    Args:
        address: HOST:PORT of a proxy's management.
        path: Path of the call.

    Raises:
        CallError: The address is not valid, nobody answers there, or the status is not 200.
    """
    host, _, port = address.rpartition(":")
    if not port.isdigit() or not host:
        reason = f"the address must be HOST:PORT of a proxy's mgmt, not {address!r}"
        raise CallError(address, reason)
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise CallError(address, f"{address}: {error}") from None
    finally:
        connection.close()
    if response.status != HTTPStatus.OK:
        raise CallError(address, f"{address} answers {response.status}")
    return body
