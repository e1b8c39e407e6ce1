"""Parses protobuf text format and reports all errors at once, each with its line and column.

A schema walk collects the errors. A text without errors is then parsed by the protobuf library,
which may still reject it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar, cast

from google.protobuf import text_format
from google.protobuf.descriptor import Descriptor
from google.protobuf.message import Message

from larchhaven.operator.schema_walker import SchemaWalker, describe_parse_error
from larchhaven.operator.settings import WHOLE_FILE, Complaint, TextPosition

MessageT = TypeVar("MessageT", bound=Message)

# Files written by hand are far shorter; a longer text is rejected without parsing.
MAX_TEXT_LENGTH = 1 << 20


@dataclass(slots=True)
class ParsedMessage(Generic[MessageT]):
    """The result of parsing a text.

    Attributes:
        message: The message; valid only if there are no complaints.
        complaints: The errors in the text.
        positions: The position of each field, by path such as ``memory.log``.
    """

    message: MessageT
    complaints: list[Complaint] = field(default_factory=list)
    positions: dict[str, TextPosition] = field(default_factory=dict)


def parse_message(text: str, message_type: type[MessageT]) -> ParsedMessage[MessageT]:
    """Parse a text into a message.

    Args:
        text: The text in protobuf text format.
        message_type: The type of the message.

    Returns:
        The message and the complaints about the text.
    """
    message = message_type()
    if len(text) > MAX_TEXT_LENGTH:
        reason = f"the file has {len(text)} characters: the maximum is {MAX_TEXT_LENGTH}"
        return ParsedMessage(message, [Complaint.at(WHOLE_FILE, reason)])
    walker = SchemaWalker(text)
    walker.walk(cast("Descriptor", message.DESCRIPTOR))
    parsed = ParsedMessage(message, walker.complaints, walker.positions)
    if not parsed.complaints:
        try:
            text_format.Parse(text, message)
        except (text_format.ParseError, UnicodeError, ValueError) as error:
            parsed.complaints.append(Complaint.at(*describe_parse_error(error)))
    return parsed
