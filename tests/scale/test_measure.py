"""Measurements computed from recorded switches, samples and reports, without processes."""

from __future__ import annotations

from pathlib import Path

from client_proxy.fault_injection.child_process import ROOT
from client_proxy.scale import measure
from client_proxy.scale.fleet import InstanceView, Sample
from client_proxy.scale.hollow import HollowInstance
from client_proxy.scale.measure import Absence
from client_proxy.scale.plan import load
from client_proxy.scale.report import CONTROL_ALONE, summarize
from client_proxy.scale.topology import HostProcess, Layout, Placement, Role

SWITCHES = {"a": [(1.0, 1), (5.2, 2)], "b": [(1.0, 1), (6.0, 3)], "c": [(1.0, 1), (5.1, 2), (5.9, 3)]}


def test_a_change_is_in_force_when_the_last_running_instance_adopts_it_or_a_later_one() -> None:
    assert measure.in_force(SWITCHES, 2, 5.0, []) == (6.0, "b", 0)
    assert measure.in_force(SWITCHES, 3, 5.0, []) == (6.0, "b", 1)  # a never adopted it


def test_instances_that_were_away_during_a_change_do_not_count() -> None:
    assert measure.in_force(SWITCHES, 2, 5.0, [Absence("b", 4.0, 5.5)]) == (5.2, "a", 0)
    assert measure.in_force(SWITCHES, 3, 5.0, [Absence("a", 5.5)]) == (6.0, "b", 0)
    # An absence that ended before the proposal, or began after the switch, changes nothing.
    assert measure.in_force(SWITCHES, 2, 5.0, [Absence("b", 2.0, 4.0)]) == (6.0, "b", 0)
    assert measure.in_force(SWITCHES, 2, 5.0, [Absence("b", 6.5)]) == (6.0, "b", 0)


def test_the_standing_compares_the_largest_value_with_the_budget() -> None:
    assert summarize("x", "s", [1.0, 2.0, 3.5], budget=3.0).standing == "over"
    assert summarize("x", "s", [1.0, 2.0, 3.0], budget=3.0).standing == "under"
    assert summarize("x", "s", [], budget=3.0).standing == "not measured"
    assert summarize("x", "s", [1.0]).standing == ""
    row = summarize("x", "s", [4.0, 1.0, 2.0])
    assert (row.least, row.median, row.most, row.count) == (1.0, 2.0, 4.0, 3)


def test_the_cost_of_a_process_is_divided_by_its_instances() -> None:
    placements = tuple(Placement(f"a-{n}", n, Role.FOLLOWER, "r", "a", f"127.0.0.{n}") for n in (1, 2))
    host = HostProcess("hollow-a-0", Role.FOLLOWER, placements)
    before = Sample(1.0, 0, 0.0, {"sent": 10, "bytes_sent": 1024})
    after = Sample(1.4, 4096, 0.5, {"sent": 50, "bytes_sent": 1024 * 21, "stream_bytes_received": 2048})
    per_instance = measure.process_cost(host, before, after, 10.0)
    assert per_instance is not None
    assert (per_instance.mb, per_instance.sent_kb_s, per_instance.received_kb_s, per_instance.sent_s) == (
        2.0,
        1.0,
        0.1,
        2.0,
    )
    assert abs(per_instance.cpu_percent - 2.0) < 1e-9
    assert per_instance.waited_percent == 5.0
    # A process that was restarted meanwhile counts from 0 again and has no cost.
    assert measure.process_cost(host, after, before, 10.0) is None


def test_control_alone_is_the_cost_difference_of_instances_with_and_without_control() -> None:
    def make_cost(cpu: float, mb: float) -> measure.Cost:
        return measure.Cost(cpu, mb, 1.0, 1.0, 1.0, 1.0, 0.0)

    costs_by_role: dict[Role, list[measure.Cost]] = {role: [] for role in Role}
    costs_by_role |= {Role.REAL: [make_cost(12.0, 60.0)], Role.PLAIN: [make_cost(10.0, 50.0)]}
    rows = {row.name: row for row in measure.cost_measurements(costs_by_role) if row.role == CONTROL_ALONE}
    assert rows[measure.CPU].most == 2.0
    assert rows[measure.CPU].standing == "over"
    assert rows[measure.MEMORY].most == 10.0
    assert rows[measure.MEMORY].standing == "under"
    without = measure.cost_measurements(costs_by_role | {Role.PLAIN: []})
    alone = [row for row in without if row.role == CONTROL_ALONE]
    assert {row.standing for row in alone} == {"not measured"}


def test_an_instance_alone_in_its_process_has_no_cost_row() -> None:
    layout = Layout(load(ROOT / "examples/scale/crowded-troubled.toml"))
    before = {host.name: Sample(0.0, 0, 0.0, {}) for host in layout.hosts}
    after = {host.name: Sample(1.0, 1024, 0.0, {}) for host in layout.hosts}
    found = measure.collect_costs(layout, before, after, 1.0)
    hosts = [host for host in layout.hosts_of(Role.FOLLOWER) if not host.name.startswith("alone-")]
    assert len(found[Role.FOLLOWER]) == len(hosts)


def test_switches_of_a_real_instance_are_read_from_its_log(tmp_path: Path) -> None:
    log = tmp_path / "real-0.log"
    log.write_text(
        '{"event": "deciding by version 2, 770a3a29", "timestamp": "1970-01-01T00:01:40.500000Z"}\n'
        '{"event": "taken: version 2", "timestamp": "1970-01-01T00:01:41Z"}\n'
        '{"event": "deciding by version 3, 8'
    )
    assert measure.read_log_switches(log, offset_s=90.0) == [(10.5, 2)]
    assert measure.read_log_switches(tmp_path / "none.log", 0.0) == []


def test_seconds_without_a_lease_add_up_over_restarts_of_an_instance() -> None:
    view = InstanceView()
    fields = {"version": 1, "newest": 1, "members": 0, "listed": 0, "switches": []}
    for reported_s, total_s in ((1.0, 1.0), (3.0, 3.0), (0.5, 3.5), (0.75, 3.75)):
        view.add_report({**fields, "without_lease_s": reported_s})
        assert view.without_lease_s == total_s


def test_changes_through_a_control_machine_that_was_away_have_a_row_of_their_own() -> None:
    def change(name: str, by: str, asked_s: float) -> dict[str, object]:
        tried = {"asked_s": asked_s, "ended_s": asked_s + 0.1, "what": "decided", "why": "", "version": 2}
        return {"name": name, "author": 0, "by": by, "tries": [tried]}

    changes = [change("near", "control-0", 5.0), change("far", "control-1", 5.0)]
    rows = measure.change_rows(changes, SWITCHES, [Absence("control-1", 4.0, 5.5)], 0.0)
    assert [row.by_away for row in rows] == [False, True]
    found = {row.name: row for row in measure.change_measurements(rows, changes)}
    assert found[measure.IN_FORCE].count == 1
    assert found[measure.IN_FORCE].most == 1.0
    assert found[measure.IN_FORCE_AWAY].count == 1
    assert measure.count_tries_by_outcome(changes) == {"decided": 2}


def test_proposals_are_counted_by_outcome_and_refusals_by_reason() -> None:
    tries = [
        {"what": "refused", "why": "47: its body can't be had; 48: its body can't be had"},
        {"what": "another's", "why": ""},
        {"what": "refused", "why": "9: its body can't be had"},
    ]
    assert measure.count_tries_by_outcome([{"tries": tries}]) == {
        "refused (its body can't be had)": 2,
        "another's": 1,
    }


def test_a_version_with_the_same_content_as_the_one_before_counts_as_a_switch() -> None:
    class ScriptedInstance(HollowInstance):
        deciding_version = 0

        def __init__(self) -> None:
            self.switches, self.without_lease_s, self._last_version = [], 0.0, 0

    instance = ScriptedInstance()
    for at_s, version in ((1.0, 1), (2.0, 1), (3.0, 0), (4.0, 1), (5.0, 2)):
        instance.deciding_version = version
        instance.check_lease(at_s, 1.0)
    assert instance.switches == [(1.0, 1), (4.0, 1), (5.0, 2)]
    assert instance.without_lease_s == 1.0
