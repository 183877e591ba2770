"""Where requests come in: messages of clients, and whether they may be sent here."""

from emberlatch.cluster.ingress.front import Front
from emberlatch.cluster.ingress.listener import HttpListener
from emberlatch.cluster.ingress.ready import Ready

__all__ = ["Front", "HttpListener", "Ready"]
