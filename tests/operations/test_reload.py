"""Reload at SIGHUP: a file is applied completely or not at all, and messages keep their terms."""

from __future__ import annotations

import copy
import json
import math
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import Effect, Scope
from emberlatch.engine.message_terms import decode_terms, encode_terms
from emberlatch.operations import missing_key
from emberlatch.platform import ConfigError, PlatformConfig, PlatformForwarder, read_config
from emberlatch.store import Entry, Folder, Journal, UnknownOutcome
from tests.core.harness import CATEGORIES, make_settings
from tests.forwarders import forwarder_with_operators
from tests.operators import read_metrics, until
from tests.peers import SETTINGS, accept, config, message_headers, never_respond, request, run


def changed(document: dict[str, Any], **settings: Any) -> dict[str, Any]:
    return document | {"settings": document["settings"] | settings}


def with_classes(document: dict[str, Any], *classes: dict[str, Any]) -> dict[str, Any]:
    return changed(document, categories=list(classes))


def load_config(folder: Path, document: dict[str, Any] | str) -> PlatformConfig:
    """Write a document to a file, and read the file as SIGHUP does."""
    text = document if isinstance(document, str) else json.dumps(document)
    (folder / "config.json").write_text(text)
    return read_config({"EDGE_CONFIG": str(folder / "config.json"), "EDGE_STATE": str(folder)})


GOOD = config("127.0.0.1:1", {"revision": 1, "complete": True, "members": []}, 1)
PAYOUT, STATUS, ORDER = SETTINGS["categories"]


def find_section(document: dict[str, Any], path: str) -> tuple[Any, str]:
    """Return the section that contains the last key of a path, and that key."""
    *steps, last = path.split(".")
    for step in steps:
        document = document[int(step)] if isinstance(document, list) else document[step]
    return document, last


@pytest.mark.parametrize(
    "path",
    [
        "settings",
        "limits",
        "limits.disk_mb",
        "discovery",
        "known",
        "settings.allowed",
        "settings.allowed.max-attempts",
        "settings.categories",
        "settings.categories.1.deadline",
        "settings.categories.1.idempotency",
        "settings.tenants.0.name",
    ],
)
@pytest.mark.parametrize("how", ["gone", "null"])
def test_a_file_that_lacks_a_key_is_rejected(tmp_path: Path, path: str, how: str) -> None:
    document = copy.deepcopy(GOOD)
    section, last = find_section(document, path)
    section[last] = None
    if how == "gone":
        del section[last]
    name = path.rpartition(".")[2]
    try:
        new = load_config(tmp_path, document)
    except ConfigError as error:
        reason = str(error)
    else:
        reason = missing_key(GOOD, new.document) or ""
        assert reason.endswith(name)
    assert name in reason


@pytest.mark.parametrize(
    "path",
    [
        "settings.categories.0.deadline",
        "settings.categories.0.target",
        "settings.allowed.max-attempts",
    ],
)
@pytest.mark.parametrize("value", ["soon", "24", "", 0, -1, True, False, [], {}, math.nan, math.inf, [24]])
def test_a_value_that_is_not_a_positive_number_is_rejected_with_its_key(
    tmp_path: Path, path: str, value: Any
) -> None:
    document = copy.deepcopy(GOOD)
    section, last = find_section(document, path)
    section[last] = value
    with pytest.raises(ConfigError, match=last):
        load_config(tmp_path, document)


def test_a_file_truncated_at_any_byte_is_rejected(memory_path: Path) -> None:
    text = json.dumps(GOOD)
    for end in range(len(text)):
        with pytest.raises(ConfigError):
            load_config(memory_path, text[:end])
    assert missing_key(GOOD, load_config(memory_path, text).document) is None


def test_a_class_may_lack_a_key_that_not_all_current_classes_have(tmp_path: Path) -> None:
    new = load_config(tmp_path, with_classes(GOOD, STATUS, ORDER, ORDER | {"name": "order-2"}))
    assert missing_key(GOOD, new.document) is None


def test_encoded_terms_decode_to_the_same_terms() -> None:
    for category in CATEGORIES:
        terms = api.Terms(category, 3)
        assert decode_terms(encode_terms(terms)) == terms


def test_after_its_class_is_removed_a_message_in_flight_is_still_completed_and_counted(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path, never_respond) as (port, operators, target, under_test):
            initial = under_test._document
            assert isinstance(initial, dict)

            def reload(document: dict[str, Any]) -> None:
                new = load_config(tmp_path / "state", document)
                under_test.check(new)
                under_test.reload(new)

            async def submit(name: str, category: str, **headers: str) -> int:
                request_headers = message_headers(name, X_Priority_Class=category, **headers)
                return (await request(port, "POST", "/api", request_headers, b"x"))[0]

            assert await submit("m0", "payout-2", Idempotency_Key="k") == 400
            reload(with_classes(initial, PAYOUT, STATUS, PAYOUT | {"name": "payout-2"}))
            assert await submit("m1", "payout-2", Idempotency_Key="k", X_Timeout_Ms="900") == 202
            await target.next()  # m1 is in flight, and the target does not respond
            reload(with_classes(initial, STATUS))
            assert await submit("m2", "payout-2", Idempotency_Key="k") == 400
            # m1 is still in flight after its class was removed.
            metrics = await read_metrics(operators)
            assert metrics["concurrent"] == 1 and metrics["reload_success"] == 2
            metrics = await until(operators, {"concurrent": 0, "error.payout-2": 1})
            assert metrics["success.status-update"] == 0
            target.handler = accept
            assert await submit("m3", "status-update") == 202
            await until(operators, {"success.status-update": 1})

    run(test)


def test_a_rejected_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (port, _, _, under_test):
            initial = under_test._document
            assert isinstance(initial, dict)
            bad = with_classes(initial, STATUS)
            del bad["limits"]
            with pytest.raises(ConfigError, match="limits"):
                load_config(tmp_path / "state", bad)
            lacks = changed(with_classes(initial, STATUS), rules={})
            with pytest.raises(ConfigError, match=r"settings\.rules"):
                under_test.check(load_config(tmp_path / "state", lacks))
            request_headers = message_headers("m1", X_Priority_Class="payout", Idempotency_Key="k")
            assert (await request(port, "POST", "/api", request_headers, b"x"))[0] == 202

    run(test)


LISTED = api.DirectoryUpdate(api.ListKind.CACHED, 1, (api.Entry(b"e", 0), api.Entry(b"w", 0, zone=1)))


def sent(actions: list[api.Action]) -> list[api.Target]:
    return [action.target for action in actions if isinstance(action, api.Send)]


def test_a_message_keeps_the_effect_under_which_it_was_submitted() -> None:
    """The class is keyed within a zone, then becomes safe. Retries of the message stay in that zone."""
    settings = make_settings(separate=True)
    safe = tuple(replace(c, effect=Effect.SAFE, scope=Scope.ALL) for c in CATEGORIES)
    for seed in range(20):
        forwarder = Forwarder(settings, seed)
        (first,) = sent(forwarder.handle(0.0, [LISTED, api.Arrival(1, 2, 0, 6.0)]))
        lost = api.Outcome(1, 0, first, api.Result.RESET, 0.1)
        new = api.SettingsChanged(replace(settings, categories=safe))
        actions = forwarder.handle(0.1, [new, lost, api.Arrival(2, 2, 0, 6.0)])
        retries = [a.target for a in actions if isinstance(a, api.Send) and a.ref == 1]
        assert retries in ([], [first])


def test_a_message_keeps_the_number_of_attempts_under_which_it_was_submitted() -> None:
    settings = make_settings(separate=True)
    forwarder = Forwarder(settings, 1)
    (target,) = sent(forwarder.handle(0.0, [LISTED, api.Arrival(1, 0, 0, 4.0)]))
    fewer = api.SettingsChanged(replace(settings, max_attempts=1))
    lost = api.Outcome(1, 0, target, api.Result.RESET, 0.1)
    assert sent(forwarder.handle(0.1, [fewer, lost]))  # six attempts were allowed at the submission
    forwarder = Forwarder(settings, 1)
    (target,) = sent(forwarder.handle(0.2, [LISTED, fewer, api.Arrival(2, 0, 0, 4.0)]))
    actions = forwarder.handle(0.3, [api.Outcome(2, 0, target, api.Result.RESET, 0.1)])
    assert any(isinstance(a, api.Reject) and a.ref == 2 for a in actions)


def test_a_change_of_slots_keeps_the_count_of_slots_in_use() -> None:
    settings = make_settings(separate=True, slots=6)
    forwarder = Forwarder(settings, 1)
    (target,) = sent(forwarder.handle(0.0, [LISTED, api.Arrival(1, 0, 0, 4.0)]))
    forwarder.handle(0.1, [api.SettingsChanged(replace(settings, slots=2))])
    assert forwarder.free_slots == 1 and forwarder.bulkhead.unhealthy_pool_limit == 1
    forwarder.handle(0.2, [api.Outcome(1, 0, target, api.Result.OK, 0.1, is_final=True)])
    assert forwarder.free_slots == 2


def journal_bytes(folder: Path) -> bytes:
    """Return the contents of the only file of a journal."""
    return next(folder.iterdir()).read_bytes()


def entry(ref: int, terms: str) -> Entry:
    return Entry(
        ref,
        f"m{ref}",
        "k",
        "payout",
        "acme",
        7,
        1e9,
        b"x" * 200,
        1,
        [UnknownOutcome(0, "s", 0, 1.0)],
        terms=terms,
    )


def test_the_journal_stores_terms_once_per_segment_also_after_compaction(tmp_path: Path) -> None:
    store = Journal(Folder(tmp_path), 400_000)
    store.load()
    old, new = encode_terms(api.Terms(CATEGORIES[2], 6)), encode_terms(api.Terms(CATEGORIES[3], 2))
    kept = [entry(1, old), entry(2, new)]
    for each in kept:
        store.add(each)
    (path,) = tmp_path.iterdir()
    store.add(entry(3, old))
    assert path.read_bytes().count(b'"is":') == 2
    for ref in range(4, 3000):  # until the first segments have been compacted
        completed = entry(ref, new)
        store.add(completed)
        store.remove(completed)
    assert not path.exists()
    loaded = {e.ref: e for e in Journal(Folder(tmp_path), 400_000).load()}
    assert [loaded[e.ref] for e in kept] == kept


def test_a_class_removed_and_added_with_another_effect_does_not_change_old_messages(
    tmp_path: Path,
) -> None:
    """A message submitted as keyed is still keyed after a crash, although its class has become safe."""
    terms = api.Terms(CATEGORIES[2], 6)
    store = Journal(Folder(tmp_path), 3_000_000)
    store.load()
    store.add(entry(1, encode_terms(terms)))
    (found,) = Journal(Folder(tmp_path), 3_000_000).load()
    assert decode_terms(found.terms) == terms


def test_a_journal_of_an_earlier_version_without_terms_gets_those_of_the_current_classes(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        store = Journal(Folder(tmp_path), 3_000_000)
        store.load()
        store.add(entry(1, ""))
        store.close()
        assert b'"terms"' not in journal_bytes(tmp_path)
        document = load_config(tmp_path, GOOD)
        under_test = PlatformForwarder(document)
        (found,) = under_test.journal.load()
        terms = under_test.engine._settings.terms_of(found)
        assert terms is not None and (terms.category.name, terms.max_attempts) == ("payout", 6)
        under_test.tasks.cancel()

    run(test)
