"""Lists longer than the connections that a proxy may hold, with a model of the transport."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.api.actions import Action, Reject, Send
from client_proxy.api.events import (
    AttemptEnded,
    EndpointState,
    Event,
    ListedEndpoint,
    Outcome,
    RequestArrived,
)
from client_proxy.api.settings import Settings
from client_proxy.balancer.balancer import Balancer
from client_proxy.routing import connected
from client_proxy.routing.connected import KEPT_SHARE
from client_proxy.warm_state.in_flight_handover import InFlightHandover
from tests.driver import SAFE, SETTINGS, Driver, endpoint, full

ALONE = replace(SETTINGS, proxies=1)


def with_connection_limit(connections: int | None, settings: Settings = ALONE) -> Settings:
    return replace(settings, limits=replace(settings.limits, connections=connections))


def list_servers(count: int) -> list[ListedEndpoint]:
    return [endpoint(f"s{n:03d}", zone=f"z{n % 20}", cell=n % 7) for n in range(count)]


class Transport:
    """Connections as the proxy's transport keeps them: at the limit the one idle longest is closed."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self.open: dict[str, None] = {}  # one connection for each server; the latest used last
        self.dials = 0

    def use(self, name: str) -> None:
        if name in self.open:
            del self.open[name]
        else:
            self.dials += 1
            while len(self.open) >= self._max_connections:
                del self.open[next(iter(self.open))]
        self.open[name] = None


class RequestRunner:
    """Sends requests one by one through a balancer; each is answered unless its server is down."""

    def __init__(
        self, settings: Settings, servers: list[ListedEndpoint], max_connections: int, seed: int = 1
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.transport = Transport(max_connections)
        self.down: set[str] = set()
        self.sent_counts: Counter[str] = Counter()
        self._number = 0
        self._random = Random(seed)
        self.balancer.handle(0.0, [full(*servers)])

    def handle_event(self, event: Event) -> list[Action]:
        return self.balancer.handle(self.balancer.now_ms, [event])

    def send_request(self, class_name: str = "safe") -> str:
        """Send a request; return the server that got its first attempt, or "" if none did."""
        self._number += 1
        now_ms = self.balancer.now_ms + 4.0
        actions = self.balancer.handle(now_ms, [RequestArrived(self._number, class_name)])
        sends = [each for each in actions if isinstance(each, Send)]
        if not sends:
            return ""
        name = sends[0].endpoint
        self.transport.use(name)
        self.sent_counts[name] += 1
        took_ms = min(3.9, self._random.lognormvariate(0.0, 0.5))
        if name in self.down:
            self.transport.open.pop(name)
            ended = AttemptEnded(self._number, 0, Outcome.CONNECT_FAILED, took_ms)
        else:
            ended = AttemptEnded(self._number, 0, Outcome.OK, took_ms, answered=True)
        self.balancer.handle(now_ms + took_ms, [ended])
        return name


def dials_per_request(settings: Settings, count: int, max_connections: int) -> float:
    runner = RequestRunner(settings, list_servers(count), max_connections)
    for _ in range(4 * count):
        runner.send_request()
    before = runner.transport.dials
    for _ in range(2000):
        assert runner.send_request()
    return (runner.transport.dials - before) / 2000


def test_requests_rarely_dial_however_long_the_list_is() -> None:
    for count in (120, 680):
        assert (
            dials_per_request(with_connection_limit(None), count, 60) > 0.4
        )  # the limit is not known to the balancer
        assert dials_per_request(with_connection_limit(60), count, 60) < 0.01


def replay_actions(settings: Settings, count: int) -> Iterator[list[Action]]:
    balancer, random = Balancer(settings, 7), Random(3)
    yield balancer.handle(0.0, [full(*list_servers(count))])
    for number in range(600):
        now_ms = balancer.now_ms + 3.0
        name = random.choice(["safe", "unsafe", "keyed"])
        yield balancer.handle(now_ms, [RequestArrived(number, name)])
        outcome = random.choice([Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.CONNECT_FAILED])
        ended = AttemptEnded(number, 0, outcome, 2.0, answered=outcome is Outcome.OK)
        yield balancer.handle(now_ms + 2.0, [ended])


@pytest.mark.parametrize(("count", "connections"), [(10, 320), (60, 181), (60, 60), (200, 320), (200, 200)])
def test_lists_shorter_than_the_connections_are_used_as_before(count: int, connections: int) -> None:
    before = list(replay_actions(with_connection_limit(None), count))
    assert list(replay_actions(with_connection_limit(connections), count)) == before


def test_every_server_is_used_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connected, "ANY_ENDPOINT_SHARE", 1 / 20)  # ten times as often, to keep the test short
    runner = RequestRunner(with_connection_limit(40), list_servers(100), 40)
    for _ in range(8000):
        runner.send_request()
    assert len(runner.sent_counts) == 100
    assert max(runner.sent_counts.values()) < 8 * 8000 / 100


def test_proxies_with_the_same_ring_position_load_all_servers() -> None:
    # All have the same position on the ring: if each used a part of it, they would overload the same servers.
    load: Counter[str] = Counter()
    for seed in range(60):
        runner = RequestRunner(with_connection_limit(80), list_servers(200), 80, seed)
        for _ in range(500):
            runner.send_request()
        load += runner.sent_counts
    assert len(load) == 200
    assert max(load.values()) < 1.8 * 60 * 500 / 200
    assert min(load.values()) > 0.4 * 60 * 500 / 200


def test_a_change_of_one_server_keeps_the_other_connected_servers() -> None:
    servers = list_servers(200)
    runner = RequestRunner(with_connection_limit(80), servers, 80)
    for _ in range(800):
        runner.send_request()
    kept = runner.balancer.connected_endpoints

    def connected_names() -> set[str]:
        known = runner.balancer.endpoint_set.endpoints
        return {name for name, each in known.items() if each in kept}

    before = connected_names()
    assert len(before) == int(KEPT_SHARE * 80)
    removed = min(before)
    runner.handle_event(full(*(each for each in servers if each.name != removed), endpoint("new")))
    assert connected_names() == before - {removed}
    drained = min(connected_names())
    remaining = [
        replace(each, state=EndpointState.DRAINING) if each.name == drained else each
        for each in servers
        if each.name != removed
    ]
    runner.handle_event(full(*remaining))
    assert connected_names() == before - {removed, drained}


def test_a_policy_change_keeps_the_connected_servers() -> None:
    servers = list_servers(200)
    runner = RequestRunner(with_connection_limit(80), servers, 80)
    for _ in range(800):
        runner.send_request()
    before = runner.balancer
    kept = [each.listed.name for each in before.connected_endpoints]
    restarted = min(kept)
    runner.balancer = Balancer(with_connection_limit(80), 9)
    changed = [replace(each, started_ms=5.0) if each.name == restarted else each for each in servers]
    runner.balancer.handle(before.now_ms, [full(*changed)])
    InFlightHandover(runner.balancer).take_over(before)
    assert [e.listed.name for e in runner.balancer.connected_endpoints] == [n for n in kept if n != restarted]
    dials = runner.transport.dials
    for _ in range(300):
        assert runner.send_request()
    assert runner.transport.dials - dials < 10


def test_failed_servers_are_avoided_at_once_while_others_are_ready() -> None:
    runner = RequestRunner(with_connection_limit(40), list_servers(120), 40)
    for _ in range(600):
        runner.send_request()
    known = runner.balancer.endpoint_set.endpoints
    runner.down = {name for name, each in known.items() if each in runner.balancer.connected_endpoints}
    assert len(runner.down) == int(KEPT_SHARE * 40)
    targets = [runner.send_request() for _ in range(400)]
    assert all(targets)
    assert sum(name in runner.down for name in targets[:200]) < 60
    assert sum(name in runner.down for name in targets[200:]) < 10


def test_cold_servers_get_no_more_than_slow_start_allows() -> None:
    cold = endpoint("cold", started_ms=0.0)
    sent = {}
    for connections in (None, 40):
        runner = RequestRunner(with_connection_limit(connections), [*list_servers(100), cold], 40)
        for _ in range(1500):
            runner.send_request()
        sent[connections] = runner.sent_counts["cold"]
    assert sent[40] <= sent[None] + 5


def test_keyed_retries_go_to_another_server_of_the_same_zone() -> None:
    servers = list_servers(150)
    driver = Driver(with_connection_limit(60), servers)
    driver.serve(400, latency_ms=4.0)
    assert driver.balancer.connected_endpoints.connections_are_short
    zone = {each.name: each.zone for each in servers}
    for _ in range(50):
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.ERROR)
        driver.wait(500.0)
        targets = driver.sent[request]
        if len(targets) > 1:
            assert targets[0] != targets[1]
            assert zone[targets[0]] == zone[targets[1]]
            driver.end(request, Outcome.OK)
    assert sum(len(targets) > 1 for targets in driver.sent.values()) >= 8


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["call", "call", "call", "down", "up", "drain", "ready", "drop", "add", "restart"]),
        st.integers(0, 10_000),
    ),
    max_size=80,
)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 50), st.integers(34, 90), STEPS, st.integers(0, 5))
def test_invariants_hold_for_any_list_changes(
    connections: int, count: int, steps: list[tuple[str, int]], seed: int
) -> None:
    servers = {each.name: each for each in list_servers(count)}
    runner = RequestRunner(with_connection_limit(connections), list(servers.values()), connections, seed)
    max_kept = max(2, int(KEPT_SHARE * connections))
    for kind, number in steps:
        name = sorted(servers)[number % len(servers)]
        state = EndpointState.DRAINING if kind == "drain" else EndpointState.READY
        if kind == "call":
            for _ in range(1 + number % 60):
                target = runner.send_request(["safe", "keyed", "unsafe"][number % 3])
                ready = {n for n, each in servers.items() if each.state is EndpointState.READY}
                assert not target or target in ready
                # The request is sent as long as a ready server has not failed.
                assert target or not ready - runner.down
        elif kind == "down":
            runner.down.add(name)
        elif kind == "up":
            runner.down.discard(name)
        elif kind in ("drain", "ready"):
            servers[name] = replace(servers[name], state=state)
        elif kind == "drop" and len(servers) > 1:
            del servers[name]
        elif kind == "add":
            servers[f"n{number}"] = endpoint(f"n{number}")
        elif kind == "restart":
            servers[name] = replace(servers[name], started_ms=float(number))
        if kind not in ("call", "down", "up"):
            runner.handle_event(full(*servers.values()))
        kept = runner.balancer.connected_endpoints
        known = runner.balancer.endpoint_set.endpoints
        in_use = [n for n, each in known.items() if each in kept]
        assert len(in_use) == len(kept) <= max_kept  # no unlisted server, and no more than the limit
        assert all(servers[n].state is EndpointState.READY for n in in_use)


def test_requests_wait_only_while_no_server_is_ready() -> None:
    runner = RequestRunner(with_connection_limit(40), list_servers(100), 40)
    for _ in range(300):
        assert runner.send_request()
    drained = [replace(each, state=EndpointState.DRAINING) for each in list_servers(100)]
    runner.handle_event(full(*drained))
    assert runner.send_request() == ""  # the request is pending
    actions = runner.handle_event(full(*drained[1:], list_servers(1)[0]))
    assert [each.endpoint for each in actions if isinstance(each, Send)] == ["s000"]
    assert not any(isinstance(each, Reject) for each in runner.handle_event(RequestArrived(10**6, SAFE.name)))
