"""The settings of outlier ejection: table `[reach]` of the operators' TOML file."""

from __future__ import annotations

from dataclasses import dataclass

from client_proxy.toml_table import Table


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """The table `[reach]`; each key is described in docs/operators/reach.md."""

    probe_interval_s: float = 0.5  # key `trial_s`: seconds from an ejection to the first recovery probe
    max_probe_interval_s: float = 2.0  # key `longest_trial_s`: longest interval between probes
    # Key `most_barred`: share of the ready servers; if more would be ejected, none is.
    max_ejected_share: float = 0.8


def parse_outlier_settings(table: Table) -> OutlierSettings:
    """Return the settings in the table; faults are noted there, with their keys."""
    defaults = OutlierSettings()
    settings = OutlierSettings(
        probe_interval_s=table.bounded_number("trial_s", defaults.probe_interval_s, 0.05, 60.0),
        max_probe_interval_s=table.bounded_number(
            "longest_trial_s", defaults.max_probe_interval_s, 0.05, 600.0
        ),
        max_ejected_share=table.bounded_number("most_barred", defaults.max_ejected_share, 0.0, 1.0),
    )
    if settings.max_probe_interval_s < settings.probe_interval_s:
        table.fault("longest_trial_s", "it is less than trial_s")
    table.reject_unknown_keys()
    return settings
