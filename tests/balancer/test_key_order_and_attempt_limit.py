"""Order of requests by key, and the limit on attempts beyond each request's first in a time window.

These are rules 5 and 6 of the safety rules.
"""

from dataclasses import replace

import pytest

from client_proxy.api.actions import Fail, Reject, Send
from client_proxy.api.events import AttemptEnded, ClientDisconnected, Outcome, RequestArrived
from client_proxy.api.settings import AttemptLimit, Safety
from client_proxy.balancer.attempt_limit import AttemptLimiter
from tests.driver import SAFE, SETTINGS, Driver, endpoint

IN_ORDER = replace(SAFE, name="ordered", in_order=True)
ALSO_IN_ORDER = replace(IN_ORDER, name="also ordered", priority_weight=9)
ORDERED_SETTINGS = replace(
    SETTINGS,
    classes=(SAFE, IN_ORDER, ALSO_IN_ORDER),
    safety=replace(SETTINGS.safety, key_quiet_ms=60),
)
LIMIT = AttemptLimit(window_ms=1000, share=0.5, free=1)


def send_request(driver: Driver, key: str | None = "k", class_name: str = "ordered") -> int:
    driver.last_id += 1
    driver.handle_events(RequestArrived(driver.last_id, class_name, key=key))
    return driver.last_id


def test_requests_of_one_key_are_sent_one_at_a_time_in_order_of_arrival_over_all_classes() -> None:
    driver = Driver(ORDERED_SETTINGS)
    first, second, third = (
        send_request(driver),
        send_request(driver, class_name="also ordered"),
        send_request(driver),
    )
    assert list(driver.sent) == [first]
    driver.end(first, Outcome.OK)
    assert list(driver.sent) == [first, second]
    driver.end(second, Outcome.OK)
    assert list(driver.sent) == [first, second, third]


def test_requests_with_another_key_no_key_or_an_unordered_class_do_not_wait() -> None:
    driver = Driver(ORDERED_SETTINGS)
    send_request(driver)
    free = [
        send_request(driver, "other"),
        send_request(driver, None),
        send_request(driver, None),
        send_request(driver, "k", "safe"),
    ]
    assert set(free) <= set(driver.sent)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_key_is_quiet_after_an_attempt_that_may_still_be_executing(outcome: Outcome) -> None:
    driver = Driver(ORDERED_SETTINGS)
    driver.balancer.retry_budget.tokens = 0
    first, second = send_request(driver), send_request(driver)
    assert driver.end(first, outcome) == [Fail(first)]
    driver.wait(59)
    late = send_request(driver)
    assert list(driver.sent) == [first]
    driver.wait(2)
    assert list(driver.sent) == [first, second]
    driver.end(second, Outcome.OK)
    assert list(driver.sent) == [first, second, late]


def test_key_is_not_quiet_after_an_attempt_that_has_certainly_ended() -> None:
    driver = Driver(ORDERED_SETTINGS)
    driver.balancer.retry_budget.tokens = 0
    first, second = send_request(driver), send_request(driver)
    driver.end(first, Outcome.ERROR)
    assert list(driver.sent) == [first, second]


def test_request_keeps_its_turn_for_its_retry() -> None:
    driver = Driver(ORDERED_SETTINGS)
    first, second = send_request(driver), send_request(driver)
    driver.end(first, Outcome.RESET)
    driver.wait(301)
    assert len(driver.sent[first]) == 2
    assert second not in driver.sent


def test_next_request_waits_until_all_attempts_of_a_disconnected_one_have_ended() -> None:
    driver = Driver(ORDERED_SETTINGS)
    first, second = send_request(driver), send_request(driver)
    driver.handle_events(ClientDisconnected(first))
    driver.wait(100)
    assert second not in driver.sent
    driver.handle_events(AttemptEnded(first, 0, Outcome.OK, 100, True))
    assert second in driver.sent


def test_request_that_ends_before_its_turn_leaves_the_queue() -> None:
    driver = Driver(ORDERED_SETTINGS)
    first, second, third = send_request(driver), send_request(driver), send_request(driver)
    driver.handle_events(ClientDisconnected(second))
    driver.end(first, Outcome.OK)
    assert list(driver.sent) == [first, third]
    waiting = send_request(driver)
    assert driver.wait(500) == [Reject(waiting)]


def test_long_queue_of_expired_requests_is_rejected_in_one_call() -> None:
    driver = Driver(ORDERED_SETTINGS)
    waiting = [send_request(driver) for _ in range(3000)]
    driver.now_ms += 2000  # the process was stalled, so no timer fired
    actions = driver.handle_events(AttemptEnded(waiting[0], 0, Outcome.OK, 2000, True))
    assert actions == [Reject(i) for i in waiting[1:]]


def test_idle_keys_are_forgotten() -> None:
    driver = Driver(ORDERED_SETTINGS)
    for i in range(50):
        request = send_request(driver, f"k{i}")
        driver.handle_events(ClientDisconnected(request))
        if request in driver.sent:
            driver.end(request, Outcome.RESET if i % 2 else Outcome.OK)
    assert driver.balancer.key_order._queues  # keys in their quiet time are kept
    driver.wait(61)
    assert not driver.balancer.key_order._queues


def test_attempt_limit_counts_a_sliding_window_with_its_edges() -> None:
    limiter = AttemptLimiter(LIMIT)
    assert limiter.allows(0)
    limiter.attempt_sent(0)
    assert not limiter.allows(0)
    limiter.request_arrived(100)
    limiter.request_arrived(100)
    assert limiter.allows(100)
    limiter.attempt_sent(100)
    assert not limiter.allows(1000)  # the attempt at 0 is exactly at the edge and counts
    assert limiter.allows(1000.1)
    assert not limiter.allows(1100)  # at the edge the attempt at 100 counts, the requests at 100 do not
    assert limiter.allows(1100.1)


def test_attempt_not_sent_does_not_count() -> None:
    limiter = AttemptLimiter(LIMIT)
    limiter.attempt_sent(5)
    assert not limiter.allows(6)
    limiter.attempt_not_sent(5)
    assert limiter.allows(6)


def test_without_the_setting_attempts_are_unlimited() -> None:
    limiter = AttemptLimiter(None)
    for now_ms in range(100):
        limiter.attempt_sent(now_ms)
        assert limiter.allows(now_ms)


def make_driver_with_attempt_limit(limit: AttemptLimit) -> Driver:
    return Driver(replace(SETTINGS, safety=replace(SETTINGS.safety, attempts=limit)))


def test_attempt_limit_prevents_a_retry_without_withdrawing_tokens() -> None:
    """A full retry budget alone would permit more retries in a window than the attempt limit does."""
    driver = make_driver_with_attempt_limit(AttemptLimit(window_ms=5000, share=0, free=1))
    first, _ = driver.request()
    driver.end(first, Outcome.ERROR)
    driver.wait(301)
    assert len(driver.sent[first]) == 2
    second, _ = driver.request()
    tokens = driver.balancer.retry_budget.tokens
    assert driver.end(second, Outcome.ERROR) == [Fail(second)]
    assert driver.balancer.retry_budget.tokens == tokens


def test_of_two_pending_retries_within_a_limit_of_one_the_unsent_one_is_refunded() -> None:
    driver = make_driver_with_attempt_limit(AttemptLimit(window_ms=5000, share=0, free=1))
    both = [driver.request()[0], driver.request()[0]]
    for request in both:
        driver.end(request, Outcome.ERROR)
    driver.wait(2000)
    assert sorted(len(driver.sent[i]) for i in both) == [1, 2]
    assert driver.balancer.retry_budget.tokens == 90


def test_tokens_of_a_pending_retry_are_refunded_when_the_client_disconnects() -> None:
    driver = Driver()
    request, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    assert driver.balancer.retry_budget.tokens == 90
    driver.handle_events(ClientDisconnected(request))
    assert driver.balancer.retry_budget.tokens == 100


def test_attempt_limit_counts_every_arrival_and_starts_with_none() -> None:
    driver = make_driver_with_attempt_limit(AttemptLimit(window_ms=5000, share=0.5, free=0))
    request, _ = driver.request()
    assert driver.end(request, Outcome.ERROR) == [Fail(request)]
    driver.request(deadline_ms=driver.now_ms - 1)  # rejected at once
    request, _ = driver.request()
    driver.end(request, Outcome.ERROR)
    driver.wait(301)
    assert len(driver.sent[request]) == 2


def test_guard_alone_enforces_key_order_and_attempt_limit() -> None:
    settings = replace(
        ORDERED_SETTINGS, safety=replace(ORDERED_SETTINGS.safety, attempts=AttemptLimit(1000, 0, 0))
    )
    driver = Driver(settings, [endpoint("s1"), endpoint("s2")])
    server = driver.balancer.endpoint_set.endpoints["s1"]
    first, second = send_request(driver), send_request(driver)
    assert not driver.balancer.guard.may_send(driver.balancer.requests[second], server)
    request = driver.balancer.requests[first]
    request.attempts[0].outcome, request.attempts_in_flight = Outcome.REJECTED, 0
    assert not driver.balancer.guard.may_send(request, server)


def test_attempt_limit_and_quiet_time_are_off_by_default() -> None:
    assert Safety().attempts is None
    assert Safety().key_quiet_ms == 0
    driver = Driver()
    _, actions = driver.request()
    assert isinstance(actions[0], Send)
