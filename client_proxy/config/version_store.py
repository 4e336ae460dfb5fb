"""Stores accepted versions on disk, so that a start with a faulty or missing file can use the last good one.

A version is one file, `NUMBER-DIGEST.toml`, named by an increasing number and the digest of its content. A
file whose content has another digest is damaged: it is reported and skipped. A new version is written to a
draft file, synced and renamed, and then the folder is synced. So at any time, and after a crash at any of
these steps, each version file is complete or recognizably damaged, and no stored version is lost.

All disk access goes through `StorageFolder`; the tests replace it by one that crashes at each call in turn.
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

_VERSION_NAME = re.compile(r"^(\d{8})-([0-9a-f]{32})\.toml$")
_DRAFT_NAME = re.compile(r"^\.draft-(\d+)-")


class StorageFolder(Protocol):
    """A folder of files. All methods raise OSError if the disk access fails."""

    def names(self) -> list[str]:
        """Return the names of its files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def write(self, name: str, content: bytes) -> None:
        """Write a new file, synced to the disk. Raises FileExistsError if it exists."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file in one step."""

    def sync(self) -> None:
        """Make all renames and removals so far durable."""

    def remove(self, name: str) -> None:
        """Remove a file."""


class Folder:
    """A folder on disk, which is created if it does not exist."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Return the names of its files."""
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        """Return the content of a file; at most `MAX_BYTES` + 1 bytes, so that a larger file is detected."""
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
        """Sync the folder, which makes all renames and removals so far durable."""
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
    """A stored version.

    Attributes:
        number: Number of the version in the store; not the version at the top of the file.
        digest: Digest of its content, in hexadecimal.
    """

    number: int
    digest: str

    @property
    def name(self) -> str:
        """Name of the file that holds the version."""
        return f"{self.number:08d}-{self.digest}.toml"


class VersionStore:
    """Stores the newest versions, up to a limit.

    Several instances may share a folder: each stores the versions that it accepts, and reads those of all.

    Args:
        files: The folder.
        limit: Number of versions that are stored.
        owner: Identifies this process's draft files; by default the process id.
    """

    def __init__(self, files: StorageFolder, limit: int = 20, owner: int | None = None) -> None:
        self._files, self._limit = files, limit
        self._owner = os.getpid() if owner is None else owner
        self._drafts = 0

    def versions(self) -> list[Version]:
        """Return the stored versions by their file names, the oldest first. Raises OSError."""
        matches = [(_VERSION_NAME.match(name), name) for name in self._files.names()]
        return sorted(Version(int(match[1]), match[2]) for match, _ in matches if match)

    def read(self, version: Version) -> ServerList:
        """Read a version. Raises OSError, or TomlError if it is damaged."""
        content = self._files.read(version.name)
        if digest_of(content) != version.digest:
            raise TomlError(
                f"{version.name}: damaged: the content does not match the digest in the file name"
            )
        return read_server_list(content, version.name)

    def last_good(self) -> tuple[Version, ServerList] | None:
        """Return the newest readable version, if any. Raises no OSError or TomlError."""
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
        """Return a line for each stored version that cannot be read."""
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
        """Store a version and return it; the newest one is returned if it has the same content.

        Raises:
            OSError: The disk is full, read-only or missing. The versions stored before are not affected.
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
        """Remove the oldest versions over the limit, and old drafts of this process.

        The last good version is kept even over the limit, which happens if all newer ones are damaged.
        """
        good = self.last_good()
        for version in versions[: -self._limit]:
            if good is None or version != good[0]:
                self._remove(version.name)
        for name in self._files.names():
            match = _DRAFT_NAME.match(name)
            # A remaining draft with this owner was left by an earlier process that crashed.
            if match and int(match[1]) == self._owner:
                self._remove(name)

    def _remove(self, name: str) -> None:
        with suppress(OSError):  # the file is missing, or stays and only takes up space
            self._files.remove(name)
