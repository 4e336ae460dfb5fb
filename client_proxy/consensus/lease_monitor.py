"""Checks before each use of the policy whether requests may be served."""

from __future__ import annotations

import logging
import time

from client_proxy.clock import now_ms
from client_proxy.consensus.lease_holder import LeaseHolder

log = logging.getLogger(__name__)


class LeaseMonitor:
    """Checks the lease at each use, and counts and logs uses without a lease.

    Attributes:
        stale_uses: Number of requests and attempts served without a lease, which `stale = "serve"` allows.
    """

    def __init__(self, lease_holder: LeaseHolder) -> None:
        self._lease_holder = lease_holder
        self._stale_since_s: float | None = None
        self.stale_uses = 0

    def may_serve(self) -> bool:
        """Reads the clock and returns whether requests may be served now."""
        now = now_ms()
        if self._lease_holder.leased_version(now) is not None:
            self._end_stale_period()
            return True
        if self._lease_holder.serving_version(now) is None:
            return False
        self._count_stale_use()
        return True

    def _end_stale_period(self) -> None:
        if self._stale_since_s is not None:
            log.info("serving under a lease again, after %.1f s", time.monotonic() - self._stale_since_s)
            self._stale_since_s = None

    def _count_stale_use(self) -> None:
        self.stale_uses += 1
        if self._stale_since_s is None:
            self._stale_since_s = time.monotonic()
            log.warning("serving without a lease: the version in use may be out of date")
