"""The log format: plain text, or one JSON object per line with fixed keys."""

from __future__ import annotations

import logging
import sys

TEXT_FORMAT = "%(asctime)s %(message)s"
# The keys of a JSON line. ``held`` is the number of suppressed repeats of a rate-limited event.
JSON_KEYS = ("time", "level", "event", "detail", "held")
# The ``event`` of log records without one.
DEFAULT_EVENT = "note"


def configure_logging(as_json: bool) -> None:
    """Start logging to standard error, or change the format if logging has started.

    Args:
        as_json: Whether to write JSON lines instead of plain text.
    """
    root = logging.getLogger()
    if not root.handlers:
        logging.basicConfig(level=logging.INFO, stream=sys.stderr)
    formatter = _make_json_formatter() if as_json else logging.Formatter(TEXT_FORMAT)
    for handler in root.handlers:
        handler.setFormatter(formatter)


def _make_json_formatter() -> logging.Formatter:
    # Imported only for JSON lines, as it takes 0.4 MB (structlog would take 17 MB).
    from pythonjsonlogger.msgspec import MsgspecFormatter

    class FixedKeysFormatter(MsgspecFormatter):
        """Writes one JSON object per line, with the same keys in the same order for all events."""

        def process_log_record(self, log_data: dict[str, object]) -> dict[str, object]:
            """Return the fixed keys, with defaults for missing ones, and the traceback if any."""
            message = log_data.pop("message", "")
            line = {
                "time": log_data["asctime"],
                "level": log_data["levelname"],
                "event": log_data.get("event", DEFAULT_EVENT),
                "detail": log_data.get("detail", message),
                "held": log_data.get("held", 0),
            }
            if log_data.get("exc_info"):
                line["traceback"] = log_data["exc_info"]
            return line

    return FixedKeysFormatter("%(asctime)s %(levelname)s %(message)s")
