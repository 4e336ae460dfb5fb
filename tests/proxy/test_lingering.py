"""How a connection to a client ends: no reset under an answer, nothing taken after it, all of it bounded."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

import pytest

from client_proxy.proxy import connection_limits, listener
from client_proxy.proxy.client_connection import MAX_PIPELINED_REQUESTS, ClientConnection
from client_proxy.proxy.connection_context import Phase
from client_proxy.proxy.messages import Headers
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
    until,
)
from tests.proxy.test_before_the_write import patient

WORDED = Client(None, None).encode_request  # type: ignore[arg-type]


def connected(p: Proxy) -> socket.socket:
    return socket.create_connection(("127.0.0.1", p.port))


def at_once(client: Client, data: bytes) -> None:
    """Into the system's hands, before the loop turns."""
    os.write(client.writer.get_extra_info("socket").fileno(), data)


async def only(p: Proxy) -> ClientConnection:
    await until(lambda: len(p.listener.connections) == 1)
    (connection,) = p.listener.connections
    return connection


async def received(client: socket.socket) -> bytes:
    """All that comes up to the end of the stream. Raises ConnectionResetError where it is reset."""
    client.setblocking(False)
    loop, come = asyncio.get_running_loop(), b""
    while piece := await loop.sock_recv(client, 65536):
        come += piece
    return come


def as_it_shuts(happen: Callable[[], None], monkeypatch: pytest.MonkeyPatch) -> None:
    """Let it happen in the very moment before a connection is shut: too late to be looked at."""
    shut = ClientConnection._half_close

    def shutting(self: ClientConnection) -> None:
        happen()
        shut(self)

    monkeypatch.setattr(ClientConnection, "_half_close", shutting)


@pytest.mark.parametrize("cls", [KEYED_CLASS, UNSAFE_CLASS])
def test_bytes_that_arrive_as_it_is_closed_do_not_destroy_the_last_answer(
    cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host, settings=patient()) as p:
            client = connected(p)
            # The answer fills the client's small window: most of it is not taken when the next bytes come.
            as_it_shuts(lambda: client.sendall(WORDED(cls, body=b"late")), monkeypatch)
            client.sendall(WORDED(cls, expires_ms=600_000, Connection="close"))
            come = await received(client)
            assert come.startswith(b"HTTP/1.1 200")
            assert come.endswith(b"from h")
            client.close()
            await until(lambda: not p.listener.connections)
            assert len(host.received) == 1  # what came after the shutdown went nowhere

    run(test())


def test_a_resting_connection_is_shut_not_reset_and_what_crosses_that_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = connected(p)
            client.sendall(WORDED())
            connection = await only(p)
            await until(lambda: len(host.received) == 1 and connection.idle)
            as_it_shuts(lambda: client.sendall(WORDED()), monkeypatch)
            connection.close_idle()
            come = await received(client)  # no reset: the client knows that its second request was not read
            assert come.count(b"HTTP/1.1 200") == 1
            client.close()
            await until(lambda: not p.listener.connections)
            assert len(host.received) == 1

    run(test())


def test_a_request_on_hand_keeps_a_resting_connection_open() -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200
            connection = await only(p)
            at_once(client, client.encode_request())
            connection.close_idle()  # in the same turn of the loop
            assert (await client.answer())[0] == 200
            client.close()

    run(test())


def test_a_request_on_hand_is_answered_before_the_connection_ends() -> None:
    # Over the limit each answer ends its connection, but not over a request that has come whole.
    async def held(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(http(200, got.body))

    release = asyncio.Event()

    async def test() -> None:
        async with proxy(Host("h", held), max_idle=0) as p:
            client = await Client.connect(p.port)
            client.send(body=b"one")
            await until(lambda: p.engine.pending_count == 1)
            release.set()
            answer = ClientConnection._answer

            def answered(self: ClientConnection, status: int, headers: Headers, body: bytes) -> None:
                if body == b"one":
                    at_once(client, client.encode_request(body=b"two"))
                answer(self, status, headers, body)

            ClientConnection._answer = answered  # type: ignore[method-assign]
            try:
                answers = [await client.answer() for _ in range(2)]
            finally:
                ClientConnection._answer = answer  # type: ignore[method-assign]
            assert [body for _, _, body in answers] == [b"one", b"two"]
            assert [headers.get("connection") for _, headers, _ in answers] == [None, "close"]
            client.close()

    run(test())


def test_who_never_ends_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 50.0)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = connected(p)
            client.sendall(WORDED(Connection="close"))
            assert (await received(client)).startswith(b"HTTP/1.1 200")
            await until(lambda: not p.listener.connections)  # by time
            client.close()

    run(test())


def test_who_floods_behind_the_end_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 600_000.0)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = connected(p)
            client.sendall(WORDED(Connection="close"))
            connection = await only(p)
            await until(lambda: connection._phase is Phase.HALF_CLOSED)
            client.setblocking(False)
            with pytest.raises(ConnectionError):
                for _ in range(10_000):
                    await asyncio.get_running_loop().sock_sendall(client, b"x" * 65536)
            await until(lambda: not p.listener.connections)  # by bytes
            client.close()

    run(test())


def test_connections_that_are_shut_give_their_descriptors_to_new_ones() -> None:
    # They were not counted: ended ones whose clients kept theirs filled the table.
    async def test() -> None:
        async with proxy(Host("h"), most=2) as p:
            kept = []
            for _ in range(2 + connection_limits.CONNECTION_HEADROOM + 20):
                client = connected(p)
                client.sendall(WORDED(Connection="close"))
                assert (await received(client)).startswith(b"HTTP/1.1 200")
                kept.append(client)
                assert len(p.listener.connections) <= 2 + connection_limits.CONNECTION_HEADROOM + 1
            for client in kept:
                client.close()

    run(test())


def test_the_end_waits_for_what_is_owed_and_not_for_who_rests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "CLOSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = connected(p)
            client.sendall(WORDED())
            connection = await only(p)
            await until(lambda: connection.idle and connection._has_sent_request)
            await p.listener.shut_down(0.0, 600.0)  # the client never ends its side
            assert connection._phase is Phase.HALF_CLOSED
            client.close()

    run(test())


def test_what_is_not_finished_at_the_end_is_answered_as_it_stands() -> None:
    # The process ended over a request that came late, and over half a one: both clients heard nothing.
    async def silent(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        pass

    async def test() -> None:
        host = Host("h", silent)
        async with proxy(host, settings=patient()) as p:
            taken, half = await Client.connect(p.port), await Client.connect(p.port)
            taken.send(expires_ms=600_000)
            half.writer.write(half.encode_request()[:40])
            await until(
                lambda: len(host.received) == 1 and any(c._parser.in_message for c in p.listener.connections)
            )
            ending = asyncio.create_task(p.listener.shut_down(0.0, 0.0))
            assert (await taken.answer())[0] == 502  # it may have run
            assert (await half.answer())[0] == 408
            for client in (taken, half):
                assert await client.reader.read() == b""
                client.close()
            await ending
            assert not p.engine.pending_count

    run(test())


def test_what_waits_behind_an_unfinished_request_at_the_end_is_answered_too() -> None:
    # What callers saw: requests sent ahead on a connection got no answer from a proxy that restarted, though
    # a server had them.
    # Why: an answer ends its connection only when nothing waits behind it. At the end of the shutdown the
    # request under way was answered, the next one began on a server, and the kill came before its time. From
    # the soak's seed 43 beside five busy processes, seconds after SIGTERM, longest deadline 1.07 s:
    #     1.490 requests 6 and 7 are sent ahead; 1.620 request 4 is answered 502, 5 is answered 503
    #     1.625 request 6 is sent to a server; 1.772 the kill; 6, 7 and 8 have no answer
    async def silent(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        pass

    async def test() -> None:
        host = Host("h", silent)
        async with proxy(host, settings=patient()) as p:
            client = await Client.connect(p.port)
            for _ in range(MAX_PIPELINED_REQUESTS + 8):
                client.send(expires_ms=600_000)
            await until(lambda: len(host.received) == 1)
            ending = asyncio.create_task(p.listener.shut_down(0.0, 0.0))
            assert (await client.answer())[0] == 502  # it may have run
            answers = [await client.answer() for _ in range(MAX_PIPELINED_REQUESTS + 7)]
            assert {status for status, _, _ in answers} == {503}  # these never ran
            assert answers[-1][1]["connection"] == "close"
            assert await client.reader.read() == b""
            client.close()
            await ending
            assert len(host.received) == 1

    run(test())


def test_who_takes_no_answers_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    # With requests ahead of their turn it counted as busy, for good, and kept its descriptor.
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 50.0)

    async def large(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(http(200, b"x" * 64 * 1024))

    async def test() -> None:
        async with proxy(Host("h", large), settings=patient()) as p:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", p.port))
            client.setblocking(False)
            many = b"".join(WORDED(expires_ms=600_000) for _ in range(200))
            await asyncio.get_running_loop().sock_sendall(client, many)
            connection = await only(p)
            await until(lambda: not connection.writable)
            await until(lambda: not p.listener.connections)
            client.close()

    run(test())


def test_what_clients_send_ahead_is_bounded_over_all(monkeypatch: pytest.MonkeyPatch) -> None:
    # Each may send a whole buffer ahead of its turn; some hundreds together took all of the memory.
    monkeypatch.setattr(connection_limits, "MAX_PIPELINED_BYTES", 200_000)

    async def held(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(http(200))

    release = asyncio.Event()

    async def test() -> None:
        async with proxy(Host("h", held), settings=patient()) as p:
            clients = [await Client.connect(p.port) for _ in range(8)]
            for client in clients:
                for _ in range(31):
                    client.writer.write(client.encode_request(body=b"x" * 8000, expires_ms=600_000))
                await client.writer.drain()
            good = await Client.connect(p.port)
            good.send(body=b"good", expires_ms=600_000)
            await until(lambda: p.engine.pending_count == 9)
            assert p.listener.limits.pipelined_bytes <= 200_000 + 8 * 260_000
            assert any(connection._phase is Phase.FINISHING for connection in p.listener.connections)
            release.set()
            assert (await good.answer())[0] == 200  # who sends one at a time notices nothing
            for client in [*clients, good]:
                client.close()
            await until(lambda: not p.listener.connections)
            assert p.listener.limits.pipelined_bytes == 0

    run(test())
