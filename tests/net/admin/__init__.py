"""Tests of the operators' interfaces: HTTP API, ejections, memory accounting, their file."""
