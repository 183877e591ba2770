"""Every order of what can befall a message over three stores, and the operator's word on three disks; see
`orders` and `versions`."""

from __future__ import annotations

from collections.abc import Callable

from ward import test

from emberlatch.cluster.config_store import ConfigStore
from emberlatch.cluster.message_store import Record, State
from tests.cluster import support, versions
from tests.cluster.orders import explore


@test("no order of steps over three stores breaks a rule, up to fourteen of them")
def _() -> None:
    count, broken = explore(14)
    assert count > 10_000 and not broken, f"{count} {sorted(broken)}"


def planted(name: str, bug: Callable[..., bool]) -> set[str]:
    sound = getattr(Record, name)
    setattr(Record, name, bug)
    try:
        return explore(9)[1]
    finally:
        setattr(Record, name, sound)


@test(
    "merging that is wrong is caught: ends that are undone, voids that beat later takes, epochs passed over"
)
def _() -> None:
    def last_wins(self: Record, state: State, seal: str, epoch: int, holder: str, attempts: int) -> bool:
        self.state, self.epoch, self.holder = state, epoch, holder
        return True

    def void_sticks(self: Record, state: State, seal: str, epoch: int, holder: str, attempts: int) -> bool:
        if (int(state), epoch, holder) > (int(self.state), self.epoch, self.holder):
            self.state, self.epoch, self.holder = state, epoch, holder
        return True

    def first_wins(self: Record, state: State, seal: str, epoch: int, holder: str, attempts: int) -> bool:
        return False

    for bug in (last_wins, void_sticks, first_wins):
        assert planted("merge", bug), bug.__name__


@test("a second take that does not ask the first is caught")
def _() -> None:
    assert "TWICE" in explore(10, claims=False)[1]


@test("no order of steps over three disks and two operators loses an acknowledged version or goes back")
def _() -> None:
    count, broken = versions.explore(6)
    assert count > 10_000 and not broken, f"{count} {sorted(broken)}"


@test("a version in force on one disk, and a disk that takes an older version, are caught")
def _() -> None:
    def hasty(self: ConfigStore) -> None:
        if self.held is not None and self._held > self._force:
            self.force, self._force = self.held, self._held

    async def latest(self: ConfigStore, raw: bytes, ours: bool = False) -> None:
        self.held, self._held = versions.parsed(raw), versions.rank(raw)
        self._have[self._me] = self._held
        assert self._files is not None
        self._files.write(self._held[0], raw)
        self._settle()

    def forgetful(self: ConfigStore) -> None:
        self.force, self._force = self.held, self._held

    for name, bug in (("_settle", hasty), ("keep", latest), ("_settle", forgetful)):
        with support.planted(ConfigStore, name, bug):
            assert versions.explore(6)[1], bug.__name__
