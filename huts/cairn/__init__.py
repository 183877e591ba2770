"""The operator's word on disk: plain files, versions compared, the highest stands."""

from huts.cairn.cairn import Cairn
from huts.cairn.files import WordFiles

__all__ = ["Cairn", "WordFiles"]
