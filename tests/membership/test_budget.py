"""Tests of the rate limits by source and of the send queue."""

from __future__ import annotations

from client_proxy.membership.budget import SendPriority, SendQueue, SourceRateLimiter


def test_number_of_sources_is_bounded() -> None:
    sources = SourceRateLimiter(1.0, 2.0, 64)
    for number in range(5000):
        assert sources.take(0.0, number)
    assert len(sources) == 64
    assert sources.take(0.0, 4999)
    assert not sources.take(0.0, 4999)


def test_queue_takes_by_priority_and_drops_the_lowest() -> None:
    queue: SendQueue[str] = SendQueue(3)
    for priority, item in (
        (SendPriority.ANTI_ENTROPY, "r1"),
        (SendPriority.BROADCAST, "n"),
        (SendPriority.ANTI_ENTROPY, "r2"),
        (SendPriority.RESPONSE, "a"),
    ):
        queue.put(priority, item)
    assert queue.dropped == 1
    assert len(queue) == 3
    taken = []
    while queue.peek() is not None:
        taken.append(queue.pop())
    assert taken == ["a", "n", "r2"]  # the older anti-entropy item was dropped
