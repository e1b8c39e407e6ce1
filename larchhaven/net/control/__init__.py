"""Between sockets and decisions: requests, endpoint discovery, peers."""
