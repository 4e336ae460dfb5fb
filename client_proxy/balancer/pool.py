"""A pool of endpoints that this proxy treats alike, and the subset of them that it uses."""

from __future__ import annotations

from bisect import bisect_left
from math import ceil
from zlib import crc32

from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Settings
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.limits.admission import AdmissionGate
from client_proxy.rates import WorkRate

# In a large fleet a proxy uses only a subset of the endpoints, of at least this size, so that it sends to
# each often enough to judge it. With few proxies the subset is larger, so that at least this many of them use
# each endpoint.
MIN_SUBSET_SIZE, MIN_PROXIES_PER_ENDPOINT = 4, 12
# More proxies than this per endpoint can overload it with one request each, although each keeps its own
# limit.
CONGESTION_PROXIES = 10
# Multiples of this number modulo 1 are spread evenly, whichever ordinals the proxies have (Weyl sequence).
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
RATE_WINDOWS = 4  # number of slow-start windows over which the work sent to warm endpoints is smoothed
# Share of the slow-start limit that an endpoint in slow start is sent, by the estimate of its capacity. With
# the usual limit multiple of three, it is just its share of what warm endpoints get. The rest of the limit is
# a reserve for machines slower than the mean of the fleet, and for bursts.
SLOW_START_MARGIN = 1 / 3
# While many endpoints warm up at once, these could be idle while work queues at the warm ones. So an endpoint
# in slow start that is not saturated is sent this many times as much.
SLOW_START_RELIEF = 2.0
MAX_SCANNED_POOL = 32  # from a larger subset candidates are drawn at random, without a scan of all endpoints

RingKey = tuple[int, str]
"""The position of an endpoint on the ring: a hash of its name, and the name where two hashes are equal."""


def ring_key(endpoint: Endpoint) -> RingKey:
    """Return the position of an endpoint on the ring."""
    name = endpoint.listed.name
    return crc32(name.encode()), name


class Pool:
    """Endpoints in the order in which this proxy uses them, and the admission gate in front of them."""

    def __init__(self, settings: Settings, hook: BalancerHook | None = None) -> None:
        self._proxies = settings.proxies
        self._hook_limits = hook is not None and hook.limits_concurrency
        self._ejected = frozenset() if hook is None else hook.ejected
        self._ring_start = settings.ordinal * GOLDEN_RATIO_CONJUGATE % 1
        self._safety = settings.safety
        # All endpoints in the order of their ring keys, and these keys; see `ring`.
        self._sorted: list[Endpoint] = []
        self._keys: list[RingKey] = []
        self._ring: list[Endpoint] | None = None  # cached; None after a change
        self._weight_sum = 0.0
        self.subset_size = 0  # number of endpoints that this proxy uses
        self.admission_gate = AdmissionGate()
        self.work_rate = WorkRate(RATE_WINDOWS * settings.safety.slow_start_limit_window_ms)

    @property
    def ring(self) -> list[Endpoint]:
        """All endpoints, beginning at this proxy's position on the ring.

        The ring is ordered by a hash of the names. If neighbours on the ring were of one zone, they could
        fail together, and all proxies that used them would move on to the same next endpoints. With the hash,
        the next ones are spread over all zones and differ from proxy to proxy.
        """
        if self._ring is None:
            start_index = int(self._ring_start * len(self._sorted))
            self._ring = self._sorted[start_index:] + self._sorted[:start_index]
        return self._ring

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint, whose name no endpoint of the pool has."""
        key = ring_key(endpoint)
        position = bisect_left(self._keys, key)
        self._keys.insert(position, key)
        self._sorted.insert(position, endpoint)
        self._weight_sum += endpoint.listed.weight
        self._size_changed()

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint of the pool, whose entry must not have changed since it was added."""
        position = bisect_left(self._keys, ring_key(endpoint))
        del self._keys[position], self._sorted[position]
        self._weight_sum = self._weight_sum - endpoint.listed.weight if self._sorted else 0.0
        self._size_changed()

    def _size_changed(self) -> None:
        self._ring = None
        subset = ceil(MIN_PROXIES_PER_ENDPOINT * len(self._sorted) / self._proxies)
        self.subset_size = min(len(self._sorted), max(MIN_SUBSET_SIZE, subset))

    @property
    def _mean_weight(self) -> float:
        return self._weight_sum / max(1, len(self._sorted))

    def proxies_per_endpoint(self) -> float:
        """The approximate number of proxies that use each of the pool's endpoints."""
        return max(1.0, self._proxies * self.subset_size / max(1, len(self._sorted)))

    def uses_admission_gate(self) -> bool:
        """Whether the gate adapts: only if many proxies share an endpoint; else their own limits suffice."""
        return not self._hook_limits and self.proxies_per_endpoint() > CONGESTION_PROXIES

    def record_answer(self, late: bool) -> None:
        """Report an answer, in time or late, to the admission gate, if it is in use."""
        if self.uses_admission_gate():
            self.admission_gate.record_answer(late)

    def endpoints_in_use(self, now_ms: float) -> list[Endpoint]:
        """The first `subset_size` usable warm endpoints of the ring, and those in slow start between them.

        Suspended and ejected endpoints are skipped. Using all endpoints of a large fleet would need more
        connections than they can hold, and would give too few samples of each to detect a bad one.
        """
        used: list[Endpoint] = []
        warm_count = 0
        for endpoint in self.ring:
            if not endpoint.is_suspended(now_ms) and endpoint.listed.name not in self._ejected:
                used.append(endpoint)
                warm_count += endpoint.warmed_up_share(now_ms, self._safety) >= 1
                if warm_count == self.subset_size:
                    break
        return used

    def has_warm_endpoint(self, now_ms: float) -> bool:
        """Whether any of its endpoints has finished slow start."""
        return any(e.warmed_up_share(now_ms, self._safety) >= 1 for e in self.ring)

    def slow_start_rate(self, now_ms: float, endpoint: Endpoint, warmed_up_share: float) -> float:
        """The work per ms that this proxy may send to an endpoint in slow start.

        The rate is based on what this proxy sends to a warm endpoint, which is its part of an endpoint's
        capacity; the other proxies do the same. Without a warm endpoint, the capacity of a single core is
        assumed.
        """
        if self.has_warm_endpoint(now_ms):
            rate = self.work_rate.per_ms(now_ms) / max(1, self.subset_size)
            if endpoint.saturation <= 1:
                mean_weight = self._mean_weight
                relative_weight = min(1.0, endpoint.listed.weight / mean_weight) if mean_weight else 1.0
                rate *= SLOW_START_RELIEF * relative_weight
        else:
            rate = 1 / self.proxies_per_endpoint()
        return SLOW_START_MARGIN * self._safety.slow_start_limit_multiple * warmed_up_share * rate
