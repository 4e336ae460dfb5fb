"""Stores a snapshot of warm state in a file, which is loaded completely or not at all.

A snapshot is useful but not required: if the disk fails, only the warm state is lost. The age of a snapshot
is the difference of two readings of the system clock, which may have been set in between; a snapshot that
seems to be from the future, or is too old, is not used.
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
MAX_CONTENT_BYTES = 16 * 1024 * 1024  # size of a file, digest included
CLOCK_TOLERANCE_MS = 1000.0  # how far in the future the capture time of a usable snapshot may be
FILE_MODE = 0o600  # access by the owner only


class StoredSnapshot(msgspec.Struct, frozen=True):
    """Content of a snapshot file.

    Attributes:
        captured_unix_ms: Unix time of the capture, in ms; stored as `at_ms`.
        snapshot: The snapshot; stored as `learned`.
    """

    captured_unix_ms: float = msgspec.field(name="at_ms")
    snapshot: Snapshot = msgspec.field(name="learned")


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """A snapshot that was loaded, and the time since its capture."""

    snapshot: Snapshot
    age_ms: float


def save_snapshot(path: Path, stored: StoredSnapshot) -> None:
    """Replace the file atomically: write a temporary file in the same folder, sync it and rename it.

    Raises:
        OSError: The disk failed. The file is unchanged.
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
    """Load the snapshot from a file.

    Args:
        path: The file.
        now_unix_ms: Unix time, in ms.

    Returns:
        The snapshot, or None if the file is missing or damaged, or the snapshot has another format, is too
        old or is from the future.
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
