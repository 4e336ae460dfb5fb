"""Idle connections that a middlebox drops without notice."""

from dataclasses import replace

from client_proxy.api.actions import Action, CloseIdle
from client_proxy.api.events import Outcome
from client_proxy.balancer.request import Attempt
from tests.driver import SETTINGS, Driver, endpoint

IDLE = replace(SETTINGS, limits=replace(SETTINGS.limits, connection_idle_timeout_ms=30_000.0))


def make_warmed_driver() -> Driver:
    driver = Driver(IDLE, [endpoint("s1")])
    driver.serve(40)
    return driver


def closes_idle(actions: list[Action]) -> bool:
    return CloseIdle("s1") in actions


def next_request_closes_idle(driver: Driver) -> bool:
    """Serve one more request; return whether the idle connection was closed before it was sent."""
    request, actions = driver.request()
    driver.wait(50)
    driver.end(request, Outcome.OK)
    return closes_idle(actions)


def test_connection_idle_as_long_as_a_lost_one_is_closed_before_the_send() -> None:
    """Risk: a request on a connection that was dropped while idle is reset or never answered."""
    driver = make_warmed_driver()
    driver.wait(2000)
    request, actions = driver.request("unsafe")
    assert not closes_idle(actions)
    server = driver.balancer.endpoint_set.endpoints["s1"]
    statistics = server.class_statistics["unsafe"]
    weight_before = statistics.earned_weight
    driver.end(request, Outcome.RESET, 1.0)
    assert statistics.earned_weight == weight_before
    assert server.has_capacity(driver.now_ms, "unsafe")
    assert not next_request_closes_idle(driver)  # it used a new connection, as no idle one was left
    driver.wait(1100)
    assert next_request_closes_idle(driver)
    driver.wait(500)
    assert not next_request_closes_idle(driver)


def test_two_timeouts_in_a_row_count_as_a_lost_connection() -> None:
    for success_between, expected in ((False, True), (True, False)):
        driver = make_warmed_driver()
        for _ in range(2):
            driver.wait(2000)
            request, _ = driver.request("unsafe")
            driver.wait(500)
            driver.end(request, Outcome.TIMEOUT, 500.0)
            driver.wait(3000)
            next_request_closes_idle(driver)
            if success_between:
                driver.wait(2000)
                next_request_closes_idle(driver)
        driver.wait(1500)
        assert next_request_closes_idle(driver) == expected


def test_late_reset_counts_against_the_endpoint() -> None:
    driver = make_warmed_driver()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 300.0)
    assert driver.balancer.endpoint_set.endpoints["s1"].class_statistics["unsafe"].earned_weight < 1
    driver.wait(4000)
    assert not next_request_closes_idle(driver)


def test_lost_connections_are_forgotten_after_a_while() -> None:
    driver = make_warmed_driver()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 1.0)
    next_request_closes_idle(driver)
    driver.wait(29_000)
    assert next_request_closes_idle(driver)
    driver.wait(29_000)
    next_request_closes_idle(driver)
    driver.wait(5000)
    assert not next_request_closes_idle(driver)


def test_no_close_after_the_proxy_s_own_idle_timeout() -> None:
    driver = make_warmed_driver()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 1.0)
    next_request_closes_idle(driver)
    driver.wait(30_001)
    assert not next_request_closes_idle(driver)


def test_failed_connect_stops_closing_idle_connections() -> None:
    """Risk: where new connections fail, closing idle ones gives up the few that work."""
    driver = make_warmed_driver()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 1.0)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.CONNECT_FAILED, 75.0)
    driver.wait(1000)
    next_request_closes_idle(driver)
    driver.wait(2000)
    assert not next_request_closes_idle(driver)


def test_timeout_under_load_is_not_a_lost_connection() -> None:
    """Risk: under load many responses are late, and closing connections would add handshakes to the load."""
    driver = make_warmed_driver()
    for _ in range(2):
        driver.wait(2000)
        server = driver.balancer.endpoint_set.endpoints["s1"]
        lost = driver.balancer.idle_connections.detect_idle_loss(
            Attempt(server, driver.now_ms, 2000.0, Outcome.TIMEOUT), 500.0, 25.0, False, driver.now_ms
        )
        assert not lost
    assert not next_request_closes_idle(driver)


def test_random_resets_do_not_close_idle_connections() -> None:
    """Risk: all connections would soon be closed before use, and each new one costs a handshake."""
    driver = make_warmed_driver()
    for _ in range(10):
        for _ in range(4):
            driver.wait(1000)
            assert not next_request_closes_idle(driver)
        driver.wait(900)
        request, actions = driver.request("unsafe")
        assert not closes_idle(actions)
        driver.end(request, Outcome.RESET, 1.0)
        assert not next_request_closes_idle(driver)
