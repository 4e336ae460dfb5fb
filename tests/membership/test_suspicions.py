"""Tests of the score factors that follow from reports, one for each bound; without I/O or a clock."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from client_proxy.api.events import EndpointState, Outcome
from client_proxy.api.policy_hook import CompositeHook, PickContext
from client_proxy.balancer.balancer import Balancer
from client_proxy.membership.messages import class_tag
from client_proxy.membership.observation import FRESH_MS
from client_proxy.membership.suspicions import (
    DEPRIORITIZED_BELOW,
    MAX_DEPRIORITIZED_SHARE,
    MIN_SCORE_FACTOR,
    PROBE_SCORE_FACTOR,
    ServerSuspicions,
)
from tests.driver import KEYED, UNSAFE, Driver, endpoint, full
from tests.membership.suspicions_driver import (
    ENDPOINTS,
    OTHER_ZONE,
    OWN_ZONE,
    SERVERS,
    deliver_report,
    make_suspicions,
    observation,
    observe,
    score_factor,
)


def test_one_accuser_lowers_the_score_in_part_and_several_lower_it_fully(
    suspicions: ServerSuspicions,
) -> None:
    deliver_report(suspicions, 0.0, 1, observation("s0"))
    alone = score_factor(suspicions, 10.0)
    assert 0.5 < alone < 1.0
    for observer in (2, 3, 4, 5):
        deliver_report(suspicions, 20.0, observer, observation("s0"))
    assert score_factor(suspicions, 200.0) < 0.3
    assert suspicions.deprioritized == {"s0"}
    assert score_factor(suspicions, 200.0, "s1") == 1.0


def test_score_factor_has_a_lower_bound(suspicions: ServerSuspicions) -> None:
    for observer in range(200):
        deliver_report(suspicions, 0.0, observer, observation("s0"), zone=observer)
    assert MIN_SCORE_FACTOR <= score_factor(suspicions, 10.0) < 0.1


def test_own_recent_attempts_outweigh_all_reports(suspicions: ServerSuspicions) -> None:
    for observer in range(100):
        deliver_report(suspicions, 0.0, observer, observation("s0"))
    assert score_factor(suspicions, 1.0) < 0.1
    for step in range(4):
        observe(suspicions, 10.0 + step, "s0", Outcome.OK)
    assert score_factor(suspicions, 1500.0, cls="safe") > 0.9


def test_own_failure_confirms_reports() -> None:
    # The same two accusers, without and with a failed attempt by this instance.
    unconfirmed, confirmed = make_suspicions(), make_suspicions()
    for suspicions in (unconfirmed, confirmed):
        deliver_report(suspicions, 0.0, 1, observation("s0"))
        deliver_report(suspicions, 0.0, 2, observation("s0"))
    observe(confirmed, 1.0, "s0", Outcome.RESET, UNSAFE)
    assert score_factor(confirmed, 5.0) < 0.5 * score_factor(unconfirmed, 5.0)


def test_reports_of_another_zone_count_less_than_those_of_the_own() -> None:
    own_zone, other_zone = make_suspicions(), make_suspicions()
    for observer in range(30):
        deliver_report(own_zone, 0.0, observer, observation("s0"), zone=OWN_ZONE)
        deliver_report(other_zone, 0.0, observer, observation("s0"), zone=OTHER_ZONE)
    for observer in range(30, 35):
        # Some observers in the own zone report the server as healthy.
        deliver_report(own_zone, 0.0, observer, observation("s0", failed=0), zone=OWN_ZONE)
        deliver_report(other_zone, 0.0, observer, observation("s0", failed=0), zone=OWN_ZONE)
    assert score_factor(own_zone, 10.0) < score_factor(other_zone, 10.0)
    assert score_factor(other_zone, 10.0) > DEPRIORITIZED_BELOW - 0.25


def test_observer_that_accuses_most_servers_is_ignored_and_logged(suspicions: ServerSuspicions) -> None:
    for observer in (1, 2, 3):
        deliver_report(suspicions, 0.0, observer, *(observation(name) for name in SERVERS[:6]))
    assert all(score_factor(suspicions, 10.0, name) == 1.0 for name in SERVERS)
    assert "instance 1 accuses most servers: its reports are ignored" in suspicions.take_log_lines()
    assert not suspicions.take_log_lines()


@given(
    st.lists(
        st.tuples(st.integers(1, 60), st.integers(0, 3), st.lists(st.sampled_from(SERVERS), max_size=8)),
        max_size=60,
    ),
    st.integers(2, 9),
)
def test_at_most_a_third_of_the_servers_is_deprioritized(
    reports: list[tuple[int, int, list[str]]], size: int
) -> None:
    suspicions = make_suspicions(ENDPOINTS[:size])
    for step, (observer, zone, servers) in enumerate(reports):
        seen = tuple(observation(name) for name in dict.fromkeys(servers))
        deliver_report(suspicions, 10.0 * step, observer, *seen, zone=zone, sequence=step + 1)
        now_ms = 10.0 * step + 5.0
        factors = [score_factor(suspicions, now_ms, server) for server in SERVERS[:size]]
        deprioritized = [factor for factor in factors if factor < DEPRIORITIZED_BELOW]
        assert len(deprioritized) <= max(1, int(MAX_DEPRIORITIZED_SHARE * size))
        assert all(MIN_SCORE_FACTOR <= score_factor(suspicions, now_ms, n) <= 1.0 for n in SERVERS[:size])


def test_only_server_is_never_deprioritized() -> None:
    suspicions = make_suspicions(ENDPOINTS[:1])
    for observer in range(50):
        deliver_report(suspicions, 0.0, observer, observation("s0"))
    assert score_factor(suspicions, 10.0) == 1.0


def test_report_on_one_class_concerns_that_class_only(suspicions: ServerSuspicions) -> None:
    for observer in range(6):
        bad, good = (
            observation("s0", cls=class_tag("safe")),
            observation("s0", failed=0, cls=class_tag("unsafe")),
        )
        deliver_report(suspicions, 0.0, observer, bad, good)
    assert score_factor(suspicions, 10.0, cls="safe") < DEPRIORITIZED_BELOW
    assert score_factor(suspicions, 10.0, cls="unsafe") == 1.0


def test_reported_slowness_counts_until_an_own_observation(suspicions: ServerSuspicions) -> None:
    for observer in range(4):
        deliver_report(suspicions, 0.0, observer, observation("s0", failed=0, slowness=16 * 8))
    assert 0.2 < score_factor(suspicions, 10.0) < 0.5
    observe(suspicions, 20.0, "s0", Outcome.OK, UNSAFE)
    assert score_factor(suspicions, 200.0) == 1.0


def test_suspicion_outlives_its_last_report_and_fades(suspicions: ServerSuspicions) -> None:
    for observer in range(6):
        deliver_report(suspicions, 0.0, observer, observation("s0"))
    before = score_factor(suspicions, 10.0)
    now_ms = FRESH_MS
    while now_ms < FRESH_MS + 4000.0:  # no reports arrive in this time
        now_ms += 200.0
        factor = score_factor(suspicions, now_ms)
    assert before < factor < DEPRIORITIZED_BELOW
    while now_ms < FRESH_MS + 180_000.0:
        now_ms += 200.0
        factor = score_factor(suspicions, now_ms)
    assert factor == 1.0
    assert not suspicions._suspicions
    assert not suspicions._probes


def test_recovery_probes_are_rare_and_idempotent(suspicions: ServerSuspicions) -> None:
    probed_ms: list[float] = []
    for step in range(3000):
        now_ms = 100.0 * step
        for observer in range(6):
            deliver_report(suspicions, now_ms, observer, observation("s0"), sequence=step + 1)
        assert score_factor(suspicions, now_ms + 1.0, cls="unsafe") < 0.2
        if score_factor(suspicions, now_ms + 1.0, cls="keyed") == PROBE_SCORE_FACTOR:
            probed_ms.append(now_ms)
            suspicions.attempt_sent(now_ms + 1.0, ENDPOINTS[0], PickContext(KEYED))
            observe(suspicions, now_ms + 5.0, "s0", Outcome.RESET, KEYED)
    assert 2 <= len(probed_ms) <= 10
    gaps = [later - sooner for sooner, later in pairwise(probed_ms)]
    assert gaps[-1] > gaps[0]  # probes become rarer the longer the server fails


def test_served_recovery_probes_restore_the_server(suspicions: ServerSuspicions) -> None:
    for observer in range(6):
        deliver_report(suspicions, 0.0, observer, observation("s0"))
    assert score_factor(suspicions, 10.0) < 0.2
    for step in range(3):
        observe(suspicions, 100.0 + step, "s0", Outcome.OK, UNSAFE)
    now_ms = 100.0
    while now_ms < 2500.0:
        now_ms += 100.0
        factor = score_factor(suspicions, now_ms)
    assert factor > 0.9


def test_restarted_server_is_not_suspected_for_its_earlier_process(suspicions: ServerSuspicions) -> None:
    for observer in range(6):
        deliver_report(suspicions, 0.0, observer, observation("s0"))
    observe(suspicions, 1.0, "s0", Outcome.RESET)
    assert score_factor(suspicions, 10.0) < 0.2
    suspicions.endpoints_listed(20.0, (endpoint("s0", started_ms=15.0), *ENDPOINTS[1:]))
    assert score_factor(suspicions, 30.0) == 1.0


def test_unlisted_servers_leave_no_state(suspicions: ServerSuspicions) -> None:
    for sequence in range(3000):
        name = f"x{sequence}"
        suspicions.endpoints_listed(float(sequence), (*ENDPOINTS, endpoint(name)))
        for observer in range(4):
            deliver_report(suspicions, float(sequence), observer, observation(name), sequence=sequence + 1)
        observe(suspicions, sequence + 0.1, name, Outcome.RESET)
        score_factor(suspicions, sequence + 0.2, name)
    suspicions.endpoints_listed(3000.0, ENDPOINTS)
    score_factor(suspicions, 3001.0)
    assert not len(suspicions.local)
    assert not suspicions._suspicions
    assert not suspicions._probes
    assert not suspicions._score_factors


def test_deprioritized_server_is_picked_rarely_but_still_picked() -> None:
    driver = Driver(endpoints=ENDPOINTS[:4])
    suspicions = make_suspicions(ENDPOINTS[:4])
    driver.balancer = Balancer(driver.balancer.settings, 1, suspicions)
    driver.handle_events(full(*ENDPOINTS[:4]))
    for known in driver.balancer.endpoint_set.endpoints.values():
        known.concurrency_limit = 50.0
    sent = dict.fromkeys(SERVERS[:4], 0)
    for step in range(600):
        for observer in range(6):
            deliver_report(suspicions, driver.now_ms, observer, observation("s0"), sequence=step + 1)
        request_id, _ = driver.request("keyed")
        sent[driver.sent[request_id][0]] += 1
        driver.wait(50.0)
        driver.end(request_id, Outcome.OK if driver.sent[request_id][0] != "s0" else Outcome.RESET)
        driver.wait(50.0)
    assert 0 < sent["s0"] < 30


def test_last_ready_server_is_still_picked() -> None:
    suspicions = make_suspicions(ENDPOINTS[:2])
    driver = Driver(endpoints=ENDPOINTS[:2])
    driver.balancer = Balancer(driver.balancer.settings, 1, suspicions)
    driver.handle_events(full(ENDPOINTS[0], replace(ENDPOINTS[1], state=EndpointState.DRAINING)))
    for observer in range(20):
        deliver_report(suspicions, driver.now_ms, observer, observation("s0"))
    request_id, _ = driver.request("unsafe")
    assert driver.sent[request_id] == ["s0"]


def test_composite_hook_multiplies_score_factors() -> None:
    first, second = make_suspicions(), make_suspicions()
    for suspicions in (first, second):
        for observer in range(6):
            deliver_report(suspicions, 0.0, observer, observation("s0"))
    both = CompositeHook([first, second])
    assert both.scales_scores
    assert both.score_factor(10.0, "s0", "unsafe") == pytest.approx(
        score_factor(first, 10.0) * score_factor(second, 10.0)
    )
