"""Sizes that the operators plan for, and budgets that they state."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class Sizes:
    """Planned sizes and rates of the whole fleet."""

    hosts: int = 680
    services: int = 65
    calls_per_s: float = 200_000.0
    levels: int = 26
    changes_a_day: float = 1_600.0
    crowded_changes_a_minute: float = 20.0
    authors: int = 5
    regions: int = 3
    zones: int = 6
    zone_hosts: int = 113
    control_machines: int = 5
    lease_ms: float = 3_000.0
    region_cut_s: float = 180.0
    restarts_a_day: float = 170.0

    @property
    def calls_per_s_per_proxy(self) -> float:
        return self.calls_per_s / self.hosts

    @property
    def changes_per_s(self) -> float:
        return self.changes_a_day / SECONDS_PER_DAY

    @property
    def crowded_changes_per_s(self) -> float:
        return self.crowded_changes_a_minute / 60.0


@dataclass(frozen=True, slots=True)
class Budgets:
    """Budgets; those that start with `control_`, except `control_machine_core`, are for the control part of
    one client proxy."""

    added_p99_ms: float = 0.87
    in_force_ms: float = 3_000.0
    control_core: float = 0.012
    control_mb: float = 32.0
    control_bytes_per_s: float = 22_000.0
    control_machine_core: float = 1.0  # one event loop, on a machine reserved for it


SIZES = Sizes()
BUDGETS = Budgets()
