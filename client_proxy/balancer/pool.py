"""A pool: endpoints that are as good as each other to this proxy, and the subset of them that it uses."""

from __future__ import annotations

from math import ceil
from zlib import crc32

from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Settings
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.limits.admission import AdmissionGate
from client_proxy.rates import WorkRate

# Of a large fleet a proxy uses this many endpoints, so that it sees each often enough to judge it, and more
# where proxies are few, so that each endpoint is used by this many of them.
MIN_SUBSET_SIZE, MIN_PROXIES_PER_ENDPOINT = 4, 12
# So many proxies that share an endpoint overload it with a request each, while each keeps to its own limit.
CONGESTION_PROXIES = 10
# Its multiples spread evenly over the circle, however the numbers are dealt out.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
RATE_WINDOWS = 4  # slow-start windows over which the work sent to the others is smoothed
# An endpoint that is warming up is sent this part of the slow-start limit, by the estimate of its capacity:
# with the usual multiple of three just its share of what the others get. The rest is for machines slower than
# their fleet's mean, and for bursts.
SLOW_START_MARGIN = 1 / 3
# Where many warm up at once, work would wait at the others while these are idle. So one is sent this many
# times as much for as long as it is not saturated.
SLOW_START_RELIEF = 2.0
MAX_SCANNED_POOL = 32  # a pool that uses more endpoints is drawn from at random, not scanned


class Pool:
    """Endpoints in the order of this proxy's ring, and the admission gate in front of them."""

    def __init__(self, settings: Settings, hook: BalancerHook | None = None) -> None:
        self._proxies = settings.proxies
        self._hook_limits = hook is not None and hook.limits_concurrency
        self._ejected = frozenset() if hook is None else hook.ejected
        self._ring_start = settings.ordinal * GOLDEN_RATIO_CONJUGATE % 1
        self._safety = settings.safety
        self.ring: list[Endpoint] = []  # from this proxy's position on
        self.subset_size = 0  # how many of them it uses
        self._mean_weight = 1.0
        self.admission_gate = AdmissionGate()
        self.work_rate = WorkRate(RATE_WINDOWS * settings.safety.slow_start_limit_window_ms)

    def fill(self, endpoints: list[Endpoint]) -> None:
        """Take these endpoints in place of all before.

        The ring is ordered by a hash of the names. Neighbours of one zone would be lost together, and all
        proxies that used them would go on to the same next ones; by the hash those that come next are of all
        zones, and others for each proxy.
        """
        ring = sorted(endpoints, key=lambda e: (crc32(e.listed.name.encode()), e.listed.name))
        start = int(self._ring_start * len(ring))
        self.ring = ring[start:] + ring[:start]
        self._mean_weight = sum(e.listed.weight for e in ring) / max(1, len(ring))
        subset = ceil(MIN_PROXIES_PER_ENDPOINT * len(ring) / self._proxies)
        self.subset_size = min(len(ring), max(MIN_SUBSET_SIZE, subset))

    def proxies_per_endpoint(self) -> float:
        """How many proxies use one of its endpoints, about."""
        return max(1.0, self._proxies * self.subset_size / max(1, len(self.ring)))

    def uses_admission_gate(self) -> bool:
        """Whether the gate moves: only where many share an endpoint; few avoid congestion by their limits."""
        return not self._hook_limits and self.proxies_per_endpoint() > CONGESTION_PROXIES

    def record_answer(self, late: bool) -> None:
        """Tell the gate of an answer, in time or late."""
        if self.uses_admission_gate():
            self.admission_gate.record_answer(late)

    def endpoints_in_use(self, now_ms: float) -> list[Endpoint]:
        """The first of the ring that are warm and not suspended, and those that warm up between them.

        A spread over all endpoints of a large fleet would cost connections that they do not have, and would
        show too little of each to tell a bad one.
        """
        used: list[Endpoint] = []
        warm = 0
        for endpoint in self.ring:
            if not endpoint.suspended(now_ms) and endpoint.listed.name not in self._ejected:
                used.append(endpoint)
                warm += endpoint.warmed_up_share(now_ms, self._safety) >= 1
                if warm == self.subset_size:
                    break
        return used

    def has_warm_endpoint(self, now_ms: float) -> bool:
        """Whether any of its endpoints has finished slow start."""
        return any(e.warmed_up_share(now_ms, self._safety) >= 1 for e in self.ring)

    def slow_start_rate(self, now_ms: float, endpoint: Endpoint, warmed_up_share: float) -> float:
        """Work a millisecond that an endpoint in slow start may be sent from here.

        What a warm endpoint gets from here is this proxy's part of what an endpoint can do; the other proxies
        keep to theirs in the same way. With no warm one an endpoint is taken for a single core.
        """
        if self.has_warm_endpoint(now_ms):
            part = self.work_rate.per_ms(now_ms) / max(1, self.subset_size)
            if endpoint.saturation <= 1:
                relative = min(1.0, endpoint.listed.weight / self._mean_weight) if self._mean_weight else 1.0
                part *= SLOW_START_RELIEF * relative
        else:
            part = 1 / self.proxies_per_endpoint()
        return SLOW_START_MARGIN * self._safety.slow_start_limit_multiple * warmed_up_share * part
