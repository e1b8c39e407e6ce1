"""Tests of the test bed: its invariant checker, scenarios, proxy fleet and soak verdict."""
