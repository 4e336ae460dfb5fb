"""Searches variations of a scenario for those that violate a rule or lose service.

Each variation depends on the scenario and a seed alone, and a finding is written as a scenario file that can
be replayed. A finding is minimized: faults that it does not need are removed, and the run and the remaining
faults are shortened.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

from client_proxy.emulator.random_streams import random_stream
from client_proxy.emulator.report import Report, build_report
from client_proxy.emulator.scenario import Fault, Scenario
from client_proxy.emulator.scenario_reader import parse_scenario
from client_proxy.emulator.scenario_writer import format_scenario
from client_proxy.emulator.simulation import simulate

MAX_MINIMIZATION_RUNS = 60
"""Runs that the minimization of one finding may take."""
MIN_DURATION_S = 2.0
"""Least duration of a minimized scenario."""


@dataclass(frozen=True)
class Verdict:
    """Why a run is a finding: violated rules, too little service, crashes; false if it is none."""

    rules: tuple[str, ...] = ()
    low_service: bool = False
    crashed: bool = False

    def __bool__(self) -> bool:
        """Return whether the run is a finding."""
        return bool(self.rules) or self.low_service or self.crashed

    def includes(self, other: Verdict) -> bool:
        """Return whether everything that the other verdict shows is also shown by this one."""
        return (
            set(other.rules) <= set(self.rules)
            and self.low_service >= other.low_service
            and self.crashed >= other.crashed
        )

    def __str__(self) -> str:
        """Return the reasons, separated by commas."""
        reasons = [f"rule {name}" for name in self.rules]
        return ", ".join(reasons + ["service"] * self.low_service + ["crash"] * self.crashed)


@dataclass(frozen=True)
class Finding:
    """A variation that is a finding, and the file that replays it.

    Attributes:
        served: the served share of the variation before it was minimized.
        minimization_runs: the number of runs that the minimization took.
    """

    seed: int
    verdict: Verdict
    served: float
    file: str
    minimization_runs: int


@dataclass(frozen=True)
class _Task:
    """A variation that a worker process is to run."""

    scenario_text: str
    seed: int
    folder: str
    minimizes: bool


@dataclass(frozen=True)
class _TaskResult:
    """The result of a variation; `finding` is None if it is none."""

    seed: int
    served: float
    finding: Finding | None


def vary_scenario(scenario: Scenario, seed: int) -> Scenario:
    """Return the variation that a seed gives, within the ranges that the scenario states."""
    random = random_stream(scenario.seed, "explore", seed)
    rate_factor = random.uniform(*scenario.exploration.rate_factors)
    clients = replace(scenario.clients, rate_per_s=scenario.clients.rate_per_s * rate_factor)
    faults = tuple(_vary_fault(scenario, fault, random) for fault in scenario.faults)
    return replace(
        scenario,
        name=f"{scenario.name}-{seed}",
        seed=scenario.seed + seed,
        clients=clients,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )


def _vary_fault(scenario: Scenario, fault: Fault, random: Random) -> Fault:
    ranges = scenario.exploration
    at_s = fault.at_s + random.uniform(-ranges.max_shift_s, ranges.max_shift_s)
    duration_factor = random.uniform(*ranges.duration_factors)
    size_factor = random.uniform(*ranges.size_factors)
    server_share = min(1.0, fault.server_share * size_factor)
    return replace(
        fault,
        at_s=round(min(max(0.0, at_s), scenario.duration_s), 3),
        duration_s=round(fault.duration_s * duration_factor, 3),
        server_share=round(server_share, 3) if fault.server_share else 0.0,
        # A share of 1 means all requests and is not varied.
        share=round(min(1.0, fault.share * size_factor), 4) if fault.share < 1 else 1.0,
        factor=round(max(1.0, 1 + (fault.factor - 1) * size_factor), 3),
        pause_ms=round(min(fault.pause_ms * size_factor, 0.9 * fault.pause_interval_ms), 1),
    )


def evaluate_report(scenario: Scenario, report: Report) -> Verdict:
    """Return why a run is a finding, if it is one."""
    rules = tuple(name for name, count in report.rules.items() if count)
    low_service = report.served_share < scenario.exploration.min_served_share
    return Verdict(rules, low_service, bool(report.crashed))


def reduced_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios with one reduction each, the largest reductions first."""
    for index in range(len(scenario.faults)):
        yield replace(scenario, faults=scenario.faults[:index] + scenario.faults[index + 1 :])
    yield from _shorter_scenarios(scenario)
    clients = scenario.clients
    if clients.proxies > 1 and not clients.relative_rates:
        proxies = clients.proxies - 1
        yield replace(
            scenario,
            clients=replace(clients, proxies=proxies),
            faults=tuple(
                fault for fault in scenario.faults if all(proxy < proxies for proxy in fault.proxies)
            ),
        )
    yield replace(scenario, clients=replace(clients, rate_per_s=round(clients.rate_per_s * 0.7, 3)))
    for index, fault in enumerate(scenario.faults):
        if fault.duration_s > 1.0:
            shorter = replace(fault, duration_s=round(fault.duration_s / 2, 3))
            faults = (*scenario.faults[:index], shorter, *scenario.faults[index + 1 :])
            yield replace(scenario, faults=faults)


def _shorter_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    last_end_s = max((fault.at_s + fault.duration_s for fault in scenario.faults), default=0.0)
    for duration_s in (scenario.duration_s / 2, min(scenario.duration_s * 0.75, last_end_s + 5.0)):
        if MIN_DURATION_S <= duration_s < scenario.duration_s * 0.95:
            faults = tuple(fault for fault in scenario.faults if fault.at_s < duration_s)
            yield replace(scenario, duration_s=round(duration_s, 3), faults=faults)


def minimize(
    scenario: Scenario,
    verdict: Verdict,
    run: Callable[[Scenario], Verdict],
    max_runs: int = MAX_MINIMIZATION_RUNS,
) -> tuple[Scenario, int]:
    """Return the smallest scenario that repeated reductions reach and that still shows the verdict.

    Args:
        scenario: the finding's scenario.
        verdict: the finding's verdict.
        run: runs a scenario and returns its verdict.
        max_runs: the number of runs that the minimization may take.

    Returns:
        The scenario and the number of runs.
    """
    runs = 0
    reduced = True
    while reduced and runs < max_runs:
        reduced = False
        for candidate in reduced_scenarios(scenario):
            if runs >= max_runs:
                break
            runs += 1
            if run(candidate).includes(verdict):
                scenario, reduced = candidate, True
                break
    return scenario, runs


def simulate_and_evaluate(scenario: Scenario) -> Verdict:
    """Run a scenario and return why it is a finding, if it is one."""
    return evaluate_report(scenario, build_report(simulate(scenario)))


def _explore_one(task: _Task) -> _TaskResult:
    scenario = vary_scenario(parse_scenario(task.scenario_text), task.seed)
    report = build_report(simulate(scenario))
    verdict = evaluate_report(scenario, report)
    if not verdict:
        return _TaskResult(task.seed, report.served_share, None)
    runs = 0
    if task.minimizes:
        scenario, runs = minimize(scenario, verdict, simulate_and_evaluate)
    file = Path(task.folder) / f"{scenario.name}.toml"
    header = f"# Found by explore, seed {task.seed}: {verdict}. Minimized in {runs} runs.\n"
    file.write_text(header + format_scenario(scenario), encoding="utf-8")
    finding = Finding(task.seed, verdict, report.served_share, str(file), runs)
    return _TaskResult(task.seed, report.served_share, finding)


def explore(
    scenario: Scenario,
    seeds: int,
    folder: Path,
    jobs: int,
    on_result: Callable[[int, float, Finding | None], None],
    first: int = 0,
    minimizes: bool = True,
) -> list[Finding]:
    """Run variations of a scenario and write each finding to a file.

    Args:
        scenario: the scenario.
        seeds: the number of variations, one for each seed.
        folder: the folder that the findings are written to.
        jobs: the number of worker processes.
        on_result: called with the seed, the served share and the finding (or None) of each variation.
        first: the first seed.
        minimizes: whether findings are minimized.
    """
    folder.mkdir(parents=True, exist_ok=True)
    text = format_scenario(scenario)
    tasks = [_Task(text, seed, str(folder), minimizes) for seed in range(first, first + seeds)]
    findings = []
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        for result in pool.imap_unordered(_explore_one, tasks):
            on_result(result.seed, result.served, result.finding)
            if result.finding is not None:
                findings.append(result.finding)
    return sorted(findings, key=lambda finding: finding.seed)
