"""Overload scenarios in the emulator, run with the real daemon, with and without admission control."""

from __future__ import annotations

from functools import cache
from pathlib import Path

import pytest

from client_proxy.emulator.report import Report, build_report
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import simulate
from client_proxy.limits.settings import OverloadSettings
from client_proxy.operators import NO_FEATURES, OperatorSettings
from client_proxy.routing.settings import LocalitySettings

DAYS = Path(__file__).parents[2] / "examples" / "days"
WITH_ADMISSION = OperatorSettings(overload=OverloadSettings())
WITH_ADMISSION_AND_LOCALITY = OperatorSettings(LocalitySettings(), OverloadSettings())
ENTRY, EXTRACT = "entry-register", "extract-issue"


@cache
def run_day(name: str, features: str = "admission") -> Report:
    settings = {
        "admission": WITH_ADMISSION,
        "no features": NO_FEATURES,
        "admission and locality": WITH_ADMISSION_AND_LOCALITY,
    }[features]
    result = simulate(load_scenario(DAYS / f"{name}.toml"), operators=settings)
    report = build_report(result)
    assert not report.broken, report.breaches
    return report


def served_share(report: Report, name: str) -> float:
    return report.classes[name].served / report.classes[name].asked


def window_shares(report: Report) -> list[float]:
    return [window["served_share"] for window in report.windows]


@pytest.mark.parametrize("features", ["admission", "admission and locality"])
def test_the_loss_of_a_zone_under_full_load_costs_extracts_and_few_entries(features: str) -> None:
    report = run_day("overload-hall-lost", features)
    assert served_share(report, ENTRY) > 0.98
    # The remaining cores can serve 0.92 of the load.
    assert min(window_shares(report)) > 0.85
    assert max(window_shares(report)[-2:]) > 0.97
    without_admission = run_day("overload-hall-lost", "no features")
    assert min(window_shares(without_admission)) < 0.75
    assert served_share(without_admission, ENTRY) < 0.9


def test_a_busy_proxy_serves_its_entries_after_the_loss_of_its_zone() -> None:
    report = run_day("overload-busy-proxy", "admission and locality")
    assert served_share(report, ENTRY) > 0.985
    assert min(window_shares(report)) > 0.93


def test_a_flood_of_one_class_does_not_reduce_the_served_share_of_the_other() -> None:
    report = run_day("overload-flood")
    assert served_share(report, ENTRY) > 0.985
    assert window_shares(report)[3] > 0.98  # the flood ended in the window before
    assert served_share(run_day("overload-flood", "no features"), ENTRY) < 0.75


def test_a_threefold_rise_of_work_is_detected() -> None:
    report = run_day("overload-costly")
    assert served_share(report, ENTRY) > 0.98
    assert min(window_shares(report)) > 0.85
    assert min(window_shares(run_day("overload-costly", "no features"))) < 0.6


def test_a_slow_server_that_reports_itself_idle_does_no_harm() -> None:
    report = run_day("overload-liar")
    assert min(window_shares(report)) > 0.97
    assert served_share(report, ENTRY) > 0.985


def test_a_rolling_restart_under_full_load_crashes_no_cold_server() -> None:
    report = run_day("overload-restart")
    assert report.rules["push"] == 0
    assert min(window_shares(report)) > 0.7
    assert served_share(report, ENTRY) > 0.93
    assert min(window_shares(run_day("overload-restart", "no features"))) < 0.6


def test_endless_immediate_client_retries_do_not_lower_the_served_share() -> None:
    report = run_day("overload-deaf")
    assert served_share(report, ENTRY) > 0.97
    assert min(window_shares(report)) > 0.8
    assert min(window_shares(run_day("overload-deaf", "no features"))) < 0.65


def test_service_recovers_within_five_seconds_after_a_burst_of_twice_the_load() -> None:
    report = run_day("overload-burst")
    # The burst ends at 13 s; the windows from 15 s on begin after it.
    assert min(window_shares(report)[3:]) > 0.985
    assert min(window_shares(report)) > 0.8


def test_admission_hardly_changes_a_calm_day() -> None:
    report, without_admission = run_day("calm-morning"), run_day("calm-morning", "no features")
    assert report.served_share > without_admission.served_share - 0.004
    # Admission may reject only requests that would have been late or rejected without it, plus two.
    unserved = sum(
        class_report.refused + class_report.late for class_report in without_admission.classes.values()
    )
    assert sum(class_report.refused for class_report in report.classes.values()) <= unserved + 2
