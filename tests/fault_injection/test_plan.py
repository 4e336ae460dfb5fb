"""Plans: what is wrong is told with its line, and a plan reads back as itself."""

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


def faulty(fault: str, fleet: str = "") -> str:
    return f'name = "p"\n[fleet]\ninstances = 3\n{fleet}\n[[fault]]\n{fault}\n'


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (faulty('kind = "kil"\nwho = ["i1"]'), "p:6: fault.0.kind"),
        (faulty('kind = "kill"\nwho = ["i7"]'), "i7: no such process"),
        (faulty('kind = "kill"\nwho = ["d"]'), "only instances of the `run` line"),
        (faulty('kind = "silent"\nwho = ["i1"]'), "two ends"),
        (faulty('kind = "kill"\nwho = ["i1"]\nto = ["i2"]'), "one end only"),
        (faulty('kind = "list"\nwho = ["i1"]\ndrop = ["r9-1"]'), "no server r9-1"),
        (faulty('kind = "list"\nwho = ["i1"]'), "drop: missing"),
        (faulty('kind = "kill"\nwho = ["i1"]\nat_s = 99'), "after the end of the plan"),
        (faulty('kind = "clock"\nwho = ["i1"]'), "the clock would be right"),
        (faulty('kind = "full"\nwho = ["i1"]', 'line = "run"'), "no files of their own"),
        (faulty('kind = "loss"\nwho = ["i1"]\nto = ["i2"]'), "only with gossip"),
        (faulty('kind = "stop"\nwho = ["c"]'), "the clients are the drill's own"),
        (faulty('kind = "kill"\nwho = ["i1"]\nhow = 1'), "not a known key"),
    ],
)
def test_what_is_wrong_with_a_plan_is_told(text: str, told: str) -> None:
    with pytest.raises(TomlError) as failed:
        parse(Plan, text, "p")
    assert told in str(failed.value)
