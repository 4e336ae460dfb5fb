"""The time that an attempt tells its host is at most what is left to its client, whatever held it up.

The clock is set forward at the crossing in question, and what passes beside it makes the told time less."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from client_proxy.api.events import TimerFired
from client_proxy.clock import driven
from client_proxy.proxy.client_connection import MAX_PIPELINED_REQUESTS, ClientConnection
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    Proxy,
    ReceivedRequest,
    Registry,
    entry,
    http,
    run,
    settings_json,
    until,
)
from tests.proxy.sockets import proxy as proxy_of
from tests.proxy.test_before_the_write import during_dials
from tests.proxy.test_program import connected, free_port, start, written
from tests.proxy.test_stall import request as stalled

EXPIRES_MS = 600_000
LATE_MS = 100_000.0
SLACK_MS = 150.0  # the system tells times in ticks


class Ahead:
    """A clock that runs ahead of the system's by what the test adds."""

    def __init__(self) -> None:
        self.ms = 0.0

    def now_s(self) -> float:
        return time.monotonic() + self.ms / 1000.0

    def pass_ms(self, ms: float) -> None:
        self.ms += ms


@contextmanager
def clock() -> Iterator[Ahead]:
    ahead = Ahead()
    with driven(ahead.now_s, time.time):
        yield ahead


def patient() -> dict[str, Any]:
    """Settings by which nothing but the clients' time ends a request."""
    settings = settings_json()
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = float(EXPIRES_MS)
        if "window_ms" in cls:
            cls["window_ms"] = float(EXPIRES_MS)
    return settings


def told_ms(got: ReceivedRequest) -> int:
    return int(got.headers["x-expires-in-ms"])


@pytest.mark.parametrize("late", ["its answer", "its wait", "its dial", "all of them"])
def test_a_further_attempt_tells_what_is_left_then(late: str, monkeypatch: pytest.MonkeyPatch) -> None:
    with clock() as ahead:

        async def failing(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if sum(len(host.received) for host in hosts) > 1:
                writer.write(http(200))
                return
            if late in ("its answer", "all of them"):
                ahead.pass_ms(LATE_MS)
            if late in ("its dial", "all of them"):
                during_dials(proxies[0], lambda: ahead.pass_ms(LATE_MS))
            writer.write(http(500))

        hosts = [Host("a", failing), Host("b", failing)]
        proxies: list[Proxy] = []

        async def test() -> None:
            async with proxy_of(*hosts, settings=patient()) as p:
                proxies.append(p)
                if late in ("its wait", "all of them"):
                    post = p.engine.post

                    def posted(event: object) -> None:
                        # The process stands still as its wait ends: it is decided long after it was due.
                        if isinstance(event, TimerFired):
                            ahead.pass_ms(LATE_MS)
                        post(event)  # type: ignore[arg-type]

                    monkeypatch.setattr(p.engine, "post", posted)
                client = await Client.connect(p.port)
                assert (await client.ask(KEYED_CLASS, expires_ms=EXPIRES_MS))[0] == 200
                first, further = sorted(
                    (got for host in hosts for got in host.received), key=told_ms, reverse=True
                )
                passed_ms = 3 * LATE_MS if late == "all of them" else LATE_MS
                assert told_ms(first) <= EXPIRES_MS
                # Each wait is 100 ms at the least.
                assert told_ms(further) <= EXPIRES_MS - passed_ms - 100.0
                client.close()

        run(test())


@pytest.mark.parametrize("ahead_of_it", [3, 3 * MAX_PIPELINED_REQUESTS])
def test_requests_sent_ahead_are_counted_from_when_they_came(ahead_of_it: int) -> None:
    # They stayed in the system's hands until those before had their answers, and had all of their time then.
    with clock() as ahead:

        async def held(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(http(200))

        release = asyncio.Event()

        async def test() -> None:
            host = Host("h", held)
            async with proxy_of(host, settings=patient()) as p:
                client = await Client.connect(p.port)
                client.send(UNSAFE_CLASS, expires_ms=EXPIRES_MS)
                await until(lambda: len(host.received) == 1)
                (connection,) = p.listener.connections
                for number in range(ahead_of_it):
                    client.send(UNSAFE_CLASS, body=b"x" * 2000, expires_ms=EXPIRES_MS)
                    await until(lambda number=number: come(connection, number + 1))  # type: ignore[misc]
                ahead.pass_ms(LATE_MS)
                release.set()
                for _ in range(ahead_of_it + 1):
                    assert (await client.answer())[0] == 200
                assert len(host.received) == ahead_of_it + 1
                assert max(told_ms(got) for got in host.received[1:]) <= EXPIRES_MS - LATE_MS
                client.close()

        def come(connection: ClientConnection, count: int) -> bool:
            """All of them are read, or in the system's hands."""
            transport, peer = connection._transport, connection._socket_state
            assert transport is not None
            assert peer is not None
            waits = not transport.is_reading() and peer.has_unread_data()
            return len(connection._pipeline) >= count or waits

        run(test())


def test_a_pause_of_reading_is_not_held_against_what_comes_after_it() -> None:
    with clock() as ahead:

        async def test() -> None:
            host = Host("h")
            async with proxy_of(host, settings=patient()) as p:
                client = await Client.connect(p.port)
                # More than is parsed ahead, in one piece: reading is paused, and goes on.
                many = b"".join(
                    client.encode_request(UNSAFE_CLASS, expires_ms=EXPIRES_MS)
                    for _ in range(3 * MAX_PIPELINED_REQUESTS)
                )
                client.writer.write(many)
                for _ in range(3 * MAX_PIPELINED_REQUESTS):
                    assert (await client.answer())[0] == 200
                ahead.pass_ms(LATE_MS)  # it rests
                assert (await client.ask(UNSAFE_CLASS, expires_ms=EXPIRES_MS))[0] == 200
                assert told_ms(host.received[-1]) > EXPIRES_MS - LATE_MS
                client.close()

        run(test())


def test_a_stopped_process_tells_the_time_since_its_requests_came(tmp_path: Path) -> None:
    # Read after the stop, they were counted from then.
    stop_s = 1.2

    async def test() -> None:
        host, registry = await Host("h").start(), await Registry().start()
        port = free_port()
        process = await start(
            written(
                tmp_path,
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{registry.port}",
                known={"index": 1, "snapshot": True, "endpoints": [entry(host)]},
                settings=patient(),
            )
        )
        client = await connected(port)
        assert (await client.ask(UNSAFE_CLASS, expires_ms=8000))[0] == 200  # the sweeps are on
        process.send_signal(signal.SIGSTOP)
        state = Path(f"/proc/{process.pid}/stat")
        await until(lambda: state.read_text().rpartition(")")[2].split()[0] == "T")
        for number in range(20):
            with socket.create_connection(("127.0.0.1", port)) as gone:
                gone.sendall(stalled(number))
        client.send(UNSAFE_CLASS, expires_ms=8000)
        await client.writer.drain()
        await asyncio.sleep(stop_s)
        process.send_signal(signal.SIGCONT)
        assert (await client.answer())[0] == 200
        assert [
            got.headers["x-trace-id"]
            for got in host.received
            if got.headers["x-trace-id"].startswith("stall")
        ] == []
        assert told_ms(host.received[-1]) <= 8000 - 1000 * stop_s + SLACK_MS
        process.send_signal(signal.SIGTERM)
        client.close()
        await process.communicate()
        host.stop()
        registry.stop()

    run(test())
