"""The initial state of an epoch and of an acceptor.

The first version of an epoch comes from a file that every instance has; there is no vote on it. An operator
creates the state of an acceptor, once at each instance that has one.
"""

from __future__ import annotations

import base64
import random
from pathlib import Path

from client_proxy.address import read_address
from client_proxy.config.fleet import digest_of
from client_proxy.config.models import AgreementTable
from client_proxy.config.version_store import Folder
from client_proxy.consensus.acceptor import AcceptorState
from client_proxy.consensus.errors import BootstrapError
from client_proxy.consensus.lease_holder import LeaseSettings
from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version
from client_proxy.consensus.signer import Peer
from client_proxy.consensus.store import Store

MAX_EPOCH = 1000  # the storage id of an acceptor of the first version is its epoch; random ids are above
VERSIONS_PER_EPOCH = 2**20  # numbers reserved for an epoch, so that those of the next one are higher
MAX_STORAGE_ID = 2**30
RENEWALS_PER_LEASE = 4


def lease_settings(table: AgreementTable) -> LeaseSettings:
    """Returns the lease times for the `[agreement]` settings."""
    return LeaseSettings(
        lease_ms=table.lease_ms,
        renew_ms=table.lease_ms / RENEWALS_PER_LEASE,
        clock_error=table.clock_error,
        serve_stale=table.stale == "serve",
    )


def read_peers(table: AgreementTable) -> dict[int, Peer]:
    """Returns the instances that have or may get an acceptor. Raises ValueError if a key is not base64."""
    return {
        entry.member: Peer(
            entry.member, read_address(entry.address), base64.b64decode(entry.public, validate=True)
        )
        for entry in table.seat
    }


def first_version(table: AgreementTable, content: bytes) -> Decided:
    """Returns the first version of the table's epoch, which needs no votes.

    Its digest shows whether it is the same at every instance. In another epoch acceptors have other ids and
    versions have other numbers.
    """
    epoch = table.generation
    acceptors = tuple(AcceptorId(entry.member, epoch) for entry in table.seat if entry.votes)
    number = (epoch - 1) * VERSIONS_PER_EPOCH + 1
    return Decided(Version(number, digest_of(content), acceptors), Ballot(), ())


def initialize_acceptor(
    table: AgreementTable, folder: Path, member: int, new_storage_id: bool = False
) -> str:
    """Creates the state of this instance's acceptor.

    An acceptor that lost its state and started with an empty one under the same id could vote twice. After a
    loss it therefore needs a new storage id (`new_storage_id`), and may vote only once a decided
    version includes it.

    Args:
        table: The instance's settings.
        folder: The folder of its settings file.
        member: The instance's number.
        new_storage_id: Draw an id that differs from the one in the first version.

    Returns:
        A message for the operator that says what was done.

    Raises:
        BootstrapError: The instance has no acceptor, or its state exists already.
        OSError: The state cannot be read or written.
    """
    entries = {entry.member: entry for entry in table.seat}
    if member not in entries:
        raise BootstrapError(f"member {member} has no seat")
    store = Store(Folder(folder / table.keep))
    first = first_version(table, (folder / table.first).read_bytes())
    stored = store.load_state()
    if stored is not None:
        can_vote = stored.acceptor_id in stored.decided.version.acceptors
        if can_vote or not new_storage_id:
            raise BootstrapError(f"it has its memory already: {stored.acceptor_id.storage_id}")
    if new_storage_id or not entries[member].votes:
        # Above the ids in the first version, whose acceptors have a vote from the start.
        storage_id = random.SystemRandom().randrange(MAX_EPOCH + 1, MAX_STORAGE_ID)
        decided = store.decided() or first
        store.save_state(AcceptorState(AcceptorId(member, storage_id), decided))
        return f"member {member} has the memory {storage_id}: vote it in with `policy seat add`"
    store.save_state(AcceptorState(AcceptorId(member, table.generation), first))
    return f"member {member} votes from now on"
