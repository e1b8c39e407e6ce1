"""Stand-ins for the second review: clients, servers, discovery and the platform, on loopback."""
