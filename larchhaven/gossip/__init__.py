"""Gossip between proxies: the message codec and the shared health checks of large fleets.

Pure: no I/O and no clock.
"""
