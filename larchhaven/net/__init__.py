"""The real proxy: sockets and time in, events for the decisions out, their actions back in."""
