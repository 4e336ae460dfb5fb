"""The endpoints, and the pool of connections to them."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections import Counter
from collections.abc import Callable, Set

from client_proxy.address import Address
from client_proxy.api.events import Outcome
from client_proxy.api.settings import Limits
from client_proxy.clock import now_ms
from client_proxy.proxy.connection_slots import ConnectionSlots
from client_proxy.proxy.dialling import Dialler, OpenSocket, open_socket
from client_proxy.proxy.load_report import LoadReportReader
from client_proxy.proxy.memory_account import MemoryAccount
from client_proxy.proxy.messages import ClientRequest
from client_proxy.proxy.read_scheduler import ReadScheduler
from client_proxy.proxy.upstream_attempt import AttemptResult, UpstreamAttempt, always_allowed
from client_proxy.proxy.upstream_connection import UpstreamConnection, UpstreamEndpoint
from client_proxy.routing.idle_timeout import IdleTimeout

log = logging.getLogger(__name__)

SWEEP_S = 1.0  # longest time between two sweeps of idle connections
MIN_SWEEP_S = 0.05  # shortest time between two sweeps
SWEEPS_PER_IDLE_TIMEOUT = 4
# Endpoints close connections after the configured idle time, and reset a request that arrives just then. So
# the pool closes them earlier, after this fraction of that time.
IDLE_TIMEOUT_FRACTION = 0.9
# The drain grace begins when discovery writes the list, which may be earlier than the proxy reads it.
NOTIFICATION_MARGIN_MS = 100.0


def sweep_interval_s(idle_timeout_ms: float) -> float:
    """Return the seconds until the next sweep for a given idle timeout."""
    return min(SWEEP_S, max(MIN_SWEEP_S, idle_timeout_ms / (1000.0 * SWEEPS_PER_IDLE_TIMEOUT)))


class UpstreamPool:
    """All endpoints and the connections to them."""

    def __init__(
        self,
        limits: Limits,
        report_fields: tuple[str, ...],
        drain_grace_ms: float,
        connection_limit: int,
        make_socket: OpenSocket = open_socket,
        idle_timeout: IdleTimeout | None = None,
        memory_account: MemoryAccount | None = None,
    ) -> None:
        """Create a pool without endpoints.

        Args:
            limits: The settings' limits on connections.
            report_fields: Names of the load report's fields, in the order that the balancer expects.
            drain_grace_ms: Time after an endpoint was listed as draining in which requests may still start.
            connection_limit: Maximum number of connections, including dials in progress.
            make_socket: Makes the sockets; replaced on an in-memory network.
            idle_timeout: The operators' limits on idle and new connections; None: no limits.
            memory_account: Counts the memory of incomplete responses; None: it is not limited.
        """
        self.memory_account = memory_account or MemoryAccount(sys.maxsize)
        self.read_scheduler = ReadScheduler()
        self.load_reports = LoadReportReader(report_fields)
        self._drain_grace_ms = drain_grace_ms
        self._connection_limit = connection_limit
        self.slots = ConnectionSlots(connection_limit)
        self._dialler = Dialler(self.slots, make_socket)
        self.apply_limits(limits, idle_timeout)
        self.endpoints: dict[str, UpstreamEndpoint] = {}
        self._listed_at: Counter[Address] = Counter()  # number of these endpoints by address
        self._idle: dict[UpstreamConnection, None] = {}  # of all endpoints, the longest idle first
        self._sweep: asyncio.TimerHandle | None = None

    def apply_limits(self, limits: Limits, idle_timeout: IdleTimeout | None) -> None:
        """Apply other limits, also to connections that are already idle."""
        self._idle_timeout = idle_timeout
        self._dialler.connect_timeout_s = limits.connect_timeout_ms / 1000.0
        idle_ms = limits.connection_idle_timeout_ms
        self._max_idle_ms = IDLE_TIMEOUT_FRACTION * idle_ms if idle_ms is not None else float("inf")
        max_connections = idle_timeout.max_connections if idle_timeout is not None else None
        self.slots.limit = (
            self._connection_limit
            if max_connections is None
            else min(self._connection_limit, max_connections)
        )

    @property
    def open_connections(self) -> int:
        """Number of connections to endpoints, including dials in progress."""
        return self.slots.in_use

    # The endpoint list

    def update_endpoint(self, name: str, address: Address, started_ms: float | None, ready: bool) -> None:
        """Add or update a listed endpoint; `ready` is false while it drains."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.address != address or endpoint.started_ms != started_ms:
            if endpoint is not None:
                endpoint.gone = True
                self._mark_unavailable(endpoint)
                self._remove(endpoint)
            endpoint = self.endpoints[name] = UpstreamEndpoint(name, address, started_ms)
            self._listed_at[address] += 1
        if ready:
            endpoint.unavailable_since_ms = None
        else:
            self._mark_unavailable(endpoint)

    def retain_endpoints(self, keep: Set[str], leaving: Set[str] = frozenset()) -> None:
        """Mark all endpoints not in `keep` as unavailable, and remove them.

        Those in `leaving` stay for the drain grace, for requests that were accepted under an earlier list.
        """
        for name in [name for name in self.endpoints if name not in keep]:
            endpoint = self.endpoints[name]
            self._mark_unavailable(endpoint)
            if name not in leaving:
                self._remove(endpoint)

    def remove_gone(self, name: str) -> None:
        """Remove an endpoint whose process has ended. Attempts that wait for a connection are not sent."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.gone = True
            self._mark_unavailable(endpoint)
            self._remove(endpoint)

    def _remove(self, endpoint: UpstreamEndpoint) -> None:
        del self.endpoints[endpoint.name]
        self._listed_at[endpoint.address] -= 1
        if not self._listed_at[endpoint.address]:
            del self._listed_at[endpoint.address]

    def still_accepts(self, name: str, address: Address) -> bool:
        """Whether a request accepted under an earlier list may still be sent to this endpoint.

        The name may belong to another endpoint by now, or the drain grace may be over.
        """
        endpoint = self.endpoints.get(name)
        return endpoint is not None and endpoint.address == address and not self._past_drain_grace(endpoint)

    def _mark_unavailable(self, endpoint: UpstreamEndpoint) -> None:
        if endpoint.unavailable_since_ms is None:
            endpoint.unavailable_since_ms = now_ms()
        self._close_idle_of(endpoint)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an endpoint."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._close_idle_of(endpoint)

    def _close_idle_of(self, endpoint: UpstreamEndpoint) -> None:
        idle, endpoint.idle = endpoint.idle, []
        for connection in idle:
            self._idle.pop(connection, None)
            connection.abort()

    # Attempts

    def start_attempt(
        self,
        request: ClientRequest,
        name: str,
        timeout_ms: float,
        done: Callable[[AttemptResult], None],
        still_allowed: Callable[[], bool] = always_allowed,
    ) -> UpstreamAttempt | None:
        """Start an attempt; returns None if the endpoint is unknown.

        `still_allowed` is called now, and again after a dial, right before the first byte is written.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return None
        attempt = UpstreamAttempt(request, timeout_ms, done, still_allowed)
        if not self._may_write(endpoint, attempt):
            attempt.end(Outcome.NOT_SENT)
            return attempt
        connection = self._acquire_idle(endpoint)
        if connection is not None:
            connection.send(attempt)
        else:
            attempt.dial = asyncio.get_running_loop().create_task(self._dial(endpoint, attempt))
        return attempt

    def _may_write(self, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt) -> bool:
        """Whether the first byte of an attempt may be written now.

        A dial or a stall may lie between the decision and the first byte. By then the drain grace may be
        over, the deduplication window may have passed, or the client may have left.
        """
        return not self._past_drain_grace(endpoint) and attempt.still_allowed()

    def _past_drain_grace(self, endpoint: UpstreamEndpoint) -> bool:
        """Whether a request that starts now may reach the endpoint after its drain grace.

        The process of an endpoint that is gone has no grace: another one may have its address by now. One
        that a list leaves out may still drain, unless another endpoint is listed at its address.
        """
        if endpoint.gone:
            return True
        if self.endpoints.get(endpoint.name) is not endpoint and endpoint.address in self._listed_at:
            return True
        since_ms = endpoint.unavailable_since_ms
        return since_ms is not None and now_ms() > since_ms + self._drain_grace_ms - NOTIFICATION_MARGIN_MS

    def _acquire_idle(self, endpoint: UpstreamEndpoint) -> UpstreamConnection | None:
        oldest_ms = now_ms() - self._current_idle_timeout_ms()
        while endpoint.idle:
            connection = endpoint.idle.pop()
            self._idle.pop(connection, None)
            if connection.idle_since_ms > oldest_ms and connection.reusable():
                return connection
            connection.abort()
        return None

    async def _dial(self, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt) -> None:
        """Connect, and send the request if the attempt is still allowed."""
        if self.slots.full and not self.slots.release_expected and not self._evict_longest_idle():
            attempt.end(Outcome.CONNECT_FAILED)
            return
        if self._idle_timeout is not None and not self._idle_timeout.may_dial(now_ms()):
            self._log_idle_timeout_changes(self._idle_timeout)
            attempt.end(Outcome.NOT_SENT)  # the proxy's own limit, no evidence about the endpoint
            return
        if not await self._dialler.acquire_slot():
            attempt.end(Outcome.CONNECT_FAILED)
            return
        connection = await self._dialler.connect(self, endpoint, attempt)
        if connection is None:
            return
        if attempt.ended or connection.lost:
            attempt.end(Outcome.CONNECT_FAILED)
            connection.abort()
        elif not self._may_write(endpoint, attempt):
            attempt.end(Outcome.NOT_SENT)
            connection.abort()
        else:
            connection.send(attempt)

    # Idle connections

    def _current_idle_timeout_ms(self) -> float:
        """Return the current idle timeout of connections in ms."""
        if self._idle_timeout is None:
            return self._max_idle_ms
        timeout_ms = self._idle_timeout.idle_timeout_ms(now_ms())
        self._log_idle_timeout_changes(self._idle_timeout)
        return min(self._max_idle_ms, timeout_ms)

    def connection_rejected(self) -> None:
        """Record that an endpoint rejected the first request on a connection and closed it."""
        if self._idle_timeout is not None:
            self._idle_timeout.connection_rejected(now_ms())
            self._log_idle_timeout_changes(self._idle_timeout)

    @staticmethod
    def _log_idle_timeout_changes(idle_timeout: IdleTimeout) -> None:
        for text in idle_timeout.take_log_lines():
            log.info("%s", text)

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Keep a connection that has received its response for the next request, if it may stay idle."""
        endpoint = connection.endpoint
        if endpoint.unavailable_since_ms is not None or endpoint.gone:
            connection.abort()
            return
        timeout_ms = self._current_idle_timeout_ms()
        if timeout_ms <= 0:  # endpoints are short of connections, so each serves one request
            connection.abort()
            return
        connection.idle_since_ms = now_ms()
        endpoint.idle.append(connection)
        self._idle[connection] = None
        if self._sweep is None:
            self._sweep_later(timeout_ms)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Release the slot of a closed connection, and remove it from the idle ones."""
        connection.release()
        if connection in self._idle:
            self._remove_idle(connection)

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        del self._idle[connection]
        connection.endpoint.idle.remove(connection)

    def _sweep_later(self, timeout_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(sweep_interval_s(timeout_ms), self._close_expired)

    def _close_expired(self) -> None:
        """Close connections whose idle timeout is over; schedule another sweep while any is idle."""
        self._sweep = None
        timeout_ms = self._current_idle_timeout_ms()
        oldest_ms = now_ms() - timeout_ms
        any_left = False
        for endpoint in self.endpoints.values():
            if not endpoint.idle:
                continue
            if endpoint.idle[0].idle_since_ms <= oldest_ms:  # the endpoint's longest idle connection
                expired = [
                    idle_connection
                    for idle_connection in endpoint.idle
                    if idle_connection.idle_since_ms <= oldest_ms
                ]
                endpoint.idle = [
                    idle_connection
                    for idle_connection in endpoint.idle
                    if idle_connection.idle_since_ms > oldest_ms
                ]
                for connection in expired:
                    self._idle.pop(connection, None)
                    connection.abort()
            any_left = any_left or bool(endpoint.idle)
        if any_left:
            self._sweep_later(timeout_ms)

    def _evict_longest_idle(self) -> bool:
        """Close the longest idle connection to free a slot. Returns False if none is idle."""
        if not self._idle:
            return False
        longest = next(iter(self._idle))
        self._remove_idle(longest)
        longest.abort()
        return True
