"""One connection of a client: its requests are read in order, and each gets one final answer."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from client_proxy.clock import now_ms
from client_proxy.proxy.connection_context import (
    ConnectionContext,
    ConnectionState,
    ConnectionTracker,
    Phase,
)
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.errors import BadRequestError
from client_proxy.proxy.messages import (
    ClientRequest,
    Headers,
    UpstreamResponse,
    encode_response,
    end_to_end_headers,
)
from client_proxy.proxy.request_parser import ParsedRequest, RequestParser
from client_proxy.proxy.requests import origin_form, read_request
from client_proxy.proxy.socket_state import SocketState
from client_proxy.proxy.stall_detector import STALL_RECHECK_S

# Parsed in one go, hundreds of requests would be queued complete: past this number the rest stays as it came.
MAX_PIPELINED_REQUESTS = 32
PARSE_CHUNK_BYTES = 4096
PAUSE_READING_BYTES = 64 * 1024  # bytes ahead of their turn, past which a connection is not read further
MAX_DISCARDED_BYTES = 64 * 1024  # of what comes after a connection's last request
UNKNOWN_CLASS = "(no such class)"  # requests that are rejected for their class are counted under it
NOT_FORWARDED = (b"endpoint-load-metrics",)  # the endpoint's own figures, not for the client


class ReadinessCheck:
    """A request for `/ready`, which the proxy answers itself."""


READINESS_CHECK = ReadinessCheck()

Pipelined = ClientRequest | ReadinessCheck | BadRequestError
"""What waits for its turn on a connection: a request, or the error that is its answer."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client: a request at a time, in order."""

    def __init__(
        self, context: ConnectionContext[ClientConnection], limits: ConnectionTracker[ClientConnection]
    ) -> None:
        self._context = context
        self._limits = limits
        self._parser = RequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._socket_state: SocketState | None = None
        self._pipeline: deque[Pipelined] = deque()
        self._in_progress = False  # the request whose turn it is has no final answer yet
        self._current_id: int | None = None  # its id at the engine
        self._engine: Engine | None = None  # the one that accepted it: another may decide by now
        self.writable = True
        self._phase = Phase.OPEN
        self._unread = b""  # come, but not yet parsed
        self._received_ms = 0.0  # when it came, at the earliest
        self._unread_since_ms: float | None = None  # bytes that the system holds have come since then
        self._discarded = 0  # bytes that came after the last request
        self._counted_bytes = 0  # its part of the bytes that all connections hold ahead of their turn
        self._has_sent_request = False  # it has sent a complete request

    @property
    def idle(self) -> bool:
        """Between requests, with nothing of the next one read."""
        return (
            not self._in_progress and not self._pipeline and not self._parser.in_message and not self._unread
        )

    @property
    def state(self) -> ConnectionState:
        """What the connection waits for now."""
        ended = self._phase in (Phase.HALF_CLOSED, Phase.CLOSED)
        if ended or self._transport is None or self._transport.is_closing():
            return ConnectionState.CLOSING
        if not self._in_progress and not self.writable:
            return ConnectionState.WRITE_BLOCKED
        if self._in_progress or self._pipeline or self._unread:
            return ConnectionState.BUSY
        if self._has_sent_request and not self._parser.in_message:
            return ConnectionState.IDLE
        return ConnectionState.AWAITING_REQUEST

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection."""
        # A cast, not a check: the transports of uvloop do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        self._socket_state = SocketState(sock) if sock is not None else None  # none on a network in memory
        self._context.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what the client was owed."""
        self._phase = Phase.CLOSED
        self._pipeline.clear()
        self._unread = b""
        self._count_pipelined()
        self._transport = self._socket_state = None
        self._limits.connection_closed(self)
        if self._current_id is not None and self._engine is not None:
            self._engine.client_disconnected(self._current_id)
            self._current_id = self._engine = None

    def data_received(self, data: bytes) -> None:
        """Take the next bytes of the stream, and process them now or, after a stall, a little later."""
        if self._phase is not Phase.OPEN:
            self._discard(data)
            return
        if not self._unread:
            self._received_ms = self._received_since_ms()
        self._unread += data
        if self._context.stall_detector.recovering():
            # After a stall a thousand requests whose clients have long gone would be sent to endpoints, ahead
            # of those who still wait: that a client has left is read only after what it sent.
            asyncio.get_running_loop().call_later(STALL_RECHECK_S, self._process)
        else:
            self._process()

    def pause_writing(self) -> None:
        """Give a client that does not read its answers no further ones, so that none pile up."""
        self.writable = False
        self._limits.state_changed(self)

    def resume_writing(self) -> None:
        """Go on with what waits."""
        self.writable = True
        self._process()

    # Reading

    def _received_since_ms(self) -> float:
        """Return when what has just been read came, as far as is known.

        Counted from the moment of reading, bytes that waited in the system's buffers would be given more
        time than their client has left.
        """
        unread_since_ms = self._unread_since_ms
        stalled_since_ms = self._context.stall_detector.stalled_since_ms()
        if unread_since_ms is not None:
            self._clear_unread_since()
            return unread_since_ms
        if stalled_since_ms is not None and self._socket_state is not None:
            return max(stalled_since_ms, now_ms() - self._socket_state.ms_since_last_data())
        return now_ms()

    def _clear_unread_since(self) -> None:
        """Once the system holds nothing more, what comes next has just come."""
        if self._socket_state is None or not self._socket_state.has_unread_data():
            self._unread_since_ms = None

    def _discard(self, data: bytes) -> None:
        """Count bytes after the last request, and stop reading past the limit.

        A client that sends on and on would be read for ever, or never get the answer that is due to it.
        """
        self._discarded += len(data)
        if self._discarded <= MAX_DISCARDED_BYTES or self._transport is None:
            return
        if self._phase is Phase.HALF_CLOSED:
            self.abort()
        elif self._phase is Phase.FINISHING:
            self._transport.pause_reading()  # until the answers that are due are out

    def _process(self) -> None:
        """Parse what has come, and take up the next request."""
        if self._transport is None:
            return
        self._parse()
        self._take_next()
        if self._count_pipelined() and self._limits.too_many_pipelined_bytes():
            # Many clients that send much at once would take all of the memory. What is parsed is answered.
            self._reject(BadRequestError(413, "too much ahead of its turn"))
            self._take_next()
            self._count_pipelined()
        self._throttle_reading()
        self._limits.state_changed(self)

    def _parse(self) -> None:
        while self._unread and self._phase is Phase.OPEN and len(self._pipeline) < MAX_PIPELINED_REQUESTS:
            chunk, self._unread = self._unread[:PARSE_CHUNK_BYTES], self._unread[PARSE_CHUNK_BYTES:]
            try:
                self._parser.feed(chunk)
            except BadRequestError as error:
                self._reject(error)

    def _reject(self, error: BadRequestError) -> None:
        """Answer the error when its turn comes, and read no further."""
        if self._phase is not Phase.OPEN:
            return
        on_request_ended = self._context.engine.on_request_ended
        if on_request_ended is not None and error.status == 404:
            # A policy that lacks a class rejects all of its requests: uncounted, it would look as good as
            # the policy before.
            on_request_ended(UNKNOWN_CLASS, False)
        self._pipeline.append(error)
        self._stop_reading_requests()

    def _throttle_reading(self) -> None:
        """Pause reading while requests are ahead of their turn.

        They are not read on and on, but as they come: the time that they wait counts.
        """
        if self._transport is None or self._transport.is_closing():
            return
        ahead = (
            len(self._pipeline) >= MAX_PIPELINED_REQUESTS
            or self._counted_bytes > PAUSE_READING_BYTES
            or bool(self._unread)
        )
        if ahead or not self.writable:
            if self._unread_since_ms is None:
                self._unread_since_ms = now_ms()
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._clear_unread_since()
            self._transport.resume_reading()

    def _count_pipelined(self) -> int:
        """Return the bytes that it holds ahead of their turn, and report the change to the limits."""
        ahead = len(self._unread)
        for waiting in self._pipeline:
            if isinstance(waiting, ClientRequest):
                ahead += len(waiting.body)
        self._limits.add_pipelined_bytes(ahead - self._counted_bytes)
        self._counted_bytes = ahead
        return ahead

    # Called by the parser

    def continue_expected(self) -> None:
        """Allow the client to send the body that it holds back, unless an earlier answer is still due."""
        if self._transport is not None and not self._in_progress:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_parsed(self, parsed: ParsedRequest) -> None:
        """Queue a complete request. Raises BadRequestError if it can't be accepted."""
        self._has_sent_request = True
        target = origin_form(parsed.target)
        if (parsed.method, target) == (b"GET", b"/ready"):
            self._pipeline.append(READINESS_CHECK)
        else:
            request = read_request(
                parsed.method, target, parsed.headers, parsed.body, self._context.settings, self._received_ms
            )
            self._context.trace_ids.register(request.trace_id)
            self._pipeline.append(request)
        if not parsed.keep_alive:
            self._stop_reading_requests()  # what follows is nobody's request

    # Answers

    def _take_next(self) -> None:
        """Take up the next request, once the one before has its answer and that is under way."""
        while self._pipeline and not self._in_progress and self.writable:
            waiting = self._pipeline.popleft()
            self._in_progress = True
            if isinstance(waiting, BadRequestError):
                self._pipeline.clear()
                self._answer(waiting.status, [], str(waiting).encode())
            elif isinstance(waiting, ReadinessCheck):
                self._answer(200 if self._context.ready() and self._context.has_lease() else 503, [], b"")
            elif not self._context.has_lease() or self._context.gives_up:
                self.reject(0.0)
            else:
                self._engine = self._context.engine
                self._current_id = self._engine.accept(waiting, self)

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        if not self._in_progress:
            return
        self._in_progress = False
        self._current_id = self._engine = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        last = self._is_last_answer()
        transport.write(encode_response(status, headers, body, last))
        if last:
            self._half_close()
        elif self._pipeline or self._unread:
            asyncio.get_running_loop().call_soon(self._process)
        self._limits.state_changed(self)

    def _is_last_answer(self) -> bool:
        """Whether the connection ends with the answer that goes out now."""
        closing = self._phase is Phase.FINISHING or self._limits.should_close_connections()
        last = closing and not self._pipeline and not self._unread
        if last and self._phase is Phase.OPEN and self._socket_state is not None:
            # A complete request that has come, and is not read yet, would be lost with the connection.
            return not self._socket_state.has_unread_data()
        return last

    def send_response(self, answer: UpstreamResponse) -> None:
        """Answer the current request with an endpoint's response."""
        self._answer(200, end_to_end_headers(answer.headers, NOT_FORWARDED), answer.body)

    def reject(self, retry_after_ms: float) -> None:
        """Answer that the current request did not run; 0: without a time after which to retry."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0))] if retry_after_ms > 0 else []
        self._answer(503, headers, b"")

    def fail(self, status: int) -> None:
        """Answer that the current request has failed."""
        self._answer(status, [], b"")

    def client_gone(self) -> bool:
        """Whether the client has left, as far as the system knows at this moment."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return True
        if self._socket_state is None or not self._socket_state.peer_closed():
            return False
        self.abort()  # while reading is paused nothing else would end it
        return True

    # The end of the connection

    def close_idle(self) -> None:
        """End the connection if it is between requests, with nothing of a next one on hand."""
        if not self.idle or self._phase is not Phase.OPEN:
            return
        if self._socket_state is None or not self._socket_state.has_unread_data():
            self._half_close()

    def request_timed_out(self) -> None:
        """End a connection on which no complete request has come in time.

        A client that has sent a part of one is answered so.
        """
        if self._parser.in_message and self._phase is Phase.OPEN:
            self._reject(BadRequestError(408, "the request did not come to its end"))
            self._take_next()
        else:
            self.close_idle()

    def abort(self) -> None:
        """Close the connection at once, whatever it is owed."""
        if self._transport is not None:
            self._phase = Phase.CLOSED
            self._transport.abort()
            self._limits.state_changed(self)

    def _stop_reading_requests(self) -> None:
        self._phase = Phase.FINISHING
        self._unread = b""

    def _half_close(self) -> None:
        """End our side, and discard what comes until the client ends its own.

        Closing a socket over bytes that nobody has read resets the connection, and an answer that the client
        has not taken yet would be lost with it. Limits on bytes and time bound the wait.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._phase = Phase.HALF_CLOSED
        self._unread = b""
        transport.write_eof()
        if not transport.is_reading():
            transport.resume_reading()
        self._limits.state_changed(self)
