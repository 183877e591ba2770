"""What the other stores have reported about themselves in handshakes and heartbeats."""

from __future__ import annotations

from emberlatch.cluster.membership.disk_reports import DiskReports
from emberlatch.cluster.membership.messages import ControlReport
from emberlatch.cluster.membership.unreachability import UnreachabilityReports
from emberlatch.cluster.message_store import DiskState, Phase


class StoreReports:
    """The latest report of each store, by node.

    Attributes:
        phases: Values of `Phase`, only for stores whose link is up.
        disks: States of the disks, only for stores whose link is up.
        identities: Identities of the disks.
        versions: Versions of the control state on the disks, this machine's included.
        withheld_votes: Voters that do not vote at present, and witnesses that are shutting down.
        clusters: Clusters that the disks belong to; empty strings before the cluster is founded.
        unreachability: The machines that each store can't reach.
    """

    def __init__(self) -> None:
        self.phases: dict[str, str] = {}
        self.disks = DiskReports()
        self.identities: dict[str, str] = {}
        self.versions: dict[str, int] = {}
        self.withheld_votes: set[str] = set()
        self.clusters: dict[str, str] = {}
        self.unreachability = UnreachabilityReports()

    def apply(self, node: str, phase: str, disk: DiskState, now: float) -> None:
        """Record the phase and the disk state that a store reports; `now` is a loop time."""
        self.phases[node] = phase
        self.disks.report(node, disk, now)

    def apply_control(self, node: str, report: ControlReport, now: float) -> None:
        """Record what a store reports about the control state; `now` is a loop time."""
        self.clusters[node] = report.cluster
        self.set_version(node, report.version)
        if report.identity:
            self.identities[node] = report.identity
        if report.votes:
            self.withheld_votes.discard(node)
        else:
            self.withheld_votes.add(node)
        self.unreachability.report(node, report.unreachable_s, now)

    def set_identity(self, node: str, identity: str) -> None:
        """Record the identity that a process reports about itself; a new one has withheld no vote yet."""
        if self.identities.get(node) != identity:
            self.withheld_votes.discard(node)
        self.identities[node] = identity

    def set_version(self, node: str, version: int) -> None:
        """Record the version of the control state on the disk of a store; `node` may be this machine."""
        self.versions[node] = version

    def link_down(self, node: str) -> None:
        """Forget the phase and the disk state of a store whose link went down."""
        self.phases.pop(node, None)
        self.disks.forget(node)

    def is_serving(self, node: str) -> bool:
        """Whether a store reports the phase `SERVING` and a disk that accepts writes.

        Such a store may still reject messages, because a nearly full disk (event 507) is not reported.
        """
        return self.phases.get(node) == Phase.SERVING.value and self.disks.is_writable(node)

    def is_closing(self, node: str) -> bool:
        """Whether a store is shutting down."""
        return self.phases.get(node) == Phase.CLOSING.value
