"""What one client connection knows of the listener and of the limits over all connections, and its states."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol, TypeVar

from client_proxy.api.settings import Settings
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.stall_detector import StallDetector
from client_proxy.proxy.trace_ids import TraceIds

ConnectionT = TypeVar("ConnectionT", contravariant=True)
"""The kind of connection that is tracked."""


class Phase(Enum):
    """What a connection still does. It only ever goes on to a later phase."""

    OPEN = "open"  # requests are read and answered
    FINISHING = "finishing"  # no further request is read: pending ones are answered, then it ends
    HALF_CLOSED = "half_closed"  # our side is shut: what comes is discarded until the client ends its own
    CLOSED = "closed"


class ConnectionState(Enum):
    """What a connection waits for, as the limits over all connections go by it."""

    AWAITING_REQUEST = "awaiting_request"  # a complete request is due: none, or a part of one, has come
    BUSY = "busy"  # a request is pending
    IDLE = "idle"  # between requests
    WRITE_BLOCKED = "write_blocked"  # its client does not take the answers that are written
    CLOSING = "closing"  # closed, with its last answer perhaps still to be taken


class ConnectionTracker(Protocol[ConnectionT]):
    """The limits over all connections, as far as one connection knows them."""

    def connection_closed(self, connection: ConnectionT) -> None:
        """Forget a connection."""

    def state_changed(self, connection: ConnectionT) -> None:
        """Take note that the connection's state may be another one now."""

    def add_pipelined_bytes(self, count: int) -> None:
        """Take note of so many bytes more, or fewer, that wait for their turn."""

    def too_many_pipelined_bytes(self) -> bool:
        """Whether all connections together hold too much that waits for its turn."""

    def should_close_connections(self) -> bool:
        """Whether the next answer should be its connection's last."""


class ConnectionContext(Protocol[ConnectionT]):
    """The listener, as far as its connections know it."""

    engine: Engine
    settings: Settings
    ready: Callable[[], bool]
    trace_ids: TraceIds
    stall_detector: StallDetector
    gives_up: bool  # the process is about to end: what is not yet under way is rejected

    def connection_opened(self, connection: ConnectionT) -> None:
        """Count a connection, and close one where there are too many."""

    def has_lease(self) -> bool:
        """Whether anything may be decided at this moment."""
