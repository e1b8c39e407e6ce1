"""The valid values of a schema's fields: their descriptions and the bounds of numbers."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.descriptor import FieldDescriptor

from larchhaven.operator import options_pb2


@dataclass(frozen=True, slots=True)
class IntegerBounds:
    """The smallest and the largest value of an integer type."""

    least: int
    greatest: int

    def contains(self, value: float) -> bool:
        """Return whether a value is an integer within the bounds."""
        return value == value // 1 and self.least <= value <= self.greatest


INTEGER_BOUNDS = {
    FieldDescriptor.CPPTYPE_INT32: IntegerBounds(-(1 << 31), (1 << 31) - 1),
    FieldDescriptor.CPPTYPE_INT64: IntegerBounds(-(1 << 63), (1 << 63) - 1),
    FieldDescriptor.CPPTYPE_UINT32: IntegerBounds(0, (1 << 32) - 1),
    FieldDescriptor.CPPTYPE_UINT64: IntegerBounds(0, (1 << 64) - 1),
}


def describe_kind(field: FieldDescriptor) -> str:
    """Describe the valid values of a scalar field."""
    match field.cpp_type:
        case FieldDescriptor.CPPTYPE_BOOL:
            return "true or false"
        case FieldDescriptor.CPPTYPE_STRING:
            return 'a quoted string ("...")'
        case FieldDescriptor.CPPTYPE_ENUM if field.enum_type is not None:
            return f"one of {', '.join(field.enum_type.values_by_name)}"
        case FieldDescriptor.CPPTYPE_DOUBLE | FieldDescriptor.CPPTYPE_FLOAT:
            return "a number"
        case FieldDescriptor.CPPTYPE_UINT32 | FieldDescriptor.CPPTYPE_UINT64:
            return "an integer of 0 or more"
    return "an integer"


def find_range_fault(field: FieldDescriptor, value: float, unit: str = "") -> str:
    """Check a value against the range that the schema sets for its field.

    Args:
        field: The field.
        value: The value, or the length of a string.
        unit: The unit to show; by default that of the schema.

    Returns:
        The complaint if the value is out of range, otherwise an empty string.
    """
    options = field.GetOptions()
    if not options.HasExtension(options_pb2.range):
        return ""
    bounds = options.Extensions[options_pb2.range]
    if bounds.least <= value <= bounds.most:
        return ""
    shown_unit = unit or f" {bounds.unit}".rstrip()
    return f"is {value:g}{shown_unit}: write {bounds.least:g} to {bounds.most:g}{shown_unit}"
