"""Limits the attempts beyond each request's first (retries and hedged requests) in a sliding time window."""

from __future__ import annotations

from collections import deque

from client_proxy.api.settings import AttemptLimit


class AttemptLimiter:
    """Counts the window's requests and extra attempts (those beyond a request's first); no limit allows all.

    The retry budget alone is not enough: it starts full and has no window, so after a burst of failures or a
    restart it would permit more than the limit does. The limit covers extra attempts for any reason, hedged
    requests included. The cost is that a proxy with very few requests gets almost no retries, however healthy
    the endpoints are.

    Args:
        limit: the window and what is allowed in it; None: no limit.
    """

    def __init__(self, limit: AttemptLimit | None) -> None:
        self._limit = limit
        self._request_times_ms: deque[float] = deque()
        self._attempt_times_ms: deque[float] = deque()

    def request_arrived(self, now_ms: float) -> None:
        """Record the arrival of a request."""
        if self._limit:
            self._expire(now_ms, self._limit.window_ms)
            self._request_times_ms.append(now_ms)

    def allows(self, now_ms: float) -> bool:
        """Whether one more extra attempt may be sent now."""
        if not self._limit:
            return True
        self._expire(now_ms, self._limit.window_ms)
        allowed = self._limit.free + self._limit.share * len(self._request_times_ms)
        return len(self._attempt_times_ms) + 1 <= allowed

    def attempt_sent(self, now_ms: float) -> None:
        """Record an extra attempt."""
        if self._limit:
            self._attempt_times_ms.append(now_ms)

    def attempt_not_sent(self, sent_ms: float) -> None:
        """Remove the extra attempt recorded at `sent_ms`, which the proxy reported as not sent."""
        if sent_ms in self._attempt_times_ms:
            self._attempt_times_ms.remove(sent_ms)

    def _expire(self, now_ms: float, window_ms: float) -> None:
        """Drop entries older than the window; exactly at its edge an attempt counts, a request does not."""
        while self._request_times_ms and self._request_times_ms[0] <= now_ms - window_ms:
            self._request_times_ms.popleft()
        while self._attempt_times_ms and self._attempt_times_ms[0] < now_ms - window_ms:
            self._attempt_times_ms.popleft()
