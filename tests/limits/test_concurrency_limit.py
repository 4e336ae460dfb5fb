"""The concurrency window: the requests that one instance may have in flight."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.limits.concurrency_limit import ConcurrencyWindow, WindowSettings
from tests.support.fixed_draws import fixed_draws

STATED = WindowSettings(target_inflation=2.0)


def make_window(size: float) -> ConcurrencyWindow:
    window = ConcurrencyWindow(STATED)
    window.start(size)
    window.size = size
    return window


def fill(window: ConcurrencyWindow, now_ms: float) -> None:
    """Send requests until the window is full."""
    while not window.is_full(now_ms):
        window.attempt_sent(now_ms, 1.0)


def test_the_window_bounds_requests_in_flight() -> None:
    window = make_window(4.0)
    fill(window, 0.0)
    assert window.in_flight == 4
    assert window.is_full(1.0)
    window.attempt_ended(1.0, 50.0)
    assert not window.is_full(2.0)


def test_borrowing_classes_may_exceed_the_window() -> None:
    window = make_window(2.0)
    fill(window, 0.0)
    assert window.is_full(0.0)
    assert not window.is_full(0.0, borrowed=1)


def test_the_fractional_part_lets_a_request_through_now_and_then() -> None:
    window = make_window(1.5)
    window.attempt_ended(0.0, 100.0)  # the usual latency is 100 ms
    window.in_flight = 1
    sent = 0
    for step in range(1000):
        if not window.is_full(step * 10.0):
            window.attempt_sent(step * 10.0, 1.0)
            window.in_flight -= 1
            sent += 1
    assert 45 <= sent <= 52  # the fraction lets half a request through each 100 ms, for 10 s


def test_the_window_grows_only_while_it_is_full_and_endpoints_have_capacity() -> None:
    unused, full = make_window(4.0), make_window(4.0)
    for step in range(20):
        unused.record_inflation(step * 100.0, 1.5)
        fill(full, step * 100.0)
        full.record_inflation(step * 100.0, 1.5)
    assert unused.size <= 4.0 < 4.5 < full.size


def test_cuts_follow_the_excess_and_the_time_not_the_number_of_answers() -> None:
    few_answers, many_answers, small_excess = make_window(8.0), make_window(8.0), make_window(8.0)
    for window in (few_answers, many_answers, small_excess):
        window.record_inflation(0.0, 1.0)
        window._was_binding = False
    for step in range(1, 5):
        few_answers.record_inflation(step * 250.0, 4.0)
    for step in range(1, 101):
        many_answers.record_inflation(step * 10.0, 4.0)
    for step in range(1, 5):
        small_excess.record_inflation(step * 250.0, 2.2)
    assert few_answers.size < 4.0 < small_excess.size < 8.0
    assert many_answers.size == pytest.approx(few_answers.size, rel=0.35)


def test_unused_window_is_taken_back() -> None:
    window = make_window(100.0)
    for step in range(300):
        window.record_inflation(step * 100.0, 1.0)
    assert window.size < 5.0


def test_a_window_that_rejects_everything_recovers_without_answers() -> None:
    window = make_window(0.02)
    window.record_inflation(0.0, 8.0)
    rejections = 0
    while window.share < 0.5 and rejections < 100:
        rejections += 1
        window.request_rejected(rejections * 1600.0)
    assert window.share >= 0.5
    assert rejections >= 2


def test_windows_of_unequal_size_converge() -> None:
    sizes = [1.2, 2.0, 6.0, 12.0]
    windows = [make_window(size) for size in sizes]
    for step in range(1, 4000):
        now_ms = step * 50.0
        load = sum(min(window.size, 10.0) for window in windows)
        for window in windows:
            window._was_binding = True
            window.in_flight = int(window.size)
            window.record_inflation(now_ms, load / 5.0)  # all endpoints together have capacity for ten
    assert 8.0 < sum(window.size for window in windows) < 12.0
    assert max(window.size for window in windows) < 3.0 * min(window.size for window in windows)


EVENT = st.tuples(
    st.sampled_from(["ask", "ask", "ask", "end", "told"]), st.floats(0, 300), st.floats(1, 10), st.booleans()
)


@fixed_draws("never_more_under_way_than_its_bound")
@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.floats(0.02, 20.0), st.lists(EVENT, max_size=200))
def test_requests_in_flight_never_exceed_the_bound(
    size: float, events: list[tuple[str, float, float, bool]]
) -> None:
    window, now_ms = make_window(size), 0.0
    for kind, elapsed_ms, value, borrows in events:
        now_ms += elapsed_ms
        if kind == "ask":
            allowed = int(max(1.0, window.size) + 1e-9) + 1 + borrows
            if not window.is_full(now_ms, int(borrows)):
                window.attempt_sent(now_ms, 1.0)
                assert window.in_flight <= allowed
        elif kind == "end" and window.in_flight:
            window.attempt_ended(now_ms, value)
        elif kind == "told":
            window.record_inflation(now_ms, value)
        assert window.size >= STATED.min_size
        assert window.in_flight >= 0
