"""The usual path of a request: retry budget, backoff, pick of two random endpoints, deadline."""

from dataclasses import replace
from random import Random

import pytest

from client_proxy.api.actions import Fail, Reject, Send, SetTimer, Subscribe
from client_proxy.api.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from client_proxy.balancer.backoff import backoff_ms
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.retry_budget import RetryBudget
from tests.driver import SAFE, SETTINGS, Driver, delta, endpoint, full


def test_full_budget_permits_ten_retries_and_ten_successes_earn_one() -> None:
    budget = RetryBudget()
    assert [budget.withdraw() for _ in range(11)] == [True] * 10 + [False]
    for _ in range(9):
        budget.deposit()
    assert not budget.withdraw()
    budget.deposit()
    assert budget.withdraw()


def test_budget_never_holds_more_than_its_capacity() -> None:
    budget = RetryBudget()
    for _ in range(50):
        budget.deposit()
    assert sum(budget.withdraw() for _ in range(20)) == 10


def test_backoff_is_decorrelated_jitter() -> None:
    random = Random(3)
    waits = [backoff_ms(100, random) for _ in range(1000)]
    assert 100 <= min(waits) < 110
    assert 290 < max(waits) <= 300
    later = [backoff_ms(1000, random) for _ in range(1000)]
    assert 100 <= min(later) < 150
    assert 2900 < max(later) <= 3000
    assert max(backoff_ms(1e9, random) for _ in range(10)) == 30_000


def test_retry_waits_for_its_backoff_and_goes_to_another_server() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    assert driver.wait(99) == []
    assert len(driver.wait(202)) == 1
    first, second = driver.sent[request]
    assert first != second


def test_retry_goes_to_the_same_server_if_there_is_no_other() -> None:
    driver = Driver(endpoints=[endpoint("only")])
    request, _ = driver.request()
    driver.end(request, Outcome.RESET)
    driver.wait(301)
    assert driver.sent[request] == ["only", "only"]


def test_request_fails_at_the_maximum_number_of_attempts() -> None:
    driver = Driver(replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=2)))
    request, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    driver.wait(301)
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_empty_budget_skips_the_retry() -> None:
    driver = Driver()
    driver.balancer.retry_budget.tokens = 9.5
    request, _ = driver.request()
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]
    assert driver.balancer.retry_budget.tokens == 9.5


def test_no_retry_closer_than_the_margin_to_the_deadline() -> None:
    driver = Driver()
    request, _ = driver.request(deadline_ms=driver.now_ms + 1000)
    driver.wait(955)
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_unsafe_and_unknown_classes_get_one_attempt() -> None:
    for class_name in ("unsafe", "never heard of"):
        driver = Driver()
        request, actions = driver.request(class_name)
        assert isinstance(actions[0], Send)
        assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_request_is_rejected_if_no_attempt_was_executed() -> None:
    driver = Driver()
    request, _ = driver.request("unsafe")
    assert driver.end(request, Outcome.REJECTED) == [Reject(request)]


def test_request_expired_on_arrival_is_rejected_unsent() -> None:
    driver = Driver()
    request, actions = driver.request(deadline_ms=driver.now_ms - 5)
    assert actions == [Reject(request)]


def test_pick_prefers_the_higher_payoff_per_request_in_flight() -> None:
    driver = Driver(endpoints=[endpoint("good"), endpoint("bad")])
    good = driver.balancer.endpoint_set.endpoints["good"]
    bad = driver.balancer.endpoint_set.endpoints["bad"]
    good.class_statistics["safe"].earned_weight, bad.class_statistics["safe"].earned_weight = 0.9, 0.3
    request, _ = driver.request()
    assert driver.sent[request] == ["good"]  # 0.9 against 0.3
    good.in_flight = 3
    request, _ = driver.request()
    assert driver.sent[request] == ["bad"]  # 0.9 / 4 against 0.3


def test_new_server_starts_with_the_mean_statistics() -> None:
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    for _ in range(2):
        request, _ = driver.request()
        driver.end(request, Outcome.ERROR)
    driver.handle_events(delta(endpoint("s3")))
    endpoint_set = driver.balancer.endpoint_set
    assert endpoint_set.endpoints["s3"].class_statistics["safe"].earned_weight == pytest.approx(
        endpoint_set.earned_weight["safe"]
    )
    assert endpoint_set.earned_weight["safe"] < 0.95


def test_without_servers_requests_wait_until_one_is_listed_or_time_runs_out() -> None:
    driver = Driver(endpoints=[])
    lost, actions = driver.request()
    assert actions == []
    assert driver.wait(2000) == [Reject(lost)]
    saved, _ = driver.request()
    driver.wait(20)
    assert driver.handle_events(full(endpoint("s1"))) == [Send(saved, "s1", 480.0)]


def test_draining_servers_are_not_used() -> None:
    driver = Driver(endpoints=[endpoint("s1", state=EndpointState.DRAINING)])
    request, actions = driver.request()
    assert actions == []
    assert driver.wait(2000) == [Reject(request)]


def test_subscribes_at_start_and_again_after_failure() -> None:
    balancer = Balancer(replace(SETTINGS, subscribe=True), seed=1)
    assert Subscribe() in balancer.handle(0, [full(endpoint("s1"))])
    failed = balancer.handle(10, [EndpointsListed(ListKind.FAILED)])
    timers = [a for a in failed if isinstance(a, SetTimer)]
    assert len(timers) == 1
    assert timers[0].delay_ms <= SETTINGS.safety.max_poll_interval_ms / 4
    assert balancer.handle(10 + timers[0].delay_ms, [TimerFired(timers[0].token)]) == [Subscribe()]


def test_same_events_same_actions() -> None:
    def run() -> list[object]:
        driver = Driver(seed=42)
        for i in range(40):
            request, _ = driver.request()
            driver.wait(20)
            if request in driver.sent:
                driver.end(request, Outcome.ERROR if i % 3 == 0 else Outcome.OK)
            driver.wait(100)
        return list(driver.log)

    assert run() == run()


def test_events_about_finished_or_unknown_requests_are_ignored() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.end(request, Outcome.OK)
    assert driver.handle_events(AttemptEnded(request, 0, Outcome.ERROR, 5)) == []
    assert (
        driver.handle_events(AttemptEnded(999, 0, Outcome.OK, 5), ClientDisconnected(999), TimerFired(12345))
        == []
    )
    other, _ = driver.request()
    assert driver.handle_events(AttemptEnded(other, 7, Outcome.OK, -3)) == []


def test_disconnected_client_gets_nothing_more() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.handle_events(ClientDisconnected(request))
    assert driver.end(request, Outcome.ERROR) == []
    assert driver.wait(5000) == []
    assert not driver.balancer.requests


def test_misuse_raises_value_error_with_the_reason() -> None:
    driver = Driver()
    driver.request()
    with pytest.raises(ValueError, match="arrived twice"):
        driver.handle_events(RequestArrived(1, "safe"))
    driver.now_ms -= 1
    with pytest.raises(ValueError, match="time ran backwards"):
        driver.handle_events()
    with pytest.raises(ValueError, match="latency_objective_ms and deadline_ms"):
        replace(SETTINGS, classes=(replace(SAFE, latency_objective_ms=0),))
    with pytest.raises(ValueError, match="share a name"):
        replace(SETTINGS, classes=(SAFE, SAFE))
    with pytest.raises(ValueError, match="proxies"):
        replace(SETTINGS, proxies=0)


def test_one_error_among_good_answers_neither_pauses_nor_throttles() -> None:
    # Corrupted answers occur at any server. If each of them halved the concurrency limit, healthy servers
    # would be throttled.
    driver = Driver(endpoints=[endpoint("only")])
    only = driver.balancer.endpoint_set.endpoints["only"]
    for _ in range(20):
        driver.serve(9, "unsafe")
        request, _ = driver.request("unsafe")
        driver.end(request, Outcome.ERROR)
        assert only.concurrency_limit >= 4
        assert not only.is_suspended(driver.now_ms)
    assert only.class_statistics["unsafe"].earned_weight < 1  # the errors still lower its payoff


@pytest.mark.parametrize(
    "outcome",
    [Outcome.ERROR, Outcome.RESET, Outcome.REJECTED, Outcome.CONNECT_FAILED],
)
def test_server_that_fails_repeatedly_is_paused(outcome: Outcome) -> None:
    driver = Driver(endpoints=[endpoint("only")])
    only = driver.balancer.endpoint_set.endpoints["only"]
    driver.serve(3, "unsafe")
    for _ in range(3):
        assert not only.is_suspended(driver.now_ms)
        driver.wait(1)
        request, _ = driver.request("unsafe")
        driver.end(request, outcome)
    assert only.is_suspended(driver.now_ms)
    assert only.concurrency_limit < 4


def test_failures_common_to_all_servers_pause_none() -> None:
    # One in five attempts is reset at every server, so the network is the cause, not a server.
    driver = Driver(endpoints=[endpoint(name) for name in "abc"])
    servers = driver.balancer.endpoint_set.endpoints.values()
    for number in range(200):
        request, _ = driver.request("unsafe")
        driver.wait(50)
        driver.end(request, Outcome.OK if number % 5 else Outcome.RESET)
        assert not any(server.is_suspended(driver.now_ms) for server in servers)
    assert all(server.concurrency_limit >= 4 for server in servers)


def test_lost_replies_do_not_throttle_a_server_that_answers_others_fast() -> None:
    driver = Driver(endpoints=[endpoint("only")])
    only = driver.balancer.endpoint_set.endpoints["only"]
    driver.serve(30, "unsafe")
    for _ in range(20):
        lost, _ = driver.request("unsafe")
        driver.wait(1)
        driver.serve(3, "unsafe")
        driver.end(lost, Outcome.TIMEOUT, 450.0)
    assert only.concurrency_limit >= 4
    assert only.saturation < 1
    assert not only.is_suspended(driver.now_ms)
    assert only.class_statistics["unsafe"].earned_weight < 1


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.REJECTED])
def test_server_that_fails_one_class_still_serves_the_others(outcome: Outcome) -> None:
    # If such failures counted against the whole server, all classes would be sent to the few other servers.
    driver = Driver(endpoints=[endpoint("half"), endpoint("whole")])
    half = driver.balancer.endpoint_set.endpoints["half"]
    for _ in range(40):
        driver.serve(2)
        request, _ = driver.request("unsafe")
        driver.end(request, outcome if driver.sent[request] == ["half"] else Outcome.OK)
    assert half.class_statistics["safe"].earned_weight > 0.9
    assert half.concurrency_limit >= 4
    assert not half.is_suspended(driver.now_ms)
    to_half = [request for request, to in driver.sent.items() if to == ["half"]]
    assert len([r for r in to_half if r % 3]) >= 30  # of 80 safe ones
    assert 1 <= len([r for r in to_half if r % 3 == 0]) <= 10  # of 40 unsafe ones
