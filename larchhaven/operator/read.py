"""Reads the operators' file; ``python -m larchhaven.operator.read FILE`` prints the result as JSON.

The proxy runs this module in a separate process, so that the protobuf library adds neither memory
to the proxy nor processing time to its event loop.
"""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from larchhaven.operator.operator_pb2 import Log, Operator
from larchhaven.operator.settings import WHOLE_FILE, Complaint, Reading, Settings
from larchhaven.operator.text_parser import parse_message

BYTES_PER_MB = 1 << 20
US_PER_SECOND = 1e6
_MISSING_KEY = (
    "'membership.on' needs 'membership.key': write 16 to 64 characters, the same at all proxies"
)


def read_text(text: str) -> Reading:
    """Read the text of an operators' file.

    Returns:
        The settings, or the complaints about the text.
    """
    parsed = parse_message(text, Operator)
    if parsed.complaints:
        return Reading(Settings(), parsed.complaints)
    membership = parsed.message.membership
    if membership.on and not membership.key:
        position = parsed.positions.get("membership.on", WHOLE_FILE)
        return Reading(Settings(), [Complaint.at(position, _MISSING_KEY)])
    settings = _convert_settings(parsed.message)
    return Reading(settings, [], parsed.positions.get("memory", WHOLE_FILE))


def _convert_settings(message: Operator) -> Settings:
    """Convert a message to settings in the proxy's units; absent fields keep their defaults."""
    settings = Settings()
    settings.caps = {
        field.name: int(cap_mb * BYTES_PER_MB) for field, cap_mb in message.memory.ListFields()
    }
    if message.admission.HasField("reserve_percent"):
        settings.reserve_ratio = message.admission.reserve_percent / 100
    if message.admission.HasField("unread_seconds"):
        settings.unread_us = int(message.admission.unread_seconds * US_PER_SECOND)
    settings.log_as_json = message.log.form == Log.JSON
    if message.log.HasField("quiet_seconds"):
        settings.log_repeat_interval_us = int(message.log.quiet_seconds * US_PER_SECOND)
    membership = message.membership
    settings.membership_enabled = membership.on
    settings.membership_keys = [key for key in (membership.key, membership.key_too) if key]
    return settings


def read_file(path: str) -> Reading:
    """Read an operators' file.

    Returns:
        The settings, or the complaints. A file that cannot be read or decoded has one complaint.
    """
    try:
        text = Path(path).read_text("utf-8")
    except OSError as error:
        return _failed_reading(f"cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return _failed_reading(f"is not UTF-8 text: {error.reason}")
    return read_text(text)


def _failed_reading(reason: str) -> Reading:
    return Reading(Settings(), [Complaint.at(WHOLE_FILE, reason)])


if __name__ == "__main__":
    sys.stdout.buffer.write(msgspec.json.encode(read_file(sys.argv[1])))
