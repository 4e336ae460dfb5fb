"""Load probes before the pick: draws endpoints, probes them, and sends to the best that answered."""

from __future__ import annotations

from functools import partial

from client_proxy.api.actions import Probe
from client_proxy.api.events import ProbeEnded
from client_proxy.balancer.completion import RequestCompletion
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.load_probe import MAX_PROBE_ROUNDS, LoadProbePolicy
from client_proxy.balancer.pending_queue import PendingQueue
from client_proxy.balancer.picker import Picker
from client_proxy.balancer.pool import Pool
from client_proxy.balancer.request import Request
from client_proxy.balancer.send_guard import SendGuard
from client_proxy.balancer.sender import Sender
from client_proxy.balancer.state import BalancerState

MAX_PROBE_DRAWS = 8  # random draws from the pool to find the endpoints of a round
PROBES_PER_ROUND = 2


class LoadProber:
    """Sends a request to the least loaded of a few endpoints that were probed for it."""

    def __init__(
        self,
        state: BalancerState,
        guard: SendGuard,
        picker: Picker,
        sender: Sender,
        queue: PendingQueue,
        completion: RequestCompletion,
    ) -> None:
        self._state, self._guard, self._picker = state, guard, picker
        self._sender, self._queue, self._completion = sender, queue, completion
        self._probe_policy = LoadProbePolicy(state.settings)

    def try_probe(self, request: Request) -> bool:
        """Begin a round of probes; False: probes are not worthwhile, or no endpoint may be probed."""
        return self._probe_policy.is_worthwhile() and self._begin_round(request)

    def _begin_round(self, request: Request) -> bool:
        pool = self._state.endpoint_set.local
        if not pool.admission_gate.admits(request.class_name, request.expected_work):
            return False
        drawn = self._draw(request, pool)
        if not drawn:
            return False
        request.probed += drawn
        request.probe_rounds += 1
        request.probes_in_flight = len(drawn)
        for endpoint in drawn:
            if not endpoint.probe_callbacks:
                self._state.actions.append(Probe(endpoint.listed.name))
            endpoint.probe_callbacks.append(partial(self._probe_answered, request, endpoint))
        self._state.timers.start_for(request, self._probe_policy.timeout_ms(), self._end_round)
        return True

    def _draw(self, request: Request, pool: Pool) -> list[Endpoint]:
        """Draw up to two endpoints that were neither probed nor tried for this request."""
        now_ms, random = self._state.now_ms, self._state.random
        tried = [attempt.endpoint for attempt in request.attempts]
        drawn: list[Endpoint] = []
        for _ in range(MAX_PROBE_DRAWS):
            if not pool.ring or len(drawn) == PROBES_PER_ROUND:
                break
            endpoint = pool.ring[random.randrange(len(pool.ring))]
            is_new = endpoint not in drawn and endpoint not in request.probed and endpoint not in tried
            if is_new and not endpoint.is_suspended(now_ms) and self._guard.may_send(request, endpoint):
                drawn.append(endpoint)
        return drawn

    def probe_ended(self, event: ProbeEnded) -> None:
        """Handle the result of a load probe, with or without an answer."""
        endpoint = self._state.endpoint_set.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        endpoint.reported_in_flight = self._probe_policy.reported_in_flight(event)
        endpoint.probed_ms = self._state.now_ms
        callbacks, endpoint.probe_callbacks = endpoint.probe_callbacks, []
        for callback in callbacks:
            callback()

    def _probe_answered(self, request: Request, endpoint: Endpoint) -> None:
        """Count a probe's result; end the round when all probes have ended or an endpoint is idle."""
        if request.probes_in_flight and endpoint in request.probed[-PROBES_PER_ROUND:]:
            request.probes_in_flight -= 1
            if not request.probes_in_flight or endpoint.reported_in_flight == 0:
                self._state.timers.cancel_for(request)
                self._end_round(request)

    def _end_round(self, request: Request) -> None:
        """Send to the best endpoint that has answered; if none is idle, begin another round first."""
        request.probes_in_flight = 0
        if self._completion.cannot_finish_in_time(request):
            self._completion.give_up(request)
            return
        answered = self._find_answered_candidates(request)
        found_idle = any(not endpoint.reported_in_flight for endpoint in answered)
        if not found_idle and request.probe_rounds < MAX_PROBE_ROUNDS and self._begin_round(request):
            return
        request.probed, request.probe_rounds = [], 0
        if answered:
            now_ms, class_name = self._state.now_ms, request.class_name
            best = max(answered, key=lambda endpoint: self._picker.score(now_ms, endpoint, class_name))
            self._sender.send_through_gate(request, best, self._state.endpoint_set.pool_of(best))
        elif not self._sender.try_send(request):
            self._queue.add(request)

    def _find_answered_candidates(self, request: Request) -> list[Endpoint]:
        """The probed endpoints that have reported their load recently and may take the request."""
        since_ms = self._state.now_ms - self._probe_policy.max_age_ms()
        return [
            endpoint
            for endpoint in request.probed
            if endpoint.reported_in_flight is not None
            and endpoint.probed_ms >= since_ms
            and self._guard.may_send(request, endpoint)
        ]
