"""Tests of snapshot files: loaded completely or not at all, and used after a restart of a real process."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from client_proxy.fault_injection import scenario_runner
from client_proxy.fault_injection.plan import AimTable, FaultTable, FleetTable, LoadTable, Plan
from client_proxy.warm_state.snapshot import MAX_AGE_MS, SNAPSHOT_FORMAT, Snapshot
from client_proxy.warm_state.snapshot_store import (
    LoadedSnapshot,
    StoredSnapshot,
    load_snapshot,
    save_snapshot,
)

SNAPSHOT = Snapshot(tokens=50.0)


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "learned.state"


def test_a_snapshot_is_loaded_with_its_age(path: Path) -> None:
    assert load_snapshot(path, 0.0) is None
    save_snapshot(path, StoredSnapshot(1000.0, SNAPSHOT))
    assert load_snapshot(path, 4000.0) == LoadedSnapshot(SNAPSHOT, 3000.0)
    assert load_snapshot(path, 500.0) == LoadedSnapshot(
        SNAPSHOT, 0.0
    )  # the clock was set back by half a second
    assert load_snapshot(path, -10_000.0) is None
    assert load_snapshot(path, 1000.0 + MAX_AGE_MS) is None


def test_a_truncated_or_damaged_file_or_one_of_another_format_is_not_loaded(path: Path) -> None:
    save_snapshot(path, StoredSnapshot(1000.0, SNAPSHOT))
    complete = path.read_bytes()
    for length in (0, 5, 20, len(complete) - 1):
        path.write_bytes(complete[:length])
        assert load_snapshot(path, 4000.0) is None
    path.write_bytes(complete[:-1] + bytes([complete[-1] ^ 1]))
    assert load_snapshot(path, 4000.0) is None
    save_snapshot(path, StoredSnapshot(1000.0, replace(SNAPSHOT, form=SNAPSHOT_FORMAT + 1)))
    assert load_snapshot(path, 4000.0) is None


def test_a_failed_disk_write_leaves_the_file_unchanged(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    save_snapshot(path, StoredSnapshot(1000.0, SNAPSHOT))

    def raise_disk_full(handle: int) -> None:
        raise OSError(28, "no space left")

    monkeypatch.setattr("os.fsync", raise_disk_full)
    with pytest.raises(OSError, match="no space left"):
        save_snapshot(path, StoredSnapshot(2000.0, SNAPSHOT))
    monkeypatch.undo()
    assert load_snapshot(path, 3000.0) == LoadedSnapshot(SNAPSHOT, 2000.0)
    assert [file.name for file in path.parent.iterdir()] == [path.name]


@pytest.mark.parametrize("acceptors", [0, 3])
def test_an_instance_that_shuts_down_gracefully_restarts_warm(tmp_path: Path, acceptors: int) -> None:
    fleet = FleetTable(instances=3, racks=2, learned=True, seats=acceptors, lease_ms=1000.0)
    plan = Plan(
        name="learned", seed=4, length_s=5.0, fleet=fleet, load=LoadTable(rate=20), aim=AimTable(whole_s=4),
        fault=(FaultTable(kind="term", who=("i1",), at_s=1.0, for_s=0.5),),
    )  # fmt: skip
    verdict = asyncio.run(scenario_runner.run(plan, tmp_path / "d"))
    # Other scenarios test how soon the instance serves again; this one tests that it restored its warm state.
    assert verdict.outcome != "error", (verdict.why, verdict.breaches[:3])
    log = (Path(verdict.folder) / "i1.log").read_text()
    assert log.count("restored the warm state of 4 servers") == 1
