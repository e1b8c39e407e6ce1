"""Fits the slope of a series of sizes; its confidence interval accounts for autocorrelation."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
import numpy as np
from scipy import stats

CONFIDENCE = 0.95
# Samples are averaged over blocks before the fit, as neighboring samples are strongly correlated.
BLOCK_S = 30.0
MIN_BLOCKS = 8
MIN_SAMPLES = 2
FITTED_PARAMETERS = 2  # intercept and slope
MAX_CORRELATION = 0.95
MIN_EFFECTIVE_BLOCKS = 3.0
SECONDS_PER_HOUR = 3600
# A slope is flat below this fraction of the mean per hour, if its interval also contains 0.
MAX_FLAT_FRACTION_PER_HOUR = 0.01


class Slope(
    msgspec.Struct,
    frozen=True,
    rename={
        "mean_bytes": "mean",
        "bytes_per_hour": "an_hour",
        "low_bytes_per_hour": "low",
        "high_bytes_per_hour": "high",
    },
):
    """A line fitted to sizes over time.

    Attributes:
        mean_bytes: Mean size.
        bytes_per_hour: Slope.
        low_bytes_per_hour: Lower bound of the confidence interval of the slope.
        high_bytes_per_hour: Upper bound of the confidence interval of the slope.
        blocks: Number of blocks in the fit.
        correlation: Lag-1 autocorrelation of the residuals of the blocks.
    """

    mean_bytes: float
    bytes_per_hour: float
    low_bytes_per_hour: float
    high_bytes_per_hour: float
    blocks: int
    correlation: float

    @property
    def fraction_per_hour(self) -> float:
        """The slope as a fraction of the mean size."""
        return self.bytes_per_hour / self.mean_bytes if self.mean_bytes else 0.0

    @property
    def is_flat(self) -> bool:
        """Whether the slope is small and its confidence interval contains 0."""
        is_small = abs(self.fraction_per_hour) < MAX_FLAT_FRACTION_PER_HOUR
        return is_small and self.low_bytes_per_hour <= 0 <= self.high_bytes_per_hour


def fit_slope(times_s: Sequence[float], sizes_bytes: Sequence[float]) -> Slope | None:
    """Fit a line to samples.

    The samples are averaged over blocks. The residuals of the blocks are modeled as a first-order
    autoregressive process with coefficient r. Their effective number n(1-r)/(1+r) takes the place
    of n and widens the interval; otherwise a slow oscillation would look like a leak.

    Args:
        times_s: Times of the samples.
        sizes_bytes: Sizes at these times.

    Returns:
        The fitted slope, or None if there are too few samples.
    """
    if len(times_s) < MIN_SAMPLES:
        return None
    times = np.asarray(times_s)
    sizes = np.asarray(sizes_bytes, dtype=float)
    block_of_sample = ((times - times[0]) // BLOCK_S).astype(int)
    blocks = np.unique(block_of_sample)
    if len(blocks) < MIN_BLOCKS:
        return None
    hours = np.array([times[block_of_sample == b].mean() for b in blocks]) / SECONDS_PER_HOUR
    means = np.array([sizes[block_of_sample == b].mean() for b in blocks])
    line = stats.linregress(hours, means)
    residuals = means - (line.intercept + line.slope * hours)
    correlation = _measure_correlation(residuals)
    count = len(blocks)
    effective = max(count * (1 - correlation) / (1 + correlation), MIN_EFFECTIVE_BLOCKS)
    half_width = _half_width(float(line.stderr), count, effective)
    slope = float(line.slope)
    return Slope(
        mean_bytes=float(means.mean()),
        bytes_per_hour=slope,
        low_bytes_per_hour=slope - half_width,
        high_bytes_per_hour=slope + half_width,
        blocks=count,
        correlation=correlation,
    )


def _measure_correlation(residuals: np.ndarray) -> float:
    """Return the lag-1 autocorrelation of the residuals, clamped to 0..``MAX_CORRELATION``."""
    sum_of_squares = float((residuals**2).sum())
    if not sum_of_squares:
        return 0.0
    correlation = float((residuals[1:] * residuals[:-1]).sum()) / sum_of_squares
    return min(max(correlation, 0.0), MAX_CORRELATION)


def _half_width(standard_error: float, count: int, effective: float) -> float:
    """Return half the width of the confidence interval of the slope.

    Args:
        standard_error: Standard error of the slope for independent blocks.
        count: Number of blocks.
        effective: Effective number of blocks.
    """
    degrees_of_freedom = effective - FITTED_PARAMETERS
    # linregress assumes count - 2 degrees of freedom; rescale to the effective number.
    error = standard_error * math.sqrt((count - FITTED_PARAMETERS) / degrees_of_freedom)
    return float(stats.t.ppf((1 + CONFIDENCE) / 2, degrees_of_freedom)) * error
