"""Peak of a proxy's memory by the number and the kind of clients that make it hold something.

    python -m benchmarks.client_memory [--memory-mb 192] [--sockets 1024] [--kinds ahead half]

Starts the proxy as the platform does, with nine servers and one sound client, and lets unsound clients of
one kind connect at once. Prints for each kind and number the peak of the resident memory, and how many
requests of the sound client were answered in time.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

Json = dict[str, Any]

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
SERVERS = 9
CLIENTS = (100, 200, 400, 800)
START_S = 1.5  # s until the proxy is ready
PLAY_S = 4.0  # s for which unsound clients stay
DEADLINE_MS = 800
LATE_LIMIT_S = 0.5  # s behind its deadline from which on a request counts as lost
BODY_BYTES = 64 * 1024
CLASS = "entry-register"
SETTINGS: Json = {
    "balancers": 3,
    "zone": "",
    "bounds": {"max_attempts": 3, "connect_timeout_ms": 250.0, "conn_idle_ms": 4000.0, "connections": 300},
    "categories": [{"name": CLASS, "aim_ms": 200.0, "deadline_ms": 800.0, "effect": "fragile", "worth": 1.0}],
    "discovery": "subscribe",
    "reporting": {"how": "inline", "fields": ["inflight", "queue"]},
    "safety": {
        "cold_ms": 1000.0,
        "cold_share": 0.2,
        "fall_ms": 2000.0,
        "fall_multiple": 3.0,
        "drain_grace_ms": 300.0,
        "must_ask_in_ms": 10000.0,
    },
}

last_id = 0


def head(*lines: str) -> bytes:
    """The head of a request with a new trace id, up to its last line break."""
    global last_id
    last_id += 1
    all_lines = (
        f"POST /{CLASS}/7f3a HTTP/1.1",
        "Host: app.svc",
        f"X-Trace-Id: {last_id:016x}",
        f"X-Expires-In-Ms: {DEADLINE_MS}",
        *lines,
    )
    return "\r\n".join(all_lines).encode() + b"\r\n"


SHORT_FIELDS = tuple(f"X-{number}: 1" for number in range(120))


def request(body: bytes = b"form", *lines: str) -> bytes:
    return head(*lines, f"Content-Length: {len(body)}") + b"\r\n" + body


# What each kind of unsound client sends at once; then it stays, and reads nothing, unless it goes.
KINDS: dict[str, Callable[[], bytes]] = {
    "resting": lambda: b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n",
    "fields": lambda: head(*SHORT_FIELDS),
    "half": lambda: head(f"Content-Length: {BODY_BYTES}") + b"\r\n" + b"x" * (BODY_BYTES - 1),
    "chunks": lambda: head("Transfer-Encoding: chunked") + b"\r\n" + b"2\r\nxx\r\n" * (BODY_BYTES // 2 - 100),
    "ahead": lambda: b"".join(request(b"form", *SHORT_FIELDS) for _ in range(33)),
    "bodies": lambda: b"".join(request(b"x" * BODY_BYTES) for _ in range(4)),
    "unread": lambda: b"".join(request(b"long") for _ in range(8)),
}
GOES = ("ahead",)


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server that answers each request, with a long body where the request asks for one."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
            length = next(int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length"))
            body = await reader.readexactly(length)
            answered = b"y" * BODY_BYTES if body == b"long" else b"done"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answered), answered))
    writer.close()


def serve_list(ports: list[int]) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    entries = [
        {"name": f"s-{port}", "address": f"{HOST}:{port}", "status": "ready", "since_ms": 0} for port in ports
    ]
    line = json.dumps({"index": 1, "snapshot": True, "endpoints": entries}).encode() + b"\n"

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(1.0)
                line_end = b"1\r\n\n\r\n"
                writer.write(line_end)

    return watch


async def sound_client(port: int, end_s: float) -> tuple[int, int]:
    """Send one request after the other; returns how many were sent and how many were answered in time."""
    loop = asyncio.get_running_loop()
    sent = answered = 0
    while loop.time() < end_s:
        sent += 1
        begin_s = loop.time()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000.0 + LATE_LIMIT_S):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(request())
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
                answered += loop.time() - begin_s <= DEADLINE_MS / 1000.0 + LATE_LIMIT_S
        await asyncio.sleep(0.02)
    return sent, answered


async def unsound_client(port: int, kind: str) -> None:
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(KINDS[kind]())
        if kind in GOES:
            await writer.drain()
        else:
            await asyncio.sleep(PLAY_S)
        writer.close()


def status_mb(pid: int, field: str) -> float:
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next((int(line.split()[1]) / 1024.0 for line in lines if line.startswith(field)), float("nan"))


class RunningProxy:
    """A proxy process between servers and discovery of its own, for one measurement."""

    def __init__(self, memory_mb: int, sockets: int) -> None:
        self._limits = {"memory_mb": memory_mb, "sockets": sockets}
        self.port = 0
        self.pid = 0

    async def __aenter__(self) -> RunningProxy:
        self._servers = [await asyncio.start_server(answer, HOST, 0) for _ in range(SERVERS)]
        ports = [server.sockets[0].getsockname()[1] for server in self._servers]
        discovery = await asyncio.start_server(serve_list(ports), HOST, 0)
        self._servers.append(discovery)
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self._folder = tempfile.TemporaryDirectory()
        config = Path(self._folder.name) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{discovery.sockets[0].getsockname()[1]}",
                    "limits": self._limits,
                    "settings": SETTINGS,
                }
            )
        )
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "client_proxy.proxy", "--operators", "deploy/platform.toml",
            cwd=ROOT, env=os.environ | {"LB_CONFIG": str(config)}, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self.pid = self._process.pid
        await asyncio.sleep(START_S)
        return self

    async def __aexit__(self, *error: object) -> None:
        self._process.kill()
        await self._process.wait()
        for server in self._servers:
            server.close()
        self._folder.cleanup()


async def measure(kind: str, clients: int, memory_mb: int, sockets: int) -> str:
    """Start a proxy, let the clients come, and return a row of the table."""
    async with RunningProxy(memory_mb, sockets) as proxy:
        loop = asyncio.get_running_loop()
        start_mb = status_mb(proxy.pid, "VmRSS")
        sound = asyncio.create_task(sound_client(proxy.port, loop.time() + PLAY_S + 1.0))
        await asyncio.sleep(0.3)
        many = kinds_of(kind, clients)
        await asyncio.gather(*(unsound_client(proxy.port, each) for each in many))
        sent, answered = await sound
        peak_mb = status_mb(proxy.pid, "VmHWM")
    return f"{kind:8} {clients:7}  {start_mb:8.1f}  {peak_mb:7.1f}  {answered:4} of {sent}"


def kinds_of(kind: str, clients: int) -> list[str]:
    kinds = list(KINDS)
    return [kinds[number % len(kinds)] if kind == "all" else kind for number in range(clients)]


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--kinds", nargs="+", default=[*KINDS, "all"], choices=[*KINDS, "all"])
    parser.add_argument("--clients", nargs="+", type=int, default=list(CLIENTS))
    options = parser.parse_args()
    print(f"memory_mb {options.memory_mb}, {options.sockets} descriptors")
    print("kind     clients  MB before  MB peak  sound requests in time")
    for kind in options.kinds:
        for clients in options.clients:
            print(await measure(kind, clients, options.memory_mb, options.sockets), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
