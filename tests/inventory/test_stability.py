"""While a file is being written, the old inventory or the complete new one is in use, never a partial one."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import pytest

from emberlatch.inventory import Inventory, RefusedError, Vocabulary
from emberlatch.inventory.file_set import InventoryFiles
from emberlatch.inventory.reader import scan
from emberlatch.inventory.stability import FORCED_QUIET_PERIOD_S, FileSignature, StabilityTracker
from tests.inventory.generated import VOCABULARY, generated_inventory

QUIET_PERIOD_S = 2.0
A = FileSignature(1, 1, 10, 100, 100)
B = FileSignature(1, 1, 12, 200, 200)  # the file was written in place
RENAMED = FileSignature(1, 2, 12, 200, 201)
CREATED = FileSignature(1, 2, 12, 200, 200)  # the file is new, and may still be incomplete
EMPTY = FileSignature(1, 2, 0, 200, 201)


def started(quiet_period_s: float = QUIET_PERIOD_S) -> StabilityTracker:
    tracker = StabilityTracker(quiet_period_s)
    tracker.mark_read("a", A)
    return tracker


def test_an_unchanged_file_is_not_read() -> None:
    result = started().scan(0.0, {"a": A})
    assert (result.to_read, result.deleted, result.waiting) == ([], [], {})


def test_a_renamed_file_is_read_at_once() -> None:
    assert started().scan(0.0, {"a": RENAMED}).to_read == ["a"]
    assert started().scan(0.0, {"a": A, "b": RENAMED}).to_read == ["b"]


@pytest.mark.parametrize(
    ("signature", "why"), [(B, "changing"), (CREATED, "changing"), (EMPTY, "empty"), (None, "missing")]
)
def test_a_change_other_than_a_rename_is_read_after_the_quiet_period(
    signature: FileSignature | None, why: str
) -> None:
    tracker = started()
    seen = {"a": signature} if signature is not None else {}
    assert tracker.scan(5.0, seen).waiting == {"a": why}
    assert tracker.scan(6.9, seen).waiting == {"a": why}
    result = tracker.scan(7.0, seen)
    assert (result.deleted if signature is None else result.to_read) == ["a"]


def test_each_change_restarts_the_quiet_period() -> None:
    tracker = started()
    for n in range(10):
        assert tracker.scan(1.5 * n, {"a": FileSignature(1, 1, n, n, n)}).waiting
    assert tracker.scan(15.0, {"a": FileSignature(1, 1, 9, 9, 9)}).waiting
    assert tracker.scan(15.6, {"a": FileSignature(1, 1, 9, 9, 9)}).to_read == ["a"]


def test_a_file_restored_within_the_quiet_period_is_not_reported_as_deleted() -> None:
    tracker = started()
    assert tracker.scan(0.0, {}).waiting == {"a": "missing"}
    result = tracker.scan(1.0, {"a": A})
    assert not result.waiting and not result.deleted
    assert tracker.scan(2.5, {}).waiting == {"a": "missing"}


def test_a_forced_scan_uses_the_shorter_quiet_period() -> None:
    tracker = started()
    assert tracker.scan(0.0, {"a": B}, forced=True).waiting
    assert tracker.scan(FORCED_QUIET_PERIOD_S, {"a": B}, forced=True).to_read == ["a"]


def test_a_file_deleted_before_it_was_read_is_no_longer_tracked() -> None:
    tracker = started()
    assert tracker.scan(0.0, {"a": A, "b": CREATED}).waiting == {"b": "changing"}
    assert tracker.scan(9.0, {"a": A}).waiting == {}
    assert not tracker._pending


class Folder:
    """A folder with one inventory file, scanned on the test's own clock."""

    def __init__(self, path: Path, text: str, vocabulary: Vocabulary = VOCABULARY) -> None:
        self.path, self.now = path / "a.csv", 1000.0
        self.path.write_text(text)
        self.files = InventoryFiles([path], QUIET_PERIOD_S, vocabulary)
        self.files.read_first(self.now, 0.0, accept_recent=True)
        self.inventory = self.files.assemble()

    def scan(self, after: float) -> Inventory:
        """Scan `after` seconds later; return the inventory in use."""
        self.now += after
        if self.files.update(self.now, forced=False):
            with contextlib.suppress(RefusedError):  # the previous inventory stays in use
                self.inventory = self.files.assemble()
        return self.inventory


def texts() -> tuple[str, str]:
    """Return the text of fifty rows, and the text after some were changed and the last five removed."""
    old = generated_inventory(50, 1)
    old.files = {"a.csv": old.files.pop("f00.yaml")}
    new = old.copy()
    for row in new.files["a.csv"][10:40:3]:
        row.cells.update(limit="9", tags="moved", wing="west-wing")
    del new.files["a.csv"][45:]
    return old.text("a.csv"), new.text("a.csv")


@pytest.mark.parametrize("how", ["in place", "anew"])
def test_a_save_cut_at_any_byte_keeps_the_complete_inventory(memory_path: Path, how: str) -> None:
    before, after = texts()
    data = after.encode()
    folder = Folder(memory_path, before)
    old = folder.inventory
    folder.path.write_bytes(data)
    folder.scan(0.0)
    new = folder.scan(QUIET_PERIOD_S)
    assert new != old and len(new) == 45
    descriptor = os.open(folder.path, os.O_WRONLY)
    for cut in range(len(data)):
        if how == "anew":  # some editors remove the file and write another
            folder.path.unlink()
            os.close(descriptor)
            descriptor = os.open(folder.path, os.O_WRONLY | os.O_CREAT)
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, data[:cut], 0)
        assert folder.scan(0.5) == new, cut
        assert folder.scan(QUIET_PERIOD_S - 0.6) == new, cut
    os.pwrite(descriptor, data, 0)
    os.close(descriptor)
    folder.scan(0.5)
    assert folder.scan(QUIET_PERIOD_S) == new


def test_a_stable_half_file_is_rejected_if_it_ends_within_a_record(tmp_path: Path) -> None:
    before, after = texts()
    folder = Folder(tmp_path, before)
    old = folder.inventory
    cut = after.index("ep-20,") + 3
    folder.path.write_text(after[:cut])
    folder.scan(0.0)
    assert folder.scan(QUIET_PERIOD_S) == old
    folder.path.write_text(after)
    folder.scan(0.0)
    assert len(folder.scan(QUIET_PERIOD_S)) == 45


def test_a_renamed_file_is_in_use_after_the_next_scan(tmp_path: Path) -> None:
    before, after = texts()
    folder = Folder(tmp_path, before)
    new = tmp_path / ".a.csv.new"
    new.write_text(after)
    os.utime(new, (1, 1))
    new.rename(folder.path)
    assert len(folder.scan(0.0)) == 45


def test_a_deleted_file_keeps_its_endpoints_until_the_quiet_period_ends(tmp_path: Path) -> None:
    before, _ = texts()
    folder = Folder(tmp_path, before)
    other = tmp_path / "b.csv"
    other.write_text("id,address,partner,kind,wing\nz1,10.9.9.9:80,zed,rural-bank,east-wing\n")
    folder.scan(0.0)
    assert len(folder.scan(QUIET_PERIOD_S)) == 51
    other.unlink()
    assert len(folder.scan(0.1)) == 51 and folder.files.waiting == {str(other): "missing"}
    assert len(folder.scan(QUIET_PERIOD_S)) == 50


def test_hidden_files_backups_and_other_extensions_are_ignored(tmp_path: Path) -> None:
    for name in (".a.csv", "#a.csv#", "a.csv~", "a.txt", "a.csv.swp"):
        (tmp_path / name).write_text("x")
    (tmp_path / ".git").mkdir()
    (tmp_path / ".git" / "a.csv").write_text("x")
    (tmp_path / "sub").mkdir()
    (tmp_path / "sub" / "A.YAML").write_text("x")
    assert [Path(name).name for name in scan([tmp_path])] == ["A.YAML"]
