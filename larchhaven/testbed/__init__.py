"""A test bed on loopback sockets: stand-in servers, discovery and clients around real proxies.

Scenarios are written in protobuf text format and seeded. Every stand-in records what it observed,
and ``invariant_checker`` says from these records alone whether the proxies kept the invariants.
"""
