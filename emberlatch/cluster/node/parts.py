"""The components that only a node with a disk has, in one object that is passed to other components."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.cluster.control_plane import ControlPlane
from emberlatch.cluster.discovery import TargetDirectory
from emberlatch.cluster.dispatch import Dispatcher
from emberlatch.cluster.message_store import MessageStore


@dataclass(frozen=True, slots=True)
class StoreParts:
    """Components that store and deliver messages."""

    message_store: MessageStore
    control: ControlPlane
    targets: TargetDirectory
    dispatcher: Dispatcher
