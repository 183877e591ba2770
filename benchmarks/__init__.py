"""Measurements: commands that report ratios beside a baseline of the same run. None is a test."""
