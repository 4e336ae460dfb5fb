"""Estimates the capacity of a zone from what one instance observes.

Where answers carry load reports, the capacity of an endpoint is the highest number of requests that it
executed at once while it answered in time, over the time that one request takes (Little's law). That peak
decays with time. The capacity of endpoints without a measurement is estimated from the others by the listed
weights.
"""

from __future__ import annotations

from collections.abc import Mapping

from client_proxy.routing.locality.peak_rate import CAPACITY_HALF_LIFE_MS
from client_proxy.routing.locality.zone_state import Zone, ZoneEndpoint, ZoneState

MIN_CAPACITY_PER_S = 0.5  # requests a second for each instance, where nothing has been measured
CONCURRENCY_SMOOTHING = 0.3  # gain; reports are noisy, so that only several high values raise the peak
SERVICE_TIME_SMOOTHING = 0.1  # gain


class CapacityEstimator:
    """Measures endpoints and estimates the capacity of zones.

    Args:
        proxies: how many instances there are.
        report_fields: names of the values in a load report, in order.
    """

    def __init__(self, proxies: int, report_fields: tuple[str, ...]) -> None:
        self._proxies, self._report_fields = proxies, report_fields

    def measure(
        self, now_ms: float, endpoint: ZoneEndpoint, report: tuple[float, ...], in_time: bool
    ) -> None:
        """Update an endpoint's measurement with a load report that came with an answer."""
        values = dict(zip(self._report_fields, report, strict=False))
        endpoint.peak_concurrency *= 0.5 ** ((now_ms - endpoint.measured_ms) / CAPACITY_HALF_LIFE_MS)
        endpoint.measured_ms = now_ms
        executing = values.get("inflight", 0.0) - values.get("queue", 0.0)
        service_time_ms = values.get("latency_ms", 0.0)
        if in_time and executing > 0 and service_time_ms > 0:
            above_peak = max(0.0, executing - endpoint.peak_concurrency)
            endpoint.peak_concurrency += CONCURRENCY_SMOOTHING * above_peak
            smoothing = SERVICE_TIME_SMOOTHING if endpoint.service_time_ms else 1.0
            endpoint.service_time_ms += smoothing * (service_time_ms - endpoint.service_time_ms)

    def capacity_per_s(self, now_ms: float, zone: Zone, zones: Mapping[str, Zone]) -> float:
        """Return the estimated capacity of a whole zone, in requests a second.

        Args:
            now_ms: the time.
            zone: the zone.
            zones: all zones; their measured endpoints serve to estimate those without a measurement.
        """
        if zone.state is not ZoneState.UP and zone.remembered_capacity_per_s:
            return zone.remembered_capacity_per_s  # from before the outage
        ready = [endpoint for endpoint in zone.endpoints.values() if endpoint.is_ready]
        measured_per_s = sum(endpoint.throughput_per_s for endpoint in ready)
        measured_weight = sum(endpoint.listed.weight for endpoint in ready if endpoint.throughput_per_s)
        weight = zone.ready_weight()
        if measured_weight < weight:
            measured_per_s += (weight - measured_weight) * self._per_weight(zones)
        # The capacity is never less than the rate at which this instance alone was served.
        own_per_s = zone.own_rate.update(now_ms, zone.state is ZoneState.UP)
        return max(measured_per_s, own_per_s, MIN_CAPACITY_PER_S * self._proxies)

    @staticmethod
    def _per_weight(zones: Mapping[str, Zone]) -> float:
        """Return requests a second per unit of listed weight, over all measured endpoints."""
        measured = [
            known for zone in zones.values() for known in zone.endpoints.values() if known.throughput_per_s
        ]
        weight = sum(endpoint.listed.weight for endpoint in measured)
        return sum(endpoint.throughput_per_s for endpoint in measured) / weight if weight else 0.0
