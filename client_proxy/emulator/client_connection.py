"""A client's HTTP/1.1 connection to its proxy, which carries one request at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol

import httptools

from client_proxy.emulator.event_log import ClientAttempt


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response; `retry_after_s` is 0 without a Retry-After header."""

    status: int
    body: bytes
    retry_after_s: float
    at_s: float


class ConnectionPool(Protocol):
    """The parts of a connection's pool that the connection uses."""

    loop: asyncio.AbstractEventLoop

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""


class ClientConnection(asyncio.Protocol):
    """One connection from a client to its proxy.

    Attributes:
        open: whether the connection is established and has not ended.
        answer_begun: whether a part of the response to the last request has arrived.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self.open = False
        self.answer_begun = False
        self._pool = pool
        self._parser = httptools.HttpResponseParser(self)
        self._transport: Any = None
        self._waiter: asyncio.Future[Response | None] | None = None
        self._last_attempt: ClientAttempt | None = None
        self._keep_alive = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    # asyncio's callbacks

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport
        self.open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from its pool and end the request that waits for a response."""
        self.open = False
        self._pool.remove_connection(self)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Parse a response; data that no request waits for counts as an extra answer to the last one."""
        if self._waiter is None or self._waiter.done():
            self._record_extra_answer()
            self.close()
            return
        self.answer_begun = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._headers, self._body = [], []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Give the response to the waiting request; skip 1xx responses."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        if self._waiter is None or self._waiter.done():
            self._record_extra_answer()
            return
        try:
            retry_after_s = float(dict(self._headers).get(b"retry-after", b"0"))
        except ValueError:
            retry_after_s = 0.0
        self._keep_alive = self._parser.should_keep_alive()
        response = Response(status, b"".join(self._body), retry_after_s, self._pool.loop.time())
        self._waiter.set_result(response)

    def _record_extra_answer(self) -> None:
        if self._last_attempt is not None:
            self._last_attempt.extra_answer = True

    # Requests

    def send_request(self, attempt: ClientAttempt, request: bytes) -> asyncio.Future[Response | None]:
        """Send a request; the future yields the response, or None if the connection ended before it."""
        self._waiter = self._pool.loop.create_future()
        self._last_attempt, self.answer_begun = attempt, False
        self._transport.write(request)
        return self._waiter

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on this connection."""
        return self.open and self._keep_alive

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()
