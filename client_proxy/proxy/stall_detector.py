"""Tells from an overdue heartbeat that the process stood still, and for how long what came meanwhile waits.

The heartbeat's timer alone would tell it too late: after a stop (SIGSTOP, a paused machine) an event loop may
read its sockets before it runs its timers. So whoever asks compares the clock with the time at which the
heartbeat is due, whether or not its timer has run.
"""

from __future__ import annotations

import asyncio
import logging

from client_proxy.clock import now_ms

log = logging.getLogger(__name__)

HEARTBEAT_S = 0.1
# A stop that is shorter than a heartbeat and this is not seen. Together they stay under the 0.15 s by which
# the protocol lets the time that an attempt tells exceed what is left.
TOLERATED_LATENESS_S = 0.04
STALL_S = 0.5  # so late a heartbeat tells of a stop during which clients may have left
STALL_RECOVERY_S = 0.1  # for so long after a stop, what is read may have come during it
STALL_RECHECK_S = 0.02  # what has come waits so long before it is processed


class StallDetector:
    """Whether the process stood still just now, and since when. Used inside a running event loop."""

    def __init__(self) -> None:
        self._heartbeat: asyncio.TimerHandle | None = None
        self._due_ms = float("inf")  # when the next heartbeat is due
        self._suspect_until_ms = float("-inf")  # what is read until then may have come during a stop
        self._recovering_until_ms = float("-inf")
        self._stalled_since_ms = 0.0  # when the last stop began, at the earliest

    def start(self) -> None:
        """Begin the heartbeat. It goes on without any connection, as the first one may come during a stop."""
        self._schedule_heartbeat()

    def stop(self) -> None:
        """End the heartbeat."""
        self._due_ms = float("inf")
        if self._heartbeat is not None:
            self._heartbeat.cancel()
            self._heartbeat = None

    def _schedule_heartbeat(self) -> None:
        self._due_ms = now_ms() + 1000.0 * HEARTBEAT_S
        self._heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._beat)

    def _beat(self) -> None:
        self._check(now_ms())
        self._schedule_heartbeat()

    def _check(self, at_ms: float) -> None:
        """Take note of a stop, if the heartbeat is overdue."""
        late_s = (at_ms - self._due_ms) / 1000.0
        if late_s <= TOLERATED_LATENESS_S:
            return
        self._stalled_since_ms = self._due_ms - 1000.0 * HEARTBEAT_S
        self._suspect_until_ms = at_ms + 1000.0 * STALL_RECOVERY_S
        self._due_ms = at_ms + 1000.0 * HEARTBEAT_S  # noted once; a further stop would be another
        if late_s > STALL_S:
            log.warning("stood still for %.1f s", late_s)
            self._recovering_until_ms = self._suspect_until_ms

    def recovering(self) -> bool:
        """Whether the process stood still just now for so long that clients may have left."""
        at_ms = now_ms()
        self._check(at_ms)
        return at_ms < self._recovering_until_ms

    def stalled_since_ms(self) -> float | None:
        """Return when the stop began, at the earliest; None: there was none just now."""
        at_ms = now_ms()
        self._check(at_ms)
        return self._stalled_since_ms if at_ms < self._suspect_until_ms else None
