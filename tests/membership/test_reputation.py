"""Tests of the trust in observers: how it falls and recovers, and the bound on rated observers."""

from __future__ import annotations

from client_proxy.api.events import Outcome
from client_proxy.membership.messages import ObservationReport
from client_proxy.membership.observation import FRESH_MS, MAX_OBSERVERS
from client_proxy.membership.reputation import MAX_RATED_OBSERVERS, MIN_TRUST, Reputation
from client_proxy.membership.suspicions import ServerSuspicions
from tests.membership.suspicions_driver import (
    OTHER_ZONE,
    OWN_ZONE,
    deliver_report,
    make_suspicions,
    observation,
    observe,
)


def test_contradicted_observer_loses_trust_and_regains_it(suspicions: ServerSuspicions) -> None:
    for step in range(12):
        now_ms = 1000.0 * step
        deliver_report(suspicions, now_ms, 1, observation("s0"), sequence=step + 1)
        deliver_report(suspicions, now_ms, 2, observation("s0", failed=0), sequence=step + 1)
        for _ in range(3):
            observe(suspicions, now_ms + 10.0, "s0", Outcome.OK)
    trust = suspicions.reputation.trust
    assert trust(12_000.0, 1) < 0.15
    assert trust(12_000.0, 2) > 0.85
    assert trust(12_000.0, 1) >= MIN_TRUST
    assert trust(600_000.0, 1) > 0.9


def test_contradicted_observer_of_another_zone_loses_less_trust() -> None:
    suspicions, now_ms = make_suspicions(), 0.0
    deliver_report(suspicions, now_ms, 1, observation("s0"), zone=OWN_ZONE)
    deliver_report(suspicions, now_ms, 2, observation("s0"), zone=OTHER_ZONE)
    for _ in range(3):
        observe(suspicions, 10.0, "s0", Outcome.OK)
    assert suspicions.reputation.trust(10.0, 1) < suspicions.reputation.trust(10.0, 2) < 0.6


def test_equivocating_observer_is_distrusted_for_long(suspicions: ServerSuspicions) -> None:
    first, second = (
        ObservationReport(1, 1, 5, (observation("s0"),), b""),
        ObservationReport(1, 1, 5, (observation("s0", failed=0),), b""),
    )
    suspicions.receive_report(0.0, first, OWN_ZONE)
    assert suspicions.observations.contradicts(second)
    assert not suspicions.observations.contradicts(first)
    assert not suspicions.observations.is_newer(second)
    suspicions.receive_equivocation(1.0, 1)
    suspicions.receive_equivocation(2.0, 1)
    assert suspicions.take_log_lines() == ["instance 1 sends different reports to different members"]
    assert suspicions.reputation.trust(500_000.0, 1) == MIN_TRUST


def test_number_of_observers_is_bounded() -> None:
    suspicions, reputation = make_suspicions(), Reputation()
    for observer in range(5000):
        deliver_report(suspicions, 0.0, observer, observation("s0"))
        reputation.contradict(0.0, observer, True)
        reputation.mark_equivocation(0.0, observer)
    assert len(suspicions.observations) == MAX_OBSERVERS
    assert len(reputation) == 2 * MAX_RATED_OBSERVERS
    suspicions.observations.expire(20 * FRESH_MS)
    assert not len(suspicions.observations)
