"""Candidates of a large pool are drawn at random instead of scanned: as evenly, and only usable servers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from statistics import pstdev

import pytest

from client_proxy.api.actions import Send
from client_proxy.api.events import AttemptEnded, EndpointState, Outcome, RequestArrived
from client_proxy.balancer import endpoint_selection
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.pool import MAX_SCANNED_POOL, Pool
from tests.driver import KEYED, SAFE, SETTINGS, Driver, endpoint, full

POOL_SIZE = 150
SINGLE_PROXY = replace(SETTINGS, proxies=1)


def count_sends(balancer: Balancer, count: int, class_name: str = "safe") -> Counter[str]:
    """Serve requests one after the other with varying latencies; returns the number of sends by server.

    With equal latencies for all, the smallest differences in statistics alone would decide each pick.
    """
    sends_by_server: Counter[str] = Counter()
    random = Random(5)
    for number in range(count):
        now_ms = balancer.now_ms + 20.0
        (send,) = [
            a
            for a in balancer.handle(now_ms, [RequestArrived(10_000 + number, class_name)])
            if isinstance(a, Send)
        ]
        sends_by_server[send.endpoint] += 1
        latency_ms = min(19.0, random.lognormvariate(2.3, 0.6))
        balancer.handle(
            now_ms + latency_ms, [AttemptEnded(10_000 + number, 0, Outcome.OK, latency_ms, answered=True)]
        )
    return sends_by_server


def make_balancer(count: int, seed: int = 1) -> Balancer:
    balancer = Balancer(SINGLE_PROXY, seed)
    balancer.handle(0.0, [full(*(endpoint(f"s{n:03d}", cell=n % 7) for n in range(count)))])
    return balancer


def test_pool_at_the_scan_limit_is_scanned(monkeypatch: pytest.MonkeyPatch) -> None:
    small = count_sends(make_balancer(MAX_SCANNED_POOL), 300)
    monkeypatch.setattr(endpoint_selection, "MAX_SCANNED_POOL", 10_000)  # pools of any size are scanned
    assert count_sends(make_balancer(MAX_SCANNED_POOL), 300) == small


def test_large_pools_are_used_evenly_whether_scanned_or_drawn_from(monkeypatch: pytest.MonkeyPatch) -> None:
    drawn = count_sends(make_balancer(POOL_SIZE), 3000)
    monkeypatch.setattr(endpoint_selection, "MAX_SCANNED_POOL", 10_000)
    scanned = count_sends(make_balancer(POOL_SIZE), 3000)
    assert len(drawn) == len(scanned) == POOL_SIZE
    # The mean is 20 per server, with a standard deviation of 4.5 by chance alone.
    assert pstdev(drawn.values()) < 1.2 * pstdev(scanned.values()) < 9.0


def test_large_pool_is_not_scanned_if_draws_find_two_candidates(monkeypatch: pytest.MonkeyPatch) -> None:
    balancer = make_balancer(POOL_SIZE)
    monkeypatch.setattr(Pool, "endpoints_in_use", lambda *_: pytest.fail("scanned the whole pool"))
    count_sends(balancer, 200)


def test_the_only_usable_server_among_many_is_found() -> None:
    balancer = make_balancer(POOL_SIZE)
    for server in balancer.endpoint_set.endpoints.values():
        if server.listed.name != "s123":
            server.paused_until_ms = 1e9
    assert count_sends(balancer, 5) == {"s123": 5}


def test_nothing_goes_to_draining_servers() -> None:
    balancer = make_balancer(POOL_SIZE)
    listed = [endpoint(f"s{n:03d}", cell=n % 7) for n in range(POOL_SIZE)]
    drained = {server.name for server in listed[::2]}
    balancer.handle(
        1.0,
        [full(*(replace(e, state=EndpointState.DRAINING) if e.name in drained else e for e in listed))],
    )
    assert not drained & set(count_sends(balancer, 500))


def test_retry_goes_to_another_server_of_the_same_deduplication_group() -> None:
    endpoints = [endpoint(f"s{n:03d}", zone=f"z{n % 20}") for n in range(POOL_SIZE)]
    driver = Driver(replace(SINGLE_PROXY, classes=(SAFE, KEYED)), endpoints)
    zone = {server.name: server.zone for server in endpoints}
    for _ in range(50):
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.ERROR)
        driver.wait(500.0)
        servers = driver.sent[request]
        if len(servers) > 1:
            assert servers[0] != servers[1]
            assert zone[servers[0]] == zone[servers[1]]
            driver.end(request, Outcome.OK)
    assert sum(len(servers) > 1 for servers in driver.sent.values()) >= 8
