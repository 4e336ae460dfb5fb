"""Partitions between proxies and servers, lost answers, and balancers that avoid unreachable servers."""

from __future__ import annotations

import asyncio
from functools import cache
from pathlib import Path

import pytest

from client_proxy.emulator.emulated_server import EmulatedServer
from client_proxy.emulator.event_log import ServerOutcome
from client_proxy.emulator.report import Report, build_report
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import Simulation, SimulationResult, simulate
from client_proxy.operators import parse_operators
from tests.support.days import incident, simulate_scenario
from tests.support.raw_client import RawClient, on_both_clocks, request, until

DAYS = Path(__file__).parents[2] / "examples" / "days"


def test_a_partition_affects_only_its_proxy_and_delays_what_that_proxy_sends() -> None:
    async def script(simulation: Simulation, server: EmulatedServer) -> None:
        client = await RawClient.dial(server.listeners[0].address)
        await until(lambda: len(server.connections) == 1)
        server.partition_from((0,))
        client.transport.write(request("t0"))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await RawClient.dial(server.listeners[0].address)
        other_client = await RawClient.dial(server.listeners[1].address)
        other_client.transport.write(request("t1"))
        assert await other_client.answer() == 200
        assert [arrival.attempt_id for arrival in simulation.event_log.arrivals] == ["t1"]
        server.heal_partition((0,))
        assert await client.answer() == 200
        for raw_client in (client, other_client):
            raw_client.transport.abort()

    on_both_clocks(script)


def test_an_answer_made_during_a_partition_arrives_after_it() -> None:
    async def script(simulation: Simulation, server: EmulatedServer) -> None:
        client = await RawClient.dial(server.listeners[0].address)
        client.transport.write(request("t0"))
        await until(lambda: len(simulation.event_log.arrivals) == 1)
        server.partition_from((0,))
        await until(lambda: simulation.event_log.arrivals[0].outcome is ServerOutcome.COMPLETED)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await client.reader.readexactly(1)
        server.heal_partition((0,))
        assert await client.answer() == 200
        client.transport.abort()

    on_both_clocks(script)


def test_overlapping_partitions_end_with_the_last_and_outlive_a_restart() -> None:
    async def script(simulation: Simulation, server: EmulatedServer) -> None:
        server.partition_from((0,))
        server.partition_from((0, 1))
        server.heal_partition((0, 1))
        assert server.partitioned_from == {0}
        server.kill()
        server.start(cold=False)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await RawClient.dial(server.listeners[0].address)
        server.heal_partition((0,))
        (await RawClient.dial(server.listeners[0].address)).transport.abort()

    on_both_clocks(script)


def cross_zone_arrivals(result: SimulationResult, from_s: float, to_s: float) -> int:
    """Return the number of attempts that reached a server from a proxy of another zone in a time span."""
    arrivals = [
        arrival
        for arrival in result.event_log.arrivals
        if from_s <= arrival.arrived_s - result.start_s < to_s
    ]
    return sum(
        result.specs[arrival.server].zone != result.scenario.zone_of(arrival.proxy) for arrival in arrivals
    )


def test_a_zone_that_is_cut_off_serves_only_its_own_proxies() -> None:
    result, report = simulate_scenario(incidents=incident("cut", 2.0, for_s=2.0, hall="west"), length_s=8.0)
    assert cross_zone_arrivals(result, 0.0, 1.99) > 0
    assert cross_zone_arrivals(result, 5.0, 8.0) > 0
    assert cross_zone_arrivals(result, 2.01, 3.99) == 0
    arrivals = [
        arrival for arrival in result.event_log.arrivals if 2.01 <= arrival.arrived_s - result.start_s < 3.99
    ]
    assert {result.specs[arrival.server].zone for arrival in arrivals} == {"east", "west"}
    assert not report.broken


def test_a_cut_between_named_proxies_and_servers_stops_only_their_attempts() -> None:
    cut = incident("cut", 1.0, for_s=3.0, servers=["east-1"], proxies=[1])
    result, _ = simulate_scenario(incidents=cut)
    connected_proxies = {
        arrival.proxy
        for arrival in result.event_log.arrivals
        if arrival.server == "east-1" and 1.1 < arrival.arrived_s - result.start_s < 3.9
    }
    assert connected_proxies == {0}


def test_lost_answers_belong_to_requests_that_ran() -> None:
    result, report = simulate_scenario(
        incidents=incident("fail", 1.0, for_s=4.0, servers=["east-1"], share=0.3, mode="lost")
    )
    lost = [arrival for arrival in result.event_log.arrivals if arrival.answer_lost]
    assert len(lost) >= 2
    assert all(
        arrival.outcome in (ServerOutcome.COMPLETED, ServerOutcome.DEDUPLICATED) and not arrival.answered
        for arrival in lost
    )
    assert not report.broken


# Avoiding servers that are out of reach ([reach] in the operators' file), with whole daemons


@cache
def simulate_with_table(name: str, table: str) -> tuple[SimulationResult, Report]:
    operators = parse_operators("[overload]\n[connections]\n" + table, "operators.toml")
    result = simulate(load_scenario(DAYS / name), operators=operators)
    return result, build_report(result)


def arrivals_over_the_cut(result: SimulationResult, from_s: float, to_s: float) -> int:
    """Return the number of attempts in a time span between the zone that is cut off and the others."""
    arrivals = [
        arrival
        for arrival in result.event_log.arrivals
        if from_s <= arrival.arrived_s - result.start_s < to_s
    ]
    return sum(
        (result.specs[arrival.server].zone == "mladost")
        != (result.scenario.zone_of(arrival.proxy) == "mladost")
        for arrival in arrivals
    )


def test_a_third_of_the_fleet_that_is_cut_off_is_avoided_and_used_again_afterwards() -> None:
    without_reach, with_reach = (
        simulate_with_table("split-many.toml", ""),
        simulate_with_table("split-many.toml", "[reach]\n"),
    )
    assert not without_reach[1].broken
    assert not with_reach[1].broken

    def failed(result: SimulationResult) -> int:
        """Return the number of requests, begun in the last three seconds of the cut, that were not served."""
        requests = [
            request_record
            for request_record in result.event_log.requests
            if 5.0 <= request_record.requested_s - result.start_s < 8.0
        ]
        return sum(request_record.outcome != "served" for request_record in requests)

    assert failed(with_reach[0]) < 0.75 * failed(without_reach[0])
    assert with_reach[1].served_share > without_reach[1].served_share
    assert (
        arrivals_over_the_cut(without_reach[0], 3.1, 7.9)
        == arrivals_over_the_cut(with_reach[0], 3.1, 7.9)
        == 0
        < arrivals_over_the_cut(with_reach[0], 10.0, 13.0)
    )


def test_a_vanished_zone_that_comes_back_cold_gets_attempts_again() -> None:
    result, report = simulate_with_table("lost-many.toml", "[reach]\n")
    assert not report.broken
    arrivals_after_return = [
        arrival
        for arrival in result.event_log.arrivals
        if result.specs[arrival.server].zone == "lyulin" and 11.0 <= arrival.arrived_s - result.start_s < 14.0
    ]
    assert len({arrival.server for arrival in arrivals_after_return}) >= 5
