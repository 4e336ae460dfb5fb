"""Fits of costs with a known shape."""

from __future__ import annotations

import pytest

from benchmarks.scale.fit import fit

SIZES = [10.0, 34.0, 100.0, 200.0, 340.0, 680.0]


def test_a_known_line_is_found_without_error_and_without_a_bend() -> None:
    found = fit(SIZES, [5.0 + 0.25 * size for size in SIZES])
    assert found.line.intercept == pytest.approx(5.0)
    assert found.line.slope == pytest.approx(0.25)
    assert found.line.error == pytest.approx(0.0, abs=1e-9)
    assert found.line.slope_error == pytest.approx(0.0, abs=1e-9)
    assert found.line.at(1000.0) == pytest.approx(255.0)
    assert found.bend is None


def test_a_known_power_law_is_found() -> None:
    found = fit(SIZES, [3.0 * size**1.5 for size in SIZES])
    assert found.power is not None
    assert found.power.exponent == pytest.approx(1.5)
    assert found.power.factor == pytest.approx(3.0)
    assert found.power.at(100.0) == pytest.approx(3000.0)


def test_a_known_bend_is_found_at_its_size() -> None:
    costs = [10.0 + 0.1 * size + 2.0 * max(0.0, size - 200.0) for size in SIZES]
    bend = fit(SIZES, costs).bend
    assert bend is not None
    assert bend.size == 200.0
    assert bend.before == pytest.approx(0.1)
    assert bend.after == pytest.approx(2.1)


def test_a_constant_cost_has_no_slope_and_no_bend() -> None:
    found = fit(SIZES, [7.0] * len(SIZES))
    assert found.line.slope == pytest.approx(0.0)
    assert found.bend is None


def test_sizes_with_zero_have_a_line_and_no_power_law() -> None:
    found = fit([0, 6, 20, 40, 60], [1.0, 7.0, 21.0, 41.0, 61.0])
    assert found.power is None
    assert found.line.slope == pytest.approx(1.0)


def test_the_error_of_a_line_is_relative_to_the_mean_cost() -> None:
    found = fit([0, 0, 10, 10], [9.0, 11.0, 9.0, 11.0])
    assert found.line.error == pytest.approx(0.1)


def test_too_few_points_are_refused() -> None:
    with pytest.raises(ValueError, match="4 of each"):
        fit([1, 2, 3], [1, 2, 3])
