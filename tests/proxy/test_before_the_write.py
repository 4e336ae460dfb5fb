"""The checks right before an attempt's first byte: deduplication window, drain grace, client disconnect.

The tests change the state while a dial makes its socket, so between the decision and the write."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from client_proxy.api.events import Event, Outcome, RequestArrived, TimerFired
from client_proxy.clock import use_clock
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
    http_response,
    proxy,
    run,
    settings_json,
    until,
)
from tests.proxy.test_upstream import make_pool, request, run_attempt

WINDOW_MS = 2000.0


def run_during_dials(p: Proxy, action: Callable[[], None]) -> None:
    """Run an action in each further dial."""

    def original_connection_made(family: int) -> socket.socket:
        action()
        return open_socket(family)

    p.upstream._dialler.make_socket = original_connection_made


def settings_without_timeouts() -> dict[str, Any]:
    """Settings with deadlines so long that only the test ends a request."""
    settings = settings_json()
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = 600_000.0
        if "window_ms" in cls:
            cls["window_ms"] = WINDOW_MS
    return settings


@pytest.mark.parametrize(("dial_ms", "repeated"), [(0.0, True), (WINDOW_MS, False)])
def test_retry_is_written_only_within_the_deduplication_window(dial_ms: float, repeated: bool) -> None:
    # The deduplication window must hold at the write: with a window of 1000 ms, a retry decided 929 ms after
    # the first attempt and written 1089 ms after it would run a second time.
    ahead_s = 0.0

    def advance_clock() -> None:
        nonlocal ahead_s
        ahead_s += dial_ms / 1000.0

    async def answer_error(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if hosts[0].received and hosts[1].received:
            writer.write(http_response(200, b"second"))
            return
        run_during_dials(proxies[0], advance_clock)
        writer.write(http_response(500))

    hosts = [Host("a", answer_error), Host("b", answer_error)]
    proxies: list[Proxy] = []

    async def test() -> None:
        async with proxy(*hosts, settings=settings_without_timeouts()) as p:
            proxies.append(p)
            client = await Client.connect(p.port)
            status, _, _ = await client.ask(KEYED_CLASS, expires_ms=600_000)
            # The first attempt may have run, so the request fails instead of being rejected.
            assert status == (200 if repeated else 502)
            assert len(hosts[0].received) + len(hosts[1].received) == 1 + repeated
            client.close()

    with use_clock(lambda: time.monotonic() + ahead_s, time.time):
        run(test())


@pytest.mark.parametrize("cls", [KEYED_CLASS, UNSAFE_CLASS])
def test_nothing_is_written_for_a_client_that_left_during_the_dial(
    cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # When the dial completes, the kernel knows of the client's disconnect, but the loop has not read it yet.
    original_connection_made = UpstreamConnection.connection_made

    def close_client_once_connected(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        original_connection_made(self, transport)
        clients.pop().close()

    clients: list[socket.socket] = []
    monkeypatch.setattr(UpstreamConnection, "connection_made", close_client_once_connected)

    async def test() -> None:
        host = Host("h")
        async with proxy(host, settings=settings_without_timeouts()) as p:
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
def test_pipelined_requests_of_a_disconnected_client_are_dropped(reset: bool) -> None:
    # With many pipelined requests some are not parsed yet when the client leaves behind them. The remaining
    # requests must not be sent once their client has left.
    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    async def test() -> None:
        release.clear()
        host = Host("h", answer_when_released)
        async with proxy(host, settings=settings_without_timeouts()) as p:
            encode_request = Client(None, None).encode_request  # type: ignore[arg-type]
            client = socket.create_connection(("127.0.0.1", p.port))
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            client.sendall(encode_request(UNSAFE_CLASS, expires_ms=600_000))
            await until(lambda: len(host.received) == 1)
            many = b"".join(
                encode_request(UNSAFE_CLASS, body=b"x" * 4000, expires_ms=600_000) for _ in range(60)
            )
            client.sendall(many)
            (connection,) = p.listener.connections
            await until(lambda: connection._pipeline.full and bool(connection._unread))
            client.close()
            release.set()
            await until(lambda: not p.listener.connections)
            assert len(host.received) == 1
            assert not p.engine.pending_count

    release = asyncio.Event()
    run(test())


@pytest.mark.parametrize("megabytes", [1, 3, 8])
def test_a_disconnect_behind_much_unread_is_noticed(megabytes: int) -> None:
    # Guards against picture (c) of the users' runs: reading was paused while requests waited, so that the end
    # of the stream did not come through, and requests were sent on for a client that had long gone.
    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    async def test() -> None:
        host = Host("h", answer_when_released)
        async with proxy(host, settings=settings_without_timeouts()) as p:
            encode_request = Client(None, None).encode_request  # type: ignore[arg-type]
            client = socket.create_connection(("127.0.0.1", p.port))
            client.sendall(encode_request(UNSAFE_CLASS, expires_ms=600_000))
            await until(lambda: len(host.received) == 1)
            request = encode_request(UNSAFE_CLASS, body=b"x" * 4000, expires_ms=600_000)
            many = b"".join(
                request.replace(b"X-Trace-Id: ", b"X-Trace-Id: %d" % number)
                for number in range(megabytes * 2**20 // len(request))
            )
            await asyncio.to_thread(client.sendall, many)
            client.close()
            # Nothing else happens at the proxy: the request at the host is not answered.
            await until(lambda: not p.listener.connections)
            release.set()
            assert len(host.received) == 1
            assert not p.engine.pending_count
            assert p.listener.limits.account.total_bytes == 0

    release = asyncio.Event()
    run(test())


@pytest.mark.parametrize("when", ["as it arrives", "as its retry falls due"])
def test_disconnect_in_the_loop_iteration_of_a_decision_leaves_no_state(
    when: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A retry that is decided after its request has been removed must not count as in flight forever.
    async def answer_error(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(500))

    async def test() -> None:
        host = Host("h", answer_error)
        async with proxy(host, settings=settings_without_timeouts()) as p:
            post = p.engine.post
            left: list[Event] = []

            def post_and_disconnect(event: Event) -> None:
                post(event)
                if isinstance(event, RequestArrived if when == "as it arrives" else TimerFired) and not left:
                    left.append(event)
                    asyncio.get_running_loop().call_soon(p.engine.client_disconnected, 1)

            monkeypatch.setattr(p.engine, "post", post_and_disconnect)
            # Events of one iteration are handled in the next, so the flush runs after the disconnect.
            flush = p.engine.flush

            def flush_after_disconnect() -> None:
                if left and p.engine.pending_count:
                    asyncio.get_running_loop().call_soon(flush_after_disconnect)
                else:
                    flush()

            monkeypatch.setattr(p.engine, "flush", flush_after_disconnect)
            client = await Client.connect(p.port)
            client.send(KEYED_CLASS, expires_ms=600_000)
            await until(lambda: bool(left) and not p.engine.pending_count)
            await until(lambda: not p.engine._events and not p.engine.balancer.requests)
            assert [e.in_flight for e in p.engine.balancer.endpoint_set.endpoints.values()] == [0]
            assert len(host.received) == (when != "as it arrives")
            client.close()

    run(test())


def test_attempt_that_is_no_longer_allowed_is_not_written() -> None:
    async def test() -> None:
        host = await Host("h").start()
        pool = make_pool()
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        answers = [True, False]  # at the start, and after the dial
        ended: list[AttemptResult] = []
        pool.start_attempt(request(), "h", 5000.0, ended.append, lambda: answers.pop(0))
        await until(lambda: bool(ended))
        assert (ended[0].outcome, host.received, answers) == (Outcome.NOT_SENT, [], [])
        assert (await run_attempt(pool, "h")).outcome is Outcome.OK
        # On an idle connection the permission is checked once, and the connection stays idle.
        attempt = pool.start_attempt(request(), "h", 5000.0, ended.append, lambda: False)
        assert attempt is not None
        assert attempt.ended
        assert ended[1].outcome is Outcome.NOT_SENT
        assert (await run_attempt(pool, "h")).outcome is Outcome.OK
        assert [received.connection for received in host.received] == [1, 1]
        host.stop()

    run(test())


def test_expiry_header_states_the_time_left_at_the_write() -> None:
    ahead_s = 0.0

    def advance_clock() -> None:
        nonlocal ahead_s
        ahead_s += 3.0

    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            run_during_dials(p, advance_clock)
            client = await Client.connect(p.port)
            assert (await client.ask(expires_ms=5000))[0] == 200
            assert int(host.received[0].headers["x-expires-in-ms"]) <= 2000
            client.close()

    with use_clock(lambda: time.monotonic() + ahead_s, time.time):
        run(test())
