"""Which endpoints of a pool may take a request now, and which of them gets it."""

from __future__ import annotations

from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.picker import Picker
from client_proxy.balancer.pool import MAX_SCANNED_POOL, Pool
from client_proxy.balancer.request import Request
from client_proxy.balancer.send_guard import SendGuard
from client_proxy.balancer.state import BalancerState

MAX_DRAWS = 16  # from a large pool, for two endpoints
# Own attempts in flight at endpoints that have started lately, up to which one is sent there although the
# concurrency limit over all endpoints is reached.
SLOW_START_IN_FLIGHT = 2
DECAY_DEADLINES = 4  # of the longest deadlines, in which statistics decay: what they were about is over then


class EndpointSelection:
    """Selects an endpoint of a pool for a request."""

    def __init__(self, state: BalancerState, guard: SendGuard, picker: Picker) -> None:
        self._state, self._guard, self._picker = state, guard, picker
        self._random, self._safety = state.random, state.settings.safety
        self._endpoint_set = state.endpoint_set
        self._connected, self._idle_connections = state.connected_endpoints, state.idle_connections
        self._decay_span_ms = DECAY_DEADLINES * state.longest_deadline_ms
        self._ejected = () if state.hook is None else state.hook.ejected

    def select(self, request: Request, pool: Pool, only_slow_starting: bool = False) -> Endpoint | None:
        """The endpoint of a pool that gets the request now; None: no endpoint may take it.

        Args:
            request: the request.
            pool: where to look.
            only_slow_starting: whether only endpoints that warm up count, and few of their requests at once.
        """
        candidates = self._candidates(request, pool)
        if only_slow_starting:
            candidates = self._slow_starting(candidates, pool)
        tried = [attempt.endpoint for attempt in request.attempts]
        # A retry goes elsewhere; with nowhere else to go, back to where it failed.
        candidates = [endpoint for endpoint in candidates if endpoint not in tried] or candidates
        now_ms, means = self._state.now_ms, self._endpoint_set
        for endpoint in candidates:
            endpoint.decay_towards_mean(now_ms, self._decay_span_ms, means.earned_weight, means.slowness)
        return self._picker.pick(now_ms, candidates, request.class_name)

    def least_loaded(self, request: Request) -> Endpoint | None:
        """Of all endpoints that the guard lets through, whatever was learned of them, the least loaded."""
        now_ms = self._state.now_ms
        permitted = [
            endpoint
            for endpoint in self._endpoint_set.endpoints.values()
            if self._guard.may_send(request, endpoint)
        ]
        return min(permitted, key=lambda e: (e.suspended(now_ms), e.in_flight), default=None)

    def _candidates(self, request: Request, pool: Pool) -> list[Endpoint]:
        candidates = self._draw(request, pool) if pool.subset_size > MAX_SCANNED_POOL else []
        if len(candidates) < 2:
            candidates = self._allowed(request, pool.endpoints_in_use(self._state.now_ms))
        if not candidates and request.attempts:
            # Perhaps it is a retry that only some endpoints deduplicate.
            candidates = self._allowed(request, pool.ring)
        return candidates

    def _slow_starting(self, candidates: list[Endpoint], pool: Pool) -> list[Endpoint]:
        """Those that warm up; none while the endpoints that started lately have enough in flight.

        A credit for one request at each of many such endpoints would else be spent all at once.
        """
        now_ms, safety = self._state.now_ms, self._safety
        candidates = [e for e in candidates if e.warmed_up_share(now_ms, safety) < 1]
        started_in_flight = sum(e.in_flight for e in pool.ring if e.listed.started_ms is not None)
        return [] if started_in_flight >= SLOW_START_IN_FLIGHT else candidates

    def _draw(self, request: Request, pool: Pool) -> list[Endpoint]:
        """Two of a large pool, as likely as by a scan; fewer if so many draws do not find them.

        A scan of a thousand endpoints at each pick would cost the proxy its core.
        """
        found = [attempt.endpoint for attempt in request.attempts]
        if self._connected.prefers_connected(self._random):
            return self._draw_connected(request, pool, found)
        tried = len(found)
        for _ in range(MAX_DRAWS):
            endpoint = pool.ring[self._random.randrange(pool.subset_size)]
            if len(found) < tried + 2 and endpoint not in found and self._allowed(request, [endpoint]):
                found.append(endpoint)
        return found[tried:]

    def _draw_connected(self, request: Request, pool: Pool, tried: list[Endpoint]) -> list[Endpoint]:
        """Two endpoints, with an idle connection if there are any."""
        now_ms = self._state.now_ms
        return self._connected.draw(
            self._random,
            lambda: pool.ring[self._random.randrange(pool.subset_size)],
            lambda e: (
                self._endpoint_set.pool_of(e) is pool
                and self._idle_connections.idle_for(e, now_ms) is not None
            ),
            lambda e: e not in tried and bool(self._allowed(request, [e])),
        )

    def _allowed(self, request: Request, endpoints: list[Endpoint]) -> list[Endpoint]:
        now_ms, class_name, ejected = self._state.now_ms, request.class_name, self._ejected
        available = [
            e for e in endpoints if e.has_capacity(now_ms, class_name) and e.listed.name not in ejected
        ]
        return [e for e in available if self._guard.may_send(request, e)]
