"""I/O without a protocol: the event loop, buffered streams, handle tables, the log."""
