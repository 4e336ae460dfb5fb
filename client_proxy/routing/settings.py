"""The settings of zones: table `[halls]` of the operators' TOML file; faults name line and key."""

from __future__ import annotations

from dataclasses import dataclass, field

from client_proxy.toml_table import Table

Levels = tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class LocalitySettings:
    """The table `[halls]`; each key is described in docs/operators/halls.md."""

    priority_levels: dict[str, Levels] = field(default_factory=dict)  # table `near`: by the proxy's own zone
    overprovisioning: float = 1.4  # factor on the healthy share of the own zone up to which it keeps requests
    spillover_share: float = 0.5  # key `spill_share`: share of a zone's capacity that other zones may use
    spillover_shares: dict[str, float] = field(default_factory=dict)  # table `spill`: the same by zone
    # Key `reserved`: share of a limit's burst that is kept for the class of the highest priority.
    reserved_share: float = 0.3
    panic_threshold: float = 0.3  # key `panic`: below this share of healthy weight all zones are used
    # Key `start_share`: share of its capacity that a recovering zone gets first.
    ramp_start_share: float = 0.2
    ramp_s: float = 15.0  # key `return_s`: seconds from there to the whole capacity
    ramp_cut: float = 0.5  # key `back_off`: factor on a ramp's share when answers are slow
    ramp_max_slowness: float = 2.5  # key `slow`: above it the answers of a recovering zone count as slow
    unavailable_after: int = 4  # key `dark_after`: consecutive unanswered attempts
    probe_interval_ms: float = 1000.0  # key `scout_ms`: between probes of an unavailable zone
    # Key `grey`: a zone is degraded if its share of lost attempts exceeds the best zone's by more.
    degraded_loss_share: float = 0.2
    memory_s: float = 120.0  # seconds for which outages and zones without endpoints are remembered
    # Key `margin`: the own zone keeps its requests up to this much more inflation than other zones.
    balance_margin: float = 0.25
    congested_inflation: float = 3.0  # key `full`: above it a zone comes last, and limits on it hold

    def spillover_share_of(self, zone: str) -> float:
        """Return the share of a zone's capacity that other zones may use."""
        return self.spillover_shares.get(zone, self.spillover_share)

    def levels_of(self, home: str, zones: tuple[str, ...]) -> Levels:
        """Return the priority levels for the zone `home`; zones that are not stated form the last level."""
        stated = self.priority_levels.get(home, ((home,),))
        named = {zone for level in stated for zone in level}
        unnamed = tuple(zone for zone in zones if zone not in named)
        return (*stated, unnamed) if unnamed else stated


def parse_locality_settings(table: Table) -> LocalitySettings:
    """Return the settings in the table; faults are noted there, with their keys."""
    default = LocalitySettings()
    near_table, spill_table = table.table("near"), table.table("spill")
    settings = LocalitySettings(
        priority_levels=_read_levels(near_table),
        overprovisioning=table.bounded_number("overprovisioning", default.overprovisioning, 1.0, 10.0),
        spillover_share=table.bounded_number("spill_share", default.spillover_share, 0.0, 1.0),
        spillover_shares={
            zone: spill_table.bounded_number(zone, least=0.0, most=1.0)
            for zone in spill_table.remaining_keys()
        },
        reserved_share=table.bounded_number("reserved", default.reserved_share, 0.0, 0.9),
        panic_threshold=table.bounded_number("panic", default.panic_threshold, 0.0, 1.0),
        ramp_start_share=table.bounded_number("start_share", default.ramp_start_share, 0.01, 1.0),
        ramp_s=table.bounded_number("return_s", default.ramp_s, 0.1, 3600.0),
        ramp_cut=table.bounded_number("back_off", default.ramp_cut, 0.05, 0.95),
        ramp_max_slowness=table.bounded_number("slow", default.ramp_max_slowness, 1.1, 100.0),
        unavailable_after=table.integer("dark_after", default.unavailable_after, 1, 1000),
        probe_interval_ms=table.bounded_number("scout_ms", default.probe_interval_ms, 10.0, 60_000.0),
        degraded_loss_share=table.bounded_number("grey", default.degraded_loss_share, 0.01, 1.0),
        balance_margin=table.bounded_number("margin", default.balance_margin, 0.0, 100.0),
        congested_inflation=table.bounded_number("full", default.congested_inflation, 1.0, 100.0),
        memory_s=table.bounded_number("memory_s", default.memory_s, 1.0, 86_400.0),
    )
    near_table.reject_unknown_keys()
    spill_table.reject_unknown_keys()
    table.reject_unknown_keys()
    return settings


def _read_levels(near_table: Table) -> dict[str, Levels]:
    """Return the levels by zone; each zone must be in its own first level, and none may be named twice."""
    levels: dict[str, Levels] = {}
    for zone in near_table.remaining_keys():
        levels[zone] = near_table.lists(zone)
        named = [name for level in levels[zone] for name in level]
        if len(set(named)) != len(named):
            near_table.fault(zone, "it names a hall twice")
        if zone not in named[: len(levels[zone][0]) if levels[zone] else 0]:
            near_table.fault(zone, "the hall itself is not in its first priority level")
    return levels
