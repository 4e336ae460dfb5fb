"""The recovery ramp: a zone that is available again gets a growing share of its capacity.

Each instance sends at most that share of the rate at which it was served there before, or of its part of the
zone's capacity if it was not served there. The zone could serve the sum of all instances' earlier rates, so
it can serve a share of that sum.
"""

from __future__ import annotations

from collections.abc import Mapping

from client_proxy.routing.locality.capacity import MIN_CAPACITY_PER_S, CapacityEstimator
from client_proxy.routing.locality.rate_limit import RateLimit
from client_proxy.routing.locality.zone_state import Zone, ZoneState
from client_proxy.routing.settings import LocalitySettings

MAX_RAMP_FACTOR = 8.0  # repeated outages make a ramp at most this many times as long
SLOWNESS_SMOOTHING = 0.1  # gain for a zone that recovers: about the last ten answers count


class RecoveryRamp:
    """Begins and advances the recovery ramps of zones.

    Args:
        settings: what operators state.
        estimator: of capacities.
        proxies: how many instances there are.
    """

    def __init__(self, settings: LocalitySettings, estimator: CapacityEstimator, proxies: int) -> None:
        self._locality_settings, self._estimator, self._proxies = settings, estimator, proxies

    def begin(self, now_ms: float, zone: Zone, reason: str) -> None:
        """Begin the recovery of a zone; `reason` is logged."""
        zone.move_to(ZoneState.RECOVERING, now_ms, reason)
        zone.consecutive_unanswered = 0
        zone.loss_share = 0.0
        zone.ramp_share = self._locality_settings.ramp_start_share / self._ramp_length_factor(now_ms, zone)
        zone.ramp_ms = zone.ramp_held_until_ms = now_ms
        zone.slowness = 1.0
        zone.recovery_limit = RateLimit()

    def _ramp_length_factor(self, now_ms: float, zone: Zone) -> float:
        """Return the factor on the ramp's length: each further recent outage doubles it."""
        since_ms = now_ms - 1000.0 * self._locality_settings.memory_s
        recent = sum(1 for at_ms in zone.outages_ms if at_ms > since_ms)
        return min(MAX_RAMP_FACTOR, 2.0 ** max(0, recent - 1))

    def grow(self, now_ms: float, zone: Zone, slowness: float) -> bool:
        """Advance a ramp by an answer; return whether the zone has reached its whole capacity.

        The share grows while answers are fast enough. Slow answers of a recovering zone say that it is not
        warmed up, not that it has failed: its share is reduced, and it stays in recovery. Slowness is
        smoothed, because one answer in ten is slow only for the work of its request.
        """
        ramp_ms = 1000.0 * self._locality_settings.ramp_s * self._ramp_length_factor(now_ms, zone)
        zone.slowness += SLOWNESS_SMOOTHING * (slowness - zone.slowness)
        if zone.slowness > self._locality_settings.ramp_max_slowness:
            if now_ms >= zone.ramp_held_until_ms:
                self._cut(now_ms, zone, ramp_ms)
            zone.ramp_ms = now_ms
            return False
        if now_ms >= zone.ramp_held_until_ms:
            zone.ramp_share += (
                (1 - self._locality_settings.ramp_start_share) * (now_ms - zone.ramp_ms) / ramp_ms
            )
        zone.ramp_ms = now_ms
        if zone.ramp_share < 1.0:
            return False
        zone.ramp_share = 1.0
        zone.move_to(ZoneState.UP, now_ms, "the recovery ramp has reached its full capacity")
        zone.remembered_capacity_per_s = 0.0
        return True

    def _cut(self, now_ms: float, zone: Zone, ramp_ms: float) -> None:
        """Reduce the share and hold it for a while: earlier requests are still answered slowly."""
        zone.slowness = 1.0
        min_share = self._locality_settings.ramp_start_share / MAX_RAMP_FACTOR
        zone.ramp_share = max(min_share, zone.ramp_share * self._locality_settings.ramp_cut)
        zone.ramp_held_until_ms = now_ms + ramp_ms / 10

    def limit_per_s(self, now_ms: float, zone: Zone, zones: Mapping[str, Zone]) -> float:
        """Return the requests a second that this instance may send to a zone that recovers."""
        own_per_s = zone.own_rate.update(now_ms, decays=False)
        part = own_per_s
        if own_per_s < MIN_CAPACITY_PER_S:
            part = self._estimator.capacity_per_s(now_ms, zone, zones) / self._proxies
        return zone.ramp_share * part
