"""Ends requests: sends the one final answer, cancels the timer, and frees the request's key."""

from __future__ import annotations

from client_proxy.api.actions import Fail, Reject
from client_proxy.balancer.request import Request
from client_proxy.balancer.state import BalancerState

CLOCK_ROUNDING_MS = 0.01  # added to a delay so that rounding cannot make its timer fire too early
DEADLINE_MARGIN_MS = 50.0  # a retry closer to the deadline than this would most likely be wasted work


class RequestCompletion:
    """Ends requests, each with at most one final answer."""

    def __init__(self, state: BalancerState) -> None:
        self._state = state

    def give_up(self, request: Request) -> None:
        """Answer that the request is rejected (safe to retry), or failed if it may have been executed."""
        state = self._state
        state.demand.request_ended(request.class_name, 0.0)
        if request.first_possible_execution() is None:
            hook, now_ms = state.hook, state.now_ms
            retry_after_ms = 0.0
            if hook is not None:
                retry_after_ms = hook.retry_after_ms(now_ms, request.pick_context(now_ms))
            state.actions.append(Reject(request.id, retry_after_ms))
        else:
            state.actions.append(Fail(request.id))
        self.finish(request)

    def fail(self, request: Request) -> None:
        """Answer that the request has failed."""
        self._state.actions.append(Fail(request.id))
        self.finish(request)

    def cannot_finish_in_time(self, request: Request) -> bool:
        """Whether the time left is shorter than the fastest answer expected of the request's class.

        A request that arrives with almost no time left, or has almost none after a stall, would only cause
        wasted work. The cost is the rare request that would have been answered unusually fast. For a class
        without any answer yet, the time needed is capped at `DEADLINE_MARGIN_MS`: until then it is estimated
        from the latency objective, which may be far above what the clients wait, and no request of the class
        would ever be sent.
        """
        state = self._state
        latency = state.class_latencies.get(request.class_name)
        needed_ms = latency.fastest_answer_ms() if latency is not None else 0.0
        if latency is not None and not latency.samples:
            needed_ms = min(needed_ms, DEADLINE_MARGIN_MS)
        return request.useful_until_ms() - state.now_ms <= needed_ms

    def finish(self, request: Request) -> None:
        """Mark a request as done (its client is owed nothing more); refund the token of an unsent retry."""
        request.done = True
        request.probes_in_flight = 0
        if request.retry_token_spent:
            request.retry_token_spent = False
            self._state.retry_budget.refund()
        self._state.timers.cancel_for(request)
        self.forget_if_over(request)

    def forget_if_over(self, request: Request) -> None:
        """Remove a done request once none of its attempts is in flight, and free its key."""
        state = self._state
        if request.attempts_in_flight or state.requests.pop(request.id, None) is None:
            return
        key = request.key
        if key is None:
            return
        quiet_ms = state.key_order.leave(key, request, state.now_ms)
        if quiet_ms > 0:
            state.timers.start(quiet_ms + CLOCK_ROUNDING_MS, lambda: state.freed_keys.append(key))
        else:
            state.freed_keys.append(key)
