"""The endpoint side over loopback sockets: reuse of connections, outcomes, and limits."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from client_proxy.api.events import Outcome
from client_proxy.clock import now_ms
from client_proxy.proxy.dialling import Dialler
from client_proxy.proxy.messages import ClientRequest
from client_proxy.proxy.upstream_attempt import AttemptResult
from client_proxy.proxy.upstream_connection import UpstreamConnection, UpstreamEndpoint
from client_proxy.proxy.upstream_pool import UpstreamPool
from client_proxy.settings import read_settings
from tests.proxy.sockets import (
    KEYED_CLASS,
    Client,
    Host,
    Proxy,
    ReceivedRequest,
    entry,
    http_response,
    proxy,
    run,
    settings_json,
    until,
)


def request(expires_ms: float = 5000.0) -> ClientRequest:
    headers = [(b"X-Trace-Id", b"1")]
    return ClientRequest(b"POST", b"/c/1", headers, b"x", now_ms(), "c", expires_ms)


def make_pool(
    drain_grace_ms: float = 1000.0, connect_timeout_ms: float = 250.0, connection_limit: int = 10
) -> UpstreamPool:
    settings = read_settings(settings_json(connect_timeout_ms=connect_timeout_ms))
    return UpstreamPool(settings.limits, settings.report_fields, drain_grace_ms, connection_limit)


def count_descriptors() -> int:
    return len(os.listdir(Path("/proc/self/fd")))


async def run_attempt(pool: UpstreamPool, name: str, timeout_ms: float = 5000.0) -> AttemptResult:
    """Run one attempt to its end."""
    ended: list[AttemptResult] = []
    assert pool.start_attempt(request(), name, timeout_ms, ended.append) is not None
    await until(lambda: bool(ended))
    return ended[0]


async def attempt_at(host: Host, timeout_ms: float = 5000.0) -> AttemptResult:
    pool = make_pool()
    pool.update_endpoint(host.name, ("127.0.0.1", (await host.start()).port), None, True)
    try:
        return await run_attempt(pool, host.name, timeout_ms)
    finally:
        host.stop()


def test_idle_connections_are_reused() -> None:
    # The parser's keep-alive flag must be read before the parser resets it: otherwise each request would open
    # a connection.
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            for _ in range(5):
                assert (await client.ask())[0] == 200
            assert (host.connections, len(host.received)) == (1, 5)
            client.close()

    run(test())


def test_connection_close_of_an_endpoint_is_honoured() -> None:
    async def answer_and_close(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, b"x", Connection="close"))

    async def test() -> None:
        host = Host("h", answer_and_close)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            for _ in range(2):
                assert (await client.ask())[0] == 200
            assert host.connections == 2
            client.close()

    run(test())


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (http_response(200, b"ok"), Outcome.OK),
        (http_response(500), Outcome.ERROR),
        (http_response(503, X_Never_Ran="1"), Outcome.REJECTED),
        (http_response(504, X_Never_Ran="1"), Outcome.REJECTED),
        (http_response(503), Outcome.ERROR),  # without the never-ran mark
        (http_response(503, X_Never_Ran="0"), Outcome.ERROR),
        (http_response(500, X_Never_Ran="1"), Outcome.ERROR),
        (http_response(204), Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nto the end of the stream", Outcome.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Outcome.ERROR),
        (b"no HTTP at all\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", Outcome.ERROR),
        (http_response(200, b"x" * (64 * 1024 + 1)), Outcome.ERROR),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + http_response(200, b"ok"), Outcome.OK),
        (b"", Outcome.RESET),
    ],
)
def test_each_response_has_its_outcome(reply: bytes, outcome: Outcome) -> None:
    # A truncated or malformed response is never served; a 503 is a rejection only with the never-ran mark.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(reply)
        writer.close()

    async def test() -> None:
        ended = await attempt_at(Host("h", answer))
        assert ended.outcome is outcome
        if outcome is Outcome.OK:
            assert ended.response is not None
            assert ended.response.body == reply.rpartition(b"\r\n\r\n")[2]

    run(test())


@pytest.mark.parametrize("sent_later", [False, True])
@pytest.mark.parametrize(
    "extra_bytes", [http_response(200, b"ok"), http_response(200, b"no"), b"\x8d\xa8noise\r\n\r\n", b"H"]
)
def test_complete_response_is_served_despite_bytes_after_it(extra_bytes: bytes, sent_later: bool) -> None:
    # A parser error in the bytes after a complete response must not discard the response.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        body = received.headers["x-trace-id"].encode()
        if sent_later:
            writer.write(http_response(200, body))
            await until(lambda: any(e.idle for e in entries()))
            writer.write(extra_bytes)
        else:
            writer.write(http_response(200, body) + extra_bytes)

    proxies: list[Proxy] = []

    def entries() -> list[UpstreamEndpoint]:
        return list(proxies[0].upstream.endpoints.values())

    async def test() -> None:
        host = Host("h", answer)
        async with proxy(host) as p:
            proxies.append(p)
            client = await Client.connect(p.port)
            for number in range(3):
                status, _, body = await client.ask(X_Trace_Id=str(number))
                assert (status, body) == (200, str(number).encode())
                await until(lambda number=number: host.connections == number + 1 and host.open == 0)  # type: ignore[misc]
            client.close()

    run(test())


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-Pad: pppp\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Pad: ", b"p" * 1024),  # the parser buffers it, so no callback sees it
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b""),  # rejected at once
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n" + b"x" * 1024 + b"\r\n"),
    ],
)
def test_endless_response_is_aborted(start: bytes, piece: bytes) -> None:
    async def answer_endlessly(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        while piece:
            writer.write(piece)
            await writer.drain()

    async def test() -> None:
        host = Host("h", answer_endlessly)
        assert (await attempt_at(host, timeout_ms=600_000.0)).outcome is Outcome.ERROR
        await until(lambda: host.open == 0)

    run(test())


@pytest.mark.parametrize("value", ["nan", "inf", "-1", "1e999", "seven", "\xff"])
def test_invalid_load_report_is_ignored(value: str) -> None:
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        report = f"TEXT inflight={value}, queue=2, latency_ms=1"
        writer.write(b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: " + report.encode("latin-1"))
        writer.write(b"\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        ended = await attempt_at(Host("h", answer))
        assert (ended.outcome, ended.report) == (Outcome.OK, None)

    run(test())


def test_load_report_is_in_the_order_of_the_settings() -> None:
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        report = "TEXT latency_ms=14.5, inflight=7, util=0.6, queue=2"
        writer.write(http_response(200, b"", Endpoint_Load_Metrics=report))

    async def test() -> None:
        assert (await attempt_at(Host("h", answer))).report == (7.0, 2.0, 14.5)

    run(test())


def test_refused_connection_never_ran() -> None:
    async def test() -> None:
        host = await Host("h").start()
        host.stop()
        pool = make_pool()
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        assert (await run_attempt(pool, "h")).outcome is Outcome.CONNECT_FAILED

    run(test())


def test_silent_endpoint_times_out_and_its_connection_is_closed() -> None:
    # A late response must not be read as the response of the next request.
    async def never_answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        pass

    async def test() -> None:
        host = await Host("h", never_answer).start()
        pool = make_pool()
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        assert (await run_attempt(pool, "h", timeout_ms=50.0)).outcome is Outcome.TIMEOUT
        await until(lambda: host.open == 0)
        host.stop()

    run(test())


def listen_with_full_backlog() -> tuple[object, list[object], int]:
    """Return a listener with a full backlog, on which further connects hang, and its port."""
    import socket

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    port: int = listener.getsockname()[1]
    fillers: list[object] = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", port))
        fillers.append(filler)
    return listener, fillers, port


@pytest.mark.parametrize("ending", ["connect timeout", "attempt timeout", "cancel"])
def test_hanging_dial_leaves_nothing_behind(ending: str) -> None:
    # A dial in progress when its attempt ends must neither leak its descriptor nor send later. The request
    # was never sent, so it is known not to have run, whichever limit ended it.
    async def test() -> None:
        _listener, _fillers, port = listen_with_full_backlog()
        pool = make_pool(connect_timeout_ms=100.0 if ending == "connect timeout" else 600_000.0)
        pool.update_endpoint("h", ("127.0.0.1", port), None, True)
        await asyncio.sleep(0)
        before = count_descriptors()
        ended: list[AttemptResult] = []
        timeout_ms = 100.0 if ending == "attempt timeout" else 600_000.0
        attempt = pool.start_attempt(request(), "h", timeout_ms, ended.append)
        assert attempt is not None
        assert attempt.dial is not None
        await until(lambda: count_descriptors() > before or bool(ended))
        if ending == "cancel":
            attempt.cancel()
        await until(lambda: bool(ended) and attempt.dial is not None and attempt.dial.done())
        await until(lambda: count_descriptors() == before)
        assert pool.open_connections == 0
        expected = Outcome.CANCELLED if ending == "cancel" else Outcome.CONNECT_FAILED
        assert ended[0].outcome is expected

    run(test())


def test_stale_idle_connection_is_not_written_to() -> None:
    # A request on a connection that the endpoint has abandoned is reset, which fails an unsafe request.
    # The kernel knows of the end of the connection before the loop has read it.
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200
            (idle,) = idle_of(p, "h")
            assert idle.reusable()
            ended: list[AttemptResult] = []
            os.write(host.writers[0].get_extra_info("socket").fileno(), b"never asked for")
            # The attempt starts in the same loop iteration, before the loop can read these bytes.
            attempt = p.upstream.start_attempt(request(), "h", 5000.0, ended.append)
            assert attempt is not None
            assert attempt.dial is not None
            await until(lambda: bool(ended))
            assert ended[0].outcome is Outcome.OK
            assert [received.connection for received in host.received] == [0, 1]
            client.close()

    run(test())


def idle_of(p: Proxy, name: str) -> list[UpstreamConnection]:
    return p.upstream.endpoints[name].idle


def test_idle_connections_are_closed_before_the_endpoint_does() -> None:
    # The endpoint closes idle connections after the configured time, and resets a request at that moment.
    async def test() -> None:
        host = Host("h")
        async with proxy(host, settings=settings_json(conn_idle_ms=100.0)) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200
            await until(lambda: host.open == 0)
            assert (await client.ask())[0] == 200
            assert host.connections == 2
            client.close()

    run(test())


def test_restarted_endpoint_gets_new_connections() -> None:
    # Another start time: connections to the old process are dead, even if the sockets look open.
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200
            p.registry.send_chunk(p.registry.change(entry(host, since_ms=1_000)))
            await until(lambda: host.open == 0)
            assert (await client.ask())[0] == 200
            assert host.connections == 2
            client.close()

    run(test())


@pytest.mark.parametrize("how", ["gone", "not in the list", "restarted"])
def test_an_attempt_is_not_sent_to_a_new_process_at_the_address_of_one_that_is_gone(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against picture (d) of the users' runs: a request whose connection was still being opened went to
    # the process that had come up at the address, as if it was the one that the balancer had chosen.
    async def test() -> None:
        dialled, listed = asyncio.Event(), asyncio.Event()
        connect = Dialler.connect

        async def connect_late(self: Dialler, *arguments: Any) -> UpstreamConnection | None:
            dialled.set()
            await listed.wait()
            return await connect(self, *arguments)

        monkeypatch.setattr(Dialler, "connect", connect_late)
        new = Host("new")
        async with proxy(new, settings=settings_json(max_attempts=1)) as p:
            old = {**entry(new), "name": "old"}
            p.registry.send_chunk(p.registry.change(old, full=True))
            await until(lambda: "new" not in p.engine.balancer.endpoint_set.endpoints)
            client = await Client.connect(p.port)
            client.send()
            await dialled.wait()
            if how == "gone":
                change = p.registry.change({**old, "status": "gone"}, entry(new))
            elif how == "not in the list":
                change = p.registry.change(entry(new), full=True)
            else:
                change = p.registry.change({**old, "since_ms": 1_700_000_000_000})
            balancer = p.engine.balancer
            before = balancer.endpoint_set.endpoints["old"]
            p.registry.send_chunk(change)
            await until(lambda: balancer.endpoint_set.endpoints.get("old") is not before)
            listed.set()
            assert (await client.answer())[0] == 503
            assert not new.received
            client.close()

    run(test())


def test_moved_endpoint_is_reached_at_its_new_address() -> None:
    async def test() -> None:
        old, new = Host("h"), await Host("h").start()
        async with proxy(old) as p:
            p.registry.send_chunk(p.registry.change(entry(new)))
            await until(lambda: p.directory.addresses["h"][1] == new.port)
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200
            assert (len(old.received), len(new.received)) == (0, 1)
            client.close()
        new.stop()

    run(test())


@pytest.mark.parametrize(("grace_ms", "starts"), [(0.0, False), (60_000.0, True)])
def test_request_is_written_after_a_drain_only_within_the_grace(grace_ms: float, starts: bool) -> None:
    # The send would start after the drain was notified: allowed within the grace, not after it.
    async def test() -> None:
        host = await Host("h").start()
        pool = make_pool(drain_grace_ms=grace_ms)
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        ended: list[AttemptResult] = []
        pool.start_attempt(request(), "h", 5000.0, ended.append)
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, False)
        await until(lambda: bool(ended))
        assert ended[0].outcome is (Outcome.OK if starts else Outcome.NOT_SENT)
        assert len(host.received) == starts
        host.stop()

    run(test())


def test_upstream_connections_are_bounded() -> None:
    async def never_answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        pass

    async def test() -> None:
        host = await Host("h", never_answer).start()
        pool = make_pool(connection_limit=3)
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        ended: list[AttemptResult] = []
        attempts = [pool.start_attempt(request(), "h", 10_000.0, ended.append) for _ in range(5)]
        await until(lambda: len(host.received) == 3 and len(ended) == 2)
        assert {e.outcome for e in ended} == {Outcome.CONNECT_FAILED}
        for attempt in attempts:
            assert attempt is not None
            attempt.cancel()
        await until(lambda: pool.open_connections == 0)
        host.stop()

    run(test())


@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_at_the_limit_the_longest_idle_connection_is_closed(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    # A dial at the limit closes an idle connection, whose descriptor is free only one loop iteration later.
    # The dial must wait for it instead of failing.
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(5)]
        pool = make_pool(connection_limit=2)
        for host in hosts:
            pool.update_endpoint(host.name, ("127.0.0.1", host.port), None, True)
        for host in hosts + hosts:
            assert (await run_attempt(pool, host.name)).outcome is Outcome.OK
            assert pool.open_connections <= 2
        assert [host.connections for host in hosts] == [2] * 5
        await until(lambda: [host.open for host in hosts] == [0, 0, 0, 1, 1])
        for host in hosts:
            host.stop()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(asyncio.wait_for(test(), 20.0))


def test_concurrent_dials_at_the_limit_close_one_idle_connection_each() -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(6)]
        pool = make_pool(connection_limit=3)
        for host in hosts:
            pool.update_endpoint(host.name, ("127.0.0.1", host.port), None, True)
        for host in hosts[:3]:
            assert (await run_attempt(pool, host.name)).outcome is Outcome.OK
        ended: list[AttemptResult] = []
        for host in hosts[3:]:
            pool.start_attempt(request(), host.name, 5000.0, ended.append)
        await until(lambda: len(ended) == 3)
        assert [each.outcome for each in ended] == [Outcome.OK] * 3
        assert pool.open_connections == 3
        for host in hosts:
            host.stop()

    run(test())


def test_only_the_balancer_retries_a_keyed_request() -> None:
    # Each send action starts one attempt; no lower layer retries by itself.
    first: list[str] = []

    async def answer_error_once(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        first.append(host.name)
        if len(first) == 1:
            writer.transport.abort()
        else:
            writer.write(http_response(200, b"second"))

    async def test() -> None:
        hosts = Host("h", answer_error_once), Host("g", answer_error_once)
        async with proxy(*hosts) as p:
            client = await Client.connect(p.port)
            status, _, body = await client.ask(KEYED_CLASS)
            assert (status, body, sorted(first)) == (200, b"second", ["g", "h"])
            client.close()

    run(test())


def test_unsafe_request_that_may_have_run_is_neither_retried_nor_rejected() -> None:
    async def answer_error(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def test() -> None:
        hosts = Host("h", answer_error), Host("g", answer_error)
        async with proxy(*hosts) as p:
            client = await Client.connect(p.port)
            status, _, _ = await client.ask()
            assert status == 502
            assert sum(len(h.received) for h in hosts) == 1
            client.close()

    run(test())
