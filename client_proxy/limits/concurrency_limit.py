"""The concurrency window: how many requests one of many instances may have in flight at all endpoints.

From 1 on, the window is the number of requests that may be in flight at once; its fractional part lets one
more through now and then. Below 1, when congestion has cut it, one request at a time is sent, and the window
is the share of the offered work that is admitted (`priority.py` decides which classes get it). Where there
are so many instances that the part of each is below 1 from the start, `pacing.py` is used instead.

The control follows Swift (Kumar et al., "Swift: Delay is Simple and Effective for Congestion Control in the
Datacenter", SIGCOMM 2020): additive growth under a target delay, cuts in proportion to the excess over the
target, and a higher target for smaller windows. In place of the delay it uses the latency inflation of the
endpoints (`congestion.py`). Growth and cuts are by elapsed time, not by answer, so that instances with many
and with few answers adapt alike. Window that an instance leaves unused is taken back (RFC 7661, section 4.4),
and the windows of the others grow into it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import exp, sqrt

MAX_GROWTH_SPAN_S = 0.5  # s; longest time that one answer's growth accounts for: no jump after a silence
MAX_CUT_SPAN_S = 1.0  # s; longest elapsed time that one answer's cut accounts for
MIN_SIZE_SHARE_KEPT = 0.4  # least fraction of the window that one answer's cut leaves
# Up to this latency inflation endpoints are idle, and a window also grows in proportion to its size.
IDLE_INFLATION = 1.2
IDLE_GROWTH_PER_S = 3.5  # growth per second while endpoints are idle, as a multiple of the window
IDLE_SHARE_GROWTH_PER_S = 0.15  # the same for a window below 1, as an absolute share of the work
# Fraction added to the target of a window of 1, and less to a larger one, so that unequal windows converge.
SMALL_WINDOW_TARGET_BONUS = 0.2
# Least growth per second, as a fraction of the initial size. Otherwise a window that was cut to a tenth while
# endpoints were full would reject requests for ten times as long as they were full.
INITIAL_SIZE_GROWTH_PER_S = 0.25
SHARE_GROWTH_RATIO = 0.3  # growth of a window up to 1, as a fraction of that of a larger one
UNUSED_DECAY_S = 5.0  # s; time constant with which unused window is taken back
KEPT_USE_MULTIPLE = 2.0  # multiple of the mean use that is kept for bursts
SILENCE_BEFORE_RETRY_MS = 1500.0  # ms without an answer, after which an instance that sends nothing retries
# Fraction of the window, and number of requests, by which the class of the highest priority may exceed it.
# Otherwise, with a window of two, one slow request of a low-priority class would make the others late.
BORROWED_SIZE_SHARE, BORROWED_REQUESTS = 0.5, 1.0
DEFAULT_LATENCY_MS = 100.0  # ms; assumed until an attempt was answered


@dataclass(frozen=True, slots=True)
class WindowSettings:
    """The parameters by which a window grows and shrinks."""

    target_inflation: float = 2.7  # latency inflation up to which the load is increased
    growth_per_s: float = 1.0  # most requests by which a window grows in a second
    cut_per_s: float = 2.5  # rate of the exponential cut, for each unit of relative excess over the target
    min_size: float = 0.02  # requests; a window is never cut below


class ConcurrencyWindow:
    """The requests that one instance may have in flight at all endpoints together."""

    def __init__(self, settings: WindowSettings, usual_target: float | None = None) -> None:
        """Create a window of one request.

        Args:
            settings: how the window grows and shrinks.
            usual_target: the target inflation that operators stated, where `settings` has a lower one.
        """
        self._settings = settings
        self._stated_target = usual_target or settings.target_inflation
        self.size = 1.0
        self._growth_per_s = settings.growth_per_s
        self.in_flight = 0
        self.latency_ms = 0.0  # of answered attempts, smoothed; 0: none yet
        self._recorded_ms = 0.0  # when the inflation was recorded last
        self._was_binding = False  # a request was held back since then
        self._mean_in_flight = 1.0
        # Credit towards one request beyond the whole part, and its time.
        self._credit, self._credit_updated_ms = (
            0.0,
            0.0,
        )

    def start(self, size: float) -> None:
        """Set the initial size, once endpoints are known: this instance's part of what they can hold."""
        self.size = max(1.0, size)
        self._growth_per_s = self._settings.growth_per_s * max(1.0, INITIAL_SIZE_GROWTH_PER_S * self.size)
        self._mean_in_flight = self.size / KEPT_USE_MULTIPLE

    def apply_settings(self, settings: WindowSettings) -> None:
        """Take over changed settings.

        The size and the growth are adapted to the endpoints by now, so both are kept and adapted further.
        """
        if self._settings.growth_per_s:
            self._growth_per_s *= settings.growth_per_s / self._settings.growth_per_s
        # A target that was lowered, for instances that share endpoints, stays lower by the same factor.
        target_factor = self._settings.target_inflation / self._stated_target
        self._stated_target = settings.target_inflation
        self._settings = replace(settings, target_inflation=settings.target_inflation * target_factor)

    @property
    def target(self) -> float:
        """Latency inflation up to which the load is increased."""
        return self._settings.target_inflation

    @property
    def usual_latency_ms(self) -> float:
        """Smoothed latency of an attempt; a default until one was answered."""
        return self.latency_ms or DEFAULT_LATENCY_MS

    @property
    def departures_per_ms(self) -> float:
        """Rate at which a full window sends requests."""
        return max(1.0, self.size) / self.usual_latency_ms

    @property
    def share(self) -> float:
        """Share of the offered work that may be admitted."""
        return min(1.0, self.size)

    def scale(self, factor: float) -> None:
        """Scale the window by the factor by which a change of the endpoint list has changed the capacity.

        Otherwise, when a third of the endpoints drains, only the queues of the others would show it, once
        these are overloaded.
        """
        self.size = max(self._settings.min_size, self.size * factor)

    def borrowing_allowance(self, rank: float) -> float:
        """Return by how many requests a class may exceed the window.

        Args:
            rank: 1 for the class of the highest priority, 0 for the lowest.
        """
        return rank * (BORROWED_SIZE_SHARE * self.size + BORROWED_REQUESTS) if self.size >= 1.0 else 0.0

    def request_arrived(self, now_ms: float, work: float) -> None:
        """Do nothing: a window adapts to the requests it holds back, not to those that arrive."""

    def is_full(self, now_ms: float, borrowed: float = 0.0) -> bool:
        """Return whether one more request would exceed the window.

        Args:
            now_ms: the time.
            borrowed: requests by which the window may be exceeded.
        """
        size = max(1.0, self.size)
        whole_part = int(size + 1e-9)
        earned_credit = (
            (size - whole_part) * max(0.0, now_ms - self._credit_updated_ms) / self.usual_latency_ms
        )
        self._credit = min(1.0, self._credit + earned_credit)
        self._credit_updated_ms = now_ms
        excess = self.in_flight - whole_part - int(borrowed)  # credit allows one more, never two
        full = excess > 0 or (excess == 0 and self._credit < 1.0)
        self._was_binding = self._was_binding or full
        return full

    def has_spare_credit(self, now_ms: float) -> bool:
        """Return whether a request may be sent that its class's share would reject.

        A window never allows that: its share is below 1 only while it has no room.
        """
        return False

    def request_rejected(self, now_ms: float) -> None:
        """Count a request that was rejected because the admitted share is below 1."""
        self._was_binding = True
        if not self.in_flight and now_ms - self._recorded_ms > SILENCE_BEFORE_RETRY_MS:
            # An instance that sends nothing gets no answers, and would never learn that there is capacity.
            self.record_inflation(now_ms, 1.0)

    def attempt_sent(self, now_ms: float, work: float) -> None:
        """Count an attempt that goes out."""
        if self.in_flight >= int(max(1.0, self.size) + 1e-9):
            self._credit = max(0.0, self._credit - 1.0)
        self.in_flight += 1

    def attempt_ended(self, now_ms: float, took_ms: float | None = None) -> None:
        """Count an attempt that has ended; `took_ms` is its latency if it was answered."""
        self.in_flight -= 1
        if took_ms is not None:
            self.latency_ms += (0.1 if self.latency_ms else 1.0) * (took_ms - self.latency_ms)

    def record_inflation(self, now_ms: float, inflation: float) -> None:
        """Adapt the window to the current latency inflation of the endpoints."""
        settings = self._settings
        span_s = max(0.0, now_ms - self._recorded_ms) / 1000.0
        self._recorded_ms = now_ms
        target_factor = 1.0 + SMALL_WINDOW_TARGET_BONUS / sqrt(max(1.0, self.size))
        headroom = 1.0 - inflation / (settings.target_inflation * target_factor)
        if headroom < 0:
            self.size *= max(
                MIN_SIZE_SHARE_KEPT, exp(settings.cut_per_s * min(MAX_CUT_SPAN_S, span_s) * headroom)
            )
        elif self._was_binding:  # a window that held nothing back is not too small
            # Additive, so that unequal windows converge. While endpoints are idle, fairness doesn't matter
            # yet, and growth in proportion to the size is added.
            growth = self._growth_per_s * (1.0 if self.size > 1.0 else SHARE_GROWTH_RATIO)
            if inflation <= IDLE_INFLATION:
                growth += IDLE_GROWTH_PER_S * self.size if self.size > 1.0 else IDLE_SHARE_GROWTH_PER_S
            self.size += min(MAX_GROWTH_SPAN_S, span_s) * min(1.0, 2.0 * headroom) * growth
        # A window much larger than the use would not limit anything when congestion begins.
        decay = min(1.0, span_s / UNUSED_DECAY_S)
        self._mean_in_flight += decay * (self.in_flight + 1 - self._mean_in_flight)
        max_kept = max(1.0, KEPT_USE_MULTIPLE * self._mean_in_flight)
        if not self._was_binding and self.size > max_kept:
            self.size -= decay * (self.size - max_kept)
        self.size = max(settings.min_size, self.size)
        self._was_binding = False
