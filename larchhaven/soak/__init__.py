"""Soak tests of a real proxy on the test bed: memory must stay flat and within its caps."""
