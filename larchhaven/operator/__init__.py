"""The operators' file: its schema, the reader of protobuf text format, and the settings in it.

Only ``settings`` is loaded by a proxy; all other modules need the protobuf library.
"""
