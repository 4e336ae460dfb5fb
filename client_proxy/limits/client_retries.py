"""Recognizes client retries, so that a retry keeps the age of its client's first request.

Seen alone, a client's retry is a new request with its whole latency objective ahead of it. But the time that
the client is willing to wait began with its first request: an answer after that is of no use, and the
endpoint's work is wasted. So each rejected request is remembered by its identity until its client can no
longer be waiting, and a request that is marked as a retry takes over the age of the rejected one.

Memory is bounded by the number of identities and by time. Times are in milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(slots=True)
class RejectedRequests:
    """Rejected requests with the same identity."""

    first_ms: float  # time of the client's first request, as given with the latest rejection
    until_ms: float  # time at which the entry expires
    count: int = 1  # rejections not yet matched to a retry: clients that may retry


class ClientRetries:
    """Rejected requests by identity.

    Args:
        memory_ms: how long a rejected request is remembered.
        max_identities: how many identities are kept at once; beyond it the oldest is dropped.
    """

    def __init__(self, memory_ms: float, max_identities: int = 8192) -> None:
        self._memory_ms, self._max_identities = memory_ms, max_identities
        # By identity, in the order of the latest rejection.
        self._rejected: OrderedDict[Hashable, RejectedRequests] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rejected)

    def record_rejection(self, now_ms: float, identity: Hashable, first_ms: float) -> None:
        """Remember a request that has just been rejected, because its client may retry.

        Args:
            now_ms: the time.
            identity: equal for a request and its retries.
            first_ms: when the client sent its first request.
        """
        self._remove_expired(now_ms)
        rejected = self._rejected.pop(identity, None)
        count = 1 if rejected is None else rejected.count + 1
        self._rejected[identity] = RejectedRequests(first_ms, now_ms + self._memory_ms, count)
        if len(self._rejected) > self._max_identities:
            self._rejected.popitem(last=False)

    def first_request_ms(self, now_ms: float, identity: Hashable) -> float | None:
        """Return when the client of this retry sent its first request, or None if that is not known.

        The entry is removed; another rejection adds it again. Two clients that send the same request have the
        same identity, and one could be rejected for the age of the other. So None is returned while more than
        one client may be meant.
        """
        self._remove_expired(now_ms)
        rejected = self._rejected.get(identity)
        if rejected is None:
            return None
        if rejected.count > 1:
            rejected.count -= 1
            return None
        del self._rejected[identity]
        return rejected.first_ms

    def _remove_expired(self, now_ms: float) -> None:
        while self._rejected:
            identity, oldest = next(iter(self._rejected.items()))
            if oldest.until_ms > now_ms:
                return
            del self._rejected[identity]
