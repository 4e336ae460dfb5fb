"""Tests of counting the attempts of an earlier balancer at the active one."""

from __future__ import annotations

from client_proxy.api.events import Outcome
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.request import Request
from client_proxy.warm_state.capture import capture_snapshot
from client_proxy.warm_state.in_flight_handover import InFlightHandover
from client_proxy.warm_state.restore import restore_snapshot
from tests.driver import SETTINGS, Driver, endpoint, full
from tests.warm_state.builders import make_cold_balancer


def test_attempts_of_an_earlier_balancer_count_at_the_new_one() -> None:
    driver = Driver()
    request, _ = driver.request()
    server = driver.sent[request][-1]
    balancer = make_cold_balancer(driver)
    handover = InFlightHandover(balancer)
    handover.take_over(driver.balancer)
    known = balancer.endpoint_set.endpoints[server]
    assert known.in_flight == 1
    handover.sent(server, None)
    assert known.in_flight == 2
    balancer.handle(driver.now_ms + 500, [])
    handover.ended(server, None, Outcome.OK)
    assert known.in_flight == 1
    assert known.awaiting_since_ms == driver.now_ms + 500
    handover.ended(server, None, Outcome.TIMEOUT)
    handover.ended(server, None, Outcome.TIMEOUT)
    assert known.in_flight == 0
    balancer.handle(driver.now_ms + 900, [])
    handover.sent(server, None)
    assert known.awaiting_since_ms == driver.now_ms + 900  # no attempt was in flight before
    handover.ended(server, None, Outcome.CANCELLED)
    handover.sent(server, 77.0)  # this attempt is for another start time of the server
    assert known.in_flight == 0


def test_a_cold_server_gets_requests_from_one_balancer_of_an_instance_only() -> None:
    driver = Driver(endpoints=(endpoint("cold", started_ms=900.0),))
    driver.wait(1000.0)
    old, new = driver.balancer, Balancer(SETTINGS, 9)
    request = Request(1, SETTINGS.classes[0], 0.0, 1e9, 1.0)
    cold = old.endpoint_set.endpoints["cold"]
    assert old.guard.slow_start_allows(request, cold)
    new.handle(driver.now_ms, [full(endpoint("cold", started_ms=900.0))])
    restore_snapshot(new, capture_snapshot(old))
    InFlightHandover(new).take_over(old)
    assert new.guard.slow_start_allows(request, new.endpoint_set.endpoints["cold"])
    driver.wait(5000.0)
    old.handle(driver.now_ms, [])
    assert not old.guard.slow_start_allows(request, cold)
