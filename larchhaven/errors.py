"""The base class of the errors that larchhaven raises."""

from __future__ import annotations


class LarchhavenError(Exception):
    """Base class of all errors of this package; subclasses store the details as attributes."""
