"""Minimal relays that replace the proxy daemon, each with one fault that the rules of the report must detect.

A relay sends each request to one server over a new connection and passes the response on to the client.
It reads the servers from the simulation; it subscribes to discovery only to receive updates like a proxy.
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
    "",  # no fault
    "sends twice",  # every seventh request, if unsafe, is sent twice
    "repeats elsewhere",  # every seventh request, if keyed, is also sent to a server of the other rack
    "answers twice",
    "makes up answers",
    "loses",  # accepts every seventh request and never answers it
    "closes",  # accepts two of every seven requests and closes the connection
    "refuses what ran",
    "ignores drains",  # sends to server east-1 even while it drains
    "invents",  # sends a request that no client made, every seventh time
)


class RelayConnection(asyncio.Protocol):
    """A connection of a client to the relay, or of the relay to a server; one whole message at a time."""

    def __init__(self, relay: RelayProxy, is_to_server: bool = False) -> None:
        self._relay, self._is_to_server = relay, is_to_server
        self._parser: Any = (httptools.HttpResponseParser if is_to_server else httptools.HttpRequestParser)(
            self
        )
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
        if self._is_to_server:
            if not self.answer.done():
                self.answer.set_result((self._parser.get_status_code(), self._body))
            return
        raw, self._raw = self._raw, b""
        url, self._url = self._url, b""
        if url == b"/ready":
            self.transport.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            return
        id_ = self._headers[b"x-trace-id"]
        asyncio.get_running_loop().create_task(self._relay.forward(self, raw, url, id_))

    def write_response(self, status: int, body: bytes = b"") -> None:
        self.transport.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))


class RelayProxy(VirtualProxy):
    """A proxy of the simulation that runs a relay with one of `FAULTS` instead of the daemon."""

    def __init__(
        self, simulation: Simulation, number: int, scheduler: Scheduler, network: MemoryNetwork, fault: str
    ) -> None:
        super().__init__(simulation, number, scheduler, network)
        self._simulation_state = simulation
        self._relay_fault = fault
        self._proxy_number = number
        self._requests_forwarded = 0

    def _start_daemon(self, loop: VirtualLoop, incarnation: int) -> None:
        loop.create_task(self._serve())

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: RelayConnection(self), *self.address)
        updates = asyncio.StreamReader()
        discovery = self._simulation_state.registry.listeners[self._proxy_number].address
        transport, _ = await loop.create_connection(lambda: asyncio.StreamReaderProtocol(updates), *discovery)
        transport.write(b"GET /v1/endpoints?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n")

    def stop(self) -> None:
        self.kill()

    async def _send_to_server(self, server: str, raw: bytes) -> tuple[int, bytes]:
        address = self._simulation_state.servers[server].listeners[self._proxy_number].address
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: RelayConnection(self, is_to_server=True), *address
            )
        except OSError:
            return 0, b""
        connection.transport.write(raw)
        answer: tuple[int, bytes] = await connection.answer
        connection.transport.close()
        return answer

    async def forward(self, client: RelayConnection, raw: bytes, url: bytes, id_: bytes) -> None:
        self._requests_forwarded += 1
        names = sorted(name for name, server in self._simulation_state.servers.items() if not server.draining)
        server_name = names[self._requests_forwarded % len(names)]
        unsafe = UNSAFE.encode() in url
        is_seventh = self._requests_forwarded % 7 == 0
        if self._relay_fault == "ignores drains":
            server_name = "east-1"
        if is_seventh and self._relay_fault == "loses":
            return
        # Two consecutive requests, since a client repeats a request that crossed the close of its connection.
        if self._requests_forwarded % 7 < 2 and self._relay_fault == "closes":
            client.transport.close()
            return
        if is_seventh and self._relay_fault == "invents":
            await self._send_to_server(server_name, raw.replace(id_, b"nobody-asked"))
        status, body = await self._send_to_server(server_name, raw)
        if is_seventh and self._relay_fault == "sends twice" and unsafe:
            await self._send_to_server(server_name, raw)
        if is_seventh and self._relay_fault == "repeats elsewhere" and not unsafe:
            await self._send_to_server("west-1" if server_name.startswith("east") else "east-2", raw)
        if is_seventh and self._relay_fault == "refuses what ran" and unsafe:
            client.write_response(503)
            return
        if is_seventh and self._relay_fault == "makes up answers":
            body = b"served by nobody"
        client.write_response(status if status else 502, body)
        if is_seventh and self._relay_fault == "answers twice":
            client.write_response(status, body)


def simulate_with_relays(scenario: Scenario, fault: str) -> Report:
    """Simulates the scenario with relays that have this fault in place of the proxies."""
    from client_proxy.emulator.listeners import MemoryListener

    scheduler = Scheduler()
    loop = scheduler.new_loop("world")
    network = MemoryNetwork(loop)

    async def main() -> float:
        simulation.proxies += [
            RelayProxy(simulation, number, scheduler, network, fault)
            for number in range(scenario.clients.proxies)
        ]
        simulation.prepare()
        return await simulation.run(None)

    simulation = Simulation(scenario, loop)
    simulation.new_listener = lambda factory: MemoryListener(loop, network, factory)
    simulation.unix_s = lambda: scheduler.now_s
    end_s = scheduler.run(loop, main(), 10_000.0)
    assert not loop.failures
    return build_report(simulation.result("virtual", end_s))
