"""A proxy whose own limits would reject every request still sends a recovery probe now and then."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import pytest

from client_proxy.api.actions import Reject, Send
from client_proxy.api.events import (
    AttemptEnded,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    Outcome,
)
from client_proxy.api.settings import Settings
from client_proxy.balancer.balancer import Balancer
from client_proxy.operators import load_operators
from client_proxy.recovery_probe import RECOVERY_PROBE_AFTER_MS, RECOVERY_PROBE_REQUESTS
from tests.driver import KEYED, SAFE, SETTINGS, UNSAFE, Driver, endpoint

PLATFORM_OPERATORS = load_operators(Path(__file__).parents[2] / "deploy" / "platform.toml")
MAX_GAP_MS = 4000.0  # longest time without an attempt while requests arrive and an endpoint is ready
HEALTHY_MS, FAULT_MS, RECOVERED_MS = 3000.0, 15_000.0, 12_000.0
CLASSES = ("safe", "unsafe", "keyed")


@dataclass(frozen=True, slots=True)
class ScriptedResult:
    """The result of an attempt; a latency of None means at its timeout."""

    outcome: Outcome
    latency_ms: float | None = None
    report: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class Fleet:
    proxies: int
    servers: int
    deadline_ms: float
    reports: bool = True

    def settings(self) -> Settings:
        classes = tuple(
            replace(cls, deadline_ms=self.deadline_ms, latency_objective_ms=self.deadline_ms / 2)
            for cls in (SAFE, UNSAFE, KEYED)
        )
        fields = ("inflight", "queue", "latency_ms") if self.reports else ()
        return replace(SETTINGS, classes=classes, proxies=self.proxies, report_fields=fields)


def make_driver(fleet: Fleet, *endpoints: ListedEndpoint) -> Driver:
    """Makes a balancer with the platform's operators file and this endpoint list."""
    settings = fleet.settings()
    driver = Driver(settings, ())
    driver.balancer = Balancer(settings, 1, PLATFORM_OPERATORS.balancer_hook(settings, 1))
    driver.handle_events(EndpointsListed(ListKind.FULL, endpoints))
    return driver


FAST_ANSWER = ScriptedResult(Outcome.OK, 20.0, (1.0, 0.0, 20.0))
REJECTION = ScriptedResult(Outcome.REJECTED, 2.0, (30.0, 28.0, 9.0))


def answer_slowly(fleet: Fleet, random: Random) -> ScriptedResult:
    return ScriptedResult(Outcome.OK, 0.45 * fleet.deadline_ms, (30.0, 28.0, 400.0))


def never_answer(fleet: Fleet, random: Random) -> ScriptedResult:
    return ScriptedResult(Outcome.TIMEOUT)


def reject_all(fleet: Fleet, random: Random) -> ScriptedResult:
    return REJECTION


def reject_or_answer_slowly(fleet: Fleet, random: Random) -> ScriptedResult:
    return random.choice((REJECTION, ScriptedResult(Outcome.TIMEOUT), answer_slowly(fleet, random)))


EndpointBehavior = Callable[[Fleet, Random], ScriptedResult]


@dataclass(slots=True)
class ScenarioRun:
    """A finished run: times of its attempts and its requests, in ms from its start."""

    attempts_ms: list[float]
    arrivals_ms: list[float]

    def longest_gap_ms(self, end_ms: float) -> float:
        return max(b - a for a, b in zip(self.attempts_ms, [*self.attempts_ms[1:], end_ms], strict=True))


def run_scenario(fleet: Fleet, behavior: EndpointBehavior, rate_per_s: float = 5.0) -> ScenarioRun:
    """Sends requests at random times to endpoints that are healthy, then behave as given, then recover."""
    driver = make_driver(fleet, *(endpoint(f"s{number}") for number in range(fleet.servers)))
    random = Random(1)
    start_ms = driver.now_ms
    fault_from_ms = start_ms + HEALTHY_MS
    fault_until_ms = fault_from_ms + FAULT_MS
    end_ms = fault_until_ms + RECOVERED_MS
    run = ScenarioRun([], [])
    in_flight: list[tuple[float, int, int, ScriptedResult]] = []
    attempt_counts: dict[int, int] = {}  # number of attempts by request

    def start_attempts() -> None:
        for action in driver.log:
            if not isinstance(action, Send):
                continue
            number = attempt_counts.get(action.request_id, 0)
            attempt_counts[action.request_id] = number + 1
            is_faulty = fault_from_ms <= driver.now_ms < fault_until_ms
            result = behavior(fleet, random) if is_faulty else FAST_ANSWER
            if result.latency_ms is None or result.latency_ms >= action.timeout_ms:
                result = ScriptedResult(Outcome.TIMEOUT, action.timeout_ms)
            assert result.latency_ms is not None
            in_flight.append((driver.now_ms + result.latency_ms, action.request_id, number, result))
            run.attempts_ms.append(driver.now_ms - start_ms)
        driver.log.clear()

    next_ms = start_ms
    while driver.now_ms < end_ms:
        in_flight.sort(key=lambda each: each[0])
        next_events_ms = [
            next_ms,
            *(each[0] for each in in_flight[:1]),
            *(each[0] for each in driver.timers),
        ]
        driver.wait(max(0.0, min(next_events_ms) - driver.now_ms))
        start_attempts()
        while in_flight and in_flight[0][0] <= driver.now_ms:
            _, request_id, number, result = in_flight.pop(0)
            is_answered = result.outcome is Outcome.OK
            latency_ms = result.latency_ms or 0.0
            driver.handle_events(
                AttemptEnded(request_id, number, result.outcome, latency_ms, is_answered, result.report)
            )
            start_attempts()
        if next_ms <= driver.now_ms:
            driver.request(random.choice(CLASSES))
            run.arrivals_ms.append(driver.now_ms - start_ms)
            start_attempts()
            next_ms += random.expovariate(rate_per_s / 1000.0)
    return run


@pytest.mark.parametrize(
    ("servers", "fleet"),
    [
        # Recovery probes keep the gaps short. Without them, each case but the one with `reject_all` has gaps
        # of more than four seconds, up to 6.8.
        (answer_slowly, Fleet(proxies=200, servers=12, deadline_ms=3000.0)),
        (answer_slowly, Fleet(proxies=300, servers=3, deadline_ms=1000.0)),
        (answer_slowly, Fleet(proxies=300, servers=3, deadline_ms=3000.0, reports=False)),
        (answer_slowly, Fleet(proxies=200, servers=1, deadline_ms=1000.0, reports=False)),
        (reject_or_answer_slowly, Fleet(proxies=300, servers=3, deadline_ms=3000.0)),
        (reject_or_answer_slowly, Fleet(proxies=3, servers=1, deadline_ms=3000.0)),
        (never_answer, Fleet(proxies=200, servers=1, deadline_ms=3000.0)),
        (reject_all, Fleet(proxies=200, servers=130, deadline_ms=1000.0)),
    ],
)
def test_own_limits_never_stop_all_attempts_for_long(servers: EndpointBehavior, fleet: Fleet) -> None:
    run = run_scenario(fleet, servers)
    assert run.longest_gap_ms(HEALTHY_MS + FAULT_MS + RECOVERED_MS) < MAX_GAP_MS


@pytest.mark.parametrize("fleet", [Fleet(200, 1, 3000.0, reports=False), Fleet(300, 3, 3000.0)])
def test_probes_do_not_keep_limits_low_after_endpoints_have_recovered(fleet: Fleet) -> None:
    # A fast answer to a probe must not count as one of ten at a slow endpoint, and cut the limit once more.
    run = run_scenario(fleet, answer_slowly)
    last_ms = HEALTHY_MS + FAULT_MS + 0.6 * RECOVERED_MS
    attempts, arrivals = (
        sum(each >= last_ms for each in times) for times in (run.attempts_ms, run.arrivals_ms)
    )
    assert attempts >= 0.7 * arrivals


def attempt_times_with_closed_limit(listed: ListedEndpoint, every_ms: float, length_ms: float) -> list[float]:
    """Returns the times of attempts, from the first request on, while the learned limit admits nothing."""
    driver = make_driver(Fleet(proxies=3, servers=1, deadline_ms=1000.0), listed)
    for known in driver.balancer.endpoint_set.endpoints.values():
        known.paused_until_ms = float("inf")
    start_ms = driver.now_ms
    times: list[float] = []
    while driver.now_ms - start_ms < length_ms:
        driver.request("unsafe")
        for send in [action for action in driver.log if isinstance(action, Send)]:
            times.append(driver.now_ms - start_ms)
            driver.handle_events(AttemptEnded(send.request_id, 0, Outcome.ERROR, 1.0, answered=False))
        driver.log.clear()
        driver.wait(every_ms)
    return times


def test_a_probe_is_sent_after_everything_was_rejected_for_long() -> None:
    times = attempt_times_with_closed_limit(endpoint("s"), every_ms=100.0, length_ms=8000.0)
    assert times[0] == pytest.approx(RECOVERY_PROBE_AFTER_MS, abs=100.0)
    assert len(times) == 3


def test_few_rejected_requests_cause_no_probe() -> None:
    # If few requests were enough, each of hundreds of proxies with a request every few seconds would send all
    # of its requests as probes.
    (first_ms,) = attempt_times_with_closed_limit(endpoint("s"), every_ms=2000.0, length_ms=10_000.0)
    assert first_ms == (RECOVERY_PROBE_REQUESTS - 1) * 2000.0


def test_a_probe_respects_draining_and_slow_start() -> None:
    draining = endpoint("s", state=EndpointState.DRAINING)
    assert not attempt_times_with_closed_limit(draining, every_ms=100.0, length_ms=8000.0)
    # This server has just started; the share that each of hundreds of proxies may send it is far less than
    # one request.
    cold = make_driver(Fleet(proxies=300, servers=1, deadline_ms=1000.0), endpoint("cold", started_ms=1000.0))
    (server,) = cold.balancer.endpoint_set.endpoints.values()
    server.slow_start_credit_ms, server.slow_start_credit = cold.now_ms, 0.0
    rejected = 0
    for _ in range(40):
        rejected += any(isinstance(action, Reject) for action in cold.request("unsafe")[1])
        cold.wait(100.0)
    assert rejected
    assert not cold.sent
