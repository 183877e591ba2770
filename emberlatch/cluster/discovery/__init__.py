"""Which targets there are: beats, draining, gone."""

from emberlatch.cluster.discovery.targets import BadBeat, Target, Targets, TargetState

__all__ = ["BadBeat", "Target", "TargetState", "Targets"]
