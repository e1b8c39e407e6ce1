"""Tests of the routing package, one file for each module or concern."""
