"""Counts the memory that peers make the process hold, by kind, and derives its limits from `memory_mb`.

What is counted are bytes as the process pays for them, with the objects around them. What waits and what is
being served have a share each, so that no amount of waiting requests keeps others from being served.
"""

from __future__ import annotations

from enum import IntEnum

MIB = 1024 * 1024
# Memory of the program, its connections and the endpoint list, which nothing else may use.
RESERVED_MB = 40.0
# Resident memory for each counted byte: freed memory is reused only in part.
RESIDENT_PER_COUNTED = 3.0
MIN_LIMIT_BYTES = 4 * MIB
WAITING_SHARE = 0.5  # of the limit, for requests that have not started
TRACE_ID_SHARE = 0.25  # of the limit, for ids of requests that may still be running
TRACE_ID_BYTES = 256  # an id, its expiry time and connection, and their place in a dictionary

ENDPOINT_BYTES = 4096  # a listed endpoint, with its statistics
ENDPOINT_SHARE = 0.2  # of the memory of the process, for listed endpoints
MIN_ENDPOINTS = 4096  # which the reserved memory holds


class HeldKind(IntEnum):
    """What is held."""

    UNPARSED = 0  # bytes of clients that are not parsed yet
    UNFINISHED = 1  # parsed parts of incomplete requests
    PIPELINED = 2  # complete requests that have not started
    IN_PROGRESS = 3  # requests that are being served
    RECEIVING = 4  # incomplete responses of endpoints
    UNSENT = 5  # responses that clients have not read yet


LAST_WAITING_KIND = HeldKind.PIPELINED  # it and the ones before it are of requests that have not started


def held_limit_bytes(memory_mb: float) -> int:
    """Return how many counted bytes fit into the memory of the process, in MB as the platform states it."""
    return max(MIN_LIMIT_BYTES, int((memory_mb - RESERVED_MB) * MIB / RESIDENT_PER_COUNTED))


def max_endpoints(memory_mb: float) -> int:
    """Return how many endpoints may be listed, by the memory of the process in MB."""
    return max(MIN_ENDPOINTS, int(ENDPOINT_SHARE * memory_mb * MIB / ENDPOINT_BYTES))


class MemoryAccount:
    """All bytes that peers make the process hold.

    Attributes:
        limit_bytes: Most bytes of all kinds together; may be changed at any time.
        total_bytes: Bytes of all kinds.
        waiting_bytes: Bytes of requests that have not started.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.waiting_bytes = 0
        self._by_kind = [0] * len(HeldKind)

    def held(self, kind: HeldKind) -> int:
        """Return the bytes of one kind."""
        return self._by_kind[kind]

    def add(self, kind: HeldKind, byte_count: int) -> None:
        """Add to the bytes of a kind; a negative count subtracts."""
        self._by_kind[kind] += byte_count
        self.total_bytes += byte_count
        if kind <= LAST_WAITING_KIND:
            self.waiting_bytes += byte_count

    @property
    def full(self) -> bool:
        """Whether no further request may start: what has started takes more than its share."""
        return self.total_bytes - self.waiting_bytes > (1 - WAITING_SHARE) * self.limit_bytes

    @property
    def too_much_waiting(self) -> bool:
        """Whether requests that have not started take more than their share."""
        return self.waiting_bytes > WAITING_SHARE * self.limit_bytes

    @property
    def max_trace_ids(self) -> int:
        """How many ids of requests may be kept."""
        return int(TRACE_ID_SHARE * self.limit_bytes / TRACE_ID_BYTES)


class HeldBytes:
    """The bytes of one kind that one peer makes the process hold."""

    __slots__ = ("_account", "_kind", "byte_count")

    def __init__(self, account: MemoryAccount, kind: HeldKind) -> None:
        self._account = account
        self._kind = kind
        self.byte_count = 0

    def set(self, byte_count: int) -> None:
        """Change the number of bytes."""
        if byte_count != self.byte_count:
            self._account.add(self._kind, byte_count - self.byte_count)
            self.byte_count = byte_count
