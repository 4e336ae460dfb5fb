"""Tests of the token bucket."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from client_proxy.token_bucket import TokenBucket


@given(st.lists(st.tuples(st.floats(0, 500), st.floats(0.1, 3)), max_size=60))
def test_bucket_never_permits_more_than_its_rate_and_burst(steps: list[tuple[float, float]]) -> None:
    bucket, now_ms, withdrawn = TokenBucket(10.0, 5.0), 0.0, 0.0
    for wait_ms, cost in steps:
        now_ms += wait_ms
        if bucket.take(now_ms, cost):
            withdrawn += cost
        assert withdrawn <= 5.0 + 10.0 * now_ms / 1000.0 + 1e-6


def test_bucket_returns_the_wait_until_tokens_are_available() -> None:
    bucket = TokenBucket(10.0, 2.0)
    assert bucket.take(0.0)
    assert bucket.take(0.0)
    assert not bucket.take(0.0)
    assert bucket.wait_ms(0.0) == 100.0
    assert bucket.take(100.0)
    assert not bucket.take(199.0)
    # Time that goes backwards, as after a switch between two clocks, adds no tokens.
    assert not bucket.take(50.0)
