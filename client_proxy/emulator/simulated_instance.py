"""One instance of a simulated cluster: its balancer, its gossip and its clock, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from client_proxy.address import Address
from client_proxy.api.actions import Fail, Log, Reject, Send, SetTimer
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
from client_proxy.api.settings import Idempotency, RequestClass, Settings
from client_proxy.balancer.balancer import Balancer
from client_proxy.emulator.simulated_keys import derive_keyring
from client_proxy.membership.node import GossipNode
from client_proxy.membership.settings import GossipSettings

IDEMPOTENT_CLASS = RequestClass(
    "extract-issue",
    latency_objective_ms=500.0,
    deadline_ms=1200.0,
    priority_weight=3.0,
    idempotency=Idempotency.IDEMPOTENT,
)
NON_IDEMPOTENT_CLASS = RequestClass(
    "entry-register", latency_objective_ms=800.0, deadline_ms=1500.0, priority_weight=10.0
)
ZONES = ("lozenets", "mladost", "lyulin")
START_CLOCK_MS = 5000.0  # an instance's clock when the cluster's clock is 0
MIN_DELAY_MS = 0.01  # least delay until a gossip node is woken
TIMER_DELAY_MS = 0.001  # added to each timer's delay, since a timer must not fire early


class RequestOutcome(Enum):
    """The state of a request: still open, or how it ended."""

    OPEN = "open"
    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class SimulatedServer:
    """A server: a latency, and the shares of attempts that fail or get no response."""

    name: str
    zone: str
    latency_ms: float = 40.0
    failure_share: float = 0.0
    stalled_share: float = 0.0
    only_class: str = ""  # name of the only class whose attempts fail or stall; "": all classes
    slowdown: float = 1.0  # factor on the latency
    unreachable_from: set[str] = field(default_factory=set)  # zones whose attempts get no response
    attempt_count: int = 0

    def endpoint_entry(self) -> ListedEndpoint:
        """Return the server's entry of the endpoint list."""
        return ListedEndpoint(self.name, self.zone, 1, state=EndpointState.READY, started_ms=None)


@dataclass(slots=True)
class SimulatedRequest:
    """One request of a client, its attempts and its outcome."""

    arrived_ms: float
    instance: int
    request_class: RequestClass
    outcome: RequestOutcome = RequestOutcome.OPEN
    ended_ms: float = 0.0
    attempted_servers: list[str] = field(default_factory=list)
    executions: int = 0  # number of attempts that a server ran, or may have run

    @property
    def is_in_time(self) -> bool:
        """Whether it was served within its latency objective."""
        took_ms = self.ended_ms - self.arrived_ms
        return self.outcome is RequestOutcome.SERVED and took_ms <= self.request_class.latency_objective_ms


class ClusterEnvironment(Protocol):
    """The parts of its cluster that an instance uses."""

    seed: int
    fast_signatures: bool
    now_ms: float
    gossip: GossipSettings | None
    node_types: dict[int, type[GossipNode]]
    servers: dict[str, SimulatedServer]
    requests: dict[int, SimulatedRequest]

    def balancer_settings(self, number: int) -> Settings:
        """Return the balancer settings of an instance."""

    def call_after(self, delay_ms: float, action: Callable[[], object]) -> None:
        """Run an action after a delay on the cluster's clock."""

    def transmit(self, sender: SimulatedInstance, data: bytes, destination: Address) -> None:
        """Send a datagram through the network."""

    def draw_outcome(
        self, server: SimulatedServer, client: SimulatedInstance, request_class: RequestClass
    ) -> tuple[Outcome, float]:
        """Draw the outcome of an attempt, and the time in ms after which it ends."""

    def finish_request(self, request_id: int, outcome: RequestOutcome) -> None:
        """Record how a request ended."""


class SimulatedInstance:
    """One instance of the proxy, with a clock that may be wrong and an event loop that may be blocked."""

    def __init__(
        self, cluster: ClusterEnvironment, number: int, address: Address, restart_count: int = 0
    ) -> None:
        self.cluster, self.number, self.address = cluster, number, address
        self.restart_count = restart_count
        self.zone = ZONES[number % len(ZONES)]
        self.clock_offset_ms, self.clock_rate = START_CLOCK_MS, 1.0
        self.blocked_until_ms = float("-inf")
        self.is_up = True
        self.log_lines: list[str] = []
        settings = cluster.balancer_settings(number)
        self.node = self._create_node(settings)
        hook = self.node.suspicions if self.node is not None else None
        self.balancer = Balancer(settings, cluster.seed * 7919 + number + 31 * restart_count, hook)
        self._node_due_ms = float("inf")

    def now_ms(self) -> float:
        """Return the time on this instance's own clock."""
        return self.clock_offset_ms + self.clock_rate * self.cluster.now_ms

    def start(self) -> None:
        """Read the endpoint list and join the gossip."""
        self.send_endpoint_list()
        if self.node is not None:
            self.node.start(self.now_ms())
            self.send_datagrams()

    def send_endpoint_list(self) -> None:
        """Give the balancer the list of all servers."""
        endpoints = tuple(server.endpoint_entry() for server in self.cluster.servers.values())
        self.handle_events(EndpointsListed(ListKind.FULL, endpoints))

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay on this instance's clock.

        The action waits while the instance's event loop is blocked, and is dropped if the instance has ended.
        """

        def run() -> None:
            if not self.is_up:
                return
            blocked_ms = self.blocked_until_ms - self.cluster.now_ms
            if blocked_ms > 0:
                self.cluster.call_after(blocked_ms, run)
            else:
                action()

        self.cluster.call_after(delay_ms / self.clock_rate, run)

    def score_factor(self, server: str) -> float:
        """Return the score factor of a server for a request that is not idempotent."""
        if self.node is None:
            return 1.0
        return self.node.suspicions.score_factor(self.now_ms(), server, NON_IDEMPOTENT_CLASS.name)

    # Gossip

    def send_datagrams(self) -> None:
        """Send the node's outgoing datagrams, and set a timer for its next action."""
        node = self.node
        if node is None or not self.is_up:
            return
        now = self.now_ms()
        batch = node.outgoing_datagrams(now)
        for datagram in batch.datagrams:
            self.cluster.transmit(self, datagram.data, datagram.destination)
        self.log_lines += node.take_log_lines()
        due_ms = min(node.due_ms, now + batch.wait_ms)
        if due_ms < self._node_due_ms:
            self._node_due_ms = due_ms
            self.call_later(max(MIN_DELAY_MS, due_ms - now), lambda: self._wake_node(due_ms))

    def receive_datagram(self, data: bytes, source: Address) -> None:
        """Give a datagram to the node as soon as the event loop is not blocked."""

        def receive() -> None:
            if self.node is not None:
                self.node.receive(self.now_ms(), data, source)
                self.send_datagrams()

        self.call_later(0.0, receive)

    def _wake_node(self, due_ms: float) -> None:
        if due_ms != self._node_due_ms or self.node is None:
            return
        self._node_due_ms = float("inf")
        self.node.wake(self.now_ms())
        self.send_datagrams()

    def _create_node(self, settings: Settings) -> GossipNode | None:
        cluster = self.cluster
        if cluster.gossip is None:
            return None
        keyring = derive_keyring(cluster.seed, self.number + 1, self.zone, cluster.fast_signatures)
        seed = cluster.seed * 100_003 + self.number * 101 + self.restart_count
        node_type = cluster.node_types.get(self.number, GossipNode)
        return node_type(cluster.gossip, keyring, self.address, settings, seed)

    # Requests

    def submit(self, request_id: int, request_class: RequestClass) -> None:
        """Give a client's request to the balancer."""

        def arrive() -> None:
            deadline_ms = self.now_ms() + request_class.deadline_ms
            self.handle_events(RequestArrived(request_id, request_class.name, deadline_ms))

        self.call_later(0.0, arrive)

    def handle_events(self, *events: Event) -> None:
        """Give events to the balancer, and carry out its actions."""
        for action in self.balancer.handle(self.now_ms(), events):
            match action:
                case Send():
                    self._send(action)
                case SetTimer():
                    self._set_timer(action)
                case Reject():
                    self.cluster.finish_request(action.request_id, RequestOutcome.REJECTED)
                case Fail():
                    self.cluster.finish_request(action.request_id, RequestOutcome.FAILED)
                case Log():
                    self.log_lines.append(action.text)

    def _set_timer(self, action: SetTimer) -> None:
        token = action.token
        self.call_later(action.delay_ms + TIMER_DELAY_MS, lambda: self.handle_events(TimerFired(token)))

    def _send(self, action: Send) -> None:
        cluster, request = self.cluster, self.cluster.requests[action.request_id]
        server = cluster.servers[action.endpoint]
        server.attempt_count += 1
        attempt_number = len(request.attempted_servers)
        request.attempted_servers.append(server.name)
        outcome, latency_ms = cluster.draw_outcome(server, self, request.request_class)
        if latency_ms >= action.timeout_ms:
            outcome, latency_ms = Outcome.TIMEOUT, action.timeout_ms
        request.executions += outcome is not Outcome.CONNECT_FAILED
        sent_ms = self.now_ms()

        def end_attempt() -> None:
            is_answer = outcome is Outcome.OK and request.outcome is RequestOutcome.OPEN
            if is_answer:
                cluster.finish_request(action.request_id, RequestOutcome.SERVED)
            took_ms = self.now_ms() - sent_ms  # includes the time for which the event loop was blocked
            ended = AttemptEnded(action.request_id, attempt_number, outcome, took_ms, is_answer)
            self.handle_events(ended)

        self.call_later(latency_ms, end_attempt)
