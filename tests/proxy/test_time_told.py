"""X-Expires-In-Ms states at most the time that the client has left, whatever delayed the attempt.

The tests advance the clock at the point of the delay; real time that passes only lowers the stated time."""

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
from client_proxy.clock import use_clock
from client_proxy.proxy.client_connection import ClientConnection
from client_proxy.proxy.pipeline import MAX_PIPELINED_REQUESTS
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    Proxy,
    ReceivedRequest,
    Registry,
    entry,
    http_response,
    run,
    settings_json,
    until,
)
from tests.proxy.sockets import proxy as proxy_of
from tests.proxy.test_before_the_write import run_during_dials
from tests.proxy.test_program import connect_with_retry, free_port, start, write_config
from tests.proxy.test_stall import request as stalled_request

EXPIRES_MS = 600_000
BODY_BYTES = 2000  # of pipelined requests
LATE_MS = 100_000.0
SLACK_MS = 150.0  # ms; tolerance, as the kernel states times in ticks


class AdvancedClock:
    """A clock that runs ahead of the system clock by what the test adds."""

    def __init__(self) -> None:
        self.ms = 0.0

    def now_s(self) -> float:
        return time.monotonic() + self.ms / 1000.0

    def pass_ms(self, ms: float) -> None:
        self.ms += ms


@contextmanager
def advanced_clock() -> Iterator[AdvancedClock]:
    clock_ahead = AdvancedClock()
    with use_clock(clock_ahead.now_s, time.time):
        yield clock_ahead


def settings_without_timeouts() -> dict[str, Any]:
    """Settings by which only the clients' deadlines end a request."""
    settings = settings_json()
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = float(EXPIRES_MS)
        if "window_ms" in cls:
            cls["window_ms"] = float(EXPIRES_MS)
    return settings


def stated_expiry_ms(received: ReceivedRequest) -> int:
    return int(received.headers["x-expires-in-ms"])


@pytest.mark.parametrize("delayed", ["its answer", "its wait", "its dial", "all of them"])
def test_retry_states_the_time_left_at_its_write(delayed: str, monkeypatch: pytest.MonkeyPatch) -> None:
    with advanced_clock() as clock_ahead:

        async def fail_first(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if sum(len(host.received) for host in hosts) > 1:
                writer.write(http_response(200))
                return
            if delayed in ("its answer", "all of them"):
                clock_ahead.pass_ms(LATE_MS)
            if delayed in ("its dial", "all of them"):
                run_during_dials(proxies[0], lambda: clock_ahead.pass_ms(LATE_MS))
            writer.write(http_response(500))

        hosts = [Host("a", fail_first), Host("b", fail_first)]
        proxies: list[Proxy] = []

        async def test() -> None:
            async with proxy_of(*hosts, settings=settings_without_timeouts()) as p:
                proxies.append(p)
                if delayed in ("its wait", "all of them"):
                    post = p.engine.post

                    def post_late(event: object) -> None:
                        # The process stalls as the backoff ends: the retry is decided long after it was due.
                        if isinstance(event, TimerFired):
                            clock_ahead.pass_ms(LATE_MS)
                        post(event)  # type: ignore[arg-type]

                    monkeypatch.setattr(p.engine, "post", post_late)
                client = await Client.connect(p.port)
                assert (await client.ask(KEYED_CLASS, expires_ms=EXPIRES_MS))[0] == 200
                first, retry = sorted(
                    (received for host in hosts for received in host.received),
                    key=stated_expiry_ms,
                    reverse=True,
                )
                passed_ms = 3 * LATE_MS if delayed == "all of them" else LATE_MS
                assert stated_expiry_ms(first) <= EXPIRES_MS
                # Each backoff is at least 100 ms.
                assert stated_expiry_ms(retry) <= EXPIRES_MS - passed_ms - 100.0
                client.close()

        run(test())


@pytest.mark.parametrize("pipelined", [3, 3 * MAX_PIPELINED_REQUESTS])
def test_pipelined_requests_expire_counted_from_their_arrival(pipelined: int) -> None:
    # Pipelined requests may wait unparsed until earlier ones are answered. That wait must count: they must
    # not get their full deadline afterwards.
    with advanced_clock() as clock_ahead:

        async def answer_when_released(
            host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            writer.write(http_response(200))

        release = asyncio.Event()

        async def test() -> None:
            host = Host("h", answer_when_released)
            async with proxy_of(host, settings=settings_without_timeouts()) as p:
                client = await Client.connect(p.port)
                client.send(UNSAFE_CLASS, expires_ms=EXPIRES_MS)
                await until(lambda: len(host.received) == 1)
                (connection,) = p.listener.connections
                for number in range(pipelined):
                    client.send(UNSAFE_CLASS, body=b"x" * BODY_BYTES, expires_ms=EXPIRES_MS)
                    await until(lambda number=number: has_arrived(connection, number + 1))  # type: ignore[misc]
                clock_ahead.pass_ms(LATE_MS)
                release.set()
                for _ in range(pipelined + 1):
                    assert (await client.answer())[0] == 200
                assert len(host.received) == pipelined + 1
                assert (
                    max(stated_expiry_ms(received) for received in host.received[1:]) <= EXPIRES_MS - LATE_MS
                )
                client.close()

        def has_arrived(connection: ClientConnection, count: int) -> bool:
            """Whether all requests are read; some of them may not be parsed yet."""
            unparsed = count - len(connection._pipeline)
            return len(connection._unread) >= unparsed * BODY_BYTES

        run(test())


def test_read_pause_does_not_count_against_later_requests() -> None:
    with advanced_clock() as clock_ahead:

        async def test() -> None:
            host = Host("h")
            async with proxy_of(host, settings=settings_without_timeouts()) as p:
                client = await Client.connect(p.port)
                # More requests than are parsed ahead, in one piece: reading is paused and resumed.
                many = b"".join(
                    client.encode_request(UNSAFE_CLASS, expires_ms=EXPIRES_MS)
                    for _ in range(3 * MAX_PIPELINED_REQUESTS)
                )
                client.writer.write(many)
                for _ in range(3 * MAX_PIPELINED_REQUESTS):
                    assert (await client.answer())[0] == 200
                clock_ahead.pass_ms(LATE_MS)  # the connection is idle
                assert (await client.ask(UNSAFE_CLASS, expires_ms=EXPIRES_MS))[0] == 200
                assert stated_expiry_ms(host.received[-1]) > EXPIRES_MS - LATE_MS
                client.close()

        run(test())


def test_stopped_process_counts_expiry_from_the_arrival(tmp_path: Path) -> None:
    # A request that is read after a stop of the process must expire counted from its arrival, not its read.
    stop_s = 1.2

    async def test() -> None:
        host, registry = await Host("h").start(), await Registry().start()
        port = free_port()
        process = await start(
            write_config(
                tmp_path,
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{registry.port}",
                known={"index": 1, "snapshot": True, "endpoints": [entry(host)]},
                settings=settings_without_timeouts(),
            )
        )
        client = await connect_with_retry(port)
        assert (await client.ask(UNSAFE_CLASS, expires_ms=8000))[0] == 200  # starts the listener's sweeps
        process.send_signal(signal.SIGSTOP)
        state = Path(f"/proc/{process.pid}/stat")
        await until(lambda: state.read_text().rpartition(")")[2].split()[0] == "T")
        for number in range(20):
            with socket.create_connection(("127.0.0.1", port)) as disconnected:
                disconnected.sendall(stalled_request(number))
        client.send(UNSAFE_CLASS, expires_ms=8000)
        await client.writer.drain()
        await asyncio.sleep(stop_s)
        process.send_signal(signal.SIGCONT)
        assert (await client.answer())[0] == 200
        assert [
            received.headers["x-trace-id"]
            for received in host.received
            if received.headers["x-trace-id"].startswith("stall")
        ] == []
        assert stated_expiry_ms(host.received[-1]) <= 8000 - 1000 * stop_s + SLACK_MS
        process.send_signal(signal.SIGTERM)
        client.close()
        await process.communicate()
        host.stop()
        registry.stop()

    run(test())
