"""Measures what the daemon costs per request, compared with a direct connection and with a byte relay.

    python -m benchmarks.overhead [--requests 6000] [--rounds 3] [--connections 1 32 128] [--profile FILE]

One client keeps `--connections` connections with one pending request each to a server that answers at
once. Between them is nothing, a byte relay or the daemon; each is a separate process on uvloop. Every
round measures the three targets in turn, so that a drift of the machine's speed affects them alike. CPU
is the user and system time of the process in between, per request. Prints JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parents[1]
SEED = 1
WARM_UP_REQUESTS = 500
CLASS = "look-up"


def platform_settings() -> dict[str, Any]:
    """Returns the settings of the platform that the daemon is started with."""
    return {
        "balancers": 1,
        "bounds": {
            "max_attempts": 3,
            "connect_timeout_ms": 250.0,
            "conn_idle_ms": 60000.0,
            "parallel_tries": True,
            "cancel": True,
        },
        "categories": [
            {
                "name": CLASS,
                "aim_ms": 5000.0,
                "deadline_ms": 10000.0,
                "effect": "dedup",
                "group": "all",
                "window_ms": 5000.0,
                "worth": 1.0,
            }
        ],
        "discovery": "automatic",
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


# The server and the relay, each in a process, and the client


class InstantServer(asyncio.Protocol):
    """A server that answers each request at once; it expects the body `form` right after the head."""

    ANSWER = (
        b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=1, queue=0, latency_ms=1.5\r\n"
        b"Content-Length: 32\r\n\r\n" + b"x" * 32
    )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._rest = b""

    def data_received(self, data: bytes) -> None:
        self._rest += data
        while (end := self._rest.find(b"\r\n\r\nform")) >= 0:
            self._rest = self._rest[end + 8 :]
            self._transport.write(self.ANSWER)


class Relay(asyncio.Protocol):
    """A connection that forwards all bytes to the other side unchanged."""

    def __init__(self, address: tuple[str, int] | None, other: Relay | None = None) -> None:
        self._address, self._other = address, other
        self._buffered: list[bytes] = []
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self._address is not None:
            asyncio.get_running_loop().create_task(self._dial(self._address))

    async def _dial(self, address: tuple[str, int]) -> None:
        upstream = Relay(None, self)
        await asyncio.get_running_loop().create_connection(lambda: upstream, *address)
        self._other = upstream
        for data in self._buffered:
            upstream.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self._other is None:
            self._buffered.append(data)
        else:
            self._other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._other is not None and self._other.transport is not None:
            self._other.transport.close()


async def run_process(name: str, to: str) -> None:
    """Runs the server, or the relay to address `to`, and prints its port."""
    loop = asyncio.get_running_loop()
    address: tuple[str, int] | None = None
    if to:
        host, port = to.rsplit(":", 1)
        address = (host, int(port))
    server = await loop.create_server(
        (lambda: InstantServer()) if name == "server" else (lambda: Relay(address)),
        "127.0.0.1",
        0,
        backlog=1024,
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


class LoadConnection(asyncio.Protocol):
    """A connection of the client; it sends the next request as soon as the last one is answered."""

    def __init__(self, load: Load) -> None:
        self._load_of_connection = load
        self._rest = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def send_request(self) -> None:
        self._request_start_s = time.perf_counter()
        self.transport.write(self._load_of_connection.next_request())

    def data_received(self, data: bytes) -> None:
        self._rest += data
        head = self._rest.find(b"\r\n\r\n")
        if head < 0 or len(self._rest) < head + 4 + 32:
            return
        served = self._rest.startswith(b"HTTP/1.1 200")
        self._rest = b""
        self._load_of_connection.on_response(self, time.perf_counter() - self._request_start_s, served)

    def connection_lost(self, exc: Exception | None) -> None:
        self._load_of_connection.on_connection_lost(self)


class Load:
    """`count` requests that the connections share, with their latencies and failures."""

    def __init__(self, count: int) -> None:
        self.requests_left = count
        self.latencies_s: list[float] = []
        self.failed = 0
        self._sent = 0
        self._pending = 0
        self._done = asyncio.get_running_loop().create_future()

    def next_request(self) -> bytes:
        self._sent += 1
        id_ = f"{os.getpid():x}-{time.monotonic_ns():x}-{self._sent:x}"
        return (
            f"POST /{CLASS}/7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id_}\r\n"
            f"X-Expires-In-Ms: 8000\r\nIdempotency-Key: {id_}\r\nContent-Length: 4\r\n\r\nform"
        ).encode()

    def start(self, connection: LoadConnection) -> None:
        if self.requests_left > 0:
            self.requests_left -= 1
            self._pending += 1
            connection.send_request()

    def on_response(self, connection: LoadConnection, latency_s: float, served: bool) -> None:
        self._pending -= 1
        self.latencies_s.append(latency_s)
        self.failed += not served
        self.start(connection)
        if not self._pending and not self._done.done():
            self._done.set_result(None)

    def on_connection_lost(self, connection: LoadConnection) -> None:
        """Does nothing; a lost connection is neither reopened nor counted as a failure."""

    async def run(self, address: tuple[str, int], connections: int) -> None:
        loop = asyncio.get_running_loop()
        open_connections = []
        for _ in range(connections):
            _, connection = await loop.create_connection(lambda: LoadConnection(self), *address)
            open_connections.append(connection)
        for connection in open_connections:
            self.start(connection)
        await self._done
        for connection in open_connections:
            connection.transport.close()


# The measurement


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def spawn(*arguments: str, env: dict[str, str] | None = None) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, *arguments], cwd=ROOT, env=os.environ | (env or {}), stdout=subprocess.PIPE
    )


def port_of(process: subprocess.Popen[bytes]) -> int:
    assert process.stdout is not None
    return int(process.stdout.readline())


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def wait_ready(address: tuple[str, int]) -> None:
    deadline_s = time.monotonic() + 20
    while time.monotonic() < deadline_s:
        try:
            with socket.create_connection(address, 1) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                if sock.recv(64).startswith(b"HTTP/1.1 200"):
                    return
        except OSError:
            pass
        time.sleep(0.05)
    raise SystemExit("the daemon was not ready")


def measure(address: tuple[str, int], pid: int | None, connections: int, requests: int) -> dict[str, float]:
    async def run() -> tuple[Load, float, float]:
        warm = Load(WARM_UP_REQUESTS)
        await warm.run(address, connections)
        cpu_before_s, start_s = cpu_s(pid) if pid else 0.0, time.perf_counter()
        load = Load(requests)
        await load.run(address, connections)
        return load, cpu_before_s, start_s

    load, cpu_before_s, start_s = uvloop.run(run())
    wall_s = time.perf_counter() - start_s
    used_cpu_s = cpu_s(pid) - cpu_before_s if pid else 0.0
    sorted_latencies = sorted(load.latencies_s)
    return {
        "requests_per_s": requests / wall_s,
        "cpu_us": 1e6 * used_cpu_s / requests,
        "p50_us": 1e6 * sorted_latencies[len(sorted_latencies) // 2],
        "p99_us": 1e6 * sorted_latencies[int(len(sorted_latencies) * 0.99)],
        "failed": load.failed,
    }


def start_daemon(folder: Path, server: int, profile: str | None) -> tuple[subprocess.Popen[bytes], int]:
    port = free_port("127.0.0.3")
    entries = [
        {
            "name": f"s{n}",
            "address": f"127.0.0.1:{server}",
            "zone": "a",
            "type": "m",
            "group": 1,
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for n in range(4)
    ]
    config = {
        "name": "bench",
        "listen": f"127.0.0.3:{port}",
        "discovery": f"127.0.0.3:{free_port('127.0.0.3')}",  # no listener; the known endpoints stay in use
        "seed": f"{SEED:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        "settings": platform_settings(),
    }
    file = folder / "config.json"
    file.write_text(json.dumps(config))
    arguments = ["-m", "client_proxy.proxy"]
    if profile:
        arguments = ["-m", "cProfile", "-o", profile, *arguments]
    env = {"LB_CONFIG": str(file), "LB_LISTEN": "", "LB_DISCOVERY": "", "LB_NAME": ""}
    daemon = subprocess.Popen(
        [sys.executable, *arguments], cwd=ROOT, env=os.environ | env, stderr=(folder / "log").open("wb")
    )
    wait_ready(("127.0.0.3", port))
    return daemon, port


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--part", nargs=2)
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--connections", type=int, nargs="*", default=[1, 32, 128])
    parser.add_argument(
        "--profile", help="write the daemon's profile there (profiling makes the figures invalid)"
    )
    args = parser.parse_args()
    if args.part:
        uvloop.run(run_process(*args.part))
        return 0
    running: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            server = spawn("-m", "benchmarks.overhead", "--part", "server", "")
            running.append(server)
            server_port = port_of(server)
            relay = spawn("-m", "benchmarks.overhead", "--part", "relay", f"127.0.0.1:{server_port}")
            running.append(relay)
            relay_port = port_of(relay)
            daemon, port = start_daemon(Path(folder), server_port, args.profile)
            running.append(daemon)
            targets = {
                "direct": (("127.0.0.1", server_port), None),
                "relay": (("127.0.0.1", relay_port), relay.pid),
                "daemon": (("127.0.0.3", port), daemon.pid),
            }
            figures: dict[str, Any] = {}
            for connections in args.connections:
                rounds: dict[str, list[dict[str, float]]] = {name: [] for name in targets}
                for _ in range(args.rounds):
                    for name, (address, pid) in targets.items():
                        rounds[name].append(measure(address, pid, connections, args.requests))
                figures[str(connections)] = {
                    name: {
                        figure: {
                            "median": round(median(each[figure] for each in measurements), 1),
                            "least": round(min(each[figure] for each in measurements), 1),
                            "most": round(max(each[figure] for each in measurements), 1),
                        }
                        for figure in measurements[0]
                    }
                    for name, measurements in rounds.items()
                }
            daemon.send_signal(signal.SIGTERM)
            daemon.wait(30)
            largest_child_mb = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss // 1024
        finally:
            for process in running:
                if process.poll() is None:
                    process.kill()
                process.wait()
    header = {"seed": SEED, "cores": os.cpu_count(), "requests": args.requests, "rounds": args.rounds}
    print(json.dumps({**header, "largest_child_mb": largest_child_mb, "connections": figures}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
