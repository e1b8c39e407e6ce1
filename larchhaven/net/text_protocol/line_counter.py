"""Finds line ends in a byte stream that is forwarded as it arrives."""

from __future__ import annotations

from larchhaven.net.text_protocol.codec import LINE_END

# Bytes kept of each line. The lines that the proxy interprets are shorter.
MAX_HEAD_BYTES = 256


class LineCounter:
    """Tracks the lines of a byte stream and keeps the first bytes of each.

    Attributes:
        head: The first bytes of the line in progress.
        ends_with_cr: Whether the last byte was a CR, so that a following LF ends the line.
        is_mid_line: Whether a line is in progress.
    """

    __slots__ = ("ends_with_cr", "head", "is_mid_line")

    def __init__(self) -> None:
        self.head = bytearray()
        self.ends_with_cr = False
        self.is_mid_line = False

    def feed(self, data: bytes) -> list[bytes]:
        """Process the next bytes of the stream.

        Returns:
            The first bytes of each line that they complete.
        """
        completed: list[bytes] = []
        start = 0
        if self.ends_with_cr and data.startswith(b"\n"):
            completed.append(bytes(self.head).removesuffix(b"\r"))
            self.head.clear()
            start = 1
        while (end := data.find(LINE_END, start)) >= 0:
            self._extend_head(data[start:end])
            completed.append(bytes(self.head))
            self.head.clear()
            start = end + len(LINE_END)
        self._extend_head(data[start:])
        if data:
            self.is_mid_line = start < len(data)
            self.ends_with_cr = self.is_mid_line and data.endswith(b"\r")
        return completed

    def cut_after_last_line(self, data: bytes) -> bytes:
        """Return the next bytes up to the last line end in them, or all if no line ends."""
        end = data.rfind(LINE_END)
        if end >= 0:
            return data[: end + len(LINE_END)]
        return data[:1] if self.ends_with_cr and data.startswith(b"\n") else data

    def _extend_head(self, data: bytes) -> None:
        self.head += data[: max(MAX_HEAD_BYTES - len(self.head), 0)]
