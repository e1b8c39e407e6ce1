"""Tests of the memory account, the memory plan, admission and the resident memory monitor."""
