"""The endpoint list, as far as this proxy knows it, and the pools that it makes up."""

from __future__ import annotations

from dataclasses import replace

from client_proxy.api.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Settings
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.pool import Pool
from client_proxy.rates import SMOOTHING

# From this price of a request that crosses zones on, crossing is for when no local endpoint has capacity;
# below it, balance over all endpoints is worth more than what the crossing costs.
EXPENSIVE_ZONE_CROSSING = 0.05


class EndpointSet:
    """All known endpoints, their pools, and their means: what an unknown endpoint is taken for."""

    def __init__(self, settings: Settings, hook: BalancerHook | None = None) -> None:
        self._settings, self._hook = settings, hook
        self._zone = settings.zone
        self._prefers_local = settings.prices.cross_zone >= EXPENSIVE_ZONE_CROSSING
        self.endpoints: dict[str, Endpoint] = {}
        # Where crossings are expensive, other zones get what the own can't take. Else all are local.
        self.local, self.remote = Pool(settings, hook), Pool(settings, hook)
        self.zone_pools: dict[str, Pool] = {}  # in their place, where a hook orders zones
        self.earned_weight = {**{cls.name: 1.0 for cls in settings.classes}, "": 1.0}
        self.slowness, self.latency_ms = 1.0, 0.0
        self.error_share = 0.0
        self._most_sends_to_warm = 0

    def update(self, event: EndpointsListed) -> None:
        """Take in a list; a failed call leaves the old one in place."""
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.name for entry in event.endpoints}
            for name in [name for name in self.endpoints if name not in listed]:
                self._remove(name)
        for entry in event.endpoints:
            self._update_endpoint(entry)
        self._most_sends_to_warm = max((e.most_sends_while_warm for e in self.endpoints.values()), default=0)
        self._fill_pools()

    def _update_endpoint(self, entry: ListedEndpoint) -> None:
        known = self.endpoints.get(entry.name)
        if entry.state is EndpointState.GONE:
            self._remove(entry.name)
        elif known is None or known.listed.started_ms != entry.started_ms:
            # New here, or a new process: the statistics of the old one are void.
            self._remove(entry.name)
            self.endpoints[entry.name] = Endpoint(
                entry,
                self.earned_weight,
                self.slowness,
                self.latency_ms,
                self._settings.safety.slow_start_limit_window_ms,
            )
        else:
            known.listed = entry

    def _fill_pools(self) -> None:
        ready = [e for e in self.endpoints.values() if e.listed.state is EndpointState.READY]
        self.local.fill([e for e in ready if self.is_local(e)])
        self.remote.fill([e for e in ready if not self.is_local(e)])
        if self._hook is not None and self._hook.orders_zones:
            before, self.zone_pools = self.zone_pools, {}
            for zone in sorted({e.listed.zone for e in ready}):
                self.zone_pools[zone] = before.get(zone) or Pool(self._settings, self._hook)
                self.zone_pools[zone].fill([e for e in ready if e.listed.zone == zone])

    def used_endpoint_count(self) -> int:
        """How many endpoints this proxy uses, of all pools that it picks from."""
        return sum(pool.subset_size for pool in self.zone_pools.values() or (self.local, self.remote))

    def _remove(self, name: str) -> None:
        """Forget an endpoint; a request that waits for its load probe must see that it is gone."""
        known = self.endpoints.pop(name, None)
        if known is not None:
            known.listed = replace(known.listed, state=EndpointState.GONE)

    def is_local(self, endpoint: Endpoint) -> bool:
        """Whether it belongs to the pool that is tried first."""
        return not self._prefers_local or endpoint.listed.zone == self._zone

    def pool_of(self, endpoint: Endpoint) -> Pool:
        """The pool that an endpoint belongs to, or would if it were ready."""
        default = self.local if self.is_local(endpoint) else self.remote
        return self.zone_pools.get(endpoint.listed.zone, default) if self.zone_pools else default

    def record_send(self, now_ms: float, endpoint: Endpoint) -> None:
        """Count an attempt that is sent to an endpoint now."""
        count = endpoint.recent_sends.add(now_ms)
        if endpoint.warmed_up_share(now_ms, self._settings.safety) >= 1:
            endpoint.most_sends_while_warm = max(endpoint.most_sends_while_warm, count)
            self._most_sends_to_warm = max(self._most_sends_to_warm, count)

    def within_slow_start_limit(self, now_ms: float, endpoint: Endpoint) -> bool:
        """Whether a warming endpoint may be sent one more attempt within the window.

        Its credit goes by the rates of the last windows. When the endpoints that took this load restart, it
        would still be paid by what these could do, while none that is warm now has ever been sent as much.
        """
        if not self._most_sends_to_warm and not self._has_warm_endpoint(now_ms):
            return True  # one at a time goes out, by the credit
        safety = self._settings.safety
        share = endpoint.warmed_up_share(now_ms, safety)
        limit = safety.slow_start_limit_multiple * share * self._most_sends_to_warm
        return endpoint.recent_sends.count(now_ms) <= limit

    def _has_warm_endpoint(self, now_ms: float) -> bool:
        safety = self._settings.safety
        return any(each.warmed_up_share(now_ms, safety) >= 1 for each in self.endpoints.values())

    def record_answer(self, now_ms: float, endpoint: Endpoint, class_name: str, latency_ms: float) -> None:
        """Take in a served answer, for its endpoint and for the mean latency."""
        endpoint.record_answer(now_ms, class_name, latency_ms)
        self.latency_ms += (SMOOTHING / 4 if self.latency_ms else 1.0) * (latency_ms - self.latency_ms)

    def record_quality(
        self, endpoint: Endpoint, class_name: str, earned_weight: float, slowness: float | None, failed: bool
    ) -> None:
        """Take in what an attempt has earned, for its endpoint and for the means."""
        endpoint.record_quality(class_name, earned_weight, slowness)
        self.earned_weight[class_name] += SMOOTHING / 4 * (earned_weight - self.earned_weight[class_name])
        self.error_share += SMOOTHING / 4 * (failed - self.error_share)
        if slowness is not None:
            self.slowness += SMOOTHING / 4 * (slowness - self.slowness)
