"""Tests of the ``larchhaven.net`` package."""
