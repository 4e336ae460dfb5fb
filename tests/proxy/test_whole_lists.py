"""What a whole list does not name is gone, also where it still answers: nothing new is sent to it.

The watch is reset, and the call after it is answered by a whole list that leaves a draining server out."""

from __future__ import annotations

import asyncio
import time

import pytest

from client_proxy.api.events import EndpointState
from client_proxy.clock import driven
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    Proxy,
    ReceivedRequest,
    entry,
    http,
    proxy,
    run,
    until,
)
from tests.proxy.test_before_the_write import during_dials, patient

REQUESTS = 12


async def cut(p: Proxy) -> None:
    """Reset the watch, and wait for the next call."""
    calls = len(p.registry.calls)
    p.registry.watches[-1].transport.abort()
    await until(lambda: len(p.registry.watches) > calls)
    assert "since=" in p.registry.calls[-1]


async def tell_whole(p: Proxy, *hosts: Host) -> None:
    """A whole list of these, and no others."""
    p.registry.send_chunk(p.registry.change(*[entry(host) for host in hosts], full=True))
    names = {host.name for host in hosts}
    await until(lambda: set(p.directory.entries) == names)


@pytest.mark.parametrize("told", ["nothing", "draining"])
def test_what_a_whole_list_leaves_out_gets_nothing_more(told: str) -> None:
    async def test() -> None:
        left_out, stays = Host("a"), Host("b")
        async with proxy(left_out, stays) as p:
            client = await Client.connect(p.port)
            while not (left_out.received and stays.received):
                assert (await client.ask(UNSAFE_CLASS))[0] == 200
            assert left_out.open  # a connection rests there
            if told == "draining":
                p.registry.send_chunk(p.registry.change(entry(left_out, "draining")))
                await until(lambda: p.directory.entries["a"].state is EndpointState.DRAINING)
            await cut(p)
            await tell_whole(p, stays)
            had = len(left_out.received)
            for cls in (UNSAFE_CLASS, KEYED_CLASS) * (REQUESTS // 2):
                assert (await client.ask(cls))[2] == b"from b"
            await until(lambda: not left_out.open)
            assert (len(left_out.received), "a" in p.upstream.endpoints) == (had, False)
            client.close()

    run(test())


def test_a_first_attempt_s_server_is_not_the_repeat_s_once_it_is_left_out() -> None:
    # It answers, badly, after the list: the repeat goes elsewhere, and where there is nobody else nowhere.
    release = asyncio.Event()

    async def failing(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(http(500))

    async def test() -> None:
        left_out, comes = Host("a", failing), await Host("b").start()
        async with proxy(left_out, settings=patient()) as p:
            clients = [await Client.connect(p.port) for _ in range(2)]
            clients[0].send(KEYED_CLASS, expires_ms=600_000)
            await until(lambda: len(left_out.received) == 1)
            await cut(p)
            await tell_whole(p, comes)
            release.set()
            assert (await clients[0].answer())[2] == b"from b"
            # Once more, with nobody else.
            release.clear()
            comes.answer = failing
            clients[1].send(KEYED_CLASS, expires_ms=600_000)
            await until(lambda: len(comes.received) == 2)
            await cut(p)
            await tell_whole(p)
            release.set()
            await until(
                lambda: any(p.engine.balancer.pending.values())
            )  # its wait is over: nobody may have it
            p.engine.give_up()
            assert (await clients[1].answer())[0] == 502
            assert (len(left_out.received), len(comes.received)) == (1, 2)
            for client in clients:
                client.close()
        comes.stop()

    run(test())


@pytest.mark.parametrize("late_ms", [0.0, 2000.0])
def test_a_dial_that_comes_up_after_the_list_is_written_within_the_grace_only(late_ms: float) -> None:
    ahead_s = 0.0

    async def test() -> None:
        nonlocal ahead_s
        left_out = Host("a")
        async with proxy(left_out, settings=patient()) as p:

            def during() -> None:
                nonlocal ahead_s
                p.engine.notify_endpoints(p.directory.apply({"index": 9, "snapshot": True, "endpoints": []}))
                ahead_s += late_ms / 1000.0

            during_dials(p, during)
            client = await Client.connect(p.port)
            client.send(UNSAFE_CLASS, expires_ms=600_000)
            # What never went out is refused: trying again is harmless.
            assert (await client.answer())[0] == (503 if late_ms else 200)
            assert len(left_out.received) == (not late_ms)
            client.close()

    with driven(lambda: time.monotonic() + ahead_s, time.time):
        run(test())


def test_what_a_whole_list_names_as_gone_is_gone() -> None:
    # Its resting connections were kept, and a dial under way to it was written however late it came up.
    async def test() -> None:
        gone, stays = Host("a"), Host("b")
        async with proxy(gone, stays) as p:
            client = await Client.connect(p.port)
            while not (gone.received and stays.received):
                assert (await client.ask(UNSAFE_CLASS))[0] == 200
            await cut(p)
            p.registry.send_chunk(p.registry.change(entry(gone, "gone"), entry(stays), full=True))
            await until(lambda: set(p.directory.entries) == {"b"})
            await until(lambda: not gone.open)
            assert set(p.upstream.endpoints) == {"b"}
            client.close()

    run(test())
