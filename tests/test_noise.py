"""Random bytes and mutated HTTP messages, from a client or a server, split at any point.

Each must end in an answer, an error or a closed connection, and the next valid request must be served.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from client_proxy.proxy import listener
from tests.proxy.sockets import (
    UNSAFE_CLASS,
    Client,
    Host,
    ReceivedRequest,
    http_response,
    proxy,
    run,
    settings_json,
    until,
)
from tests.support.fixed_draws import fixed_draws

VALID_REQUEST = Client.encode_request(None, X_Trace_Id="00", body=b"form")  # type: ignore[arg-type]
VALID_ANSWER = http_response(200, b"body", Endpoint_Load_Metrics="TEXT inflight=1, queue=0, latency_ms=2")
FRAGMENTS = [
    b"\r\n",
    b"\r\n\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"Connection: close\r\n",
    b"\x00",
    b"zz\r\n",
]


def mutated(valid: bytes) -> st.SearchStrategy[bytes]:
    """Random bytes, or the valid message with parts of it removed, doubled or replaced."""

    @st.composite
    def change(draw: st.DrawFn) -> bytes:
        data = valid
        for _ in range(draw(st.integers(1, 4))):
            start = draw(st.integers(0, len(data)))
            end = draw(st.integers(start, min(len(data), start + 20)))
            new = draw(
                st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=8), st.just(data[start:end] * 2))
            )
            data = data[:start] + new + data[end:]
        return data

    return st.one_of(change(), st.binary(max_size=200))


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    positions = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[i:j] for i, j in itertools.pairwise(positions)]


CUTS = st.lists(st.integers(0, 10_000), max_size=4)
property_settings = settings(
    derandomize=True, deadline=None, max_examples=50, suppress_health_check=list(HealthCheck), database=None
)


@fixed_draws("whatever_a_client_sends")
@property_settings
@given(st.lists(st.tuples(mutated(VALID_REQUEST), CUTS), min_size=1, max_size=3))
def test_any_bytes_from_a_client_leave_the_proxy_serving(messages: list[tuple[bytes, list[int]]]) -> None:
    async def test() -> None:
        async with proxy(Host("h")) as p:
            for data, cuts in messages:
                client = await Client.connect(p.port)
                with contextlib.suppress(ConnectionError, RuntimeError):  # the proxy closed the connection
                    for piece in split(data, cuts):
                        client.writer.write(piece)
                        await asyncio.sleep(0)
                    await client.reader.read(1)  # begin of an answer or an error; nothing if closed
                client.close()
            await until(lambda: not p.listener.connections and not p.engine.pending_count)
            next_client = await Client.connect(p.port)
            assert (await next_client.ask())[0] == 200
            next_client.close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(listener, "REQUEST_TIMEOUT_MS", 100.0)
        patch.setattr(listener, "SWEEP_S", 0.02)
        run(test())


@fixed_draws("whatever_a_host_answers")
@property_settings
@given(mutated(VALID_ANSWER), CUTS, st.booleans())
def test_any_bytes_from_a_server_leave_the_proxy_serving(data: bytes, cuts: list[int], closes: bool) -> None:
    async def answer(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if len(host.received) > 1:
            writer.write(http_response(200, got.headers["x-trace-id"].encode()))
            return
        for piece in split(data, cuts):
            writer.write(piece)
            await asyncio.sleep(0)
        if closes:
            writer.close()

    async def test() -> None:
        host = Host("h", answer)
        short_objectives = settings_json()
        for cls in short_objectives["categories"]:
            cls["aim_ms"] = 400.0  # so that a request of 300 ms is not given up before it is sent
        async with proxy(host, settings=short_objectives) as p:
            client = await Client.connect(p.port)
            status, _, _ = await client.ask(UNSAFE_CLASS, expires_ms=300)
            assert status in (200, 502, 503, 504)
            assert len(host.received) == 1
            # Bytes after a complete answer that arrive after the next request was sent may break its answer
            # too.
            for number in range(2):
                status, _, body = await client.ask(X_Trace_Id=f"next{number}")
                if status == 200:
                    break
            assert (status, body) == (200, b"next%d" % number)
            await until(lambda: not p.engine.pending_count)
            client.close()

    run(test())
