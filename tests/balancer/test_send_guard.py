"""The send guard (safety rules 2 to 4: draining, idempotency, slow start), and learned limits."""

from dataclasses import replace

import pytest

from client_proxy.api.actions import Fail, Send
from client_proxy.api.events import AttemptEnded, EndpointState, Outcome
from client_proxy.api.settings import IdempotencyScope
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, delta, endpoint


def make_driver_with_scope(scope: IdempotencyScope) -> Driver:
    cls = replace(KEYED, idempotency_scope=scope)
    servers = [
        endpoint("a0", "a", 0),
        endpoint("a0'", "a", 0),
        endpoint("a1", "a", 1),
        endpoint("b0", "b", 2),
        endpoint("b1", "b", 3),
    ]
    return Driver(replace(SETTINGS, classes=(cls,)), servers)


@pytest.mark.parametrize(("scope", "prefix_length"), [(IdempotencyScope.ZONE, 1), (IdempotencyScope.CELL, 2)])
def test_retry_with_idempotency_key_stays_in_its_deduplication_group(
    scope: IdempotencyScope, prefix_length: int
) -> None:
    groups = {"a0": "a0", "a0'": "a0", "a1": "a1", "b0": "b2", "b1": "b3"}
    retries = 0
    for seed in range(40):
        driver = make_driver_with_scope(scope)
        driver.balancer.random.seed(seed)
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.ERROR)
        driver.wait(301)
        sent = driver.sent[request]
        retries += len(sent) == 2
        assert len({groups[name][:prefix_length] for name in sent}) == 1
    assert retries > 20


def test_no_retry_with_idempotency_key_after_the_window() -> None:
    driver = make_driver_with_scope(IdempotencyScope.ALL)
    request, _ = driver.request("keyed")
    driver.wait(750)  # after its backoff, a retry would be sent after the window of 800 ms
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]


def test_request_with_idempotency_key_that_was_never_executed_may_go_to_any_group() -> None:
    zones = set()
    for seed in range(40):
        driver = make_driver_with_scope(IdempotencyScope.ZONE)
        driver.balancer.random.seed(seed)
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.REJECTED)
        driver.wait(301)
        zones.add(tuple(name[0] for name in driver.sent[request]))
    assert {("a", "b"), ("b", "a")} & zones


def test_request_with_idempotency_key_that_may_have_been_executed_is_never_rejected() -> None:
    driver = make_driver_with_scope(IdempotencyScope.ZONE)
    driver.balancer.retry_budget.tokens = 0
    request, _ = driver.request("keyed")
    assert driver.end(request, Outcome.TIMEOUT) == [Fail(request)]


def test_nothing_is_sent_to_draining_or_gone_servers() -> None:
    driver = Driver()
    driver.handle_events(
        delta(endpoint("s1", state=EndpointState.DRAINING), endpoint("s2", state=EndpointState.GONE))
    )
    driver.serve(20)
    assert {name for sent in driver.sent.values() for name in sent} == {"s3"}


def test_server_in_slow_start_gets_less_than_its_share_until_warm() -> None:
    """A server that has just started would be overloaded by a warm server's share."""

    def send_rounds(rounds: int) -> list[str]:
        """Rounds of ten concurrent requests, each served after 100 ms; returns the servers that got them."""
        names = []
        for _ in range(rounds):
            requests = [driver.request()[0] for _ in range(10)]
            driver.wait(100)
            for request in requests:
                driver.end(request, Outcome.OK, 100)
                names += driver.sent[request]
        return names

    driver = Driver()
    send_rounds(100)
    driver.handle_events(delta(endpoint("new", started_ms=driver.now_ms)))
    during_slow_start = send_rounds(30)  # 3 s of the 10 s that warming up may take
    assert 0 < during_slow_start.count("new") < len(during_slow_start) / 4 * 0.6
    driver.wait(10_000)
    after_slow_start = send_rounds(30)
    assert after_slow_start.count("new") > len(after_slow_start) / 4 * 0.8


def test_without_warm_servers_each_gets_one_request() -> None:
    driver = Driver(endpoints=[endpoint("c1", started_ms=990), endpoint("c2", started_ms=990)])
    sends = [driver.request()[1] for _ in range(4)]
    assert [len(actions) for actions in sends] == [1, 1, 0, 0]


def test_requests_wait_for_full_servers_and_the_most_valuable_are_sent_first() -> None:
    """Work sent to full servers would queue there until it is late, and congest them."""
    driver = Driver(endpoints=[endpoint("s1")])
    first = [driver.request()[0] for _ in range(4)]
    low_weight, actions = driver.request("safe")
    assert actions == []
    high_weight, actions = driver.request("unsafe")
    assert actions == []
    actions = driver.end(first[0], Outcome.OK) + driver.end(first[1], Outcome.OK)
    assert [a.request_id for a in actions if isinstance(a, Send)][:2] == [high_weight, low_weight]


def test_slow_answers_shrink_the_concurrency_limit_and_fast_ones_grow_it() -> None:
    driver = Driver(endpoints=[endpoint("s1")])
    driver.serve(30)
    server = driver.balancer.endpoint_set.endpoints["s1"]
    for _ in range(20):
        server.adapt_concurrency_limit(3.0)
    assert server.concurrency_limit == 1.0
    for _ in range(60):
        server.in_flight = int(server.concurrency_limit)
        server.adapt_concurrency_limit(0.5)
    # It grows slowly, because a surge shows in the latency only after some rounds of answers.
    assert 3 < server.concurrency_limit < 8


def test_failing_server_is_paused_longer_each_time() -> None:
    """A server that fails requests immediately would attract, and fail, more than its share."""
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.serve(30)
    server = driver.balancer.endpoint_set.endpoints["s1"]
    pauses = []
    for _ in range(3):
        server.pause(driver.now_ms, 50, 1000)
        server.pause(driver.now_ms, 50, 1000)  # a second failure of the same burst
        pauses.append(server.paused_until_ms - driver.now_ms)
        assert not server.has_capacity(driver.now_ms)
        driver.wait(pauses[-1])
        assert server.has_capacity(driver.now_ms)
    assert pauses == [50, 100, 200]


def test_stalled_server_gets_nothing_new_until_it_answers() -> None:
    """A hung server would be sent requests until the first time-out."""
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.serve(40)
    unanswered = [driver.request()[0] for _ in range(4)]
    on_s1 = [i for i in unanswered if driver.sent[i] == ["s1"]]
    driver.wait(300)
    for i in unanswered:
        if i not in on_s1:
            driver.end(i, Outcome.OK)
    driver.last_id = 1000
    driver.serve(10)
    assert all(driver.sent[i] == ["s2"] for i in range(1001, 1011))
    for i in on_s1:
        driver.end(i, Outcome.OK, 300)
    assert driver.balancer.endpoint_set.endpoints["s1"].has_capacity(driver.now_ms)


def test_expensive_zone_crossings_are_made_only_when_local_servers_are_full() -> None:
    expensive = replace(SETTINGS, prices=replace(SETTINGS.prices, cross_zone=0.2))
    driver = Driver(expensive, [endpoint("here", "a"), endpoint("there", "b")])
    names = []
    for _ in range(6):
        request, _ = driver.request()
        names += driver.sent[request]
    assert names == ["here"] * 4 + ["there"] * 2


def test_no_second_attempt_in_flight_if_parallel_attempts_are_forbidden() -> None:
    driver = Driver()
    request, _ = driver.request()
    request_state = driver.balancer.requests[request]
    assert not any(
        driver.balancer.guard.may_send(request_state, e) for e in driver.balancer.endpoint_set.local.ring
    )


def test_guard_alone_enforces_the_rules() -> None:
    """The guard forbids these sends by itself, whatever its callers check."""
    cls = replace(KEYED, idempotency_scope=IdempotencyScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(cls, replace(UNSAFE, name="once"))))
    server = driver.balancer.endpoint_set.endpoints["s1"]
    for class_name, past_window in (("once", 0), ("keyed", 900)):
        request, _ = driver.request(class_name)
        request_state = driver.balancer.requests[request]
        request_state.attempts[0].outcome, request_state.attempts_in_flight = Outcome.REJECTED, 0
        driver.wait(past_window)
        driver.handle_events()
        assert driver.balancer.guard.may_send(request_state, server)
        request_state.attempts[0].outcome = Outcome.TIMEOUT
        assert not driver.balancer.guard.may_send(request_state, server)
    request, _ = driver.request("keyed")
    request_state = driver.balancer.requests[request]
    request_state.attempts_in_flight = 0
    assert driver.balancer.guard.may_send(request_state, server)
    server.listed = replace(server.listed, state=EndpointState.DRAINING)
    assert not driver.balancer.guard.may_send(request_state, server)


def test_attempts_time_out_at_the_latency_objective_if_late_answers_earn_nothing() -> None:
    """Later answers would only be wasted work on servers that are full."""
    for share, timeout_ms in ((0.0, 500.0), (0.3, 2000.0)):
        driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight_share=share),)))
        _, actions = driver.request()
        assert isinstance(actions[0], Send)
        assert actions[0].timeout_ms == timeout_ms


def test_reported_queues_shrink_the_concurrency_limit_at_normal_latencies() -> None:
    """A proxy that starts during an overload would take its latencies for those without queueing."""
    for queued, shrinks in ((0.0, False), (20.0, True)):
        driver = Driver(replace(SETTINGS, report_fields=("inflight", "queue")), [endpoint("s1")])
        for i in range(1, 41):
            driver.request()
            driver.wait(50)
            driver.handle_events(AttemptEnded(i, 0, Outcome.OK, 50.0, True, report=(4.0 + queued, queued)))
        limit = driver.balancer.endpoint_set.endpoints["s1"].concurrency_limit
        assert (limit < 4) == shrinks


def test_the_class_with_the_least_headroom_sets_the_target_slowness_for_all() -> None:
    """Servers loaded up to what a class with much headroom permits are too slow for one with little."""
    lenient = replace(SAFE, name="roomy", latency_objective_ms=5000, deadline_ms=8000)
    driver = Driver(replace(SETTINGS, classes=(SAFE, lenient)))
    driver.serve(60, "roomy", 200)
    lenient_target = driver.balancer.learner.target_slowness()
    driver.serve(60, "safe", 200)
    assert driver.balancer.learner.target_slowness() < lenient_target / 1.5


def test_proxy_among_many_sends_nothing_at_once_to_a_server_in_slow_start() -> None:
    """To each of a thousand proxies a server in slow start seems idle."""
    driver = Driver(replace(SETTINGS, proxies=1000), [endpoint("c1", started_ms=990)])
    assert not driver.request()[1]
