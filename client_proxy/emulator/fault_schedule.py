"""Random fault schedules for the gossip of a simulated cluster, and checks that must hold in all of them.

A schedule depends on its seed alone. It has network conditions, Byzantine reporters, partitions, kills,
restarts at the same or another address, blocked event loops, wrong clocks and failing servers. `run_schedule`
checks every instance twice a second and returns the violations. A seed with violations can be run again alone
and gives the same run, to the last event:

    python -m benchmarks.gossip schedules --first SEED --count 1
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from client_proxy.emulator.byzantine_reporters import (
    AccusesAll,
    AccusesFirst,
    AccusesTwo,
    Equivocates,
    PraisesAll,
)
from client_proxy.emulator.simulated_cluster import NetworkConditions, SimulatedCluster
from client_proxy.emulator.simulated_instance import ZONES, RequestOutcome, SimulatedInstance
from client_proxy.membership.members import MemberState
from client_proxy.membership.node import MAX_QUEUED_DATAGRAMS, MAX_SOURCES, GossipNode
from client_proxy.membership.observation import MAX_OBSERVERS
from client_proxy.membership.probing import MAX_PENDING_PROBES
from client_proxy.membership.settings import GossipSettings, SwimSettings
from client_proxy.membership.suspicions import DEPRIORITIZED_BELOW, MAX_DEPRIORITIZED_SHARE

BYZANTINE_REPORTERS: tuple[type[GossipNode], ...] = (
    AccusesAll,
    AccusesFirst,
    AccusesTwo,
    PraisesAll,
    Equivocates,
)
FAULTS_END_MS = 24_000.0
"""Time by which all faults have ended."""
FIRST_FAULT_MS, LAST_FAULT_MS = 6_000.0, 12_000.0
"""Faults begin between these times."""
MAX_EARLY_END_MS = 4_000.0
"""A fault ends at most this long before `FAULTS_END_MS`."""
RUN_MS = 60_000.0
RECOVERED_MS = RUN_MS - 20_000.0
"""Time from which each server has to get attempts again."""
FIRST_REQUEST_MS, LAST_REQUEST_MS = 2_000.0, RUN_MS - 3_000.0
RATE_PER_S = 40.0
CHECK_INTERVAL_MS = 500.0
MIN_INSTANCES_WITH_REPORTERS = 6
"""Smaller clusters have no Byzantine reporters; in others one of this many instances may be one."""
MAX_VIOLATIONS = 5
"""A run with more violations is ended early."""
MAX_REPLAYED_DATAGRAMS = 300
CHECKED_CLASS = "entry-register"
"""Request class for which the deprioritized servers are counted."""
FAST_GOSSIP = GossipSettings(swim=SwimSettings(period_ms=500.0, timeout_ms=150.0, sync_ms=2000.0))

ClusterAction = Callable[[SimulatedCluster], object]
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ScheduledAction:
    """An action on a cluster and its time."""

    at_ms: float
    apply: ClusterAction


@dataclass
class FaultSchedule:
    """A drawn schedule; `descriptions` are printed to name its reporters and faults.

    Attributes:
        seed: the seed that it was drawn from.
        instances: the number of instances.
        network: the network's conditions until all faults have ended.
        byzantine_reporters: the node type of each Byzantine reporter, by the instance's number.
    """

    seed: int
    instances: int
    network: NetworkConditions
    byzantine_reporters: dict[int, type[GossipNode]]
    descriptions: list[str] = field(default_factory=list)
    actions: list[ScheduledAction] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class DrawnFault:
    """The place and time of a fault, before its kind is drawn."""

    schedule: FaultSchedule
    random: Random
    number: int  # number of the affected instance, or index of the affected server, modulo the servers' count
    from_ms: float
    until_ms: float

    def schedule_at_begin(self, action: ClusterAction) -> None:
        """Schedule an action for the fault's begin."""
        self.schedule.actions.append(ScheduledAction(self.from_ms, action))

    def schedule_at_end(self, action: ClusterAction) -> None:
        """Schedule an action for the fault's end."""
        self.schedule.actions.append(ScheduledAction(self.until_ms, action))

    def describe(self, text: str) -> None:
        """Add a description to the schedule."""
        self.schedule.descriptions.append(text)

    def set_on_server(self, attribute: str, value_during: object, value_after: object) -> None:
        """Schedule one value of an attribute of the fault's server for its begin and another for its end."""

        def set_to(cluster: SimulatedCluster, value: object) -> None:
            name = sorted(cluster.servers)[self.number % len(cluster.servers)]
            setattr(cluster.servers[name], attribute, value)

        self.schedule_at_begin(lambda cluster: set_to(cluster, value_during))
        self.schedule_at_end(lambda cluster: set_to(cluster, value_after))


def draw_schedule(seed: int) -> FaultSchedule:
    """Draw a schedule from a seed."""
    random = Random(seed)
    instances = random.choice((4, 6, 8, 12))
    network = NetworkConditions(
        loss=random.choice((0.0, 0.05, 0.3)),
        duplication=random.choice((0.0, 0.2)),
        delay_ms=random.choice(((0.2, 3.0), (0.2, 80.0))),
        late_share=random.choice((0.0, 0.05)),
    )
    has_reporters = instances >= MIN_INSTANCES_WITH_REPORTERS
    max_reporters = instances // MIN_INSTANCES_WITH_REPORTERS if has_reporters else 0
    numbers = random.sample(range(instances), random.randint(0, max_reporters))
    reporters = {number: random.choice(BYZANTINE_REPORTERS) for number in numbers}
    schedule = FaultSchedule(seed, instances, network, reporters)
    schedule.descriptions = [f"{reporter.__name__} {number}" for number, reporter in reporters.items()]
    for _ in range(random.randint(1, 4)):
        _draw_fault(schedule, random, random.uniform(FIRST_FAULT_MS, LAST_FAULT_MS))
    return schedule


def _draw_fault(schedule: FaultSchedule, random: Random, from_ms: float) -> None:
    number = random.randrange(schedule.instances)
    until_ms = FAULTS_END_MS - random.uniform(0.0, MAX_EARLY_END_MS)
    add_fault = random.choice(FAULT_KINDS)
    add_fault(DrawnFault(schedule, random, number, from_ms, until_ms))


def _partition(fault: DrawnFault) -> None:
    instances = fault.schedule.instances
    group = fault.random.sample(range(instances), instances // 2)
    fault.schedule_at_begin(lambda cluster: cluster.partition([group]))
    fault.schedule_at_end(lambda cluster: cluster.partition([]))
    fault.describe(f"cut {sorted(group)}")


def _kill(fault: DrawnFault) -> None:
    fault.schedule_at_begin(lambda cluster: cluster.kill(fault.number))
    fault.schedule_at_end(lambda cluster: cluster.restart(fault.number))
    fault.describe(f"kill {fault.number}")


def _restart(fault: DrawnFault) -> None:
    fault.schedule_at_begin(lambda cluster: cluster.restart(fault.number))
    fault.describe(f"restart {fault.number}")


def _move(fault: DrawnFault) -> None:
    fault.schedule_at_begin(lambda cluster: cluster.restart(fault.number, moved=True))
    fault.describe(f"move {fault.number}")


def _block_loop(fault: DrawnFault) -> None:
    def block(cluster: SimulatedCluster) -> None:
        # The length is drawn when the fault begins, so it depends on the draws of the run so far.
        duration_ms = fault.random.uniform(500.0, 4000.0)
        cluster.instances[fault.number].blocked_until_ms = cluster.now_ms + duration_ms

    fault.schedule_at_begin(block)
    fault.describe(f"block {fault.number}")


def _change_clock(fault: DrawnFault) -> None:
    rate, jump_ms = fault.random.choice((0.7, 1.5)), fault.random.choice((0.0, 3_600_000.0))

    def change(cluster: SimulatedCluster) -> None:
        instance = cluster.instances[fault.number]
        # A monotonic clock may jump forward but never back.
        before_ms = instance.now_ms()
        instance.clock_rate = rate
        instance.clock_offset_ms = before_ms + jump_ms - rate * cluster.now_ms

    fault.schedule_at_begin(change)
    fault.describe(f"clock of {fault.number} x{rate} +{jump_ms}")


def _fail_server(fault: DrawnFault) -> None:
    fault.set_on_server("failure_share", 1.0, 0.0)
    fault.describe(f"sick {fault.number}")


def _stall_server(fault: DrawnFault) -> None:
    fault.set_on_server("stalled_share", 1.0, 0.0)
    fault.describe(f"silent {fault.number}")


def _cut_server_off_from_zone(fault: DrawnFault) -> None:
    zone = ZONES[fault.number % len(ZONES)]
    fault.set_on_server("unreachable_from", {zone}, set())
    fault.describe(f"{zone} cut off from a server")


def _replay_datagrams(fault: DrawnFault) -> None:
    """Deliver datagrams that were sent during the fault once more at its end."""
    recorded: list[tuple[Address, bytes, Address]] = []

    def record(cluster: SimulatedCluster) -> None:
        deliver = cluster.deliver

        def record_and_deliver(destination: Address, data: bytes, source: Address) -> None:
            if len(recorded) < MAX_REPLAYED_DATAGRAMS:
                recorded.append((destination, data, source))
            deliver(destination, data, source)

        cluster.deliver = record_and_deliver  # type: ignore[method-assign]

    def replay(cluster: SimulatedCluster) -> None:
        for destination, data, source in recorded:
            SimulatedCluster.deliver(cluster, destination, data, source)

    fault.schedule_at_begin(record)
    fault.schedule_at_end(replay)
    fault.describe("replay")


FAULT_KINDS: tuple[Callable[[DrawnFault], None], ...] = (
    _partition,
    _kill,
    _restart,
    _move,
    _block_loop,
    _change_clock,
    _fail_server,
    _stall_server,
    _cut_server_off_from_zone,
    _replay_datagrams,
)
"""The kinds of faults; a change of their order would change the schedule of each seed."""


def exceeded_limits(instance: SimulatedInstance, server_count: int) -> list[str]:
    """Return a line for each limit that an instance exceeds."""
    node = instance.node
    assert node is not None
    swim, suspicions = node.swim, node.suspicions
    now_ms = instance.now_ms()
    deprioritized = [
        name
        for name in instance.cluster.servers
        if suspicions.score_factor(now_ms, name, CHECKED_CLASS) < DEPRIORITIZED_BELOW
    ]
    max_members = swim.settings.most_members
    counts = [
        ("deprioritized", len(deprioritized), max(1, int(MAX_DEPRIORITIZED_SHARE * server_count))),
        ("members", len(swim.members), max_members),
        ("probes", swim.pending_probe_count, MAX_PENDING_PROBES),
        ("broadcasts", len(swim.broadcasts), max_members),
        ("queued datagrams", node.queued_count, MAX_QUEUED_DATAGRAMS),
        ("sources", node.source_count, MAX_SOURCES),
        ("observers", len(suspicions.observations), MAX_OBSERVERS),
        ("timers", swim.timer_count, 40 + 8 * max_members),
    ]
    return [f"{name}: {count} > {limit}" for name, count, limit in counts if count > limit]


def unknown_pairs(cluster: SimulatedCluster) -> list[str]:
    """Return a line for each running instance that does not know another one as alive at its address."""
    lines = []
    for observer in cluster.instances:
        for peer in cluster.instances:
            if observer is peer or observer.node is None or not (observer.is_up and peer.is_up):
                continue
            member = observer.node.swim.members.get(peer.number + 1)
            alive = member is not None and member.state is MemberState.ALIVE
            if member is None or not alive or member.alive.address != peer.address:
                state = member and member.state.value
                lines.append(f"instance {observer.number} takes instance {peer.number} for {state}")
    return lines


def run_schedule(schedule: FaultSchedule) -> list[str]:
    """Run a schedule and return its violations, a few lines at most."""
    cluster = SimulatedCluster(
        schedule.instances,
        seed=schedule.seed,
        gossip=FAST_GOSSIP,
        node_types=schedule.byzantine_reporters,
        network=schedule.network,
        fast_signatures=True,
    )
    cluster.start()
    cluster.call_at(FAULTS_END_MS, lambda: setattr(cluster, "network", NetworkConditions()))
    cluster.schedule_traffic(RATE_PER_S, FIRST_REQUEST_MS, LAST_REQUEST_MS)
    for action in schedule.actions:
        _schedule_action(cluster, action)
    violations: list[str] = []
    attempts_at_recovery: dict[str, int] = {}
    at_ms = 0.0
    while at_ms < RUN_MS:
        at_ms += CHECK_INTERVAL_MS
        cluster.run(at_ms)
        violations += _violations_now(cluster, at_ms)
        if at_ms == RECOVERED_MS:
            attempts_at_recovery = {name: server.attempt_count for name, server in cluster.servers.items()}
        if len(violations) > MAX_VIOLATIONS:
            return violations
    return violations + _violations_at_end(cluster, attempts_at_recovery)


def _schedule_action(cluster: SimulatedCluster, action: ScheduledAction) -> None:
    cluster.call_at(action.at_ms, lambda: action.apply(cluster))


def _violations_now(cluster: SimulatedCluster, at_ms: float) -> list[str]:
    return [
        f"{at_ms:.0f} ms, instance {instance.number}: {line}"
        for instance in cluster.instances
        if instance.is_up
        for line in exceeded_limits(instance, len(cluster.servers))
    ]


def _violations_at_end(cluster: SimulatedCluster, attempts_at_recovery: dict[str, int]) -> list[str]:
    """Return violations after recovery: unused servers, unknown members, requests without an end."""
    unused = [
        f"server {name} got no attempts after recovery"
        for name, attempts in attempts_at_recovery.items()
        if cluster.servers[name].attempt_count == attempts
    ]
    unknown = [f"after recovery: {line}" for line in unknown_pairs(cluster)[:3]]
    restarted = {number for number, instance in enumerate(cluster.instances) if instance.restart_count}
    unended = [
        f"request {request_id} has no end"
        for request_id, request in cluster.requests.items()
        if request.outcome is RequestOutcome.OPEN and request.instance not in restarted
    ]
    return unused + unknown + unended[:3]
