"""Effects of each kind of fault on connections, in memory and for some kinds on real sockets too."""

from __future__ import annotations

import asyncio
import json

import pytest

from client_proxy.emulator.emulated_server import EmulatedServer
from client_proxy.emulator.event_log import Arrival, ClientAttempt, ServerOutcome
from client_proxy.emulator.listeners import MemoryListener
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.report import Report
from client_proxy.emulator.simulation import Simulation, SimulationResult
from client_proxy.emulator.virtual import Scheduler
from tests.support.days import KEYED, KIND, UNSAFE, day, incident, simulate_scenario
from tests.support.raw_client import RawClient, on_both_clocks, request, until


def arrivals_between(result: SimulationResult, server: str, from_s: float, to_s: float) -> list[Arrival]:
    return [
        arrival
        for arrival in result.event_log.arrivals
        if arrival.server == server and from_s <= arrival.arrived_s - result.start_s < to_s
    ]


def state_at(report: Report, server: str, at_s: float) -> str:
    return next(str(sample[4]) for sample in reversed(report.servers[server]["samples"]) if sample[0] <= at_s)


def test_a_calm_day_serves_all_requests_and_keeps_the_rules() -> None:
    result, report = simulate_scenario()
    assert not report.broken
    assert not report.crashed
    for class_report in report.classes.values():
        assert class_report.asked == class_report.served > 50
    assert report.fates == {"ran": report.attempts}
    assert {arrival.server for arrival in result.event_log.arrivals} == {
        "east-1",
        "east-2",
        "west-1",
        "west-2",
    }


def test_a_stated_share_of_requests_fails_for_the_stated_time() -> None:
    result, report = simulate_scenario(
        incidents=incident("fail", 2.0, for_s=3.0, servers=["east-1"], share=0.5, classes=[KEYED]),
        clients="proxies = 2\nrate_per_s = 120",
    )
    arrivals_during_fault = [
        arrival for arrival in arrivals_between(result, "east-1", 2.0, 5.0) if arrival.class_name == KEYED
    ]
    failed = [arrival for arrival in arrivals_during_fault if arrival.outcome is ServerOutcome.FAILED]
    assert arrivals_during_fault
    assert 0.2 < len(failed) / len(arrivals_during_fault) < 0.8
    assert len(failed) == sum(
        1 for arrival in result.event_log.arrivals if arrival.outcome is ServerOutcome.FAILED
    )
    assert not report.broken


@pytest.mark.parametrize("mode", ["reset", "silent", "spoilt"])
def test_broken_missing_and_spoilt_responses_are_never_served(mode: str) -> None:
    result, report = simulate_scenario(
        incidents=incident("fail", 1.0, for_s=4.0, servers=["east-1"], share=0.4, mode=mode),
        clients="proxies = 2\nrate_per_s = 60",
    )
    affected = [
        arrival
        for arrival in result.event_log.arrivals
        if arrival.outcome in (ServerOutcome.FAILED, ServerOutcome.STALLED)
    ]
    assert len(affected) >= 2
    assert all(arrival.server == "east-1" for arrival in affected)
    assert not report.broken  # serving a spoilt response would be a violation
    affected_unsafe = [arrival for arrival in affected if arrival.class_name == UNSAFE]
    assert all(result.event_log.attempts[arrival.attempt_id].status != 200 for arrival in affected_unsafe)


def test_a_frozen_server_does_no_work_and_continues_afterwards() -> None:
    result, report = simulate_scenario(incidents=incident("freeze", 2.0, for_s=1.0, servers=["east-1"]))
    arrivals_during_fault = [
        arrival
        for arrival in result.event_log.arrivals
        if arrival.ended_s and 2.0 <= arrival.ended_s - result.start_s < 3.0 - 1e-6
    ]
    assert arrivals_during_fault
    assert all(arrival.server != "east-1" for arrival in arrivals_during_fault)
    assert state_at(report, "east-1", 2.5) == "frozen"
    assert state_at(report, "east-1", 3.5) == "up"
    assert not report.broken


def test_a_slow_server_takes_longer_by_the_stated_factor() -> None:
    result, _ = simulate_scenario(incidents=incident("slow", 0.0, for_s=6.0, servers=["east-1"], times=5.0))
    for server, factor in (("east-1", 5.0), ("east-2", 1.0)):
        slowdowns = [
            1000.0
            * (arrival.ended_s - arrival.started_s)
            / result.event_log.attempts[arrival.attempt_id].work_ms
            for arrival in result.event_log.arrivals
            if arrival.server == server
            and arrival.ended_s
            and arrival.started_s
            and arrival.outcome is ServerOutcome.COMPLETED
            if result.start_s <= arrival.started_s and arrival.ended_s < result.start_s + 6.0
        ]
        assert slowdowns
        assert min(slowdowns) == pytest.approx(factor, rel=0.001)


def test_costly_requests_come_in_the_stated_share() -> None:
    result, _ = simulate_scenario(
        incidents=incident("costly", 2.0, for_s=2.0, classes=[KEYED], share=0.3, times=10.0),
        clients="proxies = 2\nrate_per_s = 30",
    )

    def costly_share(from_s: float, to_s: float) -> float:
        keyed = [
            arrival
            for arrival in result.event_log.arrivals
            if arrival.class_name == KEYED
            and arrival.ended_s
            and from_s <= arrival.arrived_s - result.start_s < to_s
        ]
        costly_arrivals = [
            arrival for arrival in keyed if (arrival.ended_s or 0) - (arrival.started_s or 0) > 0.15
        ]
        return len(costly_arrivals) / len(keyed)

    assert costly_share(0.0, 2.0) == 0.0
    assert 0.1 < costly_share(2.0, 4.0) < 0.5
    assert costly_share(4.0, 6.0) == 0.0


def test_a_killed_server_restarts_cold_under_its_name() -> None:
    kind = KIND + "cold_from = 0.4\ncold_s = 3\n"
    result, report = simulate_scenario(
        incidents=incident("die", 2.0, for_s=2.0, servers=["east-1"]), kind=kind, length_s=10.0
    )
    assert not arrivals_between(result, "east-1", 2.01, 4.0)
    assert arrivals_between(result, "east-1", 5.0, 10.0)
    assert state_at(report, "east-1", 3.0) == "down"
    assert state_at(report, "east-1", 4.5) == "cold"
    assert {arrival.incarnation for arrival in result.event_log.arrivals if arrival.server == "east-1"} == {
        1,
        2,
    }
    assert not report.broken


def test_a_drained_server_gets_no_new_work_after_the_grace_and_is_replaced() -> None:
    result, report = simulate_scenario(
        incidents=incident("replace", 1.0, for_s=4.0, servers=["west-2"], down_s=0.5), length_s=10.0
    )
    # Proxies are notified about 1.5 s after the drain began, and the grace of 1 s follows.
    assert arrivals_between(result, "west-2", 0.0, 2.5)
    assert not arrivals_between(result, "west-2", 3.7, 10.0)
    assert arrivals_between(result, "west-2.1", 6.5, 10.0)
    assert not report.broken


def test_an_overloaded_server_rejects_requests_and_becomes_congested() -> None:
    kind = KIND.replace("queue_per_core = 10", "queue_per_core = 1")
    kind += "choke_at = 0.4\nchoke_over_s = 0.5\nchoke_slower = 3\nchoke_most_s = 4\n"
    result, report = simulate_scenario(
        clients="proxies = 6\nrate_per_s = 700\nretries = 0",
        kind=kind,
        incidents="",
        length_s=4.0,
    )
    assert report.fates.get("turned away", 0) > 0
    assert any(sample[4] == "choked" for server in report.servers.values() for sample in server["samples"])
    assert report.classes[UNSAFE].refused + report.classes[KEYED].refused > 0
    assert not report.broken
    rejected = [arrival for arrival in result.event_log.arrivals if arrival.outcome is ServerOutcome.REJECTED]
    assert all(arrival.started_s is None for arrival in rejected)


@pytest.mark.parametrize("mode", ["503", "silent", "reset"])
def test_an_outage_of_discovery_delays_notifications_and_breaks_no_rule(mode: str) -> None:
    _, report = simulate_scenario(
        incidents=incident("discovery", 1.0, for_s=3.0, mode=mode)
        + incident("restart", 1.5, for_s=3.0, servers=["east-1"], down_s=0.5),
        length_s=10.0,
    )
    assert not report.broken
    assert report.discovery_calls >= 3
    assert report.served_share > 0.9


def test_restarts_and_kills_of_proxies_break_no_rule() -> None:
    _, restart_report = simulate_scenario(incidents=incident("proxy_restart", 2.0, stagger_s=1.5, down_s=0.2))
    assert not restart_report.broken
    assert restart_report.served_share > 0.8
    _, kill_report = simulate_scenario(incidents=incident("proxy_kill", 2.0, proxies=[1], down_s=0.2))
    assert not kill_report.broken
    assert sum(class_report.failed for class_report in kill_report.classes.values()) > 0


# Requests sent directly to one server, on both clocks


def test_a_freeze_preserves_accepted_and_partly_sent_requests() -> None:
    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        complete, half_sent, idle = [await RawClient.dial(server.listeners[0].address) for _ in range(3)]
        simulation.event_log.attempts["t0"].work_ms = 50.0
        complete.transport.write(request("t0"))
        encoded = request("t1")
        half_sent.transport.write(encoded[:40])
        await until(lambda: len(simulation.event_log.arrivals) == 1 and len(server.connections) == 3)
        server.freeze()
        # The operating system buffers what follows, and the frozen server does not read it.
        half_sent.transport.write(encoded[40:])
        idle.transport.write(request("t2"))
        # The operating system still accepts connections.
        late_client = await RawClient.dial(server.listeners[0].address)
        late_client.transport.write(request("t3"))
        responses = [
            asyncio.ensure_future(client.answer()) for client in (complete, half_sent, idle, late_client)
        ]
        # Wait longer than the running request's work: no response comes, and no connection is closed.
        await asyncio.sleep(0.2)
        assert len(simulation.event_log.arrivals) == 1
        assert not any(response.done() for response in responses)
        assert simulation.event_log.arrivals[0].outcome is ServerOutcome.RUNNING
        server.thaw(server.incarnation)
        assert await asyncio.gather(*responses) == [200] * 4
        assert [arrival.outcome for arrival in simulation.event_log.arrivals] == [ServerOutcome.COMPLETED] * 4
        assert {arrival.attempt_id for arrival in simulation.event_log.arrivals} == {"t0", "t1", "t2", "t3"}
        for client in (complete, half_sent, idle, late_client):
            client.transport.abort()

    on_both_clocks(run_script)


def test_a_vanished_server_accepts_no_connection_and_answers_nothing_until_it_is_back() -> None:
    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        before = await RawClient.dial(server.listeners[0].address)
        await until(lambda: len(server.connections) == 1)
        server.vanish()
        before.transport.write(request("t0"))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await RawClient.dial(server.listeners[0].address)
        assert not simulation.event_log.arrivals
        server.reappear(server.incarnation)
        # The process was unreachable and not dead, so its connections continue.
        assert await before.answer() == 200
        after = await RawClient.dial(server.listeners[0].address)
        after.transport.write(request("t1"))
        assert await after.answer() == 200
        for client in (before, after):
            client.transport.abort()

    on_both_clocks(run_script)


def test_a_killed_process_resets_its_connections_and_refuses_new_ones() -> None:
    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        client = await RawClient.dial(server.listeners[0].address)
        await until(lambda: len(server.connections) == 1)
        client.transport.write(request("t0"))
        await until(lambda: len(simulation.event_log.arrivals) == 1)
        server.kill()
        with pytest.raises(ConnectionError):
            await client.reader.readexactly(1)
        with pytest.raises(ConnectionRefusedError):
            await RawClient.dial(server.listeners[0].address)
        server.start(cold=False)
        again = await RawClient.dial(server.listeners[0].address)
        again.transport.write(request("t1"))
        assert await again.answer() == 200
        again.transport.abort()

    on_both_clocks(run_script)


def test_requests_on_connections_above_the_limit_are_rejected() -> None:
    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        clients = [await RawClient.dial(server.listeners[0].address) for _ in range(3)]
        await until(lambda: len(server.connections) == 3)
        for number, client in enumerate(clients):
            client.transport.write(request(f"t{number}"))
        assert sorted([await client.answer() for client in clients]) == [200, 200, 503]
        outcomes = sorted(arrival.outcome.value for arrival in simulation.event_log.arrivals)
        assert outcomes == ["ran", "ran", "turned away"]
        for client in clients:
            client.transport.abort()

    on_both_clocks(run_script, kind=KIND + "connections = 2\n")


def test_all_servers_of_a_rack_deduplicate_together() -> None:
    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        same_rack, other_rack = simulation.servers["east-2"], simulation.servers["west-1"]
        for rack_server in (same_rack, other_rack):
            rack_server.start(cold=False)
        for number in range(4):
            simulation.event_log.attempts[f"t{number}"] = ClientAttempt(
                f"t{number}", 0, number, KEYED, "one-key", 1.0
            )
        for number, target in enumerate((server, same_rack, server, other_rack)):
            client = await RawClient.dial(target.listeners[0].address)
            client.transport.write(request(f"t{number}", KEYED))
            assert await client.answer() == 200
            client.transport.abort()
        outcomes = [arrival.outcome for arrival in simulation.event_log.arrivals]
        assert outcomes == [
            ServerOutcome.COMPLETED,
            ServerOutcome.DEDUPLICATED,
            ServerOutcome.DEDUPLICATED,
            ServerOutcome.COMPLETED,
        ]

    on_both_clocks(run_script)


def test_the_deduplication_window_of_a_rack_is_exact() -> None:
    """A repeat 1.199 s after the first run's start is deduplicated, and one after 1.201 s is run."""

    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        same_rack = simulation.servers["east-2"]
        same_rack.start(cold=False)
        for number, (after_s, outcome) in enumerate(
            [(1.199, ServerOutcome.DEDUPLICATED), (1.201, ServerOutcome.COMPLETED)]
        ):
            first, second = f"f{number}", f"s{number}"
            for attempt_id in (first, second):
                simulation.event_log.attempts[attempt_id] = ClientAttempt(
                    attempt_id, 0, number, KEYED, f"key-{number}", 1.0
                )
            clients = [await RawClient.dial(target.listeners[0].address) for target in (server, same_rack)]
            await asyncio.sleep(0.1)
            clients[0].transport.write(request(first, KEYED))
            assert await clients[0].answer() == 200
            started_s = simulation.event_log.arrivals[-1].started_s or 0.0
            # The one-way delays of the in-memory network and of the zone.
            delay_s = 0.00005 + server.one_way_delay_s(0)
            await asyncio.sleep(started_s + after_s - delay_s - simulation.loop.time())
            clients[1].transport.write(request(second, KEYED))
            assert await clients[1].answer() == 200
            arrival = simulation.event_log.arrivals[-1]
            assert (arrival.started_s or 0.0) - started_s == pytest.approx(after_s, abs=1e-6)
            assert arrival.outcome is outcome

    scenario = day()
    scheduler = Scheduler()
    loop = scheduler.new_loop("world")
    network = MemoryNetwork(loop)
    simulation = Simulation(scenario, loop)
    simulation.new_listener = lambda factory: MemoryListener(loop, network, factory)

    async def main() -> None:
        simulation.prepare()
        simulation.servers["east-1"].start(cold=False)
        await run_script(simulation, simulation.servers["east-1"])

    scheduler.run(loop, main(), 1000.0)


def test_the_handshake_costs_work_once_per_connection() -> None:
    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        client = await RawClient.dial(server.listeners[0].address)
        for number in range(2):
            client.transport.write(request(f"t{number}"))
            assert await client.answer() == 200
        client.transport.abort()
        first, second = (
            (arrival.ended_s or 0.0) - (arrival.started_s or 0.0) for arrival in simulation.event_log.arrivals
        )
        assert 1000.0 * first == pytest.approx(10.0 + 25.0, abs=0.5)
        assert 1000.0 * second == pytest.approx(10.0, abs=0.5)

    on_both_clocks(run_script, kind=KIND + "handshake_ms = 25\n")


def test_requests_take_the_delay_within_or_between_zones() -> None:
    result, report = simulate_scenario(
        more="", clients="proxies = 2\nrate_per_s = 40\n[net]\nsame_ms = 1\ncross_ms = 60"
    )
    delays_ms: dict[bool, list[float]] = {True: [], False: []}
    for arrival in result.event_log.arrivals:
        same_zone = result.specs[arrival.server].zone == result.scenario.zone_of(arrival.proxy)
        delays_ms[same_zone].append(
            1000.0 * (arrival.arrived_s - result.event_log.attempts[arrival.attempt_id].sent_s)
        )
    assert 1.0 <= min(delays_ms[True]) < 5.0
    assert 60.0 <= min(delays_ms[False]) < 65.0
    assert not report.broken


def test_noise_changes_with_each_report_and_not_with_each_query() -> None:
    from client_proxy.emulator.process_model import ProcessModel, ServerRequest
    from client_proxy.emulator.scenario import LoadReportSettings, ServerType

    model = ProcessModel(
        "m",
        ServerType("k", cores=4),
        LoadReportSettings(period_ms=100.0, delay_ms=0.0, noise=0.2),
        0.0,
        seed=3,
    )
    for _ in range(4):
        model.offer(ServerRequest(None, 1e9, 0.0))
    reported = []
    for step in range(1, 60):
        model.advance(step * 0.1)
        reported.append(model.report(step * 0.1)["inflight"])
        assert model.report(step * 0.1)["inflight"] == reported[-1]
    distinct_values = {value for value in reported if value}
    assert len(distinct_values) > 30
    assert 2.0 < min(distinct_values) < 4.0 < max(distinct_values) < 8.0


def test_discovery_sends_full_lists_changes_and_an_empty_line_without_changes() -> None:
    async def run_script(simulation: Simulation, server: EmulatedServer) -> None:
        registry = simulation.registry
        registry.publish("east-1", "ready", 0)
        registry.start()

        async def request_list(path: str) -> tuple[RawClient, str]:
            client = await RawClient.dial(registry.listeners[0].address)
            client.transport.write(f"GET {path} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            return client, (await client.reader.readuntil(b"\r\n\r\n")).decode()

        async def read_chunk(client: RawClient) -> bytes:
            size = int(await client.reader.readuntil(b"\r\n"), 16)
            return (await client.reader.readexactly(size + 2))[:-2]

        complete, head = await request_list("/v1/endpoints")
        body = json.loads(
            await complete.reader.readexactly(int(head.split("Content-Length: ")[1].split()[0]))
        )
        (entry,) = body["endpoints"]
        host, port = server.listeners[0].address
        assert body["snapshot"]
        assert entry["name"] == "east-1"
        assert entry["address"] == f"{host}:{port}"
        watch, _ = await request_list(f"/v1/endpoints?follow=1&since={body['index']}")
        assert await read_chunk(watch) == b"\n"
        registry.publish("east-1", "draining", 0)
        change = json.loads(await read_chunk(watch))
        assert not change["snapshot"]
        assert change["endpoints"][0]["status"] == "draining"
        # An index from another service or incarnation gives a full list.
        gap, _ = await request_list("/v1/endpoints?follow=1&since=999")
        assert json.loads(await read_chunk(gap))["snapshot"]
        _, missing = await request_list("/v1/none")
        assert " 404 " in missing
        reported = [
            (notification.server, notification.status)
            for notification in simulation.event_log.notifications
            if notification.proxy == 0
        ]
        assert ("east-1", "draining") in reported
        registry.begin_outage("503")
        _, down = await request_list("/v1/endpoints")
        assert " 503 " in down
        registry.close()

    on_both_clocks(run_script)
