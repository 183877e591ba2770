"""All rules of a run: receives every event and passes it to the checks that need it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from emberlatch.faults.checks.breaches import Breach, BreachLog
from emberlatch.faults.checks.call_checks import LeaseChecks, OverloadChecks, RetryAfterChecks, SentCall
from emberlatch.faults.checks.drain_checks import DrainChecks
from emberlatch.faults.checks.forwarder_states import ForwarderStates, Span
from emberlatch.faults.checks.message_checks import REJECTED, MessageChecks
from emberlatch.faults.checks.message_states import AttemptOutcome, CallKey, CheckedMessage
from emberlatch.faults.checks.parameters import RuleParameters


class RuleChecks:
    """Applies all rules to events, which the `on_...` methods receive in order.

    Times are in seconds from the start of the run. Endpoints and forwarders have their names from the plan;
    each endpoint numbers its own calls.
    """

    def __init__(self, parameters: RuleParameters) -> None:
        self._log, self._forwarders = BreachLog(), ForwarderStates()
        self._messages = MessageChecks(parameters, self._forwarders, self._log)
        self._drains = DrainChecks(parameters, self._forwarders, self._log)
        self._leases = LeaseChecks(parameters, self._forwarders, self._log)
        self._waits = RetryAfterChecks(parameters, self._log)
        self._overloads = OverloadChecks(self._log)

    @property
    def breaches(self) -> list[Breach]:
        """The breaches so far, in the order in which they were detected."""
        return self._log.breaches

    @property
    def messages(self) -> dict[str, CheckedMessage]:
        """The state of each message, by its id."""
        return self._messages.messages

    # Events of forwarders.

    def on_ready(self, at: float, forwarder: str, draining: Iterable[str]) -> None:
        """A process became ready; its configuration lists `draining` as not serving."""
        self._forwarders.on_ready(at, forwarder)
        self._drains.on_ready(at, forwarder, draining)

    def on_down(self, forwarder: str) -> None:
        """A process died: calls in flight may have been executed, and what the process knew is lost."""
        self._leases.on_forwarder_down(forwarder)
        self._drains.on_forwarder_down(forwarder)
        self._waits.on_forwarder_down(forwarder)
        self._overloads.on_forwarder_down(forwarder)
        self._messages.on_forwarder_down(forwarder)

    def on_disk_state(self, at: float, forwarder: str, works: bool) -> None:
        """A forwarder's disk began to refuse writes, or works again."""
        self._forwarders.on_disk_state(at, forwarder, works)

    def excuse(self, forwarder: str, spans: list[Span]) -> None:
        """Excuse a forwarder's late notices in these spans of stops, of restarts and without a receiver."""
        self._forwarders.excuse(forwarder, spans)

    # Events of clients, and notices.

    def on_submitted(self, forwarder: str, message: str, effect: str, deadline: float) -> None:
        """A client wrote the last byte of a message, which must be completed by `deadline`."""
        self._messages.on_submitted(forwarder, message, effect, deadline)

    def on_submission_answered(self, at: float, message: str, status: int) -> None:
        """A client received the answer to its submission."""
        self._messages.on_submission_answered(at, message, status)

    def on_notice(self, at: float, forwarder: str, message: str, result: str) -> None:
        """The platform confirmed a notice."""
        self._messages.on_notice(at, forwarder, message, result)

    def on_given_up(self, at: float, message: str) -> None:
        """The decision module gave up a message: its notice is due at once."""
        self._messages.on_given_up(at, message)

    # Events of partners' endpoints.

    def on_call(
        self, at: float, forwarder: str, endpoint: str, number: int, message_ids: Sequence[str]
    ) -> None:
        """The last byte of a call reached an endpoint."""
        call = CallKey(endpoint, number)
        self._leases.on_call(call, SentCall(forwarder, at, tuple(message_ids)))
        self._drains.on_call(at, forwarder, endpoint)
        self._waits.on_call(at, forwarder, endpoint)
        for message_id in message_ids:
            self._messages.on_call(at, forwarder, call, message_id)

    def on_call_answered(
        self,
        at: float,
        endpoint: str,
        number: int,
        status: int,
        is_complete: bool,
        retry_after_s: float,
        is_received: bool = True,
    ) -> None:
        """An endpoint wrote an answer.

        `is_complete` is false for a truncated answer, `is_received` is false if the endpoint is unreachable.
        """
        call = CallKey(endpoint, number)
        sent = self._leases.on_call_completed(call)
        assert sent is not None, call
        if is_received and status in REJECTED:
            outcome = AttemptOutcome.NOT_EXECUTED
        elif is_received and status == 200:
            outcome = AttemptOutcome.EXECUTED
        else:
            outcome = AttemptOutcome.UNKNOWN
        delivered = outcome is AttemptOutcome.EXECUTED and (is_complete or len(sent.message_ids) == 1)
        self._messages.on_call_completed(at, call, sent.message_ids, outcome, delivered)
        if retry_after_s and is_received:
            self._waits.on_retry_after(at, sent.forwarder, endpoint, retry_after_s)
        if status != 200:
            self._overloads.on_failure(endpoint, sent.forwarder)

    def on_call_broken(self, at: float, endpoint: str, number: int) -> None:
        """The connection of a call ended without an answer."""
        call = CallKey(endpoint, number)
        if (sent := self._leases.on_call_completed(call)) is not None:
            self._messages.on_call_completed(at, call, sent.message_ids, AttemptOutcome.UNKNOWN, False)
            self._overloads.on_failure(endpoint, sent.forwarder)

    def on_isolated(self, at: float, endpoint: str) -> None:
        """An endpoint became unreachable."""
        self._leases.on_isolated(endpoint)
        self._messages.on_isolated(at, endpoint)

    def on_outage(self, endpoint: str) -> None:
        """An endpoint's outage began."""
        self._overloads.on_outage(endpoint)

    def on_overload(self, at: float, endpoint: str, callers: Sequence[str]) -> None:
        """An endpoint was overloaded after an outage; `callers` has the forwarder of each recent call."""
        self._overloads.on_overload(at, endpoint, callers)

    # Events of the directory.

    def on_phase_sent(self, at: float, forwarder: str, endpoint: str, serving: bool) -> None:
        """The directory sent a forwarder the phase of an endpoint."""
        self._drains.on_phase_sent(at, forwarder, endpoint, serving)

    def on_listed(self, at: float, endpoint: str, serving: bool) -> None:
        """The directory changed an endpoint's listed phase, whether or not a forwarder received it."""
        self._drains.on_listed(at, endpoint, serving)

    def on_poll(self, at: float, forwarder: str) -> None:
        """A forwarder made a request to the directory."""
        self._drains.on_poll(at, forwarder)

    def on_list_lost(self, forwarder: str, polled_at: float, watch_wait_s: float | None) -> None:
        """The directory's answer was lost; `watch_wait_s` is a watch's longest wait, None for a look-up."""
        self._drains.on_list_lost(forwarder, polled_at, watch_wait_s)

    def on_directory_moved(self, at: float, forwarder: str) -> None:
        """SIGHUP notified a forwarder of the directory's new address."""
        self._drains.on_directory_moved(at, forwarder)

    # Checks at given times.

    def check_leases(self, at: float, hanging_endpoints: Collection[str]) -> None:
        """Check the calls in flight; `hanging_endpoints` have answered nothing for a long time."""
        self._leases.check(at, hanging_endpoints)

    def check_overdue(self, at: float) -> None:
        """Check at the end that accepted messages were completed in time and notices sent without delay."""
        self._messages.check_overdue(at)
