"""Endpoint source that takes the servers from a watched file instead of a discovery service.

The file is polled (docs/design/configuration.md compares alternatives): a poll costs some 20 us, works on
every file system, follows a symlink that is redirected and a folder that is created again, and has no event
queue that could overflow. `file_watcher` decides about the content. An accepted version goes to the balancer
as a complete endpoint list, like a snapshot of discovery; so drains, slow start and the send guard apply.
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

MAX_CHANGES = 32  # latest changes that the control socket can show
# A file system with coarse timestamps does not show a second change within one tick of its clock, so the file
# is read at each poll for this time after a change.
COARSE_CLOCK_MS = 2000.0


@dataclass(frozen=True, slots=True)
class FileStamp:
    """Metadata of a file; a stamp that differs from an earlier one shows that the file may have changed."""

    device: int
    inode: int
    size: int
    modified_ns: int
    changed_ns: int

    @classmethod
    def from_stat(cls, status: os.stat_result) -> FileStamp:
        """Return the stamp from the result of `os.stat`."""
        return cls(
            status.st_dev,
            status.st_ino,
            status.st_size,
            status.st_mtime_ns,
            status.st_ctime_ns,
        )


def read_consistent(path: Path) -> tuple[FileStamp, bytes] | None:
    """Read a file; return None if it is missing, unreadable or changed while it was read."""
    try:
        with path.open("rb") as file:
            before = FileStamp.from_stat(os.fstat(file.fileno()))
            content = file.read(MAX_BYTES + 1)
            after = FileStamp.from_stat(os.fstat(file.fileno()))
    except OSError:
        return None
    return (after, content) if before == after else None


class FileSource:
    """Endpoint source with the interface of `Discovery` that watches a file.

    Attributes:
        watcher: Decides which content of the file becomes active.
        changes: The latest `MAX_CHANGES` decisions, one line each.
        from_store: The active version is from the version store, as the file was not usable at the start.
        accepted: Number of versions that have been applied.
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
        """Create a source that does not poll yet.

        Args:
            path: The file.
            poll_interval_ms: Time between two polls.
            settings: When a version is accepted.
            directory: Endpoint list to which each accepted version is applied.
            notify: Called with each resulting event.
            store: Stores the accepted versions; None: they are not stored.
        """
        self._path, self._poll_interval_s = path, poll_interval_ms / 1000.0
        self._directory, self._notify, self._version_store = directory, notify, store
        self.watcher = FileWatcher(settings, str(path))
        self.changes: list[str] = []
        self.from_store = False
        self.accepted = 0
        self._stamp: FileStamp | None = None
        self._settled_ms = 0.0
        # By server name: the address, and the start time in ms of Unix time; 0: the server counts as warm.
        self._start_times: dict[str, tuple[Address, int]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    # The interface of `Discovery`

    def start(self) -> None:
        """Poll now, and then repeatedly."""
        self._poll(first=True)

    def subscribe(self) -> None:
        """Answer the balancer's subscription with an empty change: it already has the list."""
        self._notify(EndpointsListed(ListKind.DELTA))

    def move(self, address: Address) -> None:
        """Do nothing: there is no discovery service whose address could change."""

    def stop(self) -> None:
        """Stop polling."""
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
        """Read the file if it may have changed or changed recently, and return the decisions that follow."""
        try:
            stamp: FileStamp | None = FileStamp.from_stat(os.stat(self._path))
        except OSError:
            stamp = None
        if stamp is not None and stamp == self._stamp and now > self._settled_ms:
            return self.watcher.handle_unchanged_poll(now)
        stamped_content = read_consistent(self._path)
        if stamped_content is None:
            self._stamp = None
            return self.watcher.handle_poll(now, None)
        read_stamp, content = stamped_content
        if read_stamp != self._stamp:
            self._stamp = read_stamp
            self._settled_ms = now + self.watcher.settings.settle_ms + COARSE_CLOCK_MS
        return self.watcher.handle_poll(now, content)

    def _restore_from_store(self) -> None:
        """Activate the last good version from the store.

        Otherwise a restart during an edit, or after a faulty one, would leave the instance without servers.
        """
        if self._version_store is None:
            return
        good = self._version_store.last_good()
        for fault in self._version_store.faults():
            log.warning("stored version skipped: %s", fault)
        if good is not None:
            self.from_store = True
            log.warning("%s is not usable: using the stored version %d", self._path, good[0].number)
            self.watcher.start(good[1])
            self._apply(good[1])

    def force(self) -> bool:
        """Accept the version that is held back; return whether there was one."""
        results = self.watcher.force()
        for result in results:
            self._handle(result)
        return bool(results)

    def _handle(self, result: WatchResult) -> None:
        match result:
            case Accepted(server_list):
                self.from_store = False
                self._record_change(f"taken: {_summary(server_list)}")
                self._apply(server_list)
                self._save(server_list)
            case HeldBack(server_list, reason):
                self._record_change(f"held back, the old list stands: {_summary(server_list)}: {reason}")
            case Rejected(reason):
                self._record_change(f"refused, the old list stands: {'; '.join(reason.splitlines()[:5])}")

    def _record_change(self, text: str) -> None:
        log.info("%s", text)
        self.changes = [*self.changes[1 - MAX_CHANGES :], text]

    def _save(self, server_list: ServerList) -> None:
        if self._version_store is None:
            return
        try:
            self._version_store.save(server_list.content)
        except OSError as error:
            log.warning("the version could not be stored: %s", error)

    def _apply(self, server_list: ServerList) -> None:
        has_predecessor = bool(self._directory.entries)
        self._notify(self._directory.apply(self._list_message(server_list, has_predecessor)))

    def _list_message(self, server_list: ServerList, has_predecessor: bool) -> dict[str, Any]:
        """Return the version in the format of a discovery snapshot.

        A server that is new in the file has probably just started, so it gets a slow start.

        Args:
            server_list: The version.
            has_predecessor: Whether a version has been applied before.
        """
        now_unix_ms = int(now_ms() + unix_offset_ms())
        endpoints: list[dict[str, Any]] = []
        start_times: dict[str, tuple[Address, int]] = {}
        for server in server_list.servers:
            host, _, port = server.address.rpartition(":")
            address = host, int(port)
            previous = self._start_times.get(server.name)
            if previous is not None and previous[0] == address:
                start_times[server.name] = previous
            else:
                start_times[server.name] = address, now_unix_ms if has_predecessor and not server.warm else 0
            endpoints.append(
                {
                    "name": server.name,
                    "address": server.address,
                    "zone": server.hall,
                    "group": server.rack,
                    "weight": server.weight,
                    "status": "ready" if server.weight > 0 and server.state == "ready" else "draining",
                    "since_ms": start_times[server.name][1],
                }
            )
        self._start_times = start_times
        self.accepted += 1
        return {"index": self.accepted, "snapshot": True, "endpoints": endpoints}


def _summary(server_list: ServerList) -> str:
    version = "" if server_list.version is None else f"version {server_list.version}, "
    return f"{version}{len(server_list.servers)} servers, {server_list.digest[:8]}"
