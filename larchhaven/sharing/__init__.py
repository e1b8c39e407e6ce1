"""What the proxies of a large tier tell each other of the servers' loads. Pure: no socket, no clock."""
