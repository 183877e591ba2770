"""A demonstration: the gateway under traffic to stand-in partners, one of which stops responding."""

from emberlatch.demo.run import Progress, run
from emberlatch.demo.statistics import DemoPhase, DemoStatistics, PhaseSummary, Summary

__all__ = ["DemoPhase", "DemoStatistics", "PhaseSummary", "Progress", "Summary", "run"]
