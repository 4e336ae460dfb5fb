"""Computes the measurements of a scale run. Its only I/O is to read the logs of real instances."""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from statistics import median

from client_proxy.fault_injection.child_process import Json
from client_proxy.scale.fleet import InstanceView, Sample
from client_proxy.scale.report import (
    AUTHOR,
    CHANGE_S,
    CONTROL_ALONE,
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    CONTROL_MB,
    ChangeRow,
    Measurement,
    summarize,
)
from client_proxy.scale.topology import HostProcess, Layout, Role

CPU = "processor time"
MEMORY = "memory"
SENT, RECEIVED = "bytes sent", "bytes received"
MESSAGES_SENT, MESSAGES_RECEIVED = "messages sent", "messages received"
SENT_AND_RECEIVED = "bytes sent and received"
WAITED = "waited for a core"
IN_FORCE = "change in force everywhere"
IN_FORCE_TRY = "the same, from the try that was decided"
DECIDED = "change decided"
IN_FORCE_AWAY = "change by way of a control machine that was away"
MEMBERS, LISTED = "members in gossip's table", "servers that discovery told"
RETURNED = "back and deciding"
HEALED = "after the healing"
CPU_UNIT = "% of a core"
KB_S, PER_S = "KB/s", "1/s"

Switches = Mapping[str, list[tuple[float, int]]]
_DECIDING = re.compile(r"deciding by version (\d+)")


@dataclass
class Absence:
    """A time in which an instance is down, stopped or cut off, in monotonic seconds."""

    name: str
    from_s: float
    to_s: float = float("inf")


@dataclass
class DayEvents:
    """Faults and restarts of a day, apart from its policy changes. Times are monotonic seconds."""

    absences: list[Absence] = field(default_factory=list)
    returns: list[tuple[str, float]] = field(default_factory=list)  # restarted instances, and when
    # Instances that were cut off, and when the cut ended.
    healed: list[tuple[str, float]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # lines for the report

    def add_absences(self, names: Iterable[str], from_s: float) -> list[Absence]:
        """Adds an absence that begins at `from_s` for each name, and returns them to set their ends."""
        added = [Absence(name, from_s) for name in names]
        self.absences += added
        return added


def read_log_switches(log: Path, offset_s: float) -> list[tuple[float, int]]:
    """Reads the switches of a real instance from its log.

    `offset_s` is the time of day minus the monotonic time, in seconds."""
    switches: list[tuple[float, int]] = []
    if not log.exists():
        return switches
    for line in log.read_text(errors="replace").splitlines():
        match = _DECIDING.search(line)
        if match is None:
            continue
        with suppress(ValueError, KeyError, TypeError):
            at_s = datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp() - offset_s
            switches.append((at_s, int(match.group(1))))
    return switches


def first_switch_s(switches: list[tuple[float, int]], version: int) -> float | None:
    """Returns when an instance first decided by that version or a later one; None: never."""
    return min((at_s for at_s, number in switches if number >= version), default=None)


def in_force(
    switches: Switches, version: int, asked_s: float, absences: Iterable[Absence]
) -> tuple[float | None, str, int]:
    """Returns when a version was in force everywhere, the last instance's name, and how many are missing.

    Instances that were away at any time between the proposal at `asked_s` and their switch don't count.
    Times are monotonic seconds; the first value is None if no instance adopted the version."""
    absences_by_name: dict[str, list[Absence]] = defaultdict(list)
    for absence in absences:
        absences_by_name[absence.name].append(absence)
    last_s, last, missing = None, "", 0
    for name, switched in switches.items():
        at_s = first_switch_s(switched, version)
        until_s = at_s if at_s is not None else float("inf")
        if any(a.from_s < until_s and a.to_s > asked_s for a in absences_by_name[name]):
            continue
        if at_s is None:
            missing += 1
        elif last_s is None or at_s > last_s:
            last_s, last = at_s, name
    return last_s, last, missing


def change_rows(
    changes: list[Json], switches: Switches, absences: list[Absence], begin_s: float
) -> list[ChangeRow]:
    """Returns a row of the report for each change. `begin_s` is the beginning of the day."""
    rows: list[ChangeRow] = []
    for change in changes:
        tries = change["tries"]
        asked_s = tries[0]["asked_s"] if tries else begin_s
        outcome = tries[-1]["what"] if tries else "unknown"
        row = ChangeRow(
            change["name"], change["author"], change["by"], outcome, len(tries),
            round(asked_s - begin_s, 3), None, None,
        )  # fmt: skip
        row.why = _reason(tries[-1]) if outcome == "refused" else ""
        row.by_away = any(a.name == row.by and a.from_s <= asked_s < a.to_s for a in absences)
        if outcome == "decided":
            row.decided_s = round(tries[-1]["ended_s"] - asked_s, 4)
            last_s, row.last, row.missing = in_force(switches, tries[-1]["version"], asked_s, absences)
            if last_s is not None and not row.missing:
                row.in_force_s = round(last_s - asked_s, 4)
        rows.append(row)
    return rows


def change_measurements(rows: list[ChangeRow], changes: list[Json]) -> list[Measurement]:
    """Summarizes the changes of a day. `changes` are the authors' reports, in the order of `rows`."""
    if not rows:
        return []
    reachable = [(row, change) for row, change in zip(rows, changes, strict=True) if not row.by_away]
    away = [row for row in rows if row.by_away]
    from_last_try_s = [
        row.in_force_s - (change["tries"][-1]["asked_s"] - change["tries"][0]["asked_s"])
        for row, change in reachable
        if row.in_force_s is not None
    ]
    result = [
        summarize(
            IN_FORCE, "s", (r.in_force_s for r, _ in reachable if r.in_force_s is not None), budget=CHANGE_S
        ),
        summarize(IN_FORCE_TRY, "s", from_last_try_s, budget=CHANGE_S),
        summarize(DECIDED, "s", (r.decided_s for r, _ in reachable if r.decided_s is not None)),
        summarize("tries for a change", "", (float(r.tries) for r in rows)),
    ]
    if away:
        result.append(summarize(IN_FORCE_AWAY, "s", (r.in_force_s for r in away if r.in_force_s is not None)))
    return result


def count_tries_by_outcome(changes: list[Json]) -> dict[str, int]:
    """Counts tries by outcome; a refusal includes the reason of the first instance that refused."""
    return dict(Counter(_outcome(each) for change in changes for each in change["tries"]))


def _outcome(attempt: Json) -> str:
    if attempt["what"] != "refused":
        return str(attempt["what"])
    return f"refused ({_reason(attempt)})"


def _reason(attempt: Json) -> str:
    """Returns the first reason, without the number of the member that gave it."""
    return str(attempt["why"]).split("; ")[0].partition(": ")[2]


@dataclass(frozen=True, slots=True)
class Cost:
    """Resource use of one instance over a day.

    `cpu_percent` is of a core, `waited_percent` of the time. 1 KB is 1024 bytes."""

    cpu_percent: float
    mb: float
    sent_kb_s: float
    received_kb_s: float
    sent_s: float
    received_s: float
    waited_percent: float


def process_cost(host: HostProcess, before: Sample, after: Sample, length_s: float) -> Cost | None:
    """Returns the cost of a process, divided by its instances; None if it was restarted meanwhile."""
    if after.cpu_s < before.cpu_s or any(
        after.traffic.get(key, 0) < count for key, count in before.traffic.items()
    ):
        return None
    share = length_s * len(host.placements)

    def rate(*keys: str) -> float:
        return sum(after.traffic.get(key, 0) - before.traffic.get(key, 0) for key in keys) / share

    return Cost(
        100.0 * (after.cpu_s - before.cpu_s) / share,
        after.rss_kb / 1024.0 / len(host.placements),
        rate("bytes_sent", "stream_bytes_sent") / 1024.0,
        rate("bytes_received", "stream_bytes_received") / 1024.0,
        rate("sent"),
        rate("received"),
        100.0 * (after.waited_s - before.waited_s) / length_s,
    )


def collect_costs(
    layout: Layout, before: Mapping[str, Sample], after: Mapping[str, Sample], length_s: float
) -> dict[Role, list[Cost]]:
    """Returns the cost per instance of each process, by role.

    Small processes of followers are left out: an instance alone in its process bears the whole fixed cost
    that the instances of a large process share."""
    costs_by_role: dict[Role, list[Cost]] = {role: [] for role in Role}
    largest = max((len(host.placements) for host in layout.hosts_of(Role.FOLLOWER)), default=0)
    for host in layout.hosts:
        if host.name not in before or host.name not in after:
            continue
        if host.role is Role.FOLLOWER and len(host.placements) * 2 < largest:
            continue
        instance_cost = process_cost(host, before[host.name], after[host.name], length_s)
        if instance_cost is not None:
            costs_by_role[host.role].append(instance_cost)
    return costs_by_role


def cost_measurements(costs_by_role: dict[Role, list[Cost]]) -> list[Measurement]:
    rows: list[Measurement] = []
    for role, role_costs in costs_by_role.items():
        if role_costs:
            rows += _role_measurements(role, role_costs)
    return rows + _control_alone_measurements(costs_by_role[Role.REAL], costs_by_role[Role.PLAIN])


def _role_measurements(role: Role, role_costs: list[Cost]) -> list[Measurement]:
    hollow = role is Role.FOLLOWER
    cpu, memory, both = (CONTROL_CPU_PERCENT, CONTROL_MB, CONTROL_KB_PER_S) if hollow else (None, None, None)
    if role is Role.REAL:
        both = CONTROL_KB_PER_S  # only control's datagrams and streams are counted
    rows = [
        summarize(CPU, CPU_UNIT, (c.cpu_percent for c in role_costs), role.value, cpu),
        summarize(MEMORY, "MB", (c.mb for c in role_costs), role.value, memory),
    ]
    if role is not Role.PLAIN:
        rows += [
            summarize(
                SENT_AND_RECEIVED, KB_S, (c.sent_kb_s + c.received_kb_s for c in role_costs), role.value, both
            ),
            summarize(SENT, KB_S, (c.sent_kb_s for c in role_costs), role.value),
            summarize(RECEIVED, KB_S, (c.received_kb_s for c in role_costs), role.value),
            summarize(MESSAGES_SENT, PER_S, (c.sent_s for c in role_costs), role.value),
            summarize(MESSAGES_RECEIVED, PER_S, (c.received_s for c in role_costs), role.value),
        ]
    return [*rows, summarize(WAITED, "% of the time", (c.waited_percent for c in role_costs), role.value)]


def _control_alone_measurements(real: list[Cost], plain: list[Cost]) -> list[Measurement]:
    """Cost of control: that of real instances minus the median of those with the same load and no control."""
    cpu = [c.cpu_percent - median(p.cpu_percent for p in plain) for c in real] if plain else []
    memory = [c.mb - median(p.mb for p in plain) for c in real] if plain else []
    return [
        summarize(CPU, CPU_UNIT, cpu, CONTROL_ALONE, CONTROL_CPU_PERCENT),
        summarize(MEMORY, "MB", memory, CONTROL_ALONE, CONTROL_MB),
    ]


def author_measurements(cpu_s: float, changes: list[Json]) -> list[Measurement]:
    tries = sum(len(change["tries"]) for change in changes)
    return [summarize(CPU, "ms for a try", [1000.0 * cpu_s / tries], AUTHOR)] if tries else []


def return_measurements(events: DayEvents, switches: Switches) -> list[Measurement]:
    """Measures how long instances took to decide again after a restart or after the end of a cut.

    After a cut an instance counts once it decides by the newest version of all; after a restart, by any."""
    rows: list[Measurement] = []
    newest = max((number for switched in switches.values() for _, number in switched), default=0)
    for name, since in ((RETURNED, events.returns), (HEALED, events.healed)):
        durations_s: list[float] = []
        for instance, from_s in since:
            needed = newest if name == HEALED else 0
            later = [at_s for at_s, number in switches[instance] if at_s >= from_s and number >= needed]
            durations_s += [min(later) - from_s] if later else []
        if since:
            rows.append(summarize(name, "s", durations_s))
    return rows


def view_measurements(layout: Layout, views: Mapping[str, InstanceView]) -> list[Measurement]:
    """Returns the sizes of followers' gossip tables and discovery lists at the end of the day, if in use."""
    follower_views = [views[p.name] for p in layout.placements if p.role is Role.FOLLOWER and p.name in views]
    rows: list[Measurement] = []
    if layout.plan.hollow.gossip:
        rows.append(summarize(MEMBERS, "", (float(v.members) for v in follower_views), Role.FOLLOWER.value))
    if layout.plan.hollow.discovery:
        rows.append(summarize(LISTED, "", (float(v.listed) for v in follower_views), Role.FOLLOWER.value))
    return rows


def lease_measurements(layout: Layout, without_s: Mapping[str, float]) -> dict[str, Measurement]:
    """Returns how long hollow followers were without a lease, in s, by region."""
    by_region: dict[str, list[float]] = defaultdict(list)
    for placement in layout.placements:
        if placement.role is Role.FOLLOWER and placement.name in without_s:
            by_region[placement.region].append(without_s[placement.name])
    return {
        region: summarize("without a lease", "s", values, Role.FOLLOWER.value)
        for region, values in by_region.items()
    }


def count_call_endings(layout: Layout, calls: Mapping[str, Json]) -> dict[str, dict[str, int]]:
    """Counts by region how client calls to real instances under the agreement ended."""
    endings_by_region: dict[str, Counter[str]] = defaultdict(Counter)
    for placement in layout.placements:
        if placement.role is Role.REAL and placement.name in calls:
            endings_by_region[placement.region].update(calls[placement.name]["endings"])
    return {region: dict(endings) for region, endings in endings_by_region.items()}


def call_measurements(layout: Layout, calls: Mapping[str, Json]) -> list[Measurement]:
    rows: list[Measurement] = []
    for role in (Role.REAL, Role.PLAIN):
        names = [
            placement.name
            for placement in layout.placements
            if placement.role is role and placement.name in calls
        ]
        for key, text in (("p50_ms", "call, median"), ("p99_ms", "call, 99th percentile")):
            values = [calls[name][key] for name in names if calls[name][key] is not None]
            if values:
                rows.append(summarize(text, "ms", values, role.value))
    return rows
