"""Accepted versions, kept on disk so that a start with a bad or missing file goes on with the last good one.

A version is one file, `NUMBER-DIGEST.toml`: its content, under a number that rises and the digest of the
content. A file whose content has another digest is torn or damaged: it is reported and passed over. It is
written under a name of its own, synced, renamed, and the folder synced, in this order; so at any moment, and
after a crash at any of these steps, every file under such a name is complete or can be seen not to be, and
nothing that was kept is lost.

All disk access goes through `StorageFolder`, whose stand-in in the tests dies at every call in turn.
"""

from __future__ import annotations

import os
import re
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from client_proxy.config.fleet import MAX_BYTES, ServerList, digest_of, read_server_list
from client_proxy.toml_table import TomlError

_NAME = re.compile(r"^(\d{8})-([0-9a-f]{32})\.toml$")
_DRAFT = re.compile(r"^\.draft-(\d+)-")


class StorageFolder(Protocol):
    """One folder of files. All methods raise OSError."""

    def names(self) -> list[str]:
        """Return the names of its files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def write(self, name: str, content: bytes) -> None:
        """Write a new file, synced to the disk. Raises FileExistsError if it exists."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file in one step."""

    def sync(self) -> None:
        """Make what was renamed and removed so far outlive a crash."""

    def remove(self, name: str) -> None:
        """Remove a file."""


class Folder:
    """A folder on disk, made if it is not there."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Return the names of its files."""
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        """Return the content of a file, up to a byte more than a version may have."""
        with (self.path / name).open("rb") as file:
            return file.read(MAX_BYTES + 1)

    def write(self, name: str, content: bytes) -> None:
        """Write a new file, synced to the disk."""
        handle = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
        with os.fdopen(handle, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, old: str, new: str) -> None:
        """Rename a file in one step."""
        os.replace(self.path / old, self.path / new)

    def sync(self) -> None:
        """Sync the folder itself."""
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.path / name)


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """A version that is kept."""

    number: int
    digest: str

    @property
    def name(self) -> str:
        """The name of its file."""
        return f"{self.number:08d}-{self.digest}.toml"


class VersionStore:
    """The newest versions, up to a limit.

    Two instances may share a folder: each keeps what it accepts, and both find all.
    """

    def __init__(self, files: StorageFolder, limit: int = 20, owner: int | None = None) -> None:
        self._files, self._limit = files, limit
        self._owner = os.getpid() if owner is None else owner
        self._drafts = 0

    def versions(self) -> list[Version]:
        """Return what is kept, by file names alone, the oldest first. Raises OSError."""
        found = [(_NAME.match(name), name) for name in self._files.names()]
        return sorted(Version(int(match[1]), match[2]) for match, _ in found if match)

    def read(self, version: Version) -> ServerList:
        """Read a version. Raises OSError, or TomlError if it is torn or damaged."""
        content = self._files.read(version.name)
        if digest_of(content) != version.digest:
            raise TomlError(f"{version.name}: its content is not what was kept")
        return read_server_list(content, version.name)

    def last_good(self) -> tuple[Version, ServerList] | None:
        """Return the newest version that can be used, if any. Nothing is raised."""
        try:
            versions = self.versions()
        except OSError:
            return None
        for version in reversed(versions):
            try:
                return version, self.read(version)
            except (OSError, TomlError):
                continue
        return None

    def faults(self) -> list[str]:
        """Return a line for each version that is kept and can't be used."""
        faults: list[str] = []
        try:
            for version in self.versions():
                try:
                    self.read(version)
                except (OSError, TomlError) as error:
                    faults.append(str(error).splitlines()[0])
        except OSError as error:
            faults.append(str(error))
        return faults

    def save(self, content: bytes) -> Version:
        """Keep a version, and return it.

        Raises OSError if the disk is full, read-only or gone; what was kept before is kept still.
        """
        digest = digest_of(content)
        versions = self.versions()
        if versions and versions[-1].digest == digest:
            return versions[-1]
        version = Version(versions[-1].number + 1 if versions else 1, digest)
        self._drafts += 1
        draft = f".draft-{self._owner}-{self._drafts}"
        try:
            self._files.write(draft, content)
            self._files.rename(draft, version.name)
        except OSError:
            self._remove(draft)
            raise
        self._files.sync()
        self._prune([*versions, version])
        return version

    def _prune(self, versions: list[Version]) -> None:
        """Remove versions over the limit.

        The last good one stays whatever its age: it would go because newer ones are damaged.
        """
        good = self.last_good()
        for version in versions[: -self._limit]:
            if good is None or version != good[0]:
                self._remove(version.name)
        for name in self._files.names():
            match = _DRAFT.match(name)
            # A draft of our own that is still here was left by a crash of an earlier process.
            if match and int(match[1]) == self._owner:
                self._remove(name)

    def _remove(self, name: str) -> None:
        with suppress(OSError):  # it is not there, or the disk is read-only: it costs room, nothing else
            self._files.remove(name)
