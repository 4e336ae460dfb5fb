"""Admission under the balancer: no I/O, the time as an argument."""

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
from client_proxy.operators import Operators, parse_operators
from client_proxy.routing.locality.router import LocalityRouter
from client_proxy.routing.settings import LocalitySettings
from client_proxy.toml_table import TomlError
from tests.driver import SAFE, SETTINGS, UNSAFE, Driver, endpoint
from tests.support.fixed_draws import fixed_draws

FLEET = tuple(endpoint(f"{hall}{n}", zone=hall) for hall in "ab" for n in range(3))
PLAIN = replace(SETTINGS, report_fields=("inflight", "queue", "latency_ms"))
IDLE, CROWDED = (2.0, 0.0, 40.0), (24.0, 20.0, 40.0)


def driver(operators: Operators, plain: object = PLAIN) -> Driver:
    made = Driver(plain, ())  # type: ignore[arg-type]
    made.balancer = Balancer(plain, 1, operators.balancer_hook(plain, 1))  # type: ignore[arg-type]
    made.tell(EndpointsListed(ListKind.FULL, FLEET))
    for known in made.balancer.endpoint_set.endpoints.values():
        known.concurrency_limit = 50.0  # what holds back is the advisor
    return made


ON = Operators(overload=OverloadSettings())


def overload(made: Driver) -> LoadShedding:
    advisor = made.balancer.hook
    assert isinstance(advisor, LoadShedding)
    return advisor


def crowd(advisor: LoadShedding, from_ms: float, times: int = 40) -> None:
    """Reports say that five times as much waits as is in work, for four seconds."""
    for step in range(times):
        advisor.window.in_flight += 1
        advisor.attempt_ended(from_ms + step * 100.0, FLEET[step % 6], Outcome.OK, 5.0, False, CROWDED, 200.0)


def test_with_servers_idle_nothing_is_refused_whatever_is_asked() -> None:
    made = driver(ON)
    for step in range(2000):
        request, actions = made.request(("safe", "unsafe", "keyed")[step % 3])
        assert any(isinstance(a, Send) for a in actions)
        made.wait(5.0)
        attempt = AttemptEnded(request, 0, Outcome.OK, 5.0, answered=True, report=IDLE)
        made.tell(attempt)
    assert not any(isinstance(a, Reject) for a in made.log)


def test_with_servers_full_the_least_worthy_are_refused_at_once_and_the_worthiest_served() -> None:
    made = driver(Operators(overload=OverloadSettings(growth=0.01, cut=0.01)))
    for _ in range(100):
        for name in ("safe", "unsafe"):
            overload(made).admission.request_arrived(name, 10.0)
    overload(made).window.size = 0.5
    refused = {"safe": 0, "unsafe": 0}
    for _ in range(100):
        for name in refused:
            request, actions = made.request(name)
            refused[name] += any(isinstance(a, Reject) for a in actions)
            if request in made.sent:
                made.tell(AttemptEnded(request, 0, Outcome.OK, 5.0, answered=True))
    assert refused["unsafe"] <= 2
    assert refused["safe"] >= 90


def test_the_share_comes_back_when_the_crowd_has_gone() -> None:
    made = driver(ON)
    crowd(overload(made), made.now_ms)
    made.wait(4000.0)
    assert overload(made).window.share < 0.5
    began = made.now_ms
    while overload(made).window.share < 1.0:
        request, _ = made.request("unsafe")
        made.wait(50.0)
        if request in made.sent:
            made.tell(AttemptEnded(request, 0, Outcome.OK, 50.0, answered=True, report=IDLE))
        assert made.now_ms - began < 10_000.0
    request, _ = made.request("unsafe")
    made.tell(AttemptEnded(request, 0, Outcome.OK, 50.0, answered=True, report=IDLE))
    told = [a.text for a in made.log if hasattr(a, "text")]
    assert any("servers are full" in text for text in told)
    assert any("have room" in text for text in told)


def test_a_window_cut_while_servers_were_full_is_back_soon_after() -> None:
    """Danger: a second of crowd, and ten of refusals before idle servers."""
    began: dict[int, float] = {}
    for ready in (2, 6):  # an instance's part is 5 requests, and 16
        window = ConcurrencyWindow(OverloadSettings().window_settings())
        window.start(16.0 * ready / 6.0)
        for step in range(20):
            window.record_inflation(step * 100.0, 5.4)
        assert window.size < 0.1 * window_part(ready)
        now_ms = 2000.0
        while window.size < 0.5 * window_part(ready):
            now_ms += 100.0
            window.is_full(now_ms, -1e9)
            window.record_inflation(now_ms, 1.5)  # neither idle nor crowded
        began[ready] = now_ms - 2000.0
    assert max(began.values()) < 6000.0
    assert began[6] < 2.0 * began[2]


def window_part(ready: int) -> float:
    return 16.0 * ready / 6.0


def test_with_more_instances_than_servers_that_see_few_of_them_these_are_fed_less() -> None:
    def target(proxies: int, servers: int) -> float:
        made = LoadShedding(OverloadSettings(), replace(PLAIN, proxies=proxies))
        made.endpoints_listed(0.0, [endpoint(f"s{n}") for n in range(servers)])
        assert isinstance(made.window, ConcurrencyWindow)
        return made.window.target

    stated = OverloadSettings().target_inflation
    assert target(60, 60) == target(30, 9) == target(3, 9) == stated
    assert target(64, 42) == target(200, 130) == pytest.approx(SUBSET_TARGET_SHARE * stated)


def test_no_request_is_held_past_the_moment_when_it_could_be_in_time() -> None:
    made = driver(ON)
    overload(made).window.size = 1.0
    first, _ = made.request("unsafe")
    assert first in made.sent
    waiting = [made.request(name)[0] for name in ("safe", "unsafe", "safe", "unsafe") for _ in range(20)]
    made.wait(SAFE.latency_objective_ms)
    ended = {a.request_id for a in made.log if isinstance(a, Reject)} | set(made.sent)
    assert set(waiting) <= ended
    assert not any(made.balancer.pending.values())


def test_held_requests_go_out_the_worthiest_first() -> None:
    made = driver(ON)
    overload(made).window.size = 1.0
    made.request("unsafe")
    overload(made).window.in_flight = 10  # as others do that are not played here
    asked = [made.request(name)[0] for name in ("safe", "unsafe", "safe")]
    overload(made).window.in_flight = 1
    made.tell()
    sent = [request for request in asked if request in made.sent]
    assert sent == [asked[1]]


def test_an_age_known_makes_what_is_late_anyway_be_refused_at_once() -> None:
    made = driver(ON)
    late = RequestArrived(1, "safe", first_request_ms=made.now_ms - SAFE.latency_objective_ms)
    assert made.tell(late) == [Reject(1, 0.0)]
    young = RequestArrived(2, "safe", first_request_ms=made.now_ms - 0.2 * SAFE.latency_objective_ms)
    assert any(isinstance(a, Send) for a in made.tell(young))


def test_refusals_say_when_to_come_back_where_settings_allow_it_and_spread_over_time() -> None:
    allowed = replace(PLAIN, limits=replace(PLAIN.limits, retry_after=True, max_retry_after_ms=600.0))
    stated = Operators(overload=OverloadSettings(retry_after_ms=(200.0, 700.0)))
    for plain, waits in ((PLAIN, False), (allowed, True)):
        made = driver(stated, plain)
        for number in range(50):
            made.tell(RequestArrived(1000 + number, "safe", first_request_ms=made.now_ms - 2000.0))
        told = [a.retry_after_ms for a in made.log if isinstance(a, Reject)]
        assert len(told) == 50
        if waits:
            assert all(200.0 <= wait <= 600.0 for wait in told)
            assert len(set(told)) > 30
        else:
            assert set(told) == {0.0}


def test_nothing_is_kept_for_what_ended() -> None:
    made = driver(ON)
    advisor = overload(made)
    for number in range(3000):
        fleet = (endpoint(f"s{number}", zone="a"), endpoint(f"s{number + 1}", zone="a"))
        made.tell(EndpointsListed(ListKind.FULL, fleet))
        # One of no class that is known, too.
        request, _ = made.request(("unsafe", "nobody's")[number % 2])
        if request in made.sent:
            outcome = (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT)[number % 3]
            made.tell(AttemptEnded(request, 0, outcome, 9.0, outcome is Outcome.OK, report=IDLE))
        made.wait(20.0)
    made.wait(10_000.0)
    assert advisor.window.in_flight == 0
    assert len(advisor.congestion) <= 2
    assert not made.balancer.requests
    assert not made.balancer.timers


# Several advisors


class Deny(BalancerHook):
    """Denies what it is made to."""

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
            Deny,
            st.booleans(),
            st.permutations(("a", "b", "c")).flatmap(lambda p: st.integers(1, 3).map(lambda n: tuple(p[:n]))),
            st.booleans(),
            st.booleans(),
        ),
        min_size=1,
        max_size=4,
    )
)
def test_composed_advisors_only_narrow_in_any_number_and_order(advisors: list[Deny]) -> None:
    made, context = CompositeHook(advisors), PickContext(SAFE)
    assert made.accepts_request(0.0, context) == all(each.accepts_request(0.0, context) for each in advisors)
    assert made.admits(0.0, "a", context) == all(each.admits(0.0, "a", context) for each in advisors)
    ordered = list(made.zone_order(0.0, context))
    halls = [each for each in advisors if each.orders_zones]
    common = (
        set("abc").intersection(*(set(each.zone_order(0.0, context)) for each in halls)) if halls else set()
    )
    if common:
        assert set(ordered) == common
        first = [hall for hall in halls[0].zone_order(0.0, context) if hall in common]
        assert ordered == first


def test_what_the_file_states_makes_the_advisor() -> None:
    assert Operators().balancer_hook(PLAIN, 1) is None
    assert isinstance(ON.balancer_hook(PLAIN, 1), LoadShedding)
    assert isinstance(Operators(LocalitySettings()).balancer_hook(PLAIN, 1), LocalityRouter)
    both = Operators(LocalitySettings(), OverloadSettings()).balancer_hook(PLAIN, 1)
    assert isinstance(both, CompositeHook)
    assert both.orders_zones
    assert both.limits_concurrency
    made = Balancer(PLAIN, 1, both)
    made.handle(0.0, [EndpointsListed(ListKind.FULL, FLEET)])
    (send,) = [a for a in made.handle(1.0, [RequestArrived(1, "safe")]) if isinstance(a, Send)]
    assert send.endpoint.startswith("a")  # its own hall


GOOD = """
[overload]
first = ["entry-register"]
target = 2.5
come_back_least_ms = 100
come_back_most_ms = 300
[overload.least]
extract-issue = 0.1
"""


def test_the_table_is_read() -> None:
    read = parse_operators(GOOD, "o.toml").overload
    assert read is not None
    assert read.class_order == ("entry-register",)
    assert read.min_shares == {"extract-issue": 0.1}
    assert read.window_settings().target_inflation == 2.5
    assert read.retry_after_ms == (100.0, 300.0)
    assert parse_operators("[overload]\n", "o.toml").overload == OverloadSettings()


@pytest.mark.parametrize(
    ("old", "new", "line", "what"),
    [
        ("target = 2.5", "target = 1", 4, "overload.target: 1 is not a number from 1.1 to 20"),
        ("target = 2.5", "traget = 2.5", 4, "overload.traget: not a known key"),
        ('["entry-register"]', '["a", "a"]', 3, "overload.first: a class stands in it twice"),
        ("extract-issue = 0.1", "extract-issue = 1.5", 8, "overload.least.extract-issue: 1.5 is not"),
        ("come_back_most_ms = 300", "come_back_most_ms = 30", 6, "overload.come_back_most_ms: it is less"),
    ],
)
def test_a_bad_table_is_refused_with_line_and_key(old: str, new: str, line: int, what: str) -> None:
    with pytest.raises(TomlError) as caught:
        parse_operators(GOOD.replace(old, new), "o.toml")
    assert f"o.toml:{line}: {what}" in str(caught.value)


def test_a_listed_server_is_enough_to_begin() -> None:
    made = LoadShedding(OverloadSettings(), replace(PLAIN, proxies=300))
    made.endpoints_listed(0.0, [ListedEndpoint("s")])
    assert isinstance(made.window, PacedConcurrency)
    assert made.window.size == 8.0 / 300
    made.window.size /= 2  # a crowd
    for ready in (9, 0, 9):  # the rest of the list comes; a list of none changes nothing
        made.endpoints_listed(1.0, [ListedEndpoint(f"s{n}") for n in range(ready)])
        assert made.window.size == pytest.approx(9 * 4.0 / 300)
    few = LoadShedding(OverloadSettings(), replace(PLAIN, proxies=16))
    few.endpoints_listed(0.0, [ListedEndpoint("s")])
    assert isinstance(few.window, ConcurrencyWindow)
    assert few.window.size == 1.0
    many = LoadShedding(OverloadSettings(), replace(PLAIN, proxies=2, classes=(SAFE, UNSAFE)))
    many.endpoints_listed(0.0, [ListedEndpoint(f"s{n}") for n in range(9)])
    assert many.window.size == 72.0
