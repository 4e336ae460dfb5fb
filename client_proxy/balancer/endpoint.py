"""One endpoint as this proxy has come to know it: its load, its answers, and how far it is trusted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from client_proxy.api.events import ListedEndpoint
from client_proxy.api.settings import Safety
from client_proxy.rates import SMOOTHING, WindowCount, doubled_pause_ms, warmed_up_share

# An endpoint that owes answers gives none for a time that this many mean gaps between them fit in once
# in e**5 times by chance.
STALL_GAPS = 5.0
STALL_PARALLELISM = 4  # with more in flight gaps are not taken to be shorter: few are served side by side
# Growth of a limit for each round of answers: by the time slowness shows, a surge has had some rounds.
LIMIT_GROWTH = 0.25
# Up to this share above the mean of all endpoints, failures among recent attempts are an endpoint's bad luck;
# one in good ones is 0.2.
TOLERATED_ERROR_SHARE = 0.3
HEALTHY_ERROR_SHARE = 0.1  # below this share a class has had no errors lately
INITIAL_CONCURRENCY_LIMIT = 1.0  # on an endpoint nothing is known of: many proxies may start at once


@dataclass(slots=True)
class ClassStatistics:
    """What a class of requests meets at an endpoint."""

    earned_weight: float  # smoothed share of priority weight that its answers earned
    error_share: float = 0.0  # smoothed share of errors among its answers
    pause_count: int = 0  # its pauses, less answers since
    paused_until_ms: float = 0.0
    served: bool = False  # it was served here


class Endpoint:
    """Statistics of one process behind an endpoint; a new process gets a new object.

    Args:
        listed: its entry of the endpoint list.
        earned_weights: by class, what an endpoint that nothing is known of is taken for.
        slowness: likewise.
        latency_ms: likewise.
        slow_start_window_ms: the window of the slow-start limit.
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
        self.most_sends_while_warm = 0  # in any such window that ended while it was warm
        self.class_statistics = {name: ClassStatistics(weight) for name, weight in earned_weights.items()}
        self.slowness = slowness  # smoothed latency, relative to the baseline of the class
        self.saturation = 1.0  # smoothed; above 1 it gets more than it should
        self.in_flight = 0  # attempts of this proxy
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT  # on the attempts of this proxy
        self.latency_ms = latency_ms  # smoothed, over all classes
        self.last_answer_ms = float("-inf")
        self.awaiting_since_ms = 0.0  # since then it owes answers and has given none
        self.consecutive_failures = 0  # a burst of them counted once
        self.error_share = 0.0  # smoothed share of errors among its answers
        self.paused_until_ms = 0.0
        self.decayed_ms: float | None = None  # up to when its statistics have decayed
        self.slow_start_credit = 0.0  # work that it may be sent while warming up
        self.slow_start_credit_ms: float | None = None  # when that was computed
        self.last_used_ms: float | None = None  # when the last attempt on it ended; None: no connection yet
        # Requests in flight there by its last load probe, and ours since; None: not reported.
        self.reported_in_flight: float | None = None
        self.probed_ms = float("-inf")  # when that was
        self.probe_callbacks: list[Callable[[], None]] = []  # called when the load probe in flight ends

    def payoff(self, class_name: str) -> float:
        """What a request of the class may expect here, relative to other endpoints."""
        return self.class_statistics[class_name].earned_weight / self.slowness

    def suspended(self, now_ms: float) -> bool:
        """Whether it gets no request for now, whatever the class."""
        return now_ms < self.paused_until_ms or self.stalled(now_ms)

    def has_capacity(self, now_ms: float, class_name: str = "") -> bool:
        """Whether one more request of the class is within its limit, and no pause is on."""
        paused = now_ms < self.class_statistics[class_name].paused_until_ms or self.suspended(now_ms)
        return self.in_flight < self.concurrency_limit and not paused

    def stalled(self, now_ms: float) -> bool:
        """Whether it has given none of the answers it owes for several times their usual gap.

        A hung or disconnected endpoint would take in work until the first time-out shows it.
        """
        if not self.in_flight or not self.latency_ms:
            return False
        gap_ms = self.latency_ms / min(self.in_flight, STALL_PARALLELISM)
        return now_ms - self.awaiting_since_ms > STALL_GAPS * gap_ms

    def record_answer(self, now_ms: float, class_name: str, latency_ms: float) -> None:
        """Take in a served answer."""
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
        """Take in a failed attempt, and pause the class or the endpoint if it fails clearly more than others.

        A pause for each failure would throttle healthy endpoints far below what they serve: answers are
        corrupted and connections break now and then anywhere. An endpoint may also fail one class alone; if
        that counted against it, the other classes would lose a good endpoint.

        Args:
            now_ms: the time.
            class_name: class of the request.
            mean_error_share: the share that fails at all endpoints.
            pause_ms: the first pause; it doubles with each further one,
            max_pause_ms: up to this.
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
        """Send it nothing for a while, twice as long each time, and halve its concurrency limit.

        An endpoint that rejects work or fails at once would take in, and spoil, more than its share.
        """
        if now_ms >= self.paused_until_ms:
            self.consecutive_failures += 1
            self.paused_until_ms = now_ms + doubled_pause_ms(
                self.consecutive_failures, pause_ms, max_pause_ms
            )
            self.concurrency_limit = max(1.0, self.concurrency_limit / 2)

    def record_quality(self, class_name: str, earned_weight: float, slowness: float | None) -> None:
        """Take in what an attempt has earned, and how slow it was; None: its latency says nothing."""
        statistics = self.class_statistics[class_name]
        statistics.earned_weight += SMOOTHING * (earned_weight - statistics.earned_weight)
        if slowness is not None:
            self.slowness += SMOOTHING * (slowness - self.slowness)

    def adapt_concurrency_limit(self, saturation: float) -> None:
        """Grow the limit a little a round while answers come in good time, else shrink it by their slowness.

        Endpoints that get more than they serve slow down, time out and jam.
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
        """Let earned weights and slowness drift to the means of all endpoints within `span_ms`.

        An endpoint judged bad is never picked, so nothing else would ever show that it is healthy again.
        """
        since_ms = now_ms if self.decayed_ms is None else self.decayed_ms
        self.decayed_ms = now_ms
        share = min(1.0, (now_ms - since_ms) / span_ms)
        for name, statistics in self.class_statistics.items():
            statistics.earned_weight += share * (earned_weights[name] - statistics.earned_weight)
        self.slowness += share * (slowness - self.slowness)

    def warmed_up_share(self, now_ms: float, safety: Safety) -> float:
        """The share of its full capacity that it surely has by now."""
        return warmed_up_share(now_ms, self.listed.started_ms, safety)
