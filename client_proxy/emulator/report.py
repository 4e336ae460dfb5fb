"""The report of a run: requests by class and window, rule violations, and the state of the servers.

`Report` is written as a JSON document for programs: its attributes are the document's keys, in this order.
"""

from __future__ import annotations

import hashlib
import json
import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from client_proxy.emulator.event_log import (
    AttemptOutcome,
    ClientRequest,
    EventLog,
    RequestOutcome,
    ServerOutcome,
)
from client_proxy.emulator.rules import RuleViolation
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.simulation import SimulationResult

DIGEST_WORDS = {
    None: "None",
    AttemptOutcome.SERVED: "Ending.SERVED",
    AttemptOutcome.REJECTED: "Ending.REFUSED",
    AttemptOutcome.FAILED: "Ending.FAILED",
    AttemptOutcome.LOST: "Ending.LOST",
    AttemptOutcome.PROXY_GONE: "Ending.GONE",
}
"""Text of an attempt's outcome in the digest; fixed, so that digests of earlier versions stay comparable."""

DIGEST_CHARACTERS = 16
OUTCOMES = tuple(outcome.value for outcome in RequestOutcome)
MAX_VIOLATIONS = 20
"""Violations that a report lists; all of them are counted."""


@dataclass
class ClassReport:
    """Figures of one class of requests.

    Attributes:
        asked: the number of requests.
        served: the number of requests served within the latency objective.
        late: the number of requests served after the latency objective.
        refused: the number of requests that ended with a rejection.
        failed: the number of requests that failed otherwise.
        tries: the number of client attempts.
        worth_asked: the priority weight of all requests.
        worth_served: the priority weight of the requests in `served`.
        p50_ms: the median latency of the requests in `served` and `late`; None without any.
        p99_ms: the 99th percentile of the same latencies.
    """

    asked: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    tries: int = 0
    worth_asked: float = 0.0
    worth_served: float = 0.0
    p50_ms: float | None = None
    p99_ms: float | None = None


@dataclass
class Report:
    """A run's report.

    Attributes:
        windows: for each window, the outcomes of the requests that began in it, by class.
        rules: the number of violations of each rule.
        breaches: the first violations.
        served_share: the share of the requests' priority weight that was served in time.
        worst_window: the least served share of a window.
        worst_class: the least served share of a class.
        attempts: the number of arrivals at servers.
        attempts_per_request: the number of arrivals at servers per client attempt.
        wasted_share: the share of the completed runs at servers whose result reached no client.
        discovery_calls: the number of requests to discovery.
        fates: the number of arrivals at servers by outcome.
        digest: a hash of the event log; equal digests mean equal runs, to the last event.
        marks: time and description of what happened on the time line.
        servers: zone, type, counts and samples of each server.
        crashed: failures of proxies.
    """

    day: str
    seed: int
    clock: str
    proxies: int
    length_s: float
    classes: dict[str, ClassReport]
    windows: list[dict[str, Any]]
    rules: dict[str, int]
    breaches: list[dict[str, Any]]
    served_share: float
    worst_window: float
    worst_class: float
    attempts: int
    attempts_per_request: float
    wasted_share: float
    connections: int
    discovery_calls: int
    fates: dict[str, int]
    digest: str
    marks: list[tuple[float, str]] = field(default_factory=list)
    servers: dict[str, dict[str, Any]] = field(default_factory=dict)
    crashed: list[str] = field(default_factory=list)

    @property
    def broken(self) -> bool:
        """Whether a rule was violated or a proxy crashed."""
        return bool(self.crashed) or any(self.rules.values())

    def counts(self) -> dict[str, dict[str, int]]:
        """Return the number of requests by class and outcome."""
        return {
            name: {outcome: getattr(class_report, outcome) for outcome in OUTCOMES}
            for name, class_report in self.classes.items()
        }

    def to_json(self) -> str:
        """Return the report as a JSON document."""
        return json.dumps(asdict(self), indent=1) + "\n"


def quantile(values: Sequence[float], share: float) -> float | None:
    """Return a quantile by the nearest-rank method; None without values."""
    if not values:
        return None
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, max(0, math.ceil(share * len(ranked)) - 1))]


def event_log_digest(event_log: EventLog, start_s: float) -> str:
    """Return a digest of all arrivals at servers and all attempts' outcomes, with times in microseconds.

    Args:
        event_log: the event log.
        start_s: the time on the log's clock at which the scenario began.
    """
    digest = hashlib.sha256()

    def microseconds(at_s: float | None) -> int:
        return -1 if at_s is None else round((at_s - start_s) * 1e6)

    for arrival in event_log.arrivals:
        line = f"{arrival.server} {arrival.incarnation} {arrival.proxy} {arrival.attempt_id} "
        line += f"{arrival.outcome.value} {microseconds(arrival.arrived_s)} "
        line += f"{microseconds(arrival.started_s)} {microseconds(arrival.ended_s)}\n"
        digest.update(line.encode())
    for attempt in event_log.attempts.values():
        outcome = DIGEST_WORDS[attempt.outcome]
        line = f"{attempt.attempt_id} {outcome} {attempt.status} {microseconds(attempt.ended_s)}\n"
        digest.update(line.encode())
    return digest.hexdigest()[:DIGEST_CHARACTERS]


class _RequestSummary:
    """Counts and weights of a run's requests, by class and by window."""

    def __init__(self, scenario: Scenario, start_s: float) -> None:
        self._scenario, self._start_s = scenario, start_s
        self._weights = {
            request_class.name: request_class.priority_weight for request_class in scenario.classes
        }
        self._window_count = max(1, math.ceil(scenario.duration_s / scenario.window_s - 1e-9))
        self._latencies_ms: dict[str, list[float]] = {name: [] for name in self._weights}
        self._weight_requested = [0.0] * self._window_count
        self._weight_served = [0.0] * self._window_count
        self.classes = {name: ClassReport() for name in self._weights}
        self.windows: list[dict[str, Any]] = [
            {
                "from_s": position * scenario.window_s,
                **{name: dict.fromkeys(OUTCOMES, 0) for name in self.classes},
            }
            for position in range(self._window_count)
        ]

    def add(self, request: ClientRequest) -> None:
        class_report = self.classes[request.class_name]
        weight = self._weights[request.class_name]
        outcome = request.outcome.value
        position = self._window_of(request)
        class_report.asked += 1
        class_report.tries += len(request.attempts)
        setattr(class_report, outcome, getattr(class_report, outcome) + 1)
        self.windows[position][request.class_name][outcome] += 1
        class_report.worth_asked += weight
        self._weight_requested[position] += weight
        if request.outcome is RequestOutcome.SERVED:
            class_report.worth_served += weight
            self._weight_served[position] += weight
        if request.outcome in (RequestOutcome.SERVED, RequestOutcome.LATE):
            latency_ms = 1000.0 * (request.ended_s - request.requested_s)
            self._latencies_ms[request.class_name].append(latency_ms)

    def _window_of(self, request: ClientRequest) -> int:
        position = int((request.requested_s - self._start_s) / self._scenario.window_s)
        return min(self._window_count - 1, max(0, position))

    def finish(self) -> None:
        """Compute the figures that need all requests: latency quantiles and the windows' served shares."""
        for name, class_report in self.classes.items():
            latencies_ms = self._latencies_ms[name]
            class_report.p50_ms = _round_if_known(quantile(latencies_ms, 0.5))
            class_report.p99_ms = _round_if_known(quantile(latencies_ms, 0.99))
        for position, window in enumerate(self.windows):
            requested, served = self._weight_requested[position], self._weight_served[position]
            window["served_share"] = _round_if_known(served / requested) if requested else None

    def served_share(self) -> float:
        requested = sum(class_report.worth_asked for class_report in self.classes.values())
        served = sum(class_report.worth_served for class_report in self.classes.values())
        return round(served / requested, 5) if requested else 1.0

    def worst_window(self) -> float:
        shares = [
            served / requested
            for served, requested in zip(self._weight_served, self._weight_requested, strict=True)
            if requested
        ]
        return round(min(shares, default=1.0), 5)

    def worst_class(self) -> float:
        shares = [
            class_report.worth_served / class_report.worth_asked
            for class_report in self.classes.values()
            if class_report.worth_asked
        ]
        return round(min(shares, default=1.0), 5)


def build_report(result: SimulationResult) -> Report:
    """Return the report of a run."""
    scenario, event_log = result.scenario, result.event_log
    summary = _RequestSummary(scenario, result.start_s)
    for request in event_log.requests:
        summary.add(request)
    summary.finish()
    outcomes = Counter(arrival.outcome.value for arrival in event_log.arrivals)
    arrivals, attempts = len(event_log.arrivals), len(event_log.attempts)
    return Report(
        day=scenario.name,
        seed=scenario.seed,
        clock=result.clock,
        proxies=result.proxies,
        length_s=scenario.duration_s,
        classes=summary.classes,
        windows=summary.windows,
        rules=result.rule_check.counts(),
        breaches=_violation_rows(result.rule_check.violations[:MAX_VIOLATIONS], result.start_s),
        served_share=summary.served_share(),
        worst_window=summary.worst_window(),
        worst_class=summary.worst_class(),
        attempts=arrivals,
        attempts_per_request=round(arrivals / max(1, attempts), 4),
        wasted_share=_wasted_share(event_log),
        connections=sum(event_log.accepted_connections.values()),
        discovery_calls=result.discovery_requests,
        fates=dict(sorted(outcomes.items())),
        digest=event_log_digest(event_log, result.start_s),
        marks=[(round(at_s, 3), text) for at_s, text in result.marks],
        servers=_server_rows(result),
        crashed=result.failures,
    )


def _wasted_share(event_log: EventLog) -> float:
    completed = (ServerOutcome.COMPLETED, ServerOutcome.DEDUPLICATED)
    runs = sum(1 for arrival in event_log.arrivals if arrival.outcome in completed)
    wasted = runs - sum(1 for attempt in event_log.attempts.values() if attempt.status == 200)
    return round(max(0, wasted) / max(1, runs), 4)


def _violation_rows(violations: Sequence[RuleViolation], start_s: float) -> list[dict[str, Any]]:
    return [
        {
            "rule": violation.rule,
            "at_s": round(violation.at_s - start_s, 4),
            "what": violation.description,
        }
        for violation in violations
    ]


def _server_rows(result: SimulationResult) -> dict[str, dict[str, Any]]:
    event_log = result.event_log
    arrivals: Mapping[str, int] = Counter(arrival.server for arrival in event_log.arrivals)
    return {
        name: {
            "hall": spec.zone,
            "kind": spec.server_type.name,
            "arrivals": arrivals.get(name, 0),
            "connections": event_log.accepted_connections.get(name, 0),
            "samples": [
                [round(sample.at_s, 2), sample.running, sample.queued, sample.connections, sample.state]
                for sample in event_log.samples.get(name, ())
            ],
        }
        for name, spec in result.specs.items()
    }


def _round_if_known(value: float | None) -> float | None:
    return None if value is None else round(value, 3)


# Formatting for a terminal


def format_percentage(part: float, whole: float) -> str:
    """Return `part` as a percentage of `whole`, at most seven characters wide."""
    return f"{100.0 * part / whole:5.1f}%" if whole else "    -"


def format_window(elapsed_s: float, ended: Sequence[ClientRequest]) -> str:
    """Return a line of progress for the requests that ended since the last line."""
    counts = Counter(request.outcome.value for request in ended)
    columns = "  ".join(f"{outcome} {counts[outcome]:5d}" for outcome in OUTCOMES)
    in_time = format_percentage(counts[RequestOutcome.SERVED.value], len(ended))
    return f"{elapsed_s:7.1f} s  {columns}  {in_time} in time"


def format_report(report: Report) -> str:
    """Return the report formatted for a terminal."""
    width = max(len(name) for name in [*report.classes, "window"])
    lines = [
        f"{report.day}: {report.length_s:g} s, {report.proxies} proxies, seed {report.seed}, "
        f"{report.clock} clock",
        "",
        *_class_lines(report, width),
        "",
        *_window_lines(report, width),
        "",
        f"worth served {report.served_share:.4f}, in the worst window {report.worst_window:.4f}, "
        f"of the worst class {report.worst_class:.4f}",
        f"attempts {report.attempts} ({report.attempts_per_request:.3f} a try), "
        f"work in vain {report.wasted_share:.3f}, connections {report.connections}, "
        f"calls to discovery {report.discovery_calls}",
        "rules: " + ", ".join(f"{name} {count}" for name, count in report.rules.items()),
    ]
    lines += [f"  {row['at_s']:9.3f} s  {row['rule']}: {row['what']}" for row in report.breaches]
    lines += [f"  crashed: {failure}" for failure in report.crashed]
    if report.clock == "virtual":
        lines.append(f"ledger {report.digest}")
    return "\n".join(lines) + "\n"


def _class_lines(report: Report, width: int) -> list[str]:
    lines = [
        f"{'class':{width}}  {'asked':>7} {'served':>7} {'late':>6} {'refused':>7} {'failed':>6}"
        f" {'in time':>7} {'p50 ms':>7} {'p99 ms':>7}"
    ]
    for name, row in report.classes.items():
        latencies = "".join(f" {'-' if ms is None else f'{ms:.0f}':>7}" for ms in (row.p50_ms, row.p99_ms))
        lines.append(
            f"{name:{width}}  {row.asked:7d} {row.served:7d} {row.late:6d} {row.refused:7d}"
            f" {row.failed:6d} {format_percentage(row.served, row.asked):>7}{latencies}"
        )
    return lines


def _window_lines(report: Report, width: int) -> list[str]:
    lines = [f"{'window':{width}}  served, late, refused and failed by class; share of the worth"]
    for window in report.windows:
        columns = "  ".join(
            f"{name} {' '.join(str(window[name][outcome]) for outcome in OUTCOMES)}"
            for name in report.classes
        )
        share = window["served_share"]
        lines.append(f"{window['from_s']:{width}g}  {columns}  {'-' if share is None else f'{share:.3f}'}")
    return lines
