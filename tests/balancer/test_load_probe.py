"""Load probes: drawn servers are asked for their load before the pick."""

from dataclasses import replace

import pytest

from client_proxy.api.actions import Action, Fail, Probe, Reject, Send
from client_proxy.api.events import AttemptEnded, ClientDisconnected, EndpointState, Outcome, ProbeEnded
from client_proxy.api.settings import Settings
from tests.driver import SETTINGS, Driver, delta, endpoint

PROBE_SETTINGS = replace(
    SETTINGS,
    limits=replace(SETTINGS.limits, probes=True),
    report_fields=("queue", "inflight"),
    prices=replace(SETTINGS.prices, probe=0.001),
)
FLEET = [endpoint(f"s{i}") for i in range(6)]


def make_probing_driver(settings: Settings = PROBE_SETTINGS) -> Driver:
    driver = Driver(settings, FLEET)
    for _ in range(20):  # lets the balancer learn the round-trip time
        driver.handle_events(ProbeEnded("s0", Outcome.OK, 1.0, (0.0, 0.0)))
    return driver


def probed_servers(actions: list[Action]) -> list[str]:
    return [a.endpoint for a in actions if isinstance(a, Probe)]


def report_load(driver: Driver, name: str, in_flight: float | None) -> list[Action]:
    return driver.handle_events(
        ProbeEnded(name, Outcome.OK, 1.0, None if in_flight is None else (0.0, in_flight))
    )


def test_idle_server_of_the_two_drawn_gets_the_request_at_once() -> None:
    """With hundreds of proxies, the own requests in flight tell almost nothing about a server's load."""
    driver = make_probing_driver()
    request, actions = driver.request()
    one, two = probed_servers(actions)
    assert driver.sent == {}
    assert report_load(driver, one, 3) == []
    assert [a.endpoint for a in report_load(driver, two, 0) if isinstance(a, Send)] == [two]
    assert driver.sent[request] == [two]


def test_while_all_probed_servers_are_busy_more_are_probed_and_the_best_is_used() -> None:
    driver = make_probing_driver()
    request, actions = driver.request()
    probed: list[str] = []
    while names := probed_servers(actions):
        assert not set(names) & set(probed)
        probed += names
        for name in names:
            actions = report_load(driver, name, 1.0 if name == probed[1] else 4.0)
    assert len(probed) == 6
    assert driver.sent[request] == [probed[1]]


def test_probe_answer_without_a_report_counts_as_busy() -> None:
    """Servers may stop reporting while they are busy; taken for idle, they would attract all requests."""
    driver = make_probing_driver()
    request, actions = driver.request()
    one, two = probed_servers(actions)
    report_load(driver, one, None)
    report_load(driver, two, 1.0)
    assert request not in driver.sent


def test_lost_probes_do_not_block_the_request() -> None:
    driver = make_probing_driver()
    request, _ = driver.request()
    driver.wait(40)
    assert len(driver.sent[request]) == 1


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_nothing_is_sent_to_a_probed_server_that_drains_or_is_gone_before_the_pick(
    state: EndpointState,
) -> None:
    """A server that was ready when drawn, with little load, may drain or be gone before the pick."""
    driver = Driver(PROBE_SETTINGS, FLEET[:2])
    request, actions = driver.request()
    one, two = probed_servers(actions)
    report_load(driver, one, 1.0)
    driver.handle_events(delta(endpoint(one, state=state)))
    driver.wait(50)
    assert driver.sent[request] == [two]


def test_client_that_disconnects_during_probes_gets_nothing_more() -> None:
    driver = make_probing_driver()
    request, actions = driver.request()
    driver.handle_events(ClientDisconnected(request))
    for name in probed_servers(actions):
        assert report_load(driver, name, 0) == []
    assert driver.wait(100) == []
    assert not driver.balancer.requests


def test_request_with_almost_no_time_left_is_rejected_unsent() -> None:
    """A request probed for beyond its deadline would be answered too late."""
    driver = make_probing_driver()
    request, actions = driver.request(deadline_ms=driver.now_ms + 0.8)
    assert actions == [Reject(request)]
    request, actions = driver.request(deadline_ms=driver.now_ms + 64)
    driver.now_ms += 60  # the process was stalled
    assert report_load(driver, probed_servers(actions)[0], 0) == [Reject(request)]


def test_probes_are_sent_only_if_allowed_cheap_and_fast() -> None:
    expensive_probes = replace(PROBE_SETTINGS.prices, probe=0.05)
    for settings in (
        replace(PROBE_SETTINGS, report_fields=("queue",)),
        replace(PROBE_SETTINGS, prices=expensive_probes),
        replace(PROBE_SETTINGS, limits=replace(PROBE_SETTINGS.limits, probes=False)),
    ):
        assert not probed_servers(Driver(settings, FLEET).request()[1])
    slow = make_probing_driver()
    for _ in range(20):
        slow.handle_events(ProbeEnded("s0", Outcome.OK, 90.0, (0.0, 0.0)))
    assert not probed_servers(slow.request()[1])


def test_send_guard_applies_to_a_retry_after_a_probe() -> None:
    driver = make_probing_driver()
    request, actions = driver.request("unsafe")
    report_load(driver, probed_servers(actions)[0], 0)
    sent = driver.sent[request]
    assert driver.handle_events(AttemptEnded(request, 0, Outcome.TIMEOUT, 500)) == [Fail(request)]
    assert len(sent) == 1
