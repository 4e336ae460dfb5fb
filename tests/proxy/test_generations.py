"""Policy changes in a running daemon: new requests use the new policy, pending ones keep theirs."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from client_proxy.operators import NO_FEATURES, OperatorSettings, parse_operators
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
    http_response,
    run,
    settings_json,
    until,
)

ALL_ON = parse_operators("[overload]\n[connections]\nrest_s = 3\n[reach]\n[halls]\n", "on")


class StaticSource:
    """An endpoint source that reports nothing; lists come through `Daemon.adopt`."""

    def start(self) -> None: ...
    def subscribe(self) -> None: ...
    def move(self, address: Any) -> None: ...
    def stop(self) -> None: ...


def make_daemon() -> Daemon:
    settings = read_settings(settings_json() | {"discovery": "automatic", "zone": "a"})
    config = Config("test", ("127.0.0.1", 0), None, 7, settings, None, 1024)
    return Daemon(
        config, quota=ConnectionQuota(100, 100, 100), endpoint_source=lambda directory, notify: StaticSource()
    )


def endpoint_list(*hosts: Host, index: int = 1) -> dict[str, Any]:
    return {"index": index, "snapshot": True, "endpoints": [entry(host) for host in hosts]}


def adopt(daemon: Daemon, *hosts: Host, operators: OperatorSettings = NO_FEATURES, **bounds: Any) -> None:
    daemon.adopt(
        read_settings(settings_json(**bounds) | {"discovery": "automatic", "zone": "a"}),
        operators,
        endpoint_list(*hosts),
    )


class ControlledAnswers:
    """Answers each request once the test puts a status into `statuses`."""

    def __init__(self) -> None:
        self.statuses: asyncio.Queue[int] = asyncio.Queue()

    async def __call__(self, host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        status = await self.statuses.get()
        writer.write(http_response(status, b"from " + host.name.encode()))


def test_pending_request_finishes_under_its_policy() -> None:
    async def test() -> None:
        answers = ControlledAnswers()
        old, other = await Host("old", answers).start(), await Host("other").start()
        new = await Host("new").start()
        daemon = make_daemon()
        port = await daemon.start()
        adopt(daemon, old)
        first = await Client.connect(port)
        first.send(KEYED_CLASS, key="k")
        await until(lambda: bool(old.received))
        # The new policy lists another server than the old one, and allows one attempt only.
        adopt(daemon, new, max_attempts=1)
        assert len(daemon.retired) == 1
        assert daemon.listener.engine is daemon.engine
        second = await Client.connect(port)
        assert (await second.ask(UNSAFE_CLASS))[2] == b"from new"
        # The first attempt fails: the old policy retries it at its own server.
        answers.statuses.put_nowait(500)
        answers.statuses.put_nowait(200)
        status, _, body = await first.answer()
        assert (status, body) == (200, b"from old")
        assert len(old.received) == 2
        await until(lambda: not daemon.retired)
        assert set(daemon.upstream.endpoints) == {"new"}
        first.close()
        second.close()
        await daemon.shut_down(0.0)
        for host in (old, other, new):
            host.stop()

    run(test())


def test_client_disconnect_reaches_the_engine_of_its_request() -> None:
    async def test() -> None:
        one, two = ControlledAnswers(), ControlledAnswers()
        old, new = await Host("old", one).start(), await Host("new", two).start()
        daemon = make_daemon()
        port = await daemon.start()
        adopt(daemon, old)
        first, second = await Client.connect(port), await Client.connect(port)
        first.send(KEYED_CLASS, key="k")
        await until(lambda: bool(old.received))
        predecessor = daemon.engine
        adopt(daemon, new)
        second.send(KEYED_CLASS, key="l")  # each engine numbers its requests from 1
        await until(lambda: bool(new.received))
        first.close()
        await until(lambda: predecessor.pending_count == 0 and not daemon.retired)
        two.statuses.put_nowait(200)
        assert (await second.answer())[2] == b"from new"
        second.close()
        await daemon.shut_down(0.0)
        old.stop()
        new.stop()

    run(test())


def test_retry_is_not_sent_to_a_new_address_of_an_endpoint() -> None:
    async def test() -> None:
        answers = ControlledAnswers()
        here = await Host("a", answers).start()
        there = await Host("a").start()
        daemon = make_daemon()
        port = await daemon.start()
        adopt(daemon, here)
        first = await Client.connect(port)
        first.send(KEYED_CLASS, key="k")
        await until(lambda: bool(here.received))
        adopt(daemon, there)
        answers.statuses.put_nowait(500)
        # A retry under the old policy would need its server, which is gone; the name has another address now.
        assert (await first.answer())[0] == 502
        assert not there.received
        assert len(here.received) == 1
        first.close()
        await daemon.shut_down(0.0)
        here.stop()
        there.stop()

    run(test())


def test_in_flight_attempts_are_counted_at_the_active_engine() -> None:
    async def test() -> None:
        answers = ControlledAnswers()
        host = await Host("a", answers).start()
        daemon = make_daemon()
        port = await daemon.start()
        adopt(daemon, host, operators=ALL_ON)
        clients = [await Client.connect(port) for _ in range(3)]
        daemon.engine.balancer.endpoint_set.endpoints["a"].concurrency_limit = 9.0
        for number, client in enumerate(clients):
            client.send(KEYED_CLASS, key=f"k{number}")
        await until(lambda: len(host.received) == 3)
        # The overload settings change too: the concurrency window keeps its attempts in flight.
        adopt(
            daemon,
            host,
            operators=replace(
                ALL_ON,
                overload=replace(ALL_ON.overload, target_inflation=2.0),  # type: ignore[type-var]
            ),
        )
        known = daemon.engine.balancer.endpoint_set.endpoints["a"]
        assert known.in_flight == 3
        assert known.concurrency_limit == 9.0
        overload: Any = daemon.engine.balancer.hook.hooks[0]  # type: ignore[union-attr]
        assert overload.window.in_flight == 3
        for _ in clients:
            answers.statuses.put_nowait(200)
        for client in clients:
            assert (await client.answer())[0] == 200
            client.close()
        await until(lambda: not daemon.retired)
        assert known.in_flight == 0
        assert overload.window.in_flight == 0
        await daemon.shut_down(0.0)
        host.stop()

    run(test())


def test_frequent_policy_changes_keep_few_engines() -> None:
    async def test() -> None:
        answers = ControlledAnswers()
        hosts = [await Host(f"h{n}", answers).start() for n in range(2)]
        daemon = make_daemon()
        port = await daemon.start()
        clients = []
        for number in range(MAX_RETIRED_ENGINES + 4):
            adopt(daemon, hosts[number % 2])
            assert len(daemon.retired) <= MAX_RETIRED_ENGINES
            client = await Client.connect(port)
            client.send(KEYED_CLASS, key=f"k{number}", expires_ms=50_000)
            clients.append(client)
            await until(lambda n=number: sum(len(h.received) for h in hosts) == n + 1)  # type: ignore[misc]
        # The oldest engines failed their requests at once, long before the deadlines.
        for client in clients[:3]:
            assert (await client.answer())[0] == 502
        for client in clients:
            client.close()
        await until(lambda: not daemon.retired)
        await daemon.shut_down(0.0)
        for host in hosts:
            host.stop()

    run(test())


def test_a_thousand_policy_changes_leave_one_engine() -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(3)]
        daemon = make_daemon()
        port = await daemon.start()
        client = await Client.connect(port)
        for number in range(1000):
            adopt(daemon, hosts[number % 3], operators=ALL_ON if number % 3 else NO_FEATURES)
            if number % 50 == 0:
                assert (await client.ask(KEYED_CLASS, key=str(number)))[2] == f"from h{number % 3}".encode()
        assert not daemon.retired
        assert len(daemon.upstream.endpoints) == 1
        client.close()
        await daemon.shut_down(0.0)
        for host in hosts:
            host.stop()

    run(test())


def test_request_results_are_counted_by_class() -> None:
    async def test() -> None:
        answers = ControlledAnswers()
        host = await Host("a", answers).start()
        daemon = make_daemon()
        port = await daemon.start()
        adopt(daemon, host)
        counted: list[tuple[str, bool]] = []
        daemon.engine.on_request_ended = lambda name, in_time: counted.append((name, in_time))
        adopt(daemon, host)  # the next engine keeps the callback
        client = await Client.connect(port)
        answers.statuses.put_nowait(200)
        assert (await client.ask(KEYED_CLASS, key="k"))[0] == 200
        answers.statuses.put_nowait(500)
        assert (await client.ask(UNSAFE_CLASS))[0] == 502
        disconnected = await Client.connect(port)
        disconnected.send(KEYED_CLASS, key="l")
        await until(lambda: len(host.received) == 3)
        disconnected.close()
        await until(lambda: daemon.engine.pending_count == 0)
        assert (await client.ask("no-such-class"))[0] == 404
        # The request of the disconnected client is not counted.
        assert counted == [(KEYED_CLASS, True), (UNSAFE_CLASS, False), (UNKNOWN_CLASS, False)]
        client.close()
        await daemon.shut_down(0.0)
        host.stop()

    run(test())
