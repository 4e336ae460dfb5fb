"""Responses that come in very small chunks are parsed in slices, and end as if they were parsed at once."""

from __future__ import annotations

import asyncio

import pytest

from client_proxy.api.events import Outcome
from client_proxy.proxy import read_scheduler
from client_proxy.proxy.messages import MAX_BODY_BYTES
from client_proxy.proxy.upstream_attempt import AttemptResult
from client_proxy.proxy.upstream_connection import MAX_UNPARSED_BYTES, UpstreamConnection
from client_proxy.proxy.upstream_pool import UpstreamPool
from tests.proxy.sockets import Host, ReceivedRequest, run, until
from tests.proxy.test_upstream import make_pool, request

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * (MAX_BODY_BYTES // 2)
WHOLE = CHUNKED + b"0\r\n\r\n"
TO_THE_END = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * MAX_BODY_BYTES


async def never_answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.Event().wait()


@pytest.fixture(autouse=True)
def one_slice_in_each_iteration(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(read_scheduler, "MAX_ITERATION_MS", 0.0)
    monkeypatch.setattr(read_scheduler, "MAX_READER_MS", 0.0)


async def begin(pool: UpstreamPool, host: Host) -> tuple[UpstreamConnection, list[AttemptResult]]:
    """Send a request that the host never answers; returns its connection, and where its result will be."""
    results: list[AttemptResult] = []
    attempt = pool.start_attempt(request(), host.name, 60_000.0, results.append)
    assert attempt is not None
    await until(lambda: attempt.connection is not None)
    connection = attempt.connection
    assert isinstance(connection, UpstreamConnection)
    return connection, results


def test_a_response_in_small_chunks_does_not_keep_another_waiting() -> None:
    # The same cause as of picture (a), at the servers' side: a whole read was parsed in one iteration.
    async def test() -> None:
        host = await Host("h", never_answer).start()
        pool = make_pool()
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        slow, slow_results = await begin(pool, host)
        quick, quick_results = await begin(pool, host)
        slow.data_received(WHOLE)
        quick.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        await until(lambda: bool(quick_results))
        assert not slow_results
        assert len(slow._unparsed) > len(WHOLE) / 2
        assert pool.memory_account.total_bytes >= len(slow._unparsed)
        await until(lambda: bool(slow_results))
        assert slow_results[0].response is not None
        assert slow_results[0].response.body == b"x" * MAX_BODY_BYTES
        host.stop()

    run(test())


@pytest.mark.parametrize(
    ("data", "ends", "outcome"),
    [
        (WHOLE, True, Outcome.OK),  # the end of the stream
        (WHOLE, False, Outcome.OK),  # a reset
        (TO_THE_END, True, Outcome.OK),
        (TO_THE_END, False, Outcome.RESET),
        (CHUNKED, True, Outcome.RESET),
        (CHUNKED, False, Outcome.RESET),
        (b"x" * (MAX_UNPARSED_BYTES + 1), True, Outcome.ERROR),
    ],
)
def test_the_end_of_a_connection_counts_behind_the_bytes_before_it(
    data: bytes, ends: bool, outcome: Outcome
) -> None:
    async def test() -> None:
        host = await Host("h", never_answer).start()
        pool = make_pool()
        pool.update_endpoint("h", ("127.0.0.1", host.port), None, True)
        (await begin(pool, host))[0].data_received(WHOLE)  # takes the time of this iteration
        connection, results = await begin(pool, host)
        connection.data_received(data)
        if ends and not results:
            assert connection.eof_received()
        elif not ends:
            connection.connection_lost(ConnectionResetError())
        await until(lambda: bool(results))
        assert results[0].outcome is outcome
        host.stop()

    run(test())
