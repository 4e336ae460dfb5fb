"""One client connection: requests are read in order, and each gets one final response."""

from __future__ import annotations

import asyncio
from typing import cast

from client_proxy.clock import now_ms
from client_proxy.proxy.client_memory import ClientMemory
from client_proxy.proxy.connection_context import (
    ConnectionContext,
    ConnectionState,
    ConnectionTracker,
    Phase,
)
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.errors import BadRequestError
from client_proxy.proxy.messages import Headers, UpstreamResponse, encode_response, end_to_end_headers
from client_proxy.proxy.pipeline import READINESS_CHECK, Pipeline, ReadinessCheck, RejectedRequest
from client_proxy.proxy.request_parser import ParsedRequest, RequestParser
from client_proxy.proxy.requests import origin_form, read_request
from client_proxy.proxy.socket_state import SocketState
from client_proxy.proxy.stall_detector import STALL_RECHECK_S
from client_proxy.proxy.trace_ids import TraceIdQuota

PARSE_SLICE_BYTES = 1024  # received bytes that are parsed before other connections may get their turn
LONG_MESSAGE_BYTES = 4096  # bytes of a request from which on it is longer than usual ones
# Received bytes that are not parsed yet. Reading goes on up to here, however many requests wait, since a
# disconnect is read only behind the bytes before it.
MAX_UNPARSED_BYTES = 1024 * 1024
MAX_DISCARDED_BYTES = 64 * 1024  # bytes read and dropped after a connection's last request
UNKNOWN_CLASS = "(no such class)"  # class name under which requests of an unknown class are counted
NOT_FORWARDED = (b"endpoint-load-metrics",)  # the endpoint's load report is not for the client


class ClientConnection(asyncio.BufferedProtocol):
    """A client connection, which serves one request at a time, in order."""

    def __init__(
        self, context: ConnectionContext[ClientConnection], limits: ConnectionTracker[ClientConnection]
    ) -> None:
        self._context = context
        self._limits = limits
        self._parser = RequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._socket_state: SocketState | None = None
        self._pipeline = Pipeline()
        self._in_progress = False  # the current request has no final response yet
        self._current_id: int | None = None  # the current request's id at `_engine`
        # The engine that accepted the current request; by now the engine of a later policy may be active.
        self._engine: Engine | None = None
        self.writable = True
        self._phase = Phase.OPEN
        self._unread = bytearray()  # received, but not yet parsed
        self._received_ms = 0.0  # earliest time at which `_unread` may have arrived
        self._unread_since_ms: float | None = None  # start of the read pause; unread bytes may be as old
        self._continuation_scheduled = False  # the next request starts in the next iteration of the loop
        self._too_much_ahead = False  # what follows the unparsed bytes is discarded
        self._discarded = 0  # bytes received after the last request
        self._trace_id_quota = TraceIdQuota()
        self._memory = ClientMemory(limits.account)
        self.waiting_bytes = 0  # bytes of requests that have not started, as the limits know them
        self._has_sent_request = False  # the client has sent a complete request

    @property
    def idle(self) -> bool:
        """Whether the connection is between requests, with nothing of the next one read."""
        return not self._in_progress and self._nothing_waits

    @property
    def _nothing_waits(self) -> bool:
        return not self._unread and not self._parser.in_message and not self._pipeline

    @property
    def state(self) -> ConnectionState:
        """What the connection is waiting for."""
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
        """Start serving the connection."""
        # A cast, not a check: the transports of uvloop do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        # An in-memory network has no sockets.
        self._socket_state = SocketState(sock) if sock is not None else None
        self._context.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop pending requests and responses of the client."""
        self._phase = Phase.CLOSED
        self._pipeline.clear()
        self._drop_unread()
        self._memory.closed()
        self._context.read_scheduler.forget(self)
        self._transport = self._socket_state = None
        self._limits.connection_closed(self)
        if self._current_id is not None and self._engine is not None:
            self._engine.client_disconnected(self._current_id)
            self._current_id = self._engine = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share for reading; it is emptied at once."""
        return self._context.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Accept the bytes that were read into the buffer."""
        self.data_received(self._context.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Accept the next bytes of the stream; process them now or, after a stall, a little later."""
        if self._phase is not Phase.OPEN or self._too_much_ahead:
            self._discard(data)
            return
        if not self._unread:
            self._received_ms = self._arrival_ms()
        self._unread += data
        if len(self._unread) > MAX_UNPARSED_BYTES:
            self._too_much_ahead = True
            del self._unread[MAX_UNPARSED_BYTES:]
        if self._context.stall_detector.recovering():
            # A client's disconnect is read only after its request. Processed at once, a thousand requests
            # whose clients left during the stall would be sent to endpoints, ahead of clients still waiting.
            self.parsing_deferred()
            asyncio.get_running_loop().call_later(STALL_RECHECK_S, self._submit)
        else:
            self._submit()

    def _submit(self) -> None:
        """Parse what has been received, now or when it is this connection's turn."""
        if self._transport is not None:
            self._context.read_scheduler.submit(self)

    def parsing_deferred(self) -> None:
        """Count the bytes that wait to be parsed; see `Reader`."""
        self._count_held()
        if self._limits.account.too_much_waiting:
            self._stop_waiting_ahead()
        self._limits.state_changed(self)

    def pause_writing(self) -> None:
        """Stop answering a client that does not read its responses, so that they do not pile up in memory."""
        self.writable = False
        self._limits.state_changed(self)

    def resume_writing(self) -> None:
        """Continue with the pipelined requests."""
        self.writable = True
        self._count_unsent()
        self._continue()

    # Reading

    def _arrival_ms(self) -> float:
        """Return the earliest time at which the bytes just read may have arrived.

        Bytes may have waited in the kernel's buffers. Counting a deadline from the read would grant a request
        more time than its client still waits.
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
        """Forget the start of the read pause once the kernel holds no more bytes."""
        if self._socket_state is None or not self._socket_state.has_unread_data():
            self._unread_since_ms = None

    def _discard(self, data: bytes | memoryview) -> None:
        """Count and drop bytes after the last request; past the limit, close a half-closed connection.

        Without the limit a client that never stops sending would be read forever.
        """
        self._discarded += len(data)
        if self._discarded <= MAX_DISCARDED_BYTES or self._transport is None:
            return
        # While responses are pending reading goes on: else the client's disconnect would not be noticed.
        if self._phase is Phase.HALF_CLOSED:
            self.abort()

    def _continue(self) -> None:
        """Start the next request, and parse what could not be parsed before."""
        self._continuation_scheduled = False
        if self._transport is None:
            return
        self._start_next_request()
        if self._unread:
            self._submit()
        self._processed()

    def parse_slice(self) -> bool:
        """Parse a part of the received bytes, as far as the memory lasts; see `Reader`."""
        if not self._may_parse():
            return False
        chunk = bytes(self._unread[:PARSE_SLICE_BYTES])
        del self._unread[:PARSE_SLICE_BYTES]
        self._memory.unparsed.set(0)  # what is parsed now may be no more than a request
        try:
            self._parser.feed(chunk)
        except BadRequestError as error:
            self._reject(error)
        self._start_next_request()
        if self._unread and self._may_parse():
            self._count_parsed()
            if self._limits.account.too_much_waiting:
                self._stop_waiting_ahead()
            if self._may_parse():
                return True
        self._processed()
        return False

    def in_long_message(self) -> bool:
        """Whether the unfinished request is longer than usual ones; see `Reader`."""
        return self._parser.message_bytes > LONG_MESSAGE_BYTES

    def _may_parse(self) -> bool:
        may_read = self._transport is not None and self._phase is Phase.OPEN and not self._pipeline.full
        return may_read and bool(self._unread)

    def _processed(self) -> None:
        """Count what is left, and update what depends on it."""
        if self._too_much_ahead and not self._unread and self._phase is Phase.OPEN:
            self._reject(BadRequestError(413, "too much ahead of its turn"))
            self._start_next_request()
        self._count_held()
        if self._limits.account.too_much_waiting:
            self._stop_waiting_ahead()
        if self._limits.account.full:
            self._limits.abort_blocked()
        self._throttle_reading()
        self._limits.state_changed(self)

    def _stop_waiting_ahead(self) -> None:
        """Bring what waits of all clients back below its limit.

        Many clients that send much ahead at once would exhaust the memory. If this one holds most, it may
        send no more; what it has sent completely is still answered.
        """
        if not self._limits.holds_most(self):
            self._limits.enforce_waiting()
        elif self._phase is not Phase.OPEN:
            return
        elif self._pipeline or (self._unread and self._in_progress):
            self._reject(BadRequestError(413, "too much ahead of its turn"))
            self._start_next_request()
            self._count_held()
        else:
            self.reject_waiting()  # its only request has not come whole, or is not parsed yet

    def _reject(self, error: BadRequestError) -> None:
        """Queue an error response behind the pending ones, and read no further requests."""
        if self._phase is not Phase.OPEN:
            return
        on_request_ended = self._context.engine.on_request_ended
        if on_request_ended is not None and error.status == 404:
            # A policy that lacks a class rejects all requests of it. If these were not counted, canary
            # analysis would rate it as good as the previous policy.
            on_request_ended(UNKNOWN_CLASS, False)
        self._pipeline.append(error)
        self._stop_reading_requests()

    def _throttle_reading(self) -> None:
        """Pause reading while the client does not read, and note when the pause began.

        Time that requests spend in the kernel's buffers during the pause counts against their deadlines.
        """
        if self._transport is None or self._transport.is_closing():
            return
        if not self.writable:
            if self._unread_since_ms is None:
                self._unread_since_ms = now_ms()
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._clear_unread_since()
            self._transport.resume_reading()

    # The memory of requests that have not started

    def _count_held(self) -> None:
        """Count the memory of all that waits: unparsed bytes, the unfinished request, and pipelined ones."""
        if not self.waiting_bytes and self._nothing_waits:
            return  # the usual case: a whole request has come and has started
        self._memory.unparsed.set(len(self._unread))
        self._count_parsed()

    def _count_parsed(self) -> None:
        self._memory.pipelined.set(self._pipeline.held_bytes)
        self._memory.unfinished.set(self._parser.held_bytes)
        waiting_bytes = self._memory.waiting_bytes
        if waiting_bytes != self.waiting_bytes:
            self._limits.waiting_resized(self, self.waiting_bytes, waiting_bytes)
            self.waiting_bytes = waiting_bytes

    def _count_unsent(self) -> None:
        """Count what the client has not read yet of its responses."""
        if self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
            if unsent_bytes != self._memory.unsent.byte_count:
                self._memory.unsent.set(unsent_bytes)

    def _drop_unread(self) -> None:
        """Free the unfinished request and the bytes behind it, once no further request is read."""
        self._unread.clear()
        self._parser.discard()
        self._count_held()

    def reject_waiting(self) -> None:
        """Answer 503 to all that waits here, and read no further requests; none of it has run."""
        if self._parser.in_message or self._unread:
            self._reject(BadRequestError(503, "too many unfinished requests"))
            self._drop_unread()
        self._pipeline.reject_requests()
        self._count_held()
        self._start_next_request()
        self._limits.state_changed(self)

    # Called by the parser

    def continue_expected(self) -> None:
        """Send 100 Continue for a body that the client holds back, unless an earlier response is pending."""
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
            request.held_bytes = parsed.held_bytes
            self._context.trace_ids.register(request.trace_id, self._trace_id_quota)
            self._pipeline.append(request)
        if not parsed.keep_alive:
            self._stop_reading_requests()  # bytes after the last request are no request

    # Responses

    def _start_next_request(self) -> None:
        """Start the next request, once the previous one is answered and its response can be written."""
        while self._pipeline and not self._in_progress and self.writable:
            queued = self._pipeline.popleft()
            self._in_progress = True
            if isinstance(queued, BadRequestError):
                self._pipeline.clear()
                self._answer(queued.status, [], str(queued).encode())
            elif isinstance(queued, ReadinessCheck):
                self._answer(200 if self._context.ready() and self._context.has_lease() else 503, [], b"")
            elif isinstance(queued, RejectedRequest) or self._must_reject():
                self.reject(0.0)
            else:
                self._memory.request_started(queued)
                self._engine = self._context.engine
                self._current_id = self._engine.accept(queued, self)

    def _must_reject(self) -> bool:
        """Whether no request may start now."""
        context = self._context
        return not context.has_lease() or context.rejects_new_requests or self._limits.account.full

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        if not self._in_progress:
            return
        self._in_progress = False
        self._memory.in_progress.set(0)
        self._current_id = self._engine = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_last = self._closes_after_answer()
        transport.write(encode_response(status, headers, body, is_last))
        self._count_unsent()
        if is_last:
            self._half_close()
        elif (self._pipeline or self._unread) and not self._continuation_scheduled:
            self._continuation_scheduled = True
            asyncio.get_running_loop().call_soon(self._continue)
        self._limits.state_changed(self)

    def _closes_after_answer(self) -> bool:
        """Whether to close the connection after the response that is written now."""
        closing = self._phase is Phase.FINISHING or self._limits.should_close_connections()
        is_last = closing and not self._pipeline and not self._unread
        if is_last and self._phase is Phase.OPEN and self._socket_state is not None:
            # A complete request that waits unread in the kernel would be lost with the connection.
            return not self._socket_state.has_unread_data()
        return is_last

    def send_response(self, response: UpstreamResponse) -> None:
        """Answer the current request with the response of an endpoint."""
        self._answer(200, end_to_end_headers(response.headers, NOT_FORWARDED), response.body)

    def reject(self, retry_after_ms: float) -> None:
        """Answer 503: the current request did not run. `retry_after_ms` 0: without Retry-After."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0))] if retry_after_ms > 0 else []
        self._answer(503, headers, b"")

    def fail(self, status: int) -> None:
        """Answer the current request with an error status; it may have run."""
        self._answer(status, [], b"")

    def client_gone(self) -> bool:
        """Whether the client has disconnected, as the kernel knows it now. Closes the connection then."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return True
        if self._socket_state is None or not self._socket_state.peer_closed():
            return False
        self.abort()  # while reading is paused, nothing else would notice the disconnect
        return True

    # The end of the connection

    def close_idle(self) -> None:
        """Close the connection if it is between requests and no byte of a next one has arrived."""
        if not self.idle or self._phase is not Phase.OPEN:
            return
        if self._socket_state is None or not self._socket_state.has_unread_data():
            self._half_close()

    def request_timed_out(self) -> None:
        """Close a connection on which no complete request arrived in time.

        A client that has sent a part of a request is answered 408 first.
        """
        if self._parser.in_message and self._phase is Phase.OPEN:
            self._reject(BadRequestError(408, "the request did not come to its end"))
            self._start_next_request()
        else:
            self.close_idle()

    def abort(self) -> None:
        """Close the connection at once, without the pending responses."""
        if self._transport is not None:
            self._phase = Phase.CLOSED
            self._drop_unread()
            self._transport.abort()
            self._limits.state_changed(self)

    def _stop_reading_requests(self) -> None:
        self._phase = Phase.FINISHING
        self._drop_unread()

    def _half_close(self) -> None:
        """Shut down the write side, and discard further bytes until the client closes its side.

        Closing a socket with unread bytes resets the connection, and a response that the client has not read
        yet would be lost. Limits on bytes and time bound the wait.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._phase = Phase.HALF_CLOSED
        self._drop_unread()
        transport.write_eof()
        if not transport.is_reading():
            transport.resume_reading()
        self._limits.state_changed(self)
