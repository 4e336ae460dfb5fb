"""The client side over loopback sockets: one final response for each request, limits, graceful shutdown."""

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
    answer_ok,
    entry,
    http_response,
    proxy,
    run,
    settings_json,
    until,
)


async def never_answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    pass


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def echo(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(
            http_response(
                200, received.body[::-1], Content_Type="text/x", Endpoint_Load_Metrics="TEXT queue=1"
            )
        )

    async def test() -> None:
        host = Host("h", echo)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            body = bytes(range(256)) * 256
            status, headers, answer = await client.ask(KEYED_CLASS, body=body, key="abc", X_Other="o")
            assert (status, answer, headers["content-type"]) == (200, body[::-1], "text/x")
            assert "endpoint-load-metrics" not in headers
            (received,) = host.received
            assert received.line == f"POST /{KEYED_CLASS}/7f3a HTTP/1.1"
            assert (received.body, received.headers["idempotency-key"], received.headers["x-other"]) == (
                body,
                "abc",
                "o",
            )
            assert received.headers["x-trace-id"]
            assert 0 < int(received.headers["x-expires-in-ms"]) <= 5000
            client.close()

    run(test())


def test_readiness_follows_the_usable_endpoints() -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)

            async def read_readiness() -> int:
                client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return (await client.answer())[0]

            assert await read_readiness() == 200
            p.registry.send_chunk(p.registry.change(entry(host, "gone")))
            await until(lambda: not p.directory.usable())
            assert await read_readiness() == 503
            client.close()

    run(test())


def test_final_response_precedes_the_deadline() -> None:
    # The client leaves at its deadline, so an attempt still in flight is ended and answered shortly before.
    async def test() -> None:
        host = Host("h", never_answer)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            status, _, _ = await client.ask(expires_ms=2000)
            assert status == 502
            await until(lambda: host.open == 0 and p.engine.pending_count == 0)
            client.close()

    run(test())


def test_guard_answers_if_the_balancer_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    # The balancer never ends a request: one that may have run fails, one that can't have run is rejected.
    original_handle = Balancer.handle

    def drop_other_actions(self: Balancer, now_ms: float, events: Sequence[Event]) -> list[Action]:
        return [a for a in original_handle(self, now_ms, events) if type(a).__name__ in allowed]

    allowed = {"Send", "Subscribe"}
    monkeypatch.setattr(Balancer, "handle", drop_other_actions)

    async def test() -> None:
        host = Host("h", never_answer)
        async with proxy(host) as p:
            for allowed_now, expected in ({"Send"}, (502, 504)), (set[str](), (503,)):
                allowed.clear()
                allowed.update(allowed_now)
                client = await Client.connect(p.port)
                began = time.monotonic()
                status, _, _ = await client.ask(expires_ms=1200)
                assert status in expected
                assert time.monotonic() - began >= 1.0  # and not too early
                await until(lambda: p.engine.pending_count == 0)
                client.close()

    run(test())


def test_client_disconnect_cancels_its_attempts() -> None:
    async def test() -> None:
        host = Host("h", never_answer)
        # Deadlines so long that nothing else ends the request.
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


def test_request_without_endpoints_is_rejected() -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            p.registry.send_chunk(p.registry.change(full=True))
            await until(lambda: not p.directory.usable())
            client = await Client.connect(p.port)
            assert (await client.ask(expires_ms=300))[0] == 503
            client.close()

    run(test())


def encode_head(cls: str = UNSAFE_CLASS, *lines: str, method: str = "POST") -> bytes:
    """Encode the head of a request with these header lines."""
    head = [f"{method} /{cls}/7f3a HTTP/1.1", "X-Trace-Id: 1", *lines]
    return "".join(f"{line}\r\n" for line in head).encode("latin-1") + b"\r\n"


MALFORMED_REQUESTS = [
    (b"nonsense\r\n\r\n", 400),
    (b"POST /entry-register HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nX-Trace-Id: 1\r\nContent-Length: 0\r\n\r\n", 400),
    (b"POST /entry-register HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),  # no trace id
    (encode_head(UNSAFE_CLASS, "X-Expires-In-Ms: soon", "Content-Length: 0"), 400),
    (encode_head(UNSAFE_CLASS, "X-Expires-In-Ms: nan", "Content-Length: 0"), 400),
    (encode_head(UNSAFE_CLASS, "X-Expires-In-Ms: -1", "Content-Length: 0"), 400),
    (b"GET /c HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", 400),
    (b"POST /entry-register HTTP/1.1\r\nX-Trace-Id: 1\r\nContent-Length: 65537\r\n\r\n" + b"x" * 65537, 413),
    (b"GET /c HTTP/1.1\r\nX-Much: " + b"x" * 20_000 + b"\r\n\r\n", 431),
    (b"GET /c HTTP/1.1\r\nX-Endless: " + b"x" * 20_000, 431),
    (b"GET /" + b"x" * 20_000, 431),
    (encode_head("unheard-of"), 404),
    (encode_head(method="GET"), 405),
    # Endpoints can't deduplicate a request without a key, so a retry would run twice.
    (encode_head(KEYED_CLASS), 400),
    (encode_head(KEYED_CLASS, "Idempotency-Key:"), 400),
    # With two lengths, a second request may hide in the body that only one of them covers.
    (encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked", "Content-Length: 4"), 400),
    (encode_head(UNSAFE_CLASS, "Content-Length: 4", "Transfer-Encoding: chunked"), 400),
    (encode_head(UNSAFE_CLASS, "Content-Length: 4", "Content-Length: 4"), 400),
    (encode_head(UNSAFE_CLASS, "Content-Length: 4", "Content-Length: 5"), 400),
    (encode_head(UNSAFE_CLASS, "Transfer-Encoding: gzip, chunked"), 400),
    (encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"), 400),
    (encode_head(UNSAFE_CLASS, "Content-Length: +4"), 400),
    (encode_head(UNSAFE_CLASS, "Content-Length: -4"), 400),
    (encode_head(UNSAFE_CLASS, "Content-Length: 99999999999999999999999999"), 400),
    (encode_head(UNSAFE_CLASS, "Content-Length: 60000000"), 413),  # rejected at once, before the body
    # Of two headers with one name, the proxy might use one and the endpoint the other.
    (encode_head(UNSAFE_CLASS, "X-Trace-Id: other", "Content-Length: 0"), 400),
    (encode_head(UNSAFE_CLASS, "X-Expires-In-Ms: 5", "X-Expires-In-Ms: 50", "Content-Length: 0"), 400),
    (encode_head(UNSAFE_CLASS, "X-Expires-In-Ms: 1_0", "Content-Length: 0"), 400),
    (encode_head(UNSAFE_CLASS, "X-Expires-In-Ms: 9" + "9" * 30, "Content-Length: 0"), 400),
    (encode_head(UNSAFE_CLASS, "X-Other: a\x01b", "Content-Length: 0"), 400),
    # Chunk extensions and trailers do not count as body, and could be endless.
    (encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked") + b"1;" + b"x" * 400_000, 413),
    (encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked") + b"0\r\nX-T: " + b"x" * 400_000, 413),
]


@pytest.mark.parametrize(("data", "status"), MALFORMED_REQUESTS)
def test_malformed_requests_are_answered_and_closed(data: bytes, status: int) -> None:
    # No malformed request may be answered 503, end the process, or reach an endpoint.
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            client.writer.write(data)
            actual_status, headers, _ = await client.answer()
            assert (actual_status, headers["connection"]) == (status, "close")
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
        encode_head(UNSAFE_CLASS, "Content-Length: 4")[:-1],
        encode_head(UNSAFE_CLASS, "Content-Length: 4") + b"for",
        encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked") + b"2\r\nab\r\n",
    ],
)
@pytest.mark.parametrize("first", [False, True])
def test_incomplete_request_times_out(sent: bytes, first: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    # Without the timeout, silent connections and incomplete heads and bodies would stay open forever.
    if not first and not sent.strip():
        pytest.skip("an idle connection between requests does not time out here")
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


def test_sender_that_ignores_its_rejection_is_disconnected() -> None:
    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            client.writer.write(encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked"))
            with contextlib.suppress(ConnectionError):
                for _ in range(600):
                    client.writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
                    await client.writer.drain()
            await until(lambda: not p.listener.connections)
            assert not p.engine.pending_count
            client.close()

    run(test())


def test_trace_id_in_use_is_rejected() -> None:
    # Endpoints would treat the second request as a duplicate of the first.
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    async def test() -> None:
        host = Host("h", answer_when_released)
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


def test_deadline_is_bounded_by_the_deadline_of_the_class() -> None:
    settings = settings_json()
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = 1000.0

    async def test() -> None:
        host = Host("h", never_answer)
        async with proxy(host, settings=settings) as p:
            client = await Client.connect(p.port)
            assert (await client.ask(expires_ms=999_999_999))[0] == 502
            assert int(host.received[0].headers["x-expires-in-ms"]) <= 1000
            client.close()

    run(test())


def test_unusable_request_is_not_retried_and_does_not_affect_the_endpoint() -> None:
    async def answer_unusable(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(400))

    async def test() -> None:
        hosts = Host("h", answer_unusable), Host("g", answer_unusable)
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


def test_at_the_limit_silent_connections_are_closed_first() -> None:
    # Silent connections must not count as busy: connections of active clients would be closed instead.
    async def test() -> None:
        async with proxy(Host("h"), max_connections=3) as p:
            active_client = await Client.connect(p.port)
            assert (await active_client.ask())[0] == 200
            silent_clients = [await Client.connect(p.port) for _ in range(20)]
            await until(lambda: len(p.listener.connections) <= 3)
            for _ in range(3):
                status, headers, _ = await active_client.ask()
                assert (status, headers.get("connection")) == (200, None)
            for client in [active_client, *silent_clients]:
                client.close()

    run(test())


def test_responses_close_connections_while_too_many_are_idle() -> None:
    # A client process may hold a limited number of connections. If too many idle ones stayed open, none would
    # be left for further requests.
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


def test_connections_beyond_the_headroom_are_closed_at_once() -> None:
    async def test() -> None:
        async with proxy(Host("h", never_answer), max_connections=1) as p:
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


def test_request_before_malformed_bytes_is_answered() -> None:
    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            client.send()
            client.writer.write(b"nonsense\r\n\r\n")
            assert (await client.answer())[0] == 200
            assert (await client.answer())[0] == 400
            client.close()

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def echo(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, received.body))

    async def test() -> None:
        async with proxy(Host("h", echo)) as p:
            client = await Client.connect(p.port)
            for number in range(20):
                client.send(body=b"%d" % number)
            for number in range(20):
                assert (await client.answer())[::2] == (200, b"%d" % number)
            client.close()

    run(test())


def test_request_that_arrives_in_single_bytes_is_answered() -> None:
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


def test_balancer_failure_answers_all_pending_requests(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # The failure is logged, pending requests are answered, and the next one is served. A request that may
    # have run is not rejected.
    original_handle = Balancer.handle
    must_fail = [False]

    def handle(self: Balancer, now_ms: float, events: Sequence[Event]) -> list[Action]:
        if must_fail[0]:
            must_fail[0] = False
            raise RuntimeError("a defect")
        return original_handle(self, now_ms, events)

    monkeypatch.setattr(Balancer, "handle", handle)

    async def test() -> None:
        host = Host("h", never_answer)
        async with proxy(host) as p:
            first, second = await Client.connect(p.port), await Client.connect(p.port)
            first.send()
            await until(lambda: len(host.received) == 1)
            must_fail[0] = True
            second.send()
            assert (await first.answer())[0] == 500
            assert (await second.answer())[0] == 503
            assert p.engine.pending_count == 0
            await until(lambda: len(p.registry.calls) == 2)  # the new balancer has subscribed
            host.answer = answer_ok
            assert (await second.ask())[::2] == (200, b"from h")
            first.close()
            second.close()

    run(test())
    assert "a defect" in caplog.text


def test_client_that_does_not_read_gets_no_further_responses() -> None:
    async def answer_large(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, b"x" * 65536))

    async def test() -> None:
        host = Host("h", answer_large)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            transport = cast(asyncio.Transport, client.writer.transport)
            transport.pause_reading()
            total = 400
            for _ in range(total):
                client.send(expires_ms=60_000, body=b"")
            (connection,) = p.listener.connections
            await until(lambda: not connection.writable)
            answered_count = len(host.received)
            assert answered_count < total
            transport.resume_reading()
            for _ in range(total):
                assert (await client.answer())[0] == 200
            client.close()

    run(test())


def test_at_the_limit_the_longest_idle_client_connection_is_closed() -> None:
    async def test() -> None:
        async with proxy(Host("h"), max_connections=2) as p:
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


def test_shutdown_serves_new_connections_and_finishes_pending_requests() -> None:
    # In a planned restart clients still connect for a while; all accepted requests are answered.
    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200, b"late"))

    release = asyncio.Event()

    async def test() -> None:
        hosts = Host("h", answer_when_released), Host("g", answer_when_released)
        async with proxy(*hosts) as p:
            pending_client, idle = await Client.connect(p.port), await Client.connect(p.port)
            pending_client.send()
            await until(lambda: sum(len(h.received) for h in hosts) == 1)
            ending = asyncio.create_task(p.listener.shut_down(0.3, 10.0))
            new_client = await Client.connect(p.port)
            new_client.send()
            await until(lambda: sum(len(h.received) for h in hosts) == 2)
            assert not ending.done()
            assert await idle.reader.read() == b""  # closed between requests, once the accept grace is over
            with pytest.raises(OSError):
                await Client.connect(p.port)
            release.set()
            for client in pending_client, new_client:
                status, headers, body = await client.answer()
                assert (status, headers["connection"], body) == (200, "close", b"late")
            await ending

    run(test())


def test_balancer_that_fails_on_each_restart_does_not_block_the_loop(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Restarted at once, the balancer would fail again at once, and nothing else would run.
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


def test_over_the_limit_connections_are_closed_after_their_response() -> None:
    # All connections are busy, so none can be closed now, and further ones would be dropped unanswered.
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    async def test() -> None:
        hosts = [Host(name, answer_when_released) for name in "abc"]
        async with proxy(*hosts, max_connections=2) as p:
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


def test_request_unread_in_the_kernel_at_shutdown_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The request is in the kernel, not yet read: closing the connection would lose it.
    sleep = asyncio.sleep
    coming_s = 7.0

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200

            async def write_meanwhile(delay: float) -> None:
                """Write the request in place of the sleep, so that the loop has not read it."""
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
