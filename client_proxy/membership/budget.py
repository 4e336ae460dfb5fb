"""Rate limits on received datagrams and the queue of datagrams to send.

`SourceRateLimiter` holds a token bucket for each source address. `SendQueue` holds what waits to be sent, by
priority; its caller applies the limits on datagrams and bytes per second.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable
from enum import IntEnum
from typing import Generic, TypeVar

from client_proxy.token_bucket import TokenBucket

T = TypeVar("T")


class SourceRateLimiter:
    """A token bucket for each source, with a bound on the number of sources.

    When there are too many, the source that has been inactive longest is dropped. Source addresses can be
    forged, and a new source starts with a full bucket; therefore the caller must first apply a limit over all
    sources together.
    """

    def __init__(self, per_s: float, burst: float, max_sources: int) -> None:
        self._per_s, self._burst, self._max_sources = per_s, burst, max_sources
        self._buckets: OrderedDict[Hashable, TokenBucket] = OrderedDict()

    def __len__(self) -> int:
        return len(self._buckets)

    def take(self, now_ms: float, source: Hashable) -> bool:
        """Take a token from the source's bucket; returns false if it has none."""
        bucket = self._buckets.get(source)
        if bucket is None:
            bucket = self._buckets[source] = TokenBucket(self._per_s, self._burst)
            if len(self._buckets) > self._max_sources:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(source)
        return bucket.take(now_ms)


class SendPriority(IntEnum):
    """The order of sending when the send budget is exhausted; the lowest number is sent first."""

    RESPONSE = 0  # comes first, since healthy instances without acks would be declared dead
    PROBE = 1
    BROADCAST = 2  # records about members and observations of servers
    ANTI_ENTROPY = 3


class SendQueue(Generic[T]):
    """A bounded priority queue; when it is full, the oldest item of the lowest priority is dropped."""

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items  # over all priorities together
        self._queues: dict[SendPriority, deque[T]] = {priority: deque() for priority in SendPriority}
        self.dropped = 0

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def put(self, priority: SendPriority, item: T) -> None:
        """Append an item to the queue of its priority."""
        self._queues[priority].append(item)
        if len(self) > self._max_items:
            lowest = next(candidate for candidate in reversed(SendPriority) if self._queues[candidate])
            self._queues[lowest].popleft()  # drops the oldest item, which is the most outdated one
            self.dropped += 1

    def peek(self) -> T | None:
        """Return the item that `pop` would return, or None if the queue is empty."""
        for queue in self._queues.values():
            if queue:
                return queue[0]
        return None

    def pop(self) -> T:
        """Remove and return the oldest item of the highest priority.

        Raises:
            IndexError: the queue is empty.
        """
        for queue in self._queues.values():
            if queue:
                return queue.popleft()
        raise IndexError("pop from an empty send queue")
