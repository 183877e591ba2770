"""This process's share of a rate limit that all processes must keep together."""

from emberlatch.cluster.rate_limits.rate_share import RateShare

__all__ = ["RateShare"]
