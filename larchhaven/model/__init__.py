"""Deterministic simulation of the proxy fleet: pure packages, a network, faults, one seed."""
