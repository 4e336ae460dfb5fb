"""A token bucket that takes the time as an argument."""

from __future__ import annotations


class TokenBucket:
    """A bucket that holds up to `burst` tokens, starts full and gains `per_s` tokens per second."""

    __slots__ = ("_burst", "_refilled_ms", "_tokens_per_ms", "tokens")

    def __init__(self, per_s: float, burst: float) -> None:
        self._tokens_per_ms, self._burst = per_s / 1000.0, burst
        self.tokens = burst
        self._refilled_ms: float | None = None

    def _refill(self, now_ms: float) -> None:
        if self._refilled_ms is not None:
            gained = max(0.0, now_ms - self._refilled_ms) * self._tokens_per_ms
            self.tokens = min(self._burst, self.tokens + gained)
        self._refilled_ms = now_ms

    def take(self, now_ms: float, cost: float = 1.0) -> bool:
        """Withdraw `cost` tokens; False, and nothing withdrawn, if there are too few."""
        self._refill(now_ms)
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def wait_ms(self, now_ms: float, cost: float = 1.0) -> float:
        """Time until `cost` tokens (or a full bucket, if that is less) are available, in ms; 0: now."""
        self._refill(now_ms)
        return max(0.0, min(cost, self._burst) - self.tokens) / self._tokens_per_ms
