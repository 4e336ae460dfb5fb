"""Bare relays in the daemon's place, each broken in one way: what the ledger's rules must catch.

A relay takes each request, sends it to one server over a connection of its own, and passes the answer on.
It knows the servers from the stage, not from discovery, which it follows only to be told.
"""

from __future__ import annotations

import asyncio
from typing import Any

import httptools

from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.report import Report, build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.simulation import Simulation
from client_proxy.emulator.virtual import Scheduler, VirtualLoop
from client_proxy.emulator.virtual_proxy import VirtualProxy
from tests.support.days import UNSAFE

FAULTS = (
    "",  # an honest one
    "sends twice",  # an unsafe request goes to two servers
    "repeats elsewhere",  # a keyed one goes to servers of two racks
    "answers twice",
    "makes up answers",
    "loses",  # takes every seventh request, and never answers
    "closes",  # takes every seventh request, and closes
    "refuses what ran",
    "ignores drains",  # sends to the first server, come what may
    "invents",  # sends what no client asked for
)


class Taken(asyncio.Protocol):
    """A client's connection, or the relay's own to a server: one whole message at a time."""

    def __init__(self, relay: RelayProxy, of_server: bool = False) -> None:
        self._relay, self._of_server = relay, of_server
        self._parser: Any = (httptools.HttpResponseParser if of_server else httptools.HttpRequestParser)(self)
        self.transport: Any = None
        self._raw = b""
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = b""
        self.answer: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answer.done():
            self.answer.set_result((0, b""))

    def data_received(self, data: bytes) -> None:
        self._raw += data
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self._of_server:
            if not self.answer.done():
                self.answer.set_result((self._parser.get_status_code(), self._body))
            return
        raw, self._raw = self._raw, b""
        url, self._url = self._url, b""
        if url == b"/ready":
            self.transport.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            return
        id_ = self._headers[b"x-trace-id"]
        asyncio.get_running_loop().create_task(self._relay.pass_on(self, raw, url, id_))

    def say(self, status: int, body: bytes = b"") -> None:
        self.transport.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))


class RelayProxy(VirtualProxy):
    def __init__(
        self, stage: Simulation, number: int, scheduler: Scheduler, network: MemoryNetwork, fault: str
    ) -> None:
        super().__init__(stage, number, scheduler, network)
        self._world = stage
        self._fault = fault
        self._proxy = number
        self._count = 0

    def _start_daemon(self, loop: VirtualLoop, life: int) -> None:
        loop.create_task(self._serve())

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: Taken(self), *self.address)
        told = asyncio.StreamReader()
        discovery = self._world.registry.listeners[self._proxy].address
        transport, _ = await loop.create_connection(lambda: asyncio.StreamReaderProtocol(told), *discovery)
        transport.write(b"GET /v1/endpoints?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n")

    def stop(self) -> None:
        self.kill()

    async def _ask(self, server: str, raw: bytes) -> tuple[int, bytes]:
        address = self._world.servers[server].listeners[self._proxy].address
        loop = asyncio.get_running_loop()
        try:
            _, taken = await loop.create_connection(lambda: Taken(self, of_server=True), *address)
        except OSError:
            return 0, b""
        taken.transport.write(raw)
        answer: tuple[int, bytes] = await taken.answer
        taken.transport.close()
        return answer

    async def pass_on(self, client: Taken, raw: bytes, url: bytes, id_: bytes) -> None:
        self._count += 1
        names = sorted(name for name, server in self._world.servers.items() if not server.draining)
        chosen = names[self._count % len(names)]
        unsafe = UNSAFE.encode() in url
        seventh = self._count % 7 == 0
        if self._fault == "ignores drains":
            chosen = "east-1"
        if seventh and self._fault == "loses":
            return
        # Two in a row: a client sends once more what crosses the close of its connection.
        if self._count % 7 < 2 and self._fault == "closes":
            client.transport.close()
            return
        if seventh and self._fault == "invents":
            await self._ask(chosen, raw.replace(id_, b"nobody-asked"))
        status, body = await self._ask(chosen, raw)
        if seventh and self._fault == "sends twice" and unsafe:
            await self._ask(chosen, raw)
        if seventh and self._fault == "repeats elsewhere" and not unsafe:
            await self._ask("west-1" if chosen.startswith("east") else "east-2", raw)
        if seventh and self._fault == "refuses what ran" and unsafe:
            client.say(503)
            return
        if seventh and self._fault == "makes up answers":
            body = b"served by nobody"
        client.say(status if status else 502, body)
        if seventh and self._fault == "answers twice":
            client.say(status, body)


def play_relay(day: Scenario, fault: str) -> Report:
    """The day with such relays for proxies."""
    from client_proxy.emulator.listeners import MemoryListener

    scheduler = Scheduler()
    loop = scheduler.new_loop("world")
    network = MemoryNetwork(loop)

    async def main() -> float:
        stage.proxies += [
            RelayProxy(stage, number, scheduler, network, fault) for number in range(day.clients.proxies)
        ]
        stage.prepare()
        return await stage.run(None)

    stage = Simulation(day, loop)
    stage.new_listener = lambda factory: MemoryListener(loop, network, factory)
    stage.unix_s = lambda: scheduler.now_s
    end_s = scheduler.run(loop, main(), 10_000.0)
    assert not loop.failures
    return build_report(stage.result("virtual", end_s))
