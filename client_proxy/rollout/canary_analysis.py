"""Sequential test of whether the canary group of instances fails more requests than the control group.

The verdict can be read after every window without raising the probability of a false alarm.

Both groups are observed in the same seconds, so that a server fault, which affects both, cancels out. The
difference between the groups before the rollout (the baseline) is subtracted, as instances differ in zone and
traffic. Each window gives the difference of the two failure rates; windows are combined by inverse-variance
weighting. The confidence bound is the normal mixture of Robbins ("Statistical methods related to the law of
the iterated logarithm", 1970; Howard et al., "Time-uniform, nonparametric, nonasymptotic confidence
sequences", 2021): with probability 1 - alpha the true difference is within the bound after every window. The
comparisons of all classes and stages share one alpha evenly.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import log, sqrt

PSEUDO_FAILURES = 0.5
"""Requests added to both failures and successes: no observed failure does not mean a failure rate of zero."""
MIN_WINDOW_REQUESTS = 5
"""Requests that each group needs in a window; smaller windows are merged into the next one."""
TIGHTEST_DIFFERENCE = 0.02
"""Difference of failure rates, as a share from 0 to 1, for which the confidence bound is optimized."""
MAX_DISPERSION = 25.0
"""Upper limit of `Baseline.dispersion`."""
PRIOR_REQUESTS = 100.0
"""Requests with the failure rate of the baseline that are added when a window's failure rate is estimated."""
MIN_DISPERSION_WINDOWS = 5
"""Windows; the dispersion of a baseline is estimated only if it has more windows than this."""
FAILURE_RATE_WITHOUT_BASELINE = 0.01
"""Share of requests; assumed if the baseline has no usable window."""


class Verdict(Enum):
    """Result of comparing the canary group with the control group."""

    UNDECIDED = "undecided"
    WORSE = "worse"
    NOT_WORSE = "not worse"  # the confidence interval ends below the tolerated difference


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """Number of requests of one group in a window, and of those that were not served in time."""

    requests: int
    failures: int

    def __add__(self, other: OutcomeCount) -> OutcomeCount:
        return OutcomeCount(self.requests + other.requests, self.failures + other.failures)

    @property
    def failure_rate(self) -> float:
        """Share of failed requests, smoothed by `PSEUDO_FAILURES`."""
        return (self.failures + PSEUDO_FAILURES) / (self.requests + 2 * PSEUDO_FAILURES)


NO_OUTCOMES = OutcomeCount(0, 0)


@dataclass(frozen=True, slots=True)
class ConfidenceInterval:
    """Lower and upper bound of the difference of two failure rates."""

    low: float
    high: float


class Baseline:
    """Comparison of the two groups before the rollout, while both used the old version.

    Windows in which a group has fewer than `MIN_WINDOW_REQUESTS` requests are ignored.

    Attributes:
        failure_rate: Failure rate of both groups together.
        difference: Failure rate of the canary group minus that of the control group.
        variance: Variance of `difference`.
        dispersion: Variance between windows as a multiple of that of independent requests; at least 1.
    """

    def __init__(self, windows: Sequence[tuple[OutcomeCount, OutcomeCount]] = ()) -> None:
        pairs = [
            (canary, control)
            for canary, control in windows
            if canary.requests >= MIN_WINDOW_REQUESTS and control.requests >= MIN_WINDOW_REQUESTS
        ]
        both = NO_OUTCOMES
        for canary, control in pairs:
            both = both + canary + control
        self.failure_rate = both.failure_rate if both.requests else FAILURE_RATE_WITHOUT_BASELINE
        self.difference, self.variance, self.dispersion = 0.0, 0.0, 1.0
        if pairs:
            self._estimate(pairs)

    def _estimate(self, pairs: Sequence[tuple[OutcomeCount, OutcomeCount]]) -> None:
        weights = [1 / difference_variance(self.failure_rate, canary, control) for canary, control in pairs]
        differences = [rate_difference(canary, control) for canary, control in pairs]
        total_weight = sum(weights)
        self.difference = (
            sum(weight * difference for weight, difference in zip(weights, differences, strict=True))
            / total_weight
        )
        if len(pairs) > MIN_DISPERSION_WINDOWS:
            chi_square = sum(
                weight * (difference - self.difference) ** 2
                for weight, difference in zip(weights, differences, strict=True)
            )
            self.dispersion = min(MAX_DISPERSION, max(1.0, chi_square / (len(pairs) - 1)))
        self.variance = self.dispersion / total_weight


def rate_difference(canary: OutcomeCount, control: OutcomeCount) -> float:
    """Return the failure rate of the canary group minus that of the control group."""
    return canary.failures / canary.requests - control.failures / control.requests


def difference_variance(failure_rate: float, canary: OutcomeCount, control: OutcomeCount) -> float:
    """Return the variance of `rate_difference` if requests fail independently with `failure_rate`."""
    return failure_rate * (1 - failure_rate) * (1 / canary.requests + 1 / control.requests)


def confidence_radius(
    information: float, alpha: float, tightest_difference: float = TIGHTEST_DIFFERENCE
) -> float:
    """Return half the width of the confidence sequence.

    Args:
        information: 1 divided by the variance of the estimated difference.
        alpha: Probability that the true value is outside the bound after any window.
        tightest_difference: Difference of failure rates for which the width is minimized.
    """
    if information <= 0:
        return float("inf")
    rho = 8.0 / tightest_difference**2 / 4.0
    return sqrt((information + rho) * (log((information + rho) / rho) - 2.0 * log(alpha))) / information


class Comparison:
    """Comparison of the two groups for one request class during one stage.

    Args:
        alpha: Probability of a false alarm of this comparison.
        baseline: How the groups compared before the rollout.

    Attributes:
        information: 1 divided by the variance of `difference`, without the baseline's uncertainty.
        canary_total: Outcomes of the canary group in all windows that were compared.
    """

    def __init__(self, alpha: float, baseline: Baseline) -> None:
        self._alpha, self._baseline = alpha, baseline
        self._pending_canary, self._pending_control = NO_OUTCOMES, NO_OUTCOMES
        self._weighted_sum = 0.0
        self.information = 0.0
        self.canary_total = NO_OUTCOMES

    def add(self, canary: OutcomeCount, control: OutcomeCount) -> None:
        """Add a window; one with fewer than `MIN_WINDOW_REQUESTS` in a group is merged into the next one."""
        canary, control = self._pending_canary + canary, self._pending_control + control
        if canary.requests < MIN_WINDOW_REQUESTS or control.requests < MIN_WINDOW_REQUESTS:
            self._pending_canary, self._pending_control = canary, control
            return
        self._pending_canary, self._pending_control = NO_OUTCOMES, NO_OUTCOMES
        self.canary_total += canary
        # The variance is estimated from both groups and the baseline. Estimated from a group without any
        # failure it would be too small, and the window would get too much weight.
        requests = canary.requests + control.requests
        failures = canary.failures + control.failures
        failure_rate = min(
            0.5,
            (failures + PRIOR_REQUESTS * self._baseline.failure_rate) / (requests + PRIOR_REQUESTS),
        )
        weight = 1 / (self._baseline.dispersion * difference_variance(failure_rate, canary, control))
        self.information += weight
        # If the baseline's difference were not subtracted, an instance in a zone that always has slightly
        # more failures would stop every rollout that begins with this instance.
        self._weighted_sum += weight * (rate_difference(canary, control) - self._baseline.difference)

    @property
    def difference(self) -> float:
        """Estimate of how much more the canary group's failure rate rose than the control group's."""
        return self._weighted_sum / self.information if self.information else 0.0

    @property
    def bounds(self) -> ConfidenceInterval:
        """Confidence interval of `difference`."""
        radius = confidence_radius(self.information, self._alpha)
        # Further windows do not reduce the uncertainty of the baseline, so it is added separately.
        radius += sqrt(self._baseline.variance) * sqrt(-2.0 * log(self._alpha))
        return ConfidenceInterval(self.difference - radius, self.difference + radius)

    def verdict(self, tolerated_difference: float) -> Verdict:
        """Return the verdict on the canary group so far.

        Args:
            tolerated_difference: Difference of failure rates up to which the versions count as equal.
        """
        bounds = self.bounds
        if bounds.low > 0.0 and self.difference > tolerated_difference / 4:
            return Verdict.WORSE
        return Verdict.NOT_WORSE if bounds.high < tolerated_difference else Verdict.UNDECIDED
