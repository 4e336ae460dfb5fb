"""Smoothed rates, counts in sliding windows, pause durations and slow-start shares."""

from __future__ import annotations

from collections import deque

from client_proxy.api.settings import Safety

SMOOTHING = 0.2  # weight of a new sample in exponential smoothing: about the last ten samples count
MAX_DOUBLINGS = 16  # a pause is doubled at most this often, which avoids an overflow


class WorkRate:
    """The rate at which work is sent, smoothed over `span_ms`."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._sum = 0.0
        self._decayed_ms = 0.0

    def _decay(self, now_ms: float) -> None:
        self._sum *= max(0.0, 1 - (now_ms - self._decayed_ms) / self._span_ms)
        self._decayed_ms = now_ms

    def add(self, now_ms: float, work: float) -> None:
        """Record work that is sent now."""
        self._decay(now_ms)
        self._sum += work

    def per_ms(self, now_ms: float) -> float:
        """The smoothed rate now, in work per ms."""
        self._decay(now_ms)
        return self._sum / self._span_ms


MAX_COUNTED_EVENTS = 4096  # per `WindowCount`; bounds its memory, since settings may state a window of years


class WindowCount:
    """Counts the events of the last `window_ms`, up to `MAX_COUNTED_EVENTS`."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._times_ms: deque[float] = deque(maxlen=MAX_COUNTED_EVENTS)

    def count(self, now_ms: float) -> int:
        """The number of events in the window that ends now."""
        while self._times_ms and self._times_ms[0] <= now_ms - self._window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)

    def add(self, now_ms: float) -> int:
        """Record an event now; returns the number of events in the window, this one included."""
        self._times_ms.append(now_ms)
        return self.count(now_ms)


def doubled_pause_ms(failures: int, first_ms: float, max_ms: float) -> float:
    """The pause after a number of failures in a row: `first_ms`, doubled per failure, up to `max_ms`."""
    return min(max_ms, first_ms * 2.0 ** min(failures - 1, MAX_DOUBLINGS))


def warmed_up_share(now_ms: float, started_ms: float | None, safety: Safety) -> float:
    """The share of its full capacity that an endpoint has at least by now.

    Args:
        now_ms: the time.
        started_ms: when its process started; None: so long ago that it is warm.
        safety: states how long slow start lasts and at which share it begins.
    """
    if started_ms is None or safety.slow_start_ms <= 0:
        return 1.0
    elapsed_share = max(0.0, now_ms - started_ms) / safety.slow_start_ms
    return min(1.0, safety.slow_start_share + (1 - safety.slow_start_share) * elapsed_share)
