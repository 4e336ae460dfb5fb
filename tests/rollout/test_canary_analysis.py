"""Tests of the sequential comparison of the canary group with the control group."""

from __future__ import annotations

from random import Random

from client_proxy.rollout.canary_analysis import Baseline, Comparison, OutcomeCount, Verdict


def compare_simulated_groups(seed: int, rate_increase: float, windows: int = 120) -> Verdict:
    """Return the verdict on a canary group whose failure rate is higher by `rate_increase`."""
    random = Random(seed)

    def count(requests: int, failure_rate: float) -> OutcomeCount:
        return OutcomeCount(requests, sum(random.random() < failure_rate for _ in range(requests)))

    baseline = Baseline([(count(20, 0.02), count(100, 0.02)) for _ in range(20)])
    comparison = Comparison(0.01, baseline)
    for _ in range(windows):
        comparison.add(count(20, 0.02 + rate_increase), count(100, 0.02))
        if comparison.verdict(0.03) is Verdict.WORSE:
            return Verdict.WORSE
    return comparison.verdict(0.03)


def test_a_verdict_after_every_window_rarely_stops_an_equal_version() -> None:
    stopped = sum(compare_simulated_groups(seed, 0.0) is Verdict.WORSE for seed in range(300))
    assert stopped <= 6  # alpha allows one false alarm in a hundred


def test_a_version_with_a_failure_rate_higher_by_a_tenth_is_always_detected() -> None:
    assert all(compare_simulated_groups(seed, 0.1) is Verdict.WORSE for seed in range(40))


def test_windows_with_more_spread_than_independent_requests_widen_the_bound() -> None:
    random = Random(3)

    def window_pairs(spread: float) -> list[tuple[OutcomeCount, OutcomeCount]]:
        rates = [max(0.0, min(1.0, 0.2 + random.gauss(0, spread))) for _ in range(40)]
        return [(OutcomeCount(100, round(100 * rate)), OutcomeCount(100, 20)) for rate in rates]

    stable, dispersed = Baseline(window_pairs(0.04)), Baseline(window_pairs(0.2))
    assert dispersed.dispersion > 3 * stable.dispersion
    narrow, wide = Comparison(0.01, stable), Comparison(0.01, dispersed)
    for comparison in (narrow, wide):
        comparison.add(OutcomeCount(100, 30), OutcomeCount(100, 20))
    assert wide.bounds.high - wide.bounds.low > narrow.bounds.high - narrow.bounds.low


def test_windows_with_few_requests_are_merged() -> None:
    comparison = Comparison(0.01, Baseline())
    for _ in range(4):
        comparison.add(OutcomeCount(1, 1), OutcomeCount(9, 0))
    assert comparison.information == 0
    assert comparison.verdict(0.01) is Verdict.UNDECIDED
    comparison.add(OutcomeCount(1, 1), OutcomeCount(9, 0))
    assert comparison.information > 0
    assert comparison.canary_total == OutcomeCount(5, 5)
