"""One policy after the other in a running daemon: what comes goes by the new one, what is held by its own."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from client_proxy.operators import NOTHING, Operators, parse_operators
from client_proxy.proxy.client_connection import UNKNOWN_CLASS
from client_proxy.proxy.config import Config
from client_proxy.proxy.daemon import MAX_RETIRED_ENGINES, ConnectionQuota, Daemon
from client_proxy.settings import read_settings
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    ReceivedRequest,
    entry,
    http,
    run,
    settings_json,
    until,
)

ON = parse_operators("[overload]\n[connections]\nrest_s = 3\n[reach]\n[halls]\n", "on")


class Quiet:
    """Tells of servers by `adopt` alone."""

    def start(self) -> None: ...
    def subscribe(self) -> None: ...
    def move(self, address: Any) -> None: ...
    def stop(self) -> None: ...


def daemon() -> Daemon:
    settings = read_settings(settings_json() | {"discovery": "automatic", "zone": "a"})
    config = Config("test", ("127.0.0.1", 0), None, 7, settings, None, 1024)
    return Daemon(
        config, quota=ConnectionQuota(100, 100, 100), endpoint_source=lambda directory, told: Quiet()
    )


def listed(*hosts: Host, index: int = 1) -> dict[str, Any]:
    return {"index": index, "snapshot": True, "endpoints": [entry(host) for host in hosts]}


def adopt(made: Daemon, *hosts: Host, operators: Operators = NOTHING, **bounds: Any) -> None:
    made.adopt(
        read_settings(settings_json(**bounds) | {"discovery": "automatic", "zone": "a"}),
        operators,
        listed(*hosts),
    )


class Slow:
    """Answers when it is told to, with that status."""

    def __init__(self) -> None:
        self.go: asyncio.Queue[int] = asyncio.Queue()

    async def __call__(self, host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        status = await self.go.get()
        writer.write(http(status, b"from " + host.name.encode()))


def test_a_request_under_way_ends_by_the_policy_that_it_began_with() -> None:
    async def test() -> None:
        slow = Slow()
        old, other = await Host("old", slow).start(), await Host("other").start()
        new = await Host("new").start()
        made = daemon()
        port = await made.start()
        adopt(made, old)
        first = await Client.connect(port)
        first.send(KEYED_CLASS, key="k")
        await until(lambda: bool(old.received))
        # The new policy knows neither of the servers of the old, and allows one attempt only.
        adopt(made, new, max_attempts=1)
        assert len(made.retired) == 1
        assert made.listener.engine is made.engine
        second = await Client.connect(port)
        assert (await second.ask(UNSAFE_CLASS))[2] == b"from new"
        # Its first attempt fails: it is repeated by the old policy, at the old policy's server.
        slow.go.put_nowait(500)
        slow.go.put_nowait(200)
        status, _, body = await first.answer()
        assert (status, body) == (200, b"from old")
        assert len(old.received) == 2
        await until(lambda: not made.retired)
        assert set(made.upstream.endpoints) == {"new"}
        first.close()
        second.close()
        await made.shut_down(0.0)
        for host in (old, other, new):
            host.stop()

    run(test())


def test_a_client_that_leaves_is_told_to_the_policy_that_took_its_request() -> None:
    async def test() -> None:
        one, two = Slow(), Slow()
        old, new = await Host("old", one).start(), await Host("new", two).start()
        made = daemon()
        port = await made.start()
        adopt(made, old)
        first, second = await Client.connect(port), await Client.connect(port)
        first.send(KEYED_CLASS, key="k")
        await until(lambda: bool(old.received))
        before = made.engine
        adopt(made, new)
        second.send(KEYED_CLASS, key="l")  # each policy numbers its requests from 1
        await until(lambda: bool(new.received))
        first.close()
        await until(lambda: before.pending_count == 0 and not made.retired)
        two.go.put_nowait(200)
        assert (await second.answer())[2] == b"from new"
        second.close()
        await made.shut_down(0.0)
        old.stop()
        new.stop()

    run(test())


def test_no_new_work_reaches_a_server_under_a_name_that_has_moved() -> None:
    async def test() -> None:
        slow = Slow()
        here = await Host("a", slow).start()
        there = await Host("a").start()
        made = daemon()
        port = await made.start()
        adopt(made, here)
        first = await Client.connect(port)
        first.send(KEYED_CLASS, key="k")
        await until(lambda: bool(here.received))
        adopt(made, there)
        slow.go.put_nowait(500)
        # A repeat by the old policy would be of its server, which is gone; the name stands for another now.
        assert (await first.answer())[0] == 502
        assert not there.received
        assert len(here.received) == 1
        first.close()
        await made.shut_down(0.0)
        here.stop()
        there.stop()

    run(test())


def test_what_is_under_way_is_counted_at_the_policy_that_decides() -> None:
    async def test() -> None:
        slow = Slow()
        host = await Host("a", slow).start()
        made = daemon()
        port = await made.start()
        adopt(made, host, operators=ON)
        clients = [await Client.connect(port) for _ in range(3)]
        made.engine.balancer.endpoint_set.endpoints["a"].concurrency_limit = 9.0
        for number, client in enumerate(clients):
            client.send(KEYED_CLASS, key=f"k{number}")
        await until(lambda: len(host.received) == 3)
        # The table changes as well: its window goes on, with what is under way in it.
        adopt(made, host, operators=replace(ON, overload=replace(ON.overload, target_inflation=2.0)))  # type: ignore[type-var]
        known = made.engine.balancer.endpoint_set.endpoints["a"]
        assert known.in_flight == 3
        assert known.concurrency_limit == 9.0
        overload: Any = made.engine.balancer.hook.hooks[0]  # type: ignore[union-attr]
        assert overload.window.in_flight == 3
        for _ in clients:
            slow.go.put_nowait(200)
        for client in clients:
            assert (await client.answer())[0] == 200
            client.close()
        await until(lambda: not made.retired)
        assert known.in_flight == 0
        assert overload.window.in_flight == 0
        await made.shut_down(0.0)
        host.stop()

    run(test())


def test_policies_that_change_without_end_keep_a_few_balancers_and_answer_the_rest_at_once() -> None:
    async def test() -> None:
        slow = Slow()
        hosts = [await Host(f"h{n}", slow).start() for n in range(2)]
        made = daemon()
        port = await made.start()
        clients = []
        for number in range(MAX_RETIRED_ENGINES + 4):
            adopt(made, hosts[number % 2])
            assert len(made.retired) <= MAX_RETIRED_ENGINES
            client = await Client.connect(port)
            client.send(KEYED_CLASS, key=f"k{number}", expires_ms=50_000)
            clients.append(client)
            await until(lambda n=number: sum(len(h.received) for h in hosts) == n + 1)  # type: ignore[misc]
        # Given up with nothing of their time over yet: told at once.
        for client in clients[:3]:
            assert (await client.answer())[0] == 502
        for client in clients:
            client.close()
        await until(lambda: not made.retired)
        await made.shut_down(0.0)
        for host in hosts:
            host.stop()

    run(test())


def test_a_thousand_policies_leave_one_balancer_and_one_list() -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(3)]
        made = daemon()
        port = await made.start()
        client = await Client.connect(port)
        for number in range(1000):
            adopt(made, hosts[number % 3], operators=ON if number % 3 else NOTHING)
            if number % 50 == 0:
                assert (await client.ask(KEYED_CLASS, key=str(number)))[2] == f"from h{number % 3}".encode()
        assert not made.retired
        assert len(made.upstream.endpoints) == 1
        client.close()
        await made.shut_down(0.0)
        for host in hosts:
            host.stop()

    run(test())


def test_what_ends_is_counted_by_class_and_so_is_what_has_none() -> None:
    async def test() -> None:
        slow = Slow()
        host = await Host("a", slow).start()
        made = daemon()
        port = await made.start()
        adopt(made, host)
        counted: list[tuple[str, bool]] = []
        made.engine.on_request_ended = lambda name, in_time: counted.append((name, in_time))
        adopt(made, host)  # the next policy counts on
        client = await Client.connect(port)
        slow.go.put_nowait(200)
        assert (await client.ask(KEYED_CLASS, key="k"))[0] == 200
        slow.go.put_nowait(500)
        assert (await client.ask(UNSAFE_CLASS))[0] == 502
        gone = await Client.connect(port)
        gone.send(KEYED_CLASS, key="l")
        await until(lambda: len(host.received) == 3)
        gone.close()
        await until(lambda: made.engine.pending_count == 0)
        assert (await client.ask("no-such-class"))[0] == 404
        # Who left was owed nothing any more.
        assert counted == [(KEYED_CLASS, True), (UNSAFE_CLASS, False), (UNKNOWN_CLASS, False)]
        client.close()
        await made.shut_down(0.0)
        host.stop()

    run(test())
