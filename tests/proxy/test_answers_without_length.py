"""Answers that end with their connection: an orderly end of the stream ends the body, nothing else does."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from client_proxy.api.events import Outcome
from client_proxy.proxy.messages import MAX_BODY_BYTES
from client_proxy.proxy.socket_state import was_reset
from client_proxy.proxy.upstream_attempt import UpstreamAttempt
from tests.proxy.sockets import Client, Host, ReceivedRequest, proxy, run, until
from tests.proxy.test_upstream import attempt_at, make_pool, request

OK = b"HTTP/1.1 200 OK\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (OK + b"\r\ndone", Outcome.OK),
        (OK + b"Connection: close\r\n\r\ndone", Outcome.OK),
        (b"HTTP/1.0 200 OK\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"\r\ndone", Outcome.OK),
        (OK + b"\r\n" + b"x" * MAX_BODY_BYTES, Outcome.OK),
        (b"HTTP/1.1 500 Oh\r\n\r\nno", Outcome.ERROR),
        (b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n\r\nno", Outcome.REJECTED),
        (OK + b"\r\n" + b"x" * (MAX_BODY_BYTES + 1), Outcome.ERROR),
        (OK + b"Content-Length: 5\r\n\r\ndone", Outcome.RESET),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", Outcome.RESET),
        (OK + b"Transfer-Encoding: gzip\r\n\r\ndone", Outcome.RESET),
        (OK + b"X-Some: header\r\n", Outcome.RESET),
        (b"HTTP/1.1 100 Continue\r\n\r\n", Outcome.RESET),
        (b"", Outcome.RESET),
    ],
)
def test_the_end_of_the_stream_ends_only_a_body_of_no_length(answer: bytes, outcome: Outcome) -> None:
    # Guards against review case 9: whole answers with no length were dropped, each as a reset.
    async def answer_and_end(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer)
        writer.write_eof()

    async def test() -> None:
        result = await attempt_at(Host("h", answer_and_end))
        assert result.outcome is outcome
        if outcome is Outcome.OK:
            assert result.response is not None
            assert result.response.body == answer.rpartition(b"\r\n\r\n")[2]

    run(test())


@pytest.mark.parametrize("how", ["reset", "silence"])
def test_a_reset_or_a_time_out_is_no_end_of_an_answer(how: str) -> None:
    writers: list[asyncio.StreamWriter] = []

    async def answer_and_stay(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"\r\ndone")
        writers.append(writer)
        await asyncio.Event().wait()

    async def test() -> None:
        host = await Host("h", answer_and_stay).start()
        pool = make_pool()
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        outcomes: list[Outcome] = []
        timeout_ms = 300.0 if how == "silence" else 60_000.0
        attempt = pool.start_attempt(request(), "h", timeout_ms, lambda end: outcomes.append(end.outcome))
        assert isinstance(attempt, UpstreamAttempt)
        # The whole body has come before the connection ends.
        await until(lambda: bool(outcomes) or pool.memory_account.total_bytes > 0)
        if how == "reset":
            sock = writers[0].get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writers[0].transport.abort()
        await until(lambda: bool(outcomes))
        assert outcomes == [Outcome.RESET if how == "reset" else Outcome.TIMEOUT]
        await until(lambda: pool.memory_account.total_bytes == 0)
        host.stop()

    run(test())


@pytest.mark.parametrize("reset", [False, True])
def test_a_reset_that_looks_like_an_orderly_end_is_told_apart(reset: bool) -> None:
    # The system reports a reset once: after a failed write, a read finds the end of the stream.
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        peer, _ = server.accept()
        if reset:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        peer.close()
        if reset:
            while not ours.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                pass  # loopback delivers it at once
        assert ours.recv(1) == b""
        assert was_reset(ours) is reset
        ours.close()


def test_a_client_gets_an_answer_of_no_length_whole_and_may_go_on() -> None:
    async def answer_and_end(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"X-Some: header\r\n\r\n")
        await writer.drain()
        writer.write(b"from " + received.body)
        writer.write_eof()

    async def test() -> None:
        host = Host("h", answer_and_end)
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            for number in range(3):
                status, headers, body = await client.ask(body=b"%d" % number)
                assert (status, headers["x-some"], body) == (200, "header", b"from %d" % number)
            assert len(host.received) == host.connections == 3
            client.close()

    run(test())
