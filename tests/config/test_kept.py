"""Kept versions over crashes: the process and the machine die at every step of keeping one."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from client_proxy.config.fleet import seal
from client_proxy.config.version_store import Folder, Version, VersionStore
from client_proxy.toml_table import TomlError
from tests.config.test_fleet import text


def version(number: int) -> bytes:
    return seal(text(1 + number % 5), number)


class Dead(Exception):
    """The process was killed."""


class Disk:
    """A folder whose machine may die: what was not synced may be there, half there, or not.

    `dies_at`: the number of the call at which it dies. `lost`: what becomes of unsynced content then."""

    def __init__(self, dies_at: int = -1, lost: str = "all") -> None:
        self.synced: dict[str, bytes] = {}  # names that outlive a crash, and their content
        self.now: dict[str, bytes] = {}
        self.safe: dict[str, bytes] = {}  # content that was synced, by name as it is now
        self.dies_at, self.lost, self.calls = dies_at, lost, 0
        self.full = False

    def _call(self) -> None:
        self.calls += 1
        if self.calls == self.dies_at:
            raise Dead

    def names(self) -> list[str]:
        self._call()
        return list(self.now)

    def read(self, name: str) -> bytes:
        self._call()
        if name not in self.now:
            raise FileNotFoundError(name)
        return self.now[name]

    def write(self, name: str, content: bytes) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "disk full")
        self.now[name] = content[: len(content) // 2]
        self._call()  # dies in the middle
        self.now[name] = content
        self._call()  # dies before the sync
        self.safe[name] = content

    def rename(self, old: str, new: str) -> None:
        self._call()
        self.now[new] = self.now.pop(old)
        if old in self.safe:
            self.safe[new] = self.safe.pop(old)
        self._call()

    def sync(self) -> None:
        self._call()
        self.synced = {name: self.safe.get(name, b"") for name in self.now}

    def remove(self, name: str) -> None:
        self._call()
        if name not in self.now:
            raise FileNotFoundError(name)
        del self.now[name]

    def crashed(self) -> Disk:
        """The same disk after the machine came up again."""
        after = Disk()
        names = self.now if self.lost == "nothing" else self.synced
        for name in names:
            whole = self.safe.get(name, self.now.get(name, self.synced.get(name, b"")))
            torn = {"all": b"", "half": whole[: len(whole) // 2], "nothing": self.now.get(name, whole)}[
                self.lost
            ]
            after.now[name] = whole if name in self.safe or name in self.synced else torn
        after.synced = dict(after.now)
        after.safe = dict(after.now)
        return after


@pytest.mark.parametrize("lost", ["all", "half", "nothing"])
def test_a_crash_at_every_call_loses_nothing_that_was_kept(lost: str) -> None:
    deaths = 0
    for dies_at in range(1, 60):
        disk = Disk(lost=lost)
        kept = VersionStore(disk, limit=3, owner=1)
        for number in (1, 2, 3, 4):
            kept.save(version(number))
        disk.dies_at = disk.calls + dies_at
        try:
            kept.save(version(5))
        except Dead:
            deaths += 1
        after = VersionStore(disk.crashed(), limit=3, owner=2)
        good = after.last_good()
        assert good is not None and good[1].content in (version(4), version(5)), dies_at
        # And it goes on from there.
        after.save(version(6))
        good = after.last_good()
        assert good is not None
        assert good[1].content == version(6)
    assert deaths >= 10


def test_torn_versions_are_told_and_passed_over() -> None:
    disk = Disk()
    kept = VersionStore(disk, owner=1)
    for number in (1, 2, 3):
        kept.save(version(number))
    newest = kept.versions()[-1]
    disk.now[newest.name] = disk.now[newest.name][:-5]
    good = kept.last_good()
    assert good is not None
    assert good[1].content == version(2)
    assert kept.faults() == [f"{newest.name}: damaged: the content does not match the digest in the file name"]
    with pytest.raises(TomlError):
        kept.read(newest)


def test_the_last_good_one_stays_whatever_its_age() -> None:
    class Rotten(Disk):
        """It says that it wrote, and did not."""

        def write(self, name: str, content: bytes) -> None:
            super().write(name, content[:-3] if self.now else content)

    kept = VersionStore(Rotten(), limit=3, owner=1)
    for number in range(1, 40):
        kept.save(version(number))
    good = kept.last_good()
    assert good is not None
    assert good[1].content == version(1)
    assert len(kept.versions()) <= 4


def test_their_number_is_bounded_and_the_same_one_is_kept_once(tmp_path: Path) -> None:
    kept = VersionStore(Folder(tmp_path / "kept"), limit=5)
    for number in range(1, 60):
        kept.save(version(number))
        kept.save(version(number))
    versions = kept.versions()
    assert [v.number for v in versions] == [55, 56, 57, 58, 59]
    assert len(list((tmp_path / "kept").iterdir())) == 5


def test_two_instances_on_one_folder_find_both(tmp_path: Path) -> None:
    one, other = (VersionStore(Folder(tmp_path), owner=owner) for owner in (1, 2))
    one.save(version(1))
    assert other.save(version(1)) == Version(1, one.versions()[0].digest)
    other.save(version(2))
    good = one.last_good()
    assert good is not None
    assert good[1].content == version(2)
    # A draft of another is nobody else's to remove.
    (tmp_path / ".draft-2-9").write_bytes(b"x")
    (tmp_path / ".draft-1-9").write_bytes(b"x")
    one.save(version(3))
    assert (tmp_path / ".draft-2-9").exists()
    assert not (tmp_path / ".draft-1-9").exists()


def test_a_full_disk_keeps_what_was_kept() -> None:
    disk = Disk()
    kept = VersionStore(disk, owner=1)
    kept.save(version(1))
    disk.full = True
    with pytest.raises(OSError, match="disk full"):
        kept.save(version(2))
    good = kept.last_good()
    assert good is not None
    assert good[1].content == version(1)


def test_a_folder_that_is_gone_is_no_end(tmp_path: Path) -> None:
    kept = VersionStore(Folder(tmp_path / "kept"))
    kept.save(version(1))
    for file in (tmp_path / "kept").iterdir():
        file.unlink()
    (tmp_path / "kept").rmdir()
    assert kept.last_good() is None
    assert kept.faults()
    with pytest.raises(OSError):
        kept.save(version(2))
