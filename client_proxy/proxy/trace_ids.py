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
CONNECTION_SHARE = 0.25  # of the ids that are kept, for those of one connection
LIFETIME_DEADLINES = 2  # longest deadlines for which an id stays in use


def lifetime_ms(classes: Sequence[RequestClass]) -> float:
    """Return for how long an id stays in use: twice the longest deadline of the classes."""
    return LIFETIME_DEADLINES * max((cls.deadline_ms for cls in classes), default=DEFAULT_DEADLINE_MS)


def stored_form(trace_id: bytes) -> bytes:
    """Return the id itself, or the digest of a long one."""
    if len(trace_id) <= MAX_STORED_BYTES:
        return trace_id
    return blake2b(trace_id, digest_size=DIGEST_BYTES).digest()


class TraceIdQuota:
    """The number of ids that one client connection has in use."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class TraceIds:
    """Trace ids of recent requests.

    Endpoints would drop a request under another's id as a duplicate.
    """

    def __init__(self, classes: Sequence[RequestClass], max_ids: int) -> None:
        """Start without ids.

        Args:
            classes: The request classes.
            max_ids: Most ids that are kept. One that is dropped early could run twice, so beyond this
                number requests are rejected.
        """
        self._max_ids = max_ids
        self.lifetime_ms = lifetime_ms(classes)
        # Expiry time in ms and connection, by stored form of the id, in the order of registration.
        self._in_use: dict[bytes, tuple[float, TraceIdQuota]] = {}

    def __len__(self) -> int:
        return len(self._in_use)

    def adopt(self, classes: Sequence[RequestClass]) -> None:
        """Switch to other classes. The lifetime never shrinks, as earlier clients may still be waiting."""
        self.lifetime_ms = max(self.lifetime_ms, lifetime_ms(classes))

    def register(self, trace_id: bytes, quota: TraceIdQuota) -> None:
        """Register an id of a connection.

        Raises:
            BadRequestError: The id is in use, or too many are: of all connections, or of this one.
        """
        self.expire()
        stored = stored_form(trace_id)
        if stored in self._in_use:
            raise BadRequestError(409, "X-Trace-Id is in use")
        if len(self._in_use) >= self._max_ids or quota.count >= CONNECTION_SHARE * self._max_ids:
            raise BadRequestError(503, "too many requests with new ids")
        self._in_use[stored] = now_ms() + self.lifetime_ms, quota
        quota.count += 1

    def expire(self) -> None:
        """Remove the ids whose lifetime is over."""
        time_ms = now_ms()
        while self._in_use:
            oldest = next(iter(self._in_use))
            expiry_ms, quota = self._in_use[oldest]
            if expiry_ms > time_ms:
                return
            del self._in_use[oldest]
            quota.count -= 1
