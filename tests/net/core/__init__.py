"""Tests of the I/O core."""
