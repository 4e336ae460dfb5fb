"""The highest recent rate at which one instance was served in time."""

from __future__ import annotations

RATE_WINDOW_MS = 2000.0  # ms; length of the windows in which served requests are counted
CAPACITY_HALF_LIFE_MS = 120_000.0  # ms in which a remembered rate halves


class PeakRate:
    """The highest rate of requests served in time, over recent windows, with decay."""

    def __init__(self) -> None:
        self.per_s = 0.0
        self._count = 0
        self._window_ms: float | None = None  # when the window began

    def record_served(self, now_ms: float) -> None:
        """Count a request that was served in time."""
        self.update(now_ms)
        self._count += 1

    def update(self, now_ms: float, decays: bool = True) -> float:
        """Close the window if it is over; return the rate in requests a second.

        Args:
            now_ms: the time.
            decays: whether the rate decays; False while limits keep the zone from being used.
        """
        if self._window_ms is None:
            self._window_ms = now_ms
        span_ms = now_ms - self._window_ms
        if span_ms >= RATE_WINDOW_MS:
            if decays:
                self.per_s *= 0.5 ** (span_ms / CAPACITY_HALF_LIFE_MS)
            self.per_s = max(self.per_s, 1000.0 * self._count / span_ms)
            self._count, self._window_ms = 0, now_ms
        return self.per_s
