"""Faults that end or fail a scale run: lost hollow instances, ports in use, a killed command."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from client_proxy.fault_injection import child_process
from client_proxy.fault_injection.child_process import ROOT, Child, process_state
from client_proxy.scale import measure
from client_proxy.scale import run as runs
from client_proxy.scale.fleet import (
    TMPFS,
    TMPFS_PREFIX,
    Fleet,
    HollowUnresponsive,
    HostLateness,
    remove_stale_folders,
)
from client_proxy.scale.plan import DayTable, RealTable, RegionTable, ScalePlan
from client_proxy.scale.report import Report
from client_proxy.scale.topology import HostProcess, Placement, Role

LONG_DAY = DayTable(kind="quiet", length_s=60.0)
EXIT_TIMEOUT_S = 30.0


def small_plan(*days: DayTable) -> ScalePlan:
    regions = (
        RegionTable(name="north", zones=("north-a", "north-b"), instances=4, control=2),
        RegionTable(name="south", zones=("south-a",), instances=3, control=1),
    )
    real = RealTable(instances=0, plain=0)
    return ScalePlan(name="t", seed=3, lease_ms=1000.0, region=regions, real=real, day=days)


def run_plan(
    plan: ScalePlan,
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
    on_day: Callable[[Fleet], object] = lambda _: None,
    on_start: Callable[[Fleet], object] = lambda _: None,
) -> tuple[Report, Fleet]:
    """Runs `plan`; calls `on_start` before anything is started and `on_day` when the first day begins."""
    fleets: list[Fleet] = []

    class RecordedFleet(Fleet):
        async def start(self) -> None:
            fleets.append(self)
            on_start(self)
            await super().start()

    def show_progress(text: object) -> None:
        if str(text).startswith(plan.day[0].title):
            on_day(fleets[0])

    monkeypatch.setattr(runs, "Fleet", RecordedFleet)
    return runs.run(plan, folder / "run", show_progress), fleets[0]


def running_processes(fleet: Fleet) -> list[str]:
    children: list[Child] = [*fleet.hollow.values(), *fleet.servers, fleet.authors]
    return [child.name for child in children if child.pid and process_state(child.pid) not in ("", "Z")]


def test_a_killed_hollow_instance_fails_the_run_and_is_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def kill(fleet: Fleet) -> None:
        os.kill(fleet.hollow["hollow-south-a-0"].pid, signal.SIGKILL)

    report, fleet = run_plan(small_plan(LONG_DAY), tmp_path, monkeypatch, on_day=kill)
    assert report.outcome == "failed"
    assert report.why.startswith("hollow-south-a-0 (south-a-0 to south-a-2): ")
    assert not running_processes(fleet)
    assert not fleet.tmpfs.exists()


def test_a_hollow_instance_that_does_not_report_fails_the_run_and_is_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def stop(fleet: Fleet) -> None:
        monkeypatch.setattr(child_process, "ANSWER_TIMEOUT_S", 2.0)
        os.kill(fleet.hollow["control-1"].pid, signal.SIGSTOP)

    report, fleet = run_plan(small_plan(LONG_DAY), tmp_path, monkeypatch, on_day=stop)
    # The outcome depends on the machine's load. In both cases the run doesn't pass and names the process.
    assert report.outcome in ("failed", "refused")
    assert report.why.startswith("control-1: ")
    assert "no answer" in report.why
    assert not running_processes(fleet)


def test_an_overloaded_instance_fails_the_run_unless_the_machine_had_no_core(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def classify(share: float) -> tuple[str, str]:
        scale_run = runs.Run(small_plan(LONG_DAY), tmp_path, lambda _: None)
        monkeypatch.setattr(scale_run.fleet, "core_wait_share", lambda: share)
        return scale_run.classify_unresponsive("a-0: it is overloaded")

    assert asyncio.run(classify(0.1)) == ("failed", "a-0: it is overloaded")
    outcome, why = asyncio.run(classify(0.5))
    assert outcome == "refused"
    assert why.startswith("a-0: it is overloaded")
    assert "50%" in why


def test_a_run_ends_at_its_time_limit(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def shorten(fleet: Fleet) -> None:
        recorded[0]._end_s = time.monotonic() + 1.0

    recorded: list[runs.Run] = []

    class RecordedRun(runs.Run):
        def __init__(self, *args: object) -> None:
            super().__init__(*args)  # type: ignore[arg-type]
            recorded.append(self)

    monkeypatch.setattr(runs, "Run", RecordedRun)
    report, fleet = run_plan(small_plan(LONG_DAY), tmp_path, monkeypatch, on_start=shorten)
    assert report.outcome in ("failed", "refused")
    assert "0 of 1 days ended within" in report.why
    assert not running_processes(fleet)


def follower_host() -> HostProcess:
    return HostProcess("h", Role.FOLLOWER, (Placement("a-0", 1, Role.FOLLOWER, "r", "a", "127.0.0.1"),))


def timer_report(worst_s: float, mean_s: float = 0.0, ticks: int = 20) -> dict[str, float]:
    return {"worst_s": worst_s, "sum_s": max(worst_s, mean_s * ticks), "ticks": ticks}


def test_timers_late_while_running_fail_the_run_and_timers_late_without_a_core_refuse_it() -> None:
    assert HostLateness().check(follower_host(), timer_report(0.9), ran_s=0.9) == ""
    with pytest.raises(HollowUnresponsive, match=r"a-0: timers late by 1\.20 s: it is overloaded"):
        HostLateness().check(follower_host(), timer_report(1.2), ran_s=0.7)
    assert "a-0: timers late by 1.20 s, of which it ran for 0.50 s" in HostLateness().check(
        follower_host(), timer_report(1.2), ran_s=0.5
    )


def test_the_mean_lateness_is_checked_after_enough_ticks() -> None:
    lateness = HostLateness()
    for _ in range(2):
        assert lateness.check(follower_host(), timer_report(0.3, mean_s=0.2), ran_s=3.0) == ""
    with pytest.raises(HollowUnresponsive, match=r"a-0: timers late by 0\.200 s in the mean"):
        lateness.check(follower_host(), timer_report(0.3, mean_s=0.2), ran_s=3.0)


@pytest.mark.parametrize("kind", [socket.SOCK_DGRAM, socket.SOCK_STREAM])
def test_a_port_in_use_is_reported_and_no_process_is_left(
    kind: socket.SocketKind, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.socket(socket.AF_INET, kind) as other_socket:

        def take(fleet: Fleet) -> None:
            placement = next(
                placement for placement in fleet.layout.placements if placement.name == "north-b-1"
            )
            address, _, port = placement.agreement_address.rpartition(":")
            other_socket.bind((address, int(port)))
            if kind is socket.SOCK_STREAM:
                other_socket.listen()

        report, fleet = run_plan(small_plan(LONG_DAY), tmp_path, monkeypatch, on_start=take)
    assert report.outcome == "failed"
    assert "hollow-north-b-0" in report.why
    assert "ddress already in use" in report.why
    assert ":7947" in report.why
    assert not running_processes(fleet)


def descendants(pid: int) -> list[int]:
    found: list[int] = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
            except OSError:
                continue
            if parent == pid:
                found += [int(entry.name), *descendants(int(entry.name))]
    return found


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGINT])
def test_the_death_of_the_command_leaves_no_process(signal_number: signal.Signals, tmp_path: Path) -> None:
    file = tmp_path / "long.toml"
    text = (ROOT / "examples/scale/small.toml").read_text()
    file.write_text(text[: text.index("[[day]]")] + '[[day]]\nkind = "quiet"\nlength_s = 120.0\n')
    command_line = [
        sys.executable,
        "-m",
        "client_proxy.cli",
        "scale",
        "run",
        str(file),
        "--out",
        str(tmp_path / "o"),
    ]
    with subprocess.Popen(
        command_line, cwd=ROOT, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL
    ) as command:
        assert command.stderr is not None
        lines: list[bytes] = []
        while line := command.stderr.readline():
            lines.append(line)
            if line.startswith(b"quiet"):
                break
        pids = descendants(command.pid)
        assert len(pids) >= 12, lines
        command.send_signal(signal_number)
        command.wait(timeout=EXIT_TIMEOUT_S)
    end_s = time.monotonic() + EXIT_TIMEOUT_S
    while time.monotonic() < end_s and any(process_state(pid) not in ("", "Z") for pid in pids):
        time.sleep(0.05)
    assert [pid for pid in pids if process_state(pid) not in ("", "Z")] == []
    folders = list(TMPFS.glob(f"{TMPFS_PREFIX}{command.pid}-*"))
    if signal_number is signal.SIGINT:
        assert folders == []
    else:
        # The killed command could not remove its folder; the next run removes it.
        assert folders
        remove_stale_folders()
        assert not any(folder.exists() for folder in folders)


def test_a_region_that_is_cut_off_adopts_no_change_until_the_cut_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # South has one of three seats. The change is proposed on the other side, in the middle of the cut.
    cut = DayTable(kind="region-cut", length_s=6.0, fault_s=4.0, region="south", changes=1)
    report, fleet = run_plan(small_plan(cut), tmp_path, monkeypatch)
    assert report.outcome in ("passed", "refused"), report.why
    (day,) = report.days
    (row,) = day.changes
    assert row.outcome == "decided"
    assert row.by == "control-0"
    assert not row.by_away
    inside = [placement.name for placement in fleet.layout.placements if placement.region == "south"]
    # Every instance adopted it after the cut; one that the change had reached earlier would not count.
    healed = day.find(measure.HEALED)
    assert healed is not None
    assert healed.count == len(inside)
    assert day.without_lease["south"].least, (
        "every instance that was cut off was without a lease for some time"
    )
    (note,) = day.notes
    assert int(note.split(": ")[1].split(" datagrams")[0]) > 0
    assert all(fleet.views[name].version == fleet.newest_version() for name in inside)


def test_changes_through_a_control_machine_that_is_cut_off_are_reported_separately(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cut = DayTable(kind="region-cut", length_s=6.0, fault_s=4.0, region="south", changes=3, authors=3)
    report, _ = run_plan(small_plan(cut), tmp_path, monkeypatch)
    assert report.outcome in ("passed", "refused"), report.why
    away = {row.by: row.by_away for row in report.days[0].changes}
    assert away == {"control-0": False, "control-1": False, "control-2": True}
    assert report.days[0].find(measure.IN_FORCE_AWAY) is not None
