"""Tests of the restart soak: some seeds against a real proxy, and each rule on a planted breach."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from client_proxy.api.settings import Idempotency
from client_proxy.fault_injection.soak.history import (
    Answer,
    Arrival,
    History,
    ProcessEnd,
    ResourceCount,
    SentRequest,
    Treatment,
)
from client_proxy.fault_injection.soak.rules import check
from client_proxy.fault_injection.soak.runner import judge, play
from client_proxy.fault_injection.soak.schedule import (
    CROWD_CONNECTIONS,
    KILL_MARGIN_S,
    MAX_LONGEST_DEADLINE_S,
    MIN_LONGEST_DEADLINE_S,
    ClientKind,
    Schedule,
    draw_schedule,
)

SEEDS = (2, 7, 16, 25, 43, 44)  # 43 has a crowd of idle connections
LIMIT_S = 120.0
SAFE, KEYED, UNSAFE = "look-up", "extract-issue", "entry-register"


def schedule(seed: int = 1) -> Schedule:
    return draw_schedule(seed, signal.SIGHUP, signal.SIGTERM)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restart_under_signals_stops_and_faults_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    async def run() -> None:
        async with asyncio.timeout(LIMIT_S):
            verdict = await play(seed, tmp_path / "run")
        assert verdict.breaches == []
        assert verdict.served > 0

    uvloop.run(run())


def test_a_schedule_depends_on_the_seed_only() -> None:
    assert schedule(43) == schedule(43)
    assert schedule(43) != schedule(44)


def test_schedules_cover_all_client_kinds_crowds_and_late_signals() -> None:
    drawn = [schedule(seed) for seed in range(1, 61)]
    assert {client.kind for drawn_schedule in drawn for client in drawn_schedule.clients} == set(ClientKind)
    assert {drawn_schedule.crowd for drawn_schedule in drawn} == {0, CROWD_CONNECTIONS}
    assert any(drawn_schedule.early_terminations_s for drawn_schedule in drawn)
    for drawn_schedule in drawn:
        assert MIN_LONGEST_DEADLINE_S <= drawn_schedule.longest_deadline_s <= MAX_LONGEST_DEADLINE_S
        assert (
            drawn_schedule.kill_s
            == drawn_schedule.terminate_s + drawn_schedule.longest_deadline_s + KILL_MARGIN_S
        )
        assert any(
            planned_signal.at_s > drawn_schedule.kill_s - 0.5 for planned_signal in drawn_schedule.series
        )
        assert any(client.connect_s > drawn_schedule.terminate_s for client in drawn_schedule.clients)


def request(trace_id: str = "000000", class_name: str = KEYED) -> SentRequest:
    """A request that was sent at 10 s with a deadline of 1 s, and answered after 0.2 s."""
    return SentRequest(
        trace_id, class_name, 0, False, 10.0, 1.0, sent_s=10.0, answers=[Answer(10.2, 200, trace_id.encode())]
    )


def arrival(at_s: float = 10.1, stated_time_left_s: float = 0.9, cell: int = 0) -> Arrival:
    return Arrival("000000", "s0", cell, at_s, stated_time_left_s)


def broken_rules(history: History, drawn: Schedule | None = None) -> set[str]:
    return {breach.rule for breach in check(drawn or replace(schedule(), crowd=0), history)}


def history_of(sent: SentRequest, *arrivals: Arrival) -> History:
    return History(requests={sent.trace_id: sent}, arrivals=list(arrivals))


def test_a_run_without_a_fault_breaks_no_rule() -> None:
    history = history_of(request(), arrival())
    history.ends = [ProcessEnd(0, False, False, "INFO"), ProcessEnd(-signal.SIGKILL, True, False, "")]
    history.resources = [ResourceCount(20, 2), ResourceCount(20, 2)]
    assert broken_rules(history) == set()


def test_a_second_answer_is_a_breach() -> None:
    sent = request()
    sent.answers.append(Answer(10.3, 200, sent.trace_id.encode()))
    assert broken_rules(history_of(sent, arrival())) == {"one answer"}


def test_an_answer_without_a_request_is_a_breach() -> None:
    assert broken_rules(History(unexpected_answers=[(1.0, 0)])) == {"one answer"}


def test_bytes_that_are_not_http_are_a_breach() -> None:
    assert broken_rules(History(malformed=[(1.0, 0)])) == {"one answer"}


def test_the_answer_of_another_request_is_a_breach() -> None:
    sent = request()
    sent.answers = [Answer(10.2, 200, b"000001")]
    assert broken_rules(history_of(sent, arrival())) == {"own answer"}


@pytest.mark.parametrize(("crowd", "broken"), [(0, {"accepts"}), (CROWD_CONNECTIONS, set())])
def test_a_refused_connection_is_a_breach_unless_idle_ones_use_up_the_descriptors(
    crowd: int, broken: set[str]
) -> None:
    assert broken_rules(History(refused_connections_s=[1.0]), replace(schedule(), crowd=crowd)) == broken


def test_an_unanswered_request_that_a_server_read_is_a_breach() -> None:
    sent = request()
    sent.answers, sent.connection_ended_s = [], 10.001
    assert broken_rules(history_of(sent, arrival(10.0005))) == {"one answer"}


@pytest.mark.parametrize(("ended_s", "broken"), [(10.1, {"one answer"}), (10.01, set())])
def test_an_unanswered_request_on_an_open_connection_is_a_breach(ended_s: float, broken: set[str]) -> None:
    sent = request()
    sent.answers, sent.connection_ended_s = [], ended_s
    assert broken_rules(history_of(sent)) == broken


def test_only_the_first_request_of_a_connection_may_be_closed_unread_and_only_in_a_crowd() -> None:
    crowded = replace(schedule(), crowd=CROWD_CONNECTIONS)
    sent = request()
    sent.answers, sent.connection_ended_s = [], 10.1
    assert broken_rules(history_of(sent), crowded) == {"one answer"}
    sent.first = True
    assert broken_rules(history_of(sent), crowded) == set()


def test_a_late_answer_is_a_breach_unless_it_had_to_wait_for_an_earlier_one() -> None:
    sent = request()
    sent.answers = [Answer(11.6, 504)]
    history = history_of(sent, arrival())
    assert broken_rules(history) == {"in time"}
    ahead = replace(request("000001"), expires_s=2.0, sent_s=9.9, answers=[Answer(11.6, 504)])
    history.requests = {ahead.trace_id: ahead, sent.trace_id: sent}
    assert broken_rules(history) == set()


def test_an_attempt_for_a_client_that_has_left_is_a_breach() -> None:
    sent = request()
    sent.answers, sent.left_s = [], 10.05
    assert broken_rules(history_of(sent, arrival(10.14))) == set()
    assert broken_rules(history_of(sent, arrival(10.16, stated_time_left_s=0.8))) == {"client left"}


def test_a_stated_time_left_beyond_the_tolerance_is_a_breach() -> None:
    assert broken_rules(history_of(request(), arrival(10.1, stated_time_left_s=1.04))) == set()
    assert broken_rules(history_of(request(), arrival(10.1, stated_time_left_s=1.06))) == {"told time"}


def test_an_arrival_without_a_request_is_a_breach() -> None:
    assert broken_rules(History(arrivals=[arrival()])) == {"told time"}


@pytest.mark.parametrize(
    ("class_name", "first", "cell", "broken"),
    [
        (SAFE, Treatment.UNANSWERED, 1, set()),
        (KEYED, Treatment.UNANSWERED, 0, set()),
        (KEYED, Treatment.UNANSWERED, 1, {"repeats"}),
        (UNSAFE, Treatment.UNANSWERED, 0, {"repeats"}),
        (UNSAFE, Treatment.REFUSED, 0, set()),
    ],
)
def test_a_repeat_that_the_class_forbids_is_a_breach(
    class_name: str, first: Treatment, cell: int, broken: set[str]
) -> None:
    earlier = arrival(10.1)
    earlier.treatment = first
    history = history_of(
        request(class_name=class_name), earlier, arrival(10.2, stated_time_left_s=0.8, cell=cell)
    )
    assert broken_rules(history) == broken


def test_a_repeat_after_the_deduplication_window_is_a_breach() -> None:
    drawn = schedule()
    keyed = next(
        request_class
        for request_class in drawn.classes
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    )
    later_s = 10.1 + keyed.window_s + 0.01
    sent = replace(request(), expires_s=10.0)
    history = history_of(sent, arrival(10.1), arrival(later_s, stated_time_left_s=1.0))
    assert broken_rules(history, drawn) == {"repeats"}


@pytest.mark.parametrize(
    ("end", "broken"),
    [
        (ProcessEnd(-signal.SIGHUP, False, False, ""), {"exit"}),
        (ProcessEnd(1, False, False, ""), {"exit"}),
        (ProcessEnd(-signal.SIGHUP, False, True, ""), {"exit"}),
        (ProcessEnd(-signal.SIGKILL, False, True, ""), {"exit"}),
        (ProcessEnd(-signal.SIGTERM, True, False, ""), {"exit"}),
        (ProcessEnd(0, False, False, "Traceback (most recent call last)"), {"exit"}),
        (ProcessEnd(-signal.SIGTERM, False, True, ""), set()),
        (ProcessEnd(-signal.SIGKILL, True, False, ""), set()),
    ],
)
def test_an_exit_other_than_by_the_kill_or_gracefully_is_a_breach(end: ProcessEnd, broken: set[str]) -> None:
    assert broken_rules(History(ends=[end])) == broken


@pytest.mark.parametrize("after", [ResourceCount(23, 2), ResourceCount(20, 3)])
def test_descriptors_and_threads_left_after_the_clients_are_a_breach(after: ResourceCount) -> None:
    assert broken_rules(History(resources=[ResourceCount(20, 2), after])) == {"resources"}


def test_a_run_with_a_late_harness_has_no_verdict() -> None:
    history = history_of(request(), arrival())
    assert judge(schedule(), history).outcome == "passed"
    history.worst_lateness_s = 0.3
    assert judge(schedule(), history).outcome == "refused"
