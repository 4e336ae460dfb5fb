"""The limits over all client connections: how many are open, how many are idle, and what they hold unread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice

from client_proxy.clock import now_ms
from client_proxy.proxy.client_connection import ClientConnection
from client_proxy.proxy.connection_context import ConnectionState

EVICTION_CANDIDATES = 8  # connections that are tried, to find one that can be ended
CONNECTION_HEADROOM = 32  # connections over the limit that are still accepted, while all others are busy
MAX_PIPELINED_BYTES = 8 * 1024 * 1024  # what all clients together may have sent ahead of its turn


class ConnectionLimits:
    """All client connections, each by its state."""

    def __init__(self, max_connections: int, max_idle: int) -> None:
        self._max_connections = max_connections
        self._max_idle = max_idle
        self.ending = False  # the process ends: each connection is closed with its next answer
        self.connections: dict[ClientConnection, ConnectionState] = {}
        # With the time of entering the state: the first is the oldest.
        self.by_state: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in ConnectionState
        }
        self.pipelined_bytes = 0  # that wait for their turn, on all connections
        self._changed = asyncio.Event()  # a connection has another state, or is closed

    # The connections and their states

    def add(self, connection: ClientConnection) -> None:
        """Count a connection that has been opened."""
        self._enter(connection, connection.state)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        state = self.connections.pop(connection, None)
        if state is not None:
            del self.by_state[state][connection]
            self._changed.set()

    def state_changed(self, connection: ClientConnection) -> None:
        """Take note that the connection's state may be another one now."""
        before, now = self.connections.get(connection), connection.state
        if before is not None and before is not now:
            del self.by_state[before][connection]
            self._enter(connection, now)
            self._changed.set()

    def _enter(self, connection: ClientConnection, state: ConnectionState) -> None:
        self.connections[connection] = state
        self.by_state[state][connection] = now_ms()

    def since_before(self, state: ConnectionState, latest_ms: float) -> list[ClientConnection]:
        """Return the connections that entered this state then, or earlier."""
        return [connection for connection, since_ms in self.by_state[state].items() if since_ms <= latest_ms]

    # How many there may be

    def in_use(self) -> int:
        """Return how many connections are open and not closing."""
        return len(self.connections) - len(self.by_state[ConnectionState.CLOSING])

    def should_close_connections(self) -> bool:
        """Whether the next answer should be its connection's last."""
        return self.ending or self.over_limit() or self.too_many_idle()

    def over_limit(self) -> bool:
        """Whether there are so many that each is closed with its answer.

        Past the limit on descriptors new connections would be dropped with the requests that they carry.
        """
        return self.in_use() > self._max_connections

    def too_many_idle(self) -> bool:
        """Whether so many are idle that each further one is closed with its answer.

        Clients may hold only so many connections: those that ask once and keep theirs would leave the others
        none to ask on.
        """
        return len(self.by_state[ConnectionState.IDLE]) >= self._max_idle

    def enforce(self, new: ClientConnection) -> None:
        """Close connections where the new one makes too many."""
        if (
            self.over_limit()
            and not self._evict_one(new)
            and self.in_use() > self._max_connections + CONNECTION_HEADROOM
        ):
            new.abort()
        # Those that we have ended hold their descriptors until their clients end them too.
        over = len(self.connections) - self._max_connections - CONNECTION_HEADROOM
        for closing in list(islice(self.by_state[ConnectionState.CLOSING], max(0, over))):
            closing.abort()

    def _evict_one(self, new: ClientConnection) -> bool:
        """End one connection, because descriptors run short.

        Those that never sent a request go first, then those that have been idle longest: a connection between
        requests may be closed at any time, but it may carry a good client's next one, and then stays.
        """
        for state in (ConnectionState.AWAITING_REQUEST, ConnectionState.IDLE):
            for oldest in list(islice(self.by_state[state], EVICTION_CANDIDATES)):
                if oldest is not new:
                    oldest.request_timed_out()
                    if oldest.state is not state:
                        return True
        return False

    # What they hold

    def add_pipelined_bytes(self, count: int) -> None:
        """Take note of so many bytes more, or fewer, that wait for their turn."""
        self.pipelined_bytes += count

    def too_many_pipelined_bytes(self) -> bool:
        """Whether all connections together hold too much that waits for its turn."""
        return self.pipelined_bytes > MAX_PIPELINED_BYTES

    async def wait_until_none(self, count: Callable[[], int], timeout_s: float) -> bool:
        """Wait until `count` gives 0. False: it did not in this time."""
        try:
            async with asyncio.timeout(timeout_s):
                while count():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
