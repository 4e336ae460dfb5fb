"""What a large fleet of proxies needs, tried on one of them: a subset of the servers, a share of the work."""

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

LARGE = replace(SETTINGS, proxies=300)
FLEET = [endpoint(f"s{i}", "a", i // 8) for i in range(60)]


def pool(ordinal: int) -> Pool:
    driver = Driver(replace(LARGE, ordinal=ordinal), FLEET)
    return driver.balancer.endpoint_set.local


def test_subset_is_small_and_kept() -> None:
    """Danger: a spread over all servers costs connections, and shows too little of each."""
    driver = Driver(LARGE, FLEET)
    driver.serve(200)
    assert len({servers[0] for servers in driver.sent.values()}) == MIN_SUBSET_SIZE


def test_few_proxies_use_all_servers() -> None:
    driver = Driver(SETTINGS, FLEET[:10])
    driver.serve(200)
    assert len({servers[0] for servers in driver.sent.values()}) == 10


def test_subsets_of_all_proxies_lie_evenly() -> None:
    used = Counter(e.listed.name for ordinal in range(300) for e in pool(ordinal).endpoints_in_use(1000.0))
    assert len(used) == 60
    assert min(used.values()) > 0.7 * 300 * MIN_SUBSET_SIZE / 60
    assert max(used.values()) < 1.3 * 300 * MIN_SUBSET_SIZE / 60


def test_suspended_servers_of_the_subset_are_replaced() -> None:
    own = pool(0)
    for server in own.ring[:3]:
        server.pause(1000.0, 5000.0, 5000.0)
    assert own.endpoints_in_use(1001.0) == own.ring[3 : 3 + MIN_SUBSET_SIZE]


def test_cold_servers_do_not_count_to_the_subset() -> None:
    cold = [endpoint(e.name, e.zone, e.cell, started_ms=990) for e in FLEET[:MIN_SUBSET_SIZE]]
    driver = Driver(LARGE, [*cold, *FLEET[MIN_SUBSET_SIZE:]])
    own = driver.balancer.endpoint_set.local
    used = own.endpoints_in_use(1000.0)
    assert sum(e.listed.started_ms is None for e in used) == MIN_SUBSET_SIZE


def test_a_cold_server_is_fed_more_while_it_bears_it_and_less_if_it_is_slower() -> None:
    """Danger: while many are cold, work waits at the others and these idle; and a slow one is pushed over."""
    cold = [replace(endpoint(f"c{n}", started_ms=990), weight=w) for n, w in enumerate((1.0, 0.5, 4.0))]
    driver = Driver(LARGE, [*FLEET, *cold])
    driver.serve(50)
    own, known = driver.balancer.endpoint_set.local, driver.balancer.endpoint_set.endpoints

    def rate(name: str) -> float:
        return own.slow_start_rate(driver.now_ms, known[name], 0.5)

    usual = rate("c0")
    assert 0.45 < rate("c1") / usual < 0.55
    assert rate("c2") / usual < 1.1
    known["c0"].saturation = 1.01
    assert 1.9 < usual / rate("c0") < 2.1
    # Never past the push that it must not exceed, at the warm servers' rate.
    push = (
        LARGE.safety.slow_start_limit_multiple * 0.5 * own.work_rate.per_ms(driver.now_ms) / own.subset_size
    )
    assert usual <= 2 / 3 * push * 1.001


def test_gate_admits_its_share() -> None:
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


def test_gate_recovers_with_answers_in_time() -> None:
    gate = AdmissionGate()
    for _ in range(20):
        gate.record_answer(late=True)
    assert gate.share < 0.2
    for _ in range(50):
        gate.record_answer(late=False)
    assert gate.share == 1.0


def test_crowded_fleet_is_sent_less() -> None:
    """Danger: no limit on own requests holds back a crowd of proxies that have one each."""
    driver = Driver(LARGE, FLEET)
    for latency_ms, most in ((50, 61), (490, 61), (490, 30)):
        before = len(driver.sent)
        for _ in range(60):
            request, _ = driver.request()
            driver.wait(latency_ms)
            if request in driver.sent:
                driver.end(request, Outcome.OK, latency_ms)
        assert 0 < len(driver.sent) - before < most


def test_what_the_gate_keeps_back_is_refused_at_once() -> None:
    """Danger: refused after a wait, the client's next try is late before it comes."""
    driver = Driver(LARGE, FLEET)
    driver.balancer.endpoint_set.local.admission_gate.share = 0.01
    request, actions = driver.request()
    assert actions == [Reject(request)]


def test_an_attempt_counts_as_late_before_it_times_out() -> None:
    """Danger: told by time-outs, a crowd is noticed a whole deadline after it began."""
    driver = Driver(LARGE, FLEET)
    driver.serve(50)
    gate = driver.balancer.endpoint_set.local.admission_gate
    request, _ = driver.request()
    driver.wait(400)
    assert gate.share < 1
    share = gate.share
    driver.end(request, Outcome.TIMEOUT, 500)
    assert gate.share == share


def test_gate_rests_where_few_share_the_servers() -> None:
    driver = Driver(SETTINGS, FLEET[:10])
    for _ in range(10):
        request, actions = driver.request()
        if actions:
            driver.wait(500)
            driver.end(request, Outcome.TIMEOUT, 500)
    assert driver.balancer.endpoint_set.local.admission_gate.share == 1


def test_dear_classes_are_admitted_first_and_the_worst_served_counts() -> None:
    """Danger: shed blindly, the work that earns most goes with the rest; the cheapest class starves."""
    objective = Objective(overall=0.8, worst_class=0.2)
    demand = ClassDemand(replace(LARGE, objective=objective))
    for _ in range(200):
        demand.request_arrived("safe", 10)
        demand.request_arrived("unsafe", 10)
    assert demand.admitted_share("unsafe", 0.5) > 0.95
    assert demand.admitted_share("safe", 0.5) < 0.05
    for _ in range(100):
        demand.request_ended("keyed", 0.0)
    assert demand.classes_by_gain()[0] == "keyed"


def test_unanswered_time_out_pauses_a_server_only_while_the_fleet_is_not_crowded() -> None:
    """Danger: a hung server turns nothing away; but in a crowd, pauses crowd the others."""
    for share, paused in ((1.0, True), (0.3, False)):
        driver = Driver(LARGE, FLEET)
        driver.balancer.endpoint_set.local.admission_gate.share = share
        while not driver.sent:
            request, _ = driver.request("unsafe")
        driver.wait(500)
        driver.end(request, Outcome.TIMEOUT, 500)
        server = driver.balancer.endpoint_set.endpoints[driver.sent[request][0]]
        assert server.suspended(driver.now_ms) == paused
