"""A host: reads requests, serves each after its work, and records what it ran."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from review.stand_ins_2.http import Message, read_message, response
from review.stand_ins_2.record import Record

Json = dict[str, Any]


@dataclass(eq=False)
class Host:
    """One host on a free port of 127.0.0.1.

    Attributes:
        work_s: time that a request takes, by class.
        answer: writes the answer to a request that has run; `answer_whole` unless a case replaces it.
        ran: trace ids of the requests that it has begun, with the time of the last byte, in order.
    """

    name: str
    record: Record
    zone: str = "hall-mladost"
    group: int = 0
    work_s: dict[str, float] = field(default_factory=lambda: {"extract-issue": 0.045, "entry-register": 0.09})
    answer: Callable[[Host, Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
    ran: list[tuple[float, str]] = field(default_factory=list)
    port: int = 0
    _server: asyncio.Server | None = None
    _in_hand: int = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def entry(self, status: str = "ready", since_ms: int = 0) -> Json:
        """Return the host's entry of an endpoint list."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "plain-quad",
            "group": self.group,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def load_report(self) -> str:
        """Return the header line with the load report."""
        return f"Endpoint-Load-Metrics: TEXT inflight={self._in_hand}, queue=0, latency_ms=60"

    async def answer_whole(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer with the request's own trace id as body, and keep the connection."""
        writer.write(response(200, own_body(self, message), self.load_report()))
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        message = await read_message(reader)
        if message is None:
            return False
        trace_id = message.headers.get("x-trace-id", "")
        self.ran.append((self.record.now_s(), trace_id))
        self.record.add(f"host {self.name} runs {message.path} {trace_id}")
        self._in_hand += 1
        try:
            await asyncio.sleep(self.work_s.get(message.path.split("/")[1], 0.05))
        finally:
            self._in_hand -= 1
        if self.answer is not None:
            return await self.answer(self, message, writer)
        return await self.answer_whole(message, writer)


def own_body(host: Host, message: Message) -> bytes:
    """Return the body of the host's answer to this request: no other request has the same."""
    return f"{host.name} made this for {message.headers.get('x-trace-id', '')}".encode()
