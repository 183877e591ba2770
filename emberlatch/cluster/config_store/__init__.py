"""The operator's word on disk: plain files, versions compared, the highest stands."""

from emberlatch.cluster.config_store.files import ConfigFiles
from emberlatch.cluster.config_store.store import ConfigStore

__all__ = ["ConfigFiles", "ConfigStore"]
