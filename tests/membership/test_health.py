"""Tests of an instance's own health score, and of the observations that it makes unreliable."""

from __future__ import annotations

from client_proxy.api.events import Outcome
from client_proxy.membership.health import SETTLE_AFTER_BLOCK_MS, LocalHealth
from client_proxy.membership.suspicions import ServerSuspicions
from tests.driver import SAFE, endpoint
from tests.membership.suspicions_driver import (
    observe,
)


def test_blocked_loop_is_no_evidence_against_servers(suspicions: ServerSuspicions) -> None:
    suspicions.health.timer_fired(1000.0, 3000.0)  # a timer fired two seconds late
    observe(suspicions, 3001.0, "s0", Outcome.TIMEOUT)
    assert not len(suspicions.local)
    assert suspicions.health.is_degraded
    for _ in range(8):
        suspicions.health.probe_acknowledged()
    late = 3000.0 + SETTLE_AFTER_BLOCK_MS + 50.0
    suspicions.attempt_ended(late, endpoint("s0"), Outcome.TIMEOUT, 9.0, False, None, 60.0, SAFE)
    assert not len(suspicions.local)  # the attempt was sent shortly after the event loop was blocked
    observe(suspicions, late + 100.0, "s0", Outcome.TIMEOUT)
    assert len(suspicions.local) == 1


def test_health_degrades_when_cut_off_and_recovers() -> None:
    health = LocalHealth()
    health.probe_failed(nacks=2, helpers=3)
    assert health.score == 0  # the helpers got no answer from the probed member either
    for _ in range(20):
        health.probe_failed(nacks=0, helpers=3)
    assert health.is_degraded
    assert health.timeout_factor == 9.0
    for _ in range(8):
        health.probe_acknowledged()
    assert health.score == 0
    assert health.timeout_factor == 1.0
