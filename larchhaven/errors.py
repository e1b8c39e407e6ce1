"""The base class of all errors that larchhaven raises on purpose."""

from __future__ import annotations


class LarchhavenError(Exception):
    """Base class of all errors of this package; subclasses carry what went wrong as fields."""
