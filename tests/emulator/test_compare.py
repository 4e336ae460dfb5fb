"""Comparison of two settings on the same seeds, and which sides are accepted."""

from __future__ import annotations

from pathlib import Path

import pytest

from client_proxy.emulator.compare import Side, compare, format_comparison, read_side, with_changes
from client_proxy.toml_table import TomlError
from tests.support.days import day

ROOT = Path(__file__).parents[2]


def test_settings_are_compared_on_the_same_seeds(tmp_path: Path) -> None:
    impatient_file = tmp_path / "impatient.toml"
    impatient_file.write_text("[clients]\ntry_share = 0.02\nretries = 0\n")
    unchanged_file = tmp_path / "same.toml"
    unchanged_file.write_text("")
    sides = (read_side(str(unchanged_file)), read_side(str(impatient_file)))
    lines: list[str] = []
    result = compare(sides, day(length_s=2.0), [1, 2], "virtual", 2, lines.append)
    assert len(lines) == 4
    assert result["seeds"] == [1, 2]
    served_share = result["figures"]["served_share"]
    assert served_share["b"]["mean"] < served_share["a"]["mean"]
    assert served_share["b_minus_a"]["most"] < 0
    assert "served_share" in format_comparison(result)
    self_comparison = compare((sides[0], sides[0]), day(length_s=2.0), [1], "virtual", 2, lines.append)
    assert self_comparison["figures"]["served_share"]["b_minus_a"]["mean"] == 0.0


def test_invalid_sides_are_rejected(tmp_path: Path) -> None:
    (tmp_path / "odd.toml").write_text("seed = 3\n")
    (tmp_path / "unknown.toml").write_text("[clients]\nnone = 3\n")
    for path in (tmp_path / "odd.toml", tmp_path, tmp_path / "missing.toml"):
        with pytest.raises(TomlError):
            read_side(str(path))
    unknown_key_side = read_side(str(tmp_path / "unknown.toml"))
    with pytest.raises(TomlError):
        with_changes(day(), unknown_key_side.changes, "unknown")
    assert with_changes(day(), {"rules": {"max_attempts": 1}}, "x").rules.max_attempts == 1
    assert read_side(str(ROOT)) == Side(str(ROOT), ROOT, {})
