"""The operators' own settings: their schema, the reader of protobuf text format, and what the proxy is told.

Only ``schema``, ``text`` and ``read`` need the protobuf library; ``settings`` is all that the proxy loads.
"""
