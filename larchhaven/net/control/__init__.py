"""Control plane between sockets and routing decisions: requests, endpoints, peers."""
