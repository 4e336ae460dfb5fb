"""Tests of an instance's own observations: which attempts count, what is reported, and the bounds."""

from __future__ import annotations

from client_proxy.api.events import Outcome
from client_proxy.membership.evidence import ATTEMPTS_PER_SERVER, MAX_SERVERS, LocalObservations
from client_proxy.membership.messages import class_tag, name_tag
from client_proxy.membership.suspicions import ServerSuspicions
from tests.driver import SAFE, UNSAFE
from tests.membership.suspicions_driver import (
    SERVERS,
    deliver_report,
    observation,
    observe,
)


def test_failing_and_accused_servers_are_reported(suspicions: ServerSuspicions) -> None:
    for _ in range(5):
        observe(suspicions, 100.0, "s0", Outcome.OK)
        observe(suspicions, 100.0, "s1", Outcome.RESET)
        observe(suspicions, 100.0, "s2", Outcome.OK)
        observe(suspicions, 100.0, "s3", Outcome.OK)
    assert [report.server_tag for report in suspicions.current_observations(200.0)] == [name_tag("s1")]
    deliver_report(suspicions, 200.0, 9, observation("s2"))
    reports = {report.server_tag: report for report in suspicions.current_observations(300.0)}
    assert set(reports) == {name_tag("s1"), name_tag("s2")}
    assert (
        reports[name_tag("s1")].attempts,
        reports[name_tag("s1")].failed,
        reports[name_tag("s1")].age,
    ) == (5, 5, 2)
    assert (reports[name_tag("s2")].failed, reports[name_tag("s2")].slowness) == (0, 16)
    assert suspicions.current_observations(6000.0) == ()


def test_classes_are_reported_apart_where_a_server_fails_only_one(suspicions: ServerSuspicions) -> None:
    for _ in range(4):
        observe(suspicions, 100.0, "s0", Outcome.OK, SAFE)
        observe(suspicions, 100.0, "s0", Outcome.TIMEOUT, UNSAFE)
        observe(suspicions, 100.0, "s1", Outcome.OK, SAFE)
    reports = {report.class_tag: report for report in suspicions.current_observations(200.0)}
    assert reports[class_tag("unsafe")].unanswered == 4
    assert reports[class_tag("safe")].unanswered == 0


def test_nothing_is_reported_where_most_servers_look_faulty(suspicions: ServerSuspicions) -> None:
    for name in SERVERS[:4]:
        observe(suspicions, 100.0, name, Outcome.TIMEOUT)
    assert suspicions.current_observations(200.0) == ()
    for name in SERVERS[4:9]:
        observe(suspicions, 300.0, name, Outcome.OK)
    assert len(suspicions.current_observations(400.0)) == 4


def test_rejections_and_cancellations_are_no_evidence(suspicions: ServerSuspicions) -> None:
    for outcome in (Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.UNUSABLE):
        observe(suspicions, 100.0, "s0", outcome)
    assert not len(suspicions.local)


def test_observed_servers_and_attempts_are_bounded() -> None:
    local = LocalObservations()
    for sequence in range(5000):
        for _ in range(2):
            local.record(float(sequence), f"x{sequence}", "safe", Outcome.OK, 1.0)
    assert len(local) == MAX_SERVERS
    for sequence in range(200):
        local.record(float(sequence), "y", "safe", Outcome.OK, 1.0)
    assert local.recent_counts(199.0, "y", 1e9).attempts == ATTEMPTS_PER_SERVER
