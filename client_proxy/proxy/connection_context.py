"""The states of a client connection, and the interfaces through which it uses listener and limits."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol, TypeVar

from client_proxy.api.settings import Settings
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.memory_account import MemoryAccount
from client_proxy.proxy.read_scheduler import ReadScheduler
from client_proxy.proxy.stall_detector import StallDetector
from client_proxy.proxy.trace_ids import TraceIds

ConnectionT = TypeVar("ConnectionT", contravariant=True)
"""The type of the tracked connections."""


class Phase(Enum):
    """The phases of a connection's life, in order; a connection never returns to an earlier one."""

    OPEN = "open"  # requests are read and answered
    FINISHING = "finishing"  # no further request is read; pending ones are answered, then it closes
    HALF_CLOSED = "half_closed"  # write side shut down; bytes are discarded until the client closes
    CLOSED = "closed"


class ConnectionState(Enum):
    """What a connection is waiting for; `ConnectionLimits` and the timeouts go by it."""

    AWAITING_REQUEST = "awaiting_request"  # none, or a part, of the next request has arrived
    BUSY = "busy"  # a request is pending
    IDLE = "idle"  # between requests
    WRITE_BLOCKED = "write_blocked"  # the client does not read its responses
    CLOSING = "closing"  # closing; the client may not have read the last response yet


class ConnectionTracker(Protocol[ConnectionT]):
    """The part of `ConnectionLimits` that a connection uses."""

    account: MemoryAccount

    def connection_closed(self, connection: ConnectionT) -> None:
        """Forget a connection."""

    def state_changed(self, connection: ConnectionT) -> None:
        """Update the record of a connection whose state may have changed."""

    def waiting_resized(self, connection: ConnectionT, old_bytes: int, new_bytes: int) -> None:
        """Note how many bytes of a connection wait."""

    def holds_most(self, connection: ConnectionT) -> bool:
        """Whether no other connection makes more wait, by a factor of two."""

    def enforce_waiting(self) -> None:
        """Turn away what waits of the largest clients while too much waits."""

    def abort_blocked(self) -> None:
        """Close connections whose clients do not read while too much is held of what has started."""

    def should_close_connections(self) -> bool:
        """Whether connections should be closed after their next response."""


class ConnectionContext(Protocol[ConnectionT]):
    """The part of the listener that its connections use."""

    engine: Engine
    settings: Settings
    ready: Callable[[], bool]
    trace_ids: TraceIds
    stall_detector: StallDetector
    read_scheduler: ReadScheduler
    read_buffer: memoryview  # into which the bytes of each connection are read, one after the other
    rejects_new_requests: bool  # the process is about to exit: requests not yet started are rejected

    def connection_opened(self, connection: ConnectionT) -> None:
        """Register a connection, and close one if there are too many."""

    def has_lease(self) -> bool:
        """Whether this instance holds the lease that it needs to decide; true where none is needed."""
