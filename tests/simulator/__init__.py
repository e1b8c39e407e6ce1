"""Tests of the simulator's text lines and their host."""
