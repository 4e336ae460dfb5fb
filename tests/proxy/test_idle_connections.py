"""Connections that something on the way drops unseen while they lie idle."""

from dataclasses import replace

from client_proxy.api.actions import Action, CloseIdle
from client_proxy.api.events import Outcome
from client_proxy.balancer.request import Attempt
from tests.driver import SETTINGS, Driver, endpoint

IDLE = replace(SETTINGS, limits=replace(SETTINGS.limits, connection_idle_timeout_ms=30_000.0))


def warm() -> Driver:
    driver = Driver(IDLE, [endpoint("s1")])
    driver.serve(40)
    return driver


def closed(actions: list[Action]) -> bool:
    return CloseIdle("s1") in actions


def served(driver: Driver) -> bool:
    """One more request is served; was the idle connection closed before it went out?"""
    request, actions = driver.request()
    driver.wait(50)
    driver.end(request, Outcome.OK)
    return closed(actions)


def test_idle_for_as_long_as_one_that_died_it_is_closed_before_the_send() -> None:
    """Danger: what is sent on a connection that was dropped while idle is reset or never answered."""
    driver = warm()
    driver.wait(2000)
    request, actions = driver.request("unsafe")
    assert not closed(actions)
    server = driver.balancer.endpoint_set.endpoints["s1"]
    standing = server.class_statistics["unsafe"]
    judged = standing.earned_weight
    driver.end(request, Outcome.RESET, 1.0)
    assert standing.earned_weight == judged
    assert server.has_capacity(driver.now_ms, "unsafe")
    assert not served(driver)  # a connection of its own: none was left
    driver.wait(1100)
    assert served(driver)
    driver.wait(500)
    assert not served(driver)


def test_two_silent_deaths_in_a_row_tell_the_same_and_an_answer_between_clears_them() -> None:
    for between, closes in ((False, True), (True, False)):
        driver = warm()
        for _ in range(2):
            driver.wait(2000)
            request, _ = driver.request("unsafe")
            driver.wait(500)
            driver.end(request, Outcome.TIMEOUT, 500.0)
            driver.wait(3000)
            served(driver)
            if between:
                driver.wait(2000)
                served(driver)
        driver.wait(1500)
        assert served(driver) == closes


def test_reset_under_way_or_on_a_fresh_connection_tells_of_the_server() -> None:
    driver = warm()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 300.0)
    assert driver.balancer.endpoint_set.endpoints["s1"].class_statistics["unsafe"].earned_weight < 1
    driver.wait(4000)
    assert not served(driver)


def test_deaths_are_forgotten_after_a_while() -> None:
    driver = warm()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 1.0)
    served(driver)
    driver.wait(29_000)
    assert served(driver)
    driver.wait(29_000)
    served(driver)
    driver.wait(5000)
    assert not served(driver)


def test_nothing_is_closed_that_the_proxy_has_closed_itself() -> None:
    driver = warm()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 1.0)
    served(driver)
    driver.wait(30_001)
    assert not served(driver)


def test_a_failed_connect_ends_the_closing() -> None:
    """Danger: where new connections are not to be had, closing gives away the few that are open."""
    driver = warm()
    driver.wait(2000)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.RESET, 1.0)
    request, _ = driver.request("unsafe")
    driver.end(request, Outcome.CONNECT_FAILED, 75.0)
    driver.wait(1000)
    served(driver)
    driver.wait(2000)
    assert not served(driver)


def test_silence_in_a_crowd_is_no_death_of_a_connection() -> None:
    """Danger: in a crowd many answers are late, and closing would add handshakes to the load."""
    driver = warm()
    for _ in range(2):
        driver.wait(2000)
        server = driver.balancer.endpoint_set.endpoints["s1"]
        died = driver.balancer.idle_connections.detect_idle_loss(
            Attempt(server, driver.now_ms, 2000.0, Outcome.TIMEOUT), 500.0, 25.0, False, driver.now_ms
        )
        assert not died
    assert not served(driver)


def test_connections_that_break_by_chance_are_no_idle_deaths() -> None:
    """Danger: they would soon all be closed before use, and each new one costs a handshake."""
    driver = warm()
    for _ in range(10):
        for _ in range(4):
            driver.wait(1000)
            assert not served(driver)
        driver.wait(900)
        request, actions = driver.request("unsafe")
        assert not closed(actions)
        driver.end(request, Outcome.RESET, 1.0)
        assert not served(driver)
