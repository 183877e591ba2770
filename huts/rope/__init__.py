"""Frames and calls between the system's own processes."""

from huts.rope.peer import BEAT, Peer, PeerState
from huts.rope.strand import Lost, RopeServer, Strand
from huts.rope.tally import Tally

__all__ = ["BEAT", "Lost", "Peer", "PeerState", "RopeServer", "Strand", "Tally"]
