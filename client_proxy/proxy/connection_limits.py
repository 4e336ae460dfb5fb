"""Limits over all client connections: how many are open or idle, and the memory of waiting requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice

from client_proxy.clock import now_ms
from client_proxy.proxy.client_connection import ClientConnection
from client_proxy.proxy.connection_context import ConnectionState

EVICTION_CANDIDATES = 8  # oldest connections of a state that are asked to close when one has to be closed
CONNECTION_HEADROOM = 32  # connections over the limit that are accepted while all others are busy
MAX_PIPELINED_BYTES = 8 * 1024 * 1024  # pipelined bytes of all connections
MAX_UNFINISHED_BYTES = 8 * 1024 * 1024  # bytes of the unfinished requests of all connections


class ConnectionLimits:
    """All client connections, grouped by state, and the limits on them."""

    def __init__(self, max_connections: int, max_idle: int) -> None:
        self._max_connections = max_connections
        self._max_idle = max_idle
        self.ending = False  # graceful shutdown: each connection is closed after its next response
        self.connections: dict[ClientConnection, ConnectionState] = {}
        # Connections by state, each with the time in ms at which it entered the state; the oldest is first.
        self.by_state: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in ConnectionState
        }
        # Over all connections: memory of complete requests not started yet and of bytes not parsed yet.
        self.pipelined_bytes = 0
        self.unfinished_bytes = 0  # over all connections: memory of incomplete requests
        self._changed = asyncio.Event()  # set when a connection changes its state or closes

    # The connections and their states

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        self._enter(connection, connection.state)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a connection."""
        state = self.connections.pop(connection, None)
        if state is not None:
            del self.by_state[state][connection]
            self._changed.set()

    def state_changed(self, connection: ClientConnection) -> None:
        """Update the record of a connection whose state may have changed."""
        old_state, new_state = self.connections.get(connection), connection.state
        if old_state is not None and old_state is not new_state:
            del self.by_state[old_state][connection]
            self._enter(connection, new_state)
            self._changed.set()

    def _enter(self, connection: ClientConnection, state: ConnectionState) -> None:
        self.connections[connection] = state
        self.by_state[state][connection] = now_ms()

    def entered_before(self, state: ConnectionState, latest_ms: float) -> list[ClientConnection]:
        """Return the connections that are in this state since `latest_ms` or earlier."""
        return [connection for connection, since_ms in self.by_state[state].items() if since_ms <= latest_ms]

    # Limits on the number of connections

    def in_use(self) -> int:
        """Return how many connections are open and not closing."""
        return len(self.connections) - len(self.by_state[ConnectionState.CLOSING])

    def should_close_connections(self) -> bool:
        """Whether connections should be closed after their next response."""
        return self.ending or self.over_limit() or self.too_many_idle()

    def over_limit(self) -> bool:
        """Whether so many connections are open that each is closed after its next response.

        Once the descriptors run out, new connections would be dropped together with their requests.
        """
        return self.in_use() > self._max_connections

    def too_many_idle(self) -> bool:
        """Whether so many connections are idle that a further one is closed after its response.

        A client process may hold a limited number of connections. Without this limit, connections that were
        used once and kept open would leave none for further requests.
        """
        return len(self.by_state[ConnectionState.IDLE]) >= self._max_idle

    def enforce(self, new_connection: ClientConnection) -> None:
        """Close connections if the new one exceeds a limit."""
        if (
            self.over_limit()
            and not self._evict_one(new_connection)
            and self.in_use() > self._max_connections + CONNECTION_HEADROOM
        ):
            new_connection.abort()
        # A half-closed connection keeps its descriptor until its client closes too.
        excess = len(self.connections) - self._max_connections - CONNECTION_HEADROOM
        for closing in list(islice(self.by_state[ConnectionState.CLOSING], max(0, excess))):
            closing.abort()

    def _evict_one(self, new_connection: ClientConnection) -> bool:
        """Close one connection to free a descriptor; return whether one was closed.

        Connections that never sent a request go first, then the longest idle: HTTP allows closing a
        connection between requests. One whose next request has already arrived stays open.
        """
        for state in (ConnectionState.AWAITING_REQUEST, ConnectionState.IDLE):
            for oldest in list(islice(self.by_state[state], EVICTION_CANDIDATES)):
                if oldest is not new_connection:
                    oldest.request_timed_out()
                    if oldest.state is not state:
                        return True
        return False

    # Limits on the memory of requests that have not started

    def add_pipelined_bytes(self, count: int) -> None:
        """Add to the pipelined bytes of all connections; a negative count subtracts."""
        self.pipelined_bytes += count

    def too_many_pipelined_bytes(self) -> bool:
        """Whether the pipelined bytes of all connections exceed their limit."""
        return self.pipelined_bytes > MAX_PIPELINED_BYTES

    def add_unfinished_bytes(self, count: int) -> None:
        """Add to the bytes of the unfinished requests of all connections; a negative count subtracts."""
        self.unfinished_bytes += count

    def enforce_unfinished_bytes(self) -> None:
        """Turn away the largest unfinished requests while all of them take more memory than their limit.

        The newest one may be a small request of a client that sends it at once; the largest are those of
        clients that have stopped in the middle.
        """
        while self.unfinished_bytes > MAX_UNFINISHED_BYTES:
            max(self.connections, key=lambda connection: connection.unfinished_bytes).reject_unfinished()

    async def wait_until_none(self, count: Callable[[], int], timeout_s: float) -> bool:
        """Wait until `count` returns 0. Returns False if the timeout expires first."""
        try:
            async with asyncio.timeout(timeout_s):
                while count():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
