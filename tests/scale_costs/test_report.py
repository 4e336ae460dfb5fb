"""Rounds, JSON and page of the cost measurements, with a cost that is made up."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from benchmarks.scale import __main__ as command
from benchmarks.scale import catalogue, report
from benchmarks.scale.cost import Basis, Cost, MachineBusy, Quantity, Readings, run_rounds

SIZES = (1, 2, 4, 8, 16)


def made_up(measure: Callable[[int], Readings], basis: Basis = "processor time") -> Cost:
    return Cost(
        "made_up", "sizes", SIZES, basis, (Quantity("first", "us"), Quantity("second", "ms")), measure
    )


def read_line(size: int) -> Readings:
    return {"first": 2.0 * size, "second": 3.0}


def test_each_round_measures_every_size_once() -> None:
    order: list[int] = []

    def measure(size: int) -> Readings:
        order.append(size)
        return read_line(size)

    series = run_rounds(made_up(measure), 3, lambda line: None)
    assert order == [*SIZES] * 3
    assert [each.name for each in series] == ["made_up.first", "made_up.second"]
    assert series[0].readings[16] == (32.0, 32.0, 32.0)


def test_a_repeatable_cost_takes_one_round() -> None:
    series = run_rounds(made_up(read_line, "virtual clock"), 3, lambda line: None)
    assert series[0].readings[1] == (2.0,)


def test_a_refused_measurement_is_reported_and_left_out() -> None:
    output: list[str] = []
    busy = iter([True, False])

    def measure(size: int) -> Readings:
        if size == 8 and next(busy):
            raise MachineBusy("the load was late")
        return read_line(size)

    series = run_rounds(made_up(measure), 2, output.append)
    assert series[0].readings[8] == (16.0,)
    assert series[0].readings[4] == (8.0, 8.0)
    assert sum("refused" in line for line in output) == 1


def test_a_size_without_any_reading_is_not_in_the_series() -> None:
    def measure(size: int) -> Readings:
        if size == 16:
            raise MachineBusy("the load was late")
        return read_line(size)

    series = run_rounds(made_up(measure), 2, lambda line: None)
    assert 16 not in series[0].readings
    assert report.entry(series[0], "the command")["at"].keys() == {"1", "2", "4", "8"}


def test_fewer_than_five_sizes_are_refused() -> None:
    with pytest.raises(ValueError, match="made_up"):
        Cost("made_up", "sizes", (1, 2, 3), "counted", (Quantity("first", "us"),), read_line)


def test_the_json_has_each_series_with_its_fit_and_command() -> None:
    series = run_rounds(made_up(read_line), 2, lambda line: None)
    document = report.document(series, "the command", {"cores": 8})
    entry = json.loads(json.dumps(document))["series"]["made_up.first"]
    assert entry["command"] == "the command"
    assert entry["unit"] == "us"
    assert entry["rounds"] == 2
    assert entry["at"]["4"] == {"least": 8.0, "median": 8.0, "most": 8.0}
    assert entry["fit"]["line"]["slope"] == pytest.approx(2.0)


def test_the_page_has_a_plot_of_each_series() -> None:
    series = run_rounds(made_up(read_line), 2, lambda line: None)
    page = report.page(series, "the <command>")
    assert page.count("data:image/png;base64,") == 2
    assert "the &lt;command&gt;" in page
    assert "line: 0 + 2" in page or "line: " in page


def test_the_command_writes_json_and_page(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(catalogue.COSTS, "made_up", made_up(read_line))
    to_json, to_page = tmp_path / "slopes.json", tmp_path / "slopes.html"
    command_line = ["--costs", "made_up", "--rounds", "2", "--json", str(to_json), "--page", str(to_page)]
    assert command.main(command_line) == 0
    assert set(json.loads(to_json.read_text())["series"]) == {"made_up.first", "made_up.second"}
    assert "made_up.first" in to_page.read_text()
    first_line = json.loads(capsys.readouterr().out.splitlines()[0])
    assert first_line == {"cost": "made_up", "round": 0, "size": 1, "first": 2.0, "second": 3.0}


def test_an_unknown_cost_is_refused(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as refused:
        command.main(["--costs", "nothing"])
    assert refused.value.code == 2
    assert "nothing" in capsys.readouterr().err
