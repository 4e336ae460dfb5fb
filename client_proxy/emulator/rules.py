"""The four rules that every run is checked against.

- `lost`: each attempt gets exactly one complete response, which is genuine, unless its proxy was killed.
- `twice`: no request takes effect more often than its class allows.
- `drain`: a draining server gets no new work after a grace period.
- `push`: no cold server crashes under overload.

A violation is reported with its time, the attempt's id and the server or proxy.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from client_proxy.api.settings import Idempotency
from client_proxy.emulator.event_log import (
    NEVER_STARTED,
    Arrival,
    AttemptOutcome,
    ClientAttempt,
    EventLog,
    Notification,
    ServerOutcome,
)
from client_proxy.emulator.scenario import RequestClassSpec, Scenario

RULES = ("lost", "twice", "drain", "push")
ASSUMED_NOTIFIED_S = 6.0
"""This long after discovery learnt of a change, every proxy counts as notified, whether or not it was."""
SOCKET_MARGIN_MS = 50.0
"""Added to the drain grace, since delivery over real sockets takes time."""


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of one of `RULES`; `at_s` is its time on the event log's clock."""

    rule: str
    at_s: float
    description: str


@dataclass
class RuleCheck:
    """The violations found in a run."""

    violations: list[RuleViolation] = field(default_factory=list)

    def add(self, rule: str, at_s: float, description: str) -> None:
        """Record a violation."""
        self.violations.append(RuleViolation(rule, at_s, description))

    def count(self, rule: str) -> int:
        """Return the number of violations of a rule."""
        return sum(1 for violation in self.violations if violation.rule == rule)

    def counts(self) -> dict[str, int]:
        """Return the number of violations of each rule."""
        return {rule: self.count(rule) for rule in RULES}


@dataclass(frozen=True, slots=True)
class Placement:
    """The zone and rack of a server."""

    zone: str
    rack: int


def check_rules(
    scenario: Scenario,
    event_log: EventLog,
    changes: Mapping[str, Sequence[Notification]],
    placements: Mapping[str, Placement],
    end_s: float,
) -> RuleCheck:
    """Check a run against all rules.

    Args:
        scenario: the scenario that was run.
        event_log: the run's events.
        changes: for each server, its changes of state with the time at which discovery learnt of them.
        placements: the zone and rack of each server.
        end_s: the end of the run; attempts whose deadline had not passed by then are not judged.
    """
    result = RuleCheck()
    _check_lost(scenario, event_log, end_s, result)
    _check_duplicates(scenario, event_log, placements, result)
    _check_draining(scenario, event_log, changes, result)
    for crash in event_log.overload_crashes:
        result.add("push", crash.at_s, f"{crash.server} fell over, cold, under more than it could bear")
    result.violations.sort(key=lambda violation: violation.at_s)
    return result


def _check_lost(scenario: Scenario, event_log: EventLog, end_s: float, result: RuleCheck) -> None:
    """Find attempts without a response, with one that was not made for them, or with two."""
    grace_s = scenario.rules.answer_grace_ms / 1000.0
    for attempt in event_log.attempts.values():
        name = attempt.attempt_id
        if attempt.outcome is AttemptOutcome.LOST:
            description = f"{name} ({attempt.class_name}) at proxy {attempt.proxy}: no whole answer in time"
            result.add("lost", attempt.ended_s, description)
        elif attempt.outcome is None and attempt.deadline_s + grace_s < end_s:
            result.add("lost", attempt.deadline_s, f"{name}: never answered")
        if attempt.foreign_answer:
            result.add("lost", attempt.ended_s, f"{name}: served with what no server made for it")
        if attempt.extra_answer:
            result.add("lost", attempt.ended_s, f"{name}: answered twice")
    for unknown in event_log.unknown_attempt_ids:
        result.add("lost", 0.0, f"{unknown}: at a server, and no client sent it")


def may_have_run(arrival: Arrival) -> bool:
    """Return whether the request may have taken effect at the server."""
    return arrival.outcome not in NEVER_STARTED


def _deduplicate_each_other(
    request_class: RequestClassSpec,
    first: Arrival,
    second: Arrival,
    placements: Mapping[str, Placement],
) -> bool:
    """Return whether the servers of both arrivals deduplicate requests together."""
    if request_class.idempotency_scope == "all":
        return True
    if request_class.idempotency_scope == "zone":
        return placements[first.server].zone == placements[second.server].zone
    return placements[first.server] == placements[second.server]


def _check_duplicates(
    scenario: Scenario, event_log: EventLog, placements: Mapping[str, Placement], result: RuleCheck
) -> None:
    """Find requests that may have taken effect twice, or that were rejected although they may have run."""
    classes = {request_class.name: request_class for request_class in scenario.classes}
    arrivals_by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in event_log.arrivals:
        arrivals_by_id[arrival.attempt_id].append(arrival)
    for attempt_id, arrivals in arrivals_by_id.items():
        request_class = classes.get(arrivals[0].class_name)
        if request_class is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            continue
        started = [arrival for arrival in arrivals if may_have_run(arrival)]
        if not started:
            continue
        _check_repeats(request_class, arrivals, started[0], placements, result)
        _check_effects(request_class, started, result)
        attempt = event_log.attempts.get(attempt_id)
        if attempt is not None:
            _check_rejection(request_class, attempt, started[0], result)


def _check_repeats(
    request_class: RequestClassSpec,
    arrivals: Sequence[Arrival],
    first: Arrival,
    placements: Mapping[str, Placement],
    result: RuleCheck,
) -> None:
    """Find arrivals after `first` that the class does not allow, because `first` may have run."""
    subject = f"{first.attempt_id} ({request_class.name})"
    for arrival in arrivals[arrivals.index(first) + 1 :]:
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            description = f"{subject}: sent to {arrival.server}, and it may have run at {first.server}"
            result.add("twice", arrival.arrived_s, description)
        elif not _deduplicate_each_other(request_class, first, arrival, placements):
            description = f"{subject}: again at {arrival.server}, outside the rack of {first.server}"
            result.add("twice", arrival.arrived_s, description)


def _check_effects(request_class: RequestClassSpec, started: Sequence[Arrival], result: RuleCheck) -> None:
    """Find a request with an idempotency key that took effect more than once."""
    running = (ServerOutcome.COMPLETED, ServerOutcome.RUNNING)
    effects = [arrival for arrival in started if arrival.outcome in running]
    if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and len(effects) > 1:
        subject = f"{started[0].attempt_id} ({request_class.name})"
        result.add("twice", effects[1].arrived_s, f"{subject}: took effect {len(effects)} times")


def _check_rejection(
    request_class: RequestClassSpec, attempt: ClientAttempt, first: Arrival, result: RuleCheck
) -> None:
    """Find a rejection, which promises that nothing ran, although the request may have run."""
    deduplicated_by_all = (
        request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and request_class.idempotency_scope == "all"
    )
    if attempt.outcome is AttemptOutcome.REJECTED and not deduplicated_by_all:
        # An arrival after the rejection counts too: it was sent after the final response.
        subject = f"{first.attempt_id} ({request_class.name})"
        result.add("twice", attempt.ended_s, f"{subject}: refused, and it may have run at {first.server}")


def _check_draining(
    scenario: Scenario,
    event_log: EventLog,
    changes: Mapping[str, Sequence[Notification]],
    result: RuleCheck,
) -> None:
    """Find work sent to a server after the drain grace, counted from the proxy's notification."""
    grace_s = (scenario.rules.drain_grace_ms + SOCKET_MARGIN_MS) / 1000.0
    history = _notification_history(event_log, changes)
    for arrival in event_log.arrivals:
        closed_s = _closed_since_s(history.get((arrival.proxy, arrival.server), ()), arrival.first_byte_s)
        if closed_s is not None and arrival.first_byte_s > closed_s + grace_s:
            over_ms = 1000.0 * (arrival.first_byte_s - closed_s)
            description = (
                f"{arrival.attempt_id}: sent to {arrival.server} {over_ms:.0f} ms after proxy "
                f"{arrival.proxy} was told"
            )
            result.add("drain", arrival.first_byte_s, description)


def _notification_history(
    event_log: EventLog, changes: Mapping[str, Sequence[Notification]]
) -> dict[tuple[int, str], list[Notification]]:
    """Return the notifications of each proxy about each server, real and assumed, in order of time."""
    history: dict[tuple[int, str], list[Notification]] = defaultdict(list)
    for notification in event_log.notifications:
        history[notification.proxy, notification.server].append(notification)
    proxies = {arrival.proxy for arrival in event_log.arrivals}
    for server, server_changes in changes.items():
        for position, change in enumerate(server_changes):
            newer = {(later.status, later.since_ms) for later in server_changes[position:]}
            assumed_s = change.at_s + ASSUMED_NOTIFIED_S
            for proxy in proxies:
                known = history[proxy, server]
                # A notification is assumed unless this change or a newer one has reached the proxy by then.
                if not any(
                    (item.status, item.since_ms) in newer and item.at_s <= assumed_s for item in known
                ):
                    known.append(Notification(proxy, server, change.status, assumed_s, change.since_ms))
    for known in history.values():
        known.sort(key=lambda notification: notification.at_s)
    return history


def _closed_since_s(notifications: Sequence[Notification], until_s: float) -> float | None:
    """Return since when these notifications have closed the server to new work; None: it is open."""
    closed_s: float | None = None
    for notification in notifications:
        if notification.at_s > until_s:
            break
        if notification.status == "ready":
            closed_s = None
        elif closed_s is None:
            closed_s = notification.at_s
    return closed_s
