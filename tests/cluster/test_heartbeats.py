"""A heartbeat is encoded once and its payload reused until its contents change."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from ward import each, test

from emberlatch.cluster.control_plane import REVISION_WITHHELD
from emberlatch.cluster.membership.messages import ControlReport, Heartbeat
from emberlatch.cluster.message_store import DiskState, Phase
from emberlatch.cluster.node.heartbeats import HeartbeatService


class ControlPlaneStub:
    """The part of a store's control plane that heartbeats use."""

    def __init__(self) -> None:
        self.current = ControlReport(7, 2, "c", "disk")
        self.majority = True

    def report(self) -> ControlReport:
        return self.current

    def has_confirmed_majority(self) -> bool:
        return self.majority


def store_parts() -> Any:
    """Stubs of the components whose state a store's heartbeat reports."""
    local_store = SimpleNamespace(disk_state=DiskState.OK)
    message_store = SimpleNamespace(phase=Phase.SERVING, local_store=local_store)
    return SimpleNamespace(message_store=message_store, control=ControlPlaneStub())


def service(store: Any) -> tuple[HeartbeatService, Any, Any]:
    """Return a heartbeat service on stubs, the stub of its configuration and the digest of its roster."""
    digest = SimpleNamespace(value=11)
    membership: Any = SimpleNamespace(roster=SimpleNamespace(digest=lambda: digest.value))
    active_configuration: Any = SimpleNamespace(revision=3)
    settings: Any = SimpleNamespace(node="n1", is_store=store is not None)
    unused: Any = None
    return (
        HeartbeatService(settings, unused, membership, unused, active_configuration, store),
        active_configuration,
        digest,
    )


def changes(name: str) -> Callable[[Any, Any], None]:
    """Return a function that changes the configuration's revision or the roster's digest."""
    if name == "revision":
        return lambda active_configuration, _: setattr(active_configuration, "revision", 4)
    return lambda _, digest: setattr(digest, "value", 12)


@test("a forwarder reuses the payload of its heartbeat until its {name} changes")
def _(name: str = each("revision", "digest")) -> None:
    heartbeats, active_configuration, digest = service(None)
    first = heartbeats.heartbeat()
    assert heartbeats.heartbeat() is first
    changes(name)(active_configuration, digest)
    second = heartbeats.heartbeat()
    assert second != first
    assert second == Heartbeat(None, active_configuration.revision, digest.value).to_wire()


@test("a store reuses the payload of its heartbeat until its {name} changes")
def _(name: str = each("phase", "disk", "report", "majority", "revision", "digest")) -> None:
    store = store_parts()
    heartbeats, active_configuration, digest = service(store)
    first = heartbeats.heartbeat()
    assert heartbeats.heartbeat() is first
    match name:
        case "phase":
            store.message_store.phase = Phase.CLOSING
        case "disk":
            store.message_store.local_store.disk_state = next(
                state for state in DiskState if state is not DiskState.OK
            )
        case "report":
            store.control.current = ControlReport(8, 2, "c", "disk")
        case "majority":
            store.control.majority = False
        case _:
            changes(name)(active_configuration, digest)
    second = heartbeats.heartbeat()
    assert second != first
    assert second == heartbeats.current().to_wire()
    revision = active_configuration.revision if store.control.majority else REVISION_WITHHELD
    expected = Heartbeat(
        store.message_store.phase.value,
        revision,
        digest.value,
        store.message_store.local_store.disk_state,
        store.control.current,
    )
    assert second == expected.to_wire()
