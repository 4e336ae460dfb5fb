"""Gossip between whole daemons on the virtual clock: replayable, and no rule broken by any lie."""

from __future__ import annotations

from client_proxy.emulator.byzantine_reporters import AccusesTwo
from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.simulation import SimulationResult, simulate
from client_proxy.membership.node import GossipNode
from client_proxy.membership.settings import GossipSettings, SwimSettings
from client_proxy.operators import OperatorSettings
from tests.support.days import day, incident

ON = OperatorSettings(
    gossip=GossipSettings(swim=SwimSettings(period_ms=500.0, timeout_ms=150.0, sync_ms=2000.0))
)


def bad_day() -> Scenario:
    return day(
        length_s=14.0,
        clients="proxies = 6\nrate_per_s = 50",
        incidents=incident("fail", 4.0, for_s=8.0, servers=["west-1"], share=1.0, mode="reset")
        + incident("proxy_restart", 7.0, proxies=[1], down_s=0.5)
        + incident("proxy_kill", 9.0, proxies=[2], down_s=0.5),
    )


def ledger(played: SimulationResult) -> list[tuple[str, float, str]]:
    return [(a.server, a.arrived_s, a.attempt_id) for a in played.event_log.arrivals]


def test_a_day_with_gossip_is_replayed_to_the_same_ledger() -> None:
    first, second = simulate(bad_day(), operators=ON), simulate(bad_day(), operators=ON)
    assert ledger(first) == ledger(second)
    assert not first.failures
    assert not build_report(first).broken


def test_a_lying_daemon_breaks_no_rule_and_keeps_no_server_from_work() -> None:
    liars: dict[int, type[GossipNode]] = {4: AccusesTwo}
    of = build_report(simulate(bad_day(), operators=ON, byzantine_reporters=liars))
    assert not of.broken
    honest = build_report(simulate(bad_day(), operators=ON))
    assert of.served_share > honest.served_share - 0.02
    played = simulate(bad_day(), operators=ON, byzantine_reporters=liars)
    late = {a.server for a in played.event_log.arrivals if a.arrived_s - played.start_s > 12.5}
    assert late >= set(played.specs) - {"west-1"}  # which has been well for half a second only
