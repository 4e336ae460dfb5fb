"""The rules detect violations: relays with one fault each replace the daemon; a correct relay passes."""

from __future__ import annotations

import pytest

from client_proxy.emulator.event_log import (
    Arrival,
    AttemptOutcome,
    ClientAttempt,
    EventLog,
    Notification,
    OverloadCrash,
    ServerOutcome,
)
from client_proxy.emulator.rules import Placement, RuleCheck, check_rules
from client_proxy.emulator.scenario import RuleSettings
from tests.support.days import KEYED, KIND, UNSAFE, day, incident
from tests.support.relay import simulate_with_relays

DRAIN = incident("drain", 1.0, for_s=10.5, servers=["east-1"])
RULES_BY_FAULT = {
    "": {},
    "sends twice": {"twice"},
    "repeats elsewhere": {"twice"},
    "answers twice": {"lost"},
    "makes up answers": {"lost"},
    "loses": {"lost"},
    "closes": {"lost"},
    "refuses what ran": {"twice"},
    "ignores drains": {"drain"},
    "invents": {"lost"},
}


@pytest.mark.parametrize("fault", RULES_BY_FAULT)
def test_each_fault_of_a_proxy_violates_its_rule(fault: str) -> None:
    report = simulate_with_relays(
        day(incidents=DRAIN, length_s=10.0, clients="proxies = 2\nrate_per_s = 20"), fault
    )
    assert {rule for rule, count in report.rules.items() if count} == set(RULES_BY_FAULT[fault])
    assert report.broken is bool(RULES_BY_FAULT[fault])
    # Apart from its fault the relay serves requests.
    assert sum(class_report.served for class_report in report.classes.values()) > 50


def test_an_overload_crash_of_a_cold_server_is_reported() -> None:
    # A relay distributes requests evenly, so a server that starts cold gets its full share of the load, which
    # is more than it can do yet.
    kind = KIND + "cold_from = 0.02\ncold_s = 60\n"
    one_server = "[[servers]]\nkind = 'quad'\nhall = 'east'\nrack = 1\n"
    servers = one_server + one_server + "from_s = 2\n"
    report = simulate_with_relays(
        day(kind=kind, servers=servers, length_s=6.0, clients="proxies = 1\nrate_per_s = 60\nretries = 0"), ""
    )
    assert report.rules == {"lost": 0, "twice": 0, "drain": 0, "push": 1}
    assert "east-2 fell over" in report.breaches[0]["what"]


# The rules alone, at their limits

DRAIN_LIMIT_S = (RuleSettings().drain_grace_ms + 50.0) / 1000.0
PLACEMENTS = {"a": Placement("east", 1), "b": Placement("east", 1), "c": Placement("west", 2)}


def arrival(
    server: str,
    attempt_id: str,
    class_name: str,
    at_s: float,
    outcome: ServerOutcome = ServerOutcome.COMPLETED,
    first_byte_s: float | None = None,
) -> Arrival:
    return Arrival(
        server,
        1,
        0,
        attempt_id,
        class_name,
        "k",
        at_s if first_byte_s is None else first_byte_s,
        at_s,
        outcome,
        at_s,
        at_s,
    )


def client_attempt(attempt_id: str, class_name: str, outcome: AttemptOutcome) -> ClientAttempt:
    return ClientAttempt(attempt_id, 0, 0, class_name, "k", 1.0, 0.0, 1.0, outcome, 0.5)


def check(event_log: EventLog, changes: dict[str, list[Notification]] | None = None) -> RuleCheck:
    return check_rules(day(), event_log, changes or {}, PLACEMENTS, 100.0)


@pytest.mark.parametrize(
    ("class_name", "first", "second", "is_violation"),
    [
        (UNSAFE, ("a", ServerOutcome.COMPLETED), ("b", ServerOutcome.COMPLETED), True),
        (UNSAFE, ("a", ServerOutcome.FAILED), ("b", ServerOutcome.COMPLETED), True),  # it may have run
        (
            UNSAFE,
            ("a", ServerOutcome.QUEUED),
            ("b", ServerOutcome.COMPLETED),
            True,
        ),  # queued at a server that died: it may have run
        (
            UNSAFE,
            ("a", ServerOutcome.COMPLETED),
            ("b", ServerOutcome.REJECTED),
            True,
        ),  # it was sent again, which is a violation even if it was rejected
        (UNSAFE, ("a", ServerOutcome.REJECTED), ("b", ServerOutcome.COMPLETED), False),
        (KEYED, ("a", ServerOutcome.COMPLETED), ("b", ServerOutcome.DEDUPLICATED), False),
        (KEYED, ("a", ServerOutcome.COMPLETED), ("b", ServerOutcome.COMPLETED), True),  # past the window
        (KEYED, ("a", ServerOutcome.COMPLETED), ("c", ServerOutcome.COMPLETED), True),  # another rack
        (KEYED, ("a", ServerOutcome.FAILED), ("c", ServerOutcome.COMPLETED), True),
        (KEYED, ("a", ServerOutcome.REJECTED), ("c", ServerOutcome.COMPLETED), False),
    ],
)
def test_a_request_that_may_have_run_is_repeated_only_as_its_class_allows(
    class_name: str, first: tuple[str, ServerOutcome], second: tuple[str, ServerOutcome], is_violation: bool
) -> None:
    event_log = EventLog()
    event_log.attempts["x"] = client_attempt("x", class_name, AttemptOutcome.SERVED)
    event_log.arrivals = [
        arrival(first[0], "x", class_name, 0.1, first[1]),
        arrival(second[0], "x", class_name, 0.2, second[1]),
    ]
    assert bool(check(event_log).count("twice")) is is_violation


@pytest.mark.parametrize(
    ("class_name", "outcome", "is_violation"),
    [
        (UNSAFE, ServerOutcome.COMPLETED, True),
        (UNSAFE, ServerOutcome.REJECTED, False),
        (KEYED, ServerOutcome.COMPLETED, True),
        (KEYED, ServerOutcome.REJECTED, False),
    ],
)
def test_a_rejection_promises_that_nothing_ran(
    class_name: str, outcome: ServerOutcome, is_violation: bool
) -> None:
    event_log = EventLog()
    event_log.attempts["x"] = client_attempt("x", class_name, AttemptOutcome.REJECTED)
    event_log.arrivals = [arrival("a", "x", class_name, 0.1, outcome)]
    assert bool(check(event_log).count("twice")) is is_violation


@pytest.mark.parametrize(
    ("after_s", "is_violation"), [(DRAIN_LIMIT_S - 0.001, False), (DRAIN_LIMIT_S + 0.001, True)]
)
def test_the_drain_grace_counts_from_the_notification_to_the_first_byte(
    after_s: float, is_violation: bool
) -> None:
    event_log = EventLog(
        notifications=[Notification(0, "a", "ready", 1.0), Notification(0, "a", "draining", 5.0)]
    )
    # The grace applies to the first byte; the last byte may arrive later.
    event_log.arrivals = [arrival("a", "x", KEYED, 5.0 + after_s + 0.5, first_byte_s=5.0 + after_s)]
    assert bool(check(event_log).count("drain")) is is_violation


def test_a_missed_notification_counts_after_six_seconds_unless_a_newer_one_arrived() -> None:
    changes = {"a": [Notification(-1, "a", "ready", 0.0), Notification(-1, "a", "draining", 10.0)]}
    event_log = EventLog(notifications=[Notification(0, "a", "ready", 0.0)])
    event_log.arrivals = [arrival("a", "x", KEYED, 16.0 + DRAIN_LIMIT_S - 0.01)]
    assert check(event_log, changes).count("drain") == 0
    event_log.arrivals.append(arrival("a", "y", KEYED, 16.0 + DRAIN_LIMIT_S + 0.01))
    assert check(event_log, changes).count("drain") == 1
    # The server became ready again: a proxy notified of that is not held to the older change.
    changes["a"].append(Notification(-1, "a", "ready", 12.0, since_ms=7))
    event_log.notifications.append(Notification(0, "a", "ready", 12.1, since_ms=7))
    assert check(event_log, changes).count("drain") == 0


def test_a_crash_violates_push_and_an_open_attempt_at_the_end_is_not_lost() -> None:
    event_log = EventLog(overload_crashes=[OverloadCrash("a", 3.0)])
    event_log.attempts["x"] = ClientAttempt("x", 0, 0, UNSAFE, "k", 1.0, 99.0, 100.5)
    assert check(event_log).counts() == {"lost": 0, "twice": 0, "drain": 0, "push": 1}
    event_log.attempts["y"] = ClientAttempt("y", 0, 0, UNSAFE, "k", 1.0, 10.0, 11.0)
    assert check(event_log).count("lost") == 1
