"""What a peer sends and the proxy has to hold is bounded: lines without an end, unfinished messages."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from client_proxy.api.events import Outcome
from client_proxy.proxy import listener, read_scheduler
from client_proxy.proxy.connection_context import Phase
from client_proxy.proxy.errors import BadRequestError
from client_proxy.proxy.memory_account import WAITING_SHARE, HeldKind
from client_proxy.proxy.message_buffer import PARSE_CHUNK_BYTES
from client_proxy.proxy.messages import MAX_BODY_BYTES
from client_proxy.proxy.request_parser import MAX_HEADER_BYTES, ParsedRequest, RequestParser
from client_proxy.proxy.stall_detector import StallDetector
from client_proxy.proxy.trace_ids import TraceIdQuota, TraceIds
from client_proxy.proxy.upstream_connection import UpstreamConnection
from tests.proxy.sockets import UNSAFE_CLASS, Client, Host, ReceivedRequest, http_response, proxy, run, until
from tests.proxy.test_before_the_write import settings_without_timeouts
from tests.proxy.test_front import encode_head
from tests.proxy.test_upstream import attempt_at, make_pool, run_attempt

CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_HEAD = encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked")
LONG_CHUNK = b"a000\r\n" + b"x" * 40_960 + b"\r\n"  # longer than the limits on headers


class Requests:
    """Collects the requests of a parser."""

    def __init__(self) -> None:
        self.parsed: list[ParsedRequest] = []

    def continue_expected(self) -> None:
        pass

    def request_parsed(self, parsed: ParsedRequest) -> None:
        self.parsed.append(parsed)


def feed_all(parser: RequestParser, data: bytes) -> None:
    """Feed bytes in pieces of the size that a connection uses."""
    for at in range(0, len(data), PARSE_CHUNK_BYTES):
        parser.feed(data[at : at + PARSE_CHUNK_BYTES])


@pytest.mark.parametrize(
    "start",
    [
        b"1\r\nx\r\n0\r\nX-Check: ",  # a trailer line
        b"1\r\nx\r\n1;",  # a chunk extension
        LONG_CHUNK + b"0\r\n",  # the name of a trailer line
    ],
)
def test_response_line_that_never_ends_is_not_collected(start: bytes) -> None:
    # The library holds an incomplete line, so one server's answers took all proxies over their memory limit.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_RESPONSE + start + b"p" * 256 * 1024)  # and nothing more: the line stays open

    async def test() -> None:
        assert (await attempt_at(Host("h", answer), timeout_ms=20_000.0)).outcome is Outcome.ERROR

    run(test())


@pytest.mark.parametrize("start", [b"1\r\nx\r\n0\r\nX-Check: ", b"1\r\nx\r\n1;", LONG_CHUNK + b"0\r\n"])
def test_request_line_that_never_ends_is_not_collected(start: bytes) -> None:
    # The library holds an incomplete line, up to the limit on the whole message: 17 times that on headers.
    parser = RequestParser(Requests())
    feed_all(parser, CHUNKED_HEAD + start + b"p" * 1024)
    with pytest.raises(BadRequestError) as raised:
        feed_all(parser, b"p" * (MAX_HEADER_BYTES + PARSE_CHUNK_BYTES))
    assert raised.value.status == 413


def test_trailer_after_a_long_body_is_within_the_limits() -> None:
    # The size of the body was counted as one of the trailer, and whole messages were turned away.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_RESPONSE + LONG_CHUNK + b"0\r\nX-Check: 1\r\n\r\n")

    async def test() -> None:
        async with proxy(Host("h", answer)) as p:
            client = await Client.connect(p.port)
            client.writer.write(CHUNKED_HEAD + LONG_CHUNK + b"0\r\nX-Check: 1\r\n\r\n")
            status, _, body = await client.answer()
            assert (status, len(body)) == (200, 40_960)
            client.close()

    run(test())


def unfinished_request(chunk: bytes, count: int) -> bytes:
    """Encode a request without its end: `count` chunks of its body."""
    return CHUNKED_HEAD + (b"%x\r\n%b\r\n" % (len(chunk), chunk)) * count


@pytest.mark.parametrize(("chunk", "count"), [(b"ab", 32_700), (b"x" * 4096, 15)])
def test_unfinished_body_takes_no_more_memory_than_is_counted(chunk: bytes, count: int) -> None:
    # With one object for each chunk, 64 KiB took 1.4 MB, and 48 clients ended a proxy.
    parser = RequestParser(Requests())
    data = unfinished_request(chunk, count)
    tracemalloc.start()
    try:
        feed_all(parser, data)
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(chunk) * count <= parser.held_bytes <= MAX_BODY_BYTES + MAX_HEADER_BYTES
    # A growing buffer reserves an eighth of its size; the rest is for the parser itself.
    assert taken_bytes <= parser.held_bytes * 9 / 8 + 8192
    parser.discard()
    assert parser.held_bytes == 0


@pytest.mark.parametrize("iteration_ms", [read_scheduler.MAX_ITERATION_MS, 0.0])
def test_unfinished_requests_of_all_clients_are_bounded(
    iteration_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Clients that stop in the middle of a request made the proxy hold all that they had sent, uncounted. With
    # no time in an iteration, requests wait unparsed at first; they are no less unfinished.
    monkeypatch.setattr(read_scheduler, "MAX_ITERATION_MS", iteration_ms)
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 600_000.0)

    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            account = p.listener.limits.account
            account.limit_bytes = int(210_000 / WAITING_SHARE)
            small = await Client.connect(p.port)
            request = small.encode_request(body=b"x" * 100)
            small.writer.write(request[:-50])
            await until(lambda: account.held(HeldKind.UNFINISHED) > 0)
            stopped = [await Client.connect(p.port) for _ in range(8)]
            for client in stopped:
                client.writer.write(unfinished_request(b"x" * 4096, 12))
            answers = [asyncio.create_task(client.answer()) for client in stopped]
            # Four of them fit into the limit.
            await until(lambda: sum(answer.done() for answer in answers) == 4)
            assert account.waiting_bytes <= 210_000
            for answer in [answer for answer in answers if answer.done()]:
                assert (answer.result()[0], answer.result()[1]["connection"]) == (503, "close")
            small.writer.write(request[-50:])
            assert (await small.answer())[0] == 200
            assert len(host.received) == 1
            for answer in answers:
                answer.cancel()
            for client in [*stopped, small]:
                client.close()
            await until(lambda: not p.listener.connections)
            assert account.total_bytes == 0

    run(test())


def test_pipelined_requests_count_with_their_headers() -> None:
    # Only bodies were counted: requests ahead of their turn with large heads were held without a limit.
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    async def test() -> None:
        async with proxy(Host("h", answer_when_released), settings=settings_without_timeouts()) as p:
            p.listener.limits.account.limit_bytes = int(100_000 / WAITING_SHARE)
            client = await Client.connect(p.port)
            for _ in range(24):
                client.send(body=b"", expires_ms=600_000, X_Other="x" * 12_000)
            await until(lambda: any(one._phase is Phase.FINISHING for one in p.listener.connections))
            release.set()
            statuses = [(await client.answer())[0] for _ in range(2)]
            while (status := (await client.answer())[0]) == 200:
                statuses.append(status)
            assert status == 413
            assert 2 <= len(statuses) < 24
            client.close()

    run(test())


def test_messages_with_too_many_header_lines_are_turned_away() -> None:
    # Short lines take many times their bytes: 16 KB of them, within the limit on a head, took 316 KB.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        lines = {f"A{number}": "b" for number in range(int(received.headers["x-lines"]))}
        writer.write(http_response(200, b"", **lines))

    async def test() -> None:
        async with proxy(Host("h", answer)) as p:
            statuses: list[int] = []
            for request_lines, response_lines in ((100, 100), (200, 0), (0, 200)):
                client = await Client.connect(p.port)
                lines = {f"A{number}": "b" for number in range(request_lines)}
                statuses.append((await client.ask(X_Lines=str(response_lines), **lines))[0])
                client.close()
            assert statuses == [200, 431, 502]

    run(test())


def test_memory_of_trace_ids_does_not_depend_on_their_length() -> None:
    # Each id is kept for two deadlines, and its length is the client's choice: these took 15 MB.
    trace_ids, quota = TraceIds((), 10_000), TraceIdQuota()
    tracemalloc.start()
    try:
        for number in range(1000):
            trace_ids.register(b"x" * 15_000 + b"%d" % number, quota)
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken_bytes < 1000 * 512
    with pytest.raises(BadRequestError) as raised:
        trace_ids.register(b"x" * 15_000 + b"7", quota)
    assert raised.value.status == 409


def test_bytes_read_after_a_stall_are_counted_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # They wait for a moment, to see which clients have left; meanwhile nothing limited what was read.
    monkeypatch.setattr(StallDetector, "recovering", lambda detector: True)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            await until(lambda: bool(p.listener.connections))
            (connection,) = p.listener.connections
            # Directly, as one read after the other within one iteration of the loop, before any timer.
            connection.data_received(client.encode_request(body=b"x" * 1000)[:-10])
            account = p.listener.limits.account
            assert account.held(HeldKind.UNPARSED) > 1000
            account.limit_bytes = 100_000
            connection.data_received(b"POST" * 16 * 1024)
            assert connection._phase is Phase.HALF_CLOSED
            assert account.waiting_bytes == 0
            assert (await client.answer())[0] == 503
            client.close()

    run(test())


def test_closed_connection_to_an_endpoint_holds_nothing_of_its_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Parser and connection refer to each other, so their memory is freed only at some later collection.
    closed: list[UpstreamConnection] = []
    original_connection_lost = UpstreamConnection.connection_lost

    def connection_lost(connection: UpstreamConnection, exc: Exception | None) -> None:
        original_connection_lost(connection, exc)
        closed.append(connection)

    monkeypatch.setattr(UpstreamConnection, "connection_lost", connection_lost)

    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_RESPONSE + LONG_CHUNK)
        await writer.drain()
        writer.close()

    async def test() -> None:
        host = await Host("h", answer).start()
        pool = make_pool()
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        assert (await run_attempt(pool, "h")).outcome is Outcome.RESET
        (connection,) = closed
        assert connection.held_bytes == 0
        host.stop()

    run(test())


def test_idle_connection_to_an_endpoint_holds_nothing_of_its_last_response() -> None:
    # Each idle connection kept the body of its last response, up to 64 KiB, until its next request.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(200, b"x" * 60_000))

    async def test() -> None:
        async with proxy(Host("h", answer)) as p:
            client = await Client.connect(p.port)
            for _ in range(2):
                assert len((await client.ask())[2]) == 60_000
                (connection,) = p.upstream.endpoints["h"].idle
                assert connection.held_bytes == 0
            client.close()

    run(test())
