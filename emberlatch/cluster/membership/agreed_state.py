"""The agreed control state as this process knows it. The control plane and the membership share it."""

from __future__ import annotations

from emberlatch.cluster.consensus.state import ControlState


class AgreedState:
    """The control state and the disk identity. Only the control plane changes them.

    In a process without a disk, they keep their initial values.

    Attributes:
        control_state: The newest version that this process knows; empty before the cluster is founded.
        identity: Identity of this machine's disk; empty if there is no disk, and while it can't be read.
    """

    __slots__ = ("control_state", "identity")

    def __init__(self) -> None:
        self.control_state = ControlState()
        self.identity = ""

    def update(self, control_state: ControlState, identity: str) -> None:
        """Set both values. Called after the replicated register has changed or was attached to a disk."""
        self.control_state, self.identity = control_state, identity
