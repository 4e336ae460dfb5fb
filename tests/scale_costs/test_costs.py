"""Each cost at a small size: that it can be measured, and results that hold at any speed of the machine."""

from __future__ import annotations

import pytest

from benchmarks.scale import (
    agreement,
    authors,
    burst,
    catalogue,
    control_machine,
    data_path_cost,
    decision,
    depth,
    gossip_table,
    lists,
    outages,
    overtaken,
    region_cut,
    rollout,
    services,
    signatures,
)
from benchmarks.scale.cost import Cost, MachineBusy, Readings
from client_proxy.config.policy import read_policy


def check_quantities(cost: Cost, readings: Readings) -> None:
    assert set(readings) == {quantity.name for quantity in cost.quantities}


def test_costs_have_unique_names_and_rising_sizes() -> None:
    assert len(catalogue.COSTS) == len(catalogue.ALL_COSTS)
    for cost in catalogue.ALL_COSTS:
        assert list(cost.sizes) == sorted(set(cost.sizes)), cost.name


def test_decision() -> None:
    found = decision.measure(10, calls=20)
    check_quantities(decision.COST, found)
    assert found["cpu"] > 0


def test_lists() -> None:
    found = lists.measure(10)
    check_quantities(lists.COST, found)
    assert found["policy_bytes"] == len(lists.policy_file(10))
    assert len(read_policy(lists.policy_file(10), "made").server_list.servers) == 10


def test_signatures() -> None:
    check_quantities(signatures.COST, signatures.measure(64, repeats=3))


def test_lease_messages() -> None:
    found = agreement.quiet(34)
    check_quantities(agreement.QUIET, found)
    # Four requests per lease of 3 s to each of five control machines, and as many answers.
    assert found["proxy_datagrams"] == pytest.approx(2 * 5 * 4 / 3.0, rel=0.02)
    assert found["control_received"] == pytest.approx(34 * 4 / 3.0, rel=0.1)


def test_a_change_takes_longer_with_a_third_of_the_instances_down() -> None:
    found = agreement.change(34)
    check_quantities(agreement.CHANGE, found)
    assert found["first"] <= found["last"] < found["third_down_last"]


def test_lease_length_and_changes_per_minute() -> None:
    by_lease = agreement.by_lease(1500, size=10)
    check_quantities(agreement.BY_LEASE, by_lease)
    assert by_lease["force"] == pytest.approx(by_lease["last"] + 1500 / 0.95)
    quiet, busy = agreement.by_changes(0, size=10), agreement.by_changes(60, size=10)
    check_quantities(agreement.BY_CHANGES, busy)
    assert busy["decided"] == 1.0
    assert busy["control_received"] > quiet["control_received"]


def test_several_authors_propose_at_once() -> None:
    alone, two = authors.measure(1, size=10), authors.measure(2, size=10)
    check_quantities(authors.COST, two)
    assert alone == {**alone, "decided": 4.0, "tries": 1.0, "lost": 0.0}
    assert two["decided"] == 8.0


def test_a_change_to_an_outdated_file_is_refused() -> None:
    found = overtaken.measure(10, minutes=2)
    check_quantities(overtaken.COST, found)
    assert 0.0 < found["refused"] < 1.0


def test_a_region_that_is_cut_off_refuses_after_its_leases_expire() -> None:
    found = region_cut.measure(10)
    check_quantities(region_cut.COST, found)
    assert 10.0 - 3.0 <= found["refused_inside"] <= 10.0
    assert found["refused_outside"] == 0.0
    assert (found["decided_outside"], found["decided_inside"]) == (1.0, 0.0)
    assert found["by_one_version"] == 1.0


def test_leases_survive_two_of_five_control_machines_down_and_not_three() -> None:
    check_quantities(outages.CONTROL_GONE, outages.control_machines_gone(0, size=20))
    assert outages.control_machines_gone(2, size=20) == {"without_lease": 0.0}
    assert outages.control_machines_gone(3, size=20)["without_lease"] > outages.OUTAGE_S - 3.0


def test_instances_restarted_simultaneously_hold_leases_again_within_a_lease_duration() -> None:
    found = outages.back_at_once(20, size=20)
    check_quantities(outages.BACK_AT_ONCE, found)
    assert 0.0 < found["last"] < 3.0


def test_a_change_with_lost_datagrams() -> None:
    without_loss, lossy = outages.change_with_loss(0, size=20), outages.change_with_loss(50, size=20)
    check_quantities(outages.LOSS, lossy)
    assert without_loss["last"] <= lossy["last"] < outages.CHANGE_S


def test_a_rollout_file_holds_two_policies() -> None:
    found = rollout.measure(34, servers=10, seconds=2)
    check_quantities(rollout.COST, found)
    assert found["file"] > 2 * len(lists.POLICY)
    assert found["count"] > 0


def test_the_port_keeps_a_small_burst() -> None:
    found = burst.measure(34)
    check_quantities(burst.COST, found)
    assert found == {"lost": 0.0, "kept": 34.0}


def test_a_gossip_table_has_room_for_256() -> None:
    small, large = gossip_table.measure(34), gossip_table.measure(680)
    check_quantities(gossip_table.COST, small)
    assert small == {"held": 33.0, "share": 1.0}
    assert large["held"] == 256.0


def test_a_control_machine_answers() -> None:
    found = control_machine.measure(34, length_s=0.5)
    check_quantities(control_machine.COST, found)
    assert found["bytes"] > 0
    assert found["memory"] > 0
    assert found["unanswered"] < 1.0


def test_services_on_a_host() -> None:
    found = services.measure(1, idle_s=0.2)
    check_quantities(services.COST, found)
    assert found["memory"] > 0


def test_a_chain_of_one_level() -> None:
    found = depth.measure(1, calls=4)
    check_quantities(depth.COST, found)
    assert found["attempts"] >= 1.0
    assert 0.0 < found["left"] <= depth.DEADLINE_MS


def test_a_chain_without_proxies() -> None:
    check_quantities(depth.WITHOUT_PROXIES, depth.measure_without_proxies(1, calls=4))


def test_the_data_path() -> None:
    try:
        found = data_path_cost.measure(10, calls_per_s=40.0, length_s=0.5)
    except MachineBusy as busy:
        assert "late" in str(busy)
        return
    check_quantities(data_path_cost.costs()[0], found)
    assert 0.0 <= found["lost"] <= 1.0
