"""Reading and checking of scenario files, writing them back, and the requests planned from them."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.emulator.request_plan import plan_requests
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import load_scenario, parse_scenario
from client_proxy.emulator.scenario_writer import format_scenario
from client_proxy.toml_table import TomlError
from tests.support.days import KEYED, incident, text
from tests.support.fixed_draws import fixed_draws

SHIPPED = sorted((Path(__file__).parents[2] / "examples" / "days").glob("*.toml"))


def test_shipped_days_are_valid_and_the_same_after_writing() -> None:
    assert len(SHIPPED) >= 5
    for path in SHIPPED:
        scenario = load_scenario(path)
        assert parse_scenario(format_scenario(scenario)) == scenario
        assert scenario.name == path.stem
        assert scenario.description


@pytest.mark.parametrize(
    ("old", "new", "key", "reason"),
    [
        ("length_s = 6.0", "length_s = -1", "length_s", "is not a number from 0.1"),
        ("length_s = 6.0", "length_s = nan", "length_s", "is not a number"),
        ('halls = ["east", "west"]', "halls = []", "halls", "at least one"),
        ('effect = "unsafe"', 'effect = "maybe"', "class.effect", "one of safe, keyed, unsafe"),
        ("aim_ms = 800", "aim_ms = 8000", "class.aim_ms", "past the deadline"),
        ("cores = 2", "cores = 0", "kind.cores", "from 1 to"),
        ("cores = 2", "cores = true", "kind.cores", "whole number"),
        ("cores = 2", "kores = 2", "kind.kores", "not a known key"),
        ('hall = "west"', 'hall = "north"', "servers.hall", "not one of the halls"),
        ("rate_per_s = 40", "rate_per_s = 40\nrates = [1]", "clients.rates", "1 figures for 2 proxies"),
        ("rate_per_s = 40", "rate_per_s = 40\nshape = [[3, 1], [2, 1]]", "clients.shape", "must rise"),
        ("rate_per_s = 40", 'rate_per_s = "40"', "clients.rate_per_s", "is not a number"),
    ],
)
def test_an_invalid_scenario_is_rejected_with_line_and_key(old: str, new: str, key: str, reason: str) -> None:
    valid_text = text()
    assert valid_text.count(old) == 1
    invalid_text = valid_text.replace(old, new)
    key_name = key.rpartition(".")[2]
    line = next(
        line_number
        for line_number, text_line in enumerate(invalid_text.splitlines(), 1)
        if text_line.startswith(key_name) and text_line in new
    )
    with pytest.raises(TomlError) as error_info:
        parse_scenario(invalid_text, "bad.toml")
    message = str(error_info.value)
    assert f"bad.toml:{line}: {key}: " in message
    assert reason in message


@pytest.mark.parametrize(
    ("fault_text", "key", "reason"),
    [
        (incident("burn", 1.0), "what", "one of fail, freeze"),
        (incident("freeze", 1.0), "for_s", "how long"),
        (incident("freeze", 99.0, for_s=1.0), "at_s", "from 0 to 6"),
        (incident("freeze", 1.0, for_s=1.0, servers=["east-9"]), "servers", "no server 'east-9'"),
        (incident("fail", 1.0, for_s=1.0, mode="odd"), "mode", "one of error, reset"),
        (incident("fail", 1.0, for_s=1.0, classes=["none"]), "classes", "no [[class]]"),
        (incident("cut", 1.0, for_s=1.0), "hall", "cut off"),
        (incident("cut", 1.0, hall="east"), "for_s", "how long"),
        (incident("pauses", 1.0, for_s=1.0, pause_ms=2000.0), "pause_ms", "never run"),
        (incident("proxy_kill", 1.0, proxies=[7]), "proxies", "from 0 to 1"),
        (incident("freeze", 1.0, for_s=1.0, hall="east", servers=["west-1"]), "what", "no server"),
    ],
)
def test_an_invalid_fault_is_rejected_with_line_and_key(fault_text: str, key: str, reason: str) -> None:
    invalid_text = text(incident("slow", 0.5, for_s=1.0, times=2.0) + fault_text)
    lines = invalid_text.splitlines()
    last = len(lines) - lines[::-1].index("[[incident]]")
    line = next(
        (
            line_number
            for line_number, text_line in enumerate(lines, 1)
            if line_number > last and text_line.startswith(f"{key} =")
        ),
        last,
    )
    with pytest.raises(TomlError) as error_info:
        parse_scenario(invalid_text, "bad.toml")
    assert f"bad.toml:{line}: incident.{key}: " in str(error_info.value)
    assert reason in str(error_info.value)


def test_all_errors_are_reported_together() -> None:
    invalid_text = text().replace("cores = 2", "cores = -2").replace("length_s = 6.0", 'length_s = "long"')
    with pytest.raises(TomlError) as error_info:
        parse_scenario(invalid_text)
    assert len(str(error_info.value).splitlines()) == 2


def test_an_unreadable_file_is_reported_on_one_line(tmp_path: Path) -> None:
    (tmp_path / "latin.toml").write_bytes(b'name = "\xff"')
    for name in ("none.toml", "latin.toml"):
        with pytest.raises(TomlError) as error_info:
            load_scenario(tmp_path / name)
        assert name in str(error_info.value)
        assert "\n" not in str(error_info.value)


@fixed_draws("a_damaged_day_is_a_day_or_an_error")
@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, len(text()) - 1), st.text(max_size=3), st.integers(0, 12))
def test_a_damaged_file_is_a_scenario_or_an_error(position: int, inserted: str, removed_count: int) -> None:
    valid_text = text(incident("freeze", 1.0, for_s=1.0))
    try:
        parse_scenario(valid_text[:position] + inserted + valid_text[position + removed_count :])
    except TomlError as error:
        message = str(error)
    else:
        return
    assert message


def test_planned_requests_depend_on_the_seed_alone() -> None:
    scenario = parse_scenario(text())
    assert plan_requests(scenario, 0) == plan_requests(scenario, 0) != plan_requests(scenario, 1)
    assert plan_requests(replace(scenario, seed=6), 0) != plan_requests(scenario, 0)
    # Faults of another kind than load don't change the requests.
    assert plan_requests(parse_scenario(text(incident("freeze", 1.0, for_s=1.0))), 0) == plan_requests(
        scenario, 0
    )
    planned = plan_requests(scenario, 0)
    assert 70 <= len(planned) <= 170  # 20 requests per second for 6 s
    assert all(a.at_s < b.at_s for a, b in pairwise(planned))


def test_planned_requests_follow_rate_curves_and_load_faults() -> None:
    def counts(scenario: Scenario) -> list[int]:
        planned = plan_requests(scenario, 0)
        return [
            sum(1 for request in planned if from_s <= request.at_s < from_s + 20) for from_s in (0, 20, 40)
        ]

    shaped = parse_scenario(
        text(length_s=60, clients="proxies = 1\nrate_per_s = 50\nshape = [[0, 0], [40, 1]]")
    )
    low, middle, high = counts(shaped)
    assert 150 < low < 350
    assert 600 < middle < 900
    assert 850 < high < 1150
    surge = parse_scenario(
        text(
            incident("load", 20.0, for_s=20.0, times=3.0),
            length_s=60,
            clients="proxies = 1\nrate_per_s = 50",
        )
    )
    low, middle, high = counts(surge)
    assert 850 < low < 1150
    assert 2750 < middle < 3250
    assert 850 < high < 1150
    class_names = [request.class_name for request in plan_requests(surge, 0)]
    assert 0.45 < class_names.count(KEYED) / len(class_names) < 0.55
