"""Validation of scale plans: an invalid plan yields one line with file and key, and nothing is started."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from client_proxy.cli.commands import main
from client_proxy.fault_injection.child_process import ROOT
from client_proxy.scale import command
from client_proxy.scale import plan as plans
from client_proxy.scale.topology import AddressClaim, Layout, Role

REGION = '[[region]]\nname = "north"\nzones = ["a", "b"]\ninstances = {instances}\ncontrol = {control}\n'
DAY = '[[day]]\nkind = "quiet"\n'


def run_command(folder: Path, text: str, monkeypatch: pytest.MonkeyPatch) -> Result:
    """Runs the command on a plan; the test fails if it starts a run."""
    file = folder / "asked.toml"
    file.write_text(text)

    def refuse_start(*_: object) -> None:
        raise AssertionError("the run was started")

    monkeypatch.setattr(command, "run", refuse_start)
    return CliRunner().invoke(main, ["scale", "run", str(file)])


def file_text(instances: int = 4, control: int = 1, more: str = "") -> str:
    return f'name = "t"\n{REGION.format(instances=instances, control=control)}{DAY}{more}'


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (file_text(more="[real]\nspeed = 3\n"), "asked.toml:10: real.speed: not a known key"),
        (file_text(instances=0), "region.0.instances: 0: "),
        (file_text().replace('["a", "b"]', "[]"), "region.0.zones: "),
        (file_text().replace('zones = ["a", "b"]\n', ""), "region.0.zones: missing"),
        (file_text(control=0), "region.control: 0 control machines"),
        (file_text(instances=1), "region.instances: north: fewer than its zones"),
        (file_text(more='zone = "c"\n').replace("quiet", "zone-back"), "day.0.zone: 'c': no such zone"),
        (
            file_text(more='region = "c"\n').replace("quiet", "region-cut"),
            "day.0.region: 'c': no such region",
        ),
        (file_text(instances=600, more="[hollow]\nper_process = 2\n"), "hollow.per_process: 310 processes"),
        (
            file_text(instances=9000, more="[hollow]\nper_process = 500\n[policy]\nservers = 680\n"),
            "memory_mb: ",
        ),
        (file_text().replace('kind = "quiet"\n', ""), "day.0.kind: missing"),
        ("most_s = 4.0\n" + file_text(), "most_s: the days are longer"),
        ("memory_mb = 100.0\n" + file_text(), "memory_mb: about "),
    ],
)
def test_an_invalid_or_too_large_plan_is_refused_in_one_line(
    text: str, expected: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    result = run_command(tmp_path, text, monkeypatch)
    assert result.exit_code == 2, result.output
    (line,) = result.output.strip().splitlines()
    assert line.startswith(str(tmp_path / "asked.toml"))
    assert expected in line


def test_the_example_plans_are_within_the_limits() -> None:
    files = sorted((ROOT / "examples/scale").glob("*.toml"))
    assert len(files) >= 6
    for file in files:
        plan = plans.load(file)
        assert Layout(plan).process_count() <= plans.MAX_PROCESSES
    large = plans.load(ROOT / "examples/scale/two-years.toml")
    zones = [zone for region in large.region for zone in region.zones]
    assert (large.instances, len(large.region), len(zones), large.control) == (680, 3, 6, 5)
    assert large.real.instances >= 8
    assert large.most_s <= 600.0
    assert {day.kind for day in large.day} == {"quiet", "changes", "region-cut"}
    assert next(day for day in large.day if day.kind == "region-cut").fault_length_s == 180.0


def test_the_small_example_plan_has_each_kind_of_day() -> None:
    small = plans.load(ROOT / "examples/scale/small.toml")
    assert {day.kind for day in small.day} == set(plans.DayKind.__args__)  # type: ignore[attr-defined]


def test_addresses_and_member_numbers_are_unique_and_each_process_holds_one_zone() -> None:
    layout = Layout(plans.load(ROOT / "examples/scale/two-years.toml"))
    placements = layout.placements
    assert (
        len({placement.host for placement in placements})
        == len({placement.member for placement in placements})
        == len(placements)
    )
    assert sum(placement.role is Role.FOLLOWER for placement in placements) == 680
    for host in layout.hosts:
        assert len({placement.zone for placement in host.placements}) == 1


def test_instances_that_days_kill_or_stop_have_a_process_of_their_own() -> None:
    layout = Layout(plans.load(ROOT / "examples/scale/crowded-troubled.toml"))
    alone = [host for host in layout.hosts_of(Role.FOLLOWER) if host.name.startswith("alone-")]
    assert [len(host.placements) for host in alone] == [1, 1, 1]
    assert sum(len(host.placements) for host in layout.hosts_of(Role.FOLLOWER)) == 680


def test_two_runs_at_the_same_time_have_different_addresses() -> None:
    one, other = AddressClaim(), AddressClaim()
    try:
        assert one.block != other.block
    finally:
        one.release()
        other.release()
    again = AddressClaim()
    again.release()
    assert again.block == one.block
