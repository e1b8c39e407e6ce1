"""Tests of the text protocol."""
