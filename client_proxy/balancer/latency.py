"""Latency statistics of a request class over all endpoints."""

from __future__ import annotations

from client_proxy.api.settings import RequestClass
from client_proxy.rates import SMOOTHING

BASELINE_WINDOW = 25  # answers per sample of the baseline, a class's latency without queueing
MIN_LATENCY_MS = 0.01
BASELINE_DRIFT = 1.002  # factor by which the baseline may rise per window
INITIAL_TAIL_RATIO = 2.0  # assumed ratio of the 95th percentile to the mean until a window is full
# Endpoints are loaded until queueing uses this share of the headroom between the tail of the latency without
# queueing and the latency objective; the resulting target slowness is kept within these bounds.
SLOWNESS_HEADROOM = 0.5
MIN_TARGET_SLOWNESS, MAX_TARGET_SLOWNESS = 1.25, 3.0
FASTEST_ANSWER_SHARE = 0.5  # answers are not expected in less than this share of the baseline


class ClassLatency:
    """Mean latency of a request class, its baseline (the latency without queueing) and its tail."""

    def __init__(self, request_class: RequestClass) -> None:
        self.request_class = request_class
        self.mean_ms = request_class.latency_objective_ms / 4  # an assumption until the first answer
        self.baseline_ms = request_class.latency_objective_ms / 4  # follows the mean until a window is full
        self.tail_ratio = INITIAL_TAIL_RATIO  # smoothed ratio of the 95th percentile to the mean, per window
        self.samples = 0  # answers recorded
        self._window: list[float] = []

    def record(self, latency_ms: float) -> None:
        """Record the latency of one answer."""
        self.samples += 1
        self.mean_ms += max(1 / self.samples, SMOOTHING / 10) * (latency_ms - self.mean_ms)
        self.mean_ms = max(self.mean_ms, MIN_LATENCY_MS)
        if self.samples <= BASELINE_WINDOW:
            self.baseline_ms = self.mean_ms
        self._window.append(latency_ms)
        if len(self._window) == BASELINE_WINDOW:
            self._close_window()

    def _close_window(self) -> None:
        """Update the baseline and the tail ratio with a full window.

        The baseline is the lowest window mean, each raised by its standard error. The lowest of many noisy
        means would be far below the true latency and throttle healthy endpoints.
        """
        mean = sum(self._window) / BASELINE_WINDOW
        variance = sum((x - mean) ** 2 for x in self._window) / BASELINE_WINDOW
        raised_mean = mean + (variance / BASELINE_WINDOW) ** 0.5
        self.baseline_ms = max(MIN_LATENCY_MS, min(self.baseline_ms * BASELINE_DRIFT, raised_mean))
        relative_tail = sorted(self._window)[-2] / mean  # about the 95th percentile
        self.tail_ratio += SMOOTHING * (max(1.0, relative_tail) - self.tail_ratio)
        self._window.clear()

    def late_after_ms(self) -> float:
        """The latency above which an answer shows congestion: halfway from usual tail to objective."""
        tail_ms = self.baseline_ms * self.tail_ratio
        return tail_ms + max(0.0, self.request_class.latency_objective_ms - tail_ms) / 2

    def slowness(self, latency_ms: float) -> float:
        """A latency as a multiple of the baseline."""
        return latency_ms / self.baseline_ms

    def target_slowness(self) -> float:
        """The slowness (latency over baseline) up to which this class allows endpoints to be loaded."""
        headroom = self.request_class.latency_objective_ms / (self.baseline_ms * self.tail_ratio) - 1
        return min(MAX_TARGET_SLOWNESS, max(MIN_TARGET_SLOWNESS, 1 + SLOWNESS_HEADROOM * headroom))

    def fastest_answer_ms(self) -> float:
        """The shortest latency that is expected of an answer, in ms."""
        return self.baseline_ms * FASTEST_ANSWER_SHARE
