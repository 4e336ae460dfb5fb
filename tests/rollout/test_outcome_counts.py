"""Tests of counting outcomes from cumulative reports of members."""

from __future__ import annotations

from client_proxy.rollout.canary_analysis import OutcomeCount
from client_proxy.rollout.outcome_counts import MAX_MEMBERS, MAX_WINDOWS, CumulativeCounts, OutcomeCounts


def test_counts_are_of_one_window_and_one_incarnation_and_stay_bounded() -> None:
    outcomes = OutcomeCounts()
    outcomes.record(1, "h", CumulativeCounts(7, 2, {"a": (100, 3)}))
    outcomes.record(1, "h", CumulativeCounts(7, 2, {"a": (110, 4)}))
    outcomes.record(1, "h", CumulativeCounts(7, 2, {"a": (110, 4)}))  # a duplicate of the report
    assert outcomes.close_window() == {1: {"a": OutcomeCount(10, 1)}}
    outcomes.record(
        1, "h", CumulativeCounts(8, 2, {"a": (50, 50)})
    )  # another incarnation: the instance was restarted
    outcomes.record(1, "h", CumulativeCounts(8, 3, {"a": (60, 60)}))  # another policy version is in effect
    assert outcomes.close_window() == {}
    for member in range(5000):
        outcomes.record(member, "h", CumulativeCounts(1, 1, {"a": (1, 0)}))
        outcomes.close_window()
    assert len(outcomes) == MAX_MEMBERS == len(outcomes.zones)
    assert len(outcomes.windows) == MAX_WINDOWS
