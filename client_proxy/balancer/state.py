"""The state that the parts of one balancer share."""

from __future__ import annotations

from collections import deque
from random import Random

from client_proxy.api.actions import Action
from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Settings
from client_proxy.balancer.attempt_limit import AttemptLimiter
from client_proxy.balancer.class_demand import ClassDemand
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.endpoint_set import EndpointSet
from client_proxy.balancer.idle_connections import IdleConnections
from client_proxy.balancer.key_order import KeyOrder
from client_proxy.balancer.latency import ClassLatency
from client_proxy.balancer.request import DEFAULT_DEADLINE_MS, Request
from client_proxy.balancer.retry_budget import RetryBudget
from client_proxy.balancer.timers import Timers
from client_proxy.recovery_probe import RecoveryProbe
from client_proxy.routing.connected import ConnectedEndpoints


class BalancerState:
    """Time, statistics, requests and pending actions of one balancer.

    Only `now_ms` and `retry_budget` are ever replaced. Every other attribute stays the same object for the
    balancer's lifetime, so other objects may hold references to it.
    """

    def __init__(self, settings: Settings, seed: int, hook: BalancerHook | None) -> None:
        self.settings = settings
        self.hook = hook
        self.random = Random(seed)
        self.now_ms = float("-inf")
        self.actions: list[Action] = []  # actions of the current call of `Balancer.handle`
        self.timers = Timers(self.actions)
        self.requests: dict[int, Request] = {}  # unfinished requests by id
        self.endpoint_set = EndpointSet(settings, hook)
        self.class_latencies = {cls.name: ClassLatency(cls) for cls in settings.classes}
        self.demand = ClassDemand(settings)
        self.key_order = KeyOrder(settings.safety.key_quiet_ms)
        self.freed_keys: deque[str] = deque()  # keys whose next request may be sent
        self.retry_budget = RetryBudget()
        self.attempt_limiter = AttemptLimiter(settings.safety.attempts)
        self.idle_connections = IdleConnections(settings.limits.connection_idle_timeout_ms)
        self.connected_endpoints: ConnectedEndpoints[Endpoint] = ConnectedEndpoints(
            settings.limits.connections
        )
        self.recovery_probe = RecoveryProbe()
        self.longest_deadline_ms = max((c.deadline_ms for c in settings.classes), default=DEFAULT_DEADLINE_MS)
