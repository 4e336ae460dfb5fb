"""A record server: takes requests as the protocol page says, and runs each for its time of work."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from standins.http import Message, read_message, response
from standins.record import Record

CORES = 4
WAITING_ROOM = 60


@dataclass
class Exchange:
    """One request at a server, and what became of it."""

    server: str
    connection: int
    trace_id: str
    cls: str
    resource: str
    key: str
    first_ms: float
    last_ms: float
    expires_ms: int
    ran: bool = False
    answered: str = ""


Answer = Callable[["Server", Exchange, asyncio.StreamWriter], Awaitable[None]]


async def answer_plainly(server: Server, exchange: Exchange, writer: asyncio.StreamWriter) -> None:
    """Answer 200 with a body that names the request and the server."""
    exchange.answered = "200"
    writer.write(response(200, server.body_of(exchange), server.load_report()))


@dataclass
class Server:
    """A server on a loopback port. `answer` writes the answer of a request that has run."""

    name: str
    record: Record
    work_ms: dict[str, float]
    zone: str = "hall-lozenets"
    cell: int = 0
    answer: Answer = answer_plainly
    seed: int = 1
    status: str = "ready"
    since_unix_ms: int = 0
    port: int = 0
    exchanges: list[Exchange] = field(default_factory=list)
    connections: int = 0
    in_hand: int = 0
    sent_bodies: dict[str, set[bytes]] = field(default_factory=dict)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self.random = random.Random(self.seed)
        self._cores = asyncio.Semaphore(CORES)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End all connections and stop listening, as a process that dies does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> dict[str, object]:
        """Return the entry of discovery's list."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "plain-quad",
            "group": self.cell,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_unix_ms,
        }

    def body_of(self, exchange: Exchange) -> bytes:
        """Return the body of the answer to a request, and remember that the server made it."""
        body = f"{exchange.cls} {exchange.resource} for {exchange.trace_id} by {self.name}".encode()
        self.sent_bodies.setdefault(exchange.trace_id, set()).add(body)
        return body

    def load_report(self) -> str:
        """Return the header with the load report."""
        queue = max(0, self.in_hand - CORES)
        return f"Endpoint-Load-Metrics: TEXT inflight={self.in_hand}, queue={queue}, latency_ms=20"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connections
        self.connections += 1
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                await self._take(number, await read_message(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _take(self, number: int, message: Message, writer: asyncio.StreamWriter) -> None:
        parts = message.start.split()[1].strip("/").split("/")
        exchange = Exchange(
            self.name,
            number,
            message.headers.get("x-trace-id", ""),
            parts[0],
            parts[-1],
            message.headers.get("idempotency-key", ""),
            (message.first_s - self.record.started_s) * 1000.0,
            (message.last_s - self.record.started_s) * 1000.0,
            int(message.headers.get("x-expires-in-ms", "0")),
        )
        self.exchanges.append(exchange)
        self.record.add("received", **exchange.__dict__)
        if self.in_hand >= CORES + WAITING_ROOM:
            exchange.answered = "503 never ran"
            writer.write(response(503, b"", "X-Never-Ran: 1", self.load_report()))
            return
        self.in_hand += 1
        try:
            async with self._cores:
                exchange.ran = True
                await asyncio.sleep(self.work_ms[exchange.cls] * self.random.uniform(0.5, 1.5) / 1000.0)
        finally:
            self.in_hand -= 1
        await self.answer(self, exchange, writer)
        self.record.add("answered", server=self.name, trace_id=exchange.trace_id, how=exchange.answered)
