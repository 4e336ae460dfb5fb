"""Tests of the version store, with crashes of process and machine at each step of storing a version."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from client_proxy.config.fleet import seal
from client_proxy.config.version_store import Folder, Version, VersionStore
from client_proxy.toml_table import TomlError
from tests.config.test_fleet import server_tables


def version_content(number: int) -> bytes:
    return seal(server_tables(1 + number % 5), number)


class ProcessKilledError(Exception):
    """The process was killed."""


class SimulatedDisk:
    """A folder on a machine that may crash: unsynced content is then lost, truncated or complete.

    Args:
        crash_at: Number of the call at which the machine crashes; -1: never.
        lost: How much of unsynced content a crash loses: `all`, `half` or `nothing`.
    """

    def __init__(self, crash_at: int = -1, lost: str = "all") -> None:
        self.synced: dict[str, bytes] = {}  # names that survive a crash, and their content
        self.current: dict[str, bytes] = {}
        self.synced_content: dict[str, bytes] = {}  # content that was synced, by its current name
        self.crash_at, self.lost, self.calls = crash_at, lost, 0
        self.is_full = False

    def _count_call(self) -> None:
        self.calls += 1
        if self.calls == self.crash_at:
            raise ProcessKilledError

    def names(self) -> list[str]:
        self._count_call()
        return list(self.current)

    def read(self, name: str) -> bytes:
        self._count_call()
        if name not in self.current:
            raise FileNotFoundError(name)
        return self.current[name]

    def write(self, name: str, content: bytes) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "disk full")
        self.current[name] = content[: len(content) // 2]
        self._count_call()  # a crash in the middle of the write
        self.current[name] = content
        self._count_call()  # a crash before the sync
        self.synced_content[name] = content

    def rename(self, old: str, new: str) -> None:
        self._count_call()
        self.current[new] = self.current.pop(old)
        if old in self.synced_content:
            self.synced_content[new] = self.synced_content.pop(old)
        self._count_call()

    def sync(self) -> None:
        self._count_call()
        self.synced = {name: self.synced_content.get(name, b"") for name in self.current}

    def remove(self, name: str) -> None:
        self._count_call()
        if name not in self.current:
            raise FileNotFoundError(name)
        del self.current[name]

    def after_crash(self) -> SimulatedDisk:
        """Return the disk as it is after the machine has started again."""
        restarted = SimulatedDisk()
        names = self.current if self.lost == "nothing" else self.synced
        for name in names:
            complete = self.synced_content.get(name, self.current.get(name, self.synced.get(name, b"")))
            unsynced = {
                "all": b"",
                "half": complete[: len(complete) // 2],
                "nothing": self.current.get(name, complete),
            }[self.lost]
            restarted.current[name] = (
                complete if name in self.synced_content or name in self.synced else unsynced
            )
        restarted.synced = dict(restarted.current)
        restarted.synced_content = dict(restarted.current)
        return restarted


@pytest.mark.parametrize("lost", ["all", "half", "nothing"])
def test_a_crash_at_any_call_loses_no_stored_version(lost: str) -> None:
    crashes = 0
    for crash_at in range(1, 60):
        disk = SimulatedDisk(lost=lost)
        store = VersionStore(disk, limit=3, owner=1)
        for number in (1, 2, 3, 4):
            store.save(version_content(number))
        disk.crash_at = disk.calls + crash_at
        try:
            store.save(version_content(5))
        except ProcessKilledError:
            crashes += 1
        restarted = VersionStore(disk.after_crash(), limit=3, owner=2)
        good = restarted.last_good()
        assert good is not None and good[1].content in (version_content(4), version_content(5)), crash_at
        # The store can be used again after the crash.
        restarted.save(version_content(6))
        good = restarted.last_good()
        assert good is not None
        assert good[1].content == version_content(6)
    assert crashes >= 10


def test_damaged_versions_are_reported_and_skipped() -> None:
    disk = SimulatedDisk()
    store = VersionStore(disk, owner=1)
    for number in (1, 2, 3):
        store.save(version_content(number))
    newest = store.versions()[-1]
    disk.current[newest.name] = disk.current[newest.name][:-5]
    good = store.last_good()
    assert good is not None
    assert good[1].content == version_content(2)
    assert store.faults() == [
        f"{newest.name}: damaged: the content does not match the digest in the file name"
    ]
    with pytest.raises(TomlError):
        store.read(newest)


def test_the_last_good_version_is_kept_whatever_its_age() -> None:
    class TruncatingDisk(SimulatedDisk):
        """Truncates all files but the first, without an error."""

        def write(self, name: str, content: bytes) -> None:
            super().write(name, content[:-3] if self.current else content)

    store = VersionStore(TruncatingDisk(), limit=3, owner=1)
    for number in range(1, 40):
        store.save(version_content(number))
    good = store.last_good()
    assert good is not None
    assert good[1].content == version_content(1)
    assert len(store.versions()) <= 4


def test_the_number_of_versions_is_bounded_and_equal_content_is_stored_once(tmp_path: Path) -> None:
    store = VersionStore(Folder(tmp_path / "kept"), limit=5)
    for number in range(1, 60):
        store.save(version_content(number))
        store.save(version_content(number))
    versions = store.versions()
    assert [version.number for version in versions] == [55, 56, 57, 58, 59]
    assert len(list((tmp_path / "kept").iterdir())) == 5


def test_two_instances_that_share_a_folder_find_the_versions_of_both(tmp_path: Path) -> None:
    first, second = (VersionStore(Folder(tmp_path), owner=owner) for owner in (1, 2))
    first.save(version_content(1))
    assert second.save(version_content(1)) == Version(1, first.versions()[0].digest)
    second.save(version_content(2))
    good = first.last_good()
    assert good is not None
    assert good[1].content == version_content(2)
    # Each instance removes only its own old drafts.
    (tmp_path / ".draft-2-9").write_bytes(b"x")
    (tmp_path / ".draft-1-9").write_bytes(b"x")
    first.save(version_content(3))
    assert (tmp_path / ".draft-2-9").exists()
    assert not (tmp_path / ".draft-1-9").exists()


def test_a_full_disk_leaves_stored_versions_unchanged() -> None:
    disk = SimulatedDisk()
    store = VersionStore(disk, owner=1)
    store.save(version_content(1))
    disk.is_full = True
    with pytest.raises(OSError, match="disk full"):
        store.save(version_content(2))
    good = store.last_good()
    assert good is not None
    assert good[1].content == version_content(1)


def test_a_missing_folder_is_reported_as_a_fault(tmp_path: Path) -> None:
    store = VersionStore(Folder(tmp_path / "kept"))
    store.save(version_content(1))
    for file in (tmp_path / "kept").iterdir():
        file.unlink()
    (tmp_path / "kept").rmdir()
    assert store.last_good() is None
    assert store.faults()
    with pytest.raises(OSError):
        store.save(version_content(2))
