"""Tests a rollout with real processes under load."""

from __future__ import annotations

import asyncio
from pathlib import Path

from benchmarks.rollout import run


def test_a_worse_policy_is_rolled_back_by_the_next_controller_when_the_first_is_killed(
    tmp_path: Path,
) -> None:
    row = asyncio.run(run(tmp_path / "r", 5, "deadline, killed"))
    assert row["killed"] == 1
    assert not row["breaches"]
    assert "back. stage 1" in row["ended"], row
    stages = [(stage[1], len(stage[3:])) for stage in row["stages"] if len(stage) > 2]
    assert stages == [(0, 0), (1, 1)]
