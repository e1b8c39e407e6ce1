"""Tests of the codec and the host of the simulator's text protocol."""
