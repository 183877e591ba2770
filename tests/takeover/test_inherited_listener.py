"""The listening socket that is inherited from the platform."""

from __future__ import annotations

import os
import socket
from pathlib import Path

import pytest

from emberlatch.takeover import InvalidDescriptorError, inherited_listener


def test_only_a_listening_tcp_socket_is_inherited(tmp_path: Path) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    found = inherited_listener(str(listener.detach()))
    assert found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN) and not found.get_inheritable()
    found.close()
    file = os.open(tmp_path / "file", os.O_CREAT | os.O_RDWR)
    not_listening = socket.socket()
    datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for bad in (
        str(file),
        str(not_listening.fileno()),
        str(datagram.fileno()),
        "999999",
        "x",
        "-1",
        "",
        "3 ",
    ):
        with pytest.raises(InvalidDescriptorError, match="descriptor"):
            inherited_listener(bad)
    assert not_listening.fileno() >= 0  # a rejected socket stays open
    os.close(file)
    not_listening.close()
    datagram.close()
