"""Messages of the agreement, and the duration of a change, by instances, changes per minute and lease length.

Runs the protocol's own code on a virtual clock with a simulated network: delays of 0.2 to 3 ms, no loss.
`signatures` and `control_machine` measure the cost of the signatures and sockets of these messages."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.town import CountedCluster, Traffic, make_cluster
from client_proxy.consensus.lease_holder import LeaseSettings

INSTANCES = (34, 68, 136, 340, 680)
CHANGES_PER_MINUTE = (0, 6, 20, 40, 60)
LEASES_MS = (1500, 3000, 6000, 12000, 30000)
SEATS = 5
PLANNED = 680  # instances of the planned fleet
LEASE_MS = 3000
WARM_LEASES = 2  # lease lengths before a measurement begins
LEASES = 4  # lease lengths that a measurement without changes covers
CHANGE_S = 8.0  # time for a change to reach every instance
MINUTE_S = 60.0
SPAN_S = 20.0  # length of a measurement with changes at a fixed rate

LOAD = (
    Quantity("control_received", "datagrams a second at each control machine"),
    Quantity("control_sent", "datagrams a second at each control machine"),
    Quantity("control_bytes", "bytes a second at each control machine, both ways"),
    Quantity("proxy_datagrams", "datagrams a second at each other instance, both ways"),
    Quantity("proxy_bytes", "bytes a second at each other instance, both ways"),
)


@dataclass(frozen=True, slots=True)
class Span:
    """Traffic during a span of time."""

    control: Traffic
    followers: Traffic
    length_s: float


def _measure_traffic(cluster: CountedCluster, length_s: float) -> Span:
    control, followers = cluster.snapshot()
    cluster.run(cluster.now_ms + 1000.0 * length_s)
    return Span(cluster.control.minus(control), cluster.followers.minus(followers), length_s)


def _load_readings(span: Span, size: int) -> Readings:
    seat_s, follower_s = SEATS * span.length_s, (size - SEATS) * span.length_s
    control, followers = span.control, span.followers
    return {
        "control_received": control.received / seat_s,
        "control_sent": control.sent / seat_s,
        "control_bytes": (control.bytes_sent + control.bytes_received) / seat_s,
        "proxy_datagrams": (followers.sent + followers.received) / follower_s,
        "proxy_bytes": (followers.bytes_sent + followers.bytes_received) / follower_s,
    }


def _start_cluster(size: int, lease_ms: float) -> CountedCluster:
    cluster = make_cluster(size, lease_ms, seats=SEATS)
    cluster.run(WARM_LEASES * lease_ms)
    return cluster


def quiet(size: int) -> Readings:
    """Measures the traffic while nothing changes."""
    cluster = _start_cluster(size, LEASE_MS)
    return _load_readings(_measure_traffic(cluster, LEASES * LEASE_MS / 1000.0), size)


def by_lease(lease_ms: int, size: int = PLANNED) -> Readings:
    """Measures the traffic while nothing changes, and then one change.

    `force` is the time until no instance, even one that is cut off, decides by the previous version: the
    duration of the change plus the configured overlap of the two versions."""
    cluster = _start_cluster(size, lease_ms)
    load = _load_readings(_measure_traffic(cluster, LEASES * lease_ms / 1000.0), size)
    decided = _measure_change(cluster, size)
    overlap_ms = LeaseSettings(lease_ms=lease_ms).overlap_ms
    return {**load, "last": decided["last"], "force": decided["last"] + overlap_ms}


def _measure_change(cluster: CountedCluster, size: int, down: int = 0) -> Readings:
    """Measures the time in ms from a proposal until the first and the last running instance decides by it."""
    begin_ms = cluster.now_ms
    before_control, before_followers = cluster.snapshot()
    number = cluster.nodes[0].lease_holder.latest.version.number + 1
    cluster.propose(0, f"version {number}")
    cluster.run(begin_ms + 1000.0 * CHANGE_S)
    durations_ms = sorted(
        at_ms - begin_ms for n, at_ms in cluster.activated_ms.get(number, {}).items() if n not in cluster.down
    )
    if len(durations_ms) != size - down:
        raise RuntimeError(f"{len(durations_ms)} of {size - down} running instances adopted the change")
    control = cluster.control.minus(before_control)
    followers = cluster.followers.minus(before_followers)
    return {
        "first": durations_ms[0],
        "last": durations_ms[-1],
        "control_datagrams": (control.sent + control.received) / SEATS,
        "proxy_datagrams": (followers.sent + followers.received) / (size - SEATS),
    }


def change(size: int) -> Readings:
    """Measures one change with all instances running, and one with a third of the followers down."""
    all_running = _measure_change(_start_cluster(size, LEASE_MS), size)
    cluster = _start_cluster(size, LEASE_MS)
    down = (size - SEATS) // 3
    for number in range(size - down, size):
        cluster.kill(number)
    cluster.run(cluster.now_ms + 100.0)
    third_down = _measure_change(cluster, size, down)
    return {"first": all_running["first"], "last": all_running["last"], "third_down_last": third_down["last"]}


def by_changes(changes_per_minute: int, size: int = PLANNED) -> Readings:
    """Measures the traffic at an even rate of changes by one author."""
    cluster = _start_cluster(size, LEASE_MS)
    control, followers = cluster.snapshot()
    begin_ms = cluster.now_ms
    count = round(changes_per_minute * SPAN_S / MINUTE_S)
    for number in range(count):
        cluster.run(begin_ms + 1000.0 * number * SPAN_S / count)
        cluster.propose(0, f"change {number}")
    cluster.run(begin_ms + 1000.0 * SPAN_S)
    span = Span(cluster.control.minus(control), cluster.followers.minus(followers), SPAN_S)
    decided = sum(1 for result in cluster.results if result.outcome == "decided")
    return {**_load_readings(span, size), "decided": decided / count if count else 1.0}


QUIET = Cost("agreement", "instances", INSTANCES, "virtual clock", LOAD, quiet)
CHANGE = Cost(
    "change",
    "instances",
    INSTANCES,
    "virtual clock",
    (Quantity("first", "ms"), Quantity("last", "ms"), Quantity("third_down_last", "ms")),
    change,
)
BY_LEASE = Cost(
    "lease",
    "lease, ms",
    LEASES_MS,
    "virtual clock",
    (*LOAD, Quantity("last", "ms"), Quantity("force", "ms")),
    by_lease,
)
BY_CHANGES = Cost(
    "changes",
    "changes a minute",
    CHANGES_PER_MINUTE,
    "virtual clock",
    (*LOAD, Quantity("decided", "of the changes")),
    by_changes,
)
