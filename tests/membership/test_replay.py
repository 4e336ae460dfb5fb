"""Tests of the anti-replay window."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from client_proxy.membership.replay import WINDOW_BITS, ReplayWindow


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 200)), max_size=200))
def test_window_accepts_each_datagram_once_and_no_older_incarnation(datagrams: list[tuple[int, int]]) -> None:
    window = ReplayWindow()
    taken: set[tuple[int, int]] = set()
    highest = (0, -1)
    for incarnation, counter in datagrams:
        new = window.is_new(incarnation, counter)
        assert window.accept(incarnation, counter) is new
        fresh = incarnation > highest[0] or (
            incarnation == highest[0]
            and (incarnation, counter) not in taken
            and highest[1] - counter < WINDOW_BITS
        )
        assert new is fresh
        if new:
            taken.add((incarnation, counter))
            highest = max(highest, (incarnation, counter))
