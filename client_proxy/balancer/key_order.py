"""Keeps requests with the same key in order, for the classes that require it."""

from __future__ import annotations

from dataclasses import dataclass, field

from client_proxy.api.events import Outcome
from client_proxy.balancer.request import Request

# Outcomes after which the endpoint may still be executing the attempt.
MAY_STILL_EXECUTE = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


@dataclass(slots=True)
class KeyQueue:
    """The unfinished requests of one key, in the order of their arrival."""

    requests: dict[int, Request] = field(default_factory=dict)
    quiet_until_ms: float = float("-inf")  # no first attempt is sent before this time


class KeyOrder:
    """Sends the requests of one key one at a time, in the order of their arrival.

    Otherwise two requests of one key could be executed concurrently or out of order. An endpoint may still be
    executing an attempt after a time-out, reset or cancellation, so no next request of the key is sent for
    `quiet_ms` after one. One slow request delays all others of its key.

    Args:
        quiet_ms: pause of a key after an attempt that may still be executing.
    """

    def __init__(self, quiet_ms: float) -> None:
        self._quiet_ms = quiet_ms
        self._queues: dict[str, KeyQueue] = {}

    def join(self, request: Request) -> None:
        """Add a request that has arrived to its key's queue, if its class requires order."""
        if request.key is not None:
            self._queues.setdefault(request.key, KeyQueue()).requests[request.id] = request

    def is_next(self, request: Request, now_ms: float) -> bool:
        """Whether a request is first in its queue and its key not quiet; one with attempts keeps its turn."""
        if request.key is None or request.attempts:
            return True
        queue = self._queues[request.key]
        return now_ms >= queue.quiet_until_ms and next(iter(queue.requests)) == request.id

    def attempt_ended(self, request: Request, outcome: Outcome, now_ms: float) -> None:
        """Start the key's quiet time after an attempt that may still be executing."""
        if request.key is not None and outcome in MAY_STILL_EXECUTE:
            queue = self._queues[request.key]
            queue.quiet_until_ms = max(queue.quiet_until_ms, now_ms + self._quiet_ms)

    def leave(self, key: str, request: Request, now_ms: float) -> float:
        """Remove a finished request; returns how long its key stays quiet, in ms (0 or less: it is not)."""
        queue = self._queues[key]
        del queue.requests[request.id]
        return queue.quiet_until_ms - now_ms

    def next_waiting(self, key: str, now_ms: float) -> Request | None:
        """The first request of a key that is not quiet, if any; an empty, not quiet queue is removed."""
        queue = self._queues.get(key)
        if queue is None or now_ms < queue.quiet_until_ms:
            return None
        if not queue.requests:
            del self._queues[key]
            return None
        return next(iter(queue.requests.values()))
