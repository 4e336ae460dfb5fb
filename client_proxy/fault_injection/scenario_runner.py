"""Runs a plan: starts the fleet and its load, injects the faults, ends everything, and gives a verdict.

A drill waits for events and never for a time that should suffice: a process listens, a probe is answered, a
log has a line, /proc shows a state. Only the times in the plan are waited for.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

from client_proxy.fault_injection import history, invariants, versions
from client_proxy.fault_injection.changes import record_versions
from client_proxy.fault_injection.child_process import (
    RigError,
    cpu_time_s,
    descriptors,
    process_state,
    resident_kb,
)
from client_proxy.fault_injection.faults import Fault
from client_proxy.fault_injection.fleet import Fleet
from client_proxy.fault_injection.plan import INSTANT_KINDS, Plan, format_plan

MARGIN_S = 2.0  # load after the time by which service has to be restored
START_TIMEOUT_S = 60.0  # longest wait for all instances to be ready
REST_S = 0.5  # without load, before descriptors are counted again
POLL_S = 0.05  # between two looks at processes and logs
MAX_MEAN_LATENESS_S = 0.1  # mean lateness of the drill's own timers above which there is no verdict
MAX_LATENESS_S = 1.0  # likewise, the largest lateness
END_MARGIN_S = 3.0  # time that an instance has after SIGTERM beyond the longest deadline

ProgressPrinter = Callable[[str], object]


@dataclass
class Verdict:
    """The result of a drill.

    Attributes:
        plan: The plan's name.
        seed: The plan's seed.
        outcome: `passed`; `failed`: the program broke a rule; `error`: the drill did not do what the plan
            says; `refused`: the machine was too busy for a verdict.
        why: The reason of any other outcome than `passed`.
        breaches: The broken rules.
        figures: What clients got, and how changes went.
        lateness: How late the timers of the drill's own processes were.
        took_s: Seconds that the drill took.
        folder: Its folder.
    """

    plan: str
    seed: int
    outcome: str
    why: str = ""
    breaches: list[invariants.Breach] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    lateness: dict[str, Any] = field(default_factory=dict)
    took_s: float = 0.0
    folder: str = ""

    def rules(self) -> list[str]:
        """Return the names of the broken rules."""
        return sorted({breach.rule for breach in self.breaches})

    def as_dict(self) -> dict[str, Any]:
        """Return the verdict as it is written to `verdict.json`."""
        return asdict(self) | {"rules": self.rules()}


class Drill:
    """One run of a plan, in a new folder."""

    def __init__(self, plan: Plan, folder: Path, print_progress: ProgressPrinter) -> None:
        self.plan, self.folder, self._print_progress = plan, folder, print_progress
        self.fleet = Fleet(plan, folder)
        self._start_s = 0.0
        self._lateness: dict[str, Any] = {}
        self._lateness_by_process: dict[str, Any] = {}

    async def play(self) -> None:
        """Run the plan. Raises RigError if the drill cannot do what the plan says."""
        fleet = self.fleet
        await fleet.start()
        await self._begin_load()
        await self._until_ready()
        for name in fleet.instances:
            self._record_resources(name)
        watch_task = asyncio.create_task(self._watch_for_crashes())
        self._start_s = time.monotonic()
        fleet.history.write("begin", self._start_s)
        faults = [Fault(fleet, number, fault_spec) for number, fault_spec in enumerate(self.plan.fault)]
        tasks = [asyncio.create_task(self._inject(fault)) for fault in faults]
        try:
            await asyncio.gather(*tasks)
            await self._sleep_until(self.plan.length_s)
            if faults:
                last_s = max(fault.end_s for fault in faults) - self._start_s
                await self._sleep_until(last_s + self.plan.aim.whole_s + MARGIN_S)
        finally:
            for task in tasks:
                task.cancel()
            for fault in faults:
                await fault.abandon()
        await self._end_load()
        await record_versions(fleet)
        watch_task.cancel()
        await self._end_instances()
        affected = {name for fault in self.plan.fault for name in fault.who}
        unaffected_racks = [helper for name, helper in fleet.racks.items() if name not in affected]
        for helper in (fleet.fault_proxy, fleet.clients, *unaffected_racks):
            if helper.up:
                late = self._lateness_by_process[helper.name] = await helper.ask("late")
                fleet.history.write("late", time.monotonic(), who=helper.name, worst_s=late["worst_s"])

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._start_s + at_s - time.monotonic()))

    async def _begin_load(self) -> None:
        fleet, load = self.fleet, self.plan.load
        await fleet.clients.begin("client_proxy.fault_injection.load")
        await fleet.clients.ask(
            "begin",
            history=str(self.folder / "clients.jsonl"),
            targets=[[name, list(fleet.links[f"c>{name}"])] for name in fleet.instances],
            rate=load.rate,
            unsafe_share=load.unsafe_share,
            deadline_ms=load.deadline_ms,
            elsewhere=load.elsewhere,
            seed=self.plan.seed,
        )

    async def _until_ready(self) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            ready = (await self.fleet.clients.ask("look"))["ready"]
            if len(ready) == len(self.fleet.instances):
                return
            for name, child in self.fleet.instances.items():
                if not child.up:
                    raise RigError(f"{name}: ended before it was ready: {child.last_line()}")
            await asyncio.sleep(POLL_S)
        raise RigError(f"not all instances are ready after {START_TIMEOUT_S:g} s")

    async def _inject(self, fault: Fault) -> None:
        """Begin and end one fault at its times, and record it."""
        fault_spec = fault.fault_spec
        if fault_spec.when is not None:
            await self._wait_for_log_line(fault_spec.when.of, fault_spec.when.log, fault_spec.when.within_s)
            await asyncio.sleep(fault_spec.at_s)
        else:
            await self._sleep_until(fault_spec.at_s)
        self._print_progress(f"{time.monotonic() - self._start_s:6.2f} s  {fault_spec.label()}")
        await fault.begin()
        if fault_spec.for_s:
            await asyncio.sleep(fault_spec.for_s)
            await fault.revert()
            self._print_progress(f"{time.monotonic() - self._start_s:6.2f} s  ended: {fault_spec.label()}")
        elif fault_spec.kind in INSTANT_KINDS:
            fault.end_s = time.monotonic()
        else:
            # The fault lasts to the plan's end, and its evidence is collected then.
            await self._sleep_until(self.plan.length_s)
            if fault_spec.kind not in ("kill", "term", "stop", "bad-start", "lost-disk"):
                await fault.revert()
            fault.end_s = time.monotonic()
        self.fleet.history.write(
            "fault", fault.begin_s, n=fault.number, what=fault_spec.kind, who=list(fault_spec.who),
            to=list(fault_spec.to), begin=round(fault.begin_s, 6), end=round(fault.end_s, 6),
            seen=fault.evidence,
        )  # fmt: skip

    async def _wait_for_log_line(self, process: str, text: str, within_s: float) -> None:
        log = self.fleet.process_by_name(process).log
        log_size = log.stat().st_size if log.exists() else 0
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            with suppress(OSError), log.open("rb") as file:
                file.seek(log_size)
                if text.encode() in file.read():
                    return
            await asyncio.sleep(POLL_S)
        raise RigError(f"{process}: no log line with {text!r} within {within_s:g} s")

    async def _watch_for_crashes(self) -> None:
        """Record instances that end by themselves."""
        recorded_pids: set[int] = set()
        while True:
            for name, child in self.fleet.instances.items():
                if (
                    child.process is None
                    or child.up
                    or child.pid in recorded_pids
                    or name in self.fleet.ended_by_plan
                ):
                    continue
                recorded_pids.add(child.pid)
                code = child.process.returncode
                self.fleet.record_state(name, "crashed", code=code, said=child.last_line())
            await asyncio.sleep(POLL_S)

    def _record_resources(self, name: str, rested: bool = False) -> None:
        pid = self.fleet.instances[name].pid
        self.fleet.history.write(
            "look", time.monotonic(), who=name, pid=pid, fds=descriptors(pid), rss_kb=resident_kb(pid),
            cpu_s=cpu_time_s(pid),
            rested=rested,
        )  # fmt: skip

    async def _end_load(self) -> None:
        self.fleet.history.write("end", time.monotonic())
        await self.fleet.clients.ask("end")
        await asyncio.sleep(REST_S)
        for name, child in self.fleet.instances.items():
            if child.up and process_state(child.pid) != "T":
                self._record_resources(name, rested=True)

    async def _end_instances(self) -> None:
        """Send SIGTERM to all instances, and record those that hang.

        Stopped ones can't handle the signal and are killed later.
        """
        fleet = self.fleet
        within_s = self.plan.load.deadline_ms / 1000.0 + END_MARGIN_S
        for name, child in fleet.instances.items():
            if child.up and process_state(child.pid) != "T":
                fleet.ended_by_plan.add(name)
                fleet.record_state(name, "ending")
                with suppress(ProcessLookupError):
                    child.signal(15)
        for name, child in fleet.instances.items():
            if child.up and process_state(child.pid) != "T" and await child.wait_for_exit(within_s) is None:
                fleet.record_state(name, "hangs")

    async def end(self) -> None:
        """End all processes. Raises RigError if one is left."""
        pids = [(child.name, child.pid) for child in self._child_processes() if child.pid]
        await self.fleet.end()
        for name, pid in pids:
            # All children have been waited for, so an id that still exists is a process left behind.
            if os.path.exists(f"/proc/{pid}") and process_state(pid) not in ("", "Z"):
                raise RigError(f"{name}: process {pid} is still there")

    def _child_processes(self) -> list[Any]:
        fleet = self.fleet
        helpers = (fleet.clients, fleet.discovery, fleet.fault_proxy)
        return [*fleet.instances.values(), *fleet.racks.values(), *helpers]

    def lateness(self) -> dict[str, Any]:
        """Return, by process of the drill's own, how late its timers were."""
        return self._lateness_by_process

    def records(self) -> list[history.Record]:
        """Return the records of all processes, with log lines, in the order of time."""
        found_records = history.merged(p for p in self.folder.glob("*.jsonl") if p.name != "history.jsonl")
        begin_times_s = [r["t"] for r in found_records if r["kind"] == "begin"]
        if begin_times_s:
            offset_s = time.time() - time.monotonic()
            clock_adjusted = {
                name for fault in self.plan.fault if fault.kind == "clock" for name in fault.who
            }
            for name, child in self.fleet.instances.items():
                found_records += log_records(
                    name, child.log, begin_times_s[0], offset_s, name in clock_adjusted
                )
        return sorted(found_records, key=lambda record: float(record["t"]))


def log_records(
    name: str, log: Path, begin_s: float, offset_s: float, clock_adjusted: bool
) -> list[history.Record]:
    """Return an instance's log lines as records.

    A line with a time of day gets that time. Other lines get the time of the line before, and the first one
    `begin_s`; so do all lines of an instance whose clock a fault changes.

    Args:
        name: The instance.
        log: Its log file.
        begin_s: When the load began.
        offset_s: The time of day minus the history's clock.
        clock_adjusted: A fault changes the instance's clock.
    """
    if not log.exists():
        return []
    records: list[history.Record] = []
    t = begin_s
    for line in log.read_text(errors="replace").splitlines():
        if not line.strip():
            continue
        if not clock_adjusted:
            with suppress(ValueError, KeyError, TypeError):
                t = datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp() - offset_s
        records.append({"kind": "log", "t": round(t, 6), "who": name, "line": line[:2000]})
    return records


def judge(plan: Plan, records: list[history.Record], late: dict[str, Any]) -> Verdict:
    """Return the verdict on a history; `late` is the lateness of the drill's own processes."""
    worst_s = max((each["worst_s"] for each in late.values()), default=0.0)
    mean_s = max((each["mean_s"] for each in late.values()), default=0.0)
    breaches = sorted(
        [*invariants.check(plan, records), *versions.check_versions(plan, records)], key=lambda b: b.t
    )
    figures = invariants.figures(plan, records)
    if plan.fleet.seats:
        figures |= versions.figures(plan, records)
    verdict = Verdict(plan.name, plan.seed, "passed", breaches=breaches, figures=figures, lateness=late)
    if mean_s > MAX_MEAN_LATENESS_S or worst_s > MAX_LATENESS_S:
        verdict.outcome = "refused"
        verdict.why = f"the rig's own timers were late by {mean_s:.3f} s, {worst_s:.2f} s at worst"
        return verdict
    drill_errors = invariants.drill_errors(plan, records)
    if drill_errors:
        verdict.outcome, verdict.why = "error", drill_errors[0]
        return verdict
    unexpected = [rule for rule in verdict.rules() if rule not in plan.aim.expect]
    missing = [rule for rule in plan.aim.expect if rule not in verdict.rules()]
    if unexpected:
        verdict.outcome = "failed"
        verdict.why = f"broken: {', '.join(unexpected)}"
    elif missing:
        verdict.outcome = "failed"
        verdict.why = f"known to break, and did not: {', '.join(missing)}: take it out of `expect`"
    return verdict


async def run(plan: Plan, folder: Path, print_progress: ProgressPrinter = lambda _: None) -> Verdict:
    """Run a plan in a folder that must not exist yet.

    Failures of the program or of the drill are in the verdict and never raised.
    """
    begin_s = time.monotonic()
    folder.mkdir(parents=True)
    (folder / "plan.toml").write_text(format_plan(plan))
    drill = Drill(plan, folder, print_progress)
    error = ""
    try:
        await drill.play()
    except RigError as failed:
        error = str(failed)
    finally:
        try:
            await drill.end()
        except RigError as failed:
            error = error or str(failed)
    records = drill.records()
    late = drill.lateness()
    verdict = judge(plan, records, late)
    if error:
        verdict.outcome, verdict.why = "error", error
    verdict.took_s = round(time.monotonic() - begin_s, 2)
    verdict.folder = str(folder)
    history.write_all(folder / "history.jsonl", records)
    (folder / "verdict.json").write_text(json.dumps(verdict.as_dict(), indent=1))
    return verdict


def judge_folder(folder: Path) -> Verdict:
    """Return the verdict on a drill's folder, from its plan and history, by the rules of this version.

    Raises:
        OSError, ValueError, TomlError: It is not the folder of a drill.
    """
    from client_proxy.fault_injection.plan import load

    plan = load(folder / "plan.toml")
    stored = json.loads((folder / "verdict.json").read_text())
    verdict = judge(plan, list(history.read(folder / "history.jsonl")), stored["lateness"])
    if stored["outcome"] == "error":
        verdict.outcome, verdict.why = "error", stored["why"]
    verdict.took_s, verdict.folder = stored["took_s"], str(folder)
    return verdict


def remove_folder(folder: Path) -> None:
    """Remove the folder of a drill that passed."""
    shutil.rmtree(folder, ignore_errors=True)
