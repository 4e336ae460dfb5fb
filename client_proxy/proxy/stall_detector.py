"""Detects stalls of the process from an overdue heartbeat.

The heartbeat's timer alone would detect a stall (SIGSTOP, a paused machine) too late, as the event loop may
read its sockets before it runs its timers. So each query compares the clock with the time at which the
heartbeat is due, whether or not its timer has run.
"""

from __future__ import annotations

import asyncio
import logging

from client_proxy.clock import now_ms

log = logging.getLogger(__name__)

HEARTBEAT_S = 0.1  # period of the heartbeat
# A stall shorter than the heartbeat period plus this is not detected. The sum stays under the 0.15 s by which
# the protocol allows X-Expires-In-Ms to exceed the client's remaining time.
TOLERATED_LATENESS_S = 0.04
STALL_S = 0.5  # lateness of a heartbeat from which clients may have left during the stall
STALL_RECOVERY_S = 0.1  # time after a stall in which bytes read may have arrived during it
STALL_RECHECK_S = 0.02  # delay before bytes read after a stall are processed


class StallDetector:
    """Reports whether the process has just stalled, and since when. Used inside a running event loop."""

    def __init__(self) -> None:
        self._heartbeat: asyncio.TimerHandle | None = None
        self._due_ms = float("inf")  # when the next heartbeat is due
        self._suspect_until_ms = float("-inf")  # bytes read until then may have arrived during a stall
        self._recovering_until_ms = float("-inf")
        self._stalled_since_ms = 0.0  # earliest possible start of the last stall

    def start(self) -> None:
        """Start the heartbeat. It runs without connections too: the first may arrive during a stall."""
        self._schedule_heartbeat()

    def stop(self) -> None:
        """Stop the heartbeat."""
        self._due_ms = float("inf")
        if self._heartbeat is not None:
            self._heartbeat.cancel()
            self._heartbeat = None

    def _schedule_heartbeat(self) -> None:
        self._due_ms = now_ms() + 1000.0 * HEARTBEAT_S
        self._heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._beat)

    def _beat(self) -> None:
        self._detect_stall(now_ms())
        self._schedule_heartbeat()

    def _detect_stall(self, at_ms: float) -> None:
        """Record a stall if the heartbeat is overdue."""
        lateness_s = (at_ms - self._due_ms) / 1000.0
        if lateness_s <= TOLERATED_LATENESS_S:
            return
        self._stalled_since_ms = self._due_ms - 1000.0 * HEARTBEAT_S
        self._suspect_until_ms = at_ms + 1000.0 * STALL_RECOVERY_S
        self._due_ms = at_ms + 1000.0 * HEARTBEAT_S  # records each stall once
        if lateness_s > STALL_S:
            log.warning("the process stalled for %.1f s", lateness_s)
            self._recovering_until_ms = self._suspect_until_ms

    def recovering(self) -> bool:
        """Whether the process has just stalled for so long that clients may have left."""
        at_ms = now_ms()
        self._detect_stall(at_ms)
        return at_ms < self._recovering_until_ms

    def stalled_since_ms(self) -> float | None:
        """Return the earliest possible start of the stall that has just ended; None if there was none."""
        at_ms = now_ms()
        self._detect_stall(at_ms)
        return self._stalled_since_ms if at_ms < self._suspect_until_ms else None
