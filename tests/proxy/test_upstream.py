"""The hosts' side over loopback sockets: reuse, outcomes, and what is certain about them."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

import pytest
import uvloop

from client_proxy.api.events import Outcome
from client_proxy.clock import now_ms
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
    http,
    proxy,
    run,
    settings_json,
    until,
)


def request(expires_ms: float = 5000.0) -> ClientRequest:
    headers = [(b"X-Trace-Id", b"1")]
    return ClientRequest(b"POST", b"/c/1", headers, b"x", now_ms(), "c", expires_ms)


def upstream(
    drain_grace_ms: float = 1000.0, connect_timeout_ms: float = 250.0, most: int = 10
) -> UpstreamPool:
    settings = read_settings(settings_json(connect_timeout_ms=connect_timeout_ms))
    return UpstreamPool(settings.limits, settings.report_fields, drain_grace_ms, most)


def descriptors() -> int:
    return len(os.listdir(Path("/proc/self/fd")))


async def one(up: UpstreamPool, name: str, timeout_ms: float = 5000.0) -> AttemptResult:
    """One attempt, to its end."""
    ended: list[AttemptResult] = []
    assert up.start_attempt(request(), name, timeout_ms, ended.append) is not None
    await until(lambda: bool(ended))
    return ended[0]


async def attempt_at(host: Host, timeout_ms: float = 5000.0) -> AttemptResult:
    up = upstream()
    up.update_endpoint(host.name, ("127.0.0.1", (await host.start()).port), None, True)
    try:
        return await one(up, host.name, timeout_ms)
    finally:
        host.stop()


def test_idle_connections_are_reused() -> None:
    # Each request used to open one: keep-alive was asked of the parser after it had forgotten.
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            for _ in range(5):
                assert (await client.ask())[0] == 200
            assert (host.connections, len(host.received)) == (1, 5)
            client.close()

    run(test())


def test_connection_close_of_a_host_is_honoured() -> None:
    async def closing(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http(200, b"x", Connection="close"))

    async def test() -> None:
        host = Host("h", closing)
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
        (http(200, b"ok"), Outcome.OK),
        (http(500), Outcome.ERROR),
        (http(503, X_Never_Ran="1"), Outcome.REJECTED),
        (http(504, X_Never_Ran="1"), Outcome.REJECTED),
        (http(503), Outcome.ERROR),  # it does not say that it never ran
        (http(503, X_Never_Ran="0"), Outcome.ERROR),
        (http(500, X_Never_Ran="1"), Outcome.ERROR),
        (http(204), Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nto the end of the stream", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Outcome.ERROR),
        (b"no HTTP at all\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", Outcome.ERROR),
        (http(200, b"x" * (64 * 1024 + 1)), Outcome.ERROR),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + http(200, b"ok"), Outcome.OK),
        (b"", Outcome.RESET),
    ],
)
def test_outcomes_of_answers(reply: bytes, outcome: Outcome) -> None:
    # A cut or malformed answer is never served; a 503 counts as unseen only if it says so.
    async def answer(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(reply)
        writer.close()

    async def test() -> None:
        ended = await attempt_at(Host("h", answer))
        assert ended.outcome is outcome
        if outcome is Outcome.OK:
            assert ended.answer is not None
            assert ended.answer.body == b"ok"

    run(test())


@pytest.mark.parametrize("later", [False, True])
@pytest.mark.parametrize("surplus", [http(200, b"ok"), http(200, b"no"), b"\x8d\xa8noise\r\n\r\n", b"H"])
def test_whole_answer_is_served_whatever_follows_it(surplus: bytes, later: bool) -> None:
    # The parser's error at what followed threw the good answer away; what follows is nobody's answer.
    async def answer(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        body = got.headers["x-trace-id"].encode()
        if later:
            writer.write(http(200, body))
            await until(lambda: any(e.idle for e in entries()))
            writer.write(surplus)
        else:
            writer.write(http(200, body) + surplus)

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
        (b"HTTP/1.1 200 OK\r\nX-Pad: ", b"p" * 1024),  # the parser holds it back: no callback sees it
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b""),  # said at once, not waited for
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n" + b"x" * 1024 + b"\r\n"),
    ],
)
def test_answer_without_an_end_is_given_up(start: bytes, piece: bytes) -> None:
    async def endless(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        while piece:
            writer.write(piece)
            await writer.drain()

    async def test() -> None:
        host = Host("h", endless)
        assert (await attempt_at(host, timeout_ms=600_000.0)).outcome is Outcome.ERROR
        await until(lambda: host.open == 0)

    run(test())


@pytest.mark.parametrize("value", ["nan", "inf", "-1", "1e999", "seven", "\xff"])
def test_unusable_load_report_is_none_and_the_answer_is_served(value: str) -> None:
    async def answer(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        report = f"TEXT inflight={value}, queue=2, latency_ms=1"
        writer.write(b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: " + report.encode("latin-1"))
        writer.write(b"\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        ended = await attempt_at(Host("h", answer))
        assert (ended.outcome, ended.report) == (Outcome.OK, None)

    run(test())


def test_load_reports_come_in_the_settings_order() -> None:
    async def answer(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        report = "TEXT latency_ms=14.5, inflight=7, util=0.6, queue=2"
        writer.write(http(200, b"", Endpoint_Load_Metrics=report))

    async def test() -> None:
        assert (await attempt_at(Host("h", answer))).report == (7.0, 2.0, 14.5)

    run(test())


def test_refused_connection_never_ran() -> None:
    async def test() -> None:
        host = await Host("h").start()
        host.stop()
        up = upstream()
        up.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        assert (await one(up, "h")).outcome is Outcome.CONNECT_FAILED

    run(test())


def test_silent_host_times_out_and_its_connection_is_closed() -> None:
    # An answer that comes later must not be taken for that of the next request.
    async def silent(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        pass

    async def test() -> None:
        host = await Host("h", silent).start()
        up = upstream()
        up.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        assert (await one(up, "h", timeout_ms=50.0)).outcome is Outcome.TIMEOUT
        await until(lambda: host.open == 0)
        host.stop()

    run(test())


def full_backlog() -> tuple[object, list[object], int]:
    """A listener that takes no more: further connects hang."""
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
    # A dial under way when its attempt ends must neither leak its descriptor nor send later; and what
    # never went out is known not to have run, whichever limit ended it.
    async def test() -> None:
        _listener, _fillers, port = full_backlog()
        up = upstream(connect_timeout_ms=100.0 if ending == "connect timeout" else 600_000.0)
        up.update_endpoint("h", ("127.0.0.1", port), None, True)
        await asyncio.sleep(0)
        before = descriptors()
        ended: list[AttemptResult] = []
        timeout_ms = 100.0 if ending == "attempt timeout" else 600_000.0
        attempt = up.start_attempt(request(), "h", timeout_ms, ended.append)
        assert attempt is not None
        assert attempt.dial is not None
        await until(lambda: descriptors() > before or bool(ended))
        if ending == "cancel":
            attempt.cancel()
        await until(lambda: bool(ended) and attempt.dial is not None and attempt.dial.done())
        await until(lambda: descriptors() == before)
        assert up.open_connections == 0
        expected = Outcome.CANCELLED if ending == "cancel" else Outcome.CONNECT_FAILED
        assert ended[0].outcome is expected

    run(test())


def test_stale_idle_connection_is_not_written_to() -> None:
    # A request written to a connection that the host has given up ends as a reset, which for an unsafe
    # request is a failure. What tells of it is in the socket before the loop has read it.
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200
            (idle,) = idle_of(p, "h")
            assert idle.reusable()
            ended: list[AttemptResult] = []
            os.write(host.writers[0].get_extra_info("socket").fileno(), b"never asked for")
            attempt = p.upstream.start_attempt(
                request(), "h", 5000.0, ended.append
            )  # in the same turn of the loop
            assert attempt is not None
            assert attempt.dial is not None
            await until(lambda: bool(ended))
            assert ended[0].outcome is Outcome.OK
            assert [got.connection for got in host.received] == [0, 1]
            client.close()

    run(test())


def idle_of(p: Proxy, name: str) -> list[UpstreamConnection]:
    return p.upstream.endpoints[name].idle


def test_old_idle_connections_are_retired() -> None:
    # The host closes them at the stated time; a request that crosses that is reset.
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


def test_restarted_host_gets_new_connections() -> None:
    # Another start time: what was open to the old process is dead, whatever the socket says.
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


def test_moved_host_is_met_at_its_new_address() -> None:
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
def test_drain_told_during_the_dial(grace_ms: float, starts: bool) -> None:
    # The send would start after the drain was told: past the grace it must not, within it may.
    async def test() -> None:
        host = await Host("h").start()
        up = upstream(drain_grace_ms=grace_ms)
        up.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        ended: list[AttemptResult] = []
        up.start_attempt(request(), "h", 5000.0, ended.append)
        up.update_endpoint("h", ("127.0.0.1", host.port), None, False)
        await until(lambda: bool(ended))
        assert ended[0].outcome is (Outcome.OK if starts else Outcome.NOT_SENT)
        assert len(host.received) == starts
        host.stop()

    run(test())


def test_descriptors_are_bounded() -> None:
    async def silent(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        pass

    async def test() -> None:
        host = await Host("h", silent).start()
        up = upstream(most=3)
        up.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        ended: list[AttemptResult] = []
        attempts = [up.start_attempt(request(), "h", 10_000.0, ended.append) for _ in range(5)]
        await until(lambda: len(host.received) == 3 and len(ended) == 2)
        assert {e.outcome for e in ended} == {Outcome.CONNECT_FAILED}
        for attempt in attempts:
            assert attempt is not None
            attempt.cancel()
        await until(lambda: up.open_connections == 0)
        host.stop()

    run(test())


@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_at_the_bound_the_longest_idle_connection_makes_room(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    # Each dial at the bound used to close an idle connection and fail all the same: the descriptor is free a
    # turn of the loop later.
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(5)]
        up = upstream(most=2)
        for host in hosts:
            up.update_endpoint(host.name, ("127.0.0.1", host.port), None, True)
        for host in hosts + hosts:
            assert (await one(up, host.name)).outcome is Outcome.OK
            assert up.open_connections <= 2
        assert [host.connections for host in hosts] == [2] * 5
        await until(lambda: [host.open for host in hosts] == [0, 0, 0, 1, 1])
        for host in hosts:
            host.stop()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(asyncio.wait_for(test(), 20.0))


def test_dials_that_come_together_at_the_bound_close_one_idle_connection_each() -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(6)]
        up = upstream(most=3)
        for host in hosts:
            up.update_endpoint(host.name, ("127.0.0.1", host.port), None, True)
        for host in hosts[:3]:
            assert (await one(up, host.name)).outcome is Outcome.OK
        ended: list[AttemptResult] = []
        for host in hosts[3:]:
            up.start_attempt(request(), host.name, 5000.0, ended.append)
        await until(lambda: len(ended) == 3)
        assert [each.outcome for each in ended] == [Outcome.OK] * 3
        assert up.open_connections == 3
        for host in hosts:
            host.stop()

    run(test())


def test_keyed_request_is_repeated_by_the_balancer_alone() -> None:
    # One attempt for each send of the balancer's: nothing below it sends again by itself.
    first: list[str] = []

    async def once_broken(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        first.append(host.name)
        if len(first) == 1:
            writer.transport.abort()
        else:
            writer.write(http(200, b"second"))

    async def test() -> None:
        hosts = Host("h", once_broken), Host("g", once_broken)
        async with proxy(*hosts) as p:
            client = await Client.connect(p.port)
            status, _, body = await client.ask(KEYED_CLASS)
            assert (status, body, sorted(first)) == (200, b"second", ["g", "h"])
            client.close()

    run(test())


def test_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() -> None:
    async def broken(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def test() -> None:
        hosts = Host("h", broken), Host("g", broken)
        async with proxy(*hosts) as p:
            client = await Client.connect(p.port)
            status, _, _ = await client.ask()
            assert status == 502
            assert sum(len(h.received) for h in hosts) == 1
            client.close()

    run(test())
