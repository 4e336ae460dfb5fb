"""The files in which an instance stores its acceptor's state, decided versions, and policy bodies.

A state file starts with a digest of its content, by which a torn file is recognized; it counts as lost. Files
are written under a temporary name, synced and renamed, and then the folder is synced. File names are the same
as in earlier releases.
"""

from __future__ import annotations

import os
from collections.abc import Collection
from contextlib import suppress
from hashlib import blake2b
from typing import TypeVar

import msgspec

from client_proxy.config.fleet import digest_of
from client_proxy.config.version_store import StorageFolder
from client_proxy.consensus.acceptor import AcceptorState
from client_proxy.consensus.messages import Decided

DIGEST_BYTES = 16
MAX_DECIDED_BODIES = 20  # bodies of decided versions that are kept for rollbacks
MAX_PROPOSED_BODIES = 4  # bodies that are kept of versions that were only proposed
VERSIONS_PER_SEGMENT = 64
MAX_SEGMENTS = 64

ACCEPTOR_FILE = "seat"
DECIDED_FILE = "decided"
SEGMENT_PREFIX = "past-"
BODY_PREFIX = "body-"

T = TypeVar("T")


class Store:
    """Stored state of one instance. Methods that write raise OSError if the disk fails."""

    def __init__(self, files: StorageFolder) -> None:
        self._files = files
        self._draft_count = 0

    # Files

    def _write(self, name: str, content: bytes) -> None:
        self._draft_count += 1
        draft = f".draft-{os.getpid()}-{self._draft_count}"
        try:
            self._files.write(draft, content)
            self._files.rename(draft, name)
        except OSError:
            with suppress(OSError):
                self._files.remove(draft)
            raise
        self._files.sync()

    def _write_checked(self, name: str, value: object) -> None:
        content = msgspec.msgpack.encode(value)
        self._write(name, blake2b(content, digest_size=DIGEST_BYTES).digest() + content)

    def _read_checked(self, name: str, value_type: type[T]) -> T | None:
        """Returns the value in a state file; None if the file is missing, torn or not of this type."""
        try:
            data = self._files.read(name)
            content = data[DIGEST_BYTES:]
            if blake2b(content, digest_size=DIGEST_BYTES).digest() != data[:DIGEST_BYTES]:
                return None
            return msgspec.msgpack.decode(content, type=value_type)
        except (OSError, msgspec.DecodeError):
            return None

    def _segment_names(self) -> list[str]:
        return sorted(name for name in self._files.names() if name.startswith(SEGMENT_PREFIX))

    # State

    def load_state(self) -> AcceptorState | None:
        """Returns the acceptor's state; None if there is none or it was lost."""
        return self._read_checked(ACCEPTOR_FILE, AcceptorState)

    def save_state(self, state: AcceptorState) -> None:
        """Stores the acceptor's state."""
        self._write_checked(ACCEPTOR_FILE, state)

    def decided(self) -> Decided | None:
        """Returns the latest decided version; None if none is stored."""
        return self._read_checked(DECIDED_FILE, Decided)

    def save_decided(self, decided: Decided) -> None:
        """Stores the latest decided version."""
        self._write_checked(DECIDED_FILE, decided)

    # Decided versions by number, in segment files, for instances that lag far behind and for operators

    def load_past(self, number: int) -> Decided | None:
        """Returns the decided version with this number; None if it is not stored."""
        return self._read_segment(_segment_name(number)).get(number)

    def save_past(self, decided: Decided) -> None:
        """Adds a decided version to its segment, and removes the oldest segments beyond `MAX_SEGMENTS`."""
        number = decided.version.number
        name = _segment_name(number)
        segment = self._read_segment(name)
        if number in segment:
            return
        self._write_checked(name, segment | {number: decided})
        for old_name in self._segment_names()[:-MAX_SEGMENTS]:
            with suppress(OSError):
                self._files.remove(old_name)

    def _read_segment(self, name: str) -> dict[int, Decided]:
        return self._read_checked(name, dict[int, Decided]) or {}

    def history(self, max_versions: int = VERSIONS_PER_SEGMENT) -> list[Decided]:
        """Returns the latest decided versions, oldest first."""
        try:
            names = self._segment_names()
        except OSError:
            return []
        versions: list[Decided] = []
        for name in reversed(names):
            segment = self._read_segment(name)
            versions = [segment[number] for number in sorted(segment)] + versions
            if len(versions) >= max_versions:
                break
        return versions[-max_versions:]

    # Policy bodies

    def body(self, digest: str) -> bytes | None:
        """Returns the body with this digest; None if it is not stored or corrupt."""
        try:
            content = self._files.read(BODY_PREFIX + digest)
        except OSError:
            return None
        return content if digest_of(content) == digest else None

    def save_body(self, content: bytes, needed_digests: Collection[str] = ()) -> str:
        """Stores a body and returns its digest.

        Args:
            content: The body.
            needed_digests: Digests of bodies to keep; others are removed beyond `MAX_PROPOSED_BODIES`.
        """
        digest = digest_of(content)
        if self.body(digest) is None:
            self._remove_bodies(needed_digests)
            self._write(BODY_PREFIX + digest, content)
        return digest

    def _remove_bodies(self, needed_digests: Collection[str]) -> None:
        needed = {BODY_PREFIX + digest for digest in needed_digests}
        removable = [
            name for name in self._files.names() if name.startswith(BODY_PREFIX) and name not in needed
        ]
        for name in sorted(removable)[: max(0, len(removable) - MAX_PROPOSED_BODIES)]:
            with suppress(OSError):
                self._files.remove(name)


def _segment_name(number: int) -> str:
    return f"{SEGMENT_PREFIX}{number // VERSIONS_PER_SEGMENT:08d}"
