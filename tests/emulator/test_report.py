"""The digest of an event log, which is stored and must not change with names in the code."""

from __future__ import annotations

import pytest

from client_proxy.emulator.event_log import Arrival, AttemptOutcome, ClientAttempt, EventLog, ServerOutcome
from client_proxy.emulator.report import event_log_digest
from client_proxy.emulator.simulation import Simulation
from tests.support.days import simulate_scenario

DIGESTS = {
    None: "c3f3a48f11982fdd",
    AttemptOutcome.SERVED: "80a205e794bbbb84",
    AttemptOutcome.REJECTED: "61dffc5c7f11554f",
    AttemptOutcome.FAILED: "ee72a6ac3a2d05c9",
    AttemptOutcome.LOST: "429bea69253c5b23",
    AttemptOutcome.PROXY_GONE: "a6d0aae643def113",
}
DIGEST_OF_ALL_SERVER_OUTCOMES = "ebcb88d867b33ede"


def digest_of(event_log: EventLog) -> str:
    return event_log_digest(event_log, start_s=100.0)


@pytest.mark.parametrize("attempt_outcome", DIGESTS)
def test_the_digest_of_an_attempt_is_fixed_for_each_outcome(attempt_outcome: AttemptOutcome | None) -> None:
    attempt = ClientAttempt(
        "p0-1", 0, 1, "lookup", "", 5.0, outcome=attempt_outcome, ended_s=100.25, status=200
    )
    assert digest_of(EventLog(attempts={attempt.attempt_id: attempt})) == DIGESTS[attempt_outcome]


def test_every_attempt_outcome_has_a_fixed_digest() -> None:
    assert set(DIGESTS) == {None, *AttemptOutcome}


def test_the_digest_of_arrivals_with_all_outcomes_is_fixed() -> None:
    arrivals = [
        Arrival("east-1", 1, 0, f"p0-{number}", "lookup", "", 100.0, 100.5, outcome, 100.75, 101.0)
        for number, outcome in enumerate(ServerOutcome)
    ]
    assert digest_of(EventLog(arrivals=arrivals)) == DIGEST_OF_ALL_SERVER_OUTCOMES


def test_a_sampler_that_fails_is_an_error_of_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    # The run must await its cancelled sampler. Otherwise a sampler that failed would leave an incomplete time
    # line in the report and no error.
    async def fail_to_sample(self: Simulation, progress: object) -> None:
        raise RuntimeError("no sample")

    monkeypatch.setattr(Simulation, "_sample", fail_to_sample)
    with pytest.raises(RuntimeError, match="no sample"):
        simulate_scenario(length_s=1.0)
