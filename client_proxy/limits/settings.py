"""The settings of overload protection: table `[overload]` of the operators' TOML file."""

from __future__ import annotations

from dataclasses import dataclass, field

from client_proxy.limits.concurrency_limit import WindowSettings
from client_proxy.toml_table import Table


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """The table `[overload]`; each key is described in docs/operators/overload.md."""

    class_order: tuple[
        str, ...
    ] = ()  # key `first`: classes served first; the others by priority weight per unit of work
    # Key `least`: the least share of the admitted work, by class.
    min_shares: dict[str, float] = field(default_factory=dict)
    target_inflation: float = WindowSettings().target_inflation  # key `target`
    growth: float = WindowSettings().growth_per_s
    cut: float = WindowSettings().cut_per_s
    tracks_client_retries: bool = True  # key `ages`: a client's retry keeps the age of its first request
    retry_after_ms: tuple[float, float] = (200.0, 700.0)  # keys `come_back_least_ms`, `come_back_most_ms`

    def window_settings(self) -> WindowSettings:
        """Return the parameters by which the window of an instance grows and shrinks."""
        return WindowSettings(
            target_inflation=self.target_inflation, growth_per_s=self.growth, cut_per_s=self.cut
        )


def parse_overload_settings(t: Table) -> OverloadSettings:
    """Return the settings in the table `t`; faults are noted there, with their keys."""
    defaults = OverloadSettings()
    least_table = t.table("least")
    settings = OverloadSettings(
        class_order=t.texts("first", defaults.class_order),
        min_shares={
            name: least_table.bounded_number(name, least=0.0, most=1.0)
            for name in least_table.remaining_keys()
        },
        target_inflation=t.bounded_number("target", defaults.target_inflation, 1.1, 20.0),
        growth=t.bounded_number("growth", defaults.growth, 0.01, 10.0),
        cut=t.bounded_number("cut", defaults.cut, 0.01, 20.0),
        tracks_client_retries=t.flag("ages", defaults.tracks_client_retries),
        retry_after_ms=(
            t.bounded_number("come_back_least_ms", defaults.retry_after_ms[0], 0.0, 60_000.0),
            t.bounded_number("come_back_most_ms", defaults.retry_after_ms[1], 0.0, 60_000.0),
        ),
    )
    if len(set(settings.class_order)) != len(settings.class_order):
        t.fault("first", "it names a class twice")
    if sum(settings.min_shares.values()) > 1.0:
        t.fault("least", "the shares of all classes sum to more than 1")
    if settings.retry_after_ms[0] > settings.retry_after_ms[1]:
        t.fault("come_back_most_ms", "it is less than come_back_least_ms")
    least_table.reject_unknown_keys()
    t.reject_unknown_keys()
    return settings
