"""The digest of an event log is a stored figure: it stays the same when names in the code change."""

from __future__ import annotations

import pytest

from client_proxy.emulator.event_log import Arrival, AttemptOutcome, ClientAttempt, EventLog, ServerOutcome
from client_proxy.emulator.report import event_log_digest
from client_proxy.emulator.simulation import Simulation
from tests.support.days import played

DIGESTS = {
    None: "c3f3a48f11982fdd",
    AttemptOutcome.SERVED: "80a205e794bbbb84",
    AttemptOutcome.REJECTED: "61dffc5c7f11554f",
    AttemptOutcome.FAILED: "ee72a6ac3a2d05c9",
    AttemptOutcome.LOST: "429bea69253c5b23",
    AttemptOutcome.PROXY_GONE: "a6d0aae643def113",
}
DIGEST_OF_ALL_FATES = "ebcb88d867b33ede"


def digest_of(ledger: EventLog) -> str:
    return event_log_digest(ledger, start_s=100.0)


@pytest.mark.parametrize("ending", DIGESTS)
def test_the_digest_of_a_request_by_its_ending_is_fixed(ending: AttemptOutcome | None) -> None:
    request = ClientAttempt("p0-1", 0, 1, "lookup", "", 5.0, outcome=ending, ended_s=100.25, status=200)
    assert digest_of(EventLog(attempts={request.attempt_id: request})) == DIGESTS[ending]


def test_every_ending_has_a_fixed_digest() -> None:
    assert set(DIGESTS) == {None, *AttemptOutcome}


def test_the_digest_of_arrivals_by_their_fate_is_fixed() -> None:
    arrivals = [
        Arrival("east-1", 1, 0, f"p0-{number}", "lookup", "", 100.0, 100.5, fate, 100.75, 101.0)
        for number, fate in enumerate(ServerOutcome)
    ]
    assert digest_of(EventLog(arrivals=arrivals)) == DIGEST_OF_ALL_FATES


def test_a_sampler_that_fails_is_an_error_of_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    # It was cancelled and not awaited: the report had half a time line, and nobody was told.
    async def failing(self: Simulation, progress: object) -> None:
        raise RuntimeError("no sample")

    monkeypatch.setattr(Simulation, "_sample", failing)
    with pytest.raises(RuntimeError, match="no sample"):
        played(length_s=1.0)
