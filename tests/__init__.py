"""Tests of the proxy, its simulators, command line and documentation; none needs the bench."""
