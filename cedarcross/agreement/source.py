"""The fleet's agreed list of servers, in the place of a watched file or a discovery service.

Version 1 is a file that every instance has; each next one is agreed on. An instance without a lease decides
nothing: it is not ready, and refuses at once."""

from __future__ import annotations

import asyncio
import base64
import logging
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cedarcross.agreement.carrier import Carrier, Peer, seat_verify
from cedarcross.agreement.holder import HolderSettings
from cedarcross.agreement.node import Node
from cedarcross.agreement.store import Store
from cedarcross.agreement.voter import Memory
from cedarcross.agreement.words import Ballot, Decided, Seat, Version
from cedarcross.config.fleet import digest_of, read_fleet
from cedarcross.config.kept import Folder
from cedarcross.config.models import AgreementTable
from cedarcross.config.running import Stated, slip
from cedarcross.config.source import FileSource
from cedarcross.interface import EndpointsListed
from cedarcross.membership.keys import load_keyring
from cedarcross.proxy.clock import now_ms
from cedarcross.proxy.config import read_address
from cedarcross.proxy.discovery import Directory
from cedarcross.tomlfile import TomlError

log = logging.getLogger(__name__)

FIRST_MEMORY = 1
LEAVING_SHARE = 0.5
LIFE = 2**29  # a life's number is below


def first_version(table: AgreementTable, content: bytes) -> Decided:
    """Version 1, which nobody voted on: it is the same file everywhere, and its digest says so."""
    seats = tuple(Seat(entry.member, FIRST_MEMORY) for entry in table.seat)
    return Decided(Version(1, digest_of(content), seats), Ballot(), ())


def take_seat(table: AgreementTable, folder: Path, member: int) -> str:
    """An operator's word, once, at each instance that has a seat. Danger: said again after its memory was
    lost, it would vote twice. Returns what was done; raises ValueError if it must not be."""
    if member not in {entry.member for entry in table.seat}:
        raise ValueError(f"member {member} has no seat")
    store = Store(Folder(folder / table.keep))
    if store.memory() is not None:
        raise ValueError("it has its memory already")
    content = (folder / table.first).read_bytes()
    store.keep_memory(Memory(Seat(member, FIRST_MEMORY), first_version(table, content)))
    return f"member {member} votes from now on"


class AgreedSource(FileSource):
    def __init__(
        self,
        table: AgreementTable,
        folder: Path,
        directory: Directory,
        told: Callable[[EndpointsListed], None],
    ) -> None:
        """Raises TomlError or OSError for files that are not usable."""
        super().__init__(folder / table.first, 1000.0, Stated(), directory, told)
        self._table = table
        content = (folder / table.first).read_bytes()
        read_fleet(content, table.first)
        keyring = load_keyring(folder / table.keys)
        peers = {
            entry.member: Peer(
                entry.member, read_address(entry.address), base64.b64decode(entry.public, validate=True)
            )
            for entry in table.seat
        }
        store = Store(Folder(folder / table.keep))
        store.keep_body(content)
        me = keyring.card.member
        memory = store.memory()
        if me in peers and memory is None:
            log.warning("the memory of this seat is lost or was never made: it does not vote")
        settings = HolderSettings(table.lease_ms, table.lease_ms / 4, table.clock_error)
        known = store.decided() or first_version(table, content)
        seed = int.from_bytes(os.urandom(8), "big")
        self.node = Node(
            me, known, memory, settings, keyring.signer.sign, seat_verify(peers, keyring),
            seed % LIFE, seed,
        )  # fmt: skip
        listen = read_address(table.listen)
        self._carrier = Carrier(self.node, store, keyring, peers, listen, self._check, self._switch)
        self._settings = settings
        self._since_s = 0.0
        self._starting: asyncio.Task[None] | None = None

    # As `Discovery`

    def start(self) -> None:
        self._starting = asyncio.get_running_loop().create_task(self._carrier.start())

    def stop(self) -> None:
        super().stop()
        self._carrier.close()

    # What decides

    def leased(self) -> bool:
        return self.node.holder.decides(now_ms()) is not None

    def _check(self, content: bytes, proposed: bool) -> str:
        """Could this instance decide by it? While it is proposed, a slip beside its own list is a reason,
        too; of what is decided, who comes back may have missed several changes."""
        try:
            fleet = read_fleet(content, "the proposed list")
        except TomlError as error:
            return str(error).splitlines()[0]
        if not fleet.usable:
            return "no server would get any work"
        old = self.running.fleet
        return slip(old, fleet, LEAVING_SHARE) if old is not None and proposed else ""

    def _switch(self, version: Version, content: bytes) -> None:
        fleet = read_fleet(content, f"version {version.number}")
        self.running.start(fleet)
        self._since_s = time.monotonic()
        self._note(f"taken: version {version.number}, {len(fleet.servers)} servers, {fleet.digest[:8]}")
        self._apply(fleet)

    def propose(self, content: bytes, change: str, after: int | None = None) -> str:
        """`after`: the version that the list was made from. Danger: of two changes made from one list, the
        later undoes the earlier. Returns the change's name. Raises ValueError or OSError."""
        newest = self.node.holder.known.version.number
        if after is not None and after != newest:
            raise ValueError(f"made from version {after}, and the newest is {newest}: look at it again")
        named = change[:100] or f"{self.node.me}-{os.urandom(4).hex()}"
        self._carrier.propose(content, named)
        return named

    def status(self) -> dict[str, Any]:
        now, holder = now_ms(), self.node.holder
        decides = holder.decides(now)
        return {
            "member": self.node.me,
            "votes": self.node.voter is not None and self.node.voter.sits,
            "decides_by": decides.number if decides is not None else None,
            "since_s": round(time.monotonic() - self._since_s, 1) if decides is not None else None,
            "lease_left_ms": round(holder.until_ms - now) if decides is not None else 0,
            "newest": holder.known.version.number,
            "digest": holder.known.version.digest,
            "unfit": {str(number): why for number, why in holder.unfit.items()},
            "overlap_ms": round(self._settings.overlap_ms),
            "heard": list(self.node.heard(now)),
            "changes": [
                {"change": e.change, "what": e.what, "refused": {str(k): v for k, v in e.refused.items()},
                 "silent": list(e.silent)}
                for e in self._carrier.ended
            ],
        }  # fmt: skip
