"""The send guard: the final check before every send, independent of hooks and learned limits."""

from __future__ import annotations

from client_proxy.api.events import EndpointState
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.request import Request, deduplicates_retries
from client_proxy.balancer.slow_start import SlowStart
from client_proxy.balancer.state import BalancerState


class SendGuard:
    """Checks number of attempts, order by key, endpoint state, idempotency and slow start, in this order."""

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._limits = state.settings.limits
        self._key_order, self._attempt_limiter = state.key_order, state.attempt_limiter
        self._endpoint_set = state.endpoint_set
        self._slow_start = SlowStart(state.settings.safety, state.random)

    def may_send(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether this request may be sent to this endpoint now."""
        now_ms = self._state.now_ms
        if not self._may_attempt(now_ms, request):
            return False
        if endpoint.listed.state is not EndpointState.READY:
            return False
        if request.attempts and not self._is_safe_from_duplicates(now_ms, request, endpoint):
            return False
        return self.slow_start_allows(request, endpoint)

    def slow_start_allows(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the endpoint is warm, or its credit and the slow-start limit permit the request's work."""
        if endpoint.listed.started_ms is None:
            return True  # started long ago, as most endpoints; returns early to save work
        now_ms, pool = self._state.now_ms, self._endpoint_set.pool_of(endpoint)
        if not self._slow_start.allows(now_ms, pool, endpoint, request.expected_work):
            return False
        warm = endpoint.warmed_up_share(now_ms, self._state.settings.safety) >= 1
        return warm or self._endpoint_set.within_slow_start_limit(now_ms, endpoint)

    def _may_attempt(self, now_ms: float, request: Request) -> bool:
        """Whether the request may have one more attempt now, at any endpoint."""
        limits = self._limits
        if request.done or request.streaming or len(request.attempts) >= limits.max_attempts:
            return False
        if request.attempts_in_flight and not limits.parallel_attempts:
            return False
        if not self._key_order.is_next(request, now_ms):
            return False
        return not request.attempts or self._attempt_limiter.allows(now_ms)

    @staticmethod
    def _is_safe_from_duplicates(now_ms: float, request: Request, endpoint: Endpoint) -> bool:
        """Whether the request cannot take effect twice, even if an earlier attempt was executed."""
        executed = request.first_possible_execution()
        if executed is not None and not request.is_idempotent():
            return False
        if now_ms >= request.idempotency_end_ms():
            return False
        return executed is None or deduplicates_retries(
            request.request_class, executed.endpoint.listed, endpoint.listed
        )
