"""Consensus on the control state: a replicated register whose versions a group of voters decides in turn.

Version n + 1 is decided by one instance of single-decree Paxos (Lamport, "Paxos Made Simple", 2001) among
the voters that version n names. A change of the group is therefore decided in the same way. Only the
newest state is kept, as in CASPaxos (Rystsov, 2018): there is no log and no leader. See
docs/design/control.md.
"""

from emberlatch.cluster.consensus.acceptor import Acceptor, AcceptorRecord
from emberlatch.cluster.consensus.commands import (
    Command,
    Configure,
    CreateVoterGroup,
    MarkDecommission,
    ReadmitMember,
    RemoveMember,
    SetVoters,
)
from emberlatch.cluster.consensus.errors import ConsensusError, UndecidedError, UnreachableError
from emberlatch.cluster.consensus.proposal import Proposal
from emberlatch.cluster.consensus.proposer import Proposer, Quorum, ReadOutcome, ReadRound, Stage
from emberlatch.cluster.consensus.state import (
    Ballot,
    ControlState,
    DecommissionMark,
    RevisionStatus,
    Voter,
)

__all__ = [
    "Acceptor",
    "AcceptorRecord",
    "Ballot",
    "Command",
    "Configure",
    "ConsensusError",
    "ControlState",
    "CreateVoterGroup",
    "DecommissionMark",
    "MarkDecommission",
    "Proposal",
    "Proposer",
    "Quorum",
    "ReadOutcome",
    "ReadRound",
    "ReadmitMember",
    "RemoveMember",
    "RevisionStatus",
    "SetVoters",
    "Stage",
    "UndecidedError",
    "UnreachableError",
    "Voter",
]
