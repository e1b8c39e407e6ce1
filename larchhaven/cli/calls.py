"""HTTP requests to the admin API of a running proxy."""

from __future__ import annotations

import http.client
from http import HTTPStatus

from larchhaven.errors import LarchhavenError

TIMEOUT_S = 10.0


class CallError(LarchhavenError):
    """A request to a proxy's admin API failed.

    Attributes:
        address: The address as given by the user.
        reason: Description of the failure.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(reason)
        self.address = address
        self.reason = reason


def fetch_body(address: str, path: str) -> bytes:
    """Send a GET request and return the response body.

    Args:
        address: Address of a proxy's admin API, HOST:PORT.
        path: Path of the request.

    Returns:
        The response body.

    Raises:
        CallError: The address is invalid, the request failed, or the status is not 200.
    """
    host, _, port = address.rpartition(":")
    if not port.isdigit() or not host:
        reason = f"the management address must be HOST:PORT, not {address!r}"
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
        raise CallError(address, f"{address}: GET {path} returned status {response.status}")
    return body
