"""The operators' file: its schema, a parser of protobuf text format, and its settings.

A proxy imports only ``settings``; the other modules need the protobuf library.
"""
