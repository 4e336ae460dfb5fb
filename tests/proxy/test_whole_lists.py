"""Endpoints missing in a complete list are removed and get no new requests, even if they still answer.

The watch is reset, and the next call is answered with a complete list without a draining endpoint."""

from __future__ import annotations

import asyncio
import time

import pytest

from client_proxy.api.events import EndpointState
from client_proxy.clock import use_clock
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    Proxy,
    ReceivedRequest,
    entry,
    http_response,
    proxy,
    run,
    until,
)
from tests.proxy.test_before_the_write import run_during_dials, settings_without_timeouts

REQUESTS = 12


async def reset_watch(p: Proxy) -> None:
    """Reset the watch, and wait for the next call."""
    calls = len(p.registry.calls)
    p.registry.watches[-1].transport.abort()
    await until(lambda: len(p.registry.watches) > calls)
    assert "since=" in p.registry.calls[-1]


async def send_complete_list(p: Proxy, *hosts: Host) -> None:
    """Send a complete list of these servers, and wait until it is applied."""
    p.registry.send_chunk(p.registry.change(*[entry(host) for host in hosts], full=True))
    names = {host.name for host in hosts}
    await until(lambda: set(p.directory.entries) == names)


@pytest.mark.parametrize("listed_before", ["nothing", "draining"])
def test_endpoint_missing_in_a_complete_list_gets_no_requests(listed_before: str) -> None:
    async def test() -> None:
        removed, kept = Host("a"), Host("b")
        async with proxy(removed, kept) as p:
            client = await Client.connect(p.port)
            while not (removed.received and kept.received):
                assert (await client.ask(UNSAFE_CLASS))[0] == 200
            assert removed.open  # an idle connection exists
            if listed_before == "draining":
                p.registry.send_chunk(p.registry.change(entry(removed, "draining")))
                await until(lambda: p.directory.entries["a"].state is EndpointState.DRAINING)
            await reset_watch(p)
            await send_complete_list(p, kept)
            received_before = len(removed.received)
            for cls in (UNSAFE_CLASS, KEYED_CLASS) * (REQUESTS // 2):
                assert (await client.ask(cls))[2] == b"from b"
            await until(lambda: not removed.open)
            assert (len(removed.received), "a" in p.upstream.endpoints) == (received_before, False)
            client.close()

    run(test())


def test_retry_is_not_sent_to_an_endpoint_removed_meanwhile() -> None:
    # The removed endpoint answers with an error after the list: the retry goes to another endpoint, if there
    # is one.
    release = asyncio.Event()

    async def answer_error_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(500))

    async def test() -> None:
        removed, added = Host("a", answer_error_when_released), await Host("b").start()
        async with proxy(removed, settings=settings_without_timeouts()) as p:
            clients = [await Client.connect(p.port) for _ in range(2)]
            clients[0].send(KEYED_CLASS, expires_ms=600_000)
            await until(lambda: len(removed.received) == 1)
            await reset_watch(p)
            await send_complete_list(p, added)
            release.set()
            assert (await clients[0].answer())[2] == b"from b"
            # The same without another endpoint: the request gets no retry.
            release.clear()
            added.answer = answer_error_when_released
            clients[1].send(KEYED_CLASS, expires_ms=600_000)
            await until(lambda: len(added.received) == 2)
            await reset_watch(p)
            await send_complete_list(p)
            release.set()
            await until(
                lambda: any(p.engine.balancer.pending.values())
            )  # the backoff is over, and no endpoint is eligible
            p.engine.fail_pending()
            assert (await clients[1].answer())[0] == 502
            assert (len(removed.received), len(added.received)) == (1, 2)
            for client in clients:
                client.close()
        added.stop()

    run(test())


@pytest.mark.parametrize("late_ms", [0.0, 2000.0])
def test_dial_completed_after_the_removal_is_written_only_within_the_grace(late_ms: float) -> None:
    ahead_s = 0.0

    async def test() -> None:
        nonlocal ahead_s
        removed = Host("a")
        async with proxy(removed, settings=settings_without_timeouts()) as p:

            def remove_endpoint() -> None:
                nonlocal ahead_s
                p.engine.notify_endpoints(p.directory.apply({"index": 9, "snapshot": True, "endpoints": []}))
                ahead_s += late_ms / 1000.0

            run_during_dials(p, remove_endpoint)
            client = await Client.connect(p.port)
            client.send(UNSAFE_CLASS, expires_ms=600_000)
            # A request that was never sent is rejected, as a client retry is safe.
            assert (await client.answer())[0] == (503 if late_ms else 200)
            assert len(removed.received) == (not late_ms)
            client.close()

    with use_clock(lambda: time.monotonic() + ahead_s, time.time):
        run(test())


def test_endpoint_listed_as_gone_is_removed() -> None:
    # The idle connections of a removed endpoint must be closed. Otherwise they would be kept, and a dial in
    # progress would be written to however late it completes.
    async def test() -> None:
        removed, kept = Host("a"), Host("b")
        async with proxy(removed, kept) as p:
            client = await Client.connect(p.port)
            while not (removed.received and kept.received):
                assert (await client.ask(UNSAFE_CLASS))[0] == 200
            await reset_watch(p)
            p.registry.send_chunk(p.registry.change(entry(removed, "gone"), entry(kept), full=True))
            await until(lambda: set(p.directory.entries) == {"b"})
            await until(lambda: not removed.open)
            assert set(p.upstream.endpoints) == {"b"}
            client.close()

    run(test())
