"""How late a sound client is answered while others send small requests at full speed, and the memory taken.

    python -m benchmarks.full_speed [--kinds ready small] [--clients 1 6] [--seconds 5]

Each client that sends at full speed is a process of its own with one connection, and opens a new one when the
proxy closes it. Prints the longest time to an answer of the sound client, how many of its requests were
answered in time, the peak of the proxy's memory, and what share of the floods' requests was answered.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
import sys
import threading
import time

from benchmarks.client_memory import (
    DEADLINE_MS,
    HOST,
    LATE_LIMIT_S,
    RunningProxy,
    request,
    status_mb,
)

BLOCK_REQUESTS = 400  # written at a time
READ_BYTES = 1 << 16
READY = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
KINDS = ("ready", "small", "unknown", "malformed", "unread")


def block(kind: str) -> bytes:
    """What a client at full speed writes at a time, with new ids."""
    if kind == "ready":
        return READY * BLOCK_REQUESTS
    if kind == "malformed":
        return b"nonsense\r\n\r\n" * BLOCK_REQUESTS
    requests = b"".join(request() for _ in range(BLOCK_REQUESTS))
    if kind == "unknown":
        return requests.replace(b"/entry-register/", b"/new-%d/" % time.monotonic_ns())
    return requests


def drain(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(READ_BYTES):
            pass


def flood(kind: str, port: int, seconds: float) -> None:
    """Send at full speed for some seconds."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError), socket.create_connection((HOST, port)) as sock:
            sock.settimeout(1.0)
            if kind != "unread":
                threading.Thread(target=drain, args=(sock,), daemon=True).start()
            while time.monotonic() < end_s:
                sock.sendall(block(kind))


async def ask_on(port: int, end_s: float) -> tuple[int, int, float]:
    """A sound client; returns how many requests it sent, how many were in time, and the longest time in s."""
    loop = asyncio.get_running_loop()
    sent = in_time = 0
    longest_s = 0.0
    limit_s = DEADLINE_MS / 1000.0 + LATE_LIMIT_S
    while loop.time() < end_s:
        sent += 1
        begin_s = loop.time()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(request())
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
                in_time += 1
        longest_s = max(longest_s, loop.time() - begin_s)
        await asyncio.sleep(0.02)
    return sent, in_time, longest_s


async def measure(kind: str, clients: int, seconds: float) -> str:
    async with RunningProxy(192, 1024) as proxy:
        loop = asyncio.get_running_loop()
        command = (sys.executable, "-m", "benchmarks.full_speed", "--flood", kind)
        floods = [
            await asyncio.create_subprocess_exec(
                *command, "--port", str(proxy.port), "--seconds", str(seconds)
            )
            for _ in range(clients)
        ]
        sent, in_time, longest_s = await ask_on(proxy.port, loop.time() + seconds)
        for process in floods:
            await process.wait()
        peak_mb = status_mb(proxy.pid, "VmHWM")
    return f"{kind:10} {clients:7}  {in_time:4} of {sent:4}  {longest_s * 1000.0:10.0f}  {peak_mb:7.1f}"


async def measure_all(kinds: list[str], clients: list[int], seconds: float) -> None:
    print("kind       clients  sound in time  longest ms  MB peak")
    for kind in kinds:
        for count in clients:
            print(await measure(kind, count, seconds), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--kinds", nargs="+", choices=KINDS, default=list(KINDS))
    parser.add_argument("--clients", nargs="+", type=int, default=[1, 6])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--flood", choices=KINDS, help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.flood is not None:
        flood(options.flood, options.port, options.seconds)
    else:
        asyncio.run(measure_all(options.kinds, options.clients, options.seconds))


if __name__ == "__main__":
    main()
