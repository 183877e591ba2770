"""The agreed control state as this process knows it, shared between the control plane and the membership."""

from __future__ import annotations

from emberlatch.cluster.consensus.state import ControlState


class AgreedState:
    """Written only by the control plane. In a process without a disk, the initial values never change.

    Attributes:
        control_state: The newest version that this process knows; empty before the cluster is founded.
        identity: Identity of this machine's disk; empty if there is no disk, and while it can't be read.
    """

    __slots__ = ("control_state", "identity")

    def __init__(self) -> None:
        self.control_state = ControlState()
        self.identity = ""

    def update(self, control_state: ControlState, identity: str) -> None:
        """Set state and identity; called after the register has changed or was attached to a disk."""
        self.control_state, self.identity = control_state, identity
