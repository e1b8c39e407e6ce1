"""One HTTP response, read from bytes, with a body that is charged to the memory account."""

from __future__ import annotations

import httptools

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose

MAX_BODY_BYTES = 4 << 20
# Of the memory for management, if that is less.
MAX_BODY_MEMORY_RATIO = 0.25


class HttpResponse:
    """A response of which any part may have arrived.

    The parser refers to this object: ``release`` has to be called once it is over.

    Args:
        account: Is charged for the body.

    Attributes:
        body: What has arrived of the body.
        is_too_long: Whether there is no memory for all of the body.
        is_complete: Whether all of the response has arrived.
        keeps_connection: Once it is complete, whether the connection may be used again.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.is_too_long = False
        self.is_complete = False
        self.keeps_connection = False

    def feed(self, data: bytes) -> None:
        """Take the next bytes.

        Raises:
            httptools.HttpParserError: These are not the bytes of a response.
        """
        if self._parser is not None:
            self._parser.feed_data(data)

    def read_status(self) -> int:
        """Return the status code of a response that is complete."""
        assert self._parser is not None
        return self._parser.get_status_code()

    def release(self) -> None:
        """Give the memory of the body back; the response cannot be used any more."""
        self._account.release(MemoryPurpose.MANAGEMENT, len(self.body))
        self.body = bytearray()
        self._parser = None

    # Callbacks of the parser

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, if there is memory for it."""
        length = len(self.body) + len(body)
        fits = not self.is_too_long and length <= self._find_max_body_bytes()
        if fits and self._account.try_charge(MemoryPurpose.MANAGEMENT, len(body)):
            self.body += body
        else:
            self.is_too_long = True

    def on_message_complete(self) -> None:
        """Take notice of the end, after which the parser forgets what it has read."""
        self.is_complete = True
        self.keeps_connection = self._parser is not None and self._parser.should_keep_alive()

    def _find_max_body_bytes(self) -> int:
        management_bytes = self._account.cap_bytes(MemoryPurpose.MANAGEMENT)
        return min(MAX_BODY_BYTES, int(MAX_BODY_MEMORY_RATIO * management_bytes))
