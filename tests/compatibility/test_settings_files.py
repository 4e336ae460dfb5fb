"""Settings files of operators and the platform keep their keys, defaults, error lines and written form."""

from __future__ import annotations

import pytest

from client_proxy.emulator.report import ClassReport, Report
from client_proxy.toml_table import TomlError
from tests.compatibility import edge_objects as objects


@pytest.mark.parametrize("name", objects.PARSERS)
def test_a_file_parses_to_the_frozen_values(name: str) -> None:
    assert objects.parsed_json(name) == objects.sample(f"{name}.values.json")


@pytest.mark.parametrize("name", objects.FAULTY_PARSERS)
def test_errors_in_a_file_are_reported_with_the_frozen_lines(name: str) -> None:
    with pytest.raises(TomlError) as caught:
        objects.FAULTY_PARSERS[name](objects.sample(name).decode())
    assert f"{caught.value}\n".encode() == objects.sample(f"{name}.faults.txt")


def test_a_scenario_is_written_as_its_sample() -> None:
    text = objects.sample("day.toml").decode()
    assert objects.day_text(text) == text


@pytest.mark.parametrize("name", ["drill.toml", "drill_lists.toml", "drill_minimal.toml"])
def test_a_drill_plan_is_written_as_its_sample_and_can_be_read_back(name: str) -> None:
    written = objects.drill_text(objects.sample(name).decode())
    assert written.encode() == objects.sample(f"{name}.written")
    assert objects.PARSERS[name](written) == objects.PARSERS[name](objects.sample(name).decode())


def test_the_report_has_the_frozen_keys() -> None:
    assert list(Report.__dataclass_fields__) == [
        "day", "seed", "clock", "proxies", "length_s", "classes", "windows", "rules", "breaches",
        "served_share", "worst_window", "worst_class", "attempts", "attempts_per_request", "wasted_share",
        "connections", "discovery_calls", "fates", "digest", "marks", "servers", "crashed",
    ]  # fmt: skip
    assert list(ClassReport.__dataclass_fields__) == [
        "asked", "served", "late", "refused", "failed", "tries", "worth_asked", "worth_served", "p50_ms",
        "p99_ms",
    ]  # fmt: skip
