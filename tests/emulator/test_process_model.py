"""The process model of one server: times, slots, queue, warming up, crashes, congestion and deduplication."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.emulator.process_model import Admission, DeduplicationGroup, ProcessModel, ServerRequest
from client_proxy.emulator.scenario import LoadReportSettings, ServerType
from tests.support.fixed_draws import fixed_draws

PLAIN = ServerType("plain", cores=2, slots_per_core=1, queue_per_core=1)


def new_model(
    server_type: ServerType = PLAIN, cold: bool = False, reports: LoadReportSettings | None = None
) -> ProcessModel:
    return ProcessModel("m", server_type, reports or LoadReportSettings(noise=0.0), 0.0, cold=cold)


def offer(model: ProcessModel, at_s: float, work_ms: float, expires_s: float = float("inf")) -> ServerRequest:
    model.advance(at_s)
    request = ServerRequest(None, work_ms, at_s, expires_s)
    assert model.offer(request) is Admission.ACCEPTED
    model.advance(at_s)
    return request


def advance_by_events(model: ProcessModel, until_s: float) -> None:
    """Advance the model from event to event, as an emulated server does."""
    while (next_s := model.next_event_s()) is not None and next_s <= until_s:
        model.advance(next_s)
    model.advance(until_s)


def test_cores_and_speed_determine_when_work_ends() -> None:
    model = new_model(replace(PLAIN, speed=2.0, slots_per_core=2))
    requests = [offer(model, 0.0, 100.0) for _ in range(4)]  # four requests on two cores of speed 2
    advance_by_events(model, 1.0)
    assert [request.ended_s for request in requests] == pytest.approx([0.1] * 4)
    alone = offer(model, 1.0, 100.0)
    advance_by_events(model, 2.0)
    assert alone.ended_s == pytest.approx(1.05)
    assert model.busy_ms == pytest.approx(250.0)


def test_requests_take_slots_then_queue_places_and_are_then_rejected() -> None:
    model = new_model()
    first = [offer(model, 0.0, 100.0), offer(model, 0.0, 200.0)]
    waiting = [offer(model, 0.0, 50.0), offer(model, 0.0, 50.0)]
    assert model.offer(ServerRequest(None, 1.0, 0.0)) is Admission.FULL
    assert all(request.started_s == 0.0 for request in first)
    assert all(request.started_s is None for request in waiting)
    advance_by_events(model, 1.0)
    assert waiting[0].started_s == pytest.approx(0.1)
    assert waiting[0].ended_s == pytest.approx(0.15)
    assert waiting[1].started_s == pytest.approx(0.15)
    assert waiting[1].ended_s == pytest.approx(0.2)


def test_completion_times_do_not_depend_on_how_often_the_model_is_advanced() -> None:
    at_once, in_small_steps = new_model(), new_model()
    requests = [
        [offer(model, 0.0, 70.0), offer(model, 0.0, 30.0), offer(model, 0.0, 55.0)]
        for model in (at_once, in_small_steps)
    ]
    at_once.advance(5.0)
    for step in range(1, 5001):
        in_small_steps.advance(step / 1000.0)
    assert [request.ended_s for request in requests[0]] == pytest.approx(
        [request.ended_s for request in requests[1]], abs=1e-9
    )


def test_a_freeze_delays_completion_by_its_length() -> None:
    model = new_model()
    request = offer(model, 0.0, 100.0)
    model.advance(0.04)
    model.freeze()
    assert model.next_event_s() is None
    model.advance(3.04)
    assert request.ended_s is None
    model.thaw()
    advance_by_events(model, 10.0)
    assert request.ended_s == pytest.approx(3.1)


def test_a_server_warms_up_by_time_or_by_requests() -> None:
    by_time = new_model(replace(PLAIN, cold_capacity=0.5, warm_up_s=8.0), cold=True)
    assert [by_time.warmth(t) for t in (0.0, 4.0, 8.0)] == pytest.approx([0.5, 0.75, 1.0])
    request = offer(by_time, 0.0, 100.0)
    advance_by_events(by_time, 1.0)
    assert request.ended_s is not None
    assert 0.19 < request.ended_s <= 0.2
    by_requests = new_model(replace(PLAIN, cold_capacity=0.5, warm_up_requests=10), cold=True)
    assert by_requests.warmth(1000.0) == 0.5
    for number in range(10):
        offer(by_requests, 2000.0 + number, 1.0)
        advance_by_events(by_requests, 2000.5 + number)
    assert by_requests.warmth(2010.0) == 1.0


def test_overload_crashes_a_cold_server_but_not_a_warm_one() -> None:
    server_type = replace(PLAIN, cold_capacity=0.5, warm_up_s=10.0, queue_per_core=10_000)
    # The server does 2 x 0.5 ms of work in 1 ms; three times as much over 2 s is 6,000 ms of work.
    cold = new_model(server_type, cold=True)
    for _ in range(60):
        offer(cold, 0.0, 100.0)
    assert cold.offer(ServerRequest(None, 1.0, 0.0)) is Admission.CRASHED
    warm = new_model(server_type)
    for _ in range(600):
        offer(warm, 0.0, 100.0)
    # The same work spread over time does not crash it: work that came more than 2 s ago no longer counts.
    paced = new_model(server_type, cold=True)
    for number in range(100):
        offer(paced, number * 0.04, 100.0)


def test_a_server_becomes_congested_once_and_recovers_when_idle() -> None:
    server_type = replace(
        PLAIN,
        queue_per_core=100,
        congestion_threshold=2.0,
        congestion_window_s=1.0,
        congestion_slowdown=4.0,
        congestion_exit_s=2.0,
    )
    model = new_model(server_type)
    for _ in range(60):
        offer(model, 0.0, 100.0)
    advance_by_events(model, 1.5)
    assert model.congested_since_s is not None
    assert model.speed(1.5) == 0.25
    while model.in_flight:
        model.advance(model.next_event_s() or 0.0)
    idle_s = model._at_s
    advance_by_events(model, idle_s + 1.9)
    assert model.congested_since_s is not None
    advance_by_events(model, idle_s + 2.2)
    assert model.congested_since_s is None
    for _ in range(60):
        offer(model, idle_s + 3.0, 100.0)
    advance_by_events(model, idle_s + 5.0)
    assert model.congested_since_s is None  # a server becomes congested only once


def test_cancelled_queued_work_is_dropped_only_by_types_that_cancel() -> None:
    for cancellation_mode, dropped in (("queued", True), ("none", False)):
        model = new_model(replace(PLAIN, cancellation=cancellation_mode))
        running, _, waiting = offer(model, 0.0, 100.0), offer(model, 0.0, 100.0), offer(model, 0.0, 100.0)
        assert not model.cancel(running)
        assert model.cancel(waiting) is dropped
        advance_by_events(model, 1.0)
        assert (waiting.started_s is None) is dropped


def test_expired_work_is_dropped_only_by_types_that_drop_it() -> None:
    for drops in (True, False):
        model = new_model(replace(PLAIN, drops_expired=drops))
        offer(model, 0.0, 100.0), offer(model, 0.0, 100.0)
        late = offer(model, 0.0, 10.0, expires_s=0.05)
        progress = model.advance(1.0)
        assert late in progress.ended
        assert late.expired is drops
        assert (late.started_s is None) is drops


def test_load_reports_are_delayed() -> None:
    model = new_model(reports=LoadReportSettings(period_ms=100.0, delay_ms=300.0, noise=0.0))
    for _ in range(4):
        offer(model, 1.0, 10_000.0)
    assert model.report(1.25)["inflight"] == 0.0
    advance_by_events(model, 1.6)
    assert model.report(1.6) == {"inflight": 4.0, "queue": 2.0, "latency_ms": 0.0}
    advance_by_events(model, 4.0)
    assert len(model._snapshots) <= 6  # snapshots that no report can use are deleted


def test_a_deduplication_group_drops_repeats_for_exactly_its_window() -> None:
    for start_s in (0.0, 1000.0, 1234.567891, 98765.4321):
        group = DeduplicationGroup(1200.0)
        assert not group.start("k", start_s)
        assert group.start("k", start_s + 1.199)
        assert group.start("k", start_s + 1.199999)
        assert not group.start("k", start_s + 1.201)
        # The window begins at the start of the first run; repeats do not prolong it.
        assert group.start("k", start_s + 1.201 + 1.199)


def test_a_deduplication_group_deletes_old_keys() -> None:
    group = DeduplicationGroup(1200.0)
    for number in range(5000):
        assert not group.start(f"k{number}", number * 0.01)
    assert len(group) <= 121


@fixed_draws("no_work_appears_or_vanishes")
@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.3), st.floats(0.1, 200.0), st.sampled_from(["offer", "freeze", "thaw", "slow"])
        ),
        max_size=40,
    )
)
def test_no_work_appears_or_vanishes(steps: list[tuple[float, float, str]]) -> None:
    model = new_model(replace(PLAIN, queue_per_core=3))
    now_s, frozen, requests = 0.0, 0, []
    for wait_s, work_ms, action in steps:
        now_s += wait_s
        model.advance(now_s)
        if action == "offer":
            request = ServerRequest(None, work_ms, now_s)
            if model.offer(request) is Admission.ACCEPTED:
                requests.append(request)
            model.advance(now_s)
        elif action == "freeze":
            frozen += 1
            model.freeze()
        elif action == "thaw" and frozen:
            frozen -= 1
            model.thaw()
        elif action == "slow":
            model.slowdown = 1.0 + work_ms / 100.0
        assert len(model.running) <= model.slots
        assert len(model.queued) <= model.queue_capacity + model.slots
    for _ in range(frozen):
        model.thaw()
    advance_by_events(model, now_s + 1e6)
    assert not model.in_flight
    assert all(accepted.started_s is not None and accepted.ended_s is not None for accepted in requests)
    assert all(
        accepted.arrived_s <= (accepted.started_s or 0) <= (accepted.ended_s or 0) for accepted in requests
    )
    assert model.completed == len(requests)
