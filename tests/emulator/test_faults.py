"""Each fault does on sockets what the scenario says, in memory, and the hard ones on real sockets too."""

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
from tests.support.days import KEYED, KIND, UNSAFE, day, incident, played
from tests.support.raw_client import RawClient, on_both_clocks, request, until


def arrivals(of: SimulationResult, server: str, from_s: float, to_s: float) -> list[Arrival]:
    return [
        a for a in of.event_log.arrivals if a.server == server and from_s <= a.arrived_s - of.start_s < to_s
    ]


def states(of: Report, server: str, at_s: float) -> str:
    return next(str(s[4]) for s in reversed(of.servers[server]["samples"]) if s[0] <= at_s)


def test_a_calm_day_serves_all_and_keeps_the_rules() -> None:
    result, of = played()
    assert not of.broken
    assert not of.crashed
    for each in of.classes.values():
        assert each.asked == each.served > 50
    assert of.fates == {"ran": of.attempts}
    assert {a.server for a in result.event_log.arrivals} == {"east-1", "east-2", "west-1", "west-2"}


def test_a_stated_share_of_requests_fails_for_the_stated_time() -> None:
    result, of = played(
        incidents=incident("fail", 2.0, for_s=3.0, servers=["east-1"], share=0.5, classes=[KEYED]),
        clients="proxies = 2\nrate_per_s = 120",
    )
    inside = [a for a in arrivals(result, "east-1", 2.0, 5.0) if a.class_name == KEYED]
    failed = [a for a in inside if a.outcome is ServerOutcome.FAILED]
    assert inside
    assert 0.2 < len(failed) / len(inside) < 0.8
    assert len(failed) == sum(1 for a in result.event_log.arrivals if a.outcome is ServerOutcome.FAILED)
    assert not of.broken


@pytest.mark.parametrize("mode", ["reset", "silent", "spoilt"])
def test_answers_that_break_never_come_or_are_spoilt_are_never_served(mode: str) -> None:
    result, of = played(
        incidents=incident("fail", 1.0, for_s=4.0, servers=["east-1"], share=0.4, mode=mode),
        clients="proxies = 2\nrate_per_s = 60",
    )
    bad = [a for a in result.event_log.arrivals if a.outcome in (ServerOutcome.FAILED, ServerOutcome.STALLED)]
    assert len(bad) >= 2
    assert all(a.server == "east-1" for a in bad)
    assert not of.broken  # a breach is also what a foreign answer served would be
    unsafe = [a for a in bad if a.class_name == UNSAFE]
    assert all(result.event_log.attempts[a.attempt_id].status != 200 for a in unsafe)


def test_a_freeze_works_on_nothing_and_goes_on_after_it() -> None:
    result, of = played(incidents=incident("freeze", 2.0, for_s=1.0, servers=["east-1"]))
    inside = [
        a for a in result.event_log.arrivals if a.ended_s and 2.0 <= a.ended_s - result.start_s < 3.0 - 1e-6
    ]
    assert inside
    assert all(a.server != "east-1" for a in inside)
    assert states(of, "east-1", 2.5) == "frozen"
    assert states(of, "east-1", 3.5) == "up"
    assert not of.broken


def test_a_slow_server_takes_so_many_times_as_long() -> None:
    result, _ = played(incidents=incident("slow", 0.0, for_s=6.0, servers=["east-1"], times=5.0))
    for server, times in (("east-1", 5.0), ("east-2", 1.0)):
        runs = [
            1000.0 * (a.ended_s - a.started_s) / result.event_log.attempts[a.attempt_id].work_ms
            for a in result.event_log.arrivals
            if a.server == server and a.ended_s and a.started_s and a.outcome is ServerOutcome.COMPLETED
            if result.start_s <= a.started_s and a.ended_s < result.start_s + 6.0
        ]
        assert runs
        assert min(runs) == pytest.approx(times, rel=0.001)


def test_costly_requests_come_in_the_stated_share() -> None:
    result, _ = played(
        incidents=incident("costly", 2.0, for_s=2.0, classes=[KEYED], share=0.3, times=10.0),
        clients="proxies = 2\nrate_per_s = 30",
    )

    def costly(from_s: float, to_s: float) -> float:
        keyed = [
            a
            for a in result.event_log.arrivals
            if a.class_name == KEYED and a.ended_s and from_s <= a.arrived_s - result.start_s < to_s
        ]
        long = [a for a in keyed if (a.ended_s or 0) - (a.started_s or 0) > 0.15]
        return len(long) / len(keyed)

    assert costly(0.0, 2.0) == 0.0
    assert 0.1 < costly(2.0, 4.0) < 0.5
    assert costly(4.0, 6.0) == 0.0


def test_a_dead_server_comes_back_cold_under_its_name() -> None:
    kind = KIND + "cold_from = 0.4\ncold_s = 3\n"
    result, of = played(
        incidents=incident("die", 2.0, for_s=2.0, servers=["east-1"]), kind=kind, length_s=10.0
    )
    assert not arrivals(result, "east-1", 2.01, 4.0)
    assert arrivals(result, "east-1", 5.0, 10.0)
    assert states(of, "east-1", 3.0) == "down"
    assert states(of, "east-1", 4.5) == "cold"
    assert {a.incarnation for a in result.event_log.arrivals if a.server == "east-1"} == {1, 2}
    assert not of.broken


def test_a_drained_server_gets_nothing_new_after_the_grace_and_is_replaced_at_its_address() -> None:
    result, of = played(
        incidents=incident("replace", 1.0, for_s=4.0, servers=["west-2"], down_s=0.5), length_s=10.0
    )
    # Told about 1.5 s after the drain began; the rule's second after that.
    assert arrivals(result, "west-2", 0.0, 2.5)
    assert not arrivals(result, "west-2", 3.7, 10.0)
    assert arrivals(result, "west-2.1", 6.5, 10.0)
    assert not of.broken


def test_a_crowded_server_turns_away_unseen_and_chokes() -> None:
    kind = KIND.replace("queue_per_core = 10", "queue_per_core = 1")
    kind += "choke_at = 0.4\nchoke_over_s = 0.5\nchoke_slower = 3\nchoke_most_s = 4\n"
    result, of = played(
        clients="proxies = 6\nrate_per_s = 700\nretries = 0",
        kind=kind,
        incidents="",
        length_s=4.0,
    )
    assert of.fates.get("turned away", 0) > 0
    assert any(s[4] == "choked" for server in of.servers.values() for s in server["samples"])
    assert of.classes[UNSAFE].refused + of.classes[KEYED].refused > 0
    assert not of.broken
    turned = [a for a in result.event_log.arrivals if a.outcome is ServerOutcome.REJECTED]
    assert all(a.started_s is None for a in turned)


@pytest.mark.parametrize("mode", ["503", "silent", "reset"])
def test_discovery_is_down_and_its_news_come_late(mode: str) -> None:
    _, of = played(
        incidents=incident("discovery", 1.0, for_s=3.0, mode=mode)
        + incident("restart", 1.5, for_s=3.0, servers=["east-1"], down_s=0.5),
        length_s=10.0,
    )
    assert not of.broken
    assert of.discovery_calls >= 3
    assert of.served_share > 0.9


def test_planned_restarts_lose_nothing_and_kills_break_no_rule() -> None:
    _, planned = played(incidents=incident("proxy_restart", 2.0, stagger_s=1.5, down_s=0.2))
    assert not planned.broken
    assert planned.served_share > 0.8
    _, killed = played(incidents=incident("proxy_kill", 2.0, proxies=[1], down_s=0.2))
    assert not killed.broken
    assert sum(c.failed for c in killed.classes.values()) > 0


# Directly at one server, on both clocks


def test_a_freeze_keeps_accepted_and_half_written_requests_as_they_are() -> None:
    async def script(stage: Simulation, server: EmulatedServer) -> None:
        whole, half, idle = [await RawClient.dial(server.listeners[0].address) for _ in range(3)]
        stage.event_log.attempts["t0"].work_ms = 50.0
        whole.transport.write(request("t0"))
        wire = request("t1")
        half.transport.write(wire[:40])
        await until(lambda: len(stage.event_log.arrivals) == 1 and len(server.connections) == 3)
        server.freeze()
        half.transport.write(wire[40:])  # the system takes it, the server does not read it
        idle.transport.write(request("t2"))
        late = await RawClient.dial(server.listeners[0].address)  # accepted by the system, as ever
        late.transport.write(request("t3"))
        reading = [asyncio.ensure_future(each.answer()) for each in (whole, half, idle, late)]
        # More than the whole request's work, on its own clock: no answer, and nothing closed.
        await asyncio.sleep(0.2)
        assert len(stage.event_log.arrivals) == 1
        assert not any(each.done() for each in reading)
        assert stage.event_log.arrivals[0].outcome is ServerOutcome.RUNNING
        server.thaw(server.incarnation)
        assert await asyncio.gather(*reading) == [200] * 4
        assert [a.outcome for a in stage.event_log.arrivals] == [ServerOutcome.COMPLETED] * 4
        assert {a.attempt_id for a in stage.event_log.arrivals} == {"t0", "t1", "t2", "t3"}
        for each in (whole, half, idle, late):
            each.transport.abort()

    on_both_clocks(script)


def test_a_vanished_machine_accepts_no_dial_and_says_nothing_until_it_is_back() -> None:
    async def script(stage: Simulation, server: EmulatedServer) -> None:
        before = await RawClient.dial(server.listeners[0].address)
        await until(lambda: len(server.connections) == 1)
        server.vanish()
        before.transport.write(request("t0"))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await RawClient.dial(server.listeners[0].address)
        assert not stage.event_log.arrivals
        server.reappear(server.incarnation)
        assert await before.answer() == 200  # cut off, and not dead: the connection goes on
        after = await RawClient.dial(server.listeners[0].address)
        after.transport.write(request("t1"))
        assert await after.answer() == 200
        for each in (before, after):
            each.transport.abort()

    on_both_clocks(script)


def test_a_dead_process_resets_its_connections_and_refuses_dials() -> None:
    async def script(stage: Simulation, server: EmulatedServer) -> None:
        client = await RawClient.dial(server.listeners[0].address)
        await until(lambda: len(server.connections) == 1)
        client.transport.write(request("t0"))
        await until(lambda: len(stage.event_log.arrivals) == 1)
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

    on_both_clocks(script)


def test_more_connections_than_a_server_takes_are_turned_away_unseen() -> None:
    async def script(stage: Simulation, server: EmulatedServer) -> None:
        clients = [await RawClient.dial(server.listeners[0].address) for _ in range(3)]
        await until(lambda: len(server.connections) == 3)
        for number, client in enumerate(clients):
            client.transport.write(request(f"t{number}"))
        assert sorted([await client.answer() for client in clients]) == [200, 200, 503]
        fates = sorted(a.outcome.value for a in stage.event_log.arrivals)
        assert fates == ["ran", "ran", "turned away"]
        for client in clients:
            client.transport.abort()

    on_both_clocks(script, kind=KIND + "connections = 2\n")


def test_a_rack_drops_a_repeat_whichever_of_its_servers_gets_it() -> None:
    async def script(stage: Simulation, server: EmulatedServer) -> None:
        other, elsewhere = stage.servers["east-2"], stage.servers["west-1"]
        for each in (other, elsewhere):
            each.start(cold=False)
        for number in range(4):
            stage.event_log.attempts[f"t{number}"] = ClientAttempt(
                f"t{number}", 0, number, KEYED, "one-key", 1.0
            )
        for number, there in enumerate((server, other, server, elsewhere)):
            client = await RawClient.dial(there.listeners[0].address)
            client.transport.write(request(f"t{number}", KEYED))
            assert await client.answer() == 200
            client.transport.abort()
        fates = [a.outcome for a in stage.event_log.arrivals]
        assert fates == [
            ServerOutcome.COMPLETED,
            ServerOutcome.DEDUPLICATED,
            ServerOutcome.DEDUPLICATED,
            ServerOutcome.COMPLETED,
        ]

    on_both_clocks(script)


def test_the_window_of_a_rack_is_exact_on_sockets() -> None:
    """At 1.199 s after the start of the first run dropped, at 1.201 s run."""

    async def script(stage: Simulation, server: EmulatedServer) -> None:
        other = stage.servers["east-2"]
        other.start(cold=False)
        for number, (after_s, fate) in enumerate(
            [(1.199, ServerOutcome.DEDUPLICATED), (1.201, ServerOutcome.COMPLETED)]
        ):
            first, second = f"f{number}", f"s{number}"
            for id_ in (first, second):
                stage.event_log.attempts[id_] = ClientAttempt(id_, 0, number, KEYED, f"key-{number}", 1.0)
            clients = [await RawClient.dial(each.listeners[0].address) for each in (server, other)]
            await asyncio.sleep(0.1)
            clients[0].transport.write(request(first, KEYED))
            assert await clients[0].answer() == 200
            started_s = stage.event_log.arrivals[-1].started_s or 0.0
            # One trip over the wire in memory, and the hall's.
            trips_s = 0.00005 + server.one_way_delay_s(0)
            await asyncio.sleep(started_s + after_s - trips_s - stage.loop.time())
            clients[1].transport.write(request(second, KEYED))
            assert await clients[1].answer() == 200
            arrival = stage.event_log.arrivals[-1]
            assert (arrival.started_s or 0.0) - started_s == pytest.approx(after_s, abs=1e-6)
            assert arrival.outcome is fate

    small = day()
    scheduler = Scheduler()
    loop = scheduler.new_loop("world")
    network = MemoryNetwork(loop)
    stage = Simulation(small, loop)
    stage.new_listener = lambda factory: MemoryListener(loop, network, factory)

    async def main() -> None:
        stage.prepare()
        stage.servers["east-1"].start(cold=False)
        await script(stage, stage.servers["east-1"])

    scheduler.run(loop, main(), 1000.0)


def test_a_new_connection_costs_its_price_and_only_once() -> None:
    async def script(stage: Simulation, server: EmulatedServer) -> None:
        client = await RawClient.dial(server.listeners[0].address)
        for number in range(2):
            client.transport.write(request(f"t{number}"))
            assert await client.answer() == 200
        client.transport.abort()
        first, second = ((a.ended_s or 0.0) - (a.started_s or 0.0) for a in stage.event_log.arrivals)
        assert 1000.0 * first == pytest.approx(10.0 + 25.0, abs=0.5)
        assert 1000.0 * second == pytest.approx(10.0, abs=0.5)

    on_both_clocks(script, kind=KIND + "handshake_ms = 25\n")


def test_halls_lie_apart_by_their_delay() -> None:
    result, of = played(more="", clients="proxies = 2\nrate_per_s = 40\n[net]\nsame_ms = 1\ncross_ms = 60")
    trips: dict[bool, list[float]] = {True: [], False: []}
    for arrival in result.event_log.arrivals:
        same = result.specs[arrival.server].zone == result.scenario.zone_of(arrival.proxy)
        trips[same].append(
            1000.0 * (arrival.arrived_s - result.event_log.attempts[arrival.attempt_id].sent_s)
        )
    assert 1.0 <= min(trips[True]) < 5.0
    assert 60.0 <= min(trips[False]) < 65.0
    assert not of.broken


def test_reports_are_noisy_by_their_number_and_not_by_the_asking() -> None:
    from client_proxy.emulator.process_model import ProcessModel, ServerRequest
    from client_proxy.emulator.scenario import LoadReportSettings, ServerType

    machine = ProcessModel(
        "m",
        ServerType("k", cores=4),
        LoadReportSettings(period_ms=100.0, delay_ms=0.0, noise=0.2),
        0.0,
        seed=3,
    )
    for _ in range(4):
        machine.offer(ServerRequest(None, 1e9, 0.0))
    told = []
    for step in range(1, 60):
        machine.advance(step * 0.1)
        told.append(machine.report(step * 0.1)["inflight"])
        assert machine.report(step * 0.1)["inflight"] == told[-1]
    seen = {value for value in told if value}
    assert len(seen) > 30
    assert 2.0 < min(seen) < 4.0 < max(seen) < 8.0


def test_discovery_gives_whole_lists_changes_and_an_empty_line_when_there_are_none() -> None:
    async def script(stage: Simulation, server: EmulatedServer) -> None:
        registry = stage.registry
        registry.publish("east-1", "ready", 0)
        registry.start()

        async def lines(path: str) -> tuple[RawClient, str]:
            client = await RawClient.dial(registry.listeners[0].address)
            client.transport.write(f"GET {path} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            return client, (await client.reader.readuntil(b"\r\n\r\n")).decode()

        async def chunk(client: RawClient) -> bytes:
            size = int(await client.reader.readuntil(b"\r\n"), 16)
            return (await client.reader.readexactly(size + 2))[:-2]

        whole, head = await lines("/v1/endpoints")
        body = json.loads(await whole.reader.readexactly(int(head.split("Content-Length: ")[1].split()[0])))
        (entry,) = body["endpoints"]
        host, port = server.listeners[0].address
        assert body["snapshot"]
        assert entry["name"] == "east-1"
        assert entry["address"] == f"{host}:{port}"
        nothing, _ = await lines(f"/v1/endpoints?follow=1&since={body['index']}")
        assert await chunk(nothing) == b"\n"
        registry.publish("east-1", "draining", 0)
        change = json.loads(await chunk(nothing))
        assert not change["snapshot"]
        assert change["endpoints"][0]["status"] == "draining"
        gap, _ = await lines("/v1/endpoints?follow=1&since=999")  # of another service, or another life
        assert json.loads(await chunk(gap))["snapshot"]
        _, missing = await lines("/v1/none")
        assert " 404 " in missing
        told = [(t.server, t.status) for t in stage.event_log.notifications if t.proxy == 0]
        assert ("east-1", "draining") in told
        registry.begin_outage("503")
        _, down = await lines("/v1/endpoints")
        assert " 503 " in down
        registry.close()

    on_both_clocks(script)
