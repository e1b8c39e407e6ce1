"""Benchmarks that do not run in CI."""
