"""Failures that appeared in simulations of whole fleets, each reproduced on the decisions alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from client_proxy.api.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind, Outcome
from client_proxy.api.policy_hook import PickContext
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.endpoint_selection import SLOW_START_IN_FLIGHT
from client_proxy.limits.concurrency_limit import ConcurrencyWindow
from client_proxy.limits.congestion import CongestionEstimate
from client_proxy.limits.load_shedding import LoadShedding
from client_proxy.limits.settings import OverloadSettings
from client_proxy.operators import OperatorSettings
from tests.driver import SETTINGS, Driver, endpoint

FIELDS = ("inflight", "queue", "latency_ms")
BALANCER_SETTINGS = replace(SETTINGS, proxies=60, report_fields=FIELDS)
FLEET = [endpoint(f"s{n}", zone="abc"[n % 3]) for n in range(24)]
OVERLOAD_ON = OperatorSettings(overload=OverloadSettings())
IDLE, OVERLOADED = (0.6, 0.0, 40.0), (20.0, 16.0, 400.0)


def make_driver(
    endpoints: list[ListedEndpoint] | None = None, operators: OperatorSettings = OVERLOAD_ON
) -> Driver:
    driver = Driver(BALANCER_SETTINGS, ())
    driver.balancer = Balancer(BALANCER_SETTINGS, 1, operators.balancer_hook(BALANCER_SETTINGS, 1))
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(FLEET if endpoints is None else endpoints)))
    return driver


def overload_hook(driver: Driver) -> LoadShedding:
    hook = driver.balancer.hook
    assert isinstance(hook, LoadShedding)
    return hook


def window_of(driver: Driver) -> ConcurrencyWindow:
    window = overload_hook(driver).window
    assert isinstance(window, ConcurrencyWindow)
    return window


def test_a_few_overloaded_endpoints_among_many_idle_ones_are_no_congestion() -> None:
    estimate = CongestionEstimate(FIELDS, 5.4)
    for n in range(10):
        estimate.record_attempt(float(n), f"s{n}", Outcome.OK, 1.0, OVERLOADED if n < 2 else IDLE)
    # Each endpoint counts alike. The sum of requests in flight over the sum of those executed would be 3.5.
    assert estimate.latency_inflation(10.0) < 2.0


def test_one_noisy_report_does_not_decide_for_all_endpoints() -> None:
    estimate = CongestionEstimate(FIELDS, 5.4)
    for n in range(10):
        estimate.record_attempt(float(n), f"s{n}", Outcome.OK, 1.0, (30.0, 30.0, 40.0) if n == 0 else IDLE)
    assert estimate.latency_inflation(10.0) < 2.0


def test_answers_of_draining_endpoints_are_ignored() -> None:
    driver = make_driver()
    draining = [replace(e, state=EndpointState.DRAINING) if e.name in ("s0", "s1") else e for e in FLEET]
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(draining)))
    hook = overload_hook(driver)
    for step in range(40):
        hook.window.in_flight += 1
        at_ms = driver.now_ms + 50.0 * step
        hook.attempt_ended(at_ms, draining[step % 2], Outcome.OK, 5.0, False, OVERLOADED, 400.0)
    assert hook.congestion.latency_inflation(driver.now_ms + 2000.0) == 1.0
    assert len(hook.congestion) == 0


def test_reports_from_before_a_drain_are_forgotten() -> None:
    driver = make_driver()
    hook = overload_hook(driver)
    for step in range(8):
        hook.window.in_flight += 1
        hook.attempt_ended(driver.now_ms + step, FLEET[step % 2], Outcome.OK, 5.0, False, OVERLOADED, 400.0)
    assert hook.congestion.latency_inflation(driver.now_ms + 10.0) > 2.0
    draining = [replace(e, state=EndpointState.DRAINING) if e.name in ("s0", "s1") else e for e in FLEET]
    hook.endpoints_listed(driver.now_ms + 10.0, draining)
    assert hook.congestion.latency_inflation(driver.now_ms + 10.0) == 1.0


def test_the_window_follows_the_listed_capacity() -> None:
    driver = make_driver()
    before = window_of(driver).size
    draining = [replace(e, state=EndpointState.DRAINING) if n < 8 else e for n, e in enumerate(FLEET)]
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(draining)))
    assert window_of(driver).size == pytest.approx(before * 2 / 3)
    fresh = [endpoint(f"new{n}", started_ms=driver.now_ms) for n in range(8)]
    driver.handle_events(EndpointsListed(ListKind.FULL, (*draining, *fresh)))
    # An endpoint that is not warmed up counts for its least capacity: a fifth.
    assert window_of(driver).size == pytest.approx(before * (16 + 8 * 0.2) / 24)
    for _ in range(50):  # the same list again changes nothing
        driver.handle_events(EndpointsListed(ListKind.FULL, (*draining, *fresh)))
    assert window_of(driver).size == pytest.approx(before * (16 + 8 * 0.2) / 24)


def test_ejected_endpoints_reduce_the_window_unless_most_are_ejected() -> None:
    ejected: set[str] = set()
    hook = LoadShedding(OverloadSettings(), BALANCER_SETTINGS, 1, ejected)
    hook.endpoints_listed(0.0, FLEET)
    window = hook.window
    assert isinstance(window, ConcurrencyWindow)
    before = window.size
    ejected |= {f"s{n}" for n in range(6)}
    hook.accepts_request(1.0, PickContext(None))
    assert window.size == pytest.approx(before * 18 / 24)
    ejected |= {f"s{n}" for n in range(18)}
    hook.accepts_request(2.0, PickContext(None))
    assert window.size == pytest.approx(before)


def test_cold_endpoints_get_a_few_requests_while_the_window_is_full() -> None:
    driver = make_driver()
    driver.serve(60)
    fresh = [endpoint(f"new{n}", started_ms=driver.now_ms) for n in range(12)]
    driver.handle_events(EndpointsListed(ListKind.FULL, (*FLEET, *fresh)))
    for known in driver.balancer.endpoint_set.endpoints.values():
        known.concurrency_limit = 50.0
        # So much credit that slow start holds back no request of this test.
        known.slow_start_credit, known.slow_start_credit_ms = (
            1e6,
            driver.now_ms,
        )
    window = window_of(driver)
    window.size = 3.0
    window.in_flight += 100  # full, also for the class of the highest priority
    for _ in range(20):
        driver.request("unsafe")
    cold = {e.name for e in fresh}
    in_flight = {
        e.listed.name: e.in_flight for e in driver.balancer.endpoint_set.endpoints.values() if e.in_flight
    }
    assert set(in_flight) <= cold
    assert sum(in_flight.values()) == SLOW_START_IN_FLIGHT


def test_a_cold_endpoint_is_scored_by_payoff_alone() -> None:
    """A cold endpoint with a lower score as well would stay empty while warm endpoints are full."""
    driver = Driver(replace(BALANCER_SETTINGS, proxies=3), FLEET[:4])
    driver.serve(40)
    cold = endpoint("new", started_ms=driver.now_ms)
    driver.handle_events(EndpointsListed(ListKind.FULL, (*FLEET[:4], cold)))
    endpoint_set, picker = driver.balancer.endpoint_set, driver.balancer.picker
    new, old = endpoint_set.endpoints["new"], endpoint_set.endpoints["s0"]
    ratio = picker.score(driver.now_ms, new, "safe") / picker.score(driver.now_ms, old, "safe")
    assert ratio == pytest.approx(new.payoff("safe") / old.payoff("safe"))


@pytest.mark.parametrize(
    ("report", "min_share", "max_share"),
    [(IDLE, 0.8, 2.0), (OVERLOADED, 0.0, 0.3)],
    ids=["partition", "congestion"],
)
def test_losses_cut_the_window_under_congestion_but_not_in_a_partition(
    report: tuple[float, ...], min_share: float, max_share: float
) -> None:
    """An instance that is partitioned from two of three zones must not take its losses for congestion."""
    driver = make_driver()
    hook, before = overload_hook(driver), window_of(driver).size
    for step in range(60):
        hook.window.in_flight += 1
        is_answered = step % 4 == 0
        outcome = Outcome.OK if is_answered else Outcome.TIMEOUT
        at_ms, server = driver.now_ms + 50.0 * (step + 1), FLEET[step % 24]
        hook.attempt_ended(at_ms, server, outcome, 1.0, is_answered, report if is_answered else None, 50.0)
    # The window may shrink a little, because it is not used.
    assert min_share * before <= window_of(driver).size <= max_share * before
