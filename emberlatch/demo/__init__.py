"""The gateway at work with stand-in partners, one of which breaks."""

from emberlatch.demo.account import Account, Summary
from emberlatch.demo.run import Progress, run

__all__ = ["Account", "Progress", "Summary", "run"]
