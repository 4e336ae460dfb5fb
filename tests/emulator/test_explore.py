"""Variations of a scenario, and how findings among them are minimized."""

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


def test_variations_come_of_the_seed_and_stay_in_their_ranges() -> None:
    base = day(incidents=ROUGH_DAY)
    assert vary_scenario(base, 3) == vary_scenario(base, 3) != vary_scenario(base, 4)
    for seed in range(50):
        other = vary_scenario(base, seed)
        assert parse_scenario(format_scenario(other)) == other  # a day like any other: its file replays it
        assert 0.8 <= other.clients.rate_per_s / base.clients.rate_per_s <= 1.2
        assert all(0 <= each.at_s <= base.duration_s for each in other.faults)
        assert len(other.faults) == len(base.faults)


def test_a_finding_is_cut_down_to_what_matters_and_its_file_replays_it(tmp_path: Path) -> None:
    # Both servers of one rack fail for long: that alone loses the service.
    needed = incident("fail", 1.0, for_s=4.0, share=0.95, after_ms=1.0)
    spare = incident("slow", 2.0, for_s=0.5, servers=["west-1"], times=1.1)
    base = parse_scenario(text(spare + needed + spare, more="[explore]\nleast_served = 0.8\nshift_s = 0.2"))
    found = explore(base, 2, tmp_path, 1, lambda *_: None)
    assert [each.seed for each in found] == [0, 1]
    for each in found:
        small = load_scenario(each.file)
        assert [i.kind for i in small.faults] == ["fail"]
        verdict = simulate_and_evaluate(small)
        assert verdict.includes(each.verdict)
        assert verdict.low_service
        assert not verdict.rules


def test_cutting_down_keeps_the_verdict_and_stops() -> None:
    base = day(incidents=ROUGH_DAY)
    plays = []

    def play(less: Scenario) -> Verdict:
        plays.append(less)
        return Verdict(("drain",)) if any(i.kind == "freeze" for i in less.faults) else Verdict()

    small, count = minimize(base, Verdict(("drain",)), play, max_runs=40)
    assert [i.kind for i in small.faults] == ["freeze"]
    assert count == len(plays) <= 40
    assert not Verdict().includes(Verdict(("drain",)))
    assert not evaluate_report(base, build_report(simulate(day(length_s=2.0))))
