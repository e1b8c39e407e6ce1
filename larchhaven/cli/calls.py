"""Calls to a running proxy's management address."""

from __future__ import annotations

import http.client
from http import HTTPStatus

TIMEOUT_S = 10.0


class CallError(Exception):
    """The proxy could not be asked, in one sentence."""


def get(address: str, path: str) -> bytes:
    """Return the body of a call.

    Raises:
        CallError: The address is none, nobody answers there, or not with 200.

    """
    host, _, port = address.rpartition(":")
    if not port.isdigit() or not host:
        raise CallError(f"the address must be HOST:PORT of a proxy's mgmt, not {address!r}")
    caller = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        caller.request("GET", path)
        answer = caller.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{address}: {error}") from None
    finally:
        caller.close()
    if answer.status != HTTPStatus.OK:
        raise CallError(f"{address} answers {answer.status}")
    return body
