"""The estimate of how congested the endpoints are."""

from __future__ import annotations

import pytest

from client_proxy.api.events import Outcome
from client_proxy.limits.congestion import (
    LOAD_MEMORY_MS,
    RECENT_ANSWER_MS,
    STALE_AFTER_MS,
    CongestionEstimate,
)

FIELDS = ("inflight", "queue", "latency_ms")


def test_inflation_is_requests_in_flight_over_requests_executed() -> None:
    estimate = CongestionEstimate(FIELDS, 5.0)
    assert estimate.latency_inflation(0.0) == 1.0
    assert not estimate.has_recent_answers(0.0)
    assert estimate.record_attempt(1.0, "a", Outcome.OK, 1.0, (4.0, 0.0, 40.0)) == 1.0
    assert estimate.record_attempt(2.0, "b", Outcome.OK, 1.0, (12.0, 8.0, 40.0)) == pytest.approx(
        2.0, rel=0.001
    )


def test_old_load_reports_are_ignored() -> None:
    estimate = CongestionEstimate(FIELDS, 5.0)
    estimate.record_attempt(0.0, "a", Outcome.OK, 1.0, (40.0, 36.0, 40.0))
    assert estimate.latency_inflation(LOAD_MEMORY_MS - 1.0) == pytest.approx(10.0)
    assert estimate.latency_inflation(LOAD_MEMORY_MS) == 1.0
    assert not estimate.has_recent_answers(LOAD_MEMORY_MS)


def test_slow_answers_reveal_an_endpoint_that_wrongly_reports_to_be_idle() -> None:
    estimate = CongestionEstimate(FIELDS, 5.0)
    for step in range(50):
        inflation = estimate.record_attempt(step * 10.0, "liar", Outcome.OK, 10.0, (1.0, 0.0, 40.0))
    assert inflation is not None
    assert inflation > 3.5


def test_slowness_is_used_without_load_reports() -> None:
    estimate = CongestionEstimate((), 5.0)
    for step in range(50):
        inflation = estimate.record_attempt(step * 10.0, "a", Outcome.OK, 3.0, None)
    assert inflation == pytest.approx(3.0, rel=0.02)


def test_a_rejection_by_a_full_endpoint_indicates_congestion() -> None:
    assert CongestionEstimate((), 5.0).record_attempt(0.0, "a", Outcome.REJECTED, 1.0, None) == 5.0
    assert (
        CongestionEstimate(FIELDS, 5.0).record_attempt(0.0, "a", Outcome.REJECTED, 1.0, (20.0, 16.0, 40.0))
        == 5.0
    )


def test_a_rejected_connection_at_an_idle_endpoint_indicates_no_congestion() -> None:
    assert CongestionEstimate(FIELDS, 5.0).record_attempt(0.0, "a", Outcome.REJECTED, 1.0, None) is None
    assert (
        CongestionEstimate(FIELDS, 5.0).record_attempt(0.0, "a", Outcome.REJECTED, 1.0, (2.0, 0.0, 40.0))
        is None
    )


def test_lost_attempts_indicate_congestion_only_if_most_are_lost() -> None:
    estimate = CongestionEstimate(FIELDS, 5.0)
    for step in range(300):  # a third of the endpoints is lost
        outcome = Outcome.TIMEOUT if step % 3 == 0 else Outcome.OK
        inflation = estimate.record_attempt(float(step), "a", outcome, 1.0, (4.0, 0.0, 40.0))
        assert inflation in (None, 1.0)
    for step in range(10):
        # One endpoint has just answered, and is not congested.
        assert estimate.record_attempt(400.0 + step, "a", Outcome.TIMEOUT, 1.0, None) is None
    assert estimate.record_attempt(400.0 + RECENT_ANSWER_MS, "a", Outcome.TIMEOUT, 1.0, None) == 5.0


def test_lost_attempts_beside_answers_of_congested_endpoints_indicate_congestion() -> None:
    estimate = CongestionEstimate(FIELDS, 5.0)
    estimate.record_attempt(0.0, "a", Outcome.OK, 1.0, (12.0, 8.0, 40.0))
    for step in range(10):
        inflation = estimate.record_attempt(1.0 + step, "b", Outcome.TIMEOUT, 1.0, None)
    assert inflation == 5.0


def test_without_load_reports_most_attempts_lost_indicate_congestion_at_once() -> None:
    estimate = CongestionEstimate((), 5.0)
    estimate.record_attempt(0.0, "a", Outcome.OK, 1.0, None)
    for step in range(10):
        inflation = estimate.record_attempt(1.0 + step, "b", Outcome.TIMEOUT, 1.0, None)
    assert inflation == 5.0


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.CANCELLED])
def test_other_failures_indicate_no_congestion(outcome: Outcome) -> None:
    assert CongestionEstimate(FIELDS, 5.0).record_attempt(0.0, "a", outcome, 9.0, None) is None


def test_unlisted_endpoints_are_forgotten() -> None:
    estimate = CongestionEstimate(FIELDS, 5.0)
    for number in range(3000):
        estimate.record_attempt(float(number), f"s{number}", Outcome.OK, 1.0, (4.0, 0.0, 40.0))
        estimate.retain({f"s{number}"})
    assert len(estimate) == 1


def test_after_a_pause_the_first_answer_replaces_older_observations() -> None:
    # If older observations were kept, a fast answer would count as one of ten, and the endpoints would look
    # slow for ten more answers.
    estimate = CongestionEstimate((), 5.0)

    def send_and_answer(now_ms: float, server: str, slowness: float) -> float:
        estimate.attempt_sent(now_ms)
        inflation = estimate.record_attempt(now_ms + 1.0, server, Outcome.OK, slowness, None)
        assert inflation is not None
        return inflation

    for step in range(50):
        send_and_answer(step * 10.0, "a", 8.0)
    assert send_and_answer(500.0 + STALE_AFTER_MS, "a", 1.0) == pytest.approx(1.0)
    assert send_and_answer(502.0 + 2 * STALE_AFTER_MS, "b", 8.0) == pytest.approx(8.0, rel=0.11)
    assert send_and_answer(504.0 + 2 * STALE_AFTER_MS, "b", 1.0) == pytest.approx(7.3, rel=0.11)
    # While attempts are sent, nothing is forgotten, even if none is answered.
    for step in range(40):
        estimate.attempt_sent(10_000.0 + step * 100.0)
    estimate.record_attempt(10_000.0, "b", Outcome.OK, 8.0, None)
    assert estimate.record_attempt(14_000.0, "b", Outcome.OK, 1.0, None) == pytest.approx(7.3, rel=0.11)
