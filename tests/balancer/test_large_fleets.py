"""One proxy among many: it uses a subset of the servers and admits only a share of the work."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from client_proxy.api.actions import Reject
from client_proxy.api.events import Outcome
from client_proxy.api.settings import Objective
from client_proxy.balancer.class_demand import ClassDemand
from client_proxy.balancer.pool import MIN_SUBSET_SIZE, Pool
from client_proxy.limits.admission import AdmissionGate
from tests.driver import SETTINGS, Driver, endpoint

MANY_PROXIES = replace(SETTINGS, proxies=300)
FLEET = [endpoint(f"s{i}", "a", i // 8) for i in range(60)]


def make_pool(ordinal: int) -> Pool:
    driver = Driver(replace(MANY_PROXIES, ordinal=ordinal), FLEET)
    return driver.balancer.endpoint_set.local


def test_proxy_among_many_keeps_to_a_small_subset() -> None:
    """Using all servers would need too many connections and give too few samples of each."""
    driver = Driver(MANY_PROXIES, FLEET)
    driver.serve(200)
    assert len({servers[0] for servers in driver.sent.values()}) == MIN_SUBSET_SIZE


def test_few_proxies_use_all_servers() -> None:
    driver = Driver(SETTINGS, FLEET[:10])
    driver.serve(200)
    assert len({servers[0] for servers in driver.sent.values()}) == 10


def test_subsets_of_all_proxies_cover_the_servers_evenly() -> None:
    used = Counter(
        e.listed.name for ordinal in range(300) for e in make_pool(ordinal).endpoints_in_use(1000.0)
    )
    assert len(used) == 60
    assert min(used.values()) > 0.7 * 300 * MIN_SUBSET_SIZE / 60
    assert max(used.values()) < 1.3 * 300 * MIN_SUBSET_SIZE / 60


def test_suspended_servers_of_the_subset_are_replaced() -> None:
    pool = make_pool(0)
    for server in pool.ring[:3]:
        server.pause(1000.0, 5000.0, 5000.0)
    assert pool.endpoints_in_use(1001.0) == pool.ring[3 : 3 + MIN_SUBSET_SIZE]


def test_servers_in_slow_start_do_not_count_towards_the_subset_size() -> None:
    starting = [endpoint(e.name, e.zone, e.cell, started_ms=990) for e in FLEET[:MIN_SUBSET_SIZE]]
    driver = Driver(MANY_PROXIES, [*starting, *FLEET[MIN_SUBSET_SIZE:]])
    pool = driver.balancer.endpoint_set.local
    used = pool.endpoints_in_use(1000.0)
    assert sum(e.listed.started_ms is None for e in used) == MIN_SUBSET_SIZE


def test_slow_start_rate_is_higher_until_saturation_and_lower_for_slower_servers() -> None:
    """Servers that warm up must not be idle while work is queued at warm ones, nor be overloaded."""
    starting = [replace(endpoint(f"c{n}", started_ms=990), weight=w) for n, w in enumerate((1.0, 0.5, 4.0))]
    driver = Driver(MANY_PROXIES, [*FLEET, *starting])
    driver.serve(50)
    pool, endpoints = driver.balancer.endpoint_set.local, driver.balancer.endpoint_set.endpoints

    def rate(name: str) -> float:
        return pool.slow_start_rate(driver.now_ms, endpoints[name], 0.5)

    usual = rate("c0")
    assert 0.45 < rate("c1") / usual < 0.55
    assert rate("c2") / usual < 1.1
    endpoints["c0"].saturation = 1.01
    assert 1.9 < usual / rate("c0") < 2.1
    # The rate stays below the slow-start limit, computed from the rate to a warm server.
    slow_start_limit = (
        MANY_PROXIES.safety.slow_start_limit_multiple
        * 0.5
        * pool.work_rate.per_ms(driver.now_ms)
        / pool.subset_size
    )
    assert usual <= 2 / 3 * slow_start_limit * 1.001


def test_admission_gate_admits_its_share() -> None:
    gate = AdmissionGate()
    while gate.share > 0.5:
        gate.record_answer(late=True)
    admitted = 0
    for _ in range(1000):
        gate.offer("", 10.0, gate.share)
        if gate.admits("", 10.0):
            gate.take("", 10.0)
            admitted += 1
    assert 400 < admitted < 500


def test_admission_gate_recovers_with_answers_in_time() -> None:
    gate = AdmissionGate()
    for _ in range(20):
        gate.record_answer(late=True)
    assert gate.share < 0.2
    for _ in range(50):
        gate.record_answer(late=False)
    assert gate.share == 1.0


def test_congested_fleet_is_sent_fewer_requests() -> None:
    """Limits on each proxy's own requests do not restrain many proxies with one request each."""
    driver = Driver(MANY_PROXIES, FLEET)
    for latency_ms, max_sent in ((50, 61), (490, 61), (490, 30)):
        before = len(driver.sent)
        for _ in range(60):
            request, _ = driver.request()
            driver.wait(latency_ms)
            if request in driver.sent:
                driver.end(request, Outcome.OK, latency_ms)
        assert 0 < len(driver.sent) - before < max_sent


def test_request_not_admitted_by_the_gate_is_rejected_at_once() -> None:
    """If a request were rejected only after a wait, the client's retry would come too late."""
    driver = Driver(MANY_PROXIES, FLEET)
    driver.balancer.endpoint_set.local.admission_gate.share = 0.01
    request, actions = driver.request()
    assert actions == [Reject(request)]


def test_an_attempt_counts_as_late_before_it_times_out() -> None:
    """From time-outs alone, congestion would be noticed only a whole deadline after it began."""
    driver = Driver(MANY_PROXIES, FLEET)
    driver.serve(50)
    gate = driver.balancer.endpoint_set.local.admission_gate
    request, _ = driver.request()
    driver.wait(400)
    assert gate.share < 1
    share = gate.share
    driver.end(request, Outcome.TIMEOUT, 500)
    assert gate.share == share


def test_admission_gate_is_unused_with_few_proxies_per_server() -> None:
    driver = Driver(SETTINGS, FLEET[:10])
    for _ in range(10):
        request, actions = driver.request()
        if actions:
            driver.wait(500)
            driver.end(request, Outcome.TIMEOUT, 500)
    assert driver.balancer.endpoint_set.local.admission_gate.share == 1


def test_most_valuable_class_is_admitted_first_and_the_worst_served_class_counts_more() -> None:
    """Shedding all classes alike loses the most valuable work; by value alone, the cheapest would starve."""
    objective = Objective(overall=0.8, worst_class=0.2)
    demand = ClassDemand(replace(MANY_PROXIES, objective=objective))
    for _ in range(200):
        demand.request_arrived("safe", 10)
        demand.request_arrived("unsafe", 10)
    assert demand.admitted_share("unsafe", 0.5) > 0.95
    assert demand.admitted_share("safe", 0.5) < 0.05
    for _ in range(100):
        demand.request_ended("keyed", 0.0)
    assert demand.classes_by_gain()[0] == "keyed"


def test_unanswered_time_out_pauses_a_server_only_without_congestion() -> None:
    """A hung server rejects nothing, so a time-out pauses it. In congestion a pause would load the others."""
    for share, paused in ((1.0, True), (0.3, False)):
        driver = Driver(MANY_PROXIES, FLEET)
        driver.balancer.endpoint_set.local.admission_gate.share = share
        while not driver.sent:
            request, _ = driver.request("unsafe")
        driver.wait(500)
        driver.end(request, Outcome.TIMEOUT, 500)
        server = driver.balancer.endpoint_set.endpoints[driver.sent[request][0]]
        assert server.is_suspended(driver.now_ms) == paused
