"""Stores a snapshot of warm state in a file, which is read back whole or not at all.

A snapshot is useful but not needed: a disk that fails costs what was learned and nothing else. Its age is the
difference of two times of day, of which either may have been stepped; a snapshot that seems to come from the
future, or is too old, is not used.
"""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path

import msgspec

from client_proxy.warm_state.snapshot import MAX_AGE_MS, SNAPSHOT_FORMAT, Snapshot

DIGEST_BYTES = 16
MAX_CONTENT_BYTES = 16 * 1024 * 1024  # of a file, its digest included
CLOCK_TOLERANCE_MS = 1000.0  # how far a snapshot may seem to come from the future
FILE_MODE = 0o600


class StoredSnapshot(msgspec.Struct, frozen=True):
    """The content of a file.

    Attributes:
        captured_unix_ms: Time of day of the capture; stored as `at_ms`.
        snapshot: What was captured; stored as `learned`.
    """

    captured_unix_ms: float = msgspec.field(name="at_ms")
    snapshot: Snapshot = msgspec.field(name="learned")


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """A snapshot that was read, and the time since its capture."""

    snapshot: Snapshot
    age_ms: float


def save_snapshot(path: Path, stored: StoredSnapshot) -> None:
    """Replaces the file in one step: it is written beside, synced and renamed.

    Raises:
        OSError: The disk failed. The file is what it was before.
    """
    content = msgspec.msgpack.encode(stored)
    draft = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        handle = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        with os.fdopen(handle, "wb") as file:
            file.write(_digest(content) + content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(draft, path)
    except OSError:
        with suppress(OSError):
            os.unlink(draft)
        raise


def load_snapshot(path: Path, now_unix_ms: float) -> LoadedSnapshot | None:
    """Reads the file.

    Args:
        path: The file.
        now_unix_ms: The time of day.

    Returns:
        The snapshot, or None if the file is missing or torn, or the snapshot is of another form, too old or
        from the future.
    """
    stored = _read(path)
    if stored is None or stored.snapshot.form != SNAPSHOT_FORMAT:
        return None
    age_ms = now_unix_ms - stored.captured_unix_ms
    if not -CLOCK_TOLERANCE_MS <= age_ms < MAX_AGE_MS:
        return None
    return LoadedSnapshot(stored.snapshot, max(0.0, age_ms))


def _read(path: Path) -> StoredSnapshot | None:
    try:
        with path.open("rb") as file:
            data = file.read(MAX_CONTENT_BYTES + 1)
        content = data[DIGEST_BYTES:]
        if len(data) > MAX_CONTENT_BYTES or _digest(content) != data[:DIGEST_BYTES]:
            return None
        return msgspec.msgpack.decode(content, type=StoredSnapshot)
    except (OSError, msgspec.DecodeError):
        return None


def _digest(content: bytes) -> bytes:
    return blake2b(content, digest_size=DIGEST_BYTES).digest()
