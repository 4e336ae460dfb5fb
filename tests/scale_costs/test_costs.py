"""Each cost at its smallest size: its path, and what holds whatever the machine's speed."""

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


def check(cost: Cost, found: Readings) -> None:
    assert set(found) == {quantity.name for quantity in cost.quantities}


def test_every_cost_has_a_name_of_its_own_and_sizes_that_rise() -> None:
    assert len(catalogue.COSTS) == len(catalogue.EVERY)
    for cost in catalogue.EVERY:
        assert list(cost.sizes) == sorted(set(cost.sizes)), cost.name


def test_decision() -> None:
    found = decision.measure(10, calls=20)
    check(decision.COST, found)
    assert found["cpu"] > 0


def test_lists() -> None:
    found = lists.measure(10)
    check(lists.COST, found)
    assert found["policy_bytes"] == len(lists.policy_file(10))
    assert len(read_policy(lists.policy_file(10), "made").server_list.servers) == 10


def test_signatures() -> None:
    check(signatures.COST, signatures.measure(64, repeats=3))


def test_messages_of_leases() -> None:
    found = agreement.quiet(34)
    check(agreement.QUIET, found)
    # Four requests a lease of 3 s to each of five control machines, and as many answers.
    assert found["proxy_datagrams"] == pytest.approx(2 * 5 * 4 / 3.0, rel=0.02)
    assert found["control_received"] == pytest.approx(34 * 4 / 3.0, rel=0.1)


def test_a_change_with_none_and_with_a_third_down() -> None:
    found = agreement.change(34)
    check(agreement.CHANGE, found)
    assert found["first"] <= found["last"] < found["third_down_last"]


def test_leases_and_changes_a_minute() -> None:
    by_lease = agreement.by_lease(1500, size=10)
    check(agreement.BY_LEASE, by_lease)
    assert by_lease["force"] == pytest.approx(by_lease["last"] + 1500 / 0.95)
    quiet, busy = agreement.by_changes(0, size=10), agreement.by_changes(60, size=10)
    check(agreement.BY_CHANGES, busy)
    assert busy["decided"] == 1.0
    assert busy["control_received"] > quiet["control_received"]


def test_authors_at_once() -> None:
    alone, two = authors.measure(1, size=10), authors.measure(2, size=10)
    check(authors.COST, two)
    assert alone == {**alone, "decided": 4.0, "tries": 1.0, "lost": 0.0}
    assert two["decided"] == 8.0


def test_a_change_from_an_overtaken_file_is_refused() -> None:
    found = overtaken.measure(10, minutes=2)
    check(overtaken.COST, found)
    assert 0.0 < found["refused"] < 1.0


def test_a_region_that_is_cut_off_refuses_once_its_leases_have_ended() -> None:
    found = region_cut.measure(10)
    check(region_cut.COST, found)
    assert 10.0 - 3.0 <= found["refused_inside"] <= 10.0
    assert found["refused_outside"] == 0.0
    assert (found["decided_outside"], found["decided_inside"]) == (1.0, 0.0)
    assert found["by_one_version"] == 1.0


def test_two_of_five_control_machines_gone_cost_no_lease_and_three_cost_all() -> None:
    check(outages.CONTROL_GONE, outages.control_machines_gone(0, size=20))
    assert outages.control_machines_gone(2, size=20) == {"without_lease": 0.0}
    assert outages.control_machines_gone(3, size=20)["without_lease"] > outages.OUTAGE_S - 3.0


def test_instances_that_come_back_at_once_decide_soon() -> None:
    found = outages.back_at_once(20, size=20)
    check(outages.BACK_AT_ONCE, found)
    assert 0.0 < found["last"] < 3.0


def test_a_change_with_datagrams_lost() -> None:
    well, lossy = outages.change_with_loss(0, size=20), outages.change_with_loss(50, size=20)
    check(outages.LOSS, lossy)
    assert well["last"] <= lossy["last"] < outages.CHANGE_S


def test_a_rollouts_file_holds_two_policies() -> None:
    found = rollout.measure(34, servers=10, seconds=2)
    check(rollout.COST, found)
    assert found["file"] > 2 * len(lists.POLICY)
    assert found["count"] > 0


def test_a_burst_that_the_port_can_keep() -> None:
    found = burst.measure(34)
    check(burst.COST, found)
    assert found == {"lost": 0.0, "kept": 34.0}


def test_a_gossip_table_has_room_for_256() -> None:
    small, planned = gossip_table.measure(34), gossip_table.measure(680)
    check(gossip_table.COST, small)
    assert small == {"held": 33.0, "share": 1.0}
    assert planned["held"] == 256.0


def test_a_control_machine_answers() -> None:
    found = control_machine.measure(34, length_s=0.5)
    check(control_machine.COST, found)
    assert found["bytes"] > 0
    assert found["memory"] > 0
    assert found["unanswered"] < 1.0


def test_services_on_a_host() -> None:
    found = services.measure(1, idle_s=0.2)
    check(services.COST, found)
    assert found["memory"] > 0


def test_a_chain_of_one_level() -> None:
    found = depth.measure(1, calls=4)
    check(depth.COST, found)
    assert found["attempts"] >= 1.0
    assert 0.0 < found["left"] <= depth.DEADLINE_MS


def test_a_chain_without_proxies() -> None:
    check(depth.WITHOUT_PROXIES, depth.measure_without_proxies(1, calls=4))


def test_the_data_path() -> None:
    try:
        found = data_path_cost.measure(10, calls_per_s=40.0, length_s=0.5)
    except MachineBusy as busy:
        assert "late" in str(busy)
        return
    check(data_path_cost.costs()[0], found)
    assert 0.0 <= found["lost"] <= 1.0
