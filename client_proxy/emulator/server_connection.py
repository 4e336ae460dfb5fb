"""A proxy's connection to an emulated server: HTTP, the network's delay, and partitions.

The delay between zones is added here, for real sockets and sockets in memory alike: the server reads each
byte one delay after it arrived on the socket, and writes each response one delay after it was made.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

import httptools

from client_proxy.emulator.event_log import Arrival
from client_proxy.emulator.listeners import reset_connection
from client_proxy.emulator.process_model import ServerRequest
from client_proxy.emulator.scenario import NetworkSettings

MAX_BODY_BYTES = 64 * 1024
TIMER_TOLERANCE_S = 1e-6
"""Seconds by which a real event loop's timer may fire early."""
CORRUPT_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\x00\x00record of nobody\r\n\r\n"
"""A response that no HTTP parser accepts, for faults of mode `spoilt`."""


def encode_response(status: int, body: bytes = b"", *headers: bytes) -> bytes:
    """Return an HTTP response; `headers` are whole header lines without their line ends."""
    lines = b"".join(header + b"\r\n" for header in headers)
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, lines, len(body), body)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request; `first_byte_s` is the time on the loop's clock when its first byte was read."""

    url: bytes
    headers: dict[bytes, bytes]
    first_byte_s: float


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """The caller data of a `ServerRequest`: its connection and its record in the event log."""

    connection: ServerConnection
    arrival: Arrival


@dataclass(frozen=True, slots=True)
class DelayedBytes:
    """Bytes that the server may read from `due_s` on, a time on the loop's clock."""

    due_s: float
    data: bytes


class ConnectionOwner(Protocol):
    """What a connection needs from its server."""

    loop: asyncio.AbstractEventLoop
    network_settings: NetworkSettings

    @property
    def now_s(self) -> float:
        """The time on the loop's clock, in seconds."""

    @property
    def frozen(self) -> bool:
        """Whether the server's process is frozen."""

    @property
    def partitioned_from(self) -> set[int]:
        """The numbers of the proxies that a partition separates from the server."""

    def one_way_delay_s(self, proxy: int) -> float:
        """Return the network's delay in one direction between the server and a proxy, in seconds."""

    def connection_opened(self, connection: ServerConnection) -> None:
        """Handle a new connection."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Handle the end of a connection."""

    def request_received(self, connection: ServerConnection, request: ReceivedRequest) -> None:
        """Handle a complete request."""


class ServerConnection(asyncio.Protocol):
    """One connection from a proxy to an emulated server, with one request at a time.

    Attributes:
        proxy: the number of the proxy at its other end.
        handshake_work_ms: the work of the handshake, in milliseconds; added to the first request's work.
        over_limit: whether the server already had as many connections as it accepts.
        server_request: its request that runs or is queued in the process model; None without one.
        lost: whether the connection has ended.
    """

    def __init__(self, server: ConnectionOwner, proxy: int) -> None:
        self.proxy = proxy
        self.handshake_work_ms = 0.0
        self.over_limit = False
        self.server_request: ServerRequest | None = None
        self.lost = False
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: Any = None
        self._delay_s = server.one_way_delay_s(proxy)
        self._received: deque[DelayedBytes] = deque()
        self._unsent: deque[bytes | None] = deque()  # None: close the connection
        self._first_byte_s: float | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body_bytes = 0
        self._url = b""
        self._ready_s = 0.0  # when the handshake ends, on the loop's clock

    # asyncio's callbacks

    def connection_made(self, transport: Any) -> None:
        """Start the handshake."""
        self._transport = transport
        one_way_trips = 2 * self._server.network_settings.handshake_round_trips
        self._ready_s = self._server.now_s + one_way_trips * self._delay_s
        self._server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Discard data that has not been read or sent, and notify the server."""
        self.lost = True
        self._received.clear()
        self._unsent.clear()
        self._server.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Read the data after the network's delay."""
        due_s = max(self._server.now_s + self._delay_s, self._ready_s)
        self._received.append(DelayedBytes(due_s, data))
        if due_s <= self._server.now_s:
            self.read_pending()
        else:
            self._server.loop.call_at(due_s, self.read_pending)

    # State of the server and the network

    @property
    def partitioned(self) -> bool:
        """Whether a partition separates it from its proxy.

        Bytes of both directions then wait for the end of the partition, as with TCP.
        """
        return self.proxy in self._server.partitioned_from

    def read_pending(self) -> None:
        """Parse received bytes that are due; nothing is parsed during a freeze or a partition."""
        while self._received and not self._server.frozen and not self.lost and not self.partitioned:
            wait_s = self._received[0].due_s - self._server.now_s
            if wait_s > TIMER_TOLERANCE_S:
                self._server.loop.call_later(wait_s, self.read_pending)
                return
            data = self._received.popleft().data
            if self._first_byte_s is None:
                self._first_byte_s = self._server.now_s
            try:
                self._parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self.end()
                return

    def heal_partition(self) -> None:
        """Send and read the data that waited for the end of a partition."""
        while self._unsent and not self.lost:
            self._write_next()
        self.read_pending()

    def pause(self) -> None:
        """Stop reading from the socket."""
        if self._transport is not None and not self.lost:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read from the socket again."""
        if self._transport is not None and not self.lost:
            self._transport.resume_reading()
            self.read_pending()

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._headers, self._body_bytes, self._url = [], 0, b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Count the body's bytes.

        Raises:
            ValueError: the body is too large.
        """
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            raise ValueError("request body too large")

    def on_message_complete(self) -> None:
        """Pass the complete request to the server."""
        first_byte_s = self._first_byte_s if self._first_byte_s is not None else self._server.now_s
        self._first_byte_s = None
        request = ReceivedRequest(self._url, dict(self._headers), first_byte_s)
        self._server.request_received(self, request)

    # Answers

    def answer(self, response: bytes, last: bool = False) -> None:
        """Send a response after the network's delay; if it is the last one, close the connection after it."""
        if self.lost:
            return
        self._unsent.append(response)
        if last:
            self._unsent.append(None)
        if self._delay_s:
            self._server.loop.call_later(self._delay_s, self._write_next)
            if last:
                self._server.loop.call_later(self._delay_s, self._write_next)
        else:
            while self._unsent and not self.partitioned:
                self._write_next()

    def _write_next(self) -> None:
        if not self._unsent or self._transport is None or self.partitioned:
            return
        data = self._unsent.popleft()
        if data is None:
            self._transport.close()
        else:
            self._transport.write(data)

    def end(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_connection(self._transport)
