"""Decides whether and when a failed request is retried."""

from __future__ import annotations

from collections.abc import Callable

from client_proxy.api.events import Outcome
from client_proxy.balancer.backoff import backoff_ms
from client_proxy.balancer.completion import DEADLINE_MARGIN_MS, RequestCompletion
from client_proxy.balancer.request import Request
from client_proxy.balancer.state import BalancerState


class Retrier:
    """Schedules the retries of requests, and gives up those that get none.

    Args:
        state: the balancer's shared state.
        completion: ends requests that are not retried.
        dispatch: called with the request after its backoff.
    """

    def __init__(
        self, state: BalancerState, completion: RequestCompletion, dispatch: Callable[[Request], None]
    ) -> None:
        self._state, self._completion, self._dispatch = state, completion, dispatch
        self._max_attempts = state.settings.limits.max_attempts

    def retry_or_end(self, request: Request) -> None:
        """Schedule a retry of a request whose last attempt has failed, or end it."""
        if request.attempts[-1].outcome is Outcome.UNUSABLE:
            # The fault is in the request itself, so a retry at another endpoint would fail as well.
            self._completion.fail(request)
            return
        may_retry = len(request.attempts) < self._max_attempts and request.is_idempotent()
        if not (may_retry and self._schedule(request)):
            self._completion.give_up(request)

    def _schedule(self, request: Request) -> bool:
        """Withdraw a retry's tokens and start its backoff; False: time, attempt limit or budget forbid it."""
        state = self._state
        backoff = backoff_ms(request.previous_backoff_ms, state.random)
        wait_ms = min(backoff, request.useful_until_ms() - state.now_ms - DEADLINE_MARGIN_MS)
        if state.now_ms + wait_ms >= request.idempotency_end_ms():
            return False
        if (
            wait_ms <= 0
            or not state.attempt_limiter.allows(state.now_ms)
            or not state.retry_budget.withdraw()
        ):
            return False
        request.retry_token_spent = True
        request.previous_backoff_ms = backoff
        state.timers.start_for(request, wait_ms, self._dispatch)
        return True
