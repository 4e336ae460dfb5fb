"""A simulated cluster without sockets: hundreds of balancers and their gossip on one virtual clock.

It serves simulations in which a daemon per instance would be too slow (thousands of instances or schedules).
Every instance has a real `Balancer` and a real `GossipNode`. Datagrams go through a simulated network with
loss, duplication, delay and partitions; a server is simulated by a latency and a share of failures. The same
seed gives the same run, to the last event.

Every instance has its own clock, which may be off by hours or run at another rate, and its own event loop,
which may be blocked for a while.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from client_proxy.address import Address
from client_proxy.api.events import Outcome
from client_proxy.api.settings import RequestClass, Settings
from client_proxy.emulator.simulated_instance import (
    IDEMPOTENT_CLASS,
    NON_IDEMPOTENT_CLASS,
    ZONES,
    RequestOutcome,
    SimulatedInstance,
    SimulatedRequest,
    SimulatedServer,
)
from client_proxy.membership.node import GossipNode
from client_proxy.membership.settings import GossipSettings
from client_proxy.membership.suspicions import DEPRIORITIZED_BELOW

IDEMPOTENT_SHARE = 0.6  # share of the requests that are idempotent
GOSSIP_PORT = 7946
INSTANCES_PER_SUBNET = 250
RESET_AFTER_MS = 2.0  # time after which a failing server resets an attempt


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """Loss, duplication and delay of datagrams."""

    loss: float = 0.0  # share of datagrams that are lost
    duplication: float = 0.0  # share of datagrams that arrive twice
    delay_ms: tuple[float, float] = (
        0.2,
        3.0,
    )  # range of the uniformly drawn delay, so datagrams may be reordered
    late_share: float = 0.0  # share of datagrams with `late_delay_ms` of additional delay
    late_delay_ms: float = 2000.0


class SimulatedCluster:
    """All instances and servers, the network between them, and the cluster's clock."""

    def __init__(
        self,
        instances: int,
        servers: int = 9,
        seed: int = 1,
        gossip: GossipSettings | None = None,
        fast_signatures: bool = True,
        node_types: dict[int, type[GossipNode]] | None = None,
        network: NetworkConditions | None = None,
        seeds: int = 3,
        sharing_instances: int = 0,
    ) -> None:
        """Create a cluster; nothing runs before `start`.

        Args:
            instances: the number of instances.
            servers: the number of servers.
            seed: the seed of all random draws.
            gossip: the settings of gossip; None: instances do not communicate.
            fast_signatures: whether to use fast signatures without security.
            node_types: node types by instance number, such as Byzantine reporters; default: `GossipNode`.
            network: the conditions of the network.
            seeds: the number of instances that all others contact first.
            sharing_instances: the number of instances that share the servers according to each instance's
                settings; 0: the actual number.
        """
        self.seed, self.fast_signatures = seed, fast_signatures
        self.random = Random(seed)
        self.network, self.node_types = network or NetworkConditions(), node_types or {}
        self.now_ms, self.event_count = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._scheduled_count, self._sharing_instances = 0, sharing_instances or instances
        self.datagrams_lost = self.datagrams_sent = 0
        self.partitions: list[set[int]] = []  # groups of instances that are cut off from all others
        self.requests: dict[int, SimulatedRequest] = {}  # by id
        self.servers = {server.name: server for server in map(_create_server, range(servers))}
        self.gossip = _with_seeds(gossip, min(seeds, instances))
        self.instance_by_address: dict[Address, SimulatedInstance] = {}
        self.instances: list[SimulatedInstance] = []
        for number in range(instances):
            self._add_instance(SimulatedInstance(self, number, self.address(number)))

    @staticmethod
    def address(number: int, restart_count: int = 0) -> Address:
        """Return an instance's address; each restart at another address gives a new one."""
        subnet, host = number // INSTANCES_PER_SUBNET, number % INSTANCES_PER_SUBNET + 1
        return f"10.{restart_count}.{subnet}.{host}", GOSSIP_PORT

    def balancer_settings(self, number: int) -> Settings:
        """Return the balancer settings of an instance."""
        classes = (IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS)
        zone = ZONES[number % len(ZONES)]
        return Settings(classes=classes, proxies=self._sharing_instances, ordinal=number, zone=zone)

    # Time

    def call_after(self, delay_ms: float, action: Callable[[], object]) -> None:
        """Run an action after a delay."""
        self._scheduled_count += 1
        heapq.heappush(self._events, (self.now_ms + max(0.0, delay_ms), self._scheduled_count, action))

    def call_at(self, at_ms: float, action: Callable[[], object]) -> None:
        """Run an action at a time."""
        self.call_after(at_ms - self.now_ms, action)

    def run(self, until_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            self.event_count += 1
            action()
        self.now_ms = until_ms

    def start(self, spread_ms: float = 1000.0) -> None:
        """Start all instances, at random times within `spread_ms`."""
        for instance in self.instances:
            self.call_after(spread_ms * self.random.random(), instance.start)

    # The network

    def partition(self, groups: Iterable[Iterable[int]]) -> None:
        """Cut each group of instances off from all others; without groups, end all partitions."""
        self.partitions = [set(group) for group in groups]

    def transmit(self, sender: SimulatedInstance, data: bytes, destination: Address) -> None:
        """Send a datagram through the network, under its conditions."""
        receiver = self.instance_by_address.get(destination)
        self.datagrams_sent += 1
        if receiver is None or not receiver.is_up or self._is_partitioned(sender.number, receiver.number):
            return
        network, random = self.network, self.random
        if random.random() < network.loss:
            self.datagrams_lost += 1
            return
        for _ in range(1 + (random.random() < network.duplication)):
            delay_ms = random.uniform(*network.delay_ms)
            if random.random() < network.late_share:
                delay_ms += network.late_delay_ms
            self.call_after(delay_ms, lambda: self.deliver(destination, data, sender.address))

    def deliver(self, destination: Address, data: bytes, source: Address) -> None:
        """Deliver a datagram to the instance that has its destination address now."""
        receiver = self.instance_by_address.get(destination)
        if receiver is not None and receiver.is_up:
            receiver.receive_datagram(data, source)

    def _is_partitioned(self, sender: int, receiver: int) -> bool:
        return any((sender in group) != (receiver in group) for group in self.partitions)

    # Instances

    def kill(self, number: int) -> None:
        """Stop an instance at once, without a shutdown."""
        self.instances[number].is_up = False

    def restart(self, number: int, moved: bool = False) -> SimulatedInstance:
        """Restart an instance without its state; with `moved` set, at another address."""
        old = self.instances[number]
        old.is_up = False
        restart_count = old.restart_count + 1
        address = self.address(number, restart_count) if moved else old.address
        new = SimulatedInstance(self, number, address, restart_count)
        self._add_instance(new)
        new.start()
        return new

    def _add_instance(self, instance: SimulatedInstance) -> None:
        if instance.number < len(self.instances):
            self.instances[instance.number] = instance
        else:
            self.instances.append(instance)
        self.instance_by_address[instance.address] = instance

    # Requests

    def schedule_traffic(
        self, rate_per_s: float, from_ms: float, until_ms: float, among: Sequence[int] = ()
    ) -> None:
        """Draw the requests of the whole cluster: a Poisson process with uniformly drawn instances.

        Args:
            rate_per_s: the rate of requests to the whole cluster.
            from_ms: the time at which the requests begin.
            until_ms: the time at which the requests end.
            among: the instances that get requests; by default all.
        """
        numbers = list(among) or list(range(len(self.instances)))
        at_ms = from_ms
        while (at_ms := at_ms + self.random.expovariate(rate_per_s / 1000.0)) < until_ms:
            is_idempotent = self.random.random() < IDEMPOTENT_SHARE
            request_class = IDEMPOTENT_CLASS if is_idempotent else NON_IDEMPOTENT_CLASS
            number = self.random.choice(numbers)
            self.call_at(at_ms, partial(self.submit_request, number, request_class))

    def submit_request(self, number: int, request_class: RequestClass) -> int:
        """Send a request to an instance now; return its id."""
        request_id = len(self.requests) + 1
        self.requests[request_id] = SimulatedRequest(self.now_ms, number, request_class)
        self.instances[number].submit(request_id, request_class)
        return request_id

    def finish_request(self, request_id: int, outcome: RequestOutcome) -> None:
        """Record how a request ended.

        Raises:
            RuntimeError: the request had already ended, which is a bug of the balancer.
        """
        request = self.requests[request_id]
        if request.outcome is not RequestOutcome.OPEN:
            raise RuntimeError(
                f"request {request_id} ended twice: {request.outcome.value} and {outcome.value}"
            )
        request.outcome, request.ended_ms = outcome, self.now_ms

    def draw_outcome(
        self, server: SimulatedServer, client: SimulatedInstance, request_class: RequestClass
    ) -> tuple[Outcome, float]:
        """Draw the outcome of an attempt, and the time in ms after which it ends."""
        latency_ms = server.latency_ms * server.slowdown * self.random.uniform(0.6, 1.6)
        is_unreachable = client.zone in server.unreachable_from
        if is_unreachable or self._occurs(server, server.stalled_share, request_class):
            return Outcome.TIMEOUT, float("inf")
        if self._occurs(server, server.failure_share, request_class):
            return Outcome.RESET, RESET_AFTER_MS
        return Outcome.OK, latency_ms

    def _occurs(self, server: SimulatedServer, share: float, request_class: RequestClass) -> bool:
        concerns_class = server.only_class in ("", request_class.name)
        return bool(share) and concerns_class and self.random.random() < share

    # Results

    def lost_weight(
        self, from_ms: float, until_ms: float, excluded: Sequence[int] = ()
    ) -> tuple[float, float]:
        """Return the priority weight of the requests that were not served in time, and of all requests.

        Counted are requests that arrived from `from_ms` to before `until_ms`, except at excluded instances.
        """
        lost = total = 0.0
        for request in self.requests.values():
            if from_ms <= request.arrived_ms < until_ms and request.instance not in excluded:
                weight = request.request_class.priority_weight
                total += weight
                lost += 0.0 if request.is_in_time else weight
        return lost, total

    def deprioritizing_share(self, server: str, excluded: Sequence[int] = ()) -> float:
        """Return the share of running instances that deprioritize a server now, without the excluded ones."""
        counted = [
            instance
            for instance in self.instances
            if instance.is_up and instance.node is not None and instance.number not in excluded
        ]
        deprioritizing = [
            instance for instance in counted if instance.score_factor(server) < DEPRIORITIZED_BELOW
        ]
        return len(deprioritizing) / max(1, len(counted))


def _create_server(number: int) -> SimulatedServer:
    zone = ZONES[number % len(ZONES)]
    return SimulatedServer(f"{zone}-{number}", zone, latency_ms=30.0 + 5.0 * (number % 4))


def _with_seeds(gossip: GossipSettings | None, count: int) -> GossipSettings | None:
    """Return the settings with the first `count` instances as the seeds of gossip."""
    if gossip is None:
        return None
    return replace(gossip, seeds=tuple(SimulatedCluster.address(number) for number in range(count)))
