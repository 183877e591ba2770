"""Which targets there are: beats, draining, gone."""

from huts.lookout.targets import BadBeat, Target, Targets, TargetState

__all__ = ["BadBeat", "Target", "TargetState", "Targets"]
