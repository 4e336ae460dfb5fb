"""What is looked at again right before an attempt's first byte: the repeat window, the drain, the client.

The crossing is forced by the hook at which a dial makes its socket, between the decision and the write."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from client_proxy.api.events import Event, Outcome, RequestArrived, TimerFired
from client_proxy.clock import driven
from client_proxy.proxy.dialling import open_socket
from client_proxy.proxy.upstream_attempt import AttemptResult
from client_proxy.proxy.upstream_connection import UpstreamConnection
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    Proxy,
    ReceivedRequest,
    http,
    proxy,
    run,
    settings_json,
    until,
)
from tests.proxy.test_upstream import one, request, upstream

WINDOW_MS = 2000.0


def during_dials(p: Proxy, happen: Callable[[], None]) -> None:
    """Let it happen in each dial from now on."""

    def made(family: int) -> socket.socket:
        happen()
        return open_socket(family)

    p.upstream._dialler.make_socket = made


def patient() -> dict[str, Any]:
    """Settings by which nothing but the test ends a request."""
    settings = settings_json()
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = 600_000.0
        if "window_ms" in cls:
            cls["window_ms"] = WINDOW_MS
    return settings


@pytest.mark.parametrize(("dial_ms", "repeated"), [(0.0, True), (WINDOW_MS, False)])
def test_a_repeat_is_written_within_its_window_or_not_at_all(dial_ms: float, repeated: bool) -> None:
    # Decided 929 ms after the first, written 1089 ms after it, with a window of 1000 ms: it ran twice.
    ahead_s = 0.0

    def dial() -> None:
        nonlocal ahead_s
        ahead_s += dial_ms / 1000.0

    async def broken(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if hosts[0].received and hosts[1].received:
            writer.write(http(200, b"second"))
            return
        during_dials(proxies[0], dial)
        writer.write(http(500))

    hosts = [Host("a", broken), Host("b", broken)]
    proxies: list[Proxy] = []

    async def test() -> None:
        async with proxy(*hosts, settings=patient()) as p:
            proxies.append(p)
            client = await Client.connect(p.port)
            status, _, _ = await client.ask(KEYED_CLASS, expires_ms=600_000)
            # It may have run, so it can't be refused: it has failed.
            assert status == (200 if repeated else 502)
            assert len(hosts[0].received) + len(hosts[1].received) == 1 + repeated
            client.close()

    with driven(lambda: time.monotonic() + ahead_s, time.time):
        run(test())


@pytest.mark.parametrize("cls", [KEYED_CLASS, UNSAFE_CLASS])
def test_nothing_is_written_for_a_client_that_left_during_the_dial(
    cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Its end is in the system's hands, not yet read, as the dial comes to its own.
    made = UpstreamConnection.connection_made

    def connected(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        clients.pop().close()

    clients: list[socket.socket] = []
    monkeypatch.setattr(UpstreamConnection, "connection_made", connected)

    async def test() -> None:
        host = Host("h")
        async with proxy(host, settings=patient()) as p:
            client = socket.create_connection(("127.0.0.1", p.port))
            clients.append(client)
            client.sendall(Client(None, None).encode_request(cls, expires_ms=600_000))  # type: ignore[arg-type]
            await until(
                lambda: (
                    client.fileno() < 0 and not p.listener.connections and p.upstream.open_connections == 0
                )
            )
            assert not host.received
            assert not p.engine.pending_count
            assert not p.engine.balancer.requests

    run(test())


@pytest.mark.parametrize("reset", [False, True])
def test_who_left_behind_a_full_buffer_is_not_served_further(reset: bool) -> None:
    # With many requests ahead reading is paused, and the end behind them is not read. Each of them went out
    # as soon as the one before had its answer, for nobody.
    async def held(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(http(200))

    async def test() -> None:
        release.clear()
        host = Host("h", held)
        async with proxy(host, settings=patient()) as p:
            worded = Client(None, None).encode_request  # type: ignore[arg-type]
            client = socket.create_connection(("127.0.0.1", p.port))
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            client.sendall(worded(UNSAFE_CLASS, expires_ms=600_000))
            await until(lambda: len(host.received) == 1)
            many = b"".join(worded(UNSAFE_CLASS, body=b"x" * 4000, expires_ms=600_000) for _ in range(60))
            client.sendall(many)
            (connection,) = p.listener.connections
            await until(lambda: connection._transport is not None and not connection._transport.is_reading())
            client.close()
            release.set()
            await until(lambda: not p.listener.connections)
            assert len(host.received) == 1
            assert not p.engine.pending_count

    release = asyncio.Event()
    run(test())


@pytest.mark.parametrize("when", ["as it arrives", "as its retry falls due"])
def test_who_leaves_in_the_turn_of_a_decision_leaves_nothing_behind(
    when: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The retry was decided, found nobody who held its request, and counted as under way for good.
    async def broken(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http(500))

    async def test() -> None:
        host = Host("h", broken)
        async with proxy(host, settings=patient()) as p:
            post = p.engine.post
            left: list[Event] = []

            def posted(event: Event) -> None:
                post(event)
                if isinstance(event, RequestArrived if when == "as it arrives" else TimerFired) and not left:
                    left.append(event)
                    asyncio.get_running_loop().call_soon(p.engine.client_disconnected, 1)

            monkeypatch.setattr(p.engine, "post", posted)
            # What is told in one turn is decided in the next: the flush waits behind the client's leaving.
            flush = p.engine.flush

            def flushed() -> None:
                if left and p.engine.pending_count:
                    asyncio.get_running_loop().call_soon(flushed)
                else:
                    flush()

            monkeypatch.setattr(p.engine, "flush", flushed)
            client = await Client.connect(p.port)
            client.send(KEYED_CLASS, expires_ms=600_000)
            await until(lambda: bool(left) and not p.engine.pending_count)
            await until(lambda: not p.engine._events and not p.engine.balancer.requests)
            assert [e.in_flight for e in p.engine.balancer.endpoint_set.endpoints.values()] == [0]
            assert len(host.received) == (when != "as it arrives")
            client.close()

    run(test())


def test_an_attempt_that_stands_no_more_is_not_written() -> None:
    async def test() -> None:
        host = await Host("h").start()
        up = upstream()
        up.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        answers = [True, False]  # at the start, and after the dial
        ended: list[AttemptResult] = []
        up.start_attempt(request(), "h", 5000.0, ended.append, lambda: answers.pop(0))
        await until(lambda: bool(ended))
        assert (ended[0].outcome, host.received, answers) == (Outcome.NOT_SENT, [], [])
        assert (await one(up, "h")).outcome is Outcome.OK
        # On a connection that rests it is asked once, and the connection rests on.
        attempt = up.start_attempt(request(), "h", 5000.0, ended.append, lambda: False)
        assert attempt is not None
        assert attempt.ended
        assert ended[1].outcome is Outcome.NOT_SENT
        assert (await one(up, "h")).outcome is Outcome.OK
        assert [got.connection for got in host.received] == [1, 1]
        host.stop()

    run(test())


def test_a_host_is_told_the_time_that_is_left_when_the_request_is_written() -> None:
    ahead_s = 0.0

    def dial() -> None:
        nonlocal ahead_s
        ahead_s += 3.0

    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            during_dials(p, dial)
            client = await Client.connect(p.port)
            assert (await client.ask(expires_ms=5000))[0] == 200
            assert int(host.received[0].headers["x-expires-in-ms"]) <= 2000
            client.close()

    with driven(lambda: time.monotonic() + ahead_s, time.time):
        run(test())
