"""Decides whether load probes before the pick are worth their cost, and interprets their results."""

from __future__ import annotations

from client_proxy.api.events import Outcome, ProbeEnded
from client_proxy.api.settings import Reports, Settings
from client_proxy.balancer.request import DEFAULT_DEADLINE_MS
from client_proxy.rates import SMOOTHING

MAX_PROBE_ROUNDS = 3  # rounds of two endpoints each, for one attempt
PROBE_TIME_SHARE = 0.2  # share of the shortest latency objective that all rounds together may take
MAX_PROBE_COST = 0.02  # points of the result (see `Prices`) that the probes of one attempt may cost
ASSUMED_IN_FLIGHT = 2.0  # requests in flight assumed if an endpoint answers a probe without a report


class LoadProbePolicy:
    """Decides when to probe the endpoints drawn for a request for their load, and reads the results.

    If hundreds of proxies share the endpoints, a proxy's own requests in flight tell almost nothing about an
    endpoint's load, and a load report is outdated before the next request arrives. Probes are used if they
    are allowed, return reports, cost little, and take only a small part of the latency objective. They reveal
    endpoints that are busy, hung or gone for any reason. The cost of each is work for the endpoint and a wait
    for the request.
    """

    def __init__(self, settings: Settings) -> None:
        fields = settings.report_fields
        self._allowed = (
            settings.limits.probes
            and settings.reports is not Reports.OFF
            and "inflight" in fields
            and 2 * MAX_PROBE_ROUNDS * settings.prices.probe <= MAX_PROBE_COST
        )
        self._in_flight_index = fields.index("inflight") if self._allowed else 0
        self._step_ms = settings.min_step_ms
        shortest_ms = min((cls.latency_objective_ms for cls in settings.classes), default=DEFAULT_DEADLINE_MS)
        self._time_budget_ms = PROBE_TIME_SHARE * shortest_ms
        # The smoothed round-trip time of probes, in ms; an assumption until the first answer.
        self._round_trip_ms = self._time_budget_ms / (4 * MAX_PROBE_ROUNDS)

    def timeout_ms(self) -> float:
        """The time after which a probe counts as lost."""
        return 2 * self._round_trip_ms + self._step_ms

    def max_age_ms(self) -> float:
        """The age above which a probe's result is too old to be used."""
        return MAX_PROBE_ROUNDS * self.timeout_ms()

    def is_worthwhile(self) -> bool:
        """Whether requests should wait for load probes, given the round trips measured so far."""
        return self._allowed and MAX_PROBE_ROUNDS * self.timeout_ms() <= self._time_budget_ms

    def reported_in_flight(self, event: ProbeEnded) -> float | None:
        """The number of requests in flight at the probed endpoint; None: it did not answer."""
        if event.outcome is not Outcome.OK:
            return None
        self._round_trip_ms += SMOOTHING * (event.latency_ms - self._round_trip_ms)
        return event.report[self._in_flight_index] if event.report else ASSUMED_IN_FLIGHT
