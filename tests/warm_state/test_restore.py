"""Tests that snapshots are restored according to their age, and never beyond a new balancer's guards."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from client_proxy.api.settings import AttemptLimit
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.retry_budget import RETRY_BUDGET_CAPACITY
from client_proxy.warm_state.capture import capture_snapshot
from client_proxy.warm_state.restore import restore_snapshot
from client_proxy.warm_state.snapshot import HALF_LIFE_MS, MAX_AGE_MS, SNAPSHOT_FORMAT, Snapshot, confidence
from tests.driver import SETTINGS, Driver, endpoint, full
from tests.warm_state.builders import SLOW_SERVER, make_cold_balancer, make_warm_driver


def test_a_new_balancer_has_the_restored_state_of_the_old_one() -> None:
    driver = make_warm_driver()
    old, new = driver.balancer, make_cold_balancer(driver)
    assert restore_snapshot(new, capture_snapshot(old)) == 3
    for name, known in old.endpoint_set.endpoints.items():
        restored = new.endpoint_set.endpoints[name]
        assert restored.payoff("safe") == pytest.approx(known.payoff("safe"))
        assert restored.concurrency_limit == pytest.approx(max(1.0, known.concurrency_limit))
        assert restored.error_share == pytest.approx(known.error_share)
        left_ms = max(0.0, known.paused_until_ms - old.now_ms)
        assert max(0.0, restored.paused_until_ms - new.now_ms) == pytest.approx(left_ms)
    old_latency, new_latency = old.class_latencies["safe"], new.class_latencies["safe"]
    assert new_latency.baseline_ms == pytest.approx(old_latency.baseline_ms)
    assert new.retry_budget.tokens == pytest.approx(old.retry_budget.tokens)
    assert new.retry_budget.tokens < RETRY_BUDGET_CAPACITY


def test_an_older_snapshot_has_less_weight_and_one_over_the_maximum_age_none() -> None:
    driver = make_warm_driver()
    snapshot = capture_snapshot(driver.balancer)
    payoffs = []
    for age_ms in (0.0, HALF_LIFE_MS, 4 * HALF_LIFE_MS, MAX_AGE_MS):
        balancer = make_cold_balancer(driver, age_ms)
        restore_snapshot(balancer, snapshot, age_ms)
        payoffs.append(balancer.endpoint_set.endpoints[SLOW_SERVER].payoff("safe"))
    assert payoffs == sorted(payoffs)
    assert payoffs[0] < payoffs[-1] == 1.0
    assert confidence(HALF_LIFE_MS) == pytest.approx(0.5)


def test_a_server_that_has_restarted_since_counts_as_new() -> None:
    driver = make_warm_driver()
    balancer = make_cold_balancer(driver, slow_started_ms=driver.now_ms)
    assert restore_snapshot(balancer, capture_snapshot(driver.balancer)) == 2
    assert balancer.endpoint_set.endpoints[SLOW_SERVER].payoff("safe") == 1.0
    assert balancer.endpoint_set.endpoints[SLOW_SERVER].concurrency_limit == 1.0


def test_starts_are_compared_on_a_clock_that_both_processes_share() -> None:
    """The clocks of the balancers differ by 5 s; the first server has not restarted."""
    driver = Driver(endpoints=(endpoint("s1", started_ms=100.0), endpoint("s2", started_ms=200.0)))
    snapshot = capture_snapshot(driver.balancer, offset_ms=10_000.0)
    balancer = Balancer(SETTINGS, 9)
    servers = (endpoint("s1", started_ms=5100.0), endpoint("s2", started_ms=9999.0))
    balancer.handle(driver.now_ms, [full(*servers)])
    assert restore_snapshot(balancer, snapshot, offset_ms=5000.0) == 1
    assert balancer.endpoint_set.endpoints["s1"].concurrency_limit == 4.0
    assert balancer.endpoint_set.endpoints["s2"].concurrency_limit == 1.0


def test_a_snapshot_of_another_format_is_not_restored() -> None:
    driver = make_warm_driver()
    other_format = replace(capture_snapshot(driver.balancer), form=SNAPSHOT_FORMAT + 1)
    assert restore_snapshot(make_cold_balancer(driver), other_format) == 0


def test_keys_of_a_later_program_are_ignored_and_missing_ones_have_defaults() -> None:
    driver = make_warm_driver()
    raw = msgspec.json.decode(msgspec.json.encode(capture_snapshot(driver.balancer)))
    raw["of a later version"] = 1
    del raw["pools"]
    snapshot = msgspec.json.decode(msgspec.json.encode(raw), type=Snapshot)
    assert restore_snapshot(make_cold_balancer(driver), snapshot) == 3


def test_a_restart_during_a_failure_does_not_refill_the_retry_budget_or_the_attempt_limit() -> None:
    settings = replace(SETTINGS, safety=replace(SETTINGS.safety, attempts=AttemptLimit(10_000.0, 0.0, 2.0)))
    driver = Driver(settings)
    driver.balancer.retry_budget.tokens = 5.0
    for _ in range(2):
        driver.balancer.attempt_limiter.attempt_sent(driver.now_ms)
    balancer = Balancer(settings, 3)
    balancer.handle(driver.now_ms + 1000, [full(endpoint("s1"))])
    restore_snapshot(balancer, capture_snapshot(driver.balancer), 1000.0)
    assert balancer.retry_budget.tokens < 10.0
    assert not balancer.attempt_limiter.allows(driver.now_ms + 1000)
    assert balancer.attempt_limiter.allows(driver.now_ms + 12_000)


@given(st.integers(0, 10**7), st.floats(-5, 1e4), st.floats(-1e3, 1e4), st.integers(0, 10**9))
def test_restored_state_never_exceeds_the_guards(
    age_ms: int, limit: float, tokens: float, paused_ms: int
) -> None:
    driver = Driver()
    snapshot = capture_snapshot(driver.balancer)
    server = replace(snapshot.servers["s1"], limit=limit, paused_ms=paused_ms)
    balancer = make_cold_balancer(driver)
    restore_snapshot(balancer, replace(snapshot, tokens=tokens, servers={"s1": server}), age_ms)
    assert 0.0 <= balancer.retry_budget.tokens <= RETRY_BUDGET_CAPACITY
    restored = balancer.endpoint_set.endpoints["s1"]
    assert 1.0 <= restored.concurrency_limit <= max(1.0, limit)
    assert restored.is_suspended(driver.now_ms) == (confidence(age_ms) > 0 and paused_ms > age_ms)
