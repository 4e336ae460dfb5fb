"""The application's side over loopback sockets: one final answer each, bounds, and an orderly end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import Sequence
from typing import cast

import pytest

from client_proxy.api.actions import Action
from client_proxy.api.events import Event
from client_proxy.balancer.balancer import Balancer
from client_proxy.clock import now_ms
from client_proxy.proxy import connection_limits, listener
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    ReceivedRequest,
    entry,
    http,
    proxy,
    run,
    served,
    settings_json,
    until,
)


async def silent(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    pass


def test_request_goes_on_unchanged_and_the_answer_comes_back() -> None:
    async def echo(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http(200, got.body[::-1], Content_Type="text/x", Endpoint_Load_Metrics="TEXT queue=1"))

    async def test() -> None:
        host = Host("h", echo)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            body = bytes(range(256)) * 256
            status, headers, answer = await client.ask(KEYED_CLASS, body=body, key="abc", X_Other="o")
            assert (status, answer, headers["content-type"]) == (200, body[::-1], "text/x")
            assert "endpoint-load-metrics" not in headers
            (got,) = host.received
            assert got.line == f"POST /{KEYED_CLASS}/7f3a HTTP/1.1"
            assert (got.body, got.headers["idempotency-key"], got.headers["x-other"]) == (body, "abc", "o")
            assert got.headers["x-trace-id"]
            assert 0 < int(got.headers["x-expires-in-ms"]) <= 5000
            client.close()

    run(test())


def test_ready_once_a_usable_list_is_there() -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)

            async def ready() -> int:
                client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return (await client.answer())[0]

            assert await ready() == 200
            p.registry.send_chunk(p.registry.change(entry(host, "gone")))
            await until(lambda: not p.directory.usable())
            assert await ready() == 503
            client.close()

    run(test())


def test_final_answer_comes_before_the_deadline() -> None:
    # The client is gone at its deadline: what is still out then is ended, and answered a little before.
    async def test() -> None:
        host = Host("h", silent)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            status, _, _ = await client.ask(expires_ms=2000)
            assert status == 502
            await until(lambda: host.open == 0 and p.engine.pending_count == 0)
            client.close()

    run(test())


def test_guard_answers_whatever_the_balancer_does(monkeypatch: pytest.MonkeyPatch) -> None:
    # A balancer that never ends a request: one that may have run fails, one that can't have is refused.
    act = Balancer.handle

    def mute(self: Balancer, now_ms: float, events: Sequence[Event]) -> list[Action]:
        return [a for a in act(self, now_ms, events) if type(a).__name__ in allowed]

    allowed = {"Send", "Subscribe"}
    monkeypatch.setattr(Balancer, "handle", mute)

    async def test() -> None:
        host = Host("h", silent)
        async with proxy(host) as p:
            for let, expected in ({"Send"}, (502, 504)), (set[str](), (503,)):
                allowed.clear()
                allowed.update(let)
                client = await Client.connect(p.port)
                began = time.monotonic()
                status, _, _ = await client.ask(expires_ms=1200)
                assert status in expected
                assert time.monotonic() - began >= 1.0  # not before its time either
                await until(lambda: p.engine.pending_count == 0)
                client.close()

    run(test())


def test_client_that_leaves_ends_its_attempts() -> None:
    async def test() -> None:
        host = Host("h", silent)
        # So long that nothing else ends it.
        settings = settings_json()
        for cls in settings["categories"]:
            cls["aim_ms"] = cls["deadline_ms"] = 600_000.0
        async with proxy(host, settings=settings) as p:
            client = await Client.connect(p.port)
            client.send(expires_ms=600_000)
            await until(lambda: len(host.received) == 1)
            client.close()
            await until(lambda: host.open == 0 and p.engine.pending_count == 0)
            assert p.upstream.open_connections == 0

    run(test())


def test_no_hosts_is_a_refusal() -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            p.registry.send_chunk(p.registry.change(full=True))
            await until(lambda: not p.directory.usable())
            client = await Client.connect(p.port)
            assert (await client.ask(expires_ms=300))[0] == 503
            client.close()

    run(test())


def worded(cls: str = UNSAFE_CLASS, *lines: str, method: str = "POST") -> bytes:
    """The head of a request, in these words."""
    head = [f"{method} /{cls}/7f3a HTTP/1.1", "X-Trace-Id: 1", *lines]
    return "".join(f"{line}\r\n" for line in head).encode("latin-1") + b"\r\n"


BAD = [
    (b"nonsense\r\n\r\n", 400),
    (b"POST /entry-register HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nX-Trace-Id: 1\r\nContent-Length: 0\r\n\r\n", 400),
    (b"POST /entry-register HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),  # no trace id
    (worded(UNSAFE_CLASS, "X-Expires-In-Ms: soon", "Content-Length: 0"), 400),
    (worded(UNSAFE_CLASS, "X-Expires-In-Ms: nan", "Content-Length: 0"), 400),
    (worded(UNSAFE_CLASS, "X-Expires-In-Ms: -1", "Content-Length: 0"), 400),
    (b"GET /c HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", 400),
    (b"POST /entry-register HTTP/1.1\r\nX-Trace-Id: 1\r\nContent-Length: 65537\r\n\r\n" + b"x" * 65537, 413),
    (b"GET /c HTTP/1.1\r\nX-Much: " + b"x" * 20_000 + b"\r\n\r\n", 431),
    (b"GET /c HTTP/1.1\r\nX-Endless: " + b"x" * 20_000, 431),
    (b"GET /" + b"x" * 20_000, 431),
    (worded("unheard-of"), 404),
    (worded(method="GET"), 405),
    # The hosts can't drop a repeat that carries no key: a second try would run twice.
    (worded(KEYED_CLASS), 400),
    (worded(KEYED_CLASS, "Idempotency-Key:"), 400),
    # Two lengths: another request may hide in what one of them calls the body.
    (worded(UNSAFE_CLASS, "Transfer-Encoding: chunked", "Content-Length: 4"), 400),
    (worded(UNSAFE_CLASS, "Content-Length: 4", "Transfer-Encoding: chunked"), 400),
    (worded(UNSAFE_CLASS, "Content-Length: 4", "Content-Length: 4"), 400),
    (worded(UNSAFE_CLASS, "Content-Length: 4", "Content-Length: 5"), 400),
    (worded(UNSAFE_CLASS, "Transfer-Encoding: gzip, chunked"), 400),
    (worded(UNSAFE_CLASS, "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"), 400),
    (worded(UNSAFE_CLASS, "Content-Length: +4"), 400),
    (worded(UNSAFE_CLASS, "Content-Length: -4"), 400),
    (worded(UNSAFE_CLASS, "Content-Length: 99999999999999999999999999"), 400),
    (worded(UNSAFE_CLASS, "Content-Length: 60000000"), 413),  # at once, before the body
    # The proxy would go by one of them, and the host perhaps by the other.
    (worded(UNSAFE_CLASS, "X-Trace-Id: other", "Content-Length: 0"), 400),
    (worded(UNSAFE_CLASS, "X-Expires-In-Ms: 5", "X-Expires-In-Ms: 50", "Content-Length: 0"), 400),
    (worded(UNSAFE_CLASS, "X-Expires-In-Ms: 1_0", "Content-Length: 0"), 400),
    (worded(UNSAFE_CLASS, "X-Expires-In-Ms: 9" + "9" * 30, "Content-Length: 0"), 400),
    (worded(UNSAFE_CLASS, "X-Other: a\x01b", "Content-Length: 0"), 400),
    # A chunked body's own figures and trailers are no body, and need not end.
    (worded(UNSAFE_CLASS, "Transfer-Encoding: chunked") + b"1;" + b"x" * 400_000, 413),
    (worded(UNSAFE_CLASS, "Transfer-Encoding: chunked") + b"0\r\nX-T: " + b"x" * 400_000, 413),
]


@pytest.mark.parametrize(("data", "status"), BAD)
def test_malformed_requests_are_answered_and_closed(data: bytes, status: int) -> None:
    # None of them may wear a refusal, end the process or go to a host.
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            client.writer.write(data)
            got, headers, _ = await client.answer()
            assert (got, headers["connection"]) == (status, "close")
            assert await client.reader.read() == b""
            other = await Client.connect(p.port)
            assert (await other.ask())[0] == 200
            assert len(host.received) == 1
            client.close()
            other.close()

    run(test())


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"\r\n",
        b"P",
        worded(UNSAFE_CLASS, "Content-Length: 4")[:-1],
        worded(UNSAFE_CLASS, "Content-Length: 4") + b"for",
        worded(UNSAFE_CLASS, "Transfer-Encoding: chunked") + b"2\r\nab\r\n",
    ],
)
@pytest.mark.parametrize("first", [False, True])
def test_request_that_does_not_come_to_its_end_is_given_up(
    sent: bytes, first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Silent connections, heads and bodies used to stand for good.
    if not first and not sent.strip():
        pytest.skip("between requests: that is no silence")
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 50.0)

    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            if not first:
                assert (await client.ask())[0] == 200
            client.writer.write(sent)
            if sent.strip():
                assert (await client.answer())[0] == 408
            assert await client.reader.read() == b""
            await until(lambda: not p.listener.connections)
            assert len(host.received) == (0 if first else 1)
            client.close()

    run(test())


def test_sender_that_is_turned_away_and_sends_on_grows_nothing() -> None:
    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            client.writer.write(worded(UNSAFE_CLASS, "Transfer-Encoding: chunked"))
            with contextlib.suppress(ConnectionError):
                for _ in range(600):
                    client.writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
                    await client.writer.drain()
            await until(lambda: not p.listener.connections)
            assert not p.engine.pending_count
            client.close()

    run(test())


def test_id_of_a_request_that_is_open_or_was_just_now_is_turned_away() -> None:
    # Passed on, the second of them is a duplicate of the first.
    release = asyncio.Event()

    async def held(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(http(200))

    async def test() -> None:
        host = Host("h", held)
        async with proxy(host) as p:
            client, other = await Client.connect(p.port), await Client.connect(p.port)
            client.send(X_Trace_Id="a1")
            await until(lambda: len(host.received) == 1)
            assert (await other.ask(X_Trace_Id="a1"))[0] == 409
            release.set()
            assert (await client.answer())[0] == 200
            assert (await client.ask(X_Trace_Id="a1"))[0] == 409
            assert len(host.received) == 1
            for one in (client, other):
                one.close()

    run(test())


def test_deadline_beyond_the_class_s_own_is_bounded_by_it() -> None:
    settings = settings_json()
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = 1000.0

    async def test() -> None:
        host = Host("h", silent)
        async with proxy(host, settings=settings) as p:
            client = await Client.connect(p.port)
            assert (await client.ask(expires_ms=999_999_999))[0] == 502
            assert int(host.received[0].headers["x-expires-in-ms"]) <= 1000
            client.close()

    run(test())


def test_request_that_a_host_can_not_use_is_not_repeated_nor_held_against_it() -> None:
    async def unusable(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http(400))

    async def test() -> None:
        hosts = Host("h", unusable), Host("g", unusable)
        async with proxy(*hosts) as p:
            client = await Client.connect(p.port)
            for number in range(8):
                assert (await client.ask(KEYED_CLASS))[0] == 502
                assert sum(len(host.received) for host in hosts) == number + 1
            membership = p.engine.balancer.endpoint_set
            assert all(e.payoff(KEYED_CLASS) == 1.0 for e in membership.endpoints.values())
            assert all(e.has_capacity(now_ms(), KEYED_CLASS) for e in membership.endpoints.values())
            client.close()

    run(test())


def test_short_of_descriptors_the_silent_go_first() -> None:
    # They counted as busy: good clients' connections were closed in their place.
    async def test() -> None:
        async with proxy(Host("h"), most=3) as p:
            good = await Client.connect(p.port)
            assert (await good.ask())[0] == 200
            quiet = [await Client.connect(p.port) for _ in range(20)]
            await until(lambda: len(p.listener.connections) <= 3)
            for _ in range(3):
                status, headers, _ = await good.ask()
                assert (status, headers.get("connection")) == (200, None)
            for client in [good, *quiet]:
                client.close()

    run(test())


def test_while_many_rest_answers_close_their_connection() -> None:
    # Clients may hold only so many: those that ask once and stay left the others none to ask on.
    async def test() -> None:
        async with proxy(Host("h"), max_idle=3) as p:
            clients = [await Client.connect(p.port) for _ in range(6)]
            closes = [(await client.ask())[1].get("connection") == "close" for client in clients]
            assert closes == [False, False, False, True, True, True]
            clients[0].close()
            await until(lambda: len(p.listener.connections) == 2)
            assert (await clients[1].ask())[1].get("connection") is None
            for client in clients:
                client.close()

    run(test())


def test_beyond_every_limit_connections_are_closed_at_once() -> None:
    async def test() -> None:
        async with proxy(Host("h", silent), most=1) as p:
            clients: list[Client] = []
            for _ in range(1 + connection_limits.CONNECTION_HEADROOM):
                clients.append(await Client.connect(p.port))
                clients[-1].send()
                await until(lambda: p.engine.pending_count == len(clients))
            last = await Client.connect(p.port)
            assert await last.reader.read() == b""
            assert p.engine.pending_count == len(clients)
            for client in [*clients, last]:
                client.close()

    run(test())


def test_malformed_bytes_behind_a_request_leave_it_its_answer() -> None:
    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            client.send()
            client.writer.write(b"nonsense\r\n\r\n")
            assert (await client.answer())[0] == 200
            assert (await client.answer())[0] == 400
            client.close()

    run(test())


def test_requests_ahead_of_their_turn_are_answered_in_order() -> None:
    async def echo(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http(200, got.body))

    async def test() -> None:
        async with proxy(Host("h", echo)) as p:
            client = await Client.connect(p.port)
            for number in range(20):
                client.send(body=b"%d" % number)
            for number in range(20):
                assert (await client.answer())[::2] == (200, b"%d" % number)
            client.close()

    run(test())


def test_request_in_single_bytes() -> None:
    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            head = (
                f"POST /{UNSAFE_CLASS}/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nContent-Length: 3\r\n\r\nabc".encode()
            )
            for byte in head:
                client.writer.write(bytes((byte,)))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.answer())[0] == 200
            client.close()

    run(test())


def test_failing_balancer_leaves_nobody_without_an_answer(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Loud, each held request ended, and the next one served: what may have run is no refusal.
    act = Balancer.handle
    fail = [False]

    def handle(self: Balancer, now_ms: float, events: Sequence[Event]) -> list[Action]:
        if fail[0]:
            fail[0] = False
            raise RuntimeError("a defect")
        return act(self, now_ms, events)

    monkeypatch.setattr(Balancer, "handle", handle)

    async def test() -> None:
        host = Host("h", silent)
        async with proxy(host) as p:
            first, second = await Client.connect(p.port), await Client.connect(p.port)
            first.send()
            await until(lambda: len(host.received) == 1)
            fail[0] = True
            second.send()
            assert (await first.answer())[0] == 500
            assert (await second.answer())[0] == 503
            assert p.engine.pending_count == 0
            await until(lambda: len(p.registry.calls) == 2)  # the new balancer has begun, and asked
            host.answer = served
            assert (await second.ask())[::2] == (200, b"from h")
            first.close()
            second.close()

    run(test())
    assert "a defect" in caplog.text


def test_slow_reader_gets_no_further_answers_until_it_reads() -> None:
    async def large(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http(200, b"x" * 65536))

    async def test() -> None:
        host = Host("h", large)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            transport = cast(asyncio.Transport, client.writer.transport)
            transport.pause_reading()
            total = 400
            for _ in range(total):
                client.send(expires_ms=60_000, body=b"")
            (connection,) = p.listener.connections
            await until(lambda: not connection.writable)
            asked = len(host.received)
            assert asked < total
            transport.resume_reading()
            for _ in range(total):
                assert (await client.answer())[0] == 200
            client.close()

    run(test())


def test_short_of_descriptors_the_longest_idle_client_connection_is_closed() -> None:
    async def test() -> None:
        async with proxy(Host("h"), most=2) as p:
            clients = [await Client.connect(p.port) for _ in range(2)]
            for client in clients:
                assert (await client.ask())[0] == 200
            third = await Client.connect(p.port)
            assert (await third.ask())[0] == 200
            assert await clients[0].reader.read() == b""
            assert (await clients[1].ask())[0] == 200
            for client in [*clients, third]:
                client.close()

    run(test())


def test_end_serves_who_still_comes_and_finishes_what_is_taken() -> None:
    # At a planned restart connections go on coming for a while; what is taken is answered all the same.
    async def held(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(http(200, b"late"))

    release = asyncio.Event()

    async def test() -> None:
        hosts = Host("h", held), Host("g", held)
        async with proxy(*hosts) as p:
            taken, idle = await Client.connect(p.port), await Client.connect(p.port)
            taken.send()
            await until(lambda: sum(len(h.received) for h in hosts) == 1)
            ending = asyncio.create_task(p.listener.shut_down(0.3, 10.0))
            coming = await Client.connect(p.port)
            coming.send()
            await until(lambda: sum(len(h.received) for h in hosts) == 2)
            assert not ending.done()
            assert await idle.reader.read() == b""  # closed between requests, once nobody comes any more
            with pytest.raises(OSError):
                await Client.connect(p.port)
            release.set()
            for client in taken, coming:
                status, headers, body = await client.answer()
                assert (status, headers["connection"], body) == (200, "close", b"late")
            await ending

    run(test())


def test_decisions_that_fail_whenever_they_begin_leave_the_loop_free(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Begun anew at once, they would fail again at once, and nothing else would ever run.
    calls = []

    def handle(self: Balancer, now_ms: float, events: Sequence[Event]) -> list[Action]:
        calls.append(now_ms)
        raise RuntimeError("a defect")

    async def test() -> None:
        async with proxy(Host("h")) as p:
            monkeypatch.setattr(Balancer, "handle", handle)
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 503
            first = len(calls)
            for _ in range(50):
                await asyncio.sleep(0)
            assert len(calls) <= first + 1
            assert (await client.ask())[0] == 503
            client.close()

    run(test())


def test_over_the_limit_connections_are_closed_with_their_answer() -> None:
    # All of them busy: none can be closed in between, and further ones would be dropped unanswered.
    release = asyncio.Event()

    async def held(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(http(200))

    async def test() -> None:
        hosts = [Host(name, held) for name in "abc"]
        async with proxy(*hosts, most=2) as p:
            clients: list[Client] = []
            for number in range(1, 4):
                clients.append(await Client.connect(p.port))
                clients[-1].send()
                await until(lambda number=number: p.engine.pending_count == number)  # type: ignore[misc]
            release.set()
            headers = [(await client.answer())[1] for client in clients]
            assert sum(h.get("connection") == "close" for h in headers) >= 1
            await until(lambda: len(p.listener.connections) <= 2)
            for client in clients:
                client.close()

    run(test())


def test_request_that_is_in_the_system_s_hands_at_the_end_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Written before the end, not yet read: closing the connection under it would lose it.
    sleep = asyncio.sleep
    coming_s = 7.0

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200

            async def write_meanwhile(delay: float) -> None:
                """The request comes while the loop is at something else."""
                if delay == coming_s:
                    os.write(client.writer.get_extra_info("socket").fileno(), client.encode_request())
                else:
                    await sleep(delay)

            monkeypatch.setattr(asyncio, "sleep", write_meanwhile)
            ending = asyncio.create_task(p.listener.shut_down(coming_s, 5.0))
            assert (await client.answer())[0] == 200
            await ending
            client.close()

    run(test())
