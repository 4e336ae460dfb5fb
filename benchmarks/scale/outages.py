"""Outages on the virtual clock: control machines down, instances restarted at once, datagrams lost.

The virtual clock models neither receive buffers that overflow when many instances send at once (see `burst`),
nor the time to read files (see `list`)."""

from __future__ import annotations

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.town import CountedCluster, make_cluster

PLANNED = 680  # instances of the planned fleet
CONTROL_MACHINES = 5
LEASE_MS = 3000.0
STEP_MS = 100.0  # time between two checks of the leases
OUTAGE_S = 12.0
CHANGE_S = 8.0  # time for a change to reach every instance
CONTROL_MACHINES_DOWN = (0, 1, 2, 3, 4)
RESTARTED = (1, 34, 113, 226, 680)
LOST_PER_THOUSAND = (0, 5, 10, 20, 50)


def _start_cluster(size: int, loss: float = 0.0) -> CountedCluster:
    cluster = make_cluster(size, LEASE_MS, seats=CONTROL_MACHINES, loss=loss)
    cluster.run(2 * LEASE_MS)
    return cluster


def control_machines_gone(count: int, size: int = PLANNED) -> Readings:
    """Measures the mean time in s that running instances are without a lease during the outage."""
    cluster = _start_cluster(size)
    for number in range(count):
        cluster.kill(number)
    running = [number for number in cluster.nodes if number not in cluster.down]
    missing_leases = 0
    for _ in range(round(1000.0 * OUTAGE_S / STEP_MS)):
        cluster.run(cluster.now_ms + STEP_MS)
        missing_leases += sum(
            cluster.nodes[number].lease_holder.leased_version(cluster.now_ms) is None for number in running
        )
    return {"without_lease": missing_leases * STEP_MS / 1000.0 / len(running)}


def back_at_once(count: int, size: int = PLANNED) -> Readings:
    """Measures the time in s until the last of the restarted instances decides.

    If all instances are restarted, this includes the control machines."""
    cluster = _start_cluster(size)
    returning = range(size - count, size)
    for number in returning:
        cluster.kill(number)
    cluster.run(cluster.now_ms + 2 * LEASE_MS)
    for number in returning:
        cluster.restart(number)
    begin_ms = cluster.now_ms
    while any(
        cluster.nodes[number].lease_holder.leased_version(cluster.now_ms) is None for number in returning
    ):
        if cluster.now_ms > begin_ms + 60_000.0:
            raise RuntimeError(f"{count} restarted instances don't all decide after a minute")
        cluster.run(cluster.now_ms + STEP_MS / 10.0)
    return {"last": (cluster.now_ms - begin_ms) / 1000.0}


def change_with_loss(per_thousand: int, size: int = PLANNED) -> Readings:
    """Measures the time in s from a proposal until the last instance decides by it."""
    cluster = _start_cluster(size, per_thousand / 1000.0)
    begin_ms = cluster.now_ms
    cluster.propose(0, "changed")
    cluster.run(begin_ms + 1000.0 * CHANGE_S)
    activated_ms = cluster.activated_ms.get(2, {})
    if len(activated_ms) != size:
        raise RuntimeError(
            f"{len(activated_ms)} of {size} instances adopted the change within {CHANGE_S:g} s"
        )
    return {"last": (max(activated_ms.values()) - begin_ms) / 1000.0}


CONTROL_GONE = Cost(
    "control_gone",
    "control machines gone of five",
    CONTROL_MACHINES_DOWN,
    "virtual clock",
    (Quantity("without_lease", "s of 12, an instance that is up"),),
    control_machines_gone,
)
BACK_AT_ONCE = Cost(
    "back_at_once",
    "instances back at once",
    RESTARTED,
    "virtual clock",
    (Quantity("last", "s until the last one decides"),),
    back_at_once,
)
LOSS = Cost(
    "loss",
    "datagrams lost of a thousand",
    LOST_PER_THOUSAND,
    "virtual clock",
    (Quantity("last", "s until the last one decides by a change"),),
    change_with_loss,
)
