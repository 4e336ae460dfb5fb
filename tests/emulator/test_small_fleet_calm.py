"""A calm day with many instances: a server that turns away a connection too many is not a crowd."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import simulate
from client_proxy.limits.settings import OverloadSettings
from client_proxy.operators import NO_FEATURES, OperatorSettings

DAY = Path(__file__).parents[2] / "examples" / "days" / "hall-lost-busy.toml"


def test_many_instances_on_a_calm_day_are_refused_no_more_with_admission_than_without() -> None:
    day = load_scenario(DAY)
    clients = replace(day.clients, proxies=100, rate_per_s=40.0)
    kinds = tuple(
        replace(kind, max_connections=25) for kind in day.server_types
    )  # a third of what is asked for
    day = replace(day, duration_s=25.0, faults=(), clients=clients, server_types=kinds)
    stated = OperatorSettings(overload=OverloadSettings())
    on, off = (build_report(simulate(day, operators=given)) for given in (stated, NO_FEATURES))
    assert not on.broken
    assert on.fates["turned away"] > 20
    assert on.served_share > off.served_share - 0.005
