"""Spillover: which requests leave the instance's own zone, and how many another zone gets from this instance.

Each instance sends at most its part of the stated share of a zone's capacity to that zone. The share is
divided by the number of instances outside that zone. If the instance's own zone is not up, it is divided by
the number of instances whose own zone is not up: those in healthy zones have no cause for spillover. Proxies
are taken to be spread evenly over the zones.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from client_proxy.routing.locality.capacity import CapacityEstimator
from client_proxy.routing.locality.zone_state import Zone, ZoneState
from client_proxy.routing.settings import LocalitySettings

SPILLOVER_HALF_LIFE_MS = 5000.0  # ms; half-life of the count of recent spillover
BALANCE_GAIN = 0.8  # a second; change of the kept share per unit of excess latency inflation of the own zone
MAX_BALANCE_STEP_S = 0.5  # s; longest elapsed time that one step accounts for
MAX_BALANCE_UP, MAX_BALANCE_DOWN = 1.0, -0.5  # bounds of the excess inflation used by one step
MIN_WEIGHT = 0.001  # avoids a division by zero


class Spillover:
    """Decides which requests leave the own zone, and limits what other zones get.

    Args:
        settings: what operators state.
        estimator: of capacities.
        home: name of the own zone.
        proxies: how many instances there are.
    """

    def __init__(
        self, settings: LocalitySettings, estimator: CapacityEstimator, home: str, proxies: int
    ) -> None:
        self._locality_settings, self._estimator = settings, estimator
        self._home, self._proxies = home, proxies
        # Share of what the own zone could serve that stays there, and when it was computed.
        self._kept_share, self._balanced_ms = (
            1.0,
            0.0,
        )
        self._credit = 0.0  # of requests that should leave the own zone; at 1 the next one does
        self.spilled_ms = float("-inf")  # when the last request left the own zone

    def inherit_from(self, predecessor: Spillover) -> None:
        """Continue with the state of the previous policy's spillover."""
        self._kept_share, self._balanced_ms = predecessor._kept_share, predecessor._balanced_ms
        self._credit, self.spilled_ms = predecessor._credit, predecessor.spilled_ms

    def record(self, now_ms: float, zone: Zone) -> None:
        """Count a request that is sent to a zone other than the own."""
        zone.spillover_limit.take()
        zone.spillover_count += 1
        zone.recent_spillover = self.recent(now_ms, zone) + 1.0 / max(zone.ready_weight(), MIN_WEIGHT)
        zone.spillover_ms = self.spilled_ms = now_ms

    @staticmethod
    def recent(now_ms: float, zone: Zone) -> float:
        """Return this instance's recent spillover into a zone, relative to the zone's weight."""
        decay: float = 0.5 ** ((now_ms - zone.spillover_ms) / SPILLOVER_HALF_LIFE_MS)
        return zone.recent_spillover * decay

    def limit_per_s(self, now_ms: float, zone: Zone, zones: Mapping[str, Zone]) -> float:
        """Return the requests a second that this instance may send to a zone that is not its own."""
        capacity_per_s = self._estimator.capacity_per_s(now_ms, zone, zones)
        return self._locality_settings.spillover_share_of(zone.name) * capacity_per_s / self._senders(zones)

    def _senders(self, zones: Mapping[str, Zone]) -> int:
        """Return how many instances may send spillover into one zone, this one included."""
        zone_count = max(1, len(zones))
        home = zones.get(self._home)
        not_up_count = sum(1 for zone in zones.values() if zone.state is not ZoneState.UP)
        outside_count = zone_count - 1 if home is None or home.state is ZoneState.UP else not_up_count
        return max(1, min(self._proxies, ceil(self._proxies * max(1, outside_count) / zone_count)))

    def leaves_home(self, now_ms: float, zones: Mapping[str, Zone]) -> bool:
        """Return whether the next request should leave the own zone.

        The own zone keeps what its healthy endpoints can serve, by the overprovisioning factor and by their
        congestion. The rest leaves it, spread evenly over the requests.
        """
        home = zones.get(self._home)
        if home is None or not home.ready_weight():
            return False
        self._balance(now_ms, home, zones)
        servable_share = (
            self._locality_settings.overprovisioning * home.healthy_weight() / home.ready_weight()
        )
        self._credit += 1.0 - min(1.0, servable_share) * self._kept_share
        if self._credit >= 1.0:
            self._credit -= 1.0
            return True
        return False

    def _balance(self, now_ms: float, home: Zone, zones: Mapping[str, Zone]) -> None:
        """Keep less in the own zone while it is clearly more congested than others, and more again later.

        With few proxies, or one with most of the traffic, the own zone can't serve all of its requests while
        other zones are idle.
        """
        other_inflations = [
            zone.congestion.latency_inflation(now_ms)
            for zone in zones.values()
            if zone is not home and zone.state is ZoneState.UP and zone.congestion.has_recent_answers(now_ms)
        ]
        if not other_inflations:
            other_inflations = [1.0]  # no recent answers: other zones are taken to have capacity
        span_s = min(MAX_BALANCE_STEP_S, max(0.0, now_ms - self._balanced_ms) / 1000.0)
        self._balanced_ms = now_ms
        excess = (
            home.congestion.latency_inflation(now_ms)
            - min(other_inflations)
            - self._locality_settings.balance_margin
        )
        step = BALANCE_GAIN * span_s * max(MAX_BALANCE_DOWN, min(MAX_BALANCE_UP, excess))
        self._kept_share = min(1.0, max(0.0, self._kept_share - step))
