"""What this proxy has learned of one endpoint: load, latency, errors, concurrency limit and pauses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from client_proxy.api.events import ListedEndpoint
from client_proxy.api.settings import Safety
from client_proxy.rates import SMOOTHING, WindowCount, doubled_pause_ms, warmed_up_share

# An endpoint is stalled after this many mean gaps between answers without one. With random arrivals a gap
# that long occurs by chance once in e**5 gaps.
STALL_GAPS = 5.0
# Endpoints serve few requests in parallel, so more in flight than this does not shorten the expected gap.
STALL_PARALLELISM = 4
# Growth of the concurrency limit per round of answers. It is slow because by the time latency shows a surge,
# the limit has already grown for several rounds.
LIMIT_GROWTH = 0.25
# An endpoint is paused when its smoothed error share exceeds the mean of all endpoints by more than this. One
# error among successes raises the share by 0.2, so a single error is tolerated.
TOLERATED_ERROR_SHARE = 0.3
HEALTHY_ERROR_SHARE = 0.1  # below this smoothed error share, a class counts as healthy at the endpoint
INITIAL_CONCURRENCY_LIMIT = 1.0  # low because many proxies may begin to use a new endpoint at once


@dataclass(slots=True)
class ClassStatistics:
    """Statistics of one request class at one endpoint."""

    earned_weight: float  # smoothed share of the priority weight that attempts earned, from 0 to 1
    error_share: float = 0.0  # smoothed share of failed attempts
    pause_count: int = 0  # pauses of the class here; each served answer takes one off
    paused_until_ms: float = 0.0
    served: bool = False  # the endpoint has served a request of the class


class Endpoint:
    """Statistics of one server process behind an endpoint; after a restart a new object takes its place.

    Args:
        listed: the endpoint's entry in the endpoint list.
        earned_weights: initial earned weight by class: the mean of all endpoints.
        slowness: initial slowness: the mean of all endpoints.
        latency_ms: initial smoothed latency: the mean of all endpoints.
        slow_start_window_ms: the window in which the slow-start limit counts sends.
    """

    def __init__(
        self,
        listed: ListedEndpoint,
        earned_weights: dict[str, float],
        slowness: float,
        latency_ms: float,
        slow_start_window_ms: float,
    ) -> None:
        self.listed = listed
        self.recent_sends = WindowCount(slow_start_window_ms)
        self.most_sends_while_warm = 0  # most sends in one window that ended while the endpoint was warm
        self.class_statistics = {name: ClassStatistics(weight) for name, weight in earned_weights.items()}
        self.slowness = slowness  # smoothed latency as a multiple of the class's baseline
        self.saturation = 1.0  # smoothed slowness over the target slowness; above 1 it is overloaded
        self.in_flight = 0  # attempts of this proxy in flight at the endpoint
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT  # on this proxy's attempts in flight
        self.latency_ms = latency_ms  # smoothed latency over all classes; 0: unknown
        self.last_answer_ms = float("-inf")  # when the endpoint last served an answer
        self.awaiting_since_ms = 0.0  # start of the wait for an answer: the last answer, or a send while idle
        self.consecutive_failures = 0  # since the last served answer; a burst of failures counts once
        self.error_share = 0.0  # smoothed share of failed attempts, over all classes
        self.paused_until_ms = 0.0
        self.decayed_ms: float | None = None  # when the statistics last decayed; None: never yet
        self.slow_start_credit = 0.0  # work that may still be sent to it while it warms up
        self.slow_start_credit_ms: float | None = None  # when the credit was last updated; None: never yet
        self.last_used_ms: float | None = None  # when the last attempt ended; None: no open connection
        # Requests in flight at the endpoint as of its last load probe, plus this proxy's sends since; None:
        # not reported.
        self.reported_in_flight: float | None = None
        self.probed_ms = float("-inf")  # when the last load probe ended
        self.probe_callbacks: list[Callable[[], None]] = []  # called when the load probe in flight ends

    def payoff(self, class_name: str) -> float:
        """The expected value of sending a request of the class here: earned weight over slowness."""
        return self.class_statistics[class_name].earned_weight / self.slowness

    def is_suspended(self, now_ms: float) -> bool:
        """Whether the endpoint gets no requests for now, of any class: it is paused or stalled."""
        return now_ms < self.paused_until_ms or self.is_stalled(now_ms)

    def has_capacity(self, now_ms: float, class_name: str = "") -> bool:
        """Whether one more request of the class is within the limit and no pause or stall prevents it."""
        paused = now_ms < self.class_statistics[class_name].paused_until_ms or self.is_suspended(now_ms)
        return self.in_flight < self.concurrency_limit and not paused

    def is_stalled(self, now_ms: float) -> bool:
        """Whether attempts are in flight and no answer has come for `STALL_GAPS` times the usual gap.

        Without this check a hung or disconnected endpoint would be sent requests until the first time-out.
        """
        if not self.in_flight or not self.latency_ms:
            return False
        gap_ms = self.latency_ms / min(self.in_flight, STALL_PARALLELISM)
        return now_ms - self.awaiting_since_ms > STALL_GAPS * gap_ms

    def record_answer(self, now_ms: float, class_name: str, latency_ms: float) -> None:
        """Record a served answer and its latency."""
        self.last_answer_ms = self.awaiting_since_ms = now_ms
        self.consecutive_failures = 0
        self.error_share -= SMOOTHING * self.error_share
        statistics = self.class_statistics[class_name]
        statistics.error_share -= SMOOTHING * statistics.error_share
        statistics.pause_count = max(0, statistics.pause_count - 1)
        statistics.served = True
        self.latency_ms += (SMOOTHING if self.latency_ms else 1.0) * (latency_ms - self.latency_ms)

    def record_failure(
        self, now_ms: float, class_name: str, mean_error_share: float, pause_ms: float, max_pause_ms: float
    ) -> None:
        """Record a failed attempt; pause the class or the endpoint if it fails clearly more than others.

        A pause after every failure would throttle healthy endpoints far below their capacity, since corrupted
        answers and broken connections occur now and then at any endpoint. An endpoint may also fail for one
        class only; then only this class is paused, so that the other classes keep a good endpoint.

        Args:
            now_ms: the time.
            class_name: class of the request.
            mean_error_share: share of failed attempts over all endpoints.
            pause_ms: duration of the first pause; each further one is twice as long.
            max_pause_ms: longest pause.
        """
        statistics = self.class_statistics[class_name]
        statistics.error_share += SMOOTHING * (1 - statistics.error_share)
        self.error_share += SMOOTHING * (1 - self.error_share)
        tolerated = TOLERATED_ERROR_SHARE + mean_error_share
        if not self._serves_other_classes(statistics):
            if self.error_share > tolerated:
                self.pause(now_ms, pause_ms, max_pause_ms)
        elif statistics.error_share > tolerated and now_ms >= statistics.paused_until_ms:
            statistics.pause_count += 1
            statistics.paused_until_ms = now_ms + doubled_pause_ms(
                statistics.pause_count, pause_ms, max_pause_ms
            )

    def _serves_other_classes(self, statistics: ClassStatistics) -> bool:
        return any(
            other.served and other.error_share < HEALTHY_ERROR_SHARE
            for other in self.class_statistics.values()
            if other is not statistics
        )

    def pause(self, now_ms: float, pause_ms: float, max_pause_ms: float) -> None:
        """Suspend the endpoint, twice as long each time in a row, and halve its concurrency limit.

        An endpoint that rejects or fails requests quickly has few in flight, so without pauses it would
        attract more than its share and fail it. While a pause lasts, further failures do not extend it.
        """
        if now_ms >= self.paused_until_ms:
            self.consecutive_failures += 1
            self.paused_until_ms = now_ms + doubled_pause_ms(
                self.consecutive_failures, pause_ms, max_pause_ms
            )
            self.concurrency_limit = max(1.0, self.concurrency_limit / 2)

    def record_quality(self, class_name: str, earned_weight: float, slowness: float | None) -> None:
        """Record the weight that an attempt earned, and its slowness; None: its latency is not meaningful."""
        statistics = self.class_statistics[class_name]
        statistics.earned_weight += SMOOTHING * (earned_weight - statistics.earned_weight)
        if slowness is not None:
            self.slowness += SMOOTHING * (slowness - self.slowness)

    def adapt_concurrency_limit(self, saturation: float) -> None:
        """Grow the concurrency limit while answers are fast enough, else shrink it by their slowness.

        Endpoints that are sent more than they can serve slow down, time out and become congested.

        Args:
            saturation: slowness of the latest answer over the target slowness; above 1 is too slow.
        """
        self.saturation += SMOOTHING * (saturation - self.saturation)
        if self.saturation > 1:
            self.concurrency_limit -= 1 - 1 / self.saturation
        elif self.in_flight + 1 >= self.concurrency_limit:
            self.concurrency_limit += LIMIT_GROWTH / self.concurrency_limit
        self.concurrency_limit = max(1.0, self.concurrency_limit)

    def decay_towards_mean(
        self, now_ms: float, span_ms: float, earned_weights: dict[str, float], slowness: float
    ) -> None:
        """Move earned weights and slowness towards the means of all endpoints, fully within `span_ms`.

        An endpoint with bad statistics is hardly ever picked, so without decay no new attempt would show that
        it has recovered.
        """
        since_ms = now_ms if self.decayed_ms is None else self.decayed_ms
        self.decayed_ms = now_ms
        share = min(1.0, (now_ms - since_ms) / span_ms)
        for name, statistics in self.class_statistics.items():
            statistics.earned_weight += share * (earned_weights[name] - statistics.earned_weight)
        self.slowness += share * (slowness - self.slowness)

    def warmed_up_share(self, now_ms: float, safety: Safety) -> float:
        """The share of its full capacity that the endpoint has at least; 1 when slow start is over."""
        return warmed_up_share(now_ms, self.listed.started_ms, safety)
