"""Reserves loopback ports, so that the kernel gives them to no other process during an outage."""

from __future__ import annotations

import socket


def reserve_port(port: int = 0) -> socket.socket:
    """Return a socket that is bound to a port but does not listen; the kernel chooses the port if it is 0.

    Connections are refused until another socket listens on the port (with `reuse_port`). The reservation
    keeps the kernel from giving the port to another endpoint while nothing listens on it. That endpoint would
    receive the calls for this one.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind(("127.0.0.1", port))
    return reservation
