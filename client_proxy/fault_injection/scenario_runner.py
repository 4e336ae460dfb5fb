"""Plays a plan: starts the fleet and its load, carries the faults out, ends all of it, and gives a verdict.

A drill waits for events, never for a time that should be enough: a process listens, a probe is answered, a
line stands in a log, a state stands in /proc. The plan's own moments are the only times."""

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

MARGIN_S = 2.0  # of load, past the moment from which service has to be whole
START_S = 60.0  # within which all have to be ready
REST_S = 0.5
WATCH_S = 0.05
MAX_MEAN_LATENESS_S = 0.1  # a mean lateness of the rig's own timers from which on it gives no verdict
MAX_LATENESS_S = 1.0  # and a single one
ENDS_S = 3.0  # past the longest deadline, after SIGTERM

Say = Callable[[str], object]


@dataclass
class Verdict:
    """What a drill found. `outcome`: `passed`, `failed` (the program broke a rule), `error` (the drill did
    not do what the plan says) or `refused` (the machine was too busy to tell)."""

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
        return sorted({breach.rule for breach in self.breaches})

    def to_json(self) -> dict[str, Any]:
        return asdict(self) | {"rules": self.rules()}


class Drill:
    """One run of a plan, in a folder that is new."""

    def __init__(self, plan: Plan, folder: Path, say: Say) -> None:
        self.plan, self.folder, self._say = plan, folder, say
        self.fleet = Fleet(plan, folder)
        self._start_s = 0.0
        self._lateness: dict[str, Any] = {}
        self._late: dict[str, Any] = {}

    async def play(self) -> None:
        """Raises RigError."""
        fleet = self.fleet
        await fleet.start()
        await self._begin_load()
        await self._until_ready()
        for name in fleet.instances:
            self._look(name)
        watching = asyncio.create_task(self._watch())
        self._start_s = time.monotonic()
        fleet.history.write("begin", self._start_s)
        faults = [Fault(fleet, number, stated) for number, stated in enumerate(self.plan.fault)]
        tasks = [asyncio.create_task(self._carry_out(fault)) for fault in faults]
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
        watching.cancel()
        await self._end_instances()
        befallen = {name for fault in self.plan.fault for name in fault.who}
        racks = [helper for name, helper in fleet.racks.items() if name not in befallen]
        for helper in (fleet.wires, fleet.clients, *racks):
            if helper.up:
                told = self._late[helper.name] = await helper.ask("late")
                fleet.history.write("late", time.monotonic(), who=helper.name, worst_s=told["worst_s"])

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
        end_s = time.monotonic() + START_S
        while time.monotonic() < end_s:
            ready = (await self.fleet.clients.ask("look"))["ready"]
            if len(ready) == len(self.fleet.instances):
                return
            for name, child in self.fleet.instances.items():
                if not child.up:
                    raise RigError(f"{name}: ended before it was ready: {child.last_line()}")
            await asyncio.sleep(WATCH_S)
        raise RigError(f"not all instances are ready after {START_S:g} s")

    async def _carry_out(self, fault: Fault) -> None:
        stated = fault.spec
        if stated.when is not None:
            await self._line(stated.when.of, stated.when.log, stated.when.within_s)
            await asyncio.sleep(stated.at_s)
        else:
            await self._sleep_until(stated.at_s)
        self._say(f"{time.monotonic() - self._start_s:6.2f} s  {stated.label()}")
        await fault.begin()
        if stated.for_s:
            await asyncio.sleep(stated.for_s)
            await fault.revert()
            self._say(f"{time.monotonic() - self._start_s:6.2f} s  put right: {stated.label()}")
        elif stated.kind in INSTANT_KINDS:
            fault.end_s = time.monotonic()
        else:
            # It lasts: what has to be seen of it is seen at the plan's end.
            await self._sleep_until(self.plan.length_s)
            if stated.kind not in ("kill", "term", "stop", "bad-start", "lost-disk"):
                await fault.revert()
            fault.end_s = time.monotonic()
        self.fleet.history.write(
            "fault", fault.begin_s, n=fault.number, what=stated.kind, who=list(stated.who),
            to=list(stated.to), begin=round(fault.begin_s, 6), end=round(fault.end_s, 6), seen=fault.evidence,
        )  # fmt: skip

    async def _line(self, of: str, text: str, within_s: float) -> None:
        log = self.fleet.child(of).log
        skip = log.stat().st_size if log.exists() else 0
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            with suppress(OSError), log.open("rb") as file:
                file.seek(skip)
                if text.encode() in file.read():
                    return
            await asyncio.sleep(WATCH_S)
        raise RigError(f"{of} never said {text!r}")

    async def _watch(self) -> None:
        """Who ends by itself."""
        told: set[int] = set()
        while True:
            for name, child in self.fleet.instances.items():
                if child.process is None or child.up or child.pid in told or name in self.fleet.ended_by_plan:
                    continue
                told.add(child.pid)
                code = child.process.returncode
                self.fleet.record_state(name, "crashed", code=code, said=child.last_line())
            await asyncio.sleep(WATCH_S)

    def _look(self, name: str, rested: bool = False) -> None:
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
                self._look(name, rested=True)

    async def _end_instances(self) -> None:
        """In order: SIGTERM to all, and none hangs. Who is stopped can't be asked, and is killed."""
        fleet = self.fleet
        within_s = self.plan.load.deadline_ms / 1000.0 + ENDS_S
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
        pids = [(child.name, child.pid) for child in self._all() if child.pid]
        await self.fleet.end()
        for name, pid in pids:
            # Ours to wait for, and waited for: a number that is still there is a process left behind.
            if os.path.exists(f"/proc/{pid}") and process_state(pid) not in ("", "Z"):
                raise RigError(f"{name}: process {pid} is still there")

    def _all(self) -> list[Any]:
        fleet = self.fleet
        helpers = (fleet.clients, fleet.discovery, fleet.wires)
        return [*fleet.instances.values(), *fleet.racks.values(), *helpers]

    def lateness(self) -> dict[str, Any]:
        return self._late

    def records(self) -> list[history.Record]:
        found = history.merged(p for p in self.folder.glob("*.jsonl") if p.name != "history.jsonl")
        begun = [r["t"] for r in found if r["kind"] == "begin"]
        if begun:
            offset_s = time.time() - time.monotonic()
            bent = {name for fault in self.plan.fault if fault.kind == "clock" for name in fault.who}
            for name, child in self.fleet.instances.items():
                found += log_records(name, child.log, begun[0], offset_s, name in bent)
        return sorted(found, key=lambda record: float(record["t"]))


def log_records(name: str, log: Path, begun_s: float, offset_s: float, bent: bool) -> list[history.Record]:
    """An instance's log. Lines with a time of day stand at that time, `offset_s` off the history's clock;
    others, and all of one whose clock a fault bends, follow the one before, the first at `begun_s`."""
    if not log.exists():
        return []
    records: list[history.Record] = []
    t = begun_s
    for line in log.read_text(errors="replace").splitlines():
        if not line.strip():
            continue
        if not bent:
            with suppress(ValueError, KeyError, TypeError):
                t = datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp() - offset_s
        records.append({"kind": "log", "t": round(t, 6), "who": name, "line": line[:2000]})
    return records


def judge(plan: Plan, records: list[history.Record], late: dict[str, Any]) -> Verdict:
    """From the history alone: what `replay` does again for a folder that was handed on."""
    worst_s = max((each["worst_s"] for each in late.values()), default=0.0)
    mean_s = max((each["mean_s"] for each in late.values()), default=0.0)
    breaches = sorted(
        [*invariants.check(plan, records), *versions.versions(plan, records)], key=lambda b: b.t
    )
    figures = invariants.figures(plan, records)
    if plan.fleet.seats:
        figures |= versions.figures(plan, records)
    verdict = Verdict(plan.name, plan.seed, "passed", breaches=breaches, figures=figures, lateness=late)
    if mean_s > MAX_MEAN_LATENESS_S or worst_s > MAX_LATENESS_S:
        verdict.outcome = "refused"
        verdict.why = f"the rig's own timers were late by {mean_s:.3f} s, {worst_s:.2f} s at worst"
        return verdict
    unheld = invariants.held(plan, records)
    if unheld:
        verdict.outcome, verdict.why = "error", unheld[0]
        return verdict
    new = [rule for rule in verdict.rules() if rule not in plan.aim.expect]
    missing = [rule for rule in plan.aim.expect if rule not in verdict.rules()]
    if new:
        verdict.outcome = "failed"
        verdict.why = f"broken: {', '.join(new)}"
    elif missing:
        verdict.outcome = "failed"
        verdict.why = f"known to break, and did not: {', '.join(missing)}: take it out of `expect`"
    return verdict


async def run(plan: Plan, folder: Path, say: Say = lambda _: None) -> Verdict:
    """Play it in `folder`, which must not be there yet. Never raises for what the program or the rig does."""
    begin_s = time.monotonic()
    folder.mkdir(parents=True)
    (folder / "plan.toml").write_text(format_plan(plan))
    drill = Drill(plan, folder, say)
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
    (folder / "verdict.json").write_text(json.dumps(verdict.to_json(), indent=1))
    return verdict


def judge_folder(folder: Path) -> Verdict:
    """The verdict of a folder, from its plan and history, by the checkers of this version. Raises OSError,
    ValueError or TomlError where it is not one."""
    from client_proxy.fault_injection.plan import load

    plan = load(folder / "plan.toml")
    said = json.loads((folder / "verdict.json").read_text())
    verdict = judge(plan, list(history.read(folder / "history.jsonl")), said["lateness"])
    if said["outcome"] == "error":
        verdict.outcome, verdict.why = "error", said["why"]
    verdict.took_s, verdict.folder = said["took_s"], str(folder)
    return verdict


def remove_folder(folder: Path) -> None:
    """A drill that passed leaves nothing that anybody needs."""
    shutil.rmtree(folder, ignore_errors=True)
