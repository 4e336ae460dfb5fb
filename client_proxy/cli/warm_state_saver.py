"""Saves what an instance has learned about its servers to disk, and restores it in the next process."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

from client_proxy.balancer.balancer import Balancer
from client_proxy.clock import now_ms, unix_offset_ms
from client_proxy.proxy.daemon import Daemon

log = logging.getLogger(__name__)

SAVE_INTERVAL_S = 10.0  # s; a kill loses what was learned since the last save


class WarmStateSaver:
    """Restores the warm state at the start, and saves it periodically and at the end."""

    def __init__(self, daemon: Daemon, path: Path) -> None:
        self._daemon = daemon
        self._path = path
        self._timer: asyncio.TimerHandle | None = None
        self._pending_write: asyncio.Future[None] | None = None

    def restore(self) -> None:
        """Restores the snapshot on disk into the daemon's first balancer, if there is a usable one."""
        from client_proxy.warm_state.restore import restore_snapshot
        from client_proxy.warm_state.snapshot_store import load_snapshot

        loaded = load_snapshot(self._path, now_ms() + unix_offset_ms())
        if loaded is None:
            return
        age_ms = loaded.age_ms
        read_ms = now_ms()

        def restore_to(balancer: Balancer) -> None:
            # The snapshot has aged since it was read: the endpoint list arrives later.
            restored_count = restore_snapshot(
                balancer, loaded.snapshot, age_ms + now_ms() - read_ms, unix_offset_ms()
            )
            log.info("restored the warm state of %d servers, %.1f s old", restored_count, age_ms / 1000.0)

        self._daemon.engine.restore_snapshot = restore_to

    def start(self) -> None:
        """Starts saving every `SAVE_INTERVAL_S`; a kill loses what was learned since the last save."""
        self._timer = asyncio.get_running_loop().call_later(SAVE_INTERVAL_S, self._save)

    def _save(self) -> None:
        from client_proxy.warm_state.capture import capture_snapshot
        from client_proxy.warm_state.snapshot_store import StoredSnapshot, save_snapshot

        self.start()
        balancer, path = self._daemon.engine.balancer, self._path
        if not balancer.endpoint_set.endpoints:
            return
        offset_ms = unix_offset_ms()
        stored = StoredSnapshot(balancer.now_ms + offset_ms, capture_snapshot(balancer, offset_ms))

        def write() -> None:
            try:
                save_snapshot(path, stored)
            except OSError as error:
                log.warning("can't save the warm state: %s", error)

        # In a thread: a disk that takes a second to sync would otherwise block all requests for that time.
        self._pending_write = asyncio.get_running_loop().run_in_executor(None, write)

    async def end(self) -> None:
        """Saves a last time and waits until it is written."""
        if self._timer is not None:
            self._save()
            self._timer.cancel()
            if self._pending_write is not None:
                await self._pending_write
