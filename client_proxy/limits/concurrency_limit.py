"""How much one of many instances may have under way at all servers together.

From 1 on the figure, the window, is the number of requests that may be under way at once; its part beyond a
whole number lets one more through now and then. Below 1, where a crowd has cut it, one at a time goes out,
and it is the share of the work offered that is taken on at all (`priority.py` says of whom). Instances so
many that their part is below 1 from the beginning go by another figure, the duty (`pacing.py`).

The control is that of Swift (Kumar et al., "Swift: Delay is Simple and Effective for Congestion Control in
the Datacenter", SIGCOMM 2020): additive growth under a target delay, cuts in proportion to the excess over
it, a higher target for smaller windows; with the servers' inflation (`congestion.py`) in the place of the
delay, and by time, so that instances that hear of the servers often and seldom move alike. What an instance
leaves unused is taken back (RFC 7661, 4.4), and the others' windows grow into it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import exp, sqrt

MAX_GROWTH_SPAN_S = 0.5  # of growth by one answer: an instance that hears seldom must not leap
MAX_CUT_SPAN_S = 1.0  # of cuts by one answer
MIN_SIZE_SHARE_KEPT = 0.4  # of the window, by any one answer
IDLE_INFLATION = 1.2  # up to it endpoints are idle: a window grows by a share of itself as well
IDLE_GROWTH_PER_S = 3.5  # of itself
IDLE_SHARE_GROWTH_PER_S = 0.15  # of a window below 1, which is a share of the work
SMALL_WINDOW_TARGET_BONUS = 0.2  # of the target, so that windows of unequal size come to be alike
# A window cut to a tenth while endpoints were full would else reject for ten times as long as they were.
INITIAL_SIZE_GROWTH_PER_S = 0.25  # of the initial size, at the least
SHARE_GROWTH_RATIO = 0.3  # of the growth of a window above 1
UNUSED_DECAY_S = 5.0  # time constant of taking back what is not used
KEPT_USE_MULTIPLE = 2.0  # of the mean use, kept for bursts
SILENCE_BEFORE_RETRY_MS = 1500.0  # without an answer, after which an instance that sends nothing tries again
# By how much of the window, and by how many requests, the class of the highest priority may go beyond it.
# With a window of two, one long answer of a class of little weight would else delay the other past its time.
BORROWED_SIZE_SHARE, BORROWED_REQUESTS = 0.5, 1.0
DEFAULT_LATENCY_MS = 100.0  # until attempts were answered


@dataclass(frozen=True, slots=True)
class WindowSettings:
    """How a window grows and shrinks."""

    target_inflation: float = 2.7  # inflation up to which servers are fed
    growth_per_s: float = 1.0  # requests by which a window grows in a second, at most
    cut_per_s: float = 2.5  # of the excess over the target, taken off in a second
    min_size: float = 0.02


class ConcurrencyWindow:
    """The requests that one instance may have in flight at all endpoints together."""

    def __init__(self, stated: WindowSettings, usual_target: float | None = None) -> None:
        """`usual_target`: what operators stated, where `stated` has a lower one."""
        self._settings = stated
        self._stated_target = usual_target or stated.target_inflation
        self.size = 1.0
        self._growth = stated.growth_per_s
        self.in_flight = 0
        self.latency_ms = 0.0  # what an attempt takes, smoothed
        self._recorded_ms = 0.0
        self._was_binding = False  # somebody was held back since it was told last
        self._mean_in_flight = 1.0
        self._credit, self._credit_ms = 0.0, 0.0  # towards one more than the whole part

    def start(self, size: float) -> None:
        """What it starts from, once the servers are known: this instance's part of what they hold."""
        self.size = max(1.0, size)
        self._growth = self._settings.growth_per_s * max(1.0, INITIAL_SIZE_GROWTH_PER_S * self.size)
        self._mean_in_flight = self.size / KEPT_USE_MULTIPLE

    def apply_settings(self, stated: WindowSettings) -> None:
        """Operators have changed it. Its size and growth stand: they were measured, and go on from here."""
        if self._settings.growth_per_s:
            self._growth *= stated.growth_per_s / self._settings.growth_per_s
        # A target that was lowered for an instance that shares its servers stays as much lower.
        lowered = self._settings.target_inflation / self._stated_target
        self._stated_target = stated.target_inflation
        self._settings = replace(stated, target_inflation=stated.target_inflation * lowered)

    @property
    def target(self) -> float:
        """The inflation up to which servers are fed."""
        return self._settings.target_inflation

    @property
    def usual_latency_ms(self) -> float:
        """What an attempt takes, as far as is known."""
        return self.latency_ms or DEFAULT_LATENCY_MS

    @property
    def departures_per_ms(self) -> float:
        """Requests that go out."""
        return max(1.0, self.size) / self.usual_latency_ms

    @property
    def share(self) -> float:
        """Of the work offered, what may be taken on."""
        return min(1.0, self.size)

    def scale(self, times: float) -> None:
        """Scale the window when endpoints are listed or gone: together they can serve `times` as much.

        Where a third of them drains, queues alone would show it, and only when the rest is overloaded.
        """
        self.size = max(self._settings.min_size, self.size * times)

    def borrowable(self, ahead: float) -> float:
        """Requests by which the worthier may go beyond it. `ahead`: 1 for the worthiest, 0 for the last."""
        return ahead * (BORROWED_SIZE_SHARE * self.size + BORROWED_REQUESTS) if self.size >= 1.0 else 0.0

    def request_arrived(self, now_ms: float, work: float) -> None:
        """A request has come. What is asked for says nothing here: only what is held back does."""

    def is_full(self, now_ms: float, more: float = 0.0) -> bool:
        """Is there no room for one more? `more`: requests beyond the window that are let through."""
        size = max(1.0, self.size)
        whole = int(size + 1e-9)
        earned = (size - whole) * max(0.0, now_ms - self._credit_ms) / self.usual_latency_ms
        self._credit = min(1.0, self._credit + earned)
        self._credit_ms = now_ms
        beyond = self.in_flight - whole - int(more)  # with credit one more goes out, and never two
        full = beyond > 0 or (beyond == 0 and self._credit < 1.0)
        self._was_binding = self._was_binding or full
        return full

    def has_spare_credit(self, now_ms: float) -> bool:
        """Is there room for work that its share would refuse? A window's share is below 1 only when there is
        none."""
        return False

    def request_rejected(self, now_ms: float) -> None:
        """Work was refused for the share's sake."""
        self._was_binding = True
        if not self.in_flight and now_ms - self._recorded_ms > SILENCE_BEFORE_RETRY_MS:
            # An instance that sends nothing gets no answers, and would never learn of new capacity.
            self.record_inflation(now_ms, 1.0)

    def attempt_sent(self, now_ms: float, work: float) -> None:
        """Count an attempt that goes out."""
        if self.in_flight >= int(max(1.0, self.size) + 1e-9):
            self._credit = max(0.0, self._credit - 1.0)
        self.in_flight += 1

    def attempt_ended(self, now_ms: float, took_ms: float | None = None) -> None:
        """`took_ms`: of an attempt that was answered."""
        self.in_flight -= 1
        if took_ms is not None:
            self.latency_ms += (0.1 if self.latency_ms else 1.0) * (took_ms - self.latency_ms)

    def record_inflation(self, now_ms: float, inflation: float) -> None:
        """Adapt to the inflation of requests' time at the servers, as it is now."""
        stated = self._settings
        span_s = max(0.0, now_ms - self._recorded_ms) / 1000.0
        self._recorded_ms = now_ms
        higher = 1.0 + SMALL_WINDOW_TARGET_BONUS / sqrt(max(1.0, self.size))
        room = 1.0 - inflation / (stated.target_inflation * higher)
        if room < 0:
            self.size *= max(MIN_SIZE_SHARE_KEPT, exp(stated.cut_per_s * min(MAX_CUT_SPAN_S, span_s) * room))
        elif self._was_binding:  # only a window that binds is found too small
            # Additive, so that windows of unequal size come to be alike; but where servers idle there is
            # nothing to share out yet.
            growth = self._growth * (1.0 if self.size > 1.0 else SHARE_GROWTH_RATIO)
            if inflation <= IDLE_INFLATION:
                growth += IDLE_GROWTH_PER_S * self.size if self.size > 1.0 else IDLE_SHARE_GROWTH_PER_S
            self.size += min(MAX_GROWTH_SPAN_S, span_s) * min(1.0, 2.0 * room) * growth
        # A window much larger than what is used protects nothing when it is needed.
        part = min(1.0, span_s / UNUSED_DECAY_S)
        self._mean_in_flight += part * (self.in_flight + 1 - self._mean_in_flight)
        most = max(1.0, KEPT_USE_MULTIPLE * self._mean_in_flight)
        if not self._was_binding and self.size > most:
            self.size -= part * (self.size - most)
        self.size = max(stated.min_size, self.size)
        self._was_binding = False
