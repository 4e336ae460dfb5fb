"""Limits over all client connections: how many are open or idle, and the memory that they make it hold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice

from client_proxy.clock import now_ms
from client_proxy.proxy.client_connection import ClientConnection
from client_proxy.proxy.connection_context import ConnectionState
from client_proxy.proxy.memory_account import MemoryAccount
from client_proxy.proxy.waiting_clients import WaitingClients

EVICTION_CANDIDATES = 8  # oldest connections of a state that are asked to close when one has to be closed
CONNECTION_HEADROOM = 32  # connections over the limit that are accepted while all others are busy


class ConnectionLimits:
    """All client connections, grouped by state, and the limits on them."""

    def __init__(self, max_connections: int, max_idle: int, account: MemoryAccount) -> None:
        self._max_connections = max_connections
        self._max_idle = max_idle
        self.ending = False  # graceful shutdown: each connection is closed after its next response
        self.connections: dict[ClientConnection, ConnectionState] = {}
        # Connections by state, each with the time in ms at which it entered the state; the oldest is first.
        self.by_state: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in ConnectionState
        }
        self.account = account
        self._waiting: WaitingClients[ClientConnection] = WaitingClients()
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

    # Limits on memory

    def waiting_resized(self, connection: ClientConnection, old_bytes: int, new_bytes: int) -> None:
        """Note how many bytes of a connection wait."""
        self._waiting.resize(connection, old_bytes, new_bytes)

    def holds_most(self, connection: ClientConnection) -> bool:
        """Whether no other connection makes more wait, by a factor of two."""
        return self._waiting.is_in_largest_group(connection.waiting_bytes)

    def enforce_waiting(self) -> None:
        """Turn away what waits of the largest clients while too much waits.

        The newest part may be a small request of a client that sends it at once; the largest are those of
        clients that have stopped in the middle, or have sent much ahead.
        """
        while self.account.too_much_waiting and (largest := self._waiting.largest()) is not None:
            largest.reject_waiting()

    def abort_blocked(self) -> None:
        """Close connections whose clients do not read while too much is held of what has started."""
        while self.account.full and (blocked := self.by_state[ConnectionState.WRITE_BLOCKED]):
            next(iter(blocked)).abort()

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
