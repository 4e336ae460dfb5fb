"""A rollout in stages by the number of instances: its file, reading it, and the controller's work per second.

Each instance reports its outcome counts to each control machine once a second; the controller adds them up
and compares the groups. Only the decisions are measured, without sockets. The file lists 680 servers, and
half of the instances use the new policy."""

from __future__ import annotations

import time
import tracemalloc

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.lists import CLASS, policy_file
from client_proxy.config.models import RolloutTable
from client_proxy.config.policy import read_policy
from client_proxy.consensus.messages import OutcomeReport, encode
from client_proxy.rollout.file import with_rollout, without_rollout
from client_proxy.rollout.outcome_counts import CumulativeCounts, OutcomeCounts
from client_proxy.rollout.rollout_controller import RolloutController
from client_proxy.rollout.rollout_executor import plan_from_table, state_from_table

INSTANCES = (34, 68, 136, 340, 680)
SERVERS = 680
SECONDS = 10
ZONES = 6
CALLS_A_SECOND = 294


def rollout_table(instances: int, servers: int) -> RolloutTable:
    return RolloutTable(
        name="rollout",
        new=without_rollout(policy_file(servers).decode()),
        stage=2,
        members=tuple(range(instances // 2)),
        warm_s=0.0,
    )


def _run_controller(instances: int, table: RolloutTable, seconds: int) -> tuple[float, float]:
    """Returns the processor time in s to add one instance's report, and to evaluate one second of reports."""
    outcomes = OutcomeCounts()
    controller = RolloutController(plan_from_table(table), state_from_table(table), [CLASS.name], 0.0, [])
    zones = {member: f"zone-{member % ZONES}" for member in range(instances)}
    record_s = evaluate_s = 0.0
    for second in range(1, seconds + 1):
        begin_s = time.process_time()
        for member, zone in zones.items():
            outcomes.record(
                member, zone, CumulativeCounts(1, 1, {CLASS.name: (CALLS_A_SECOND * second, second)})
            )
        recorded_at_s = time.process_time()
        controller.observe(float(second), outcomes.close_window(), 1.0, zones)
        record_s += recorded_at_s - begin_s
        evaluate_s += time.process_time() - recorded_at_s
    return record_s / seconds / instances, evaluate_s / seconds


def _memory_mb(instances: int, table: RolloutTable, seconds: int) -> float:
    tracemalloc.start()
    try:
        _run_controller(instances, table, seconds)
        return tracemalloc.get_traced_memory()[1] / 1e6
    finally:
        tracemalloc.stop()


def measure(instances: int, servers: int = SERVERS, seconds: int = SECONDS) -> Readings:
    table = rollout_table(instances, servers)
    content = with_rollout(policy_file(servers).decode(), table).encode()
    begin_s = time.process_time()
    read_policy(content, "the policy")
    read_s = time.process_time() - begin_s
    record_s, evaluate_s = _run_controller(instances, table, seconds)
    return {
        "file": float(len(content)),
        "read": 1e3 * read_s,
        "count_bytes": float(len(encode(OutcomeReport(1, 1, "zone-1", {CLASS.name: (10**6, 10**3)})))),
        "count": 1e6 * record_s,
        "judge": 1e3 * evaluate_s,
        "memory": _memory_mb(instances, table, seconds),
    }


COST = Cost(
    name="rollout",
    axis="instances",
    sizes=INSTANCES,
    basis="processor time",
    quantities=(
        Quantity("file", "bytes"),
        Quantity("read", "ms"),
        Quantity("count_bytes", "bytes"),
        Quantity("count", "us"),
        Quantity("judge", "ms a second"),
        Quantity("memory", "MB, ten seconds"),
    ),
    measure=measure,
)
