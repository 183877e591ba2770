"""Locks the state folder and raises the descriptor limit before a gateway is composed."""

from __future__ import annotations

import resource
from pathlib import Path

from emberlatch.gateway_core import ConnectionLimits
from emberlatch.net.descriptor_limits import split_descriptors
from emberlatch.standalone.errors import StartError
from emberlatch.takeover import FolderLock


def lock_state_folder(state: Path) -> FolderLock:
    """Create the folder, and lock it until the process ends; raises StartError if that fails."""
    try:
        state.mkdir(parents=True, exist_ok=True)
        lock = FolderLock(state)
    except OSError as error:
        raise StartError("state", error) from error
    if not lock.acquire():
        lock.close()
        raise StartError("state", f"{str(state)!r} is in use by another gateway")
    return lock


def connection_limits(descriptors: int, reserved: int) -> ConnectionLimits:
    """Return the connection limits for a number of descriptors, of which `reserved` are not for connections.

    Raise the process's descriptor limit if it is too low. Raises StartError if that fails or if
    too few descriptors remain for connections.
    """
    _raise_descriptor_limit(descriptors)
    try:
        return ConnectionLimits(*split_descriptors(descriptors, reserved))
    except ValueError as error:
        raise StartError("limits.sockets", error) from error


def _raise_descriptor_limit(wanted: int) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise StartError("limits.sockets", f"{wanted}, but this process may open {hard} descriptors")
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
