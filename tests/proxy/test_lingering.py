"""Closing of client connections: no reset before a response is read, no request after it, within limits."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

import pytest

from client_proxy.proxy import connection_limits, listener
from client_proxy.proxy.client_connection import ClientConnection
from client_proxy.proxy.connection_context import Phase
from client_proxy.proxy.memory_account import WAITING_SHARE
from client_proxy.proxy.messages import Headers
from client_proxy.proxy.pipeline import MAX_PIPELINED_REQUESTS
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
    until,
)
from tests.proxy.test_before_the_write import settings_without_timeouts

ENCODE_REQUEST = Client(None, None).encode_request  # type: ignore[arg-type]


def connect_client(p: Proxy) -> socket.socket:
    return socket.create_connection(("127.0.0.1", p.port))


def write_to_socket(client: Client, data: bytes) -> None:
    """Write directly to the socket, before the next loop iteration."""
    os.write(client.writer.get_extra_info("socket").fileno(), data)


async def only_connection(p: Proxy) -> ClientConnection:
    await until(lambda: len(p.listener.connections) == 1)
    (connection,) = p.listener.connections
    return connection


async def read_to_end(client: socket.socket) -> bytes:
    """Read all bytes up to the end of the stream. Raises ConnectionResetError if it is reset."""
    client.setblocking(False)
    loop, response = asyncio.get_running_loop(), b""
    while piece := await loop.sock_recv(client, 65536):
        response += piece
    return response


def run_before_half_close(action: Callable[[], None], monkeypatch: pytest.MonkeyPatch) -> None:
    """Run an action right before a connection is half-closed, too late for the checks before that."""
    original_half_close = ClientConnection._half_close

    def act_and_half_close(self: ClientConnection) -> None:
        action()
        original_half_close(self)

    monkeypatch.setattr(ClientConnection, "_half_close", act_and_half_close)


@pytest.mark.parametrize("cls", [KEYED_CLASS, UNSAFE_CLASS])
def test_bytes_that_arrive_during_the_close_do_not_reset_the_last_response(
    cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host, settings=settings_without_timeouts()) as p:
            client = connect_client(p)
            # The client has not read the response yet when its next bytes arrive.
            run_before_half_close(lambda: client.sendall(ENCODE_REQUEST(cls, body=b"late")), monkeypatch)
            client.sendall(ENCODE_REQUEST(cls, expires_ms=600_000, Connection="close"))
            response = await read_to_end(client)
            assert response.startswith(b"HTTP/1.1 200")
            assert response.endswith(b"from h")
            client.close()
            await until(lambda: not p.listener.connections)
            assert len(host.received) == 1  # bytes after the half-close reach no endpoint

    run(test())


def test_idle_connection_is_closed_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = connect_client(p)
            client.sendall(ENCODE_REQUEST())
            connection = await only_connection(p)
            await until(lambda: len(host.received) == 1 and connection.idle)
            run_before_half_close(lambda: client.sendall(ENCODE_REQUEST()), monkeypatch)
            connection.close_idle()
            response = await read_to_end(client)  # no reset: the client sees an unread request
            assert response.count(b"HTTP/1.1 200") == 1
            client.close()
            await until(lambda: not p.listener.connections)
            assert len(host.received) == 1

    run(test())


def test_unread_request_keeps_an_idle_connection_open() -> None:
    async def test() -> None:
        host = Host("h")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            assert (await client.ask())[0] == 200
            connection = await only_connection(p)
            write_to_socket(client, client.encode_request())
            connection.close_idle()  # in the same loop iteration
            assert (await client.answer())[0] == 200
            client.close()

    run(test())


def test_unread_request_is_answered_before_the_connection_closes() -> None:
    # Over the limit each response closes its connection, unless a complete request has already arrived.
    async def answer_when_released(
        host: Host, received_request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200, received_request.body))

    release = asyncio.Event()

    async def test() -> None:
        async with proxy(Host("h", answer_when_released), max_idle=0) as p:
            client = await Client.connect(p.port)
            client.send(body=b"one")
            await until(lambda: p.engine.pending_count == 1)
            release.set()
            original_answer = ClientConnection._answer

            def send_next_and_answer(
                self: ClientConnection, status: int, headers: Headers, body: bytes
            ) -> None:
                if body == b"one":
                    write_to_socket(client, client.encode_request(body=b"two"))
                original_answer(self, status, headers, body)

            ClientConnection._answer = send_next_and_answer  # type: ignore[method-assign]
            try:
                answers = [await client.answer() for _ in range(2)]
            finally:
                ClientConnection._answer = original_answer  # type: ignore[method-assign]
            assert [body for _, _, body in answers] == [b"one", b"two"]
            assert [headers.get("connection") for _, headers, _ in answers] == [None, "close"]
            client.close()

    run(test())


def test_half_closed_connection_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 50.0)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = connect_client(p)
            client.sendall(ENCODE_REQUEST(Connection="close"))
            assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
            await until(lambda: not p.listener.connections)  # closed by the timeout
            client.close()

    run(test())


def test_half_closed_connection_is_closed_after_too_many_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 600_000.0)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = connect_client(p)
            client.sendall(ENCODE_REQUEST(Connection="close"))
            connection = await only_connection(p)
            await until(lambda: connection._phase is Phase.HALF_CLOSED)
            client.setblocking(False)
            with pytest.raises(ConnectionError):
                for _ in range(10_000):
                    await asyncio.get_running_loop().sock_sendall(client, b"x" * 65536)
            await until(lambda: not p.listener.connections)  # closed by the byte limit
            client.close()

    run(test())


def test_half_closed_connections_count_towards_the_limit() -> None:
    # Not counted, half-closed connections that their clients keep open would use up the descriptors.
    async def test() -> None:
        async with proxy(Host("h"), max_connections=2) as p:
            kept = []
            for _ in range(2 + connection_limits.CONNECTION_HEADROOM + 20):
                client = connect_client(p)
                client.sendall(ENCODE_REQUEST(Connection="close"))
                assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
                kept.append(client)
                assert len(p.listener.connections) <= 2 + connection_limits.CONNECTION_HEADROOM + 1
            for client in kept:
                client.close()

    run(test())


def test_shutdown_does_not_wait_for_idle_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "CLOSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = connect_client(p)
            client.sendall(ENCODE_REQUEST())
            connection = await only_connection(p)
            await until(lambda: connection.idle and connection._has_sent_request)
            await p.listener.shut_down(0.0, 600.0)  # the client never closes its side
            assert connection._phase is Phase.HALF_CLOSED
            client.close()

    run(test())


def test_unfinished_requests_are_answered_at_the_end_of_the_shutdown() -> None:
    # When the process ends, a pending and an incomplete request must both get a response.
    async def never_answer(
        host: Host, received_request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        pass

    async def test() -> None:
        host = Host("h", never_answer)
        async with proxy(host, settings=settings_without_timeouts()) as p:
            pending_client, incomplete_client = await Client.connect(p.port), await Client.connect(p.port)
            pending_client.send(expires_ms=600_000)
            incomplete_client.writer.write(incomplete_client.encode_request()[:40])
            await until(
                lambda: len(host.received) == 1 and any(c._parser.in_message for c in p.listener.connections)
            )
            ending = asyncio.create_task(p.listener.shut_down(0.0, 0.0))
            assert (await pending_client.answer())[0] == 502  # it may have run
            assert (await incomplete_client.answer())[0] == 408
            for client in (pending_client, incomplete_client):
                assert await client.reader.read() == b""
                client.close()
            await ending
            assert not p.engine.pending_count

    run(test())


def test_pipelined_requests_are_answered_at_the_end_of_the_shutdown() -> None:
    # At the end of the shutdown no further pipelined request may be sent to a server. A response closes its
    # connection only if no request is pipelined behind it, so the next request would be sent, and SIGKILL
    # would come before its deadline: it would get no response although a server has received it. Trace of
    # such a loss in the soak with seed 43 beside five busy processes, in seconds after SIGTERM, with a
    # longest deadline of 1.07 s:
    #     1.490 requests 6 and 7 are pipelined; 1.620 request 4 is answered 502, request 5 is answered 503
    #     1.625 request 6 is sent to a server; 1.772 SIGKILL; requests 6, 7 and 8 have no response
    async def never_answer(
        host: Host, received_request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        pass

    async def test() -> None:
        host = Host("h", never_answer)
        async with proxy(host, settings=settings_without_timeouts()) as p:
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


def test_client_that_reads_no_responses_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    # A connection with pipelined requests must not count as busy forever: it would keep its descriptor.
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_MS", 50.0)

    async def answer_large(
        host: Host, received_request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(http_response(200, b"x" * 64 * 1024))

    async def test() -> None:
        async with proxy(Host("h", answer_large), settings=settings_without_timeouts()) as p:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", p.port))
            client.setblocking(False)
            many = b"".join(ENCODE_REQUEST(expires_ms=600_000) for _ in range(200))
            await asyncio.get_running_loop().sock_sendall(client, many)
            connection = await only_connection(p)
            await until(lambda: not connection.writable)
            await until(lambda: not p.listener.connections)
            client.close()

    run(test())


def test_pipelined_bytes_of_all_clients_are_bounded() -> None:
    # Each client may pipeline a full buffer; without a bound, some hundreds of clients exhaust the memory.

    async def answer_when_released(
        host: Host, received_request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    release = asyncio.Event()

    async def test() -> None:
        async with proxy(Host("h", answer_when_released), settings=settings_without_timeouts()) as p:
            account = p.listener.limits.account
            account.limit_bytes = int(200_000 / WAITING_SHARE)
            clients = [await Client.connect(p.port) for _ in range(8)]
            for client in clients:
                for _ in range(31):
                    client.writer.write(client.encode_request(body=b"x" * 8000, expires_ms=600_000))
                await client.writer.drain()
            good = await Client.connect(p.port)
            good.send(body=b"good", expires_ms=600_000)
            await until(
                lambda: any(pending.request.body == b"good" for pending in p.engine._pending.values())
            )
            assert account.waiting_bytes <= 200_000 + 260_000  # one read more
            assert any(connection._phase is not Phase.OPEN for connection in p.listener.connections)
            release.set()
            assert (await good.answer())[0] == 200  # a client without pipelining is not affected
            for client in [*clients, good]:
                client.close()
            await until(lambda: not p.listener.connections)
            assert account.total_bytes == 0

    run(test())
