"""Tests of the memory account, its plan, admission and the resident memory monitor."""
