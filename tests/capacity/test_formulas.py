"""The formulas of the capacity page give values computed by hand."""

from __future__ import annotations

from random import Random

import pytest

from benchmarks.capacity import formulas
from benchmarks.capacity.plan import SIZES
from benchmarks.capacity.slopes import MissingSlope, NotMeasured, Slopes
from tests.capacity.made import series, slopes


def test_wall_clock_times_use_the_minimum_over_the_rounds() -> None:
    entry = series({680: 5.0})
    entry["at"]["680"] |= {"least": 3.0, "most": 90.0}
    measurements = slopes(data_path__added_p99=entry, data_path__lost=entry)
    assert formulas.added_p99_680(SIZES, measurements) == 3.0
    assert formulas.lost_percent_680(SIZES, measurements) == 500.0


def test_planned_rates() -> None:
    assert SIZES.calls_per_s_per_proxy == pytest.approx(294.1, abs=0.1)
    assert SIZES.changes_per_s == pytest.approx(1600 / 86_400)
    assert SIZES.crowded_changes_per_s == pytest.approx(1 / 3)


def test_decision_core_is_call_rate_times_time_per_decision() -> None:
    measurements = slopes(decision__cpu=series({680: 100.0}))
    assert formulas.decision_core(SIZES, measurements) == pytest.approx(100 * 200_000 / 680 * 100e-6)


def test_a_change_is_read_twice() -> None:
    measurements = slopes(list__policy_read=series({680: 60.0}))
    assert formulas.read_core_crowded(SIZES, measurements) == pytest.approx(2 * 0.060 / 3)
    assert formulas.read_core_day(SIZES, measurements) == pytest.approx(2 * 0.060 * 1600 / 86_400)


def test_stalls_raise_the_99th_percentile_only_beyond_one_percent_of_the_time() -> None:
    assert formulas.p99_of_stalls(60.0, 0.009) == 0.0
    assert formulas.p99_of_stalls(60.0, 0.04) == pytest.approx(45.0)
    measurements = slopes(list__policy_read=series({680: 60.0}))
    assert formulas.read_p99_crowded(SIZES, measurements) == pytest.approx(60.0 * (1 - 0.01 / 0.04))
    assert formulas.read_p99_day(SIZES, measurements) == 0.0


def test_p99_of_stalls_matches_requests_at_random_times() -> None:
    random, stall_ms, share = Random(5), 60.0, 0.04
    waits = sorted(random.uniform(0.0, stall_ms) if random.random() < share else 0.0 for _ in range(200_000))
    assert waits[198_000] == pytest.approx(formulas.p99_of_stalls(stall_ms, share), rel=0.03)


def test_time_in_force_adds_distribution_lease_and_reading() -> None:
    measurements = slopes(
        lease__last=series({1500: 50.0, 3000: 40.0}),
        change__third_down_last=series({680: 1540.0}),
        list__policy_read=series({680: 55.0}),
    )
    assert formulas.change_in_force_ms(SIZES, measurements) == pytest.approx(40 + 3000 / 0.95 + 2 * 50)
    assert formulas.change_in_force_third_down_ms(SIZES, measurements) == pytest.approx(
        1540 + 3000 / 0.95 + 2 * 50
    )
    assert formulas.change_in_force_short_lease_ms(SIZES, measurements) == pytest.approx(
        50 + 1500 / 0.95 + 2 * 50
    )


def test_fitting_lease_with_a_third_down_and_its_processor_time() -> None:
    measurements = slopes(
        change__third_down_last=series({680: 1540.0}),
        list__policy_read=series({680: 55.0}),
        control_machine__cpu=series({680: 0.2}),
    )
    fitting_ms = (3000 - 1540 - 2 * 50) * 0.95
    assert formulas.fitting_lease_ms(SIZES, measurements) == pytest.approx(fitting_ms)
    assert formulas.fitting_lease_core(SIZES, measurements) == pytest.approx(0.2 * 3000 / fitting_ms)


def test_a_proxy_verifies_each_lease_grant_once() -> None:
    measurements = slopes(
        agreement__proxy_datagrams=series({680: 40.0 / 3}), signature__verify=series({128: 150.0})
    )
    assert formulas.verify_core(SIZES, measurements) == pytest.approx(20 / 3 * 150e-6)
    assert formulas.services_control_core(SIZES, measurements) == pytest.approx(65 * 20 / 3 * 150e-6)


def test_an_author_signs_twice_per_host_and_reads_twice() -> None:
    measurements = slopes(signature__sign=series({128: 50.0}), list__policy_read=series({680: 60.0}))
    assert formulas.author_standstill_ms(SIZES, measurements) == pytest.approx(34.0)
    assert formulas.author_core(SIZES, measurements) == pytest.approx((2 * 0.034 + 2 * 0.060) / 3)


def test_overtaken_changes_and_gossip_table_ratios() -> None:
    measurements = slopes(overtaken__decided=series({30: 2.0}), gossip_table__held=series({680: 256.0}))
    assert formulas.wanted_to_decided_changes(SIZES, measurements) == pytest.approx(10.0)
    assert formulas.members_to_gossip_table_size(SIZES, measurements) == pytest.approx(679 / 256)


def test_list_bytes_of_a_returning_zone_stored_versions_and_fetches() -> None:
    measurements = slopes(
        list__discovery_bytes=series({680: 100_000.0}), list__policy_bytes=series({680: 60_000.0})
    )
    assert formulas.zone_lists_mb(SIZES, measurements) == pytest.approx(11.3)
    assert formulas.stored_versions_mb(SIZES, measurements) == pytest.approx(1.2)
    assert formulas.fetch_bytes_crowded(SIZES, measurements) == pytest.approx(20_000.0)


def test_rollout_core_and_bytes_per_proxy() -> None:
    measurements = slopes(
        rollout__count=series({680: 5.0}), rollout__judge=series({680: 10.0}),
        rollout__count_bytes=series({680: 38.0}),
    )  # fmt: skip
    assert formulas.rollout_core(SIZES, measurements) == pytest.approx(680 * 5e-6 + 0.010)
    assert formulas.rollout_proxy_bytes(SIZES, measurements) == pytest.approx(5 * 150)


def test_a_power_law_is_described_where_it_fits_far_better_than_the_line() -> None:
    entry = series({10: 1.0})
    entry["fit"]["line"]["error"] = 0.6
    entry["fit"]["power"] = {"factor": 1.0, "exponent": -1.0, "error": 0.01}
    assert slopes(a__b=entry).describe("a.b") == "a.b: ~ size^-1.00, error 1%"
    entry["fit"]["power"]["error"] = 0.5
    assert slopes(a__b=entry).describe("a.b").startswith("a.b: 0 ± 0 by size, error 60%")


def test_slopes_at_measured_sizes_and_on_the_fitted_line() -> None:
    measurements = slopes(a__b=series({10: 1.0, 20: 2.0}, slope=0.5, intercept=3.0))
    assert measurements.median_at("a.b", 10) == 1.0
    assert measurements.minimum_at("a.b", 20) == 2.0
    assert measurements.fitted_at("a.b", 100) == 53.0
    with pytest.raises(NotMeasured, match="not measured at 30"):
        measurements.median_at("a.b", 30)
    with pytest.raises(MissingSlope, match=r"a\.c"):
        measurements.median_at("a.c", 10)
    with pytest.raises(NotMeasured, match="no run"):
        Slopes({}, {}, {"a.c": "no run"}).median_at("a.c", 10)
