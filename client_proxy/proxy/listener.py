"""Accepts client connections, times out those that are slow, and ends them all in a graceful shutdown."""

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
from client_proxy.proxy.stall_detector import StallDetector
from client_proxy.proxy.trace_ids import TraceIds

log = logging.getLogger(__name__)

BACKLOG = 1024
# From a connection's opening, or the first byte of a further request, until the request is complete; and for
# a last answer to be taken. Clients send at once: one that has sent nothing, or half, by then is cut off.
REQUEST_TIMEOUT_MS = 2000.0
SWEEP_S = 0.25
CLOSE_TIMEOUT_S = 0.5  # at the end of the process: for clients to end their sides once all is answered
TURNS_TO_READ = 3  # of the loop, for it to accept and read what the system holds


class Listener:
    """The listening socket and all client connections."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        ready: Callable[[], bool],
        max_connections: int,
        max_idle: int,
    ) -> None:
        """Make a listener that does not listen yet.

        Args:
            engine: Decides what comes.
            settings: Settings of the policy by which requests are read.
            ready: Whether any endpoint can be used, for `/ready`.
            max_connections: Past this number connections are closed with their answers.
            max_idle: So many may be idle at once.
        """
        self.engine = engine
        self.settings = settings
        self.ready = ready
        self.limits = ConnectionLimits(max_connections, max_idle)
        self.trace_ids = TraceIds(settings.classes)
        self.stall_detector = StallDetector()
        self.gives_up = False
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> dict[ClientConnection, ConnectionState]:
        """All connections, those that close included."""
        return self.limits.connections

    def adopt(self, engine: Engine, settings: Settings, ready: Callable[[], bool]) -> None:
        """Serve by another policy from now on; requests that were accepted end where they were accepted."""
        self.engine, self.settings, self.ready = engine, settings, ready
        self.trace_ids.adopt(settings.classes)

    async def listen(self, host: str, port: int) -> int:
        """Accept connections from now on. Returns the port, which the system picks for 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self, self.limits), host, port, backlog=BACKLOG
        )
        self.stall_detector.start()
        listening: int = self._server.sockets[0].getsockname()[1]
        return listening

    def connection_opened(self, connection: ClientConnection) -> None:
        """Count a connection, and close one where there are too many."""
        self.limits.add(connection)
        if self._sweeper is None:
            self._sweep_later()
        self.limits.enforce(connection)

    def has_lease(self) -> bool:
        """Whether anything may be decided at this moment."""
        return self.engine.has_lease is None or self.engine.has_lease()

    # Timeouts

    def _sweep_later(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """End what has taken too long."""
        self._sweeper = None
        self.trace_ids.expire()
        # After a stop what clients sent and took meanwhile is not known yet: the next sweep judges them.
        if not self.stall_detector.recovering():
            self._end_overdue()
        if self.connections or self.trace_ids:
            self._sweep_later()

    def _end_overdue(self) -> None:
        latest_ms = now_ms() - REQUEST_TIMEOUT_MS
        for connection in self.limits.since_before(ConnectionState.AWAITING_REQUEST, latest_ms):
            connection.request_timed_out()
        for connection in self.limits.since_before(ConnectionState.WRITE_BLOCKED, latest_ms):
            connection.abort()
        for connection in self.limits.since_before(ConnectionState.CLOSING, latest_ms):
            connection.abort()

    # Graceful shutdown

    async def shut_down(
        self, accept_grace_s: float, finish_timeout_s: float, give_up: Callable[[], None] | None = None
    ) -> None:
        """Serve on while connections still come, then finish what is pending, and no more.

        Args:
            accept_grace_s: For so long connections still come.
            finish_timeout_s: After this time more, what is pending is answered as it stands.
            give_up: Answers it, where other engines hold some of it.
        """
        await asyncio.sleep(accept_grace_s)
        self.limits.ending = True
        # What has come by now is in the system's hands, perhaps not yet in ours: a connection not yet
        # accepted or a request not yet read would be lost with its socket. So let the loop turn first.
        for _ in range(TURNS_TO_READ):
            await asyncio.sleep(0)
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_idle()
        if not await self.limits.wait_until_none(self.limits.in_use, finish_timeout_s):
            # With the process everything that is unanswered would be lost. A client that always has a request
            # ahead of its turn keeps its connection open up to here, and the next one would begin now.
            log.warning("%d connections still open at the end", self.limits.in_use())
            self.gives_up = True
            (give_up or self.engine.give_up)()
            for connection in list(self.connections):
                connection.request_timed_out()
        await self.limits.wait_until_none(lambda: len(self.connections), CLOSE_TIMEOUT_S)
        self.stall_detector.stop()
