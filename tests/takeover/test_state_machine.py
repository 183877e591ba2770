"""The state machine of the process that hands over, tested without sockets."""

from __future__ import annotations

import pytest

from emberlatch.takeover import VERSION, HandoverReply, HandoverState, HandoverStateMachine


def handing_over() -> HandoverStateMachine:
    state_machine = HandoverStateMachine(VERSION)
    assert state_machine.on_request(VERSION) is HandoverReply.HAND_OVER
    return state_machine


def test_a_takeover_without_faults_passes_through_relaying_to_ended() -> None:
    state_machine = handing_over()
    assert not state_machine.decided and not state_machine.owns
    state_machine.on_ownership_taken()
    assert state_machine.state is HandoverState.RELAYING and state_machine.decided and not state_machine.owns
    state_machine.on_relay_finished()
    assert state_machine.state is HandoverState.ENDED


@pytest.mark.parametrize("version", [VERSION + 1, None, "1", 0])
def test_a_request_of_another_version_is_declined(version: object) -> None:
    state_machine = HandoverStateMachine(VERSION)
    assert state_machine.on_request(version) is HandoverReply.CANNOT
    assert state_machine.state is HandoverState.SERVING


def test_a_second_successor_is_busy_until_the_first_has_taken_over() -> None:
    state_machine = handing_over()
    assert state_machine.on_request(VERSION) is HandoverReply.BUSY
    state_machine.on_no_answer()
    assert state_machine.on_request(VERSION) is HandoverReply.BUSY
    state_machine.on_ownership_taken()
    assert state_machine.on_request(VERSION) is HandoverReply.CANNOT


def test_without_an_answer_the_process_that_reacquires_the_lock_serves_again() -> None:
    state_machine = handing_over()
    state_machine.on_no_answer()
    assert state_machine.state is HandoverState.RECLAIMING and not state_machine.owns
    state_machine.on_lock_reacquired()
    assert state_machine.state.name == "SERVING" and state_machine.owns
    # Another successor may request a takeover.
    assert state_machine.on_request(VERSION) is HandoverReply.HAND_OVER


def test_a_late_answer_is_accepted_until_the_lock_is_reacquired() -> None:
    state_machine = handing_over()
    state_machine.on_no_answer()
    state_machine.on_ownership_taken()
    assert state_machine.state is HandoverState.RELAYING
    state_machine.on_lock_reacquired()  # this comes too late and is ignored
    assert state_machine.state is HandoverState.RELAYING


def test_a_lock_lost_to_another_process_ends_this_process() -> None:
    state_machine = handing_over()
    state_machine.on_no_answer()
    state_machine.on_lock_lost()
    assert state_machine.state is HandoverState.ENDED


def test_sigterm_starts_a_shutdown_only_in_the_serving_state() -> None:
    serving = HandoverStateMachine(VERSION)
    assert serving.on_stop() and serving.state is HandoverState.SHUTTING_DOWN
    assert serving.on_request(VERSION) is HandoverReply.CANNOT
    relaying = handing_over()
    relaying.on_ownership_taken()
    assert not relaying.on_stop() and relaying.state is HandoverState.RELAYING
    undecided = handing_over()
    assert not undecided.on_stop() and undecided.state is HandoverState.HANDING_OVER
