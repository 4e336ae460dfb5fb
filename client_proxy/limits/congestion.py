"""Estimates how congested the endpoints are, from the answers that one instance receives.

The measure is the latency inflation: the time that a request spends at an endpoint over the time for which it
is executed. 1 means that nothing is queued, 2 that as many requests are queued as are executed. By Little's
law it equals the requests in flight at an endpoint over those that it executes, so a load report with both
gives it at once, whichever instance sent the load. All instances that use an endpoint read the same
inflation, so their limits agree without any communication.

Three signs are used besides load reports, which don't show them. Slow answers reveal an endpoint that wrongly
reports to be idle. A rejection says that an endpoint is full. And when most attempts get no answer at all,
endpoints are behind by more than the attempts' timeout; the loss of a third of the endpoints does not look
like that.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from client_proxy.api.events import Outcome

LOAD_MEMORY_MS = 6000.0  # ms; an older observation of an endpoint is ignored
# ms without any attempt sent, after which all earlier observations are ignored. Otherwise an instance that
# sends only a probe now and then would count each fast answer as one of ten at a slow endpoint, and its limit
# would be cut by it.
STALE_AFTER_MS = 2000.0
LOSS_SMOOTHING = 0.15  # gain of each attempt: about the last seven count
# If a larger share of attempts than MAX_LOSS_SHARE is unanswered, endpoints are congested. The exception: one
# has answered within RECENT_ANSWER_MS and the inflation is below UNCONGESTED_INFLATION; then some endpoints
# can't be reached, and the others are not congested.
MAX_LOSS_SHARE = 0.5
RECENT_ANSWER_MS = 1000.0
UNCONGESTED_INFLATION = 1.8
SLOWNESS_SMOOTHING = 0.1  # gain of each answer: about the last ten of an endpoint count
MIN_EXECUTING = 0.5  # requests; least divisor of an endpoint's requests in flight
MAX_INFLATION = 10.0  # most for one endpoint: what it executes is the difference of two noisy values
TOLERATED_SLOWNESS = 2.5  # slowness over reported inflation, beyond which the report is taken to be wrong


@dataclass(slots=True)
class EndpointLoad:
    """The load of one endpoint by its latest answers."""

    recorded_ms: float
    in_flight: float = 0.0  # requests at the endpoint, by its last load report
    executing: float = 0.0  # those of them that it executes; the others are queued
    slowness: float = 1.0  # smoothed latency of its answers over the uncongested latency of their class


class CongestionEstimate:
    """The load of each endpoint and the latency inflation over all; `retain` drops endpoints not listed."""

    def __init__(self, fields: tuple[str, ...], rejection_inflation: float) -> None:
        """Create an estimate without observations.

        Args:
            fields: names of the values in a load report, in order.
            rejection_inflation: the latency inflation that a rejection by a full endpoint stands for.
        """
        self._fields = fields
        self._has_load_reports = "inflight" in fields and "queue" in fields
        self._rejection_inflation = rejection_inflation
        self._loads: dict[str, EndpointLoad] = {}
        self._loss_share = 0.0
        self._sent_ms = float("-inf")  # when the last attempt was sent
        self._is_stale = False  # the attempts in flight follow a long pause

    def __len__(self) -> int:
        return len(self._loads)

    def set_rejection_inflation(self, rejection_inflation: float) -> None:
        """Change the latency inflation that a rejection by a full endpoint stands for."""
        self._rejection_inflation = rejection_inflation

    def retain(self, listed_endpoints: set[str]) -> None:
        """Drop the endpoints that are not listed."""
        for endpoint in [endpoint for endpoint in self._loads if endpoint not in listed_endpoints]:
            del self._loads[endpoint]

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that is not listed any more, if it is known."""
        self._loads.pop(endpoint, None)

    def attempt_sent(self, now_ms: float) -> None:
        """Take note that an attempt was sent."""
        self._is_stale = self._is_stale or (bool(self._loads) and now_ms - self._sent_ms > STALE_AFTER_MS)
        self._sent_ms = now_ms

    def record_attempt(
        self,
        now_ms: float,
        endpoint: str,
        outcome: Outcome,
        slowness: float,
        report: tuple[float, ...] | None,
    ) -> float | None:
        """Record the end of an attempt; return the latency inflation of all endpoints by now.

        None is returned for an attempt that says nothing about congestion.
        """
        if outcome is Outcome.REJECTED:
            # An idle endpoint also rejects connections beyond its limit. Taken as congestion, that would shed
            # load without need. So where there are load reports, the report must show a queue.
            queued = dict(zip(self._fields, report or (), strict=False)).get("queue", 0.0)
            return self._rejection_inflation if queued > 0 or not self._has_load_reports else None
        if outcome is Outcome.TIMEOUT:
            self._loss_share += LOSS_SMOOTHING * (1.0 - self._loss_share)
            return (
                self._rejection_inflation
                if self._loss_share > MAX_LOSS_SHARE and not self._has_capacity(now_ms)
                else None
            )
        if outcome is not Outcome.OK:
            return None
        self._loss_share -= LOSS_SMOOTHING * self._loss_share
        if self._is_stale:
            self._loads = {endpoint: EndpointLoad(now_ms, slowness=slowness)}
            self._is_stale = False
        load = self._loads.get(endpoint)
        if load is None:
            load = self._loads[endpoint] = EndpointLoad(now_ms)
        load.recorded_ms = now_ms
        load.slowness += SLOWNESS_SMOOTHING * (slowness - load.slowness)
        if self._has_load_reports and report is not None:
            report_values: Mapping[str, float] = dict(zip(self._fields, report, strict=False))
            load.in_flight = max(0.0, report_values.get("inflight", 0.0))
            load.executing = max(0.0, load.in_flight - max(0.0, report_values.get("queue", 0.0)))
        return self.latency_inflation(now_ms)

    def _has_capacity(self, now_ms: float) -> bool:
        """Return whether the endpoints that answer have capacity, however many attempts are lost.

        An instance that is partitioned from two of three zones loses most of its attempts, while the
        endpoints of the third zone are idle.
        """
        answered_recently = any(load.recorded_ms > now_ms - RECENT_ANSWER_MS for load in self._loads.values())
        return (
            self._has_load_reports
            and answered_recently
            and self.latency_inflation(now_ms) < UNCONGESTED_INFLATION
        )

    def has_recent_answers(self, now_ms: float) -> bool:
        """Return whether any endpoint has answered lately."""
        return any(load.recorded_ms > now_ms - LOAD_MEMORY_MS for load in self._loads.values())

    def latency_inflation(self, now_ms: float) -> float:
        """Return the mean latency inflation of the endpoints that answered lately, at least 1."""
        inflation_sum = reported_weight = slowness_sum = weight_sum = 0.0
        for load in self._loads.values():
            # Newer observations weigh more: an instance that limits its load gets answers from few endpoints,
            # and what the others reported while they were full must not limit it for long.
            weight = 1.0 - (now_ms - load.recorded_ms) / LOAD_MEMORY_MS
            if weight <= 0:
                continue
            weight_sum += weight
            slowness_sum += weight * load.slowness
            if not self._has_load_reports:
                continue
            # An endpoint that wrongly reports to be idle would attract requests until it is overloaded.
            inflation = max(1.0, load.slowness / TOLERATED_SLOWNESS)
            if load.in_flight > 0:
                inflation = max(inflation, load.in_flight / max(MIN_EXECUTING, load.executing))
            # The mean is not weighted by executed requests: a few overloaded endpoints would outweigh many
            # idle ones, and everything would be rejected while most of the fleet is idle.
            inflation_sum += weight * min(MAX_INFLATION, inflation)
            reported_weight += weight
        if reported_weight > 0:
            return max(1.0, inflation_sum / reported_weight)
        # Without load reports the slowness is used: it also grows with congestion, but is noisier.
        return max(1.0, slowness_sum / weight_sum) if weight_sum else 1.0
