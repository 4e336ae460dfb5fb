"""One connection to an endpoint: sends one request at a time, parses its response, and is idle between."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from client_proxy.address import Address
from client_proxy.api.events import Outcome
from client_proxy.proxy.connection_slots import ConnectionSlots
from client_proxy.proxy.errors import MessageTooLargeError
from client_proxy.proxy.load_report import LoadReportReader
from client_proxy.proxy.memory_account import HeldBytes, HeldKind, MemoryAccount
from client_proxy.proxy.message_buffer import MessageBuffer
from client_proxy.proxy.messages import MAX_BODY_BYTES, UpstreamResponse
from client_proxy.proxy.read_scheduler import ReadScheduler
from client_proxy.proxy.socket_state import was_reset
from client_proxy.proxy.upstream_attempt import UpstreamAttempt

# Most bytes of a response's head, interim responses included, and of its trailer.
MAX_HEADER_BYTES = 32 * 1024
PARSE_SLICE_BYTES = 1024  # received bytes that are parsed before other connections may get their turn
LONG_MESSAGE_BYTES = 4096  # unparsed bytes from which on other connections go first
MAX_UNPARSED_BYTES = 512 * 1024  # more than the largest response in chunks of one byte
FRAMING_NAMES = frozenset((b"content-length", b"transfer-encoding"))
FRAMING_NAME_SIZES = frozenset(map(len, FRAMING_NAMES))


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """An endpoint at one address with one start time; if either changes, a new object replaces it."""

    name: str
    address: Address
    started_ms: float | None
    idle: list[UpstreamConnection] = field(default_factory=list)  # ordered by last use, oldest first
    unavailable_since_ms: float | None = None  # when it was first listed as draining or missing
    gone: bool = False  # its process has ended: it is not listed any more, was restarted or has moved


class ConnectionOwner(Protocol):
    """The part of the pool that its connections use."""

    slots: ConnectionSlots
    load_reports: LoadReportReader
    memory_account: MemoryAccount
    read_scheduler: ReadScheduler

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Keep a connection that has received its response for the next request."""

    def connection_rejected(self) -> None:
        """Record that an endpoint rejected a connection."""

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Release the slot of a closed connection, and remove it from the idle ones."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint: one request at a time, idle in between."""

    def __init__(self, pool: ConnectionOwner, endpoint: UpstreamEndpoint, sock: socket.socket) -> None:
        self._pool = pool
        self.endpoint = endpoint
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self.attempt: UpstreamAttempt | None = None
        self.idle_since_ms = 0.0
        self.lost = False
        self._unparsed = bytearray()  # received
        self._stream_ended = False  # behind the unparsed bytes
        self._has_served = False  # it has received a response
        self._holds_slot = True
        self._release_announced = False  # the release of its slot was announced
        self._receiving_bytes = HeldBytes(pool.memory_account, HeldKind.RECEIVING)
        self._reset_response()

    def release(self) -> None:
        """Release the connection slot; later calls do nothing.

        A dial that is cancelled while its transport is created ends twice: in the dial's cleanup, and when
        the transport closes. Releasing twice would make the pool count one open descriptor too few forever.
        """
        if self._holds_slot:
            self._holds_slot = False
            self._pool.slots.release(self._release_announced)

    def _reset_response(self) -> None:
        self._message = MessageBuffer(MAX_HEADER_BYTES)
        self._complete = False
        self._keep_alive = False
        self._unparsed.clear()
        if self._receiving_bytes.byte_count:
            self._receiving_bytes.set(0)

    @property
    def held_bytes(self) -> int:
        """Memory in bytes of the response that is being received; an upper estimate."""
        return self._message.held_bytes

    # Called by the pool

    def send(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt.

        The first write goes directly to the socket, not to the transport's buffer: if the kernel accepts no
        byte and reports an error, the endpoint certainly received none, so the attempt did not run.
        """
        self.attempt = attempt
        attempt.connection = self
        encoded = attempt.encode_request()
        try:
            sent = self._sock.send(encoded)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            attempt.end(Outcome.CONNECT_FAILED)
            self.abort()
            return
        attempt.may_have_reached_endpoint = True
        if sent < len(encoded) and self._transport is not None:
            self._transport.write(encoded[sent:])

    def reusable(self) -> bool:
        """Whether the connection is usable: no end of stream, reset or unexpected byte is waiting."""
        if self.lost:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def abort(self) -> None:
        """Close the connection at once; the loop frees its descriptor one or two iterations later."""
        self.lost = True
        if self._transport is not None:
            if self._holds_slot and not self._release_announced:
                self._release_announced = True
                self._pool.slots.announce_release()
            self._transport.abort()

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the established connection."""
        # A cast, not a check: the transports of uvloop do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt in progress, if any, and leave the pool."""
        self.lost = True
        self._pool.read_scheduler.forget(self)
        self._pool.connection_closed(self)
        while self.parse_slice():
            pass  # what came before the end may be a whole response
        self._unparsed.clear()
        attempt = self.attempt
        if attempt is not None:
            attempt.end(Outcome.RESET if attempt.may_have_reached_endpoint else Outcome.CONNECT_FAILED)
        # Parser and connection refer to each other: only a garbage collection would free a partial response.
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()

    def eof_received(self) -> bool:
        """Take note that no more bytes follow. Returns whether the connection stays open for now."""
        self._stream_ended = True
        if self._unparsed:
            return True
        self._complete_at_end()
        return False

    def _complete_at_end(self) -> None:
        """Complete a response that ends with its connection, if the stream has ended in order.

        A body of no stated length ends there (RFC 9112, 6.3). A reset is no end, and neither is an end of the
        stream before a stated length; `connection_lost` reports both.
        """
        attempt = self.attempt
        if attempt is not None and self._message.ends_with_stream and not was_reset(self._sock):
            self._response_complete(attempt)
        else:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response, now or in a later iteration of the loop."""
        if self.attempt is None:
            self.abort()  # unexpected bytes would be parsed as the next response
            return
        self._unparsed += data
        self._pool.read_scheduler.submit(self)

    # Called by the scheduler

    def parse_slice(self) -> bool:
        """Parse a part of what has been received; end the attempt once the response is complete or malformed.

        Returns whether there is more to parse.
        """
        attempt = self.attempt
        if attempt is None or not self._unparsed:
            return False
        data = bytes(self._unparsed[:PARSE_SLICE_BYTES])
        del self._unparsed[:PARSE_SLICE_BYTES]
        well_formed = self._parse(data)
        if self._complete:
            # Bytes after a complete response make the connection unusable, not the response.
            self._keep_alive = self._keep_alive and well_formed and not self._unparsed
            self._response_complete(attempt)
        elif not well_formed:
            self._response_malformed()
        elif self._unparsed:
            return True
        else:
            self._receiving_bytes.set(self.held_bytes)
            if self._stream_ended:
                self._complete_at_end()
        return False

    def parsing_deferred(self) -> None:
        """Count the bytes that wait to be parsed, of which no response has more than a limit."""
        self._receiving_bytes.set(self.held_bytes + len(self._unparsed))
        if len(self._unparsed) > MAX_UNPARSED_BYTES:
            self._response_malformed()

    def in_long_message(self) -> bool:
        """Whether the response is longer than usual ones."""
        return len(self._unparsed) > LONG_MESSAGE_BYTES

    def _parse(self, data: bytes) -> bool:
        """Parse a part of a response. Returns whether it is well formed and within the limits."""
        try:
            self._message.count_received(len(data))
            self._parser.feed_data(data)
            if not self._complete:
                self._message.check_framing()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, MessageTooLargeError):
            return False
        return True

    def _response_malformed(self) -> None:
        """Fail the attempt without serving the response.

        The endpoint has responded, so the connection was alive and the request is no longer running: the
        outcome is an error, not a reset.
        """
        if self.attempt is not None:
            self.attempt.end(Outcome.ERROR)
        self.abort()

    def _response_complete(self, attempt: UpstreamAttempt) -> None:
        status = self._parser.get_status_code()
        headers = self._message.headers
        response = UpstreamResponse(status, headers, self._message.body)
        report, never_ran = self._pool.load_reports.read(headers)
        outcome = outcome_of(status, never_ran)
        self.attempt = attempt.connection = None
        keep_alive = self._keep_alive
        self._reset_response()  # an idle connection would keep the response until its next one
        if keep_alive and not self.lost:
            self._pool.return_connection(self)
        else:
            # An endpoint with a full queue also rejects requests, but states its load or keeps the connection
            # open. Only a first response without either means that it accepts no more connections.
            if outcome is Outcome.REJECTED and report is None and not self._has_served:
                self._pool.connection_rejected()
            self.abort()
        self._has_served = True
        attempt.end(outcome, report, response)

    # Called by the parser

    def on_message_begin(self) -> None:
        """Reject a second response to one request."""
        if self._complete:
            raise ValueError("more than one response to a request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, up to the limit on their total size."""
        self._message.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Reject a response whose stated length is over the limit, without waiting for its body."""
        if self._parser.get_status_code() < 200:
            return  # an interim response; its head counts towards the limit of the final one
        self._message.end_head()
        framing = {name.lower(): value for name, value in self._message.headers if is_framing(name)}
        # The parser has already checked that Content-Length is a number.
        if int(framing.get(b"content-length", 0)) > MAX_BODY_BYTES:
            raise MessageTooLargeError(413, "body too large")
        self._message.ends_with_stream = not framing

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the size limit."""
        self._message.add_body(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete, or drop an interim one."""
        if self._parser.get_status_code() < 200:
            self._message.headers.clear()
        else:
            self._complete = True
            # Must be read within this callback: afterwards the parser always returns false.
            self._keep_alive = self._parser.should_keep_alive()


def is_framing(name: bytes) -> bool:
    """Whether a header states where the body ends."""
    return len(name) in FRAMING_NAME_SIZES and name.lower() in FRAMING_NAMES


def outcome_of(status: int, never_ran: bool) -> Outcome:
    """Return the outcome of an attempt from its response's status and never-ran mark."""
    if status == 200:
        return Outcome.OK
    if status in (503, 504) and never_ran:
        return Outcome.REJECTED
    if 400 <= status < 500:
        return Outcome.UNUSABLE
    return Outcome.ERROR
