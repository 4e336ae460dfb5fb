"""Shared by tests of the balancer: default settings, and a driver that provides the clock and timers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from client_proxy.api.actions import Action, Send, SetTimer
from client_proxy.api.events import (
    AttemptEnded,
    EndpointsListed,
    EndpointState,
    Event,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from client_proxy.api.settings import Idempotency, IdempotencyScope, Limits, RequestClass, Safety, Settings
from client_proxy.balancer.balancer import Balancer

SAFE = RequestClass(
    "safe", latency_objective_ms=500, deadline_ms=2000, priority_weight=1, idempotency=Idempotency.IDEMPOTENT
)
UNSAFE = replace(SAFE, name="unsafe", priority_weight=5, idempotency=Idempotency.NOT_IDEMPOTENT)
KEYED = replace(
    SAFE,
    name="keyed",
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    idempotency_scope=IdempotencyScope.ZONE,
    idempotency_window_ms=800,
)
SETTINGS = Settings(
    classes=(SAFE, UNSAFE, KEYED),
    zone="a",
    proxies=3,
    limits=Limits(max_attempts=4),
    safety=Safety(
        slow_start_share=0.2,
        slow_start_ms=10_000,
        slow_start_limit_multiple=3,
        slow_start_limit_window_ms=1500,
    ),
)


def endpoint(
    name: str,
    zone: str = "a",
    cell: int = 0,
    state: EndpointState = EndpointState.READY,
    started_ms: float | None = None,
) -> ListedEndpoint:
    return ListedEndpoint(name, zone, cell, state=state, started_ms=started_ms)


def full(*endpoints: ListedEndpoint) -> EndpointsListed:
    return EndpointsListed(ListKind.FULL, endpoints)


def delta(*endpoints: ListedEndpoint) -> EndpointsListed:
    return EndpointsListed(ListKind.DELTA, endpoints)


class Driver:
    """Stands in for the client proxy: passes events on, fires due timers and records the attempts sent."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        endpoints: Iterable[ListedEndpoint] = (endpoint("s1"), endpoint("s2"), endpoint("s3")),
        seed: int = 1,
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.now_ms = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[int, list[str]] = {}
        self.log: list[Action] = []
        self.last_id = 0
        self.handle_events(EndpointsListed(ListKind.RESTORED, tuple(endpoints)))
        for known in self.balancer.endpoint_set.endpoints.values():
            known.concurrency_limit = 4.0  # as after some answers; a new endpoint begins at 1

    def handle_events(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_ms, events)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now_ms + action.delay_ms, action.token))
            elif isinstance(action, Send):
                self.sent.setdefault(action.request_id, []).append(action.endpoint)
        self.log += actions
        return [a for a in actions if not isinstance(a, SetTimer)]

    def wait(self, ms: float) -> list[Action]:
        """Advance the clock by `ms` and fire the timers due; returns the actions that they caused."""
        until, done = self.now_ms + ms, []
        while due := [t for t in self.timers if t[0] <= until]:
            timer = min(due)
            self.timers.remove(timer)
            self.now_ms = max(self.now_ms, timer[0])
            done += self.handle_events(TimerFired(timer[1]))
        self.now_ms = until
        return done

    def request(self, class_name: str = "safe", deadline_ms: float | None = None) -> tuple[int, list[Action]]:
        self.last_id += 1
        return self.last_id, self.handle_events(RequestArrived(self.last_id, class_name, deadline_ms))

    def end(self, request_id: int, outcome: Outcome, latency_ms: float = 50.0) -> list[Action]:
        """Report the end of the last attempt of a request; returns the actions."""
        attempt = len(self.sent[request_id]) - 1
        answered = outcome is Outcome.OK
        return self.handle_events(AttemptEnded(request_id, attempt, outcome, latency_ms, answered))

    def serve(self, count: int, class_name: str = "safe", latency_ms: float = 50.0) -> None:
        """Send `count` requests, each served before the next arrives."""
        for _ in range(count):
            request_id, _ = self.request(class_name)
            self.wait(latency_ms)
            self.end(request_id, Outcome.OK, latency_ms)
