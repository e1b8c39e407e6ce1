"""Tests of the simulated fleet."""
