"""Disaster recovery after the loss of a majority of acceptors: a new epoch from one instance's state."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from client_proxy.config.models import AgreementTable
from client_proxy.config.version_store import Folder
from client_proxy.consensus.bootstrap import first_version
from client_proxy.consensus.errors import RecoveryError
from client_proxy.consensus.store import Store


@dataclass(frozen=True, slots=True)
class RecoverableState:
    """The state that can be recovered from one instance.

    Attributes:
        version: The number of the latest decided version that it stored.
        digest: The digest of that version's body.
        body: The body of that version.
        pending_change: Requester and reason of a later version that its acceptor voted for; empty if none.
    """

    version: int
    digest: str
    body: bytes
    pending_change: str


def inspect_state(table: AgreementTable, folder: Path) -> RecoverableState:
    """Returns the recoverable state of the instance with these settings.

    Raises:
        RecoveryError: The body of its latest version is not stored.
        OSError: The file of the first version cannot be read.
    """
    store = Store(Folder(folder / table.keep))
    candidates = [first_version(table, (folder / table.first).read_bytes())]
    state, decided = store.load_state(), store.decided()
    if decided is not None:
        candidates.append(decided)
    if state is not None:
        candidates.append(state.decided)
    newest = max(candidates, key=lambda candidate: candidate.version.number).version
    body = store.body(newest.digest)
    if body is None:
        raise RecoveryError(
            f"the body of version {newest.number} is not stored here: inspect another instance"
        )
    pending = state.accepted_version if state is not None else None
    pending_change = f"{pending.requester}: {pending.reason}" if pending is not None else ""
    return RecoverableState(newest.number, newest.digest, body, pending_change)


def archive_state(table: AgreementTable, folder: Path) -> str:
    """Renames the folder of stored state so that no acceptor of the old epoch votes in the new one.

    Returns:
        The folder's new name.
    """
    stored = folder / table.keep
    archive = stored.with_name(f"{stored.name}.generation-{table.generation}")
    os.rename(stored, archive)
    return archive.name
