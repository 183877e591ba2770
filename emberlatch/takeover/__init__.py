"""Replaces a running process by a new one under load: hands over ownership, state and connections.

Only the lock in the state folder (`FolderLock`) determines which process is the owner; the messages that the
processes exchange over a Unix socket (`UnixConnection`) do not change the owner. `HandoverServer` runs in the
serving process (the predecessor), `acquire_ownership` in the process that takes over (the successor).
"""

from __future__ import annotations

from emberlatch.takeover.connection import HandoverConnection, UnixConnection
from emberlatch.takeover.errors import (
    HandoverConnectionError,
    InvalidDescriptorError,
    InvalidMessageError,
    TakeoverError,
)
from emberlatch.takeover.folder_lock import FolderLock
from emberlatch.takeover.frames import Frame
from emberlatch.takeover.inherited_listener import inherited_listener
from emberlatch.takeover.messages import VERSION, ClientConnection, StateSnapshot
from emberlatch.takeover.ports import OwnershipLock, Predecessor, Successor
from emberlatch.takeover.predecessor import HandoverServer
from emberlatch.takeover.state_machine import HandoverReply, HandoverState, HandoverStateMachine
from emberlatch.takeover.successor import ReceivedHandover, acquire_ownership
from emberlatch.takeover.unix_socket import handover_socket_path, open_connection

__all__ = [
    "VERSION",
    "ClientConnection",
    "FolderLock",
    "Frame",
    "HandoverConnection",
    "HandoverConnectionError",
    "HandoverReply",
    "HandoverServer",
    "HandoverState",
    "HandoverStateMachine",
    "InvalidDescriptorError",
    "InvalidMessageError",
    "OwnershipLock",
    "Predecessor",
    "ReceivedHandover",
    "StateSnapshot",
    "Successor",
    "TakeoverError",
    "UnixConnection",
    "acquire_ownership",
    "handover_socket_path",
    "inherited_listener",
    "open_connection",
]
