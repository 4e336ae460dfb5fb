"""Replays of a scenario give the same event log in any process; output and exit codes of the program."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from client_proxy.emulator.page import render_page
from client_proxy.emulator.report import build_report, format_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import simulate
from tests.support.days import KEYED, ROUGH_DAY, UNSAFE, day, incident, text

ROOT = Path(__file__).parents[2]


def run_emulator(*arguments: str | Path, **env: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "client_proxy.emulator", *map(str, arguments)]
    return subprocess.run(
        command, cwd=ROOT, env=os.environ | env, capture_output=True, text=True, timeout=120
    )


def shortened_scenario(path: Path, length_s: float) -> Scenario:
    """Return a shipped scenario limited to its first seconds."""
    scenario = load_scenario(path)
    early_faults = tuple(fault for fault in scenario.faults if fault.at_s < length_s)
    return scenario.with_changes(duration_s=length_s, faults=early_faults)


@pytest.mark.parametrize("path", sorted((ROOT / "examples" / "days").glob("*.toml")), ids=lambda p: p.stem)
def test_replays_of_a_shipped_day_give_the_same_digest_and_keep_the_rules(path: Path) -> None:
    first, second = (build_report(simulate(shortened_scenario(path, 12.0))) for _ in range(2))
    assert first.digest == second.digest
    assert first.counts() == second.counts()
    assert not first.broken
    with_other_seed = build_report(simulate(shortened_scenario(path, 12.0).with_changes(seed=99)))
    assert with_other_seed.digest != first.digest


def test_processes_with_other_hash_seeds_give_the_same_report(tmp_path: Path) -> None:
    file = tmp_path / "rough.toml"
    file.write_text(text(ROUGH_DAY))
    outputs = []
    for number in range(3):
        out = tmp_path / f"{number}.json"
        completed = run_emulator("replay", file, "--json", out, "--quiet", PYTHONHASHSEED=str(number))
        assert completed.returncode == 0, completed.stdout + completed.stderr
        outputs.append(out.read_text())
    assert outputs[0] == outputs[1] == outputs[2]
    report = json.loads(outputs[0])
    assert report["rules"] == {"lost": 0, "twice": 0, "drain": 0, "push": 0}
    assert sum(class_report["asked"] for class_report in report["classes"].values()) > 150
    assert {what.split()[0] for _, what in report["marks"]} >= {
        "fail",
        "freeze",
        "vanish",
        "restart",
        "discovery",
    }


def test_the_real_clock_serves_a_calm_day_as_the_virtual_one_does(tmp_path: Path) -> None:
    # The objectives are generous, since served requests are compared and not their latencies.
    scenario_text = text(length_s=2.0, clients="proxies = 2\nrate_per_s = 30").replace(
        "aim_ms = 500", "aim_ms = 1200"
    )
    file = tmp_path / "calm.toml"
    file.write_text(
        scenario_text.replace("aim_ms = 800", "aim_ms = 1500").replace("deadline_ms = 1", "deadline_ms = 9")
    )
    counts = []
    for clock in ("virtual", "real"):
        out = tmp_path / f"{clock}.json"
        completed = run_emulator(
            "replay", file, "--json", out, "--clock", clock, "--html", tmp_path / "page.html"
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        assert "in time" in completed.stderr  # a line of progress
        report = json.loads(out.read_text())
        counts.append(
            {
                name: class_report["served"] + class_report["late"]
                for name, class_report in report["classes"].items()
            }
        )
        assert not report["crashed"]
    assert counts[0] == counts[1]
    assert sum(counts[0].values()) > 30


def test_exit_codes_and_messages_of_the_program(tmp_path: Path) -> None:
    invalid_file = tmp_path / "bad.toml"
    invalid_file.write_text(text().replace("cores = 2", "cores = 0"))
    completed = run_emulator("replay", invalid_file)
    assert completed.returncode == 2
    assert "kind.cores" in completed.stderr
    assert f"{invalid_file}:" in completed.stderr
    assert "Traceback" not in completed.stderr
    assert run_emulator("replay", tmp_path / "none.toml").returncode == 2
    assert run_emulator("check", invalid_file).returncode == 2
    valid_file = ROOT / "examples" / "days" / "calm-morning.toml"
    assert run_emulator("check", valid_file).returncode == 0
    completed = run_emulator("replay", valid_file, "--build", ROOT)
    assert completed.returncode == 2
    assert "real clock" in completed.stderr


def test_a_violated_rule_is_reported_as_text_and_on_the_page() -> None:
    from tests.support.relay import simulate_with_relays

    report = simulate_with_relays(day(length_s=3.0), "sends twice")
    assert "twice: " in format_report(report)
    assert "it may have run" in format_report(report)
    page = render_page(report)
    assert "A rule broke." in page
    assert page.count("<svg") == 1
    assert "http://" not in page
    assert "https://" not in page
    assert "<script" not in page


def test_the_page_marks_incidents_and_escapes_names() -> None:
    result = simulate(day(incidents=incident("freeze", 1.0, for_s=1.0, servers=["east-1"]), length_s=3.0))
    report = build_report(result)
    report.day = "<b>odd</b>"
    page = render_page(report)
    assert "freeze east-1" in page
    assert "east-1 frozen" in page
    assert "<b>odd" not in page
    assert "&lt;b&gt;odd" in page


def test_the_number_of_proxies_can_be_set(tmp_path: Path) -> None:
    file, out = tmp_path / "day.toml", tmp_path / "out.json"
    file.write_text(text(incident("proxy_kill", 1.0, proxies=[1]), clients="proxies = 2\nrate_per_s = 20"))
    assert run_emulator("replay", file, "--proxies", "1", "--json", out, "--quiet").returncode == 0
    report = json.loads(out.read_text())
    assert report["proxies"] == 1
    assert not report["marks"]


def test_requests_are_counted_by_class() -> None:
    report = build_report(simulate(day(length_s=2.0)))
    assert set(report.counts()) == {KEYED, UNSAFE}
    assert all(sum(counts.values()) == report.classes[name].asked for name, counts in report.counts().items())
