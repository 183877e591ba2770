"""The small deployments in which every order of steps is explored, see `consensus_model`.

Each scenario is explored separately, because all faults combined in one deployment give too many states.
Where disks are equal in the initial state, `may_lose` lists only one of them.
"""

from __future__ import annotations

import sys
from dataclasses import replace

from emberlatch.cluster.consensus.commands import Configure, CreateVoterGroup, SetVoters, apply_batch
from emberlatch.cluster.consensus.state import ControlState, DecommissionMark, Voter
from tests.cluster.consensus_model import Explorer
from tests.cluster.consensus_states import ABSENT, BatchChoice, Scenario

A, B, C = Voter("a", "a/1"), Voter("b", "b/1"), Voter("c", "c/1")
NEW_A, NEW_C = Voter("a", "a/2"), Voter("c", "c/2")  # the same machines with an empty disk
SPARE = Voter("d", "d/1")
WITNESS, NEW_WITNESS = Voter("w", "witness-1"), Voter("w", "witness-2")  # before and after a restart
FOUNDING_VOTERS = (Voter("host-a", ""), Voter("host-b", ""), Voter("host-c", ""))

UNFOUNDED = ControlState(voters=FOUNDING_VOTERS)
FOUNDED = apply_batch(UNFOUNDED, (CreateVoterGroup((A, B, C)),))
PAIRED = apply_batch(FOUNDED, (SetVoters(FOUNDED.epoch, (A, B)),))
WITNESSED = apply_batch(PAIRED, (SetVoters(PAIRED.epoch, (A, B, WITNESS)),))
DECOMMISSIONING = replace(FOUNDED, decommissions=(("c", DecommissionMark.MARKED),))

TEXT_A = BatchChoice((Configure(5, b"text A"),))
TEXT_B = BatchChoice((Configure(5, b"text B"),))
DUE_CHANGE = BatchChoice(None)

RACE = Scenario(
    disks=(A, B, C),
    initial=FOUNDED,
    batch_choices=((TEXT_A,), (TEXT_B,), (TEXT_A, TEXT_B)),
    max_version=2,
    symmetric=(0, 1, 2),
)
"""Two operators submit different texts under one revision, and one of them retries under a third ballot.

Only one version is decided.
"""

SUCCESSION = replace(RACE, batch_choices=((TEXT_A,), (TEXT_B,), (TEXT_B,)), max_version=3)
"""One version more than in RACE: the second text is chosen but has no effect, or is proposed too late."""

READ = replace(RACE, batch_choices=((TEXT_A,), (TEXT_B,)), reads=True)
"""Two texts are submitted, and one read runs at any moment."""

REPLACEMENT = Scenario(
    disks=(A, B, C, NEW_C),
    initial=FOUNDED,
    batch_choices=((TEXT_A,), (DUE_CHANGE,), (TEXT_B,)),
    max_version=3,
    absent=frozenset({3}),
    may_lose=(2,),
    replacements=((2, 3),),
    max_losses=1,
    symmetric=(0, 1),
)
"""A disk is lost at any moment, and its machine returns with an empty disk.

The machine becomes a voter again between two changes of the configuration text.
"""

SECOND_LOSS = replace(
    REPLACEMENT, batch_choices=((DUE_CHANGE,), (TEXT_A,)), may_lose=(2, 0, 1, 3), max_losses=2, symmetric=()
)
"""Once the replacement of a lost disk is complete, any one of the other disks is lost."""

SECOND_LOSS_TOO_EARLY = replace(
    SECOND_LOSS, batch_choices=((TEXT_A, DUE_CHANGE), (TEXT_B,)), max_version=2, max_losses_at_once=2
)
"""Two disks are lost, each at any moment.

This is more than is tolerated: it may become impossible to decide, but decisions must not conflict.
"""

READ_ACROSS = replace(REPLACEMENT, batch_choices=((TEXT_A,), (DUE_CHANGE,)), reads=True)
"""A read runs at any moment of a replacement."""

FOUR = Scenario(
    disks=(A, B, C, SPARE),
    initial=apply_batch(UNFOUNDED, (CreateVoterGroup((A, B, C, SPARE)),)),
    batch_choices=((TEXT_A,), (TEXT_B,)),
    max_version=2,
    may_lose=(2, 3),
    max_losses=2,
    max_losses_at_once=2,
    tolerated_losses=2,
    symmetric=(0, 1),
    min_disks=3,
)
"""A group of four tolerates two losses: half of it decides once the other half is known to be lost."""

DECOMMISSION = Scenario(
    disks=(A, B, C, NEW_A),
    initial=DECOMMISSIONING,
    batch_choices=((DUE_CHANGE,), (TEXT_A,)),
    max_version=3,
    absent=frozenset({3}),
    may_lose=(0,),
    replacements=((0, 3),),
    max_losses=1,
    decommissioned=2,
)
"""One of three machines is decommissioned while a text is submitted. Another loses its disk at any moment."""

PAIR = replace(
    DECOMMISSION,
    initial=PAIRED,
    batch_choices=((TEXT_A,), (DUE_CHANGE,), (TEXT_B,)),
    max_version=4,
    decommissioned=ABSENT,
)
"""After a decommission, the group has two voters. One loses its disk and becomes a voter again."""

WITNESS_RESTART = Scenario(
    disks=(A, B, WITNESS, NEW_WITNESS),
    initial=WITNESSED,
    batch_choices=((TEXT_A,), (DUE_CHANGE,)),
    max_version=WITNESSED.version + 2,
    absent=frozenset({3}),
    may_lose=(2,),
    replacements=((2, 3),),
    max_losses=1,
    symmetric=(0, 1),
)
"""Two voters with a disk and a witness, which restarts at any moment and has forgotten its promises."""

WITNESS_AND_LOSS = replace(
    WITNESS_RESTART,
    disks=(A, B, WITNESS, SPARE),
    may_lose=(1,),
    replacements=((1, 3),),
    silent_losses=frozenset({1}),
    symmetric=(),
)
"""One of two voters with a disk is gone for good under its name, and an empty machine of another name comes."""

DROPPED = apply_batch(WITNESSED, (SetVoters(WITNESSED.epoch, (A, WITNESS)),))

WITNESS_RESTART_AFTER_LOSS = replace(
    WITNESS_RESTART, initial=DROPPED, max_version=DROPPED.version + 2, symmetric=()
)
"""After such a loss the witness restarts before an empty machine comes; a late disk knows the loss of nobody."""

FOUNDING = Scenario(
    disks=(A, B, C, NEW_C),
    initial=UNFOUNDED,
    batch_choices=(
        (BatchChoice((CreateVoterGroup((A, B, C)),)),),
        (BatchChoice((CreateVoterGroup((A, B)),)),),
    ),
    max_version=1,
    founding_voters=(*FOUNDING_VOTERS, None),
    other_initial=(ControlState(voters=FOUNDING_VOTERS[2:]),),
    absent=frozenset({3}),
    may_lose=(2,),
    replacements=((2, 3),),
    max_losses=1,
    symmetric=(0, 1),
)
"""Two processes try to create different groups, and one of them may be configured with other seeds.

One of the seeds may lose its disk.
"""

CI = {
    "a race of two texts": RACE,
    "a text after another": SUCCESSION,
    "a read during a race": READ,
    "a lost disk and its replacement": REPLACEMENT,
    "a second loss after a replacement": SECOND_LOSS,
    "a second loss before a replacement": SECOND_LOSS_TOO_EARLY,
    "a decommission": DECOMMISSION,
    "a loss in a group of two": PAIR,
    "a read during a replacement": READ_ACROSS,
    "two losses in a group of four": FOUR,
    "a witness that restarts": WITNESS_RESTART,
    "a loss for good beside a witness": WITNESS_AND_LOSS,
    "a witness that restarts after a loss": WITNESS_RESTART_AFTER_LOSS,
    "the founding": FOUNDING,
}
"""The scenarios that the tests explore completely."""

DEEP = {
    "a race of four attempts": replace(RACE, batch_choices=(*RACE.batch_choices, (TEXT_A, TEXT_B))),
    "a replacement in a race": replace(
        REPLACEMENT, batch_choices=((TEXT_A,), (DUE_CHANGE,), (TEXT_B,), (DUE_CHANGE,))
    ),
    "a read during a race of three": replace(RACE, reads=True),
    "a decommission and a replacement": replace(
        DECOMMISSION, batch_choices=((DUE_CHANGE,), (TEXT_A,), (DUE_CHANGE,)), max_version=4
    ),
    "a witness that restarts in a race": replace(
        WITNESS_RESTART, batch_choices=((TEXT_A,), (DUE_CHANGE,), (TEXT_B,))
    ),
    "a loss for good beside a witness in a race": replace(
        WITNESS_AND_LOSS, batch_choices=((TEXT_A,), (DUE_CHANGE,), (TEXT_B,))
    ),
    "a founding with a retry": replace(
        FOUNDING, batch_choices=(*FOUNDING.batch_choices, FOUNDING.batch_choices[0])
    ),
}
"""Larger scenarios, explored on request up to a given number of states."""


def explore_deep(max_states: int) -> None:
    """Explore up to `max_states` states of each of the larger scenarios and print the results."""
    for name, scenario in DEEP.items():
        print(name, Explorer(scenario).explore(max_states), flush=True)


if __name__ == "__main__":
    explore_deep(int(sys.argv[1]))
