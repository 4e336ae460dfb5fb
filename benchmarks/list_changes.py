"""What lists of discovery cost a proxy, by the size of the fleet and of the pieces in which a list comes.

    python -m benchmarks.list_changes

Two tables: CPU time of one change of a list, from its text to the balancer's decision, by the number of
endpoints that are listed; and CPU time and longest hold of the event loop for one complete list, by the
number of its entries and the size of the chunks in which it comes.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import uvloop

from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.operators import load_operators
from client_proxy.proxy.config import Config
from client_proxy.proxy.daemon import Daemon
from client_proxy.proxy.endpoint_watch import EndpointWatch
from client_proxy.settings import read_settings

Json = dict[str, Any]

FLEET_SIZES = (200, 800, 3200)
PIECE_BYTES = (1, 8, 64, 1024, 65536)
CHANGES = 300  # changes of which the mean is taken
READ_BYTES = 256 * 1024  # most that the event loop reads from a socket at a time
PLATFORM = Path(__file__).parent.parent / "deploy" / "platform.toml"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SETTINGS: Json = {
    "balancers": 200,
    "zone": "z0",
    "zones": ["z0", "z1", "z2"],
    "bounds": {"max_attempts": 3, "connect_timeout_ms": 250.0, "conn_idle_ms": 4000.0},
    "categories": [{"name": "lookup", "aim_ms": 200.0, "deadline_ms": 800.0, "effect": "retryable"}],
    "discovery": "subscribe",
    "reporting": {"how": "inline", "fields": ["inflight", "queue"]},
    "safety": {
        "cold_ms": 6000.0,
        "cold_share": 0.2,
        "fall_ms": 2000.0,
        "fall_multiple": 3.0,
        "drain_grace_ms": 300.0,
        "must_ask_in_ms": 10000.0,
    },
}


class OpenTransport(asyncio.Transport):
    """A transport that is always open and sends nothing."""

    def is_reading(self) -> bool:
        return True

    def pause_reading(self) -> None:
        pass

    def abort(self) -> None:
        pass


def entries(count: int) -> list[Json]:
    return [
        {
            "name": f"s-{number:08x}",
            "address": f"127.0.0.1:{2000 + number}",
            "zone": f"z{number // 8 % 3}",
            "group": number // 8,
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for number in range(count)
    ]


def message(index: int, listed: list[Json], full: bool = False) -> bytes:
    return json.dumps({"index": index, "snapshot": full, "endpoints": listed}).encode() + b"\n"


class WatchedDaemon:
    """A daemon of the platform, and a watch whose bytes the benchmark makes."""

    def __init__(self) -> None:
        config = Config(
            name="benchmark",
            listen=("127.0.0.1", 0),
            discovery=("127.0.0.1", 1),
            seed=1,
            settings=read_settings(SETTINGS),
            known=None,
            sockets=1024,
        )
        self.daemon = Daemon(config, operators=load_operators(PLATFORM))
        self.lists = 0
        directory: EndpointDirectory = self.daemon.directory

        def on_message(received: Any) -> bool:
            self.lists += 1
            self.daemon.engine.notify_endpoints(directory.apply_list(received))
            return False

        self.watch = EndpointWatch(directory.read_text, on_message, lambda *_: None)
        self.watch.connection_made(OpenTransport())
        self.watch.data_received(HEAD)

    def idle(self) -> bool:
        """Whether the balancer knows what the directory knows."""
        return set(self.daemon.engine.balancer.endpoint_set.endpoints) == set(self.daemon.directory.entries)

    async def send(self, text: bytes, piece_bytes: int) -> float:
        """Receive a text in chunks; returns the longest hold of the loop in s."""
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(piece), piece)
            for piece in (text[at : at + piece_bytes] for at in range(0, len(text), piece_bytes))
        )
        expected = self.lists + 1
        longest_s = 0.0
        at = 0
        while self.lists < expected or not self.idle():
            begin_s = time.perf_counter()
            if at < len(chunks):
                self.watch.data_received(chunks[at : at + READ_BYTES])
                at += READ_BYTES
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.perf_counter() - begin_s)
        return longest_s


def changes(listed: list[Json]) -> Iterator[bytes]:
    """Each endpoint in turn drains, is gone, and comes back as a new process."""
    for number in range(CHANGES):
        entry = listed[number // 3 % len(listed)]
        status = ("draining", "gone", "ready")[number % 3]
        yield message(2 + number, [{**entry, "status": status, "since_ms": 0}])


async def one_change(count: int) -> float:
    """CPU time in ms of one change, where `count` endpoints are listed."""
    watched = WatchedDaemon()
    listed = entries(count)
    await watched.send(message(1, listed, full=True), 65536)
    texts = [b"%x\r\n%b\r\n" % (len(text), text) for text in changes(listed)]
    begin_s = time.process_time()
    for text in texts:
        watched.watch.data_received(text)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    return (time.process_time() - begin_s) / CHANGES * 1000.0


async def one_list(count: int, piece_bytes: int) -> tuple[float, float]:
    """CPU time and longest hold in ms of one complete list that comes in pieces."""
    watched = WatchedDaemon()
    gc.collect()
    begin_s = time.process_time()
    longest_s = await watched.send(message(1, entries(count), full=True), piece_bytes)
    return (time.process_time() - begin_s) * 1000.0, longest_s * 1000.0


def main() -> None:
    logging.disable()  # nothing listens at the address of discovery
    print("endpoints  ms of CPU for one change")
    for count in FLEET_SIZES:
        print(f"{count:9}  {uvloop.run(one_change(count)):.3f}")
    print("\nendpoints  bytes a piece  ms of CPU  longest hold in ms")
    for count in FLEET_SIZES:
        for piece_bytes in PIECE_BYTES:
            cpu_ms, hold_ms = uvloop.run(one_list(count, piece_bytes))
            print(f"{count:9}  {piece_bytes:13}  {cpu_ms:9.1f}  {hold_ms:18.1f}")


if __name__ == "__main__":
    main()
