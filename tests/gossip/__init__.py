"""Tests of what proxies share with each other."""
