"""The deadline after which the service assumes that its answers were delivered, even if they were lost.

A discovery service that keeps track of what it has sent (docs/design/directory.md, "What counts as
delivered") expects its clients to act on each answer within a certain time of the request. So a request that
was written and got no answer sets a deadline. The answer to a later request must arrive before that deadline.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeliveryTerms:
    """The delays after which the service assumes that an answer was delivered.

    Attributes:
        after_lookup_s: seconds after a look-up, which is a request for the complete list, was sent.
        after_watch_s: seconds after the wait of a watch has ended. A watch is a request for changes, and the
            service may wait for them.
        after_move_s: seconds after a change of the service's address.
    """

    after_lookup_s: float = 6.0
    after_watch_s: float = 2.0
    after_move_s: float = 4.0


DEFAULT_TERMS = DeliveryTerms()


class AssumedDelivery:
    """The earliest deadline of all requests that may have been answered although no answer arrived."""

    def __init__(self, terms: DeliveryTerms = DEFAULT_TERMS) -> None:
        self.terms = terms
        self.deadline = math.inf
        """The time at which the first lost answer counts as delivered; infinite if no answer was lost."""

    def answer_lost(self, sent_at: float, wait_s: float | None) -> None:
        """Record that the request sent at `sent_at` got no answer.

        `wait_s` is how long the service was allowed to wait for changes; None for a look-up.
        """
        delay = self.terms.after_lookup_s if wait_s is None else wait_s + self.terms.after_watch_s
        self.deadline = min(self.deadline, sent_at + delay)

    def service_moved(self, now: float) -> None:
        """Replace the deadline by one for the service's new address."""
        self.deadline = now + self.terms.after_move_s

    def answer_accepted(self) -> None:
        """Clear the deadline: the answer to a later request includes what the lost answers contained."""
        self.deadline = math.inf
