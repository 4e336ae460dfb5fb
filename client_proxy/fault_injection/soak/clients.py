"""The clients of the restart soak: each opens one connection and uses it until it ends."""

from __future__ import annotations

import asyncio
import resource
import socket
from collections import deque
from typing import Any

import httptools

from client_proxy.api.settings import Idempotency
from client_proxy.fault_injection.soak.history import Answer, History, SentRequest
from client_proxy.fault_injection.soak.schedule import ClassPlan, ClientKind, ClientPlan, RequestPlan
from client_proxy.proxy.socket_state import SocketState

READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
MAX_PIPELINED = 4  # most unanswered requests of a pipelining client
SPARE_DESCRIPTORS = 256  # descriptors of the harness beside its idle connections


class ClientConnection(asyncio.Protocol):
    """One connection of a client, which sends its plan's requests and records their outcomes."""

    def __init__(self, plan: ClientPlan, classes: dict[str, ClassPlan], history: History) -> None:
        self._plan, self._classes, self._history = plan, classes, history
        self._parser = httptools.HttpResponseParser(self)
        self._transport: Any = None
        self._socket_state: SocketState | None = None
        self._unanswered: deque[SentRequest] = deque()
        self._answered = asyncio.Event()
        self._body = b""
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._socket_state = SocketState(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Read answers."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._history.malformed.append((asyncio.get_running_loop().time(), self._plan.number))
            self.leave()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._body = b""

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Record an answer, to the oldest unanswered request."""
        at_s = asyncio.get_running_loop().time()
        if self._socket_state is not None:  # the time of arrival, not of reading
            at_s -= self._socket_state.ms_since_last_data() / 1000.0
        status = self._parser.get_status_code()
        if status == 100:
            return
        if not self._unanswered:
            self._history.unexpected_answers.append((at_s, self._plan.number))
            return
        self._unanswered.popleft().answers.append(Answer(at_s, status, self._body))
        self._answered.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the proxy has ended the connection, if the client has not."""
        if not self.ended:
            self._record_end()

    def eof_received(self) -> bool:
        """Record that the proxy has ended the connection. Returns False: the client closes too."""
        if not self.ended:
            self._record_end()
        return False

    def _record_end(self) -> None:
        self.ended = True
        at_s = asyncio.get_running_loop().time()
        for request in self._unanswered:
            request.connection_ended_s = at_s
        self._unanswered.clear()
        self._answered.set()

    def leave(self) -> None:
        """Close the connection, with the requests that are still unanswered."""
        if self.ended:
            return
        self.ended = True
        at_s = asyncio.get_running_loop().time()
        for request in self._unanswered:
            request.left_s = at_s
        self._unanswered.clear()
        self._answered.set()
        self._transport.close()

    async def use(self) -> None:
        """Send the plan's requests until the connection has ended."""
        max_unanswered = MAX_PIPELINED if self._plan.kind is ClientKind.PIPELINED else 1
        for number, planned in enumerate(self._plan.requests):
            while not self.ended and len(self._unanswered) >= max_unanswered:
                self._answered.clear()
                await self._answered.wait()
            await asyncio.sleep(planned.think_s)
            if self.ended or (self._socket_state is not None and self._socket_state.peer_closed()):
                return
            await self._send(f"{self._plan.number:03x}{number:03x}", planned)

    async def _send(self, trace_id: str, planned: RequestPlan) -> None:
        loop = asyncio.get_running_loop()
        request = SentRequest(
            trace_id=trace_id,
            class_name=planned.class_name,
            connection=self._plan.number,
            first=planned is self._plan.requests[0],
            begun_s=loop.time(),
            expires_s=planned.expires_s,
        )
        self._history.requests[trace_id] = request
        self._unanswered.append(request)
        data = encode_request(trace_id, planned, self._classes[planned.class_name])
        pieces = split(data, len(planned.piece_gaps_s) + 1)
        for piece, gap_s in zip(pieces, (*planned.piece_gaps_s, 0.0), strict=True):
            if self.ended:
                return
            self._transport.write(piece)
            if gap_s:
                await asyncio.sleep(gap_s)
        request.sent_s = loop.time()
        if planned.leave_after_s is not None:
            loop.call_later(planned.leave_after_s, self._leave_if_waiting, request)

    def _leave_if_waiting(self, request: SentRequest) -> None:
        if request in self._unanswered:
            self.leave()


def encode_request(trace_id: str, planned: RequestPlan, request_class: ClassPlan) -> bytes:
    """Return the bytes of a request in the format of the platform's clients."""
    idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
    body = b"" if idempotent else b"form"
    lines = [
        f"{'GET' if idempotent else 'POST'} /{planned.class_name}/{trace_id} HTTP/1.1",
        "Host: app.svc",
        f"X-Trace-Id: {trace_id}",
        f"X-Expires-In-Ms: {max(1, int(1000.0 * planned.expires_s))}",
    ]
    if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
        lines.append(f"Idempotency-Key: {trace_id}")
    if not idempotent:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def split(data: bytes, count: int) -> list[bytes]:
    """Split the data into `count` pieces of about the same length."""
    size = -(-len(data) // count)
    return [data[number * size : (number + 1) * size] for number in range(count)]


class IdleCrowd:
    """Connections that send one readiness probe each and then stay idle."""

    def __init__(self, count: int, address: tuple[str, int]) -> None:
        self._count, self._address = count, address
        self._sockets: list[socket.socket] = []

    async def connect(self) -> None:
        """Open the connections. One that the proxy closes without reading is not opened again."""
        soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        needed = max(soft_limit, self._count + SPARE_DESCRIPTORS)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, needed), hard_limit))
        loop = asyncio.get_running_loop()
        for _ in range(self._count):
            sock = socket.socket()
            sock.setblocking(False)
            self._sockets.append(sock)
            try:
                await loop.sock_connect(sock, self._address)
                await loop.sock_sendall(sock, READY_REQUEST)
            except OSError:
                continue

    def close(self) -> None:
        """Close the connections."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()
