"""Consensus between real processes that are killed, stopped or partitioned: none serves an old version."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from client_proxy.fault_injection import history, scenario_runner
from client_proxy.fault_injection.plan import After, AimTable, FaultTable, FleetTable, LoadTable, Plan
from client_proxy.fault_injection.scenario_runner import Verdict
from tests.fault_injection.test_drills import build_broken_checkout

INSTANCES = ("i0", "i1", "i2", "i3")
OBJECTIVE = AimTable(whole_s=2.0, stale_s=1.2)
LIST_ONLY_FLEET = FleetTable(instances=4, racks=2, seats=3, lease_ms=1000.0)
FULL_POLICY_FLEET = FleetTable(
    instances=4, racks=2, per_rack=3, seats=3, lease_ms=1000.0, whole=True, without=("r1-2", "r1-3")
)
RESTART, PAUSE, PROPOSAL = (
    FaultTable(kind="kill", who=("i1",), at_s=0.3, for_s=2.0),
    FaultTable(kind="stop", who=("i3",), at_s=1.0, for_s=3.0),
    FaultTable(kind="propose", who=("i0",), at_s=1.2, drop=("r1-2",)),
)


def run_scenario(folder: Path, fleet: FleetTable, *faults: FaultTable) -> Verdict:
    load = LoadTable(rate=30)
    plan = Plan(name="agreed", seed=6, length_s=6.0, fleet=fleet, aim=OBJECTIVE, load=load, fault=faults)
    verdict = asyncio.run(scenario_runner.run(plan, folder / "d"))
    assert verdict.outcome != "refused", verdict.why
    return verdict


def read_records(verdict: Verdict, kind: str) -> list[dict[str, Any]]:
    records = history.read(Path(verdict.folder) / "history.jsonl")
    return [record for record in records if record["kind"] == kind]


def read_log(verdict: Verdict, instance: str) -> str:
    return (Path(verdict.folder) / f"{instance}.log").read_text()


def proposal_results(verdict: Verdict) -> list[dict[str, object]]:
    """Returns the result of each proposal at its author i0."""
    return [record["seen"]["i0"] for record in read_records(verdict, "fault") if record["what"] == "propose"]


def test_a_change_is_activated_by_instances_that_were_down_or_stopped(tmp_path: Path) -> None:
    verdict = run_scenario(tmp_path, LIST_ONLY_FLEET, RESTART, PAUSE, PROPOSAL)
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    (result,) = proposal_results(verdict)
    assert result["what"] == "decided"
    for instance in INSTANCES:
        assert "taken: version 2" in read_log(verdict, instance), instance


def test_an_instance_that_ignores_the_end_of_its_lease_is_detected(tmp_path: Path) -> None:
    broken = build_broken_checkout(
        tmp_path,
        "consensus/lease_holder.py",
        "        return self.active_version if now_ms < self._lease_until_ms else None\n",
        "        return self.active_version\n",
    )
    # i3 has no acceptor and receives nothing from the acceptors during the change.
    cut_off = FaultTable(kind="loss", who=("i3",), to=("i0", "i1", "i2"), at_s=0.5, for_s=10.0)
    change = FaultTable(kind="propose", who=("i0",), at_s=1.0, drop=("r1-2",))
    fleet = LIST_ONLY_FLEET.model_copy(update={"others": {"i3": broken}})
    verdict = run_scenario(tmp_path, fleet, cut_off, change)
    old_versions = {(breach.rule, breach.who) for breach in verdict.breaches if breach.rule == "old"}
    assert old_versions == {("old", "i3")}


def test_without_a_majority_nothing_is_decided_and_no_instance_serves_beyond_its_lease(
    tmp_path: Path,
) -> None:
    down = FaultTable(kind="kill", who=("i1", "i2"), at_s=0.3, for_s=2.5)
    change = FaultTable(kind="propose", who=("i0",), at_s=0.8, drop=("r1-2",))
    verdict = run_scenario(tmp_path, LIST_ONLY_FLEET, down, change)
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    (result,) = proposal_results(verdict)
    assert result["what"] in ("decided", "given up", "another's")
    states = [(record["state"], record["t"]) for record in read_records(verdict, "state")]
    killed_s = next(at_s for state, at_s in states if state == "ended")
    restarted_s = next(at_s for state, at_s in states if state == "started" and at_s > killed_s)
    during_outage = [
        record
        for record in read_records(verdict, "op")
        if record["instance"] in ("i0", "i3")
        and killed_s + 1.2 < record["begin"]
        and record["end"] < restarted_s
    ]
    assert during_outage
    assert all(record["ending"] == "refused" for record in during_outage)


def test_the_others_activate_a_version_if_an_acceptor_is_killed_when_it_does(tmp_path: Path) -> None:
    """The kill is triggered by the log line of the activation."""
    change = FaultTable(kind="propose", who=("i0",), at_s=0.8, drop=("r1-2",))
    activated = After(of="i1", log="deciding by version 2")
    kill = FaultTable(kind="kill", who=("i1",), when=activated, for_s=1.0)
    verdict = run_scenario(tmp_path, LIST_ONLY_FLEET, change, kill)
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    activations_s = [
        record["t"] for record in read_records(verdict, "log") if "deciding by version 2" in record["line"]
    ]
    killed_s = next(record["t"] for record in read_records(verdict, "state") if record["state"] == "killed")
    assert min(activations_s) - 0.1 < killed_s
    assert len(activations_s) == 5


def test_a_full_policy_is_changed_withdrawn_and_rolled_back_under_load(tmp_path: Path) -> None:
    features = "[overload]\n[connections]\nrest_s = 2\n"
    verdict = run_scenario(
        tmp_path, FULL_POLICY_FLEET,
        FaultTable(kind="propose", who=("i0",), at_s=0.5, anew=True, drop=("r0-2", "r1-3"), attempts=2,
                   features=features),
        # Only the withdrawn list contains r1-3, so no request may reach it.
        FaultTable(kind="withdraw", who=("i1",), at_s=1.2, many=3, anew=True, drop=("r0-2",)),
        FaultTable(kind="dry-run", who=("i2",), at_s=2.0, anew=True, drop=("r0-1", "r1-3")),
        FaultTable(kind="back", who=("i2",), at_s=2.5, version=1),
    )  # fmt: skip
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    changes = verdict.figures["changes"]
    assert changes["could"] == 1
    assert changes["decided"] + changes.get("withdrawn", 0) == 5
    assert verdict.figures["unserved"] == 0
    arrivals = {record["server"] for record in read_records(verdict, "arrival")}
    assert "r1-2" in arrivals  # Version 2 was in use; version 1 does not list r1-2.


def test_an_acceptor_dies_during_a_write_and_another_is_replaced(tmp_path: Path) -> None:
    fleet = FULL_POLICY_FLEET.model_copy(update={"instances": 5, "spare": 1})
    verdict = run_scenario(
        tmp_path, fleet,
        FaultTable(kind="die-at", who=("i1",), at_s=0.4, for_s=1.5, step=5),
        FaultTable(kind="propose", who=("i0",), at_s=0.5, anew=True, drop=("r0-2", "r1-3")),
        FaultTable(kind="kill", who=("i3",), at_s=2.2, for_s=0.5, anew=True),
        FaultTable(kind="kill", who=("i2",), at_s=3.0),
        FaultTable(kind="reseat", who=("i0",), seat="i2", remove=True, at_s=3.3),
        FaultTable(kind="reseat", who=("i0",), seat="i3", at_s=5.5),
    )  # fmt: skip
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    assert verdict.figures["changes"] == {"decided": 3}
    histories = read_records(verdict, "versions")
    assert {record["who"] for record in histories} == {"i0", "i1", "i3", "i4"}
    latest_numbers = [record["versions"][-1][0] for record in histories]
    assert all(number == 4 for number in latest_numbers)


def test_with_serve_stale_instances_serve_during_the_loss_of_the_majority_and_log_it(tmp_path: Path) -> None:
    fleet = FULL_POLICY_FLEET.model_copy(update={"stale": "serve"})
    kill = FaultTable(kind="kill", who=("i1", "i2"), at_s=0.5, for_s=3.5)
    verdict = run_scenario(tmp_path, fleet, kill)
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    killed_s = min(record["t"] for record in read_records(verdict, "state") if record["state"] == "killed")
    for instance in ("i0", "i3"):
        operations = [record for record in read_records(verdict, "op") if record["instance"] == instance]
        # An instance rejects requests until its first lease, which it gets well before the kill.
        leased_s = min(record["begin"] for record in operations if record["ending"] == "served")
        assert leased_s < killed_s
        assert {record["ending"] for record in operations if record["begin"] >= leased_s} == {"served"}
    log = read_log(verdict, "i3")
    assert "serving without a lease" in log
    assert "serving under a lease again" in log


def test_an_instance_with_the_folder_of_another_fleet_rejects_requests_and_logs_the_reason(
    tmp_path: Path,
) -> None:
    kill = FaultTable(kind="kill", who=("i3",), at_s=0.3, for_s=0.5, future=True)
    verdict = run_scenario(tmp_path, FULL_POLICY_FLEET, kill)
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    assert "most acceptors know only 1" in read_log(verdict, "i3")
    restarted_s = max(
        record["t"]
        for record in read_records(verdict, "state")
        if record["who"] == "i3" and record["state"] == "started"
    )
    endings = {
        record["ending"]
        for record in read_records(verdict, "op")
        if record["instance"] == "i3" and record["begin"] > restarted_s + 1.0
    }
    assert "refused" in endings
    assert "served" not in endings
