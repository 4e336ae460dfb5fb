"""Tests of drills on real processes: faults, broken builds that are caught, and no processes left behind."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from client_proxy.fault_injection import history, scenario_runner
from client_proxy.fault_injection.child_process import ROOT, process_state
from client_proxy.fault_injection.plan import AimTable, FaultTable, FleetTable, LoadTable, Plan
from client_proxy.fault_injection.scenario_runner import Verdict

SHORT_AIMS = AimTable(whole_s=2.0, stale_s=1.5)


def make_plan(*faults: FaultTable, aim: AimTable = SHORT_AIMS, **fleet: object) -> Plan:
    drill_plan = FleetTable.model_validate({"instances": 3, "racks": 2, "per_rack": 2, **fleet})
    load = LoadTable(rate=25)
    return Plan(name="drill", seed=4, length_s=5.0, fleet=drill_plan, aim=aim, load=load, fault=faults)


def run_drill(drill_plan: Plan, folder: Path) -> Verdict:
    verdict = asyncio.run(scenario_runner.run(drill_plan, folder / "d"))
    assert verdict.outcome != "refused", verdict.why
    return verdict


def test_service_is_restored_after_kills_stops_and_link_faults(tmp_path: Path) -> None:
    drill_plan = make_plan(
        FaultTable(kind="kill", who=("i1",), at_s=0.5, for_s=0.5),
        FaultTable(kind="silent", who=("r1",), to=("i0",), back=False, at_s=0.5, for_s=1.5),
        FaultTable(kind="reset", who=("i2",), to=("r0",), at_s=1.0, for_s=0.5),
        FaultTable(kind="stop", who=("i2",), at_s=2.5, for_s=1.0),
    )
    verdict = run_drill(drill_plan, tmp_path)
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
    folder = Path(verdict.folder)
    seen = {r["what"]: r["seen"] for r in history.read(folder / "history.jsonl") if r["kind"] == "fault"}
    assert seen["kill"] == {"i1": {"code": -9}}
    assert seen["stop"] == {"i2": {"state": "T"}}
    assert seen["reset"]["wires"]["bitten"] > 0
    assert seen["silent"]["wires"]["bitten"] + seen["silent"]["wires"]["hanging_dials"] > 0
    # Judged again from its folder, the drill gets the same verdict.
    again = scenario_runner.judge_folder(folder)
    assert (again.outcome, again.figures) == (verdict.outcome, verdict.figures)
    assert verdict.figures["served"] > 200


def test_instances_that_keep_an_old_list_are_reported(tmp_path: Path) -> None:
    drill_plan = make_plan(
        FaultTable(kind="kill", who=("i1",), at_s=0.3, for_s=1.5),
        FaultTable(kind="list", who=("i0", "i1"), at_s=1.0, drop=("r1-2",)),
        FaultTable(kind="spoilt-list", who=("i2",), at_s=1.0, drop=("r1-2",)),
    )
    verdict = run_drill(drill_plan, tmp_path)
    assert {(b.rule, b.who) for b in verdict.breaches} == {("stale", "i1"), ("stale", "i2")}


def test_instances_of_the_platforms_line_pass_without_discovery_for_a_while(tmp_path: Path) -> None:
    drill_plan = make_plan(
        FaultTable(kind="kill", who=("d",), at_s=0.5, for_s=1.5),
        FaultTable(kind="term", who=("i1",), at_s=0.7, for_s=0.5),
        line="run",
    )
    verdict = run_drill(drill_plan, tmp_path)
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])


def test_gossip_keys_are_rotated_while_one_instance_is_stopped(tmp_path: Path) -> None:
    """SIGHUP makes `serve` read its keys again and does not end it."""
    all_instances = ("i0", "i1", "i2")
    verdict = run_drill(
        make_plan(
            FaultTable(kind="rotate", who=all_instances, groups=(1, 2), at_s=0.5),
            FaultTable(kind="stop", who=("i2",), at_s=1.0, for_s=1.5),
            FaultTable(kind="rotate", who=all_instances, groups=(2, 1), at_s=1.5),
            FaultTable(kind="rotate", who=all_instances, groups=(2,), at_s=3.5),
            gossip=True,
        ),
        tmp_path,
    )
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])


def build_broken_checkout(folder: Path, file: str, old: str, new: str) -> str:
    """Copy the program to a folder with one text of one file replaced, and return the folder."""
    target = folder / "broken"
    shutil.copytree(
        ROOT / "client_proxy", target / "client_proxy", ignore=shutil.ignore_patterns("__pycache__")
    )
    shutil.copytree(ROOT / "deploy", target / "deploy")
    path = target / "client_proxy" / file
    text = path.read_text()
    assert text.count(old) == 1, f"{file}: {old!r}"
    path.write_text(text.replace(old, new))
    return str(target)


BROKEN = {
    "again": (
        "proxy/client_connection.py",
        "        transport.write(encode_response(status, headers, body, is_last))\n",
        "        transport.write(encode_response(status, headers, body, is_last))\n"
        "        asyncio.get_running_loop().call_later(0.001, transport.write, b'HTTP/1.1 200 OK')\n",
    ),
    "stale": (
        "config/source.py",
        "        has_predecessor = bool(self._directory.entries)\n",
        "        has_predecessor = bool(self._directory.entries)\n"
        "        if has_predecessor:\n            return\n",
    ),
    "twice": (
        "balancer/request.py",
        "        return request_class is not None and "
        "request_class.idempotency is not Idempotency.NOT_IDEMPOTENT\n",
        "        return True\n",
    ),
    "foreign": (
        "proxy/client_connection.py",
        "        self._answer(200, end_to_end_headers(response.headers, NOT_FORWARDED), response.body)\n",
        "        self._answer(200, end_to_end_headers(response.headers, NOT_FORWARDED), "
        "b'0000000000 r0-1 ran')\n",
    ),
}


@pytest.mark.parametrize("rule", BROKEN)
def test_a_broken_build_is_caught_and_good_builds_beside_it_are_not(rule: str, tmp_path: Path) -> None:
    all_instances = ("i0", "i1", "i2")
    # Connections are reset six times while requests take long, so that some of them have run by then.
    breaks = [
        FaultTable(kind="reset", who=all_instances, to=(f"r{n % 3}",), at_s=0.8 + n / 2, for_s=0.1)
        for n in range(6)
    ]
    faults = [FaultTable(kind="list", who=all_instances, at_s=0.5, drop=("r1-2",)), *breaks]
    drill_plan = make_plan(*faults, racks=3, others={"i1": build_broken_checkout(tmp_path, *BROKEN[rule])})
    drill_plan = drill_plan.model_copy(update={"load": LoadTable(rate=30, work_ms=100.0, unsafe_share=0.9)})
    verdict = run_drill(drill_plan, tmp_path)
    assert verdict.outcome == "failed", verdict.why
    assert {b.who for b in verdict.breaches if b.rule == rule} == {"i1"}
    assert not [b for b in verdict.breaches if b.who in ("i0", "i2")], verdict.breaches[:5]


def test_a_fault_that_does_not_happen_is_an_error(tmp_path: Path) -> None:
    without_effect = FaultTable(kind="slow-disk", who=("i0",), ms=50.0, at_s=0.2, for_s=0.3)
    verdict = run_drill(make_plan(without_effect), tmp_path)
    assert verdict.outcome == "error"
    assert "did not happen at i0" in verdict.why
    two_faults = (
        FaultTable(kind="kill", who=("i0",), at_s=0.2),
        FaultTable(kind="stop", who=("i0",), at_s=1.0),
    )
    verdict = run_drill(make_plan(*two_faults), tmp_path / "more")
    assert verdict.outcome == "error"
    assert "gone before" in verdict.why


def test_a_drill_that_is_killed_leaves_no_process(tmp_path: Path) -> None:
    file = tmp_path / "p.toml"
    fault = 'kind = "stop"\nwho = ["i1"]\nat_s = 0.1\nfor_s = 50'
    file.write_text(f'name = "p"\nlength_s = 60\n[[fault]]\n{fault}\n')
    command = [
        sys.executable,
        "-m",
        "client_proxy.cli",
        "drill",
        "run",
        str(file),
        "--out",
        str(tmp_path / "o"),
    ]

    def wait_until(condition: Callable[[], bool]) -> None:
        async def wait() -> None:
            async with asyncio.timeout(60):
                while not condition():
                    await asyncio.sleep(0.02)

        asyncio.run(wait())

    def children(pid: int) -> list[int]:
        found = []
        for entry in os.listdir("/proc"):
            if entry.isdigit():
                try:
                    parent = int(Path(f"/proc/{entry}/stat").read_text().rpartition(")")[2].split()[1])
                except OSError:
                    continue
                found += [int(entry)] if parent == pid else []
        return found

    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL) as target:
        wait_until(lambda: any(process_state(pid) == "T" for pid in children(target.pid)))
        pids = children(target.pid)
        assert len(pids) >= 3 + 3 + 2  # instances, racks, wires, clients
        target.send_signal(signal.SIGKILL)
        target.wait()
    wait_until(lambda: all(process_state(pid) in ("", "Z") for pid in pids))
