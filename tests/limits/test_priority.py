"""Which classes are admitted when not all work can be."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.limits.priority import PriorityAdmission, admitted_shares
from tests.support.fixed_draws import fixed_draws

NAMES = ("a", "b", "c", "d")


def test_classes_are_admitted_by_priority_until_the_share_runs_out() -> None:
    work = {"a": 2.0, "b": 2.0, "c": 4.0}
    assert admitted_shares(1.0, "abc", work, {}) == {"a": 1.0, "b": 1.0, "c": 1.0}
    assert admitted_shares(0.5, "abc", work, {}) == {"a": 1.0, "b": 1.0, "c": 0.0}
    assert admitted_shares(0.375, "abc", work, {}) == {"a": 1.0, "b": 0.5, "c": 0.0}
    with_min_share = admitted_shares(0.5, "abc", work, {"c": 0.25})
    assert with_min_share == {"a": 1.0, "b": 0.5, "c": 0.25}


def test_a_minimum_share_without_demand_goes_to_other_classes() -> None:
    assert admitted_shares(0.5, "ab", {"a": 4.0, "b": 0.0}, {"b": 0.5})["a"] == pytest.approx(0.5)


@fixed_draws("never_more_than_the_share_and_the_worthier_first")
@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.floats(0.0, 1.0),
    st.permutations(NAMES),
    st.fixed_dictionaries({name: st.floats(0.0, 100.0) for name in NAMES}),
    st.fixed_dictionaries({}, optional={name: st.floats(0.0, 0.25) for name in NAMES}),
)
def test_admitted_work_stays_within_the_share_and_goes_to_higher_priority_first(
    share: float, ranked: list[str], work: dict[str, float], min_shares: dict[str, float]
) -> None:
    admitted = admitted_shares(share, ranked, work, min_shares)
    total = sum(work.values())
    assert sum(admitted[n] * work[n] for n in NAMES) <= share * total + 1e-6
    for higher, lower in pairwise(ranked):
        if work[higher] > 1e-9 and work[lower] > 1e-9 and admitted[higher] < 1.0 - 1e-9:
            # The class of lower priority gets no more than its minimum share.
            assert admitted[lower] * work[lower] <= min_shares.get(lower, 0.0) * share * total + 1e-6


def test_ranking_is_by_priority_weight_per_unit_of_work_or_as_stated() -> None:
    admission = PriorityAdmission({"entry": 10.0, "extract": 3.0}, (), {})
    for _ in range(200):
        admission.request_arrived("entry", 94.0)
        admission.request_arrived("extract", 48.0)
    assert admission.ranked_classes() == ["entry", "extract"]
    for _ in range(500):
        admission.request_arrived("entry", 900.0)
    assert admission.ranked_classes() == ["extract", "entry"]
    assert PriorityAdmission({"entry": 10.0, "extract": 3.0}, ("extract",), {}).ranked_classes() == [
        "extract",
        "entry",
    ]


@fixed_draws("in_any_stretch_no_worthier_one_is_refused_while_a_less_worthy_one_is_taken")
@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.floats(0.05, 0.95), st.lists(st.sampled_from("ab"), min_size=100, max_size=300))
def test_a_class_of_lower_priority_is_never_admitted_more_than_a_higher_one(
    share: float, requests: list[str]
) -> None:
    admission = PriorityAdmission({"a": 10.0, "b": 1.0}, (), {})
    for name in requests * 2:  # so that the demand is known
        admission.request_arrived(name, 1.0)
    decisions: dict[str, list[bool]] = {"a": [], "b": []}
    for name in requests:
        admission.request_arrived(name, 1.0)
        decisions[name].append(admission.admits(name, share))
    admitted = admitted_shares(share, admission.ranked_classes(), admission._demand.work, {})
    if admitted["a"] < 0.9:
        # The demand is smoothed and fluctuates: almost nothing of the class of lower priority is admitted.
        low_share = sum(decisions["b"]) / max(1, len(decisions["b"]))
        high_share = sum(decisions["a"]) / max(1, len(decisions["a"]))
        assert low_share <= high_share + 0.1


def test_a_partly_admitted_class_is_admitted_evenly() -> None:
    admission = PriorityAdmission({"a": 10.0, "b": 1.0}, (), {})
    for _ in range(300):
        admission.request_arrived("a", 1.0)
        admission.request_arrived("b", 1.0)
    admitted = []
    for _ in range(200):
        admission.request_arrived("a", 1.0)
        admission.request_arrived("b", 1.0)
        assert admission.admits("a", 0.75)
        admitted.append(admission.admits("b", 0.75))
    for start in range(0, 180, 20):
        assert 8 <= sum(admitted[start : start + 20]) <= 12


def test_an_unknown_class_is_admitted() -> None:
    assert PriorityAdmission({"a": 1.0}, (), {}).admits("", 0.1)
