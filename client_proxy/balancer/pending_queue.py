"""The queue of requests that wait for an endpoint."""

from __future__ import annotations

from collections.abc import Sequence

from client_proxy.balancer.completion import RequestCompletion
from client_proxy.balancer.request import DEFAULT_WORK_MS, Request
from client_proxy.balancer.sender import Sender
from client_proxy.balancer.state import BalancerState


class PendingQueue:
    """Holds requests until an endpoint may take them, or until they can no longer be served in time.

    Sent to endpoints without capacity, they would queue there until they are late, and congest the endpoints.
    """

    def __init__(self, state: BalancerState, sender: Sender, completion: RequestCompletion) -> None:
        self._state, self._sender, self._completion = state, sender, completion
        self._hook = state.hook
        self.by_class: dict[str, list[Request]] = {}  # pending requests by class, the newest last

    def add(self, request: Request) -> None:
        """Queue a request, or give it up if the hook forbids the wait or no time is left for it."""
        hook = self._hook
        if hook is not None and not request.attempts:
            pending = sum(map(len, self.by_class.values()))
            if not hook.may_wait(request.pick_context(self._state.now_ms), pending):
                self._completion.give_up(request)
                return
        if self.wait_while_useful(request):
            self.by_class.setdefault(request.class_name, []).append(request)

    def wait_while_useful(self, request: Request) -> bool:
        """Start the timer that gives the request up; False: no time is left, so it is given up now."""
        request_class = request.request_class
        mean_ms = DEFAULT_WORK_MS
        if request_class is not None:
            mean_ms = self._state.class_latencies[request_class.name].mean_ms
        wait_ms = request.useful_until_ms() - mean_ms - self._state.now_ms
        if wait_ms <= 0:
            self._completion.give_up(request)
            return False
        self._state.timers.start_for(request, wait_ms, self._completion.give_up)
        return True

    def is_shed_by_gates(self, request: Request) -> bool:
        """Whether the request is held back because no pool's admission gate admits it."""
        endpoint_set = self._state.endpoint_set
        pools = [
            pool
            for pool in endpoint_set.zone_pools.values() or (endpoint_set.local, endpoint_set.remote)
            if pool.ring
        ]
        admitted = any(
            pool.admission_gate.admits(request.class_name, request.expected_work) for pool in pools
        )
        return bool(pools) and not admitted

    def send_pending(self) -> None:
        """Try to send all pending requests: the highest gain first, within a class the newest first."""
        if not self.by_class:
            return
        class_order: Sequence[str] = self._state.demand.classes_by_gain()
        if self._hook is not None:
            class_order = self._hook.class_order(class_order)
        for class_name in [*class_order, ""]:
            waiting = self._send_class(self.by_class.pop(class_name, []))
            if waiting:
                self.by_class[class_name] = waiting

    def _send_class(self, pending: list[Request]) -> list[Request]:
        """Send requests of a class as far as endpoints may take them; returns the rest, the newest last."""
        waiting: list[Request] = []
        no_capacity = False  # a first attempt, which may go to any endpoint, found none
        for request in reversed(pending):
            if request.done or request.timer_token is None:
                continue
            is_first_attempt = not request.attempts
            if (no_capacity and is_first_attempt) or not self._sender.try_send(request):
                no_capacity = no_capacity or is_first_attempt
                waiting.append(request)
        return waiting[::-1]
