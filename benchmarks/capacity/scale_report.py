"""Extracts the figures that the page's rows and failures need from a scale run's report
(`client-proxy scale run --json`). No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

Json = dict[str, Any]
Statistic = Literal["least", "median", "most"]
PASSED = "passed"


class ReportError(ValueError):
    """A report that cannot be used: the run did not pass or had too few instances."""


@dataclass(frozen=True, slots=True)
class Source:
    """Where the value of one run of the slopes file is found in a report.

    `run` is the name in the slopes file. `kind` is the kind of the day; `figure`, `role` and `statistic`
    select the value within that day, and `factor` converts it to `unit`. With `by_region` the values are read
    from the day's times without a lease, one for each region, and `role` is ignored."""

    run: str
    kind: str
    figure: str
    role: str
    statistic: Statistic
    factor: float
    unit: str
    by_region: bool = False


REAL, CONTROL_ALONE = "real instance", "real instance, control alone"
CHANGE_IN_FORCE = "change in force everywhere"
SOURCES = (
    Source("control_part_core", "quiet", "processor time", CONTROL_ALONE, "median", 0.01, "of a core"),
    Source(
        "control_part_core_crowded", "changes", "processor time", CONTROL_ALONE, "median", 0.01, "of a core"
    ),
    Source("control_part_memory", "quiet", "memory", CONTROL_ALONE, "median", 1.0, "MB"),
    Source(
        "control_part_bytes", "quiet", "bytes sent and received", REAL, "median", 1000.0, "bytes a second"
    ),
    Source("change_last_ms_680", "changes", CHANGE_IN_FORCE, "", "median", 1000.0, "ms"),
    Source("loss_change_s", "changes", CHANGE_IN_FORCE, "", "most", 1.0, "s"),
    Source("region_refused_s", "region-cut", "without a lease", "", "most", 1.0, "s", by_region=True),
    Source("rack_gone_s", "rack", "without a lease", "", "most", 1.0, "s", by_region=True),
    Source("two_control_gone_s", "control-down", "without a lease", "", "most", 1.0, "s", by_region=True),
    Source("restarts_s", "restarts", "back and deciding", "", "most", 1.0, "s"),
    Source("zone_back_s", "zone-back", "back and deciding", "", "most", 1.0, "s"),
    Source("all_start_s", "start-all", "back and deciding", "", "most", 1.0, "s"),
)
FAULTY_CHANGES_DAY = "crowded-troubled"  # a day of changes with instances down and datagrams lost


def _values(day: Json, source: Source) -> list[float]:
    figures = day["without_lease"].values() if source.by_region else day["figures"]
    return [
        float(each[source.statistic])
        for each in figures
        if each["name"] == source.figure
        and (source.by_region or each["role"] == source.role)
        and each[source.statistic] is not None
    ]


def _matches(day: Json, source: Source) -> bool:
    if day["kind"] != source.kind:
        return False
    return source.kind != "changes" or (day["name"] == FAULTY_CHANGES_DAY) == (source.run == "loss_change_s")


def extract_runs(report: Json, instances: int, command: str) -> dict[str, Json]:
    """Returns the entries for the slopes file by run name.

    Raises ReportError if the run did not pass or had fewer instances than planned."""
    if report["outcome"] != PASSED:
        raise ReportError(f"{report['plan']}: the run is {report['outcome']}, not passed: {report['why']}")
    if report["instances"] < instances:
        raise ReportError(f"{report['plan']}: {report['instances']} instances ran, {instances} are needed")
    entries: dict[str, Json] = {}
    for source in SOURCES:
        for day in report["days"]:
            values = _values(day, source) if _matches(day, source) else []
            if values:
                value = source.factor * max(values)
                entries[source.run] = {"command": command, "unit": source.unit, "value": value}
    return entries
