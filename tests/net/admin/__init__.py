"""Tests of what operators see and set."""
