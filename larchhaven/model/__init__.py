"""Deterministic, seeded simulation of the proxy fleet with a simulated network and faults."""
