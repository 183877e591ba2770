"""The gateway outside the platform: its configuration is a file, its membership an inventory."""

from emberlatch.standalone.control import ask
from emberlatch.standalone.ends import Ends
from emberlatch.standalone.gateway import Standalone, StartError, serve

__all__ = ["Ends", "Standalone", "StartError", "ask", "serve"]
