"""Protocol-independent I/O: the event loop, buffered streams, slot tables, log and metrics."""
