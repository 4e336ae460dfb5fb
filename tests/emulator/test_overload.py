"""Overload over the emulator: the daemon itself on the shipped days, with admission and without."""

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
ON = OperatorSettings(overload=OverloadSettings())
BOTH = OperatorSettings(LocalitySettings(), OverloadSettings())
ENTRY, EXTRACT = "entry-register", "extract-issue"


@cache
def played(name: str, operators: str = "on") -> Report:
    given = {"on": ON, "off": NO_FEATURES, "both": BOTH}[operators]
    result = simulate(load_scenario(DAYS / f"{name}.toml"), operators=given)
    of = build_report(result)
    assert not of.broken, of.breaches
    return of


def share(of: Report, name: str) -> float:
    return of.classes[name].served / of.classes[name].asked


def windows(of: Report) -> list[float]:
    return [window["served_share"] for window in of.windows]


@pytest.mark.parametrize("operators", ["on", "both"])
def test_a_hall_lost_under_full_load_costs_extracts_and_hardly_an_entry(operators: str) -> None:
    of = played("overload-hall-lost", operators)
    assert share(of, ENTRY) > 0.98
    # 0.92 is what the surviving cores can do.
    assert min(windows(of)) > 0.85
    assert max(windows(of)[-2:]) > 0.97
    without = played("overload-hall-lost", "off")
    assert min(windows(without)) < 0.75
    assert share(without, ENTRY) < 0.9


def test_a_busy_proxy_whose_hall_is_lost_keeps_its_entries() -> None:
    of = played("overload-busy-proxy", "both")
    assert share(of, ENTRY) > 0.985
    assert min(windows(of)) > 0.93


def test_a_flood_of_extracts_leaves_entries_untouched() -> None:
    of = played("overload-flood")
    assert share(of, ENTRY) > 0.985
    assert windows(of)[3] > 0.98  # it ended in the window before
    assert share(played("overload-flood", "off"), ENTRY) < 0.75


def test_work_that_triples_without_a_sign_is_found_out() -> None:
    of = played("overload-costly")
    assert share(of, ENTRY) > 0.98
    assert min(windows(of)) > 0.85
    assert min(windows(played("overload-costly", "off"))) < 0.6


def test_a_slow_server_that_reports_that_it_is_idle_is_not_believed() -> None:
    of = played("overload-liar")
    assert min(windows(of)) > 0.97
    assert share(of, ENTRY) > 0.985


def test_a_rolling_restart_under_full_load_pushes_no_cold_server_over() -> None:
    of = played("overload-restart")
    assert of.rules["push"] == 0
    assert min(windows(of)) > 0.7
    assert share(of, ENTRY) > 0.93
    assert min(windows(played("overload-restart", "off"))) < 0.6


def test_clients_that_ask_again_at_once_without_end_do_not_lower_what_is_served() -> None:
    of = played("overload-deaf")
    assert share(of, ENTRY) > 0.97
    assert min(windows(of)) > 0.8
    assert min(windows(played("overload-deaf", "off"))) < 0.65


def test_after_a_burst_of_twice_the_load_all_is_as_before_within_five_seconds() -> None:
    of = played("overload-burst")
    # The burst ends at 13 s; the window from 15 s on is whole.
    assert min(windows(of)[3:]) > 0.985
    assert min(windows(of)) > 0.8


def test_a_quiet_day_stays_quiet() -> None:
    of, without = played("calm-morning"), played("calm-morning", "off")
    assert of.served_share > without.served_share - 0.004
    # What would have been late may be refused; nothing else.
    unserved = sum(c.refused + c.late for c in without.classes.values())
    assert sum(c.refused for c in of.classes.values()) <= unserved + 2
