"""Scale runs of real processes on small numbers: no speed is asserted, as the machine may be busy."""

from __future__ import annotations

import pytest

from cedarcross.rig.process import ROOT
from cedarcross.scale import measure
from cedarcross.scale.plan import DayTable, RealTable, RegionTable, ScalePlan, load
from cedarcross.scale.report import CONTROL_ALONE, Report
from cedarcross.scale.run import run

WENT_ON = ("passed", "refused")  # refused: all was played, and the machine was too busy for the figures


def small(*days: DayTable, real: int = 0, **fields: object) -> ScalePlan:
    regions = (
        RegionTable(name="north", zones=("north-a", "north-b"), instances=4, control=2),
        RegionTable(name="south", zones=("south-a",), instances=3, control=1),
    )
    stated = RealTable(instances=real, plain=real, rate=20.0, servers=1)
    return ScalePlan(name="t", seed=3, lease_ms=1000.0, region=regions, real=stated, day=days, **fields)  # type: ignore[arg-type]


@pytest.fixture(scope="module")
def shipped(tmp_path_factory: pytest.TempPathFactory) -> Report:
    """The shipped small file, played once for the tests of its figures."""
    folder = tmp_path_factory.mktemp("scale") / "small"
    report = run(load(ROOT / "examples/scale/small.toml"), folder)
    assert report.outcome in WENT_ON, report.why
    return report


def test_a_change_is_in_force_at_all_hollow_and_real_instances(shipped: Report) -> None:
    day = next(day for day in shipped.days if day.name == "one-change")
    (row,) = day.changes
    assert row.outcome == "decided" and row.missing == 0
    assert row.in_force_s is not None and row.decided_s is not None
    assert day.proposals.get("decided") == 1
    found = day.find(measure.IN_FORCE)
    assert found is not None and found.most == row.in_force_s and found.standing in ("over", "under")


def test_each_role_has_its_costs_beside_the_budgets(shipped: Report) -> None:
    day = shipped.days[0]
    for role in ("control machine", "hollow follower", "real instance"):
        for name in (measure.CPU, measure.MEMORY, measure.BOTH, measure.MESSAGES_SENT):
            row = day.find(name, role)
            assert row is not None and row.count >= 1 and row.most is not None and row.most > 0, (role, name)
    for name in (measure.CPU, measure.MEMORY):
        hollow, alone = day.find(name, "hollow follower"), day.find(name, CONTROL_ALONE)
        assert hollow is not None and hollow.standing in ("over", "under")
        assert alone is not None and alone.count == 2 and alone.standing in ("over", "under")
    assert day.find(measure.CPU, "author") is not None


def test_clients_of_real_instances_are_served(shipped: Report) -> None:
    day = shipped.days[0]
    assert sum(endings.get("served", 0) for endings in day.calls.values()) > 0
    assert day.find("call, 99th percentile", "real instance") is not None
    assert set(day.without_lease) == {"north", "south"}
