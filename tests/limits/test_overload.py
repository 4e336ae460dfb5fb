"""Load shedding under the balancer, without I/O and with a simulated time."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.api.actions import Reject, Send
from client_proxy.api.events import (
    AttemptEnded,
    EndpointsListed,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
)
from client_proxy.api.policy_hook import BalancerHook, CompositeHook, PickContext
from client_proxy.balancer.balancer import Balancer
from client_proxy.limits.concurrency_limit import ConcurrencyWindow
from client_proxy.limits.load_shedding import SUBSET_TARGET_SHARE, LoadShedding
from client_proxy.limits.pacing import PacedConcurrency
from client_proxy.limits.settings import OverloadSettings
from client_proxy.operators import OperatorSettings, parse_operators
from client_proxy.routing.locality.router import LocalityRouter
from client_proxy.routing.settings import LocalitySettings
from client_proxy.toml_table import TomlError
from tests.driver import SAFE, SETTINGS, UNSAFE, Driver, endpoint
from tests.support.fixed_draws import fixed_draws

FLEET = tuple(endpoint(f"{zone}{n}", zone=zone) for zone in "ab" for n in range(3))
BALANCER_SETTINGS = replace(SETTINGS, report_fields=("inflight", "queue", "latency_ms"))
IDLE, CONGESTED = (2.0, 0.0, 40.0), (24.0, 20.0, 40.0)


def make_driver(operators: OperatorSettings, balancer_settings: object = BALANCER_SETTINGS) -> Driver:
    driver = Driver(balancer_settings, ())  # type: ignore[arg-type]
    driver.balancer = Balancer(balancer_settings, 1, operators.balancer_hook(balancer_settings, 1))  # type: ignore[arg-type]
    driver.handle_events(EndpointsListed(ListKind.FULL, FLEET))
    for known in driver.balancer.endpoint_set.endpoints.values():
        known.concurrency_limit = 50.0  # so high that only the hook limits requests
    return driver


OVERLOAD_ON = OperatorSettings(overload=OverloadSettings())


def overload_hook(driver: Driver) -> LoadShedding:
    hook = driver.balancer.hook
    assert isinstance(hook, LoadShedding)
    return hook


def record_congestion(hook: LoadShedding, from_ms: float, count: int = 40) -> None:
    """Record answers whose reports show five requests queued for each one executed, 100 ms apart."""
    for step in range(count):
        hook.window.in_flight += 1
        hook.attempt_ended(from_ms + step * 100.0, FLEET[step % 6], Outcome.OK, 5.0, False, CONGESTED, 200.0)


def test_nothing_is_rejected_while_endpoints_are_idle() -> None:
    driver = make_driver(OVERLOAD_ON)
    for step in range(2000):
        request, actions = driver.request(("safe", "unsafe", "keyed")[step % 3])
        assert any(isinstance(a, Send) for a in actions)
        driver.wait(5.0)
        attempt = AttemptEnded(request, 0, Outcome.OK, 5.0, answered=True, report=IDLE)
        driver.handle_events(attempt)
    assert not any(isinstance(a, Reject) for a in driver.log)


def test_under_congestion_low_priority_is_rejected_at_once_and_high_priority_served() -> None:
    driver = make_driver(OperatorSettings(overload=OverloadSettings(growth=0.01, cut=0.01)))
    for _ in range(100):
        for name in ("safe", "unsafe"):
            overload_hook(driver).admission.request_arrived(name, 10.0)
    overload_hook(driver).window.size = 0.5
    rejected = {"safe": 0, "unsafe": 0}
    for _ in range(100):
        for name in rejected:
            request, actions = driver.request(name)
            rejected[name] += any(isinstance(a, Reject) for a in actions)
            if request in driver.sent:
                driver.handle_events(AttemptEnded(request, 0, Outcome.OK, 5.0, answered=True))
    assert rejected["unsafe"] <= 2
    assert rejected["safe"] >= 90


def test_the_admitted_share_recovers_after_congestion() -> None:
    driver = make_driver(OVERLOAD_ON)
    record_congestion(overload_hook(driver), driver.now_ms)
    driver.wait(4000.0)
    assert overload_hook(driver).window.share < 0.5
    began_ms = driver.now_ms
    while overload_hook(driver).window.share < 1.0:
        request, _ = driver.request("unsafe")
        driver.wait(50.0)
        if request in driver.sent:
            driver.handle_events(AttemptEnded(request, 0, Outcome.OK, 50.0, answered=True, report=IDLE))
        assert driver.now_ms - began_ms < 10_000.0
    request, _ = driver.request("unsafe")
    driver.handle_events(AttemptEnded(request, 0, Outcome.OK, 50.0, answered=True, report=IDLE))
    log_texts = [a.text for a in driver.log if hasattr(a, "text")]
    assert any("servers are full" in text for text in log_texts)
    assert any("have room" in text for text in log_texts)


def test_a_window_cut_under_congestion_recovers_soon() -> None:
    """A second of congestion must not lead to ten seconds of rejections while endpoints are idle."""
    recovered_after_ms: dict[int, float] = {}
    for ready in (2, 6):  # an instance's part is 5 requests, or 16
        window = ConcurrencyWindow(OverloadSettings().window_settings())
        window.start(16.0 * ready / 6.0)
        for step in range(20):
            window.record_inflation(step * 100.0, 5.4)
        assert window.size < 0.1 * initial_size(ready)
        now_ms = 2000.0
        while window.size < 0.5 * initial_size(ready):
            now_ms += 100.0
            window.is_full(now_ms, -1e9)
            window.record_inflation(now_ms, 1.5)  # neither idle nor congested
        recovered_after_ms[ready] = now_ms - 2000.0
    assert max(recovered_after_ms.values()) < 6000.0
    assert recovered_after_ms[6] < 2.0 * recovered_after_ms[2]


def initial_size(ready: int) -> float:
    return 16.0 * ready / 6.0


def test_many_instances_that_use_few_endpoints_each_have_a_lower_target() -> None:
    def target_inflation(proxies: int, servers: int) -> float:
        hook = LoadShedding(OverloadSettings(), replace(BALANCER_SETTINGS, proxies=proxies))
        hook.endpoints_listed(0.0, [endpoint(f"s{n}") for n in range(servers)])
        assert isinstance(hook.window, ConcurrencyWindow)
        return hook.window.target

    stated = OverloadSettings().target_inflation
    assert target_inflation(60, 60) == target_inflation(30, 9) == target_inflation(3, 9) == stated
    assert (
        target_inflation(64, 42) == target_inflation(200, 130) == pytest.approx(SUBSET_TARGET_SHARE * stated)
    )


def test_no_request_stays_pending_after_it_can_no_longer_be_in_time() -> None:
    driver = make_driver(OVERLOAD_ON)
    overload_hook(driver).window.size = 1.0
    first, _ = driver.request("unsafe")
    assert first in driver.sent
    waiting = [driver.request(name)[0] for name in ("safe", "unsafe", "safe", "unsafe") for _ in range(20)]
    driver.wait(SAFE.latency_objective_ms)
    ended = {a.request_id for a in driver.log if isinstance(a, Reject)} | set(driver.sent)
    assert set(waiting) <= ended
    assert not any(driver.balancer.pending.values())


def test_pending_requests_are_sent_by_priority() -> None:
    driver = make_driver(OVERLOAD_ON)
    overload_hook(driver).window.size = 1.0
    driver.request("unsafe")
    overload_hook(driver).window.in_flight = 10  # requests that are not simulated here
    requests = [driver.request(name)[0] for name in ("safe", "unsafe", "safe")]
    overload_hook(driver).window.in_flight = 1
    driver.handle_events()
    sent = [request for request in requests if request in driver.sent]
    assert sent == [requests[1]]


def test_a_retry_that_would_be_late_is_rejected_at_once() -> None:
    driver = make_driver(OVERLOAD_ON)
    late = RequestArrived(1, "safe", first_request_ms=driver.now_ms - SAFE.latency_objective_ms)
    assert driver.handle_events(late) == [Reject(1, 0.0)]
    recent = RequestArrived(2, "safe", first_request_ms=driver.now_ms - 0.2 * SAFE.latency_objective_ms)
    assert any(isinstance(a, Send) for a in driver.handle_events(recent))


def test_rejections_carry_jittered_retry_after_times_if_settings_allow_them() -> None:
    allowed = replace(
        BALANCER_SETTINGS,
        limits=replace(BALANCER_SETTINGS.limits, retry_after=True, max_retry_after_ms=600.0),
    )
    stated = OperatorSettings(overload=OverloadSettings(retry_after_ms=(200.0, 700.0)))
    for balancer_settings, has_retry_after in ((BALANCER_SETTINGS, False), (allowed, True)):
        driver = make_driver(stated, balancer_settings)
        for number in range(50):
            driver.handle_events(
                RequestArrived(1000 + number, "safe", first_request_ms=driver.now_ms - 2000.0)
            )
        times_ms = [a.retry_after_ms for a in driver.log if isinstance(a, Reject)]
        assert len(times_ms) == 50
        if has_retry_after:
            assert all(200.0 <= time_ms <= 600.0 for time_ms in times_ms)
            assert len(set(times_ms)) > 30
        else:
            assert set(times_ms) == {0.0}


def test_no_state_is_kept_for_ended_requests() -> None:
    driver = make_driver(OVERLOAD_ON)
    hook = overload_hook(driver)
    for number in range(3000):
        endpoints = (endpoint(f"s{number}", zone="a"), endpoint(f"s{number + 1}", zone="a"))
        driver.handle_events(EndpointsListed(ListKind.FULL, endpoints))
        # Every second request is of an unknown class.
        request, _ = driver.request(("unsafe", "nobody's")[number % 2])
        if request in driver.sent:
            outcome = (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT)[number % 3]
            driver.handle_events(AttemptEnded(request, 0, outcome, 9.0, outcome is Outcome.OK, report=IDLE))
        driver.wait(20.0)
    driver.wait(10_000.0)
    assert hook.window.in_flight == 0
    assert len(hook.congestion) <= 2
    assert not driver.balancer.requests
    assert not driver.balancer.timers


# Several hooks


class FixedHook(BalancerHook):
    """Returns fixed answers to the balancer."""

    def __init__(self, orders_zones: bool, zones: tuple[str, ...], accepts: bool, admits: bool) -> None:
        self.orders_zones = orders_zones
        self._zones, self._accepts, self._admits = zones, accepts, admits

    def accepts_request(self, now_ms: float, context: PickContext) -> bool:
        return self._accepts

    def zone_order(self, now_ms: float, context: PickContext) -> tuple[str, ...]:
        return self._zones

    def admits(self, now_ms: float, zone: str | None, context: PickContext) -> bool:
        return self._admits


@fixed_draws("composed_advisors_only_narrow_in_any_number_and_order")
@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.builds(
            FixedHook,
            st.booleans(),
            st.permutations(("a", "b", "c")).flatmap(lambda p: st.integers(1, 3).map(lambda n: tuple(p[:n]))),
            st.booleans(),
            st.booleans(),
        ),
        min_size=1,
        max_size=4,
    )
)
def test_composite_hooks_only_narrow_in_any_number_and_order(hooks: list[FixedHook]) -> None:
    composite, context = CompositeHook(hooks), PickContext(SAFE)
    assert composite.accepts_request(0.0, context) == all(
        hook.accepts_request(0.0, context) for hook in hooks
    )
    assert composite.admits(0.0, "a", context) == all(hook.admits(0.0, "a", context) for hook in hooks)
    ordered = list(composite.zone_order(0.0, context))
    ordering = [hook for hook in hooks if hook.orders_zones]
    common = (
        set("abc").intersection(*(set(hook.zone_order(0.0, context)) for hook in ordering))
        if ordering
        else set()
    )
    if common:
        assert set(ordered) == common
        first = [zone for zone in ordering[0].zone_order(0.0, context) if zone in common]
        assert ordered == first


def test_the_operators_file_selects_the_hooks() -> None:
    assert OperatorSettings().balancer_hook(BALANCER_SETTINGS, 1) is None
    assert isinstance(OVERLOAD_ON.balancer_hook(BALANCER_SETTINGS, 1), LoadShedding)
    assert isinstance(
        OperatorSettings(LocalitySettings()).balancer_hook(BALANCER_SETTINGS, 1), LocalityRouter
    )
    both = OperatorSettings(LocalitySettings(), OverloadSettings()).balancer_hook(BALANCER_SETTINGS, 1)
    assert isinstance(both, CompositeHook)
    assert both.orders_zones
    assert both.limits_concurrency
    balancer = Balancer(BALANCER_SETTINGS, 1, both)
    balancer.handle(0.0, [EndpointsListed(ListKind.FULL, FLEET)])
    (send,) = [a for a in balancer.handle(1.0, [RequestArrived(1, "safe")]) if isinstance(a, Send)]
    assert send.endpoint.startswith("a")  # its own zone


GOOD = """
[overload]
first = ["entry-register"]
target = 2.5
come_back_least_ms = 100
come_back_most_ms = 300
[overload.least]
extract-issue = 0.1
"""


def test_the_overload_table_is_read() -> None:
    overload_settings = parse_operators(GOOD, "o.toml").overload
    assert overload_settings is not None
    assert overload_settings.class_order == ("entry-register",)
    assert overload_settings.min_shares == {"extract-issue": 0.1}
    assert overload_settings.window_settings().target_inflation == 2.5
    assert overload_settings.retry_after_ms == (100.0, 300.0)
    assert parse_operators("[overload]\n", "o.toml").overload == OverloadSettings()


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("target = 2.5", "target = 1", 4, "overload.target: 1 is not a number from 1.1 to 20"),
        ("target = 2.5", "traget = 2.5", 4, "overload.traget: not a known key"),
        ('["entry-register"]', '["a", "a"]', 3, "overload.first: it names a class twice"),
        ("extract-issue = 0.1", "extract-issue = 1.5", 8, "overload.least.extract-issue: 1.5 is not"),
        ("come_back_most_ms = 300", "come_back_most_ms = 30", 6, "overload.come_back_most_ms: it is less"),
    ],
)
def test_a_bad_overload_table_is_rejected_with_line_and_key(
    old: str, new: str, line: int, message: str
) -> None:
    with pytest.raises(TomlError) as raised:
        parse_operators(GOOD.replace(old, new), "o.toml")
    assert f"o.toml:{line}: {message}" in str(raised.value)


def test_the_first_listed_endpoint_sets_the_initial_limit() -> None:
    hook = LoadShedding(OverloadSettings(), replace(BALANCER_SETTINGS, proxies=300))
    hook.endpoints_listed(0.0, [ListedEndpoint("s")])
    assert isinstance(hook.window, PacedConcurrency)
    assert hook.window.size == 8.0 / 300
    hook.window.size /= 2  # a cut under congestion
    for ready in (9, 0, 9):  # the rest of the list arrives; an empty list changes nothing
        hook.endpoints_listed(1.0, [ListedEndpoint(f"s{n}") for n in range(ready)])
        assert hook.window.size == pytest.approx(9 * 4.0 / 300)
    few = LoadShedding(OverloadSettings(), replace(BALANCER_SETTINGS, proxies=16))
    few.endpoints_listed(0.0, [ListedEndpoint("s")])
    assert isinstance(few.window, ConcurrencyWindow)
    assert few.window.size == 1.0
    many = LoadShedding(OverloadSettings(), replace(BALANCER_SETTINGS, proxies=2, classes=(SAFE, UNSAFE)))
    many.endpoints_listed(0.0, [ListedEndpoint(f"s{n}") for n in range(9)])
    assert many.window.size == 72.0
