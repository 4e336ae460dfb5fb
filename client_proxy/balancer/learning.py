"""Updates the statistics of endpoints, request classes and pools from the outcomes of attempts."""

from __future__ import annotations

from client_proxy.api.events import Outcome
from client_proxy.api.settings import RequestClass
from client_proxy.balancer.latency import MIN_TARGET_SLOWNESS, ClassLatency
from client_proxy.balancer.pool import CONGESTION_PROXIES, Pool
from client_proxy.balancer.request import Attempt, Request
from client_proxy.balancer.state import BalancerState

# A timed-out attempt that took more than this multiple of the endpoint's usual latency, while the endpoint
# answered other requests, counts as a lost reply, not as a slow one.
LOST_REPLY_FACTOR = 4.0
MAX_PAUSE_DEADLINES = 0.5  # longest pause, as a multiple of the longest deadline
# A pool whose admission gate admits at least this share counts as uncongested; an endpoint that does not
# answer is then taken to have a fault of its own.
UNCONGESTED_SHARE = 0.7

# Outcomes that are reported to the admission gate.
CONGESTION_EVIDENCE = (Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED)
ANSWERED_WITH_FAILURE = (Outcome.ERROR, Outcome.REJECTED)  # the endpoint runs, but failed the request
# Outcomes that the proxy or the client has caused, so they tell nothing about the endpoint.
NO_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.UNUSABLE)


class OutcomeLearner:
    """Updates limits, pauses, latencies and admission gates from the outcomes of attempts."""

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._endpoint_set, self._class_latencies = state.endpoint_set, state.class_latencies
        self._report_fields = state.settings.report_fields
        self._max_pause_ms = MAX_PAUSE_DEADLINES * state.longest_deadline_ms

    def learn(
        self, request: Request, attempt: Attempt, latency_ms: float, report: tuple[float, ...] | None
    ) -> None:
        """Learn from an attempt that has ended.

        Args:
            request: the request of the attempt.
            attempt: the attempt, with its outcome.
            latency_ms: duration of the attempt.
            report: the endpoint's load report, in the order of the settings' `report_fields`; None: no
                report.
        """
        outcome, request_class = attempt.outcome, request.request_class
        if outcome is Outcome.OK:
            self._state.retry_budget.deposit()
        if outcome in NO_EVIDENCE or request_class is None:
            return
        latency = self._class_latencies[request_class.name]
        pool = self._endpoint_set.pool_of(attempt.endpoint)
        uncongested = pool.admission_gate.share >= UNCONGESTED_SHARE
        if self._state.idle_connections.detect_idle_loss(
            attempt, latency_ms, latency.fastest_answer_ms(), uncongested, self._state.now_ms
        ):
            return  # the connection failed, not the endpoint
        if outcome in CONGESTION_EVIDENCE and not attempt.recorded_late:
            pool.record_answer(late=outcome is not Outcome.OK or latency_ms > latency.late_after_ms())
        answers_others = attempt.endpoint.last_answer_ms >= attempt.sent_ms
        # Without this check, a lost reply of an endpoint that answers other requests fast would look like
        # slowness.
        is_overlong = latency_ms > LOST_REPLY_FACTOR * attempt.endpoint.latency_ms
        lost = outcome is Outcome.TIMEOUT and answers_others and is_overlong
        self._record_quality(request, request_class, attempt, latency, latency_ms, lost)
        # A hung endpoint rejects nothing; a time-out reveals it if the endpoint has answered nothing
        # meanwhile. Under congestion a time-out reveals nothing: all endpoints are slow, and sending
        # elsewhere loads the others even more.
        unanswered = outcome is Outcome.TIMEOUT and uncongested and not answers_others
        if outcome in (Outcome.OK, Outcome.TIMEOUT) and not unanswered and not lost:
            slowness = max(latency.slowness(latency_ms), self._reported_slowness(report))
            attempt.endpoint.adapt_concurrency_limit(slowness / self.target_slowness())
        else:
            self._pause_if_failing(request_class, attempt, pool, latency.baseline_ms, unanswered)

    def _record_quality(
        self,
        request: Request,
        request_class: RequestClass,
        attempt: Attempt,
        latency: ClassLatency,
        latency_ms: float,
        lost: bool,
    ) -> None:
        if attempt.outcome is Outcome.OK:
            self._record_served(request, request_class, attempt, latency, latency_ms)
        else:
            self._record_failed(request_class, attempt, latency.slowness(latency_ms), lost)

    def _record_served(
        self,
        request: Request,
        request_class: RequestClass,
        attempt: Attempt,
        latency: ClassLatency,
        latency_ms: float,
    ) -> None:
        slowness = latency.slowness(latency_ms)
        latency.record(latency_ms)
        objective_ms = request.latency_objective_ms(request_class)
        late_share = request_class.late_weight_share
        # The endpoint is judged by the duration of the attempt, the class by the time since the client's
        # first request.
        client_in_time = self._state.now_ms <= request.first_request_ms + objective_ms
        self._state.demand.request_ended(request_class.name, 1.0 if client_in_time else late_share)
        earned_weight = 1.0 if latency_ms <= objective_ms else late_share
        endpoint, name = attempt.endpoint, request_class.name
        self._endpoint_set.record_quality(endpoint, name, earned_weight, slowness, False)
        self._endpoint_set.record_answer(self._state.now_ms, endpoint, name, latency_ms)

    def _record_failed(
        self, request_class: RequestClass, attempt: Attempt, slowness: float, lost: bool
    ) -> None:
        """Record a failure in the endpoint's statistics.

        An endpoint that fails quickly must not look fast. So the latency of an error or rejection is ignored,
        and any other failure counts as at least as slow as the baseline.
        """
        latency_is_meaningless = lost or attempt.outcome in ANSWERED_WITH_FAILURE
        counted_slowness = None if latency_is_meaningless else max(1.0, slowness)
        self._endpoint_set.record_quality(attempt.endpoint, request_class.name, 0.0, counted_slowness, True)

    def _pause_if_failing(
        self, request_class: RequestClass, attempt: Attempt, pool: Pool, pause_ms: float, unanswered: bool
    ) -> None:
        endpoint, now_ms = attempt.endpoint, self._state.now_ms
        if attempt.outcome in ANSWERED_WITH_FAILURE:
            endpoint.awaiting_since_ms = now_ms  # it has answered, so it is not stalled
        if unanswered and pool.proxies_per_endpoint() > CONGESTION_PROXIES:
            # With many proxies per endpoint, each sends there too rarely to wait for a second time-out.
            endpoint.pause(now_ms, pause_ms, self._max_pause_ms)
        else:
            mean_error_share = self._endpoint_set.error_share
            endpoint.record_failure(
                now_ms, request_class.name, mean_error_share, pause_ms, self._max_pause_ms
            )

    def target_slowness(self) -> float:
        """The slowness (latency over baseline) up to which endpoints are loaded.

        An endpoint slows down for all classes alike, so the class with the least headroom sets the target.
        """
        targets = [latency.target_slowness() for latency in self._class_latencies.values() if latency.samples]
        return min(targets, default=MIN_TARGET_SLOWNESS)

    def _reported_slowness(self, report: tuple[float, ...] | None) -> float:
        """The factor by which queueing inflates the latency, from the endpoint's report; 1 if unknown.

        A proxy that starts during an overload would take the latencies that it sees for those without a
        queue.
        """
        fields = self._report_fields
        if report is None or "inflight" not in fields or "queue" not in fields:
            return 1.0
        in_flight, queued = report[fields.index("inflight")], report[fields.index("queue")]
        return in_flight / max(1.0, in_flight - queued) if queued > 0 else 1.0
