"""The clients of a drill as one process: open-loop requests to every instance, and the outcome of each.

A client uses only what clients see: the answer, its time, or that none came. It retries at another instance
what was surely not accepted; a request that is not idempotent and may have been accepted is never sent again.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import httptools

from client_proxy.fault_injection.helper import Json, Order, serve
from client_proxy.fault_injection.history import Writer

KEYED, UNSAFE = "extract-issue", "entry-register"
GRACE_S = 0.5  # how long a client still listens after its deadline, to see late answers
PROBE_S = 0.1  # between two readiness probes
MAX_ATTEMPTS = 3  # client attempts for a request
RETRY_PAUSE_S = 0.03  # pause before a client retry
MIN_TIME_LEFT_S = 0.25  # with less time left a client does not retry, since no answer could come in time
MAX_IDLE_CONNECTIONS = 32  # idle connections kept to an instance


class Connection(asyncio.Protocol):
    """A connection to an instance, with one request at a time."""

    def __init__(self, on_extra_bytes: Any) -> None:
        self._on_extra_bytes = on_extra_bytes  # called with the last attempt's id if bytes follow its answer
        self._parser = httptools.HttpResponseParser(self)
        self.transport: Any = None
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.last_id = ""
        self.sent_count = 0  # requests sent on it
        self.unusable = False  # closed, or must not be used again
        self._body = b""
        self._has_data = False  # bytes of the present answer have come

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.answer is None or self.answer.done():
            self._on_extra_bytes(self.last_id)
            self.close()
            return
        self._has_data = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail("unreadable")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self.answer is not None and not self.answer.done():
            if not self._parser.should_keep_alive():
                self.unusable = True
            self.answer.set_result((self._parser.get_status_code(), self._body))

    def connection_lost(self, exc: Exception | None) -> None:
        self.unusable = True
        crossed = self.sent_count > 1 and not self._has_data and exc is None
        self._fail("crossed" if crossed else "cut")

    def _fail(self, reason: str) -> None:
        self.unusable = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionError(reason))

    def ask(self, id_: str, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Send a request. The future gets status and body, or a ConnectionError with the attempt's ending."""
        self.answer = asyncio.get_running_loop().create_future()
        self.last_id, self._body, self._has_data = id_, b"", False
        self.sent_count += 1
        self.transport.write(data)
        return self.answer

    def close(self) -> None:
        self.unusable = True
        if self.transport is not None:
            self.transport.abort()


@dataclass
class Target:
    """An instance, with its idle connections and its readiness."""

    name: str
    address: tuple[str, int]
    idle_connections: list[Connection] = field(default_factory=list)
    ready: int = -1  # status of the last probe; 0: no answer


def encode_request(class_name: str, id_: str, key: str, left_ms: int, is_retry: bool) -> bytes:
    """Return the bytes of a request in the format of the platform's clients."""
    lines = [
        f"{'POST'} /{class_name}/{key} HTTP/1.1",
        "Host: app.svc",
        f"X-Trace-Id: {id_}",
        f"X-Expires-In-Ms: {left_ms}",
        "Content-Length: 4",
    ]
    lines += [f"Idempotency-Key: {key}"] if class_name == KEYED else []
    lines += ["X-Second-Try: 1"] if is_retry else []
    return "\r\n".join(lines).encode() + b"\r\n\r\nform"


class Clients:
    """The clients of all instances: they send requests, probe for readiness, and record both."""

    def __init__(self, order: Json) -> None:
        self._writer = Writer(Path(order["history"]))
        self._targets = [Target(name, tuple(address)) for name, address in order["targets"]]
        self._rate, self._unsafe = order["rate"], order["unsafe_share"]
        self._deadline_s = order["deadline_ms"] / 1000.0
        self._retry_elsewhere = order["elsewhere"] and len(self._targets) > 1
        self._seed = order["seed"]
        self._stopped = False
        self._open_requests: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._generate_requests(n)) for n in range(len(self._targets))]
        self._tasks += [loop.create_task(self._probe_periodically(target)) for target in self._targets]

    async def _generate_requests(self, number: int) -> None:
        """Start requests to an instance as a Poisson process, without waiting for their answers."""
        random = Random(f"{self._seed}/{number}")
        due_s, count = time.monotonic(), 0
        while not self._stopped:
            due_s += random.expovariate(self._rate)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            if self._stopped:
                return
            count += 1
            class_name = UNSAFE if random.random() < self._unsafe else KEYED
            task = asyncio.create_task(self._send_request(number, count, class_name))
            self._open_requests.add(task)
            task.add_done_callback(self._open_requests.discard)

    async def _send_request(self, first_instance: int, count: int, class_name: str) -> None:
        """Send one request, with its client retries at other instances."""
        request_id = f"{first_instance:02x}{count:06x}"
        end_s = time.monotonic() + self._deadline_s
        for attempt_number in range(MAX_ATTEMPTS):
            target = self._targets[(first_instance + attempt_number) % len(self._targets)]
            left_s = end_s - time.monotonic()
            if left_s <= MIN_TIME_LEFT_S:
                return
            ending = await self._send_attempt(target, request_id, attempt_number, class_name, left_s)
            self.counts[ending] += 1
            if ending not in ("refused", "gone") or not self._retry_elsewhere:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send_attempt(
        self, target: Target, request_id: str, attempt_number: int, class_name: str, left_s: float
    ) -> str:
        id_ = f"{request_id}{attempt_number:02x}"
        key = f"k{request_id}"
        begin_s = time.monotonic()
        status, body, ending, written_s = 0, b"", "gone", 0.0
        connection: Connection | None = None
        try:
            async with asyncio.timeout(left_s + GRACE_S):
                connection = await self._get_connection(target)
                # Counted from the time of sending.
                left_ms = int(1000 * (begin_s + left_s - time.monotonic()))
                if left_ms <= 0:
                    raise TimeoutError
                written_s = time.monotonic()
                status, body = await connection.ask(
                    id_, encode_request(class_name, id_, key, left_ms, attempt_number > 0)
                )
                ending = {200: "served", 429: "refused", 503: "refused"}.get(status, "failed")
        except TimeoutError:
            ending = "lost" if written_s else "gone"
        except ConnectionError as error:
            ending = str(error) if written_s else "gone"
        except OSError:
            ending = "gone"
        end_s = time.monotonic()
        if connection is not None:
            if ending in ("served", "refused", "failed") and not connection.unusable:
                if len(target.idle_connections) < MAX_IDLE_CONNECTIONS:
                    target.idle_connections.append(connection)
                else:
                    connection.close()
            else:
                connection.close()
        body_parts = body.decode("latin-1").split(" ")
        self._writer.write(
            "op", end_s, id=id_, logical=request_id, instance=target.name, key=key, begin=round(begin_s, 6),
            written=round(written_s, 6), end=round(end_s, 6), left_s=round(left_s, 4), status=status,
            ending=ending, served_by=body_parts[1] if status == 200 and len(body_parts) > 1 else "",
            own=status != 200 or body_parts[0] == id_, **{"class": class_name},
        )  # fmt: skip
        return ending

    async def _get_connection(self, target: Target) -> Connection:
        while target.idle_connections:
            idle = target.idle_connections.pop()
            if not idle.unusable:
                return idle
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: Connection(self._record_extra_bytes), *target.address
        )
        return connection

    def _record_extra_bytes(self, id_: str) -> None:
        self._writer.write("again", time.monotonic(), id=id_)

    async def _probe_periodically(self, target: Target) -> None:
        while not self._stopped:
            begin_s, status = time.monotonic(), 0
            connection: Connection | None = None
            try:
                async with asyncio.timeout(1.0):
                    loop = asyncio.get_running_loop()
                    _, connection = await loop.create_connection(
                        lambda: Connection(lambda _: None), *target.address
                    )
                    status, _ = await connection.ask("", b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            except (OSError, TimeoutError):
                status = 0
            if connection is not None:
                connection.close()
            end_s = time.monotonic()
            if status != 200 or target.ready != 200:
                self._writer.write(
                    "probe", end_s, instance=target.name, begin=round(begin_s, 6), status=status
                )
            target.ready = status
            await asyncio.sleep(PROBE_S)

    async def end(self) -> Json:
        """Start no more requests, wait for the open ones, and return the counts of endings."""
        self._stopped = True
        for task in self._tasks[: len(self._targets)]:
            task.cancel()
        if self._open_requests:
            await asyncio.wait(list(self._open_requests), timeout=self._deadline_s + 2 * GRACE_S)
        for target in self._targets:
            # Bytes after the final answers on idle connections have been recorded by now.
            for connection in target.idle_connections:
                connection.close()
            target.idle_connections.clear()
        return {"counts": dict(self.counts), "open": len(self._open_requests)}

    def ready(self) -> Json:
        """Return the instances whose last probe was answered with 200, and the counts of endings."""
        return {"ready": [t.name for t in self._targets if t.ready == 200], "counts": dict(self.counts)}


def make_handlers() -> dict[str, Order]:
    state: dict[str, Clients] = {}

    async def begin(order: Json) -> None:
        state["clients"] = Clients(order)

    async def look(order: Json) -> Json:
        return state["clients"].ready()

    async def end(order: Json) -> Json:
        return await state["clients"].end()

    return {"begin": begin, "look": look, "end": end}


if __name__ == "__main__":
    serve(make_handlers)
