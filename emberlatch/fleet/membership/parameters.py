"""The parameters of the membership protocol, which are modelled on SWIM, Lifeguard and memberlist."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProtocolParameters:
    """Parameters of one member. Names of times end in `_s`; they are in seconds on the member's own clock."""

    probe_interval_s: float = 0.4
    probe_timeout_s: float = 0.15  # wait for an answer before indirect probes are requested
    indirect_probes: int = 3
    gossip_interval_s: float = 0.1  # interval of Gossip frames while updates are queued
    gossip_fanout: int = 3  # members that receive a Gossip per interval
    max_updates_per_frame: int = 8
    retransmissions: float = 4.0  # an update is sent this often, times log10 of the fleet size
    suspicion_intervals: float = 2.0  # shortest suspicion: this many intervals, times log10 of members
    suspicion_max_factor: float = 4.0  # ratio of the longest (unconfirmed) suspicion to the shortest
    suspicion_confirmations: int = 3  # confirmations that shorten a suspicion to the shortest
    max_health_score: int = 4  # maximum of Lifeguard's local health score
    sync_interval_s: float = 10.0  # mean interval of anti-entropy
    stall_s: float = 0.5  # a process that did not run for longer than this becomes isolated
    join_window_s: float = 1.0  # from the first membership table on; see `OwnIdentity.end_join_window_at`
    flap_window_s: float = 30.0  # how long a return from unreachable lengthens suspicions
    max_flaps: int = 2  # at most this many returns are counted
