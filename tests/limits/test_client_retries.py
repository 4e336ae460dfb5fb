"""Client retries keep the age of the client's first request."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.limits.client_retries import ClientRetries
from client_proxy.proxy.messages import MAX_BODY_BYTES, ClientRequest
from tests.support.fixed_draws import fixed_draws


def test_a_retry_keeps_the_age_of_the_first_request() -> None:
    retries = ClientRetries(3000.0)
    retries.record_rejection(500.0, "a", 100.0)
    assert retries.first_request_ms(600.0, "b") is None
    assert retries.first_request_ms(600.0, "a") == 100.0
    assert retries.first_request_ms(600.0, "a") is None  # removed by the call before
    retries.record_rejection(700.0, "a", 100.0)
    assert retries.first_request_ms(800.0, "a") == 100.0


def test_two_clients_with_the_same_identity_are_not_confused() -> None:
    retries = ClientRetries(3000.0)
    retries.record_rejection(500.0, "a", 100.0)
    retries.record_rejection(510.0, "a", 400.0)
    assert retries.first_request_ms(600.0, "a") is None
    assert retries.first_request_ms(600.0, "a") == 400.0  # only one client is left that may be meant


def test_a_client_that_does_not_retry_is_forgotten() -> None:
    retries = ClientRetries(3000.0)
    for number in range(5000):
        retries.record_rejection(float(number), number, float(number))
    assert len(retries) == 3000
    assert retries.first_request_ms(4999.0, 1000) is None
    assert retries.first_request_ms(4999.0, 2500) == 2500.0
    retries.record_rejection(9000.0, "last", 9000.0)
    assert len(retries) == 1


@fixed_draws("never_more_than_its_bound_and_never_a_later_age")
@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.booleans(), st.floats(0, 200)), max_size=200))
def test_size_stays_bounded_and_ages_are_those_of_the_latest_rejection(
    steps: list[tuple[int, bool, float]],
) -> None:
    retries, now_ms = ClientRetries(1000.0, max_identities=8), 0.0
    rejected_ms: dict[int, float] = {}
    for identity, is_retry, elapsed_ms in steps:
        now_ms += elapsed_ms
        if is_retry:
            first_ms = retries.first_request_ms(now_ms, identity)
            assert first_ms is None or (first_ms == rejected_ms[identity] and now_ms - first_ms < 1000.0)
        else:
            rejected_ms[identity] = now_ms
            retries.record_rejection(now_ms, identity, now_ms)
        assert len(retries) <= 8


def test_fingerprints_are_short_and_differ_between_requests() -> None:
    def fingerprint(target: bytes, key: bytes, body: bytes) -> bytes:
        return ClientRequest(b"POST", target, [(b"Idempotency-Key", key)], body, 0.0, "extract").fingerprint()

    largest = fingerprint(b"/a/1", b"k", b"x" * MAX_BODY_BYTES)
    assert len(largest) == 16
    assert largest == fingerprint(b"/a/1", b"k", b"x" * MAX_BODY_BYTES)
    others = [(b"/a/2", b"k", b"x"), (b"/a/1", b"l", b"x"), (b"/a/1", b"k", b"y"), (b"/a/1k", b"", b"x")]
    assert len({largest, *(fingerprint(*other) for other in others)}) == 5
