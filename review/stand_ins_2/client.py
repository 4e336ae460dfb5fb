"""The application: one request at a time on a connection, each with a trace id of its own."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from review.stand_ins_2.http import Message, read_message
from review.stand_ins_2.proxy import PROXY_HOST
from review.stand_ins_2.record import Record

_numbers = itertools.count(1)
ANSWER_LIMIT_S = 10.0  # a request with no answer by then has none


@dataclass(eq=False)
class Request:
    """A request as sent, and what came back."""

    trace_id: str
    class_name: str
    expires_ms: int
    sent_s: float
    answered_s: float | None = None  # None: the connection ended with no whole answer, or none came
    status: int = 0
    body: bytes = b""


def encode(class_name: str, trace_id: str, expires_ms: int, body: bytes = b"form") -> bytes:
    """Return a request in the form of the protocol page."""
    lines = [
        f"POST /{class_name}/{trace_id[-8:]} HTTP/1.1",
        "Host: app.svc",
        f"X-Trace-Id: {trace_id}",
        f"X-Expires-In-Ms: {expires_ms}",
        f"Content-Length: {len(body)}",
    ]
    if class_name == "extract-issue":
        lines.append(f"Idempotency-Key: key-{trace_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def new_trace_id() -> str:
    """Return a trace id that no other request has."""
    return f"{next(_numbers):016x}"


class Client:
    """One kept connection to a client proxy; opened anew when the proxy closes it between requests."""

    def __init__(self, record: Record, port: int) -> None:
        self._record, self._port = record, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._reader is None or self._writer is None or self._reader.at_eof():
            self.close()
            self._reader, self._writer = await asyncio.open_connection(PROXY_HOST, self._port)
        return self._reader, self._writer

    async def ask(self, class_name: str, expires_ms: int, body: bytes = b"form") -> Request:
        """Send one request, and wait for its answer."""
        (request,) = await self.ask_all([(class_name, expires_ms)], body)
        return request

    async def ask_all(self, wanted: list[tuple[str, int]], body: bytes = b"form") -> list[Request]:
        """Send requests at once on the one connection, and wait for their answers."""
        reader, writer = await self._connect()
        requests = [
            Request(new_trace_id(), name, expires_ms, self._record.now_s()) for name, expires_ms in wanted
        ]
        for request in requests:
            self._record.add(f"client sends {request.class_name} {request.trace_id}")
        writer.write(b"".join(encode(r.class_name, r.trace_id, r.expires_ms, body) for r in requests))
        for request in requests:
            message = await self._answer(reader)
            if message is None:
                self._record.add(f"client gets no answer to {request.trace_id}")
                self.close()
                break
            request.answered_s, request.status = self._record.now_s(), message.status
            request.body = message.body
            self._record.add(f"client gets {message.status} for {request.trace_id}: {message.body!r}")
            if message.headers.get("connection", "").lower() == "close":
                self.close()
        return requests

    async def _answer(self, reader: asyncio.StreamReader) -> Message | None:
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                return await read_message(reader)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
