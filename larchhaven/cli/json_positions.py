"""Finds the position in a JSON file that an error message about its content refers to."""

from __future__ import annotations

import re

from larchhaven.operator.settings import WHOLE_FILE, TextPosition

_BYTE_POSITION = re.compile(r"byte (\d+)")
# A path as written by msgspec, such as $.limits.memory_mb.
_JSON_PATH = re.compile(r"\$((?:\.\w+|\[[^\]]*\])+)")
# A path at the start of the message, such as limits.memory_mb.
_LEADING_NAMES = re.compile(r"^((?:\w+\.)*\w+) ")


def find_position(content: bytes, error: str) -> TextPosition:
    """Return the position that an error message gives as a byte offset or as a path of field names.

    Args:
        content: Content of the file.
        error: The error message.

    Returns:
        The position, or ``WHOLE_FILE`` if the message gives none.
    """
    offset = _find_offset(content, error)
    if offset is None:
        return WHOLE_FILE
    before = content[:offset]
    line_start = before.rfind(b"\n") + 1
    return TextPosition(before.count(b"\n") + 1, offset - line_start + 1)


def _find_offset(content: bytes, error: str) -> int | None:
    if match := _BYTE_POSITION.search(error):
        return int(match.group(1))
    path = _JSON_PATH.search(error) or _LEADING_NAMES.search(error)
    if path is None:
        return None
    offset = 0
    for name in re.findall(r"\w+", path.group(1)):
        found = content.find(f'"{name}"'.encode(), offset)
        if found >= 0:
            offset = found
    return offset or None
