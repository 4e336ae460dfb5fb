"""A simulated cluster: the real consensus nodes on a virtual clock, with message delays and losses.

It has no sockets, signatures or disks, and shows how the protocol behaves at sizes that one machine cannot
run as processes. Runs with the same seed are equal. Each message takes a time drawn uniformly from
`delay_ms`, and a share of the messages is lost. Fetching a body takes two such delays and reading it
`read_ms`. Messages that depend on an acceptor's state are delayed by `sync_ms`, the time to store it.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random

from client_proxy.consensus.acceptor import AcceptorState, Persist, Send
from client_proxy.consensus.changes import ChangeResult
from client_proxy.consensus.lease_holder import (
    ActivateVersion,
    LeaseSettings,
    PrepareVersion,
    SendPastVersion,
)
from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Message, Version, encode
from client_proxy.consensus.node import Action, Node, ValidateVersion
from client_proxy.consensus.unsigned import accept_any_signature, sign_nothing

RENEWALS_PER_LEASE = 4
MAX_INCARNATION = 2**29


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """Size and environment of a simulated cluster.

    Attributes:
        size: Number of instances.
        acceptors: Number of instances with an acceptor.
        lease_ms: Length of a lease.
        delay_ms: Shortest and longest delay of a message.
        loss: Share of messages that are lost.
        read_ms: Time to read a body.
        sync_ms: Time to store an acceptor's state.
        seed: Seed of all random draws, such as delays and losses.
    """

    size: int = 200
    acceptors: int = 5
    lease_ms: float = 3000.0
    delay_ms: tuple[float, float] = (0.2, 3.0)
    loss: float = 0.0
    read_ms: float = 5.0
    sync_ms: float = 2.0
    seed: int = 1


@dataclass
class SimulatedCluster:
    """A running cluster. Instances are numbered from 0; those with an acceptor come first.

    Attributes:
        settings: Size and environment.
        now_ms: The virtual time.
        nodes: The nodes, by instance.
        down: Instances that are down.
        activated_ms: Time of the first activation, by version number and instance.
        results: Results of the changes that have ended.
        messages: Number of sent messages, by the name of their type.
        bytes_sent: Total bytes of encoded messages, without headers.
    """

    settings: ClusterSettings
    now_ms: float = 0.0
    nodes: dict[int, Node] = field(default_factory=dict)
    down: set[int] = field(default_factory=set)
    activated_ms: dict[int, dict[int, float]] = field(default_factory=dict)
    results: list[ChangeResult] = field(default_factory=list)
    messages: Counter[str] = field(default_factory=Counter)
    bytes_sent: int = 0

    def __post_init__(self) -> None:
        self._random = Random(self.settings.seed)
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._call_count = 0
        self._timers_ms: dict[int, float] = {}
        acceptor_ids = tuple(AcceptorId(member, 1) for member in range(self.settings.acceptors))
        self._first = Decided(Version(1, "first", acceptor_ids), Ballot(), ())
        for member in range(self.settings.size):
            self.start_node(member)

    def start_node(self, member: int, stored: Decided | None = None) -> None:
        """Starts an instance from the latest version that it stored, or else from the first version."""
        decided = stored or self._first
        has_acceptor = member < self.settings.acceptors
        state = AcceptorState(AcceptorId(member, 1), decided) if has_acceptor else None
        lease_ms = self.settings.lease_ms
        renew_ms = lease_ms / RENEWALS_PER_LEASE
        incarnation = self._random.randrange(MAX_INCARNATION)
        self.nodes[member] = Node(
            member,
            decided,
            state,
            LeaseSettings(lease_ms, renew_ms),
            sign_nothing,
            accept_any_signature,
            incarnation,
            seed=incarnation,
        )
        self.down.discard(member)
        self._timers_ms.pop(member, None)
        # The first timers are spread, so that instances do not all request leases at the same time.
        self.call_after(self._random.uniform(0.0, renew_ms), partial(self._on_timer, member))

    def kill(self, member: int) -> None:
        """Stops an instance abruptly."""
        self.down.add(member)

    def restart(self, member: int) -> None:
        """Starts an instance again from the latest version that it knew."""
        self.start_node(member, self.nodes[member].lease_holder.latest)

    # Virtual clock

    def call_after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedules a call at a virtual time; calls due at the same time run in the order of scheduling."""
        self._call_count += 1
        heapq.heappush(self._calls, (self.now_ms + delay_ms, self._call_count, call))

    def run(self, until_ms: float) -> None:
        """Runs all calls that are due up to `until_ms`."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            call()
        self.now_ms = until_ms

    # Nodes

    def _on_timer(self, member: int) -> None:
        if member in self.down:
            return
        self._timers_ms.pop(member, None)
        self.execute(member, self.nodes[member].on_timer(self.now_ms))

    def _arm_timer(self, member: int) -> None:
        node = self.nodes[member]
        due_ms = max(self.now_ms, node.timer_due_ms)
        if due_ms < self._timers_ms.get(member, float("inf")):
            self._timers_ms[member] = due_ms
            self.call_after(due_ms - self.now_ms, partial(self._on_armed_timer, member, node, due_ms))

    def _on_armed_timer(self, member: int, node: Node, due_ms: float) -> None:
        """Calls the node's timer unless the node was restarted or its timer was set to another time since."""
        if self.nodes[member] is node and self._timers_ms.get(member) == due_ms:
            self._on_timer(member)

    def _handle(self, member: int, sender: int, message: Message) -> None:
        if member not in self.down:
            self.execute(member, self.nodes[member].handle(self.now_ms, sender, message))

    def execute(self, member: int, actions: Sequence[Action]) -> None:
        """Executes a node's actions."""
        sync_ms = 0.0
        node = self.nodes[member]
        for action in actions:
            match action:
                case Persist():
                    sync_ms = self.settings.sync_ms
                case Send(to, message):
                    self._send(member, to, message, sync_ms)
                case PrepareVersion(version):
                    self.call_after(self._body_ms(), partial(self._on_prepared, member, node, version.number))
                case ValidateVersion(to, request):
                    self.call_after(
                        self._body_ms(), partial(self._on_validated, member, node, to, request.change)
                    )
                case ActivateVersion(version):
                    self.activated_ms.setdefault(version.number, {}).setdefault(member, self.now_ms)
                case ChangeResult():
                    self.results.append(action)
                case SendPastVersion():
                    pass  # There is no disk to read from; another node still has the version in memory.
        self._arm_timer(member)

    def _body_ms(self) -> float:
        return 2 * self._random.uniform(*self.settings.delay_ms) + self.settings.read_ms

    def _is_up(self, member: int, node: Node) -> bool:
        return member not in self.down and self.nodes[member] is node

    def _on_prepared(self, member: int, node: Node, number: int) -> None:
        if self._is_up(member, node):
            self.execute(member, node.on_prepared(self.now_ms, number))

    def _on_validated(self, member: int, node: Node, to: int, change: str) -> None:
        if self._is_up(member, node):
            self.execute(member, node.on_validated(to, change, ""))

    def _send(self, sender: int, to: int, message: Message, sync_ms: float) -> None:
        self.messages[type(message).__name__] += 1
        self.bytes_sent += len(encode(message))
        if to != sender and self._random.random() < self.settings.loss:
            return
        delay_ms = sync_ms
        if to != sender:
            delay_ms += self._random.uniform(*self.settings.delay_ms)
        if to in self.nodes:
            self.call_after(delay_ms, partial(self._handle, to, sender, message))

    # Changes

    def propose(self, member: int, digest: str) -> None:
        """Proposes a version at this instance, with its digest as the name of the change."""
        node = self.nodes[member]
        validators = tuple(other for other in node.live_members(self.now_ms) if other != member)
        self.execute(member, node.propose(self.now_ms, digest, digest, validators))

    def count_active(self, number: int) -> int:
        """Returns the number of instances with a valid lease on this version."""
        leased = (
            node.lease_holder.leased_version(self.now_ms)
            for member, node in self.nodes.items()
            if member not in self.down
        )
        return sum(1 for version in leased if version is not None and version.number == number)
