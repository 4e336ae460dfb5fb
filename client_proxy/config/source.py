"""The watched file of servers, in the place of a discovery service.

The file is polled. Options weighed in docs/design/configuration.md; what decided: a poll costs some 20 us,
works on every file system, follows a symlink that is swung and a folder that is made anew, and can't
overflow. What a poll finds is judged by `file_watcher.py`; what is accepted goes to the balancer as a
complete list, as discovery's snapshots do, so that drains, slow start and the guard hold.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from client_proxy.address import Address
from client_proxy.api.events import EndpointsListed, ListKind
from client_proxy.clock import now_ms, unix_offset_ms
from client_proxy.config.file_watcher import (
    Accepted,
    FileWatcher,
    HeldBack,
    Rejected,
    WatchResult,
    WatchSettings,
)
from client_proxy.config.fleet import MAX_BYTES, ServerList
from client_proxy.config.version_store import VersionStore
from client_proxy.endpoint_directory import EndpointDirectory

log = logging.getLogger(__name__)

MAX_CHANGES = 32  # kept, for those who ask for the latest
# A file system whose times are coarse shows no second change within one tick of its clock: after a change the
# file is read at each poll for so long.
COARSE_CLOCK_MS = 2000.0


@dataclass(frozen=True, slots=True)
class FileStamp:
    """What shows that a file may have changed."""

    device: int
    inode: int
    size: int
    modified_ns: int
    changed_ns: int

    @classmethod
    def from_stat(cls, found: os.stat_result) -> FileStamp:
        """Return the stamp of a file by what the system says of it."""
        return cls(found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns, found.st_ctime_ns)


def read_consistent(path: Path) -> tuple[FileStamp, bytes] | None:
    """Read a file; None: it is not there, can't be read, or changed while it was read."""
    try:
        with path.open("rb") as file:
            before = FileStamp.from_stat(os.fstat(file.fileno()))
            content = file.read(MAX_BYTES + 1)
            after = FileStamp.from_stat(os.fstat(file.fileno()))
    except OSError:
        return None
    return (after, content) if before == after else None


class FileSource:
    """Does what `Discovery` does, from a file.

    Attributes:
        watcher: Judges what the file holds.
        changes: The latest changes, a line each.
        from_store: The active version is a kept one: the file was not usable at the start.
        accepted: How many versions have been accepted.
    """

    def __init__(
        self,
        path: Path,
        poll_interval_ms: float,
        settings: WatchSettings,
        directory: EndpointDirectory,
        notify: Callable[[EndpointsListed], None],
        store: VersionStore | None = None,
    ) -> None:
        """Make a source that does not poll yet.

        Args:
            path: The file.
            poll_interval_ms: Between two polls.
            settings: How the file is judged.
            directory: Takes in each version that is accepted.
            notify: Called with each list.
            store: Keeps the versions; None: they are not kept.
        """
        self._path, self._poll_interval_s = path, poll_interval_ms / 1000.0
        self._directory, self._notify, self._version_store = directory, notify, store
        self.watcher = FileWatcher(settings, str(path))
        self.changes: list[str] = []
        self.from_store = False
        self.accepted = 0
        self._stamp: FileStamp | None = None
        self._settled_ms = 0.0
        self._since: dict[
            str, tuple[Address, int]
        ] = {}  # when servers came, of those that came while this ran
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    # As `Discovery`

    def start(self) -> None:
        """Poll now, and from now on."""
        self._poll(first=True)

    def subscribe(self) -> None:
        """Answer the balancer's call: it has been notified of all there is."""
        self._notify(EndpointsListed(ListKind.DELTA))

    def move(self, address: Address) -> None:
        """Do nothing: there is no service to move to."""

    def stop(self) -> None:
        """Poll no more."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    # Polls

    def _poll(self, first: bool = False) -> None:
        if self._stopped:
            return
        now = now_ms()
        for result in self._read_changes(now):
            self._handle(result)
        if first and self.watcher.server_list is None:
            self._restore_from_store()
        self._timer = asyncio.get_running_loop().call_later(self._poll_interval_s, self._poll)

    def _read_changes(self, now: float) -> list[WatchResult]:
        """Read only what may have changed, or has still to settle."""
        try:
            stamp: FileStamp | None = FileStamp.from_stat(os.stat(self._path))
        except OSError:
            stamp = None
        if stamp is not None and stamp == self._stamp and now > self._settled_ms:
            return self.watcher.handle_unchanged_poll(now)
        found = read_consistent(self._path)
        if found is None:
            self._stamp = None
            return self.watcher.handle_poll(now, None)
        read_stamp, content = found
        if read_stamp != self._stamp:
            self._stamp = read_stamp
            self._settled_ms = now + self.watcher.settings.settle_ms + COARSE_CLOCK_MS
        return self.watcher.handle_poll(now, content)

    def _restore_from_store(self) -> None:
        """Go on with the last good version.

        A restart in the middle of an edit, or after a bad one, would leave the instance without any server.
        """
        if self._version_store is None:
            return
        good = self._version_store.last_good()
        for fault in self._version_store.faults():
            log.warning("kept version passed over: %s", fault)
        if good is not None:
            self.from_store = True
            log.warning("%s is not usable: going on with the kept version %d", self._path, good[0].number)
            self.watcher.start(good[1])
            self._apply(good[1])

    def force(self) -> bool:
        """Accept the version that is held back. False: there is none."""
        results = self.watcher.force()
        for result in results:
            self._handle(result)
        return bool(results)

    def _handle(self, result: WatchResult) -> None:
        match result:
            case Accepted(fleet):
                self.from_store = False
                self._note(f"taken: {_describe(fleet)}")
                self._apply(fleet)
                self._save(fleet)
            case HeldBack(fleet, reason):
                self._note(f"held back, the old list stands: {_describe(fleet)}: {reason}")
            case Rejected(reason):
                self._note(f"refused, the old list stands: {'; '.join(reason.splitlines()[:5])}")

    def _note(self, text: str) -> None:
        log.info("%s", text)
        self.changes = [*self.changes[1 - MAX_CHANGES :], text]

    def _save(self, fleet: ServerList) -> None:
        if self._version_store is None:
            return
        try:
            self._version_store.save(fleet.content)
        except OSError as error:
            log.warning("the version can't be kept: %s", error)

    def _apply(self, fleet: ServerList) -> None:
        begun = bool(self._directory.entries)
        self._notify(self._directory.apply(self._message(fleet, begun)))

    def _message(self, fleet: ServerList, begun: bool) -> dict[str, Any]:
        """Return the version as a complete list of discovery.

        A server that is new in the file has most likely just started, and has to warm up.
        """
        now_unix_ms = int(now_ms() + unix_offset_ms())
        endpoints: list[dict[str, Any]] = []
        since: dict[str, tuple[Address, int]] = {}
        for server in fleet.servers:
            host, _, port = server.address.rpartition(":")
            address = host, int(port)
            known = self._since.get(server.name)
            if known is not None and known[0] == address:
                since[server.name] = known
            else:
                since[server.name] = address, now_unix_ms if begun and not server.warm else 0
            endpoints.append(
                {
                    "name": server.name,
                    "address": server.address,
                    "zone": server.hall,
                    "group": server.rack,
                    "weight": server.weight,
                    "status": "ready" if server.weight > 0 and server.state == "ready" else "draining",
                    "since_ms": since[server.name][1],
                }
            )
        self._since = since
        self.accepted += 1
        return {"index": self.accepted, "snapshot": True, "endpoints": endpoints}


def _describe(fleet: ServerList) -> str:
    version = "" if fleet.version is None else f"version {fleet.version}, "
    return f"{version}{len(fleet.servers)} servers, {fleet.digest[:8]}"
