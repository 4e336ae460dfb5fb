"""Runs one `Balancer`: passes events to it and executes its actions. Only this module calls `handle`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence, Set
from typing import TYPE_CHECKING, Protocol

from client_proxy.api.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    Log,
    Probe,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from client_proxy.api.events import (
    AttemptEnded,
    EndpointsListed,
    Event,
    ListKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import RequestClass, Settings
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.request import DEFAULT_DEADLINE_MS
from client_proxy.clock import now_ms
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.limits.client_retries import ClientRetries
from client_proxy.operators import NO_FEATURES, OperatorSettings
from client_proxy.proxy.event_queue import EventQueue
from client_proxy.proxy.list_steps import ListSteps, update_pool
from client_proxy.proxy.messages import ClientRequest
from client_proxy.proxy.pending_request import PendingRequest, ResponseWriter
from client_proxy.proxy.upstream_attempt import AttemptResult, UpstreamAttempt
from client_proxy.proxy.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from client_proxy.warm_state.in_flight_handover import InFlightHandover

log = logging.getLogger(__name__)

# A client stops waiting at its deadline. The balancer gets a deadline that is earlier by the first margin; if
# it has not ended the request by then, a guard timer answers the client earlier by the second.
BALANCER_MARGIN_MS = 15.0
GUARD_MARGIN_MS = 8.0
CLIENT_RETRY_DEADLINES = 2.0  # longest deadlines for which requests are remembered to detect client retries
BALANCER_RESTART_DELAY_S = 0.1  # s between a failure in the balancer and its restart
TIMER_RECHECK_S = 0.001  # delay of a timer that the loop ran too early
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointSubscriber(Protocol):
    """The part of an endpoint source that the engine uses."""

    def subscribe(self) -> None:
        """Request all changes since the last known list, and subscribe to later ones."""


class Engine:
    """One balancer, its timers and its pending requests.

    Attributes:
        balancer: Makes the decisions; replaced by a new one if it raises an exception.
        discovery: Executes the balancer's subscriptions.
        restore_snapshot: Restores warm state into a balancer; called once, when the first list has come.
        retired_endpoint_names: Returns the endpoints that retired engines still use.
        on_request_ended: Called for each request that ends with a final response, with its class name, and
            whether it was served within the latency objective.
        has_lease: Whether this instance holds the lease that it needs to decide; None: it needs none.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        directory: EndpointDirectory,
        upstream: UpstreamPool,
        operators: OperatorSettings = NO_FEATURES,
        persistent_hooks: Sequence[BalancerHook] = (),
        predecessor: Engine | None = None,
    ) -> None:
        """Create an engine that has not started.

        Args:
            settings: Settings of the engine's policy version.
            seed: Seed of the balancer's random numbers.
            directory: The endpoint list of this version.
            upstream: Executes the attempts.
            operators: The operators' configuration.
            persistent_hooks: Policy hooks that stay when the balancer is replaced.
            predecessor: The engine that this one will replace (`version_handover.take_over`).
        """
        self._settings = settings
        self._persistent_hooks = tuple(persistent_hooks)
        self._seed = seed
        self._directory = directory
        self._upstream = upstream
        self._deadlines_ms = {cls.name: cls.deadline_ms for cls in settings.classes}
        self._latency_objectives_ms = {cls.name: cls.latency_objective_ms for cls in settings.classes}
        self._pending: dict[int, PendingRequest] = {}
        self._last_id = 0
        self._events = EventQueue()
        self._lists = ListSteps(self._list_step)
        self._scheduled = False
        self._incarnation = 0  # number of the balancer here; timers of earlier balancers are ignored
        self._operators = operators
        self._client_retries = self._make_client_retries(predecessor)
        # Tells the active engine about the attempts that this one still starts or has in flight; None while
        # this engine is active.
        self._successor: InFlightHandover | None = None
        self._on_drained: Callable[[], None] | None = None
        self.restore_snapshot: Callable[[Balancer], None] | None = None
        self.retired_endpoint_names: Callable[[], Set[str]] | None = None
        self.balancer: Balancer = self._new_balancer(
            predecessor.balancer.hook if predecessor is not None else None
        )
        self.discovery: EndpointSubscriber | None = None
        self.on_request_ended: Callable[[str, bool], None] | None = None
        self.has_lease: Callable[[], bool] | None = None

    def _make_client_retries(self, predecessor: Engine | None) -> ClientRetries | None:
        """Return the record of requests that clients may retry, if operators enable it."""
        overload = self._operators.overload
        if overload is None or not overload.tracks_client_retries:
            return None
        if predecessor is not None and predecessor._client_retries is not None:
            return predecessor._client_retries
        longest_ms = max(self._deadlines_ms.values(), default=DEFAULT_DEADLINE_MS)
        return ClientRetries(CLIENT_RETRY_DEADLINES * longest_ms)

    def _new_balancer(self, predecessor: BalancerHook | None = None) -> Balancer:
        seed = self._seed + self._incarnation
        hook = self._operators.balancer_hook(self._settings, seed, self._persistent_hooks, predecessor)
        return Balancer(self._settings, seed, hook)

    @property
    def pending_count(self) -> int:
        """Number of requests without a final response."""
        return len(self._pending)

    @property
    def endpoint_names(self) -> Set[str]:
        """Names of the endpoints in the engine's list."""
        return self._directory.entries.keys()

    @property
    def classes(self) -> Sequence[RequestClass]:
        """Request classes of the engine's settings."""
        return self._settings.classes

    # Start, handover and end

    def start(self) -> None:
        """Start the balancer; its first call requests a subscription to discovery."""
        self._schedule_flush()

    def restore_if_listed(self) -> None:
        """Restore warm state into the balancer, once it knows endpoints that the state can apply to."""
        if self.restore_snapshot is not None and self.balancer.endpoint_set.endpoints:
            restore, self.restore_snapshot = self.restore_snapshot, None
            restore(self.balancer)

    def retire(self, successor: InFlightHandover, on_drained: Callable[[], None]) -> None:
        """Accept no further requests; pending ones continue here.

        Args:
            successor: Counts the attempts in flight here at the active engine.
            on_drained: Called once, when all pending requests have ended.
        """
        self._successor, self._on_drained = successor, on_drained

    def _notify_drained(self) -> None:
        on_drained, self._on_drained = self._on_drained, None
        if on_drained is not None:
            on_drained()

    def fail_pending(self) -> None:
        """Answer all pending requests at once, without waiting for their attempts."""
        for pending in list(self._pending.values()):
            self._notify_disconnected(pending.id)
            self._answer_without_balancer(pending, 502)

    # Events

    def post(self, event: Event) -> None:
        """Queue an event for the balancer, which handles all events of a loop iteration in one call."""
        self._events.post(event)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Let the balancer handle the queued events."""
        self._scheduled = False
        events = self._events.take()
        try:
            for action in self.balancer.handle(now_ms(), events):
                self._execute(action)
            if self.restore_snapshot is not None and not self._lists.pending:
                self.restore_if_listed()
        except Exception:  # a failure in the balancer must not end the process with all requests
            log.exception("the balancer failed; its pending requests are answered, and it is restarted")
            self._restart_balancer()

    def handle_at_once(self, event: Event) -> None:
        """Let the balancer handle one event now, ahead of the queued ones."""
        for action in self.balancer.handle(now_ms(), [event]):
            self._execute(action)

    def _restart_balancer(self) -> None:
        for pending in list(self._pending.values()):
            self._answer_without_balancer(pending, 500)
        self._incarnation += 1
        self.balancer = self._new_balancer()
        self._events.clear()  # the queued events concern requests of the old balancer
        # The new balancer starts after a delay: one that fails on each restart would keep the process busy.
        asyncio.get_running_loop().call_later(
            BALANCER_RESTART_DELAY_S, self._replay_endpoints, self._incarnation
        )

    def _replay_endpoints(self, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self.post(EndpointsListed(ListKind.RESTORED, tuple(self._directory.entries.values())))

    def notify_endpoints(self, event: EndpointsListed) -> None:
        """Pass a list or a watch event to the pool, and then to the balancer; a long list in steps."""
        self._lists.add(event)

    def _list_step(self, event: EndpointsListed) -> None:
        self.update_upstream(event)
        self.post(event)

    def update_upstream(self, event: EndpointsListed) -> None:
        """Update the pool from a list or a watch event."""
        retired = self.retired_endpoint_names
        update_pool(self._upstream, self._directory, event, retired if retired is not None else frozenset)

    # Requests

    def accept(self, request: ClientRequest, response_writer: ResponseWriter) -> int:
        """Accept a complete request, and return its id.

        The request gets one final response through `response_writer`, unless its client disconnects.
        """
        self._last_id += 1
        expires_in_ms = request.expires_in_ms
        if expires_in_ms is None:
            expires_in_ms = self._deadlines_ms.get(request.class_name, DEFAULT_DEADLINE_MS)
        deadline_ms = request.received_ms + expires_in_ms
        remaining_ms = deadline_ms - GUARD_MARGIN_MS - now_ms()
        loop = asyncio.get_running_loop()
        guard = loop.call_later(max(0.0, remaining_ms) / 1000.0, self._deadline_passed, self._last_id)
        first_request_ms = None
        if self._client_retries is not None and request.client_retry:
            first_request_ms = self._client_retries.first_request_ms(now_ms(), request.fingerprint())
        self._pending[self._last_id] = PendingRequest(
            self._last_id,
            request,
            response_writer,
            guard,
            request.received_ms if first_request_ms is None else first_request_ms,
        )
        self.post(
            RequestArrived(
                request_id=self._last_id,
                class_name=request.class_name,
                deadline_ms=deadline_ms - BALANCER_MARGIN_MS,
                tenant=request.tenant,
                key=request.key,
                work_hint_ms=request.work_hint_ms,
                client_retry=request.client_retry,
                first_request_ms=first_request_ms,
            )
        )
        return self._last_id

    def client_disconnected(self, request_id: int) -> None:
        """End a request whose client has disconnected, without a response."""
        pending = self._pending.get(request_id)
        if pending is not None:
            self._notify_disconnected(request_id)
            self._finish(pending, client_disconnected=True)

    def _notify_disconnected(self, request_id: int) -> None:
        self._events.disconnect(request_id)
        self._schedule_flush()

    def _deadline_passed(self, request_id: int) -> None:
        """Answer a request that the balancer has not ended shortly before the client's deadline."""
        pending = self._pending.get(request_id)
        if pending is not None:
            self._notify_disconnected(request_id)
            self._answer_without_balancer(pending, 504)

    def _answer_without_balancer(self, pending: PendingRequest, status: int) -> None:
        # A rejection states that a retry is safe, so only a request that certainly never ran is rejected.
        if pending.may_have_run:
            pending.response_writer.fail(status)
        else:
            pending.response_writer.reject(0.0)
        self._finish(pending)

    def _finish(self, pending: PendingRequest, client_disconnected: bool = False) -> None:
        """Remove a pending request, and cancel its attempts."""
        if self._pending.pop(pending.id, None) is None:
            return
        pending.guard.cancel()
        if self.on_request_ended is not None and not client_disconnected:
            class_name = pending.request.class_name
            objective_ms = self._latency_objectives_ms.get(class_name, float("inf"))
            in_time = now_ms() - pending.request.received_ms <= objective_ms
            self.on_request_ended(class_name, pending.served and in_time)
        if self._client_retries is not None and not pending.served:
            self._client_retries.record_rejection(
                now_ms(), pending.request.fingerprint(), pending.first_request_ms
            )
        pending.cancel_attempts()
        if self._on_drained is not None and not self._pending:
            self._notify_drained()

    # Actions

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._set_timer(now_ms() + action.delay_ms, self._incarnation, action.token)
            case Reject() | Fail():
                self._answer(action)
            case Cancel():
                self._cancel(action)
            case CloseIdle():
                self._upstream.close_idle(action.endpoint)
            case Subscribe():
                if self.discovery is not None:
                    self.discovery.subscribe()
            case Probe():
                # Load probes are not implemented over sockets; the balancer asks only if settings allow it.
                self.post(ProbeEnded(action.endpoint, Outcome.NOT_SENT, 0.0))
            case Log():
                log.info("%s", action.text)

    def _answer(self, action: Reject | Fail) -> None:
        pending = self._pending.get(action.request_id)
        if pending is None:
            return
        if isinstance(action, Reject):
            pending.response_writer.reject(action.retry_after_ms)
        else:
            pending.response_writer.fail(502)
        self._finish(pending)

    def _cancel(self, action: Cancel) -> None:
        pending = self._pending.get(action.request_id)
        if pending is None or not 0 <= action.attempt < len(pending.attempts):
            return
        attempt = pending.attempts[action.attempt]
        if attempt is not None:
            attempt.cancel()

    def _send(self, action: Send) -> None:
        pending = self._pending.get(action.request_id)
        if pending is None:
            log.error("the balancer sent an attempt for request %d, which is not pending", action.request_id)
            return
        number = len(pending.attempts)
        pending.may_have_run += 1
        attempt = self._start_attempt(pending, number, action) if self._may_send(action.endpoint) else None
        # The balancer numbers all attempts. Leaving out one that was not sent would shift the numbers of
        # later ones, and the balancer would wait for the end of the last one until the client's deadline.
        pending.attempts.append(attempt)
        if attempt is None:
            pending.may_have_run -= 1
            self.post(AttemptEnded(pending.id, number, Outcome.NOT_SENT, 0.0))

    def _may_send(self, endpoint: str) -> bool:
        """Whether an attempt may start at an endpoint now.

        After a stall the lease may have expired, and at a retired engine the endpoint may have left the
        newest list.
        """
        if self.has_lease is not None and not self.has_lease():
            return False
        return self._successor is None or self._still_accepts(endpoint)

    def _start_attempt(self, pending: PendingRequest, number: int, action: Send) -> UpstreamAttempt | None:
        endpoint = action.endpoint
        if self._successor is not None:
            self._successor.sent(endpoint, self._started_ms_of(endpoint))
        return self._upstream.start_attempt(
            pending.request,
            endpoint,
            max(0.0, action.timeout_ms),
            lambda result: self._attempt_ended(pending, number, endpoint, result),
            lambda: self._may_write(pending, action.write_by_ms),
        )

    def _may_write(self, pending: PendingRequest, write_by_ms: float) -> bool:
        """Whether an attempt may still be written; called right before its first byte."""
        if pending.id not in self._pending or now_ms() >= write_by_ms:
            return False
        if self.has_lease is not None and not self.has_lease():
            return False
        if pending.response_writer.client_gone():
            # The loop reads a disconnect after all earlier bytes. Without this check the request would still
            # be sent while the loop is late or reading is paused.
            self.client_disconnected(pending.id)
            return False
        return True

    def _attempt_ended(
        self, pending: PendingRequest, number: int, endpoint: str, result: AttemptResult
    ) -> None:
        if self._successor is not None:
            self._successor.ended(endpoint, self._started_ms_of(endpoint), result.outcome)
        if result.outcome in NEVER_RAN:
            pending.may_have_run -= 1
        if pending.id in self._pending and result.outcome is Outcome.OK and result.response is not None:
            pending.response_writer.send_response(result.response)
            pending.served = True
            self._finish(pending)
        self.post(
            AttemptEnded(
                request_id=pending.id,
                attempt=number,
                outcome=result.outcome,
                latency_ms=result.latency_ms,
                answered=pending.id not in self._pending,
                report=result.report,
            )
        )

    def _started_ms_of(self, name: str) -> float | None:
        endpoint = self._directory.entries.get(name)
        return endpoint.started_ms if endpoint is not None else None

    def _still_accepts(self, name: str) -> bool:
        """Whether an endpoint of this older list has the same address in the newest and accepts requests."""
        address = self._directory.addresses.get(name)
        return address is not None and self._upstream.still_accepts(name, address)

    # Timers

    def _set_timer(self, due_ms: float, incarnation: int, token: int) -> None:
        remaining_ms = max(0.0, due_ms - now_ms())
        asyncio.get_running_loop().call_later(
            remaining_ms / 1000.0, self._timer_due, due_ms, incarnation, token
        )

    def _timer_due(self, due_ms: float, incarnation: int, token: int) -> None:
        if incarnation != self._incarnation:
            return
        if now_ms() < due_ms:
            # The loop's clock is coarser than ours, so it may run a timer early; a timer must not fire early.
            loop = asyncio.get_running_loop()
            loop.call_later(TIMER_RECHECK_S, self._timer_due, due_ms, incarnation, token)
        else:
            self.post(TimerFired(token))
