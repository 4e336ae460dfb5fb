"""Variations of a scenario and the minimization of findings among them."""

from __future__ import annotations

from pathlib import Path

from client_proxy.emulator.explore import (
    Verdict,
    evaluate_report,
    explore,
    minimize,
    simulate_and_evaluate,
    vary_scenario,
)
from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import load_scenario, parse_scenario
from client_proxy.emulator.scenario_writer import format_scenario
from client_proxy.emulator.simulation import simulate
from tests.support.days import ROUGH_DAY, day, incident, text


def test_variations_depend_on_the_seed_and_stay_in_their_ranges() -> None:
    scenario = day(incidents=ROUGH_DAY)
    assert vary_scenario(scenario, 3) == vary_scenario(scenario, 3) != vary_scenario(scenario, 4)
    for seed in range(50):
        variation = vary_scenario(scenario, seed)
        assert parse_scenario(format_scenario(variation)) == variation  # its file gives the same scenario
        assert 0.8 <= variation.clients.rate_per_s / scenario.clients.rate_per_s <= 1.2
        assert all(0 <= fault.at_s <= scenario.duration_s for fault in variation.faults)
        assert len(variation.faults) == len(scenario.faults)


def test_a_finding_is_minimized_to_the_needed_fault_and_its_file_replays_it(tmp_path: Path) -> None:
    # The long failure alone causes too little service.
    needed_fault = incident("fail", 1.0, for_s=4.0, share=0.95, after_ms=1.0)
    unneeded_fault = incident("slow", 2.0, for_s=0.5, servers=["west-1"], times=1.1)
    scenario = parse_scenario(
        text(
            unneeded_fault + needed_fault + unneeded_fault,
            more="[explore]\nleast_served = 0.8\nshift_s = 0.2",
        )
    )
    findings = explore(scenario, 2, tmp_path, 1, lambda *_: None)
    assert [finding.seed for finding in findings] == [0, 1]
    for finding in findings:
        minimized = load_scenario(finding.file)
        assert [fault.kind for fault in minimized.faults] == ["fail"]
        verdict = simulate_and_evaluate(minimized)
        assert verdict.includes(finding.verdict)
        assert verdict.low_service
        assert not verdict.rules


def test_minimization_keeps_the_verdict_and_ends() -> None:
    scenario = day(incidents=ROUGH_DAY)
    candidates = []

    def run(candidate: Scenario) -> Verdict:
        candidates.append(candidate)
        return Verdict(("drain",)) if any(fault.kind == "freeze" for fault in candidate.faults) else Verdict()

    minimized, run_count = minimize(scenario, Verdict(("drain",)), run, max_runs=40)
    assert [fault.kind for fault in minimized.faults] == ["freeze"]
    assert run_count == len(candidates) <= 40
    assert not Verdict().includes(Verdict(("drain",)))
    assert not evaluate_report(scenario, build_report(simulate(day(length_s=2.0))))
