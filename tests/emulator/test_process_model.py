"""The model of one server: exact times, slots and waiting room, warming, falling, choking, and racks."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.emulator.process_model import Admission, DeduplicationGroup, ProcessModel, ServerRequest
from client_proxy.emulator.scenario import LoadReportSettings, ServerType
from tests.support.fixed_draws import fixed_draws

PLAIN = ServerType("plain", cores=2, slots_per_core=1, queue_per_core=1)


def machine(
    kind: ServerType = PLAIN, cold: bool = False, reports: LoadReportSettings | None = None
) -> ProcessModel:
    return ProcessModel("m", kind, reports or LoadReportSettings(noise=0.0), 0.0, cold=cold)


def offer(m: ProcessModel, at_s: float, work_ms: float, expires_s: float = float("inf")) -> ServerRequest:
    m.advance(at_s)
    job = ServerRequest(None, work_ms, at_s, expires_s)
    assert m.offer(job) is Admission.ACCEPTED
    m.advance(at_s)
    return job


def run_out(m: ProcessModel, until_s: float) -> None:
    """As its owner does: from event to event."""
    while (next_s := m.next_event_s()) is not None and next_s <= until_s:
        m.advance(next_s)
    m.advance(until_s)


def test_work_takes_its_time_by_cores_and_speed() -> None:
    m = machine(replace(PLAIN, speed=2.0, slots_per_core=2))
    jobs = [offer(m, 0.0, 100.0) for _ in range(4)]  # four on two cores of speed 2
    run_out(m, 1.0)
    assert [job.ended_s for job in jobs] == pytest.approx([0.1] * 4)
    alone = offer(m, 1.0, 100.0)
    run_out(m, 2.0)
    assert alone.ended_s == pytest.approx(1.05)
    assert m.busy_ms == pytest.approx(250.0)


def test_slots_then_waiting_room_then_turned_away() -> None:
    m = machine()
    first = [offer(m, 0.0, 100.0), offer(m, 0.0, 200.0)]
    waiting = [offer(m, 0.0, 50.0), offer(m, 0.0, 50.0)]
    assert m.offer(ServerRequest(None, 1.0, 0.0)) is Admission.FULL
    assert all(job.started_s == 0.0 for job in first)
    assert all(job.started_s is None for job in waiting)
    run_out(m, 1.0)
    assert waiting[0].started_s == pytest.approx(0.1)
    assert waiting[0].ended_s == pytest.approx(0.15)
    assert waiting[1].started_s == pytest.approx(0.15)
    assert waiting[1].ended_s == pytest.approx(0.2)


def test_a_finish_is_exact_however_seldom_it_is_asked() -> None:
    seldom, often = machine(), machine()
    jobs = [[offer(m, 0.0, 70.0), offer(m, 0.0, 30.0), offer(m, 0.0, 55.0)] for m in (seldom, often)]
    seldom.advance(5.0)
    for step in range(1, 5001):
        often.advance(step / 1000.0)
    assert [j.ended_s for j in jobs[0]] == pytest.approx([j.ended_s for j in jobs[1]], abs=1e-9)


def test_a_freeze_adds_just_its_length() -> None:
    m = machine()
    job = offer(m, 0.0, 100.0)
    m.advance(0.04)
    m.freeze()
    assert m.next_event_s() is None
    m.advance(3.04)
    assert job.ended_s is None
    m.thaw()
    run_out(m, 10.0)
    assert job.ended_s == pytest.approx(3.1)


def test_warming_by_time_and_by_requests() -> None:
    by_time = machine(replace(PLAIN, cold_capacity=0.5, warm_up_s=8.0), cold=True)
    assert [by_time.warmth(t) for t in (0.0, 4.0, 8.0)] == pytest.approx([0.5, 0.75, 1.0])
    job = offer(by_time, 0.0, 100.0)
    run_out(by_time, 1.0)
    assert job.ended_s is not None
    assert 0.19 < job.ended_s <= 0.2
    by_requests = machine(replace(PLAIN, cold_capacity=0.5, warm_up_requests=10), cold=True)
    assert by_requests.warmth(1000.0) == 0.5
    for number in range(10):
        offer(by_requests, 2000.0 + number, 1.0)
        run_out(by_requests, 2000.5 + number)
    assert by_requests.warmth(2010.0) == 1.0


def test_a_cold_server_falls_under_more_than_it_can_bear_and_a_warm_one_does_not() -> None:
    kind = replace(PLAIN, cold_capacity=0.5, warm_up_s=10.0, queue_per_core=10_000)
    # It can do 2 x 0.5 ms a ms; three times that over 2 s is 6,000 ms of work.
    cold = machine(kind, cold=True)
    for _ in range(60):
        offer(cold, 0.0, 100.0)
    assert cold.offer(ServerRequest(None, 1.0, 0.0)) is Admission.CRASHED
    warm = machine(kind)
    for _ in range(600):
        offer(warm, 0.0, 100.0)
    # Spread out, the same work is borne: what came more than 2 s ago no longer counts.
    paced = machine(kind, cold=True)
    for number in range(100):
        offer(paced, number * 0.04, 100.0)


def test_it_chokes_once_when_crowded_and_recovers_after_a_rest() -> None:
    kind = replace(
        PLAIN,
        queue_per_core=100,
        congestion_threshold=2.0,
        congestion_window_s=1.0,
        congestion_slowdown=4.0,
        congestion_exit_s=2.0,
    )
    m = machine(kind)
    for _ in range(60):
        offer(m, 0.0, 100.0)
    run_out(m, 1.5)
    assert m.congested_since_s is not None
    assert m.speed(1.5) == 0.25
    while m.in_flight:
        m.advance(m.next_event_s() or 0.0)
    idle_s = m._at_s
    run_out(m, idle_s + 1.9)
    assert m.congested_since_s is not None
    run_out(m, idle_s + 2.2)
    assert m.congested_since_s is None
    for _ in range(60):
        offer(m, idle_s + 3.0, 100.0)
    run_out(m, idle_s + 5.0)
    assert m.congested_since_s is None  # once a day


def test_waiting_work_is_dropped_where_the_kind_does_so() -> None:
    for cancel, dropped in (("queued", True), ("none", False)):
        m = machine(replace(PLAIN, cancellation=cancel))
        running, _, waiting = offer(m, 0.0, 100.0), offer(m, 0.0, 100.0), offer(m, 0.0, 100.0)
        assert not m.cancel(running)
        assert m.cancel(waiting) is dropped
        run_out(m, 1.0)
        assert (waiting.started_s is None) is dropped


def test_expired_work_is_dropped_unseen_only_where_the_kind_does_so() -> None:
    for drops in (True, False):
        m = machine(replace(PLAIN, drops_expired=drops))
        offer(m, 0.0, 100.0), offer(m, 0.0, 100.0)
        late = offer(m, 0.0, 10.0, expires_s=0.05)
        happened = m.advance(1.0)
        assert late in happened.ended
        assert late.expired is drops
        assert (late.started_s is None) is drops


def test_reports_are_late() -> None:
    m = machine(reports=LoadReportSettings(period_ms=100.0, delay_ms=300.0, noise=0.0))
    for _ in range(4):
        offer(m, 1.0, 10_000.0)
    assert m.report(1.25)["inflight"] == 0.0
    run_out(m, 1.6)
    assert m.report(1.6) == {"inflight": 4.0, "queue": 2.0, "latency_ms": 0.0}
    run_out(m, 4.0)
    assert len(m._snapshots) <= 6  # old ones are forgotten


def test_a_rack_drops_repeats_for_its_window_exactly() -> None:
    for start_s in (0.0, 1000.0, 1234.567891, 98765.4321):
        rack = DeduplicationGroup(1200.0)
        assert not rack.start("k", start_s)
        assert rack.start("k", start_s + 1.199)
        assert rack.start("k", start_s + 1.199999)
        assert not rack.start("k", start_s + 1.201)
        # Counted from the start of the first run: repeats do not prolong it.
        assert rack.start("k", start_s + 1.201 + 1.199)


def test_a_rack_forgets_keys() -> None:
    rack = DeduplicationGroup(1200.0)
    for number in range(5000):
        assert not rack.start(f"k{number}", number * 0.01)
    assert len(rack) <= 121


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
    m = machine(replace(PLAIN, queue_per_core=3))
    now_s, frozen, jobs = 0.0, 0, []
    for wait_s, work_ms, what in steps:
        now_s += wait_s
        m.advance(now_s)
        if what == "offer":
            job = ServerRequest(None, work_ms, now_s)
            if m.offer(job) is Admission.ACCEPTED:
                jobs.append(job)
            m.advance(now_s)
        elif what == "freeze":
            frozen += 1
            m.freeze()
        elif what == "thaw" and frozen:
            frozen -= 1
            m.thaw()
        elif what == "slow":
            m.slowdown = 1.0 + work_ms / 100.0
        assert len(m.running) <= m.slots
        assert len(m.queued) <= m.queue_capacity + m.slots
    for _ in range(frozen):
        m.thaw()
    run_out(m, now_s + 1e6)
    assert not m.in_flight
    assert all(j.started_s is not None and j.ended_s is not None for j in jobs)
    assert all(j.arrived_s <= (j.started_s or 0) <= (j.ended_s or 0) for j in jobs)
    assert m.completed == len(jobs)
