"""A rate limit of many instances that don't communicate; each limits itself to its own part."""

from __future__ import annotations

BURST_MS = 500.0  # ms; the burst is what the rate allows in this time, at least one request


class RateLimit:
    """A token bucket whose rate may change with each call.

    Args:
        initial_tokens: requests that are allowed at once at the start. 0 for a zone that recovers: one
            request from each of thousands of instances would overload it.
    """

    def __init__(self, initial_tokens: float = 0.0) -> None:
        self._tokens = initial_tokens
        self._filled_ms: float | None = None

    def tokens(self, now_ms: float, per_s: float) -> float:
        """Return the number of requests that may be sent now, at a rate of `per_s`."""
        if self._filled_ms is not None:
            self._tokens += per_s * max(0.0, now_ms - self._filled_ms) / 1000.0
        self._filled_ms = now_ms
        self._tokens = min(self._tokens, self.burst(per_s))
        return self._tokens

    @staticmethod
    def burst(per_s: float) -> float:
        """Return the most requests that are allowed at once."""
        return max(1.0, per_s * BURST_MS / 1000.0)

    def take(self) -> None:
        """Count a request that is sent."""
        self._tokens -= 1.0
