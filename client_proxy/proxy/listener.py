"""Accepts client connections, times out slow ones, and closes all of them in a graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from client_proxy.api.settings import Settings
from client_proxy.clock import now_ms
from client_proxy.proxy.client_connection import ClientConnection
from client_proxy.proxy.connection_context import ConnectionState
from client_proxy.proxy.connection_limits import ConnectionLimits
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.memory_account import MemoryAccount
from client_proxy.proxy.read_scheduler import ReadScheduler
from client_proxy.proxy.stall_detector import StallDetector
from client_proxy.proxy.trace_ids import TraceIds

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel queues until they are accepted
# Time from the opening of a connection, or the first byte of a further request, until the request is
# complete; also the time for a client to read its last response. Clients send requests at once, so a
# connection without a complete request by then is closed.
REQUEST_TIMEOUT_MS = 2000.0
SWEEP_S = 0.25  # s between two checks for timed-out connections
CLOSE_TIMEOUT_S = 0.5  # s for clients to close their sides in a shutdown, once all requests are answered
READ_BUFFER_BYTES = 256 * 1024  # read of one connection in one iteration of the loop
TURNS_TO_READ = 3  # loop iterations that accept and read what the kernel has queued


class Listener:
    """The listening socket and all client connections."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        ready: Callable[[], bool],
        max_connections: int,
        max_idle: int,
        account: MemoryAccount,
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            engine: Accepts the requests.
            settings: Settings of the current policy, by which requests are parsed.
            ready: Whether any endpoint is usable; the answer to `/ready`.
            max_connections: Above this number, connections are closed after their responses.
            max_idle: Limit on idle connections.
            account: Counts the memory that peers make the process hold.
        """
        self.engine = engine
        self.settings = settings
        self.ready = ready
        self.limits = ConnectionLimits(max_connections, max_idle, account)
        self.trace_ids = TraceIds(settings.classes, account.max_trace_ids)
        self.stall_detector = StallDetector()
        self.read_scheduler = ReadScheduler()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.rejects_new_requests = False
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> dict[ClientConnection, ConnectionState]:
        """All connections, including closing ones."""
        return self.limits.connections

    def adopt(self, engine: Engine, settings: Settings, ready: Callable[[], bool]) -> None:
        """Switch new requests to another policy; pending ones finish at the engine that accepted them."""
        self.engine, self.settings, self.ready = engine, settings, ready
        self.trace_ids.adopt(settings.classes)

    async def listen(self, host: str, port: int) -> int:
        """Start accepting connections. Returns the port, which the kernel chooses if `port` is 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self, self.limits), host, port, backlog=BACKLOG
        )
        self.stall_detector.start()
        listening: int = self._server.sockets[0].getsockname()[1]
        return listening

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register a connection, and close one if there are too many."""
        self.limits.add(connection)
        if self._sweeper is None:
            self._sweep_later()
        self.limits.enforce(connection)

    def has_lease(self) -> bool:
        """Whether this instance holds the lease that it needs to decide; true where none is needed."""
        return self.engine.has_lease is None or self.engine.has_lease()

    # Timeouts

    def _sweep_later(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """Expire trace ids, and close connections that have timed out."""
        self._sweeper = None
        self.trace_ids.expire()
        # After a stall, bytes that arrived meanwhile may be unread; the next sweep checks the timeouts.
        if not self.stall_detector.recovering():
            self._end_overdue()
        if self.connections or self.trace_ids:
            self._sweep_later()

    def _end_overdue(self) -> None:
        latest_ms = now_ms() - REQUEST_TIMEOUT_MS
        for connection in self.limits.entered_before(ConnectionState.AWAITING_REQUEST, latest_ms):
            connection.request_timed_out()
        for connection in self.limits.entered_before(ConnectionState.WRITE_BLOCKED, latest_ms):
            connection.abort()
        for connection in self.limits.entered_before(ConnectionState.CLOSING, latest_ms):
            connection.abort()

    # Graceful shutdown

    async def shut_down(
        self, accept_grace_s: float, finish_timeout_s: float, fail_pending: Callable[[], None] | None = None
    ) -> None:
        """Serve while clients may still connect, then stop accepting, and finish pending requests.

        Args:
            accept_grace_s: For how long new connections are still accepted.
            finish_timeout_s: Time for pending requests after that; then they are answered with an error.
            fail_pending: Answers the pending requests of all engines; None: the current one only.
        """
        await asyncio.sleep(accept_grace_s)
        self.limits.ending = True
        # A connection not yet accepted, or a request not yet read, would be lost with its socket. A few loop
        # iterations let the loop accept and read them first.
        for _ in range(TURNS_TO_READ):
            await asyncio.sleep(0)
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_idle()
        if not await self.limits.wait_until_none(self.limits.in_use, finish_timeout_s):
            # Unanswered requests would be lost with the process. A client that always has a pipelined request
            # keeps its connection open until here; its next request must not start now.
            log.warning("%d connections still open at the end of the shutdown timeout", self.limits.in_use())
            self.rejects_new_requests = True
            (fail_pending or self.engine.fail_pending)()
            for connection in list(self.connections):
                connection.request_timed_out()
        await self.limits.wait_until_none(lambda: len(self.connections), CLOSE_TIMEOUT_S)
        self.stall_detector.stop()
