"""The real proxy: sockets and time in, the decision module's events out, and its actions back to sockets."""
