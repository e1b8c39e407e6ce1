"""Measurements that are no part of CI; each prints ratios within one run."""
