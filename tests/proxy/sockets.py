"""Shared by the socket tests: scripted servers, a scripted discovery, a client, and a proxy between them.

All listen on 127.0.0.1, on ports that the kernel chooses. Tests wait for events, not for a time to pass; the
timeout is so long that it never decides a result.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import uvloop

from client_proxy.api.settings import Settings
from client_proxy.emulator.server_connection import encode_response
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.proxy.config import Config
from client_proxy.proxy.daemon import ConnectionQuota, Daemon, EndpointSource
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.listener import Listener
from client_proxy.proxy.upstream_pool import UpstreamPool
from client_proxy.settings import read_settings

Json = dict[str, Any]
TEST_TIMEOUT_S = 60.0  # s; longest duration of one test, and of one wait in it
KEYED_CLASS, UNSAFE_CLASS = "extract-issue", "entry-register"


_processes: list[asyncio.subprocess.Process] = []  # processes that the current test has started


async def start_process(*command: str, **options: Any) -> asyncio.subprocess.Process:
    """Start a process that is killed at the end of the test, however the test ends."""
    process = await asyncio.create_subprocess_exec(*command, **options)
    _processes.append(process)
    return process


async def end_processes() -> None:
    while _processes:
        process = _processes.pop()
        if process.returncode is None:
            process.kill()
        await process.wait()


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on uvloop, the event loop that the proxy uses."""

    async def limited() -> None:
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test
        finally:
            await end_processes()

    uvloop.run(limited())


async def until(holds: Callable[[], bool]) -> None:
    """Let the loop run until the condition holds."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not holds():
            await asyncio.sleep(0.002)


def settings_json(**bounds: Any) -> Json:
    """Settings as in the configuration file."""
    return {
        "balancers": 1,
        "bounds": {
            "max_attempts": 3,
            "connect_timeout_ms": 250.0,
            "conn_idle_ms": 60000.0,
            "parallel_tries": True,
            "cancel": True,
            **bounds,
        },
        "categories": [
            {
                "name": KEYED_CLASS,
                "aim_ms": 4000.0,
                "deadline_ms": 8000.0,
                "effect": "dedup",
                "group": "cell",
                "window_ms": 8000.0,
                "worth": 3.0,
            },
            {
                "name": UNSAFE_CLASS,
                "aim_ms": 4000.0,
                "deadline_ms": 8000.0,
                "effect": "fragile",
                "worth": 10.0,
            },
        ],
        "discovery": "subscribe",
        "reporting": {"how": "inline", "fields": ["inflight", "queue", "latency_ms"]},
        "safety": {
            "cold_ms": 1.0,
            "cold_share": 1.0,
            "fall_ms": 2000.0,
            "fall_multiple": 3.0,
            "drain_grace_ms": 1000.0,
            "must_ask_in_ms": 10000.0,
        },
    }


AnswerScript = Callable[["Host", "ReceivedRequest", asyncio.StreamWriter], Awaitable[None]]


@dataclass
class ReceivedRequest:
    """A request that a scripted server received."""

    connection: int
    line: str
    headers: dict[str, str]
    body: bytes


def http_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """A response as the emulated servers encode it; scripted servers may also send anything else."""
    named = [f"{name.replace('_', '-')}: {value}".encode() for name, value in headers.items()]
    return encode_response(status, body, *named)


async def answer_ok(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(http_response(200, b"from " + host.name.encode()))


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one message; returns its start line, headers by lower-case name, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


@dataclass
class Host:
    """A server that answers as its script does, and records its requests and connections."""

    name: str
    answer: AnswerScript = answer_ok
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    open: int = 0
    port: int = 0
    server: asyncio.Server | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def start(self) -> Host:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connections
        self.connections += 1
        self.open += 1
        self.writers.append(writer)
        try:
            while True:
                received = ReceivedRequest(number, *await read_message(reader))
                self.received.append(received)
                await self.answer(self, received, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


@dataclass
class Registry:
    """A discovery service whose watches send what the test writes."""

    calls: list[str] = field(default_factory=list)
    watches: list[asyncio.StreamWriter] = field(default_factory=list)
    port: int = 0
    index: int = 1
    server: asyncio.Server | None = None

    async def start(self) -> Registry:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line, _, _ = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        self.calls.append(line)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk on the newest watch."""
        self.watches[-1].write(b"%x\r\n%b\r\n" % (len(data), data))

    def change(self, *entries: Json, full: bool = False) -> bytes:
        self.index += 1
        message = {"index": self.index, "snapshot": full, "endpoints": list(entries)}
        return json.dumps(message).encode() + b"\n"

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.watches:
            writer.transport.abort()


def entry(host: Host, status: str = "ready", since_ms: int = 0, group: int = 1) -> Json:
    return {
        "name": host.name,
        "address": f"127.0.0.1:{host.port}",
        "zone": "a",
        "type": "m",
        "group": group,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


@dataclass
class Proxy:
    """The parts of a running daemon, and its scripted discovery."""

    engine: Engine
    listener: Listener
    upstream: UpstreamPool
    directory: EndpointDirectory
    discovery: EndpointSource
    registry: Registry
    settings: Settings
    port: int


@asynccontextmanager
async def proxy(
    *hosts: Host, max_connections: int = 100, max_idle: int = 100, settings: Json | None = None
) -> AsyncIterator[Proxy]:
    """Run a ready proxy in front of these servers; all are stopped at the end."""
    registry = await Registry().start()
    for host in hosts:
        if host.server is None:
            await host.start()
    read = read_settings(settings or settings_json())
    config = Config(
        name="test",
        listen=("127.0.0.1", 0),
        discovery=("127.0.0.1", registry.port),
        seed=7,
        settings=read,
        known=None,
        sockets=1024,
    )
    daemon = Daemon(config, quota=ConnectionQuota(100, max_connections, max_idle))
    directory = daemon.directory
    port = await daemon.start()
    await until(lambda: bool(registry.watches))
    registry.send_chunk(registry.change(*[entry(host) for host in hosts], full=True))
    await until(lambda: len(directory.entries) == len(hosts))
    try:
        yield Proxy(
            daemon.engine, daemon.listener, daemon.upstream, directory, daemon.discovery, registry, read, port
        )
    finally:
        daemon.discovery.stop()
        await daemon.listener.shut_down(0.0, 1.0)
        for host in hosts:
            host.stop()
        registry.stop()


class Client:
    """A client of the proxy, on one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def encode_request(
        self,
        cls: str = UNSAFE_CLASS,
        body: bytes = b"form",
        expires_ms: int = 5000,
        key: str = "k",
        **headers: str,
    ) -> bytes:
        named = {"X-Trace-Id": f"{time.monotonic_ns():016x}", "X-Expires-In-Ms": str(expires_ms)}
        if cls == KEYED_CLASS:
            named["Idempotency-Key"] = key
        named |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in named.items())
        head = f"POST /{cls}/7f3a HTTP/1.1\r\nHost: app.svc\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    def send(self, cls: str = UNSAFE_CLASS, **kwargs: Any) -> None:
        self.writer.write(self.encode_request(cls, **kwargs))

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        line, headers, body = await read_message(self.reader)
        return int(line.split()[1]), headers, body

    async def ask(self, cls: str = UNSAFE_CLASS, **kwargs: Any) -> tuple[int, dict[str, str], bytes]:
        self.send(cls, **kwargs)
        return await self.answer()

    def close(self) -> None:
        self.writer.transport.abort()
