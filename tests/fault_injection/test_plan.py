"""Tests of plans: errors name line and key, and a formatted plan reads back as itself."""

from __future__ import annotations

from pathlib import Path

import pytest

from client_proxy.config.models import parse
from client_proxy.fault_injection.plan import Plan, format_plan, load
from client_proxy.toml_table import TomlError

DRILLS = sorted((Path(__file__).parents[2] / "examples" / "drills").glob("*.toml"))


@pytest.mark.parametrize("path", DRILLS, ids=lambda p: p.stem)
def test_a_shipped_plan_reads_back_as_itself(path: Path) -> None:
    plan = load(path)
    assert plan.name == path.stem
    assert parse(Plan, format_plan(plan), "again") == plan


def plan_text(fault: str, fleet: str = "") -> str:
    return f'name = "p"\n[fleet]\ninstances = 3\n{fleet}\n[[fault]]\n{fault}\n'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (plan_text('kind = "kil"\nwho = ["i1"]'), "p:6: fault.0.kind"),
        (plan_text('kind = "kill"\nwho = ["i7"]'), "i7: no such process"),
        (plan_text('kind = "kill"\nwho = ["d"]'), "only instances of the `run` line"),
        (plan_text('kind = "silent"\nwho = ["i1"]'), "two ends"),
        (plan_text('kind = "kill"\nwho = ["i1"]\nto = ["i2"]'), "one end only"),
        (plan_text('kind = "list"\nwho = ["i1"]\ndrop = ["r9-1"]'), "no server r9-1"),
        (plan_text('kind = "list"\nwho = ["i1"]'), "drop: missing"),
        (plan_text('kind = "kill"\nwho = ["i1"]\nat_s = 99'), "after the end of the plan"),
        (plan_text('kind = "clock"\nwho = ["i1"]'), "the clock would be right"),
        (plan_text('kind = "full"\nwho = ["i1"]', 'line = "run"'), "no files of their own"),
        (plan_text('kind = "loss"\nwho = ["i1"]\nto = ["i2"]'), "only with gossip"),
        (plan_text('kind = "stop"\nwho = ["c"]'), "the clients are the drill's own"),
        (plan_text('kind = "kill"\nwho = ["i1"]\nhow = 1'), "not a known key"),
    ],
)
def test_an_error_in_a_plan_is_named(text: str, message: str) -> None:
    with pytest.raises(TomlError) as raised:
        parse(Plan, text, "p")
    assert message in str(raised.value)
