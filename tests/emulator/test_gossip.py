"""Gossip between whole daemons on the virtual clock: runs are reproducible, false reports break no rule."""

from __future__ import annotations

from client_proxy.emulator.byzantine_reporters import AccusesTwo
from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.simulation import SimulationResult, simulate
from client_proxy.membership.node import GossipNode
from client_proxy.membership.settings import GossipSettings, SwimSettings
from client_proxy.operators import OperatorSettings
from tests.support.days import day, incident

GOSSIP_ON = OperatorSettings(
    gossip=GossipSettings(swim=SwimSettings(period_ms=500.0, timeout_ms=150.0, sync_ms=2000.0))
)


def scenario_with_faults() -> Scenario:
    return day(
        length_s=14.0,
        clients="proxies = 6\nrate_per_s = 50",
        incidents=incident("fail", 4.0, for_s=8.0, servers=["west-1"], share=1.0, mode="reset")
        + incident("proxy_restart", 7.0, proxies=[1], down_s=0.5)
        + incident("proxy_kill", 9.0, proxies=[2], down_s=0.5),
    )


def arrivals(result: SimulationResult) -> list[tuple[str, float, str]]:
    return [(arrival.server, arrival.arrived_s, arrival.attempt_id) for arrival in result.event_log.arrivals]


def test_a_scenario_with_gossip_replays_to_the_same_arrivals() -> None:
    first, second = (
        simulate(scenario_with_faults(), operators=GOSSIP_ON),
        simulate(scenario_with_faults(), operators=GOSSIP_ON),
    )
    assert arrivals(first) == arrivals(second)
    assert not first.failures
    assert not build_report(first).broken


def test_a_byzantine_reporter_breaks_no_rule_and_keeps_no_server_from_use() -> None:
    reporters: dict[int, type[GossipNode]] = {4: AccusesTwo}
    with_reporter = build_report(
        simulate(scenario_with_faults(), operators=GOSSIP_ON, byzantine_reporters=reporters)
    )
    assert not with_reporter.broken
    without_reporter = build_report(simulate(scenario_with_faults(), operators=GOSSIP_ON))
    assert with_reporter.served_share > without_reporter.served_share - 0.02
    result = simulate(scenario_with_faults(), operators=GOSSIP_ON, byzantine_reporters=reporters)
    used_at_the_end = {
        arrival.server for arrival in result.event_log.arrivals if arrival.arrived_s - result.start_s > 12.5
    }
    # The fault of west-1 ends only half a second before this span, so its use is not required.
    assert used_at_the_end >= set(result.specs) - {"west-1"}
