"""A test bed on loopback sockets: stand-in servers, discovery and clients around real proxies.

A scenario is a file in protobuf text format with a seed. Each stand-in records the events that it
observes, and ``invariant_checker`` checks the invariants from these records alone.
"""
