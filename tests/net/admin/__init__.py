"""Tests of administration by operators: admin API, ejections, memory accounting, file."""
