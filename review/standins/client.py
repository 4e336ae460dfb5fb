"""The application beside a client proxy: one request at a time on a connection, retries as allowed."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from standins.http import Message, read_message
from standins.record import Record

LISTEN_S = 1.5  # how long an answer is still awaited after the client's time
COUNTER = itertools.count(1)


@dataclass
class Try:
    """One request at a client proxy, and its answer."""

    proxy: str
    cls: str
    resource: str
    trace_id: str
    key: str
    expires_ms: int
    sent_ms: float
    status: int = 0  # 0: none
    body: bytes = b""
    answered_ms: float = 0.0
    ending: str = ""  # how the connection ended, if there is no answer


@dataclass
class ClassOfRequests:
    """A class as the client knows it: its effect, and for how long a try is awaited."""

    name: str
    effect: str
    share: float
    wait_ms: tuple[int, int]


@dataclass
class Client:
    """One application: requests at random times, over kept connections."""

    proxy: str
    port: int
    record: Record
    classes: list[ClassOfRequests]
    rate_per_s: float
    seed: int
    retries: int = 2
    retry_after_ms: float = 50.0
    tries: list[Try] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def wait_until_ready(self, seconds: float = 20.0) -> bool:
        """Ask for readiness until it is answered 200."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 2.0)
                writer.close()
                if answer.status == 200:
                    return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def run(self, seconds: float) -> None:
        """Send requests for so long, and wait for what is out."""
        until_s = time.monotonic() + seconds
        out: set[asyncio.Task[None]] = set()
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(self.rate_per_s))
            task = asyncio.create_task(self._want())
            out.add(task)
            task.add_done_callback(out.discard)
        if out:
            await asyncio.wait(out, timeout=8.0)

    async def _want(self) -> None:
        weights = [cls.share for cls in self.classes]
        cls = self._random.choices(self.classes, weights)[0]
        resource = f"{self.proxy}-{next(COUNTER):08x}"
        key = f"{self._random.getrandbits(128):032x}" if cls.effect == "dedup" else ""
        for number in range(self.retries + 1):
            done = await self.send(cls, resource, key, second=number > 0)
            refused = done.status in (429, 503)
            if done.status == 200 or not (refused or (cls.effect == "retryable" and done.status)):
                return
            await asyncio.sleep(self.retry_after_ms / 1000.0)

    async def send(self, cls: ClassOfRequests, resource: str, key: str, second: bool) -> Try:
        """Send one request, once more on a new connection if a kept one has ended; wait for its answer."""
        expires_ms = self._random.randint(*cls.wait_ms)
        trace_id = f"{self._random.getrandbits(64):016x}"
        sent = Try(self.proxy, cls.name, resource, trace_id, key, expires_ms, self.record.now_ms())
        self.tries.append(sent)
        data = encode(cls, sent, second)
        if self._idle:
            reader, writer = self._idle.pop()
            if await self._exchange(reader, writer, data, sent) or sent.ending != "end before any byte":
                return sent
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError as error:
            sent.ending = f"not connected: {error}"
            return sent
        await self._exchange(reader, writer, data, sent)
        return sent

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes, sent: Try
    ) -> bool:
        sent.sent_ms = self.record.add("sent", trace_id=sent.trace_id, cls=sent.cls, resource=sent.resource)
        sent.ending = ""
        answer: Message | None = None
        try:
            writer.write(data)
            async with asyncio.timeout(sent.expires_ms / 1000.0 + LISTEN_S):
                answer = await read_message(reader)
        except TimeoutError:
            sent.ending = "silence"
        except asyncio.IncompleteReadError as error:
            sent.ending = "end within the answer" if error.partial else "end before any byte"
        except ConnectionError as error:
            sent.ending = f"{error}"
        if answer is None:
            self.record.add("unanswered", trace_id=sent.trace_id, ending=sent.ending)
            writer.close()
            return False
        sent.status, sent.body = answer.status, answer.body
        sent.answered_ms = self.record.add(
            "got", trace_id=sent.trace_id, status=sent.status, body=sent.body.decode("latin-1")
        )
        if answer.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return True


def encode(cls: ClassOfRequests, sent: Try, second: bool) -> bytes:
    """Encode a request by its class, as the protocol page says."""
    method = "GET" if cls.effect == "retryable" else "POST"
    body = b"" if method == "GET" else b"form of " + sent.resource.encode()
    lines = [
        f"{method} /{sent.cls}/{sent.resource} HTTP/1.1",
        "Host: app.svc",
        f"X-Trace-Id: {sent.trace_id}",
        f"X-Expires-In-Ms: {sent.expires_ms}",
    ]
    if sent.key:
        lines.append(f"Idempotency-Key: {sent.key}")
    if second:
        lines.append("X-Second-Try: 1")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
