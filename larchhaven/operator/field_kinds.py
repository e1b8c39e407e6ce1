"""What a field of a schema takes: in words, and as bounds of its numbers."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.descriptor import FieldDescriptor

from larchhaven.operator import options_pb2


@dataclass(frozen=True, slots=True)
class IntegerBounds:
    """The least and the greatest value of a type of whole numbers."""

    least: int
    greatest: int

    def contains(self, value: float) -> bool:
        """Return whether a value is a whole number within the bounds."""
        return value == value // 1 and self.least <= value <= self.greatest


INTEGER_BOUNDS = {
    FieldDescriptor.CPPTYPE_INT32: IntegerBounds(-(1 << 31), (1 << 31) - 1),
    FieldDescriptor.CPPTYPE_INT64: IntegerBounds(-(1 << 63), (1 << 63) - 1),
    FieldDescriptor.CPPTYPE_UINT32: IntegerBounds(0, (1 << 32) - 1),
    FieldDescriptor.CPPTYPE_UINT64: IntegerBounds(0, (1 << 64) - 1),
}


def describe_kind(field: FieldDescriptor) -> str:
    """Return in words what a scalar field takes."""
    match field.cpp_type:
        case FieldDescriptor.CPPTYPE_BOOL:
            return "true or false"
        case FieldDescriptor.CPPTYPE_STRING:
            return 'a text in quotes ("...")'
        case FieldDescriptor.CPPTYPE_ENUM if field.enum_type is not None:
            return f"one of {', '.join(field.enum_type.values_by_name)}"
        case FieldDescriptor.CPPTYPE_DOUBLE | FieldDescriptor.CPPTYPE_FLOAT:
            return "a number"
        case FieldDescriptor.CPPTYPE_UINT32 | FieldDescriptor.CPPTYPE_UINT64:
            return "a whole number from 0 on"
    return "a whole number"


def find_range_fault(field: FieldDescriptor, value: float, unit: str = "") -> str:
    """Return in words how a value is out of the range that the schema states.

    Args:
        field: The field.
        value: Its value, or the length of its text.
        unit: Unit to show; the schema's if left out.

    Returns:
        The fault; empty if there is none.
    """
    options = field.GetOptions()
    if not options.HasExtension(options_pb2.range):
        return ""
    bounds = options.Extensions[options_pb2.range]
    if bounds.least <= value <= bounds.most:
        return ""
    shown_unit = unit or f" {bounds.unit}".rstrip()
    return f"is {value:g}{shown_unit}: write {bounds.least:g} to {bounds.most:g}{shown_unit}"
