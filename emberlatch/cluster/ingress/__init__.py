"""The HTTP interface for clients, which submit messages, and for load balancers, which check readiness."""

from emberlatch.cluster.ingress.front import Front
from emberlatch.cluster.ingress.listener import HttpListener, RequestHandler
from emberlatch.cluster.ingress.readiness_endpoint import NotReadyReason, ReadinessCheck, ReadinessEndpoint

__all__ = ["Front", "HttpListener", "NotReadyReason", "ReadinessCheck", "ReadinessEndpoint", "RequestHandler"]
