"""Rules on the completion of messages: none is lost, has two results, or is executed too often."""

from __future__ import annotations

import math
from collections.abc import Sequence

from emberlatch.faults.checks.breaches import BreachLog, Rule
from emberlatch.faults.checks.forwarder_states import ForwarderStates
from emberlatch.faults.checks.message_states import AttemptOutcome, CallAttempt, CallKey, CheckedMessage
from emberlatch.faults.checks.parameters import NOTICE_CROSSING_S, TIME_LIMIT_SLACK_S, RuleParameters

LOST_MESSAGE_GRACE_S = 0.3  # time after its deadline until an incomplete message counts as lost
MAX_NOTICE_DELAY_S = 0.35  # longest time from the decision to give up a message until its notice
REJECTED = (429, 503)  # HTTP statuses of a rejection: nothing was executed


class MessageChecks:
    """Checks the rules `lost`, `duplicates`, `ends` and `at once`."""

    def __init__(self, parameters: RuleParameters, forwarders: ForwarderStates, log: BreachLog) -> None:
        self.messages: dict[str, CheckedMessage] = {}
        self._parameters, self._forwarders, self._log = parameters, forwarders, log

    def on_submitted(self, forwarder: str, message: str, effect: str, deadline: float) -> None:
        """Record that a client wrote the last byte of a message."""
        self.messages[message] = CheckedMessage(message, forwarder, effect, deadline)

    def on_submission_answered(self, at: float, message: str, status: int) -> None:
        """Record the answer to a client's submission; if it is a rejection, check that it is allowed."""
        submitted = self.messages[message]
        if status == 202:
            submitted.accepted_at = at
        elif status in REJECTED:
            self._check_rejection(at, submitted, f"answered {status}")

    def on_notice(self, at: float, forwarder: str, message: str, result: str) -> None:
        """Check a notice that the platform confirmed."""
        reported = self.messages.get(message)
        if reported is None:
            self._log.add(Rule.FINAL_RESULT, at, f"{forwarder} reports {message}, which was never submitted")
            return
        notices = reported.notices
        notices.setdefault(result, at)
        if len(notices) > 1 and not self._forwarders.may_be_unwritten(forwarder, min(notices.values())):
            self._log.add(Rule.FINAL_RESULT, at, f"{message} was reported as {' and as '.join(notices)}")
        if self._knew_of_delivery(forwarder, reported, at):
            self._log.add(
                Rule.FINAL_RESULT,
                at,
                f"{message} is reported as {result}, delivered at {reported.delivered_at:.3f}",
            )
        if result == "bounced":
            self._check_rejection(at, reported, "bounced")

    def _knew_of_delivery(self, forwarder: str, message: CheckedMessage, at: float) -> bool:
        """Whether the process that sent a notice must have known before that the message was delivered."""
        answer_read_at = message.delivered_at + NOTICE_CROSSING_S
        was_running = self._forwarders.ready_since(forwarder) < message.delivered_at
        is_received = not message.is_delivery_uncertain and message.given_up_at > answer_read_at
        return answer_read_at < at and was_running and is_received

    def _check_rejection(self, at: float, message: CheckedMessage, how: str) -> None:
        if message.effect != "safe" and message.may_have_run:
            self._log.add(
                Rule.DUPLICATES, at, f"{message.id} ({message.effect}) was {how} but may have been executed"
            )

    def on_given_up(self, at: float, message: str) -> None:
        """Record that the decision module gave up a message: its notice is due at once."""
        if (known := self.messages.get(message)) is not None and known.given_up_at == math.inf:
            known.given_up_at = at

    def on_forwarder_down(self, forwarder: str) -> None:
        """Forget which messages without a notice were given up, as the next process decides again."""
        for message in self.messages.values():
            if message.forwarder == forwarder and not message.notices:
                message.given_up_at = math.inf

    def on_call(self, at: float, forwarder: str, call: CallKey, message_id: str) -> None:
        """Check a message of a call that reached an endpoint."""
        message = self.messages.get(message_id)
        if message is None:
            self._log.add(Rule.DUPLICATES, at, f"{forwarder} sends {message_id}, which was never submitted")
            return
        for attempt in message.attempts:
            if message.effect != "safe" and attempt.outcome is not AttemptOutcome.NOT_EXECUTED:
                self._check_repeat(at, message, attempt, call.endpoint)
        for result, since in message.notices.items():
            if at > since + NOTICE_CROSSING_S and not self._forwarders.may_be_unwritten(forwarder, since):
                self._log.add(
                    Rule.FINAL_RESULT,
                    at,
                    f"{message_id} is sent after it was reported as {result} at {since:.3f}",
                )
        message.attempts.append(CallAttempt(at, call))

    def _check_repeat(self, at: float, message: CheckedMessage, earlier: CallAttempt, endpoint: str) -> None:
        """Check a call that has a message which an earlier call may have executed."""
        parameters, earlier_endpoint = self._parameters, earlier.call.endpoint
        if message.effect == "unsafe":
            text = f"{message.id} is sent again, earlier outcome at {earlier_endpoint}: {earlier.outcome}"
        elif parameters.zones[earlier_endpoint] != parameters.zones[endpoint]:
            text = f"{message.id} is sent to {endpoint} after {earlier_endpoint}, which is in another zone"
        elif at - parameters.max_latency_s - earlier.at > parameters.dedup_windows_s[message.effect]:
            text = f"{message.id} is sent again after {at - earlier.at:.3f} s, after its dedup window"
        else:
            return
        self._log.add(Rule.DUPLICATES, at, text)

    def on_call_completed(
        self, at: float, call: CallKey, message_ids: Sequence[str], outcome: AttemptOutcome, delivered: bool
    ) -> None:
        """Record the end of a call; `delivered` says whether its sender must count it as delivered."""
        for message_id in message_ids:
            message = self.messages.get(message_id)
            if message is None:
                continue
            for attempt in message.attempts:
                if attempt.call == call:
                    attempt.outcome = outcome
            if delivered:
                message.delivered_at = min(message.delivered_at, at)

    def on_isolated(self, at: float, endpoint: str) -> None:
        """Record that an endpoint became unreachable, so that its answers in transit may be lost."""
        for message in self.messages.values():
            last_attempt = message.attempts[-1] if message.attempts else None
            if (
                last_attempt is not None
                and last_attempt.call.endpoint == endpoint
                and at - message.delivered_at < self._parameters.max_latency_s
            ):
                message.is_delivery_uncertain = True

    def check_overdue(self, at: float) -> None:
        """Check at the end that accepted messages were completed in time and notices sent without delay."""
        for message in self.messages.values():
            if message.accepted_at < math.inf:
                self._check_completion_time(at, message)

    def _check_completion_time(self, at: float, message: CheckedMessage) -> None:
        forwarder, completed_at = message.forwarder, message.completed_at
        due = message.deadline + LOST_MESSAGE_GRACE_S + TIME_LIMIT_SLACK_S
        due = max(due, self._forwarders.excused_until(forwarder, due))
        if completed_at > due and at > due:
            self._log.add(
                Rule.LOST, min(at, due), f"{message.id} of {forwarder} was not completed by {due:.3f}"
            )
        if message.given_up_at == math.inf or message.delivered_at < math.inf:
            return
        since = max(message.given_up_at, self._forwarders.excused_until(forwarder, message.given_up_at))
        if completed_at > since + MAX_NOTICE_DELAY_S:
            self._log.add(
                Rule.NOTICE_DELAY,
                since,
                f"{message.id} was given up, notice due at {since:.3f} came at {completed_at:.3f}",
            )
