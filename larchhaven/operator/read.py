"""Reads the operators' file; as a program (``python -m larchhaven.operator.read FILE``) it prints JSON.

The proxy runs it as a process of its own, so that the protobuf library's memory and time are not the loop's.
"""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec

from larchhaven.operator.operator_pb2 import Log, Operator
from larchhaven.operator.settings import Complaint, Reading, Settings
from larchhaven.operator.text import parse

_MB = 1 << 20


def read_text(text: str) -> Reading:
    """Read the text of an operators' file."""
    message, found = parse(text, Operator)
    if found.complaints:
        return Reading(Settings(), found.complaints)
    settings = Settings()
    settings.caps = {field.name: int(value * _MB) for field, value in message.memory.ListFields()}
    admission, log = message.admission, message.log
    if admission.HasField("reserve_percent"):
        settings.reserve_share = admission.reserve_percent / 100
    if admission.HasField("unread_seconds"):
        settings.unread_us = int(admission.unread_seconds * 1e6)
    settings.log_json = log.form == Log.JSON
    if log.HasField("quiet_seconds"):
        settings.quiet_us = int(log.quiet_seconds * 1e6)
    membership = message.membership
    settings.membership = membership.on
    settings.member_keys = [key for key in (membership.key, membership.key_too) if key]
    if membership.on and not membership.key:
        line, column = found.places.get("membership.on", (0, 0))
        why = "'membership.on' needs 'membership.key': write 16 to 64 characters, the same at all proxies"
        return Reading(Settings(), [Complaint(line, column, why)])
    return Reading(settings, [], found.places.get("memory", (0, 0)))


def read_file(path: str) -> Reading:
    """Read an operators' file; one that cannot be read at all is a complaint too."""
    try:
        text = Path(path).read_text("utf-8")
    except OSError as error:
        return Reading(Settings(), [Complaint(0, 0, f"cannot be read: {error.strerror}")])
    except UnicodeDecodeError as error:
        return Reading(Settings(), [Complaint(0, 0, f"is not UTF-8 text: {error.reason}")])
    return read_text(text)


if __name__ == "__main__":
    sys.stdout.buffer.write(msgspec.json.encode(read_file(sys.argv[1])))
