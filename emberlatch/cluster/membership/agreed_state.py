"""The agreed control state as this process knows it. The control plane and the membership share it."""

from __future__ import annotations

from emberlatch.cluster.consensus.state import ControlState


class AgreedState:
    """The control state, and the identity under which this process may vote.

    Only the control plane changes them, and in a process without a disk, which keeps the initial control
    state, the witness service.

    Attributes:
        control_state: The newest version that this process knows; empty before the cluster is founded.
        identity: Identity of this machine's disk, empty while it can't be read; in a process without a disk,
            its identity as a witness.
    """

    __slots__ = ("control_state", "identity")

    def __init__(self) -> None:
        self.control_state = ControlState()
        self.identity = ""

    def update(self, control_state: ControlState, identity: str) -> None:
        """Set both values. Called after the replicated register has changed or was attached to a disk."""
        self.control_state, self.identity = control_state, identity
