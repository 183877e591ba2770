"""The duration of a suspicion (Lifeguard). Each confirmation by another member shortens the suspicion."""

from __future__ import annotations

import math

from emberlatch.fleet.membership.parameters import ProtocolParameters


class Suspicion:
    """The suspicion of one incarnation of a member: when it began, and which members share it.

    The duration decreases from the longest to the shortest as more members share the suspicion, by the
    logarithm of their number. Times are in seconds on the machine's clock.
    """

    def __init__(
        self,
        now: float,
        suspected_by: str,
        present_count: int,
        parameters: ProtocolParameters,
        rtt_s: float,
        flaps: int,
    ) -> None:
        """`present_count` is the number of members that are alive or suspect.

        `rtt_s` is a round-trip time. `flaps` is how often the member has recently returned from being
        unreachable; each return lengthens the suspicion.
        """
        self.started_at, self.suspected_by = now, {suspected_by}
        size = max(1.0, math.log10(max(present_count, 1)))
        shortest = parameters.suspicion_intervals * size * parameters.probe_interval_s + 2 * rtt_s
        self._shortest_s = shortest * (1 + flaps)
        self._longest_s = self._shortest_s * parameters.suspicion_max_factor
        self._confirmations_needed = min(parameters.suspicion_confirmations, max(0, present_count - 2))
        self._final_deadline = math.inf

    def confirm(self, member: str) -> bool:
        """Record that another member shares the suspicion; return whether to forward the confirmation."""
        if member in self.suspected_by or len(self.suspected_by) > self._confirmations_needed:
            return False
        self.suspected_by.add(member)
        return True

    @property
    def in_final_probe(self) -> bool:
        """Whether the final probe of the member was sent."""
        return self._final_deadline < math.inf

    def start_final_probe(self, now: float, timeout_s: float) -> None:
        """Record that the final probe was sent; the member has `timeout_s` to answer it."""
        self._final_deadline = now + timeout_s

    @property
    def deadline(self) -> float:
        """When the final probe is due or, if it was sent, when the member is declared unreachable."""
        if self.in_final_probe:
            return self._final_deadline
        if not self._confirmations_needed:
            return self.started_at + self._shortest_s
        progress = math.log(len(self.suspected_by)) / math.log(self._confirmations_needed + 1)
        duration_s = max(self._shortest_s, self._longest_s - (self._longest_s - self._shortest_s) * progress)
        return self.started_at + duration_s

    def restart(self, now: float) -> None:
        """Restart the suspicion after a stall, during which this process could not receive a refutation."""
        self.started_at, self._final_deadline = now, math.inf
