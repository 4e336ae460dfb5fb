"""Decides when to send a request despite all limits, to find out whether endpoints have recovered."""

from __future__ import annotations

# One request is sent after this time without any attempt, if at least this many requests arrived in it.
RECOVERY_PROBE_AFTER_MS, RECOVERY_PROBE_REQUESTS = 2500.0, 5


class RecoveryProbe:
    """Counts the requests that have arrived since the last attempt.

    Limits that were cut by rejections, slow answers and time-outs would reject all requests for seconds after
    the endpoints have recovered, since only an attempt can show the recovery. The cost: while endpoints are
    full, each proxy sends them a request every few seconds that its limits would have rejected.
    """

    def __init__(self) -> None:
        self._unsent_requests = 0
        self._since_ms = 0.0  # when the first of the counted requests arrived

    def request_arrived(self, now_ms: float) -> None:
        """Record the arrival of a request."""
        if not self._unsent_requests:
            self._since_ms = now_ms
        self._unsent_requests += 1

    def attempt_sent(self) -> None:
        """Restart the count after an attempt."""
        self._unsent_requests = 0

    def due(self, now_ms: float) -> bool:
        """Whether a request should be sent now despite the limits."""
        return (
            self._unsent_requests >= RECOVERY_PROBE_REQUESTS
            and now_ms - self._since_ms >= RECOVERY_PROBE_AFTER_MS
        )
