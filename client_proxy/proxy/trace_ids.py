"""Tracks the trace ids in use, so that no two requests reach endpoints under one id."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from client_proxy.api.settings import RequestClass
from client_proxy.balancer.request import DEFAULT_DEADLINE_MS
from client_proxy.clock import now_ms
from client_proxy.proxy.errors import BadRequestError

MAX_STORED_BYTES = 32  # longer ids are stored as a digest, as each is kept for seconds
DIGEST_BYTES = MAX_STORED_BYTES + 1  # so no digest equals an id that is stored as it is
LIFETIME_DEADLINES = 2  # longest deadlines for which an id stays in use


def lifetime_ms(classes: Sequence[RequestClass]) -> float:
    """Return for how long an id stays in use: twice the longest deadline of the classes."""
    return LIFETIME_DEADLINES * max((cls.deadline_ms for cls in classes), default=DEFAULT_DEADLINE_MS)


def stored_form(trace_id: bytes) -> bytes:
    """Return the id itself, or the digest of a long one."""
    if len(trace_id) <= MAX_STORED_BYTES:
        return trace_id
    return blake2b(trace_id, digest_size=DIGEST_BYTES).digest()


class TraceIds:
    """Trace ids of recent requests.

    Endpoints would drop a request under another's id as a duplicate.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.lifetime_ms = lifetime_ms(classes)
        self._expiry_ms: dict[
            bytes, float
        ] = {}  # expiry time in ms by stored form of the id, in the order of registration

    def __len__(self) -> int:
        return len(self._expiry_ms)

    def adopt(self, classes: Sequence[RequestClass]) -> None:
        """Switch to other classes. The lifetime never shrinks, as earlier clients may still be waiting."""
        self.lifetime_ms = max(self.lifetime_ms, lifetime_ms(classes))

    def register(self, trace_id: bytes) -> None:
        """Register an id. Raises BadRequestError if it is already in use."""
        self.expire()
        stored = stored_form(trace_id)
        if stored in self._expiry_ms:
            raise BadRequestError(409, "X-Trace-Id is in use")
        self._expiry_ms[stored] = now_ms() + self.lifetime_ms

    def expire(self) -> None:
        """Remove the ids whose lifetime is over."""
        time_ms = now_ms()
        while self._expiry_ms:
            oldest = next(iter(self._expiry_ms))
            if self._expiry_ms[oldest] > time_ms:
                return
            del self._expiry_ms[oldest]
