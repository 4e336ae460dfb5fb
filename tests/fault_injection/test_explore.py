"""Tests of random plans: they are valid and depend on the seed only, and minimizing keeps the breach."""

from __future__ import annotations

import asyncio
from itertools import pairwise

import pytest

from client_proxy.config.models import parse
from client_proxy.fault_injection.explore import draw_plan, minimize
from client_proxy.fault_injection.plan import AGREEMENT_KINDS, FaultTable, FleetTable, Plan, format_plan


@pytest.mark.parametrize("fleet", [FleetTable(instances=4, gossip=True), FleetTable(instances=3, line="run")])
def test_random_plans_are_valid_and_leave_one_process_without_faults(fleet: FleetTable) -> None:
    base = Plan(name="base", seed=9, length_s=12, fleet=fleet)
    kinds = set()
    for seed in range(200):
        plan = draw_plan(base, seed)
        assert parse(Plan, format_plan(plan), "drawn") == plan == draw_plan(base, seed)
        kinds |= {fault.kind for fault in plan.fault}
        affected = {name for fault in plan.fault for name in (*fault.who, *fault.to)}
        fault_victims = {
            name for fault in plan.fault if fault.kind not in ("late", "loss") for name in fault.who
        }
        assert fault_victims < set(base.instances()) | set(base.racks()) | {"d"}, affected
        # No instance gets a fault while another one lasts.
        for name in base.instances():
            spans = sorted((f.at_s, f.at_s + f.for_s) for f in plan.fault if name in f.who)
            assert all(a[1] < b[0] for a, b in pairwise(spans)), plan.fault
    assert {"kill", "stop", "silent", "reset", "clock"} <= kinds


def test_minimizing_finds_the_two_faults_that_break_the_rule() -> None:
    faults = tuple(FaultTable(kind="stop", who=("i1",), at_s=1.0 + n, for_s=2.0) for n in range(5))
    plan = Plan(name="p", length_s=20, fault=faults)
    runs = 0

    async def run(candidate: Plan) -> list[str]:
        nonlocal runs
        runs += 1
        moments = {fault.at_s for fault in candidate.fault}
        return ["lost"] if {2.0, 5.0} <= moments else []

    minimized = asyncio.run(minimize(plan, "lost", run))
    assert [fault.at_s for fault in minimized.plan.fault] == [2.0, 5.0]
    assert all(fault.for_s == 1.0 for fault in minimized.plan.fault)
    assert minimized.runs == runs <= 24


def test_random_plans_with_an_agreed_policy_change_it_and_keep_the_acceptors_disks() -> None:
    fleet = FleetTable(instances=5, racks=3, seats=3, whole=True, without=("r2-2",))
    base = Plan(name="agreed", length_s=9.0, fleet=fleet)
    kinds: set[str] = set()
    for seed in range(300):
        random_plan = draw_plan(base, seed)
        kinds |= {fault.kind for fault in random_plan.fault}
        assert any(fault.kind in AGREEMENT_KINDS for fault in random_plan.fault)
        for fault in random_plan.fault:
            loses_disk = fault.fresh or fault.kind == "lost-disk"
            assert not (loses_disk and set(fault.who) & {"i0", "i1", "i2"}), fault
    assert {"propose", "withdraw", "dry-run", "die-at", "die-after", "torn", "full"} <= kinds
