"""Tests of the proxy's network parts, package by package."""
