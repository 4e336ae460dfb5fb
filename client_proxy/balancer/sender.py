"""Sends attempts: tries pools in order, subject to admission gates, policy hook and send guard."""

from __future__ import annotations

from client_proxy.api.actions import CloseIdle, Send
from client_proxy.api.policy_hook import BalancerHook, PickContext
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.endpoint_selection import EndpointSelection
from client_proxy.balancer.pool import Pool
from client_proxy.balancer.request import Attempt, Request
from client_proxy.balancer.send_guard import SendGuard
from client_proxy.balancer.state import BalancerState


class Sender:
    """Finds an endpoint for a request, over all pools, and sends the request's next attempt to it."""

    def __init__(self, state: BalancerState, guard: SendGuard, selection: EndpointSelection) -> None:
        self._state, self._guard, self._selection = state, guard, selection
        self._safety, self._hook = state.settings.safety, state.hook
        self._endpoint_set, self._timers = state.endpoint_set, state.timers

    def try_send(self, request: Request) -> bool:
        """Send a request if an endpoint may take it now; returns whether it was sent."""
        return self._try_pools(request) or self._try_recovery_probe(request)

    def offer(self, request: Request, pool: Pool) -> None:
        """Offer a request's work to the admission gate of a pool."""
        gate = pool.admission_gate
        admitted_share = self._state.demand.admitted_share(request.class_name, gate.share)
        gate.offer(request.class_name, request.expected_work, admitted_share)

    def send_through_gate(self, request: Request, endpoint: Endpoint, pool: Pool) -> None:
        """Send a request and charge its work to the pool's admission gate."""
        self.send(request, endpoint)
        pool.admission_gate.take(request.class_name, request.expected_work)

    def _try_recovery_probe(self, request: Request) -> bool:
        """If a recovery probe is due, send despite the learned limits; the send guard still applies."""
        if request.attempts or not self._state.recovery_probe.due(self._state.now_ms):
            return False
        endpoint = self._selection.select_least_loaded(request)
        if endpoint is not None:
            self.send(request, endpoint)
        return endpoint is not None

    def _try_pools(self, request: Request) -> bool:
        hook = self._hook
        if hook is None:
            return self._try_local_then_remote(request)
        now_ms = self._state.now_ms
        context = request.pick_context(now_ms)
        if not hook.admits(now_ms, None, context):
            # Endpoints in slow start are limited by their own credit, and would otherwise be idle while the
            # warm ones are full.
            zoned = bool(self._endpoint_set.zone_pools)
            return not zoned and self._try_pool(request, self._endpoint_set.local, only_slow_starting=True)
        if self._try_probe_target(request, hook, context):
            return True
        if self._endpoint_set.zone_pools:
            return self._try_zones(request, hook, context)
        return self._try_local_then_remote(request)

    def _try_probe_target(self, request: Request, hook: BalancerHook, context: PickContext) -> bool:
        """Send to the ejected endpoint that the hook names as target of a recovery probe, if any."""
        name = hook.recovery_probe_target(self._state.now_ms, context)
        target = self._endpoint_set.endpoints.get(name)
        if target is None or not self._guard.may_send(request, target):
            return False
        self.send(request, target)
        return True

    def _try_zones(self, request: Request, hook: BalancerHook, context: PickContext) -> bool:
        """Send to the first zone, in the hook's order, that may take the request."""
        now_ms, pools = self._state.now_ms, self._endpoint_set.zone_pools
        order = [zone for zone in hook.zone_order(now_ms, context) if zone in pools] or list(pools)
        return any(
            hook.admits(now_ms, zone, context) and self._try_pool(request, pools[zone]) for zone in order
        )

    def _try_local_then_remote(self, request: Request) -> bool:
        """Send to an endpoint of the local pool, or, if none may take the request, of the remote pool."""
        local, remote = self._endpoint_set.local, self._endpoint_set.remote
        if self._try_pool(request, local):
            return True
        if remote.ring and not request.spilled_over:
            request.spilled_over = True
            self.offer(request, remote)
        return self._try_pool(request, remote)

    def _try_pool(self, request: Request, pool: Pool, only_slow_starting: bool = False) -> bool:
        if not pool.admission_gate.admits(request.class_name, request.expected_work):
            return False
        endpoint = self._selection.select(request, pool, only_slow_starting)
        if endpoint is None:
            return False
        self.send_through_gate(request, endpoint, pool)
        return True

    def send(self, request: Request, endpoint: Endpoint) -> None:
        """Send the request's next attempt; the caller must have checked the send guard."""
        state, now_ms = self._state, self._state.now_ms
        pool = self._endpoint_set.pool_of(endpoint)
        if endpoint.warmed_up_share(now_ms, self._safety) < 1:
            endpoint.slow_start_credit -= request.expected_work
        else:
            pool.work_rate.add(now_ms, request.expected_work)
        self._endpoint_set.record_send(now_ms, endpoint)
        self._timers.cancel_for(request)
        state.recovery_probe.attempt_sent()
        if request.attempts:
            state.attempt_limiter.attempt_sent(now_ms)
            request.retry_token_spent = False
        idle_ms = self._usable_idle_ms(endpoint)
        if self._hook is not None:
            self._hook.attempt_sent(now_ms, endpoint.listed, request.pick_context(now_ms))
        write_by_ms = request.idempotency_end_ms()
        request.attempts.append(Attempt(endpoint, now_ms, idle_ms))
        if request.request_class and pool.uses_admission_gate():
            late_after_ms = state.class_latencies[request.request_class.name].late_after_ms()
            self._timers.start_for(request, late_after_ms, self._record_late)
        request.attempts_in_flight += 1
        self._record_attempt_sent(endpoint)
        timeout_ms = request.useful_until_ms() - now_ms
        state.actions.append(Send(request.id, endpoint.listed.name, timeout_ms, write_by_ms))

    def _usable_idle_ms(self, endpoint: Endpoint) -> float | None:
        """Idle time of the connection to be used, in ms; None: new or busy. Closes one idle for too long."""
        connections, now_ms = self._state.idle_connections, self._state.now_ms
        idle_ms = connections.idle_ms_of(endpoint, now_ms)
        if idle_ms is not None and connections.exceeds_safe_idle(idle_ms, now_ms):
            self._state.actions.append(CloseIdle(endpoint.listed.name))
            return None
        return idle_ms

    def _record_attempt_sent(self, endpoint: Endpoint) -> None:
        if not endpoint.in_flight:
            endpoint.awaiting_since_ms = self._state.now_ms
        endpoint.in_flight += 1
        self._state.connected_endpoints.endpoint_used(endpoint)
        if endpoint.reported_in_flight is not None:
            endpoint.reported_in_flight += 1

    def _record_late(self, request: Request) -> None:
        """Count the last attempt as late; it is still in flight, since its end cancels this timer.

        From time-outs alone, congestion would be noticed only a whole deadline after it began.
        """
        attempt = request.attempts[-1]
        attempt.recorded_late = True
        self._endpoint_set.pool_of(attempt.endpoint).record_answer(late=True)
