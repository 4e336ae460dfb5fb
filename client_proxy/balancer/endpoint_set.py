"""The endpoints known from discovery, their pools, and the statistics over all of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field, replace

from client_proxy.api.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Settings
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.pool import Pool
from client_proxy.rates import SMOOTHING

# If a cross-zone attempt costs at least this, other zones are used only when no local endpoint has capacity.
# Below it, balancing over all endpoints gains more than the crossings cost.
EXPENSIVE_ZONE_CROSSING = 0.05


@dataclass(slots=True)
class EndpointChanges:
    """What one list has changed.

    A process that was replaced by another one of its name is in both `added` and `removed`.
    """

    added: list[Endpoint] = field(default_factory=list)
    updated: list[Endpoint] = field(default_factory=list)  # the same process with another entry
    removed: list[Endpoint] = field(default_factory=list)

    def entries(self) -> list[ListedEndpoint]:
        """The entries of all changed endpoints; of a replaced process only that of the new one."""
        added = {endpoint.listed.name for endpoint in self.added}
        gone = [endpoint.listed for endpoint in self.removed if endpoint.listed.name not in added]
        return gone + [endpoint.listed for endpoint in (*self.updated, *self.added)]


class ListedEntries(Collection[ListedEndpoint]):
    """The entries of all known endpoints, read only where they are needed.

    Args:
        endpoints: the endpoints, by name.
    """

    def __init__(self, endpoints: Mapping[str, Endpoint]) -> None:
        self._endpoints = endpoints

    def __len__(self) -> int:
        return len(self._endpoints)

    def __iter__(self) -> Iterator[ListedEndpoint]:
        return (endpoint.listed for endpoint in self._endpoints.values())

    def __contains__(self, entry: object) -> bool:
        endpoint = self._endpoints.get(entry.name) if isinstance(entry, ListedEndpoint) else None
        return endpoint is not None and endpoint.listed == entry


class EndpointSet:
    """All known endpoints, their pools, and mean statistics, with which a new endpoint starts."""

    def __init__(self, settings: Settings, hook: BalancerHook | None = None) -> None:
        self._settings, self._hook = settings, hook
        self._zone = settings.zone
        self._prefers_local = settings.prices.cross_zone >= EXPENSIVE_ZONE_CROSSING
        self.endpoints: dict[str, Endpoint] = {}
        # If crossing zones is expensive, `local` is this proxy's zone and `remote` the others, which get what
        # the local zone cannot take. Otherwise all endpoints are in `local`.
        self.local, self.remote = Pool(settings, hook), Pool(settings, hook)
        self.zone_pools: dict[str, Pool] = {}  # by zone; replace `local` and `remote` if a hook orders zones
        self.earned_weight = {**{cls.name: 1.0 for cls in settings.classes}, "": 1.0}
        self.slowness, self.latency_ms = 1.0, 0.0
        self.error_share = 0.0
        self._most_sends_to_warm = 0
        # Number of endpoints by their most sends while warm, without those that were sent nothing.
        self._warm_send_maxima: Counter[int] = Counter()

    def update(self, event: EndpointsListed) -> EndpointChanges:
        """Apply a list, or changes of it, from discovery; after a failed call the known endpoints stay.

        The work grows with the entries of the event, and not with the endpoints that are known.
        """
        changes = EndpointChanges()
        if event.kind is ListKind.FAILED:
            return changes
        if event.kind is not ListKind.DELTA:
            listed = {entry.name for entry in event.endpoints}
            for name in [name for name in self.endpoints if name not in listed]:
                self._remove(name, changes)
        for entry in event.endpoints:
            self._update_endpoint(entry, changes)
        if not all(pool.ring for pool in self.zone_pools.values()):
            self.zone_pools = {zone: pool for zone, pool in self.zone_pools.items() if pool.ring}
        self._most_sends_to_warm = max(self._warm_send_maxima, default=0)
        return changes

    def _update_endpoint(self, entry: ListedEndpoint, changes: EndpointChanges) -> None:
        endpoint = self.endpoints.get(entry.name)
        if entry.state is EndpointState.GONE:
            self._remove(entry.name, changes)
        elif endpoint is None or endpoint.listed.started_ms != entry.started_ms:
            # A new endpoint, or a new process behind a known one: earlier statistics do not apply.
            self._remove(entry.name, changes)
            endpoint = self.endpoints[entry.name] = Endpoint(
                entry,
                self.earned_weight,
                self.slowness,
                self.latency_ms,
                self._settings.safety.slow_start_limit_window_ms,
            )
            self._join_pools(endpoint)
            changes.added.append(endpoint)
        elif endpoint.listed != entry:
            self._leave_pools(endpoint)
            endpoint.listed = entry
            self._join_pools(endpoint)
            changes.updated.append(endpoint)

    def _join_pools(self, endpoint: Endpoint) -> None:
        """Add an endpoint to its pools, if it is ready."""
        if endpoint.listed.state is not EndpointState.READY:
            return
        (self.local if self.is_local(endpoint) else self.remote).add(endpoint)
        if self._hook is None or not self._hook.orders_zones:
            return
        zone = endpoint.listed.zone
        if zone not in self.zone_pools:
            zone_pools = {**self.zone_pools, zone: Pool(self._settings, self._hook)}
            self.zone_pools = {zone: zone_pools[zone] for zone in sorted(zone_pools)}
        self.zone_pools[zone].add(endpoint)

    def _leave_pools(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from its pools, if it is ready; its entry must be that with which it joined."""
        if endpoint.listed.state is not EndpointState.READY:
            return
        (self.local if self.is_local(endpoint) else self.remote).remove(endpoint)
        zone_pool = self.zone_pools.get(endpoint.listed.zone)
        if zone_pool is not None:
            zone_pool.remove(endpoint)

    def used_endpoint_count(self) -> int:
        """The number of endpoints that this proxy uses, over all its pools."""
        return sum(pool.subset_size for pool in self.zone_pools.values() or (self.local, self.remote))

    def _remove(self, name: str, changes: EndpointChanges) -> None:
        """Remove an endpoint and mark it as gone for the requests that are waiting for its load probe."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        self._leave_pools(endpoint)
        self._count_warm_sends(endpoint.most_sends_while_warm, 0)
        endpoint.listed = replace(endpoint.listed, state=EndpointState.GONE)
        changes.removed.append(endpoint)

    def _count_warm_sends(self, previous: int, current: int) -> None:
        """Count a changed number of most sends while warm; 0 is not counted."""
        if previous:
            self._warm_send_maxima[previous] -= 1
            if not self._warm_send_maxima[previous]:
                del self._warm_send_maxima[previous]
        if current:
            self._warm_send_maxima[current] += 1

    def is_local(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint belongs to the pool that is tried first."""
        return not self._prefers_local or endpoint.listed.zone == self._zone

    def pool_of(self, endpoint: Endpoint) -> Pool:
        """The pool that an endpoint belongs to, or would belong to if it were ready."""
        default = self.local if self.is_local(endpoint) else self.remote
        return self.zone_pools.get(endpoint.listed.zone, default) if self.zone_pools else default

    def record_send(self, now_ms: float, endpoint: Endpoint) -> None:
        """Record an attempt that is sent to an endpoint now."""
        count = endpoint.recent_sends.add(now_ms)
        if endpoint.warmed_up_share(now_ms, self._settings.safety) >= 1:
            self._most_sends_to_warm = max(self._most_sends_to_warm, count)
            previous = endpoint.most_sends_while_warm
            if count > previous:
                endpoint.most_sends_while_warm = count
                if endpoint.listed.state is not EndpointState.GONE:
                    self._count_warm_sends(previous, count)

    def within_slow_start_limit(self, now_ms: float, endpoint: Endpoint) -> bool:
        """Whether an endpoint in slow start may be sent one more attempt within the window.

        The slow-start credit alone is not enough: it follows the rates of recent windows. When the endpoints
        that carried this load restart, credit would still grow at their rate, although no endpoint that is
        warm now has ever been sent as much.
        """
        if not self._most_sends_to_warm and not self._has_warm_endpoint(now_ms):
            return True  # with no warm endpoint, the credit permits one attempt at a time
        safety = self._settings.safety
        share = endpoint.warmed_up_share(now_ms, safety)
        limit = safety.slow_start_limit_multiple * share * self._most_sends_to_warm
        return endpoint.recent_sends.count(now_ms) <= limit

    def _has_warm_endpoint(self, now_ms: float) -> bool:
        safety = self._settings.safety
        return any(endpoint.warmed_up_share(now_ms, safety) >= 1 for endpoint in self.endpoints.values())

    def record_answer(self, now_ms: float, endpoint: Endpoint, class_name: str, latency_ms: float) -> None:
        """Record a served answer in its endpoint's statistics and in the mean latency."""
        endpoint.record_answer(now_ms, class_name, latency_ms)
        self.latency_ms += (SMOOTHING / 4 if self.latency_ms else 1.0) * (latency_ms - self.latency_ms)

    def record_quality(
        self, endpoint: Endpoint, class_name: str, earned_weight: float, slowness: float | None, failed: bool
    ) -> None:
        """Record the weight that an attempt earned, and its slowness, for its endpoint and in the means."""
        endpoint.record_quality(class_name, earned_weight, slowness)
        self.earned_weight[class_name] += SMOOTHING / 4 * (earned_weight - self.earned_weight[class_name])
        self.error_share += SMOOTHING / 4 * (failed - self.error_share)
        if slowness is not None:
            self.slowness += SMOOTHING / 4 * (slowness - self.slowness)
