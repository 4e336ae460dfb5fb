"""Priority levels of zones, alone and under the balancer, without I/O and with a simulated time."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.api.actions import Log, Send
from client_proxy.api.events import (
    AttemptEnded,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
)
from client_proxy.api.policy_hook import PickContext
from client_proxy.api.settings import IdempotencyScope, Settings
from client_proxy.balancer.balancer import Balancer
from client_proxy.operators import OperatorSettings, parse_operators
from client_proxy.routing.locality.capacity import MIN_CAPACITY_PER_S
from client_proxy.routing.locality.peak_rate import CAPACITY_HALF_LIFE_MS
from client_proxy.routing.locality.router import MAX_EMPTY_ZONES, LocalityRouter
from client_proxy.routing.locality.zone_state import ZoneState
from client_proxy.routing.settings import LocalitySettings
from client_proxy.toml_table import TomlError
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, endpoint
from tests.support.fixed_draws import fixed_draws

ZONES = ("a", "b", "c")
BALANCER_SETTINGS: Settings = replace(
    SETTINGS, proxies=3, report_fields=("inflight", "queue", "latency_ms"), classes=(SAFE, UNSAFE, KEYED)
)
FLEET = tuple(endpoint(f"{zone}{n}", zone=zone) for zone in ZONES for n in range(3))
SAFE_REQUEST = PickContext(SAFE)
# Load reports: requests in flight, requests queued, and ms for which one is executed. Four requests that take
# 40 ms each are a hundred a second.
BUSY = (4.0, 0.0, 40.0)
FULL = (14.0, 10.0, 40.0)  # as `BUSY`, with ten requests queued in addition


def make_router(
    locality_settings: LocalitySettings | None = None, balancer_settings: Settings = BALANCER_SETTINGS
) -> LocalityRouter:
    router = LocalityRouter(locality_settings or LocalitySettings(), balancer_settings)
    router.endpoints_listed(0.0, FLEET)
    return router


def record_answer(router: LocalityRouter, now_ms: float, name: str, slowness: float = 1.0) -> None:
    router.attempt_ended(now_ms, by_name(name), Outcome.OK, slowness, slowness < 2, BUSY)


def by_name(name: str) -> ListedEndpoint:
    return next(listed for listed in FLEET if listed.name == name)


def record_timeouts(router: LocalityRouter, now_ms: float, zone: str, count: int = 12) -> None:
    for number in range(count):
        router.attempt_ended(now_ms, by_name(f"{zone}{number % 3}"), Outcome.TIMEOUT, 9.0, False, None)


def make_measured_router(
    locality_settings: LocalitySettings | None = None, balancer_settings: Settings = BALANCER_SETTINGS
) -> LocalityRouter:
    """Makes a router that has measured about a hundred requests a second at each server."""
    router = make_router(locality_settings, balancer_settings)
    for step in range(60):
        for listed in FLEET:
            record_answer(router, step * 100.0, listed.name)
    return router


def with_full_zones(router: LocalityRouter, now_ms: float, except_zone: str = "") -> LocalityRouter:
    """Records load reports of congested servers in all zones, or in all but one."""
    for listed in FLEET:
        router.attempt_ended(
            now_ms, listed, Outcome.OK, 1.0, True, BUSY if listed.zone == except_zone else FULL
        )
    return router


def state_of(router: LocalityRouter, zone: str) -> ZoneState:
    return router.zones[zone].state


# Order


def test_zones_come_by_level_and_unstated_zones_last() -> None:
    assert list(make_router().zone_order(0.0, SAFE_REQUEST)) == ["a", "b", "c"]
    locality_settings = LocalitySettings(priority_levels={"a": (("a",), ("c",))})
    assert list(make_router(locality_settings).zone_order(0.0, SAFE_REQUEST)) == ["a", "c", "b"]


def test_a_retry_prefers_a_zone_where_it_has_not_failed() -> None:
    assert list(make_router().zone_order(0.0, PickContext(SAFE, ("a",)))) == ["b", "c", "a"]


def test_a_degraded_zone_comes_last_until_it_answers_again() -> None:
    router = make_measured_router()
    for number in range(200):
        lost = number % 10 < 3
        outcome = Outcome.TIMEOUT if lost else Outcome.OK
        router.attempt_ended(7000.0 + number, by_name(f"a{number % 3}"), outcome, 1.0, not lost, None)
    assert state_of(router, "a") is ZoneState.UP
    assert list(router.zone_order(8000.0, SAFE_REQUEST)) == ["b", "c", "a"]
    for number in range(100):
        record_answer(router, 9000.0 + number, "a0")
    assert next(iter(router.zone_order(9200.0, SAFE_REQUEST))) == "a"


def test_a_zone_with_failing_servers_keeps_what_its_healthy_ones_can_serve() -> None:
    router = make_measured_router()
    for name in ("a0", "a1"):
        for _ in range(2):
            router.attempt_ended(7000.0, by_name(name), Outcome.TIMEOUT, 9.0, False, None)
    # A third of the zone is healthy: with the factor of 1.4 it keeps 47 of 100 requests.
    first = [next(iter(router.zone_order(7000.0, SAFE_REQUEST))) for _ in range(100)]
    assert 45 <= first.count("a") <= 48
    assert first.count("b") == 100 - first.count("a")


# Unavailable zones, probes and recovery


def test_a_silent_zone_becomes_unavailable_and_gets_only_probes() -> None:
    router = make_measured_router()
    record_timeouts(router, 7000.0, "a")
    assert state_of(router, "a") is ZoneState.UNAVAILABLE
    assert any("dark" in line and "a" in line for line in router.take_log_lines())
    assert not router.take_log_lines()
    assert list(router.zone_order(7001.0, PickContext(UNSAFE))) == [
        "b",
        "c",
    ]  # a request that is not idempotent has one attempt, and probes nothing
    assert list(router.zone_order(7001.0, SAFE_REQUEST)) == ["a", "b", "c"]
    router.attempt_sent(7001.0, by_name("a0"), SAFE_REQUEST)
    assert list(router.zone_order(7500.0, SAFE_REQUEST)) == ["b", "c"]
    assert list(router.zone_order(8001.0, SAFE_REQUEST)) == ["a", "b", "c"]


def test_after_two_unanswered_attempts_non_idempotent_requests_avoid_a_zone() -> None:
    router = make_measured_router()
    record_timeouts(router, 7000.0, "a", count=2)
    assert state_of(router, "a") is ZoneState.UP
    assert list(router.zone_order(7001.0, PickContext(UNSAFE))) == ["b", "c", "a"]
    assert next(iter(router.zone_order(7001.0, SAFE_REQUEST))) == "a"
    record_answer(router, 7002.0, "a0")
    assert next(iter(router.zone_order(7003.0, PickContext(UNSAFE)))) == "a"


def test_one_failing_server_does_not_make_a_zone_unavailable() -> None:
    router = make_measured_router()
    for number in range(100):
        router.attempt_ended(7000.0 + number, by_name("a0"), Outcome.TIMEOUT, 9.0, False, None)
        record_answer(router, 7000.0 + number, "a1")
    assert state_of(router, "a") is ZoneState.UP


def test_a_recovering_zone_gets_a_growing_share() -> None:
    router = make_measured_router(LocalitySettings(ramp_s=10.0, ramp_start_share=0.2))
    before = router.zones["a"].own_rate.per_s
    record_timeouts(router, 7000.0, "a")
    record_answer(router, 8000.0, "a0")
    assert state_of(router, "a") is ZoneState.RECOVERING
    assert router.recovery_limit_per_s(8000.0, router.zones["a"]) == pytest.approx(0.2 * before, rel=0.05)
    shares = []
    for step in range(120):
        record_answer(router, 8000.0 + step * 100.0, f"a{step % 3}")
        shares.append(router.zones["a"].ramp_share)
    assert all(later >= earlier for earlier, later in pairwise(shares))
    assert shares[50] == pytest.approx(0.6, abs=0.05)
    assert state_of(router, "a") is ZoneState.UP
    assert [line for line in router.take_log_lines() if line.endswith("is up")]


def test_slow_answers_of_a_recovering_zone_reduce_its_share_only() -> None:
    router = make_measured_router(LocalitySettings(ramp_s=10.0))
    record_timeouts(router, 7000.0, "a")
    record_answer(router, 8000.0, "a0")
    for step in range(30):
        record_answer(router, 8000.0 + step * 100.0, "a0")
    grown = router.zones["a"].ramp_share
    for step in range(10):
        record_answer(router, 11_000.0 + step * 10.0, "a0", slowness=6.0)
    # One cut for all answers to earlier requests, not ten.
    assert router.zones["a"].ramp_share == pytest.approx(grown / 2, rel=0.1)
    for step in range(500):
        record_answer(router, 11_200.0 + step * 100.0, "a0", slowness=6.0)
    assert state_of(router, "a") is ZoneState.RECOVERING
    assert router.zones["a"].ramp_share > 0
    assert router.zones["a"].loss_share < 0.01


def test_each_repeated_outage_makes_the_ramp_start_lower() -> None:
    router = make_measured_router(LocalitySettings(ramp_s=10.0))
    now_ms, start_shares = 7000.0, []
    for _ in range(3):
        record_timeouts(router, now_ms, "a")
        record_answer(router, now_ms + 1000.0, "a0")
        start_shares.append(router.zones["a"].ramp_share)
        now_ms += 2000.0
    assert start_shares == pytest.approx([0.2, 0.1, 0.05])
    later_ms = now_ms + 1000.0 * LocalitySettings().memory_s + 1
    record_timeouts(router, later_ms, "a")
    record_answer(router, later_ms + 1000.0, "a0")
    assert router.zones["a"].ramp_share == pytest.approx(0.2)  # earlier outages are forgotten


def test_an_unlisted_zone_is_unavailable_and_recovers_by_a_ramp() -> None:
    router = make_measured_router()
    others = [e for e in FLEET if e.zone != "a"]
    router.endpoints_listed(7000.0, others)
    assert state_of(router, "a") is ZoneState.UNAVAILABLE
    assert "a" not in router.zone_order(7000.0, SAFE_REQUEST)
    router.endpoints_listed(9000.0, [*others, replace(by_name("a0"), started_ms=8000.0)])
    assert state_of(router, "a") is ZoneState.RECOVERING
    assert router.capacity_per_s(9000.0, router.zones["a"]) > 150  # remembered from before the outage


# Limits


def send_spillover(
    router: LocalityRouter, zone: str, from_ms: float, length_ms: float, context: PickContext = SAFE_REQUEST
) -> int:
    """Sends a request every 2 ms if it is admitted; returns how many were."""
    admitted = 0
    for step in range(0, int(length_ms), 2):
        if router.admits(from_ms + step, zone, context):
            router.attempt_sent(from_ms + step, by_name(f"{zone}0"), context)
            admitted += 1
    return admitted


@pytest.mark.parametrize("home_lost", [False, True])
@pytest.mark.parametrize("proxies", [3, 30, 300])
def test_all_instances_together_keep_the_spillover_limit(proxies: int, home_lost: bool) -> None:
    capacity_per_s = 0.0
    total = 0
    simulated = min(proxies, 10)  # all instances behave alike
    for ordinal in range(simulated):
        router = make_measured_router(
            balancer_settings=replace(BALANCER_SETTINGS, proxies=proxies, ordinal=ordinal)
        )
        with_full_zones(router, 6900.0)
        if home_lost:
            record_timeouts(router, 6900.0, "a")
        capacity_per_s = router.capacity_per_s(7000.0, router.zones["b"])
        total += send_spillover(router, "b", 7000.0, 10_000.0)
    # The instances of the lost zone send spillover, or those of both other zones: one or two thirds of all.
    sender_count = proxies // 3 if home_lost else 2 * proxies // 3
    total = total * sender_count // simulated
    assert 200 < capacity_per_s < 330  # three servers of about a hundred requests a second
    limit = 0.5 * capacity_per_s * 10.0
    # Beyond the limit, only one initial request for each instance and the limit's burst are allowed.
    assert 0.5 * limit < total <= limit + 2 * sender_count + 0.5 * capacity_per_s / 2


def test_classes_of_lower_priority_leave_a_reserve_of_the_limit() -> None:
    router = with_full_zones(make_measured_router(), 6900.0)
    assert send_spillover(router, "b", 7000.0, 2000.0, PickContext(SAFE)) > 0
    while router.admits(9000.0, "b", PickContext(SAFE)):
        router.attempt_sent(9000.0, by_name("b0"), PickContext(SAFE))
    assert not router.admits(9000.0, "b", PickContext(SAFE))
    assert router.admits(9000.0, "b", PickContext(UNSAFE))


def test_a_spillover_limit_of_zero_holds_until_the_panic_threshold() -> None:
    router = with_full_zones(
        make_measured_router(LocalitySettings(spillover_shares={"b": 0.0}, panic_threshold=0.4)), 6900.0
    )
    router.attempt_sent(0.0, by_name("b0"), SAFE_REQUEST)  # its one initial request
    assert not send_spillover(router, "b", 7000.0, 1000.0)
    record_timeouts(router, 8000.0, "a")
    record_timeouts(router, 8000.0, "c")
    assert router.panics()
    assert router.admits(8000.0, "b", SAFE_REQUEST)


def test_the_spillover_limit_does_not_hold_for_an_uncongested_zone() -> None:
    router = with_full_zones(
        make_measured_router(LocalitySettings(spillover_share=0.0)), 6900.0, except_zone="b"
    )
    assert send_spillover(router, "b", 7000.0, 1000.0) == 500  # all requests
    assert send_spillover(router, "c", 7000.0, 1000.0) <= 1  # the initial request


def test_an_uncongested_recovering_zone_delays_requests_by_at_most_a_quarter_of_the_objective() -> None:
    router = make_measured_router()
    router.endpoints_listed(7000.0, [e for e in FLEET if e.zone != "b"])
    router.endpoints_listed(8000.0, FLEET)
    record_answer(router, 8001.0, "b0")
    assert state_of(router, "b") is ZoneState.RECOVERING
    while router.admits(8001.0, "b", SAFE_REQUEST):
        router.attempt_sent(8001.0, by_name("b0"), SAFE_REQUEST)
    short_wait = replace(SAFE_REQUEST, waited_ms=0.2 * SAFE.latency_objective_ms)
    assert not router.admits(8001.0, "b", short_wait)
    assert router.admits(8001.0, "b", replace(SAFE_REQUEST, waited_ms=0.3 * SAFE.latency_objective_ms))
    with_full_zones(router, 8002.0)
    assert not router.admits(8002.0, "b", replace(SAFE_REQUEST, waited_ms=0.3 * SAFE.latency_objective_ms))


def test_an_own_zone_more_congested_than_others_keeps_less_for_that_time() -> None:
    router = make_measured_router()
    stayed_home = []
    for is_congested in (True, False):
        for step in range(700):
            now_ms = 7000.0 + 7000.0 * (not is_congested) + step * 10.0
            for each in FLEET:
                is_full = each.zone == "a" and is_congested
                router.attempt_ended(now_ms, each, Outcome.OK, 1.0, True, FULL if is_full else BUSY)
            first = next(iter(router.zone_order(now_ms, SAFE_REQUEST)))
            if step >= 600:
                stayed_home.append(first == "a")
    assert sum(stayed_home[:100]) < 50
    assert sum(stayed_home[100:]) > 90


def test_with_all_zones_unavailable_all_are_used() -> None:
    router = make_measured_router()
    for zone in ZONES:
        record_timeouts(router, 7000.0, zone)
    assert router.panics()
    assert set(router.zone_order(7000.0, PickContext(UNSAFE))) == set(ZONES)
    assert all(router.admits(7000.0, zone, PickContext(UNSAFE)) for zone in ZONES)


def test_all_zones_are_used_at_weight_zero_and_a_moved_server_changes_its_zone() -> None:
    router = make_router()
    without_weight = [replace(e, weight=0.0) for e in FLEET]
    router.endpoints_listed(1.0, without_weight)
    assert router.panics()
    assert list(router.zone_order(1.0, SAFE_REQUEST)) == ["a", "b", "c"]
    moved = [replace(e, zone="b") if e.name == "a0" else e for e in FLEET]
    router.endpoints_listed(2.0, moved)
    assert "a0" in router.zones["b"].endpoints
    assert "a0" not in router.zones["a"].endpoints


def test_a_zone_with_one_server_fails_and_recovers_like_any_other() -> None:
    listed = [e for e in FLEET if e.zone != "a" or e.name == "a0"]
    router = make_router()
    router.endpoints_listed(1.0, listed)
    for step in range(60):
        for each in listed:
            record_answer(router, 10.0 + step * 100.0, each.name)
    for _ in range(4):
        router.attempt_ended(7000.0, by_name("a0"), Outcome.TIMEOUT, 9.0, False, None)
    assert state_of(router, "a") is ZoneState.UNAVAILABLE
    assert list(router.zone_order(7001.0, PickContext(UNSAFE))) == ["b", "c"]
    record_answer(router, 8000.0, "a0")
    assert state_of(router, "a") is ZoneState.RECOVERING


def test_a_silent_zone_stays_unavailable_under_late_list_changes_until_it_answers() -> None:
    """The zone is silent, then unlisted, then listed again; each change of the list comes late."""
    router = make_measured_router()
    record_timeouts(router, 7000.0, "a")
    others = [e for e in FLEET if e.zone != "a"]
    router.endpoints_listed(12_000.0, others)  # discovery has noticed
    assert state_of(router, "a") is ZoneState.UNAVAILABLE
    assert list(router.zone_order(13_000.0, SAFE_REQUEST)) == ["b", "c"]  # there is no endpoint to probe
    router.endpoints_listed(20_000.0, [*others, by_name("a0")])  # one of its endpoints, before the others
    assert state_of(router, "a") is ZoneState.UNAVAILABLE  # a zone that did not answer must answer first
    assert list(router.zone_order(20_000.0, SAFE_REQUEST)) == ["a", "b", "c"]
    record_answer(router, 20_100.0, "a0")
    assert state_of(router, "a") is ZoneState.RECOVERING
    router.endpoints_listed(21_000.0, [*others, by_name("a0"), by_name("a1"), by_name("a2")])
    assert state_of(router, "a") is ZoneState.RECOVERING
    assert router.zones["a"].ramp_share < 0.3


def test_a_zone_listed_with_new_processes_recovers_without_a_probe() -> None:
    router = make_measured_router()
    record_timeouts(router, 7000.0, "a")
    router.endpoints_listed(
        20_000.0, [replace(e, started_ms=19_000.0) if e.zone == "a" else e for e in FLEET]
    )
    assert state_of(router, "a") is ZoneState.RECOVERING


def test_unlisted_zones_and_servers_leave_no_state() -> None:
    router = make_router()
    for number in range(3000):
        router.endpoints_listed(float(number), [endpoint(f"s{number}", zone=f"z{number}")])
        router.attempt_ended(
            number + 0.5, endpoint(f"s{number}", zone=f"z{number}"), Outcome.ERROR, 1.0, False, None
        )
        router.take_log_lines()
    assert len(router.zones) <= 1 + MAX_EMPTY_ZONES
    for step in range(200):  # a zone without servers is forgotten in time
        router.endpoints_listed(3000.0 + step * CAPACITY_HALF_LIFE_MS, [endpoint("one", zone="one")])
    assert set(router.zones) == {"one"}


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ok", "slow", "lost", "error", "ask", "gone", "back", "wait"]),
        st.sampled_from([e.name for e in FLEET]),
        st.floats(0.0, 3000.0),
    ),
    max_size=80,
)


@fixed_draws("whatever_happens_somebody_may_be_asked_and_limits_hold")
@settings(derandomize=True, max_examples=200, deadline=None)
@given(EVENTS)
def test_some_zone_is_always_offered_and_limits_hold_for_any_events(
    events: list[tuple[str, str, float]],
) -> None:
    router = make_measured_router()
    now_ms, listed = 7000.0, {e.name: e for e in FLEET}
    outcomes = {"ok": Outcome.OK, "slow": Outcome.OK, "lost": Outcome.TIMEOUT, "error": Outcome.ERROR}
    sent: dict[str, list[float]] = {zone: [] for zone in ZONES}
    max_limit_per_s: dict[str, float] = dict.fromkeys(ZONES, 0.0)
    for kind, name, wait_ms in events:
        now_ms += wait_ms
        if kind in outcomes:
            router.attempt_ended(
                now_ms, by_name(name), outcomes[kind], 6.0 if kind == "slow" else 1.0, kind == "ok", BUSY
            )
        elif kind in ("gone", "back"):
            endpoint_state = EndpointState.GONE if kind == "gone" else EndpointState.READY
            listed[name] = replace(by_name(name), state=endpoint_state)
            router.endpoints_listed(now_ms, list(listed.values()))
        ready = any(e.state is EndpointState.READY for e in listed.values())
        for context in (SAFE_REQUEST, PickContext(UNSAFE), PickContext(KEYED, ("a",))):
            order = list(router.zone_order(now_ms, context))
            assert len(set(order)) == len(order)
            assert set(order) <= set(ZONES)
            assert order or not ready
        for zone in router.zone_order(now_ms, SAFE_REQUEST):
            max_limit_per_s[zone] = max(
                max_limit_per_s[zone], router.spillover_limit_per_s(now_ms, router.zones[zone])
            )
            if zone != "a" and not router.panics() and router.admits(now_ms, zone, SAFE_REQUEST):
                sent[zone].append(now_ms)
                router.attempt_sent(now_ms, by_name(f"{zone}0"), SAFE_REQUEST)
    for zone in ("b", "c"):
        span_s = (now_ms - 7000.0) / 1000.0
        assert len(sent[zone]) <= 1 + max_limit_per_s[zone] * span_s + max(1.0, max_limit_per_s[zone] / 2)
    view = router.view(now_ms)
    assert {each.name for each in view} <= set(ZONES)
    assert all(0 <= each.ramp_share <= 1 and each.capacity_per_s >= MIN_CAPACITY_PER_S for each in view)


# Under the balancer


def make_driver(
    locality_settings: LocalitySettings | None = None,
    balancer_settings: Settings = BALANCER_SETTINGS,
    seed: int = 1,
) -> Driver:
    driver = Driver(balancer_settings, FLEET, seed)
    driver.balancer = Balancer(
        balancer_settings, seed, LocalityRouter(locality_settings or LocalitySettings(), balancer_settings)
    )
    driver.handle_events(EndpointsListed(ListKind.RESTORED, FLEET))
    for known in driver.balancer.endpoint_set.endpoints.values():
        known.concurrency_limit = 4.0
    return driver


def test_requests_stay_in_the_own_zone_while_it_has_capacity() -> None:
    driver = make_driver()
    driver.serve(60)
    assert {names[0][0] for names in driver.sent.values()} == {"a"}


def test_a_full_own_zone_causes_spillover_up_to_its_limit() -> None:
    driver = make_driver(LocalitySettings(spillover_share=0.5))
    for _ in range(40):
        driver.request("unsafe")
    driver.wait(200.0)
    target_zones = [names[0][0] for names in driver.sent.values()]
    # Twelve fit into the own zone; each other zone gets one initial request and what its limit allows.
    assert target_zones.count("a") == 12
    assert 2 <= target_zones.count("b") + target_zones.count("c") <= 4
    assert driver.balancer.pending  # the rest is pending, and is rejected later


def test_draining_endpoints_get_nothing_whatever_the_hook_prefers() -> None:
    driver = make_driver()
    draining = [replace(e, state=EndpointState.DRAINING) if e.zone == "a" else e for e in FLEET]
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(draining)))
    for _ in range(6):
        driver.request("safe")
        driver.wait(300.0)
    assert all(name[0] != "a" for names in driver.sent.values() for name in names)


def test_a_keyed_retry_stays_in_its_zone_whatever_the_hook_prefers() -> None:
    balancer_settings = replace(
        BALANCER_SETTINGS, classes=(replace(KEYED, idempotency_scope=IdempotencyScope.ZONE),)
    )
    driver = make_driver(balancer_settings=balancer_settings)
    request, _ = driver.request("keyed")
    driver.end(request, Outcome.ERROR)
    driver.wait(700.0)
    assert [name[0] for name in driver.sent[request]] == ["a", "a"]
    assert len(set(driver.sent[request])) == 2


def test_a_safe_retry_goes_to_another_zone() -> None:
    driver = make_driver()
    request, _ = driver.request("safe")
    driver.end(request, Outcome.ERROR)
    driver.wait(500.0)
    assert [name[0] for name in driver.sent[request]] == ["a", "b"]


def test_pending_requests_are_sent_when_a_limit_allows_them() -> None:
    """No event except the balancer's own timer sends the pending requests."""
    driver = make_driver()
    router = driver.balancer.hook
    assert isinstance(router, LocalityRouter)
    for step in range(60):  # about a hundred requests a second are measured at each server
        for each in FLEET:
            router.attempt_ended(step * 15.0, each, Outcome.OK, 1.0, True, BUSY)
    with_full_zones(router, 950.0)
    for known in driver.balancer.endpoint_set.endpoints.values():
        known.concurrency_limit = 0.0 if known.listed.zone == "a" else 40.0
    requests = [driver.request("unsafe")[0] for _ in range(6)]
    sent_at_once = [request for request in requests if request in driver.sent]
    assert len(sent_at_once) < len(requests)
    assert driver.balancer.pending
    driver.wait(200.0)
    assert all(request in driver.sent for request in requests)
    assert not driver.balancer.pending


def test_state_changes_of_zones_are_logged() -> None:
    driver = make_driver()
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(e for e in FLEET if e.zone != "a")))
    driver.serve(1)
    driver.handle_events(EndpointsListed(ListKind.FULL, FLEET))
    assert any(isinstance(action, Log) and "hall a" in action.text for action in driver.log)


def test_without_a_hook_no_zone_pools_are_kept() -> None:
    balancer = Balancer(BALANCER_SETTINGS, 1)
    balancer.handle(0.0, [EndpointsListed(ListKind.FULL, FLEET)])
    (send,) = [a for a in balancer.handle(1.0, [RequestArrived(1, "safe")]) if isinstance(a, Send)]
    balancer.handle(2.0, [AttemptEnded(1, 0, Outcome.OK, 1.0, answered=True)])
    assert balancer.hook is None
    assert not balancer.endpoint_set.zone_pools
    assert send.endpoint


# The operators' file

GOOD = """
[halls]
overprovisioning = 1.2
spill_share = 0.4
[halls.near]
a = [["a"], ["b", "c"]]
[halls.spill]
c = 0.1
"""


def test_the_operators_file_is_read() -> None:
    locality_settings = parse_operators(GOOD, "operators.toml").halls
    assert locality_settings is not None
    assert locality_settings.priority_levels == {"a": (("a",), ("b", "c"))}
    assert (
        locality_settings.spillover_share_of("b"),
        locality_settings.spillover_share_of("c"),
        locality_settings.overprovisioning,
    ) == (
        0.4,
        0.1,
        1.2,
    )
    assert parse_operators("", "x") == OperatorSettings(None)
    assert parse_operators("[halls]\n", "x") == OperatorSettings(LocalitySettings())


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("spill_share = 0.4", "spill_share = 4", 4, "halls.spill_share: 4 is not a number from 0 to 1"),
        ("spill_share = 0.4", "spil_share = 0.4", 4, "halls.spil_share: not a known key"),
        ('a = [["a"], ["b", "c"]]', 'a = [["b"], ["a"]]', 6, "halls.near.a: the hall itself"),
        ('a = [["a"], ["b", "c"]]', 'a = ["a"]', 6, "halls.near.a: "),
        ('a = [["a"], ["b", "c"]]', 'a = [["a"], ["a"]]', 6, "halls.near.a: it names a hall twice"),
        ("c = 0.1", "c = -1", 8, "halls.spill.c: -1 is not"),
        ("[halls]", "[hall]", 2, "hall: not a known key"),
    ],
)
def test_a_bad_operators_file_is_refused_with_line_and_key(
    old: str, new: str, line: int, message: str
) -> None:
    with pytest.raises(TomlError) as raised:
        parse_operators(GOOD.replace(old, new), "o.toml")
    assert f"o.toml:{line}: {message}" in str(raised.value)
