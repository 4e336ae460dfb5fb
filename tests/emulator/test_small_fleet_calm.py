"""A calm day with many instances: servers at their connection limit must not be taken for overloaded ones."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import simulate
from client_proxy.limits.settings import OverloadSettings
from client_proxy.operators import NO_FEATURES, OperatorSettings

DAY = Path(__file__).parents[2] / "examples" / "days" / "hall-lost-busy.toml"


def test_admission_costs_no_service_on_a_calm_day_with_many_instances() -> None:
    scenario = load_scenario(DAY)
    clients = replace(scenario.clients, proxies=100, rate_per_s=40.0)
    # Each server accepts a third of the connections that the proxies open.
    limited_types = tuple(replace(server_type, max_connections=25) for server_type in scenario.server_types)
    scenario = replace(scenario, duration_s=25.0, faults=(), clients=clients, server_types=limited_types)
    with_admission = OperatorSettings(overload=OverloadSettings())
    admission_report, plain_report = (
        build_report(simulate(scenario, operators=settings)) for settings in (with_admission, NO_FEATURES)
    )
    assert not admission_report.broken
    assert admission_report.fates["turned away"] > 20
    assert admission_report.served_share > plain_report.served_share - 0.005
