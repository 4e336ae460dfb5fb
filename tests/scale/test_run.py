"""A small scale run of real processes. No speed is asserted, because the machine may be busy."""

from __future__ import annotations

import json
from io import StringIO
from pathlib import Path

from rich.console import Console

from client_proxy.fault_injection.child_process import ROOT
from client_proxy.scale import measure
from client_proxy.scale.page import write_page
from client_proxy.scale.plan import load
from client_proxy.scale.report import CONTROL_ALONE, Report
from client_proxy.scale.run import run
from client_proxy.scale.tables import show

# `refused`: the whole plan ran, but the machine was too busy for valid results.
COMPLETED = ("passed", "refused")


def test_the_small_example_plan_yields_every_measurement(tmp_path: Path) -> None:
    """Runs the plan once for all checks, because each test worker would set up a module fixture again."""
    report = run(load(ROOT / "examples/scale/small.toml"), tmp_path / "small")
    assert report.outcome in COMPLETED, report.why
    check_a_change_is_in_force_at_all_hollow_and_real_instances(report)
    check_each_role_has_its_costs_and_budgets(report)
    check_clients_of_real_instances_are_served(report)
    check_each_kind_of_day_has_its_measurements(report)
    check_hollow_instances_take_part_in_gossip_and_follow_discovery(report)
    check_the_page_and_the_table_show_each_budget(report, tmp_path)
    check_the_report_is_json_with_the_standing_of_each_measurement(report)


def check_a_change_is_in_force_at_all_hollow_and_real_instances(report: Report) -> None:
    day = next(day for day in report.days if day.name == "one-change")
    (row,) = day.changes
    assert row.outcome == "decided"
    assert row.missing == 0
    assert row.in_force_s is not None
    assert row.decided_s is not None
    assert day.proposals.get("decided") == 1
    found = day.find(measure.IN_FORCE)
    assert found is not None
    assert found.most == row.in_force_s
    assert found.standing in ("over", "under")


def check_each_role_has_its_costs_and_budgets(report: Report) -> None:
    day = report.days[0]
    for role in ("control machine", "hollow follower", "real instance"):
        for name in (measure.CPU, measure.MEMORY, measure.SENT_AND_RECEIVED, measure.MESSAGES_SENT):
            row = day.find(name, role)
            assert row is not None and row.count >= 1 and row.most is not None and row.most > 0, (role, name)
    for name in (measure.CPU, measure.MEMORY):
        hollow, alone = day.find(name, "hollow follower"), day.find(name, CONTROL_ALONE)
        assert hollow is not None
        assert hollow.standing in ("over", "under")
        assert alone is not None
        assert alone.count == 2
        assert alone.standing in ("over", "under")
    assert day.find(measure.CPU, "author") is not None


def check_clients_of_real_instances_are_served(report: Report) -> None:
    day = report.days[0]
    assert sum(endings.get("served", 0) for endings in day.calls.values()) > 0
    assert day.find("call, 99th percentile", "real instance") is not None
    assert set(day.without_lease) == {"north", "south"}


def check_each_kind_of_day_has_its_measurements(report: Report) -> None:
    days = {day.kind: day for day in report.days}
    assert set(days) >= {"quiet", "restarts", "zone-back", "rack", "control-down", "region-cut", "start-all"}
    for kind, count in (("restarts", 3), ("zone-back", 5), ("control-down", 1), ("start-all", 23)):
        row = days[kind].find(measure.RETURNED)
        assert row is not None and row.count == count and row.least is not None and row.least > 0, (kind, row)
    troubled = next(day for day in report.days if day.name == "crowded-troubled")
    assert len(troubled.changes) == 4
    assert sum(troubled.proposals.values()) >= 4
    assert {row.author for row in troubled.changes} == {0, 1}
    healed = days["region-cut"].find(measure.HEALED)
    assert healed is not None
    assert healed.count > 0


def check_hollow_instances_take_part_in_gossip_and_follow_discovery(report: Report) -> None:
    day = report.days[-2]
    members, listed = (day.find(name, "hollow follower") for name in (measure.MEMBERS, measure.LISTED))
    assert members is not None
    assert members.count == 20
    assert members.most is not None
    assert members.most >= 20
    assert listed is not None
    assert listed.count == 20
    assert listed.least == 10


def check_the_page_and_the_table_show_each_budget(report: Report, tmp_path: Path) -> None:
    page = tmp_path / "page.html"
    write_page(report, page)
    text = page.read_text()
    assert text.count("data:image/png;base64,") == len(report.days)
    assert "<td>under</td>" in text or "<td>over</td>" in text
    console = Console(record=True, width=160, file=StringIO())
    show(report, console)
    printed = console.export_text()
    assert "change in force everywhere" in printed
    assert "not measured by a scale run" in printed


def check_the_report_is_json_with_the_standing_of_each_measurement(report: Report) -> None:
    document = json.loads(json.dumps(report.to_json()))
    standings = {row["standing"] for day in document["days"] for row in day["figures"]}
    assert standings <= {"over", "under", "not measured", ""}
    assert standings & {"over", "under"}
