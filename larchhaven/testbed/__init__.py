"""A whole site on loopback sockets: stand-in exam servers, discovery and terminals around real proxies.

Scenarios are scripted in protobuf text format and seeded; every stand-in records what it saw, and
``rules.Checker`` says from these records alone whether the proxies kept the site's rules.
"""
