"""The balancer's entry point: each call handles events and returns actions.

One `Balancer` serves one client proxy. The proxy calls `Balancer.handle` with the current time and the events
since the last call, and carries out the returned actions. Events and actions are defined in
`client_proxy.api`; read these modules first.

The usual path of a request: two ready endpoints are drawn at random, and the one with the higher score
(payoff divided by one plus its requests in flight) gets the attempt. A failed attempt is retried at another
endpoint after a backoff with decorrelated jitter, within the request's absolute deadline, if the retry budget
has enough tokens; successful answers refill it. Exceptions from this path are described in the modules that
make them.
"""

from __future__ import annotations

from collections.abc import Sequence

from client_proxy.api.actions import Action, Log, Subscribe
from client_proxy.api.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsListed,
    Event,
    ListKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Settings
from client_proxy.balancer.backoff import BACKOFF_BASE_MS
from client_proxy.balancer.completion import RequestCompletion
from client_proxy.balancer.endpoint_selection import EndpointSelection
from client_proxy.balancer.endpoint_set import ListedEntries
from client_proxy.balancer.errors import DuplicateRequestError, TimeReversedError, UnknownEventError
from client_proxy.balancer.learning import OutcomeLearner
from client_proxy.balancer.pending_queue import PendingQueue
from client_proxy.balancer.picker import Picker
from client_proxy.balancer.pool import MAX_SCANNED_POOL
from client_proxy.balancer.probing import LoadProber
from client_proxy.balancer.request import DEFAULT_DEADLINE_MS, DEFAULT_WORK_MS, Attempt, Request
from client_proxy.balancer.retry_budget import RetryBudget
from client_proxy.balancer.retrying import Retrier
from client_proxy.balancer.send_guard import SendGuard
from client_proxy.balancer.sender import Sender
from client_proxy.balancer.state import BalancerState

# Longest wait between two calls to discovery after a failure. What discovery lists counts as known to this
# proxy 6 s later, whether or not it has heard of it.
MAX_RESUBSCRIBE_MS = 1500.0
MAX_RESUBSCRIBE_DOUBLINGS = 16
# Pending requests are tried again after this time, because a hook's limits may open without any event.
HOOK_RECHECK_MS = 20.0
# Outcomes that leave no connection open for reuse.
CLOSES_CONNECTION = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


class Balancer:
    """The load-balancing decisions of one client proxy.

    Args:
        settings: request classes, limits and safety rules.
        seed: seed of all random draws; the same seed and events give the same actions.
        hook: policy that restricts and orders the choices; None: no policy.
    """

    def __init__(self, settings: Settings, seed: int, hook: BalancerHook | None = None) -> None:
        state = self._state = BalancerState(settings, seed, hook)
        self.settings = settings
        self.hook = hook
        self.random = state.random
        self.endpoint_set = state.endpoint_set
        self.class_latencies = state.class_latencies
        self.demand = state.demand
        self.key_order = state.key_order
        self.attempt_limiter = state.attempt_limiter
        self.idle_connections = state.idle_connections
        self.connected_endpoints = state.connected_endpoints
        self.requests = state.requests
        self.timers = state.timers
        self.picker = Picker(state.random, hook)
        self.guard = SendGuard(state)
        self.learner = OutcomeLearner(state)
        self._completion = RequestCompletion(state)
        self._sender = Sender(state, self.guard, EndpointSelection(state, self.guard, self.picker))
        self._queue = PendingQueue(state, self._sender, self._completion)
        self._prober = LoadProber(state, self.guard, self.picker, self._sender, self._queue, self._completion)
        self._retrier = Retrier(state, self._completion, self._dispatch)
        self.pending = self._queue.by_class
        self._hook_timer = 0  # token of the timer that retries requests held back by a hook; 0: none
        self._failed_polls = 0
        self._started = False

    @property
    def now_ms(self) -> float:
        """The time of the last call of `handle`, in ms; -inf before the first."""
        return self._state.now_ms

    @property
    def retry_budget(self) -> RetryBudget:
        """The retry tokens; successive balancers of one proxy share the same budget."""
        return self._state.retry_budget

    @retry_budget.setter
    def retry_budget(self, budget: RetryBudget) -> None:
        self._state.retry_budget = budget

    def handle(self, now_ms: float, events: Sequence[Event]) -> list[Action]:
        """Handle the events that occurred up to `now_ms`.

        Returns:
            The actions to carry out now, in this order.

        Raises:
            TimeReversedError: `now_ms` is earlier than in the last call.
            DuplicateRequestError: a request arrived with the id of an unfinished one.
            UnknownEventError: an object in `events` is not an event.
        """
        state = self._state
        if now_ms < state.now_ms:
            raise TimeReversedError(f"time ran backwards: {now_ms} after {state.now_ms}")
        state.now_ms = now_ms
        actions = state.actions
        actions.clear()
        if not self._started:
            self._started = True
            if self.settings.subscribe:
                actions.append(Subscribe())
        for event in events:
            self._handle_event(event)
        self._dispatch_freed_keys()
        self._queue.send_pending()
        if self.hook is not None:
            actions += [Log(line) for line in self.hook.take_log_lines()]
            if self.pending and not self._hook_timer:
                self._hook_timer = state.timers.start(HOOK_RECHECK_MS, self._clear_hook_timer)
        return actions.copy()

    def _clear_hook_timer(self) -> None:
        self._hook_timer = 0

    def _handle_event(self, event: Event) -> None:
        match event:
            case AttemptEnded():
                self._on_attempt_ended(event)
            case RequestArrived():
                self._on_request_arrived(event)
            case TimerFired():
                self.timers.fire(event.token)
            case EndpointsListed():
                self._on_endpoints_listed(event)
            case ClientDisconnected():
                if event.request_id in self.requests:
                    self._completion.finish(self.requests[event.request_id])
            case StreamStarted():
                self._on_stream_started(event)
            case ProbeEnded():
                self._prober.probe_ended(event)
            case _:
                raise UnknownEventError(f"not an event: {event!r}")

    def _on_endpoints_listed(self, event: EndpointsListed) -> None:
        state, endpoints = self._state, self.endpoint_set.endpoints
        previous_count = len(endpoints)
        changes = self.endpoint_set.update(event)
        self.connected_endpoints.endpoints_changed(
            (*changes.removed, *changes.updated), self.endpoint_set.used_endpoint_count()
        )
        if len(endpoints) > MAX_SCANNED_POOL:
            # Statistics decay only when an endpoint is a candidate, and in a large pool that is rare; so the
            # decay of a new endpoint begins now, not when it is first drawn.
            became_large = previous_count <= MAX_SCANNED_POOL
            for endpoint in endpoints.values() if became_large else changes.added:
                if endpoint.decayed_ms is None:
                    endpoint.decayed_ms = state.now_ms
        if self.hook is not None:
            self.hook.endpoints_changed(state.now_ms, changes.entries(), ListedEntries(endpoints))
        if event.kind is ListKind.FAILED:
            self._resubscribe()
        elif self._failed_polls:
            self._failed_polls = 0
            state.actions.append(Log("discovery back"))

    def _resubscribe(self) -> None:
        """Schedule another call to discovery, with exponential backoff and jitter.

        A proxy counts as notified of drains and starts even while its subscription is broken. So it calls
        well within `max_poll_interval_ms`; the jitter keeps proxies from all calling at the same time.
        """
        state = self._state
        if self._failed_polls == 0:
            state.actions.append(Log("discovery lost: asking again, the old list stands"))
        self._failed_polls += 1
        max_wait_ms = min(MAX_RESUBSCRIBE_MS, self.settings.safety.max_poll_interval_ms / 4)
        doublings = min(self._failed_polls, MAX_RESUBSCRIBE_DOUBLINGS)
        wait_ms = min(max_wait_ms, BACKOFF_BASE_MS * 2.0**doublings)
        jitter = 0.5 + self.random.random() / 2
        state.timers.start(wait_ms * jitter, lambda: state.actions.append(Subscribe()))

    def _on_request_arrived(self, event: RequestArrived) -> None:
        state = self._state
        if event.request_id in self.requests:
            raise DuplicateRequestError(f"request {event.request_id} arrived twice")
        request = self._new_request(event)
        self.requests[request.id] = request
        state.attempt_limiter.request_arrived(state.now_ms)
        state.key_order.join(request)
        state.demand.request_arrived(request.class_name, request.expected_work)
        state.recovery_probe.request_arrived(state.now_ms)
        for pool in self.endpoint_set.zone_pools.values() or [self.endpoint_set.local]:
            self._sender.offer(request, pool)
        accepted = self.hook is None or self.hook.accepts_request(
            state.now_ms, request.pick_context(state.now_ms)
        )
        if not accepted and not state.recovery_probe.due(state.now_ms):
            self._completion.give_up(request)
        else:
            self._dispatch(request)

    def _new_request(self, event: RequestArrived) -> Request:
        """Create the request of an event; values that the event lacks come from the request's class."""
        now_ms = self._state.now_ms
        latency = self.class_latencies.get(event.class_name)
        request_class = latency.request_class if latency else None
        work = event.work_hint_ms or (latency.baseline_ms if latency else DEFAULT_WORK_MS)
        deadline_ms = event.deadline_ms
        if deadline_ms is None:
            deadline_ms = now_ms + (request_class.deadline_ms if request_class else DEFAULT_DEADLINE_MS)
        first_request_ms = now_ms if event.first_request_ms is None else event.first_request_ms
        request = Request(event.request_id, request_class, first_request_ms, deadline_ms, work)
        request.key = event.key if request_class and request_class.in_order else None
        return request

    def _dispatch(self, request: Request) -> None:
        """Send the request's next attempt now, or queue it until an endpoint may take it, or give it up."""
        if self._completion.cannot_finish_in_time(request):
            self._completion.give_up(request)
        elif not self.key_order.is_next(request, self._state.now_ms):
            request.waits_for_key = self._queue.wait_while_useful(request)
        elif not self._prober.try_probe(request) and not self._sender.try_send(request):
            if self._queue.is_shed_by_gates(request):
                # Reject at once: after a wait here, a retry by the client would come too late.
                self._completion.give_up(request)
            else:
                self._queue.add(request)

    def _dispatch_freed_keys(self) -> None:
        """Dispatch the next request of each key whose earlier request is over."""
        freed_keys = self._state.freed_keys
        while freed_keys:
            request = self.key_order.next_waiting(freed_keys.popleft(), self._state.now_ms)
            if request is not None and request.waits_for_key:
                request.waits_for_key = False
                self.timers.cancel_for(request)
                self._dispatch(request)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        self.key_order.attempt_ended(request, event.outcome, self._state.now_ms)
        if event.outcome is Outcome.NOT_SENT and event.attempt:
            self.attempt_limiter.attempt_not_sent(attempt.sent_ms)
        self.timers.cancel_for(request)
        self._release_endpoint(attempt, event.outcome)
        request.attempts_in_flight -= 1
        if self.hook is not None:
            self._notify_hook(self.hook, request, attempt, event)
        self.learner.learn(request, attempt, event.latency_ms, event.report)
        if event.answered:
            self._completion.finish(request)
        elif request.done:
            self._completion.forget_if_over(request)
        elif not request.attempts_in_flight and not request.streaming:
            self._retrier.retry_or_end(request)

    def _release_endpoint(self, attempt: Attempt, outcome: Outcome) -> None:
        endpoint = attempt.endpoint
        endpoint.in_flight -= 1
        if outcome is not Outcome.NOT_SENT:
            endpoint.last_used_ms = None if outcome in CLOSES_CONNECTION else self._state.now_ms
            self.connected_endpoints.attempt_ended(endpoint)

    def _notify_hook(
        self, hook: BalancerHook, request: Request, attempt: Attempt, event: AttemptEnded
    ) -> None:
        request_class, latency_ms = request.request_class, event.latency_ms
        slowness, in_time = 1.0, False
        if request_class is not None:
            slowness = self.class_latencies[request_class.name].slowness(latency_ms)
            in_time = latency_ms <= request.latency_objective_ms(request_class)
        hook.attempt_ended(
            self._state.now_ms,
            attempt.endpoint.listed,
            event.outcome,
            slowness,
            in_time,
            event.report,
            latency_ms,
            request_class,
        )

    def _on_stream_started(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.done:
            request.streaming = True  # the answer goes to the client as it comes; no timeout applies any more
            self.timers.cancel_for(request)
