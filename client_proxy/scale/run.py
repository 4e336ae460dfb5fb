"""Runs a scale plan: starts the fleet, runs the plan's days on it, ends all processes and reports."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from client_proxy.fault_injection.child_process import Json, RigError
from client_proxy.fault_injection.scenario_runner import MAX_LATENESS_S, MAX_MEAN_LATENESS_S
from client_proxy.scale import measure
from client_proxy.scale.fleet import MAX_CORE_WAIT_SHARE, Fleet, HollowLost, HollowUnresponsive, Sample
from client_proxy.scale.phases import DayCourse
from client_proxy.scale.plan import DayTable, ScalePlan, check_size
from client_proxy.scale.report import DayReport, Outcome, Report
from client_proxy.scale.topology import Role

ShowProgress = Callable[[str], object]
POLL_INTERVAL_S = 0.25  # time between two queries for the state of the day's changes
AUTHORS_TIMEOUT_S = 60.0  # time after the end of a day for its changes to be finished


@dataclass
class DayStartSamples:
    """Counts and samples at the beginning of a day, which its end is compared with."""

    at_s: float
    samples: dict[str, Sample]
    without_lease_s: dict[str, float]
    changes: int
    authors_cpu_s: float


class Run:
    """One run of a plan, in a new folder."""

    def __init__(self, plan: ScalePlan, folder: Path, show_progress: ShowProgress) -> None:
        self._plan, self._show_progress = plan, show_progress
        self._end_s = time.monotonic() + plan.most_s
        self.fleet = Fleet(plan, folder)
        layout = self.fleet.layout
        real = plan.real.instances + plan.real.plain
        self.report = Report(plan.name, plan.seed, plan.instances, plan.control, real, layout.process_count())

    async def run_async(self) -> None:
        """Runs the whole plan. Raises HollowLost, HollowUnresponsive or RigError."""
        self._show_progress(
            f"starting {self.report.processes} processes, {self._plan.instances} hollow instances"
        )
        await self.fleet.start()
        watcher = asyncio.create_task(self.fleet.watch())
        days = asyncio.create_task(self._play_days())
        try:
            left_s = self._end_s - time.monotonic()
            await asyncio.wait({watcher, days}, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
            for task in (watcher, days):
                if task.done():
                    task.result()
            if not days.done():
                done = len(self.report.days)
                raise HollowUnresponsive(
                    f"{done} of {len(self._plan.day)} days ended within {self._plan.most_s:g} s"
                )
        finally:
            watcher.cancel()
            days.cancel()
            await asyncio.gather(watcher, days, return_exceptions=True)
        await self._check_timers()

    async def _play_days(self) -> None:
        for number, day in enumerate(self._plan.day):
            self._show_progress(f"{day.title}: {day.length_s:g} s")
            self.report.days.append(await self._play_day(number, day))
            await self.fleet.wait_until_settled()

    async def _play_day(self, number: int, day: DayTable) -> DayReport:
        before = await self._record_day_start()
        course = DayCourse(self.fleet, day, number)
        await course.run_to_end()
        samples = await self.fleet.sample()
        length_s = time.monotonic() - before.at_s
        calls = await self._take_calls()
        changes = await self._await_changes(before)
        await self.fleet.wait_until_settled()
        authors = await self.fleet.authors.ask("look")
        return self._measure_day(
            day, course, before, samples, length_s, calls, changes, authors["cpu_s"] - before.authors_cpu_s
        )

    async def _record_day_start(self) -> DayStartSamples:
        await self.fleet.poll()
        authors = await self.fleet.authors.ask("look")
        await self._take_calls()
        without_s = {name: view.without_lease_s for name, view in self.fleet.views.items()}
        samples = await self.fleet.sample()
        return DayStartSamples(
            time.monotonic(), samples, without_s, len(authors["changes"]), authors["cpu_s"]
        )

    async def _take_calls(self) -> dict[str, Json]:
        """Returns how clients' calls have ended since the last query, by real instance."""
        calls: dict[str, Json] = {}
        for helper in self.fleet.clients:
            calls |= (await helper.ask("take"))["instances"]
        return calls

    async def _await_changes(self, before: DayStartSamples) -> list[Json]:
        """Returns the changes of this day once their authors are done, or after `AUTHORS_TIMEOUT_S`."""
        end_s = time.monotonic() + AUTHORS_TIMEOUT_S
        while True:
            day_changes = (await self.fleet.authors.ask("look"))["changes"][before.changes :]
            changes: list[Json] = list(day_changes)
            if all(change["done"] for change in changes) or time.monotonic() > end_s:
                return changes
            await asyncio.sleep(POLL_INTERVAL_S)

    def _collect_switches(self) -> dict[str, list[tuple[float, int]]]:
        """Returns the switches of all instances that take part in the agreement, hollow and real, by name."""
        fleet, offset_s = self.fleet, time.time() - time.monotonic()
        switches = {
            placement.name: fleet.views[placement.name].switches
            for host in fleet.layout.hosts_of(Role.FOLLOWER, Role.CONTROL)
            for placement in host.placements
        }
        for host in fleet.layout.hosts_of(Role.REAL):
            switches[host.name] = measure.read_log_switches(fleet.real[host.name].log, offset_s)
        return switches

    def _measure_day(
        self,
        day: DayTable,
        course: DayCourse,
        before: DayStartSamples,
        samples: dict[str, Sample],
        length_s: float,
        calls: dict[str, Json],
        changes: list[Json],
        authors_cpu_s: float,
    ) -> DayReport:
        layout, switches, events = self.fleet.layout, self._collect_switches(), course.events
        rows = measure.change_rows(changes, switches, events.absences, course.begin_s)
        without_s = {
            name: view.without_lease_s - before.without_lease_s.get(name, 0.0)
            for name, view in self.fleet.views.items()
        }
        report = DayReport(day.title, day.kind, round(length_s, 2), changes=rows, notes=events.notes)
        report.figures += measure.change_measurements(rows, changes)
        report.figures += measure.return_measurements(events, switches)
        report.figures += measure.cost_measurements(
            measure.collect_costs(layout, before.samples, samples, length_s)
        )
        report.figures += measure.author_measurements(authors_cpu_s, changes)
        report.figures += measure.call_measurements(layout, calls)
        report.figures += measure.view_measurements(layout, self.fleet.views)
        report.proposals = measure.count_tries_by_outcome(changes)
        report.without_lease = measure.lease_measurements(layout, without_s)
        report.calls = measure.count_call_endings(layout, calls)
        return report

    def classify_unresponsive(self, text: str) -> tuple[Outcome, str]:
        """Returns `failed` if an instance is overloaded itself, `refused` if the machine had no core left."""
        core_wait_share = self.fleet.core_wait_share()
        if core_wait_share < MAX_CORE_WAIT_SHARE:
            return "failed", text
        return "refused", f"{text}; half of the processes had no core for {core_wait_share:.0%} of the time"

    async def _check_timers(self) -> None:
        """Refuses the run if timers of its own processes were late. Its measurements don't count then."""
        late = self.report.lateness
        late["run"] = self.fleet.lateness.summary()
        for helper in (*self.fleet.clients, *self.fleet.servers):
            late[helper.name] = await helper.ask("late")
        busy = list(self.fleet.busy)
        for name, timers in late.items():
            if timers["mean_s"] > MAX_MEAN_LATENESS_S or timers["worst_s"] > MAX_LATENESS_S:
                busy.append(
                    f"{name}: timers late by {timers['mean_s']:.3f} s in the mean, "
                    f"{timers['worst_s']:.2f} s at worst"
                )
        if busy:
            self.report.outcome = "refused"
            self.report.why = f"the machine was too busy, {len(busy)} times: {busy[0]}"


async def run_async(plan: ScalePlan, folder: Path, show_progress: ShowProgress = lambda _: None) -> Report:
    """Does what `run` does, within an event loop."""
    check_size(plan)
    start_s = time.monotonic()
    folder.mkdir(parents=True)
    this_run = Run(plan, folder, show_progress)
    report = this_run.report
    try:
        try:
            await this_run.run_async()
        except HollowUnresponsive as unresponsive:
            report.outcome, report.why = this_run.classify_unresponsive(str(unresponsive))
        finally:
            await this_run.fleet.end()
    except HollowLost as lost:
        report.outcome, report.why = _outcome("failed", str(lost))
    except (RigError, OSError) as error:
        report.outcome, report.why = _outcome("error", str(error))
    report.took_s = round(time.monotonic() - start_s, 2)
    (folder / "report.json").write_text(json.dumps(report.to_json(), indent=1))
    return report


def _outcome(outcome: Outcome, why: str) -> tuple[Outcome, str]:
    return outcome, why


def run(plan: ScalePlan, folder: Path, show_progress: ShowProgress = lambda _: None) -> Report:
    """Runs `plan` in `folder`, which must not exist yet, and reports. Any other failure becomes the outcome.

    Raises:
        PlanRefused: the plan is too large for the machine.
        OSError: the folder can't be created, or all address blocks are in use."""
    return asyncio.run(run_async(plan, folder, show_progress))
