"""Parses one HTTP response, and charges its body to the memory account."""

from __future__ import annotations

import httptools

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose

MAX_BODY_BYTES = 4 << 20
# Fraction of the memory cap for management; the lower of the two limits applies.
MAX_BODY_MEMORY_RATIO = 0.25
# Headers that tell where a body ends. Without them it ends with the connection (RFC 9112, 6.3).
_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class HttpResponse:
    """An HTTP response that may be incomplete.

    The parser refers back to this object, so ``release`` must be called when the response is no
    longer needed.

    Args:
        account: Memory account that is charged for the body.

    Attributes:
        body: The part of the body received so far.
        is_too_long: Whether the body exceeds its memory limit.
        is_complete: Whether the whole response has been received.
        keeps_connection: Whether the connection may be reused; set when the response is complete.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.is_too_long = False
        self.is_complete = False
        self.keeps_connection = False
        self._has_headers = False
        self._has_length = False

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises:
            httptools.HttpParserError: The bytes are not part of a valid HTTP response.
        """
        if self._parser is not None:
            self._parser.feed_data(data)

    def feed_eof(self) -> None:
        """Complete the response if its body ends with the connection."""
        if self._has_headers and not self._has_length:
            self.is_complete = True

    def read_status(self) -> int:
        """Return the status code of a complete response."""
        assert self._parser is not None
        return self._parser.get_status_code()

    def release(self) -> None:
        """Release the memory of the body; the response must not be used afterwards."""
        self._account.release(MemoryPurpose.MANAGEMENT, len(self.body))
        self.body = bytearray()
        self._parser = None

    # Callbacks of the parser

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Note whether the response tells where its body ends."""
        if name.lower() in _LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Record that the headers are complete."""
        self._has_headers = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, if the memory limit allows it."""
        length = len(self.body) + len(body)
        fits = not self.is_too_long and length <= self._find_max_body_bytes()
        if fits and self._account.try_charge(MemoryPurpose.MANAGEMENT, len(body)):
            self.body += body
        else:
            self.is_too_long = True

    def on_message_complete(self) -> None:
        """Record the end of the response, before the parser resets its state."""
        self.is_complete = True
        self.keeps_connection = self._parser is not None and self._parser.should_keep_alive()

    def _find_max_body_bytes(self) -> int:
        management_bytes = self._account.cap_bytes(MemoryPurpose.MANAGEMENT)
        return min(MAX_BODY_BYTES, int(MAX_BODY_MEMORY_RATIO * management_bytes))
