"""Slow start: an endpoint that warms up is sent work within a credit that grows with its capacity."""

from __future__ import annotations

from random import Random

from client_proxy.api.settings import Safety
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.pool import SLOW_START_MARGIN, Pool


class SlowStart:
    """Grants endpoints in slow start credit for work.

    An endpoint that has just started would be overloaded by a warm one's share, and would not recover.
    """

    def __init__(self, safety: Safety, random: Random) -> None:
        self._safety, self._random = safety, random

    def allows(self, now_ms: float, pool: Pool, endpoint: Endpoint, work: float) -> bool:
        """Whether an endpoint is warm, or its credit, updated to now, is enough for `work`."""
        warmed_up_share = endpoint.warmed_up_share(now_ms, self._safety)
        if warmed_up_share >= 1:
            return True
        rate = pool.slow_start_rate(now_ms, endpoint, warmed_up_share)
        since_ms = endpoint.slow_start_credit_ms
        if since_ms is None:
            since_ms = self._begin_credit(now_ms, pool, endpoint, work)
        # The credit is capped at half a window, which prevents bursts.
        max_credit = max(rate * self._safety.slow_start_limit_window_ms / 2, work)
        endpoint.slow_start_credit = min(max_credit, endpoint.slow_start_credit + rate * (now_ms - since_ms))
        endpoint.slow_start_credit_ms = now_ms
        return endpoint.slow_start_credit >= work

    def _begin_credit(self, now_ms: float, pool: Pool, endpoint: Endpoint, work: float) -> float:
        """Give an endpoint its first credit; returns the time since when further credit accrues.

        Without a warm endpoint some endpoint must get the first requests, so credit accrues from an earlier
        time, which covers this proxy's part of the slow-start limit. The first credit is random: otherwise
        many proxies with a low rate each would send nothing for seconds and then all at once.
        """
        warm = pool.has_warm_endpoint(now_ms)
        backdated_ms = 0.0 if warm else self._safety.slow_start_limit_window_ms / SLOW_START_MARGIN
        endpoint.slow_start_credit = self._random.random() * work
        return now_ms - backdated_ms
