"""Tests of the simulation of the proxy fleet."""
