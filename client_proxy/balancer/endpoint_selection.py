"""Selects the endpoint of a pool that gets a request: filters the candidates, then picks one."""

from __future__ import annotations

from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.picker import Picker
from client_proxy.balancer.pool import MAX_SCANNED_POOL, Pool
from client_proxy.balancer.request import Request
from client_proxy.balancer.send_guard import SendGuard
from client_proxy.balancer.state import BalancerState

MAX_DRAWS = 16  # random draws from a large pool to find two candidates
# While a hook's limits admit nothing more, endpoints in slow start still get requests, as long as fewer
# attempts of this proxy than this are in flight at endpoints that started recently.
SLOW_START_IN_FLIGHT = 2
# Statistics decay to the mean within this multiple of the longest deadline: the requests that caused them are
# long over by then.
DECAY_DEADLINES = 4


class EndpointSelection:
    """Selects an endpoint for a request among those that limits, pauses, ejections and the guard permit."""

    def __init__(self, state: BalancerState, guard: SendGuard, picker: Picker) -> None:
        self._state, self._guard, self._picker = state, guard, picker
        self._random, self._safety = state.random, state.settings.safety
        self._endpoint_set = state.endpoint_set
        self._connected, self._idle_connections = state.connected_endpoints, state.idle_connections
        self._decay_span_ms = DECAY_DEADLINES * state.longest_deadline_ms
        self._ejected = () if state.hook is None else state.hook.ejected

    def select(self, request: Request, pool: Pool, only_slow_starting: bool = False) -> Endpoint | None:
        """Select the endpoint of a pool that gets the request now; None: no endpoint may take it.

        Args:
            request: the request to send.
            pool: the pool to select from.
            only_slow_starting: whether to consider only endpoints that are warming up, and those only while
                few attempts are in flight at recently started endpoints.
        """
        candidates = self._find_candidates(request, pool)
        if only_slow_starting:
            candidates = self._keep_slow_starting(candidates, pool)
        tried = [attempt.endpoint for attempt in request.attempts]
        # A retry goes to an endpoint not tried yet; if there is none, to one where an attempt failed.
        candidates = [endpoint for endpoint in candidates if endpoint not in tried] or candidates
        now_ms, means = self._state.now_ms, self._endpoint_set
        for endpoint in candidates:
            endpoint.decay_towards_mean(now_ms, self._decay_span_ms, means.earned_weight, means.slowness)
        return self._picker.pick(now_ms, candidates, request.class_name)

    def select_least_loaded(self, request: Request) -> Endpoint | None:
        """The least loaded of all endpoints that the guard permits; suspended ones rank last."""
        now_ms = self._state.now_ms
        permitted = [
            endpoint
            for endpoint in self._endpoint_set.endpoints.values()
            if self._guard.may_send(request, endpoint)
        ]
        return min(permitted, key=lambda e: (e.is_suspended(now_ms), e.in_flight), default=None)

    def _find_candidates(self, request: Request, pool: Pool) -> list[Endpoint]:
        candidates = self._draw(request, pool) if pool.subset_size > MAX_SCANNED_POOL else []
        if len(candidates) < 2:
            candidates = self._filter_allowed(request, pool.endpoints_in_use(self._state.now_ms))
        if not candidates and request.attempts:
            # The endpoints that would deduplicate this retry may lie outside the subset in use.
            candidates = self._filter_allowed(request, pool.ring)
        return candidates

    def _keep_slow_starting(self, candidates: list[Endpoint], pool: Pool) -> list[Endpoint]:
        """Candidates in slow start; none while enough attempts are in flight at recently started endpoints.

        Each of many such endpoints may have credit for a request; without this cap all credit would be spent
        at once.
        """
        now_ms, safety = self._state.now_ms, self._safety
        candidates = [e for e in candidates if e.warmed_up_share(now_ms, safety) < 1]
        started_in_flight = sum(e.in_flight for e in pool.ring if e.listed.started_ms is not None)
        return [] if started_in_flight >= SLOW_START_IN_FLIGHT else candidates

    def _draw(self, request: Request, pool: Pool) -> list[Endpoint]:
        """Draw two candidates of a large pool, uniformly; fewer if `MAX_DRAWS` draws do not find two.

        Scanning a thousand endpoints for each pick would use up the proxy's CPU core.
        """
        drawn = [attempt.endpoint for attempt in request.attempts]
        if self._connected.prefers_connected(self._random):
            return self._draw_connected(request, pool, drawn)
        tried = len(drawn)
        for _ in range(MAX_DRAWS):
            endpoint = pool.ring[self._random.randrange(pool.subset_size)]
            if len(drawn) < tried + 2 and endpoint not in drawn and self._filter_allowed(request, [endpoint]):
                drawn.append(endpoint)
        return drawn[tried:]

    def _draw_connected(self, request: Request, pool: Pool, tried: list[Endpoint]) -> list[Endpoint]:
        """Draw two candidates, preferring endpoints with an idle connection."""
        now_ms = self._state.now_ms
        return self._connected.draw(
            self._random,
            lambda: pool.ring[self._random.randrange(pool.subset_size)],
            lambda e: (
                self._endpoint_set.pool_of(e) is pool
                and self._idle_connections.idle_ms_of(e, now_ms) is not None
            ),
            lambda e: e not in tried and bool(self._filter_allowed(request, [e])),
        )

    def _filter_allowed(self, request: Request, endpoints: list[Endpoint]) -> list[Endpoint]:
        now_ms, class_name, ejected = self._state.now_ms, request.class_name, self._ejected
        available = [
            e for e in endpoints if e.has_capacity(now_ms, class_name) and e.listed.name not in ejected
        ]
        return [e for e in available if self._guard.may_send(request, e)]
