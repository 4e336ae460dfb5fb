"""Tests of the count in a sliding window."""

from __future__ import annotations

from client_proxy.rates import MAX_COUNTED_EVENTS, WindowCount


def test_window_drops_events_older_than_it() -> None:
    window = WindowCount(100.0)
    assert [window.add(at_ms) for at_ms in (0.0, 50.0, 99.0)] == [1, 2, 3]
    assert window.count(100.0) == 2
    assert window.count(1000.0) == 0


def test_window_of_years_keeps_a_bounded_number_of_events() -> None:
    # Settings may state such a window; without a bound, the time of every send would be kept for the
    # process's life.
    window = WindowCount(1e12)
    for at_ms in range(3 * MAX_COUNTED_EVENTS):
        window.add(float(at_ms))
    assert window.count(3.0 * MAX_COUNTED_EVENTS) == MAX_COUNTED_EVENTS
