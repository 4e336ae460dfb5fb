"""The scripted servers and discovery service of the restart soak."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import httptools

from client_proxy.emulator.discovery_connection import DiscoveryConnection
from client_proxy.emulator.listeners import reset_connection
from client_proxy.emulator.random_streams import uniform_draw
from client_proxy.emulator.server_connection import encode_response
from client_proxy.fault_injection.soak.history import Arrival, History, Treatment
from client_proxy.fault_injection.soak.schedule import FaultPlan, Idle, ServerFault, ServerPlan
from client_proxy.proxy.socket_state import SocketState

NEVER_RAN = b"X-Never-Ran: 1"
GONE_NOTICE_S = 0.05  # from the end of a server to its notice by discovery
DISCOVERY_LATENCY_S = 0.002  # of its answers and notices

Json = dict[str, Any]


class ScriptedServer:
    """A server that treats requests as its plan says, and records each one that it reads."""

    def __init__(self, plan: ServerPlan, seed: int, history: History) -> None:
        self.plan, self.seed, self.history = plan, seed, history
        self.connections: set[ServerConnection] = set()
        self.fault: ServerFault | None = None
        self.address = ("", 0)
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def schedule_faults(self, start_s: float, publish: Callable[[str, str], None]) -> None:
        """Schedule the begin and end of the plan's faults, whose times count from `start_s`."""
        loop = asyncio.get_running_loop()
        for fault in self.plan.faults:
            loop.call_at(start_s + fault.begin_s, self._begin_fault, fault, publish)
            if fault.kind is not ServerFault.GONE:
                loop.call_at(start_s + fault.end_s, self._end_fault, fault)

    def _begin_fault(self, fault: FaultPlan, publish: Callable[[str, str], None]) -> None:
        self.fault = fault.kind
        if fault.kind is ServerFault.GONE:
            self.close()
            asyncio.get_running_loop().call_later(GONE_NOTICE_S, publish, self.plan.name, "gone")

    def _end_fault(self, fault: FaultPlan) -> None:
        if self.fault is fault.kind:
            self.fault = None

    def close(self) -> None:
        """Stop listening and reset all connections, as at the end of a process."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.reset()


class ServerConnection(asyncio.Protocol):
    """A connection from the proxy to a server, with one request at a time."""

    def __init__(self, server: ScriptedServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: Any = None
        self._headers: dict[bytes, bytes] = {}
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = transport
        self._socket_state = SocketState(transport.get_extra_info("socket"))
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._server.connections.discard(self)
        self._cancel_idle_timer()
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Read a part of a request."""
        self._cancel_idle_timer()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Record a complete request, and answer it or not as the plan says."""
        server = self._server
        trace_id = self._headers.get(b"x-trace-id", b"").decode("latin-1")
        stated_time_left_s = int(self._headers.get(b"x-expires-in-ms", b"0")) / 1000.0
        # The time of arrival, not of reading.
        at_s = asyncio.get_running_loop().time() - self._socket_state.ms_since_last_data() / 1000.0
        arrival = Arrival(trace_id, server.plan.name, server.plan.cell, at_s, stated_time_left_s)
        server.history.arrivals.append(arrival)
        if server.fault is ServerFault.HANG:
            return
        if server.fault is ServerFault.RESET:
            self.reset()
        elif server.fault is ServerFault.REFUSE:
            arrival.treatment = Treatment.REFUSED
            self._write(encode_response(503, b"", NEVER_RAN))
        else:
            asyncio.get_running_loop().call_later(self._latency_s(trace_id), self._answer, arrival)

    def _latency_s(self, trace_id: str) -> float:
        plan = self._server.plan
        quantile = uniform_draw(self._server.seed, plan.name, trace_id)
        return plan.least_latency_s + quantile * (plan.most_latency_s - plan.least_latency_s)

    def _answer(self, arrival: Arrival) -> None:
        if self._transport is None or self._server.fault is ServerFault.HANG:
            return
        arrival.treatment = Treatment.ANSWERED
        self._write(encode_response(200, arrival.trace_id.encode()))
        if self._server.plan.idle is Idle.CLOSE:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(self._server.plan.idle_close_s, self._close)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_connection(self._transport)


class ScriptedDiscovery:
    """A discovery service with one endpoint list that sends changes to its watches at once.

    It has what a `DiscoveryConnection` of the emulator uses of its registry.
    """

    def __init__(self, servers: list[ScriptedServer]) -> None:
        self.latency_s = DISCOVERY_LATENCY_S
        self.index = 1
        self.requests = 0
        self.outage_mode = ""
        self.connections: dict[DiscoveryConnection, None] = {}
        self.address = ("", 0)
        self._servers = servers
        self._statuses = {server.plan.name: "ready" for server in servers}
        self._changed_at_index: dict[str, int] = {}
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: DiscoveryConnection(self, 0), "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Accept nothing more."""
        if self._server is not None:
            self._server.close()

    def publish(self, name: str, status: str) -> None:
        """Change a server's status, and notify the watches."""
        self._statuses[name] = status
        self.index += 1
        self._changed_at_index[name] = self.index
        for connection in list(self.connections):
            connection.send_changes()

    def snapshot(self, proxy: int, notify: bool = True) -> Json:
        """Return the whole list."""
        listed = [server for server in self._servers if self._statuses[server.plan.name] != "gone"]
        return {"index": self.index, "snapshot": True, "endpoints": [self._entry(each) for each in listed]}

    def changes_since(self, proxy: int, index: int) -> Json | None:
        """Return the changes after version `index`; None if there are none."""
        changed = [
            self._entry(server)
            for server in self._servers
            if self._changed_at_index.get(server.plan.name, 0) > index
        ]
        return {"index": self.index, "snapshot": False, "endpoints": changed} if changed else None

    def _entry(self, server: ScriptedServer) -> Json:
        host, port = server.address
        return {
            "name": server.plan.name,
            "address": f"{host}:{port}",
            "zone": "a",
            "type": "scripted",
            "group": server.plan.cell,
            "status": self._statuses[server.plan.name],
            "weight": 1.0,
            "since_ms": 0,
        }

    def known(self) -> Json:
        """Return the list in the format of the configuration's `known`."""
        listed: Json = json.loads(json.dumps(self.snapshot(0)))
        return listed
