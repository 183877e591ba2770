"""The answers of the control socket: the commands can read what the gateway's parts write."""

from __future__ import annotations

import msgspec
import pytest

from emberlatch.fleet.quota_shares import QuotaShare
from emberlatch.fleet.status import FleetStatus, PeerStatus
from emberlatch.standalone.answers import FleetAnswer, LeaveAnswer, ReloadAnswer, decode, encode

RELOAD = {
    "set": "3f2a",
    "taken": 1796119200.5,
    "endpoints": 5,
    "waiting": {"b.csv": "unstable"},
    "problems": ["a.csv:3: wing: 'north' is not known"],
    "changed": False,
}


def test_a_fleet_status_is_decoded_into_the_fields_of_its_answer() -> None:
    peers = {
        "b": PeerStatus("alive", 4, 2.5, 0.1, is_reached_directly=True),
        "c": PeerStatus("suspect", 0, 7.0, None, is_reached_directly=False),
    }
    share = QuotaShare(3, 0.25, frozenset({"payout", "note"}))
    status = FleetStatus("f", "a", 7, 3, 2, "no majority", 12.5, share, ("b",), 6, peers)
    view = decode(status.to_json(), FleetAnswer)
    assert (view.fleet_name, view.member_name, view.generation) == ("f", "a", 7)
    assert (view.fleet_size, view.present_count) == (3, 2)
    assert (view.cut_reason, view.cut_age_s) == ("no majority", 12.5)
    assert (view.quota_share, view.closed_classes) == (0.25, ["note", "payout"])
    assert view.connected_names == ["b"]
    for name, peer in peers.items():
        member = view.members[name]
        assert (member.state, member.generation, member.state_age_s) == (
            peer.state,
            peer.generation,
            peer.state_age_s,
        )
        assert member.last_frame_age_s == peer.last_frame_age_s
        assert member.is_reached_directly is peer.is_reached_directly


def test_reload_and_leave_answers_have_the_keys_that_scripts_read() -> None:
    assert encode(decode(dict(RELOAD), ReloadAnswer)) == RELOAD
    assert encode(LeaveAnswer()) == {"leaving": True}


def test_decoding_an_answer_with_a_missing_key_raises_an_error_that_names_it() -> None:
    with pytest.raises(msgspec.ValidationError, match="endpoints"):
        decode({key: value for key, value in RELOAD.items() if key != "endpoints"}, ReloadAnswer)
