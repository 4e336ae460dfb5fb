"""What servers, discovery and clients need of the simulation that they run in.

They depend on these protocols and not on the simulation, which depends on them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from client_proxy.emulator.event_log import ClientAttempt, ClientRequest, EventLog
from client_proxy.emulator.listeners import Address, Listener, ProtocolFactory
from client_proxy.emulator.process_model import DeduplicationGroup
from client_proxy.emulator.scenario import RequestClassSpec, Scenario, ServerSpec
from client_proxy.emulator.server_faults import ActiveFault
from client_proxy.operators import OperatorSettings

if TYPE_CHECKING:
    from client_proxy.membership.node import GossipNode


class Environment(Protocol):
    """The clock, the network, the event log and the scenario of a run."""

    @property
    def scenario(self) -> Scenario:
        """The scenario that is run; its seed seeds all draws."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop; its clock is that of the event log."""

    @property
    def event_log(self) -> EventLog:
        """Where events are recorded."""

    @property
    def new_listener(self) -> Callable[[ProtocolFactory], Listener]:
        """Creates a listener at an address of its own."""


class ServerEnvironment(Environment, Protocol):
    """What a server needs."""

    @property
    def classes(self) -> Mapping[str, RequestClassSpec]:
        """The request classes by name."""

    @property
    def costly_faults(self) -> Sequence[ActiveFault]:
        """The faults that make requests cost more at present."""

    def deduplication_group(self, request_class: RequestClassSpec, server: ServerSpec) -> DeduplicationGroup:
        """Return the group of servers that deduplicate this class's requests with this server."""

    def foreign_attempt(self, attempt_id: str, url: bytes) -> ClientAttempt | None:
        """Return an attempt for a request that no emulated client sent, if such requests are taken."""

    def server_crashed(self, name: str) -> None:
        """Handle the crash of a server that was overloaded while cold."""


class ListeningServer(Protocol):
    """A server as discovery sees it: what it is, and its listener for each proxy."""

    @property
    def spec(self) -> ServerSpec:
        """Its description."""

    @property
    def listeners(self) -> Sequence[Listener]:
        """Its listeners, by proxy."""


class DiscoveryEnvironment(Environment, Protocol):
    """What discovery needs."""

    @property
    def servers(self) -> Mapping[str, ListeningServer]:
        """All servers by name."""


class ProxyHandle(Protocol):
    """A proxy, as the platform controls it.

    Attributes:
        up: it has not been stopped or killed.
        incarnation: counts its starts.
        failures: how it ended by itself, and exceptions that nobody caught.
    """

    address: Address
    up: bool
    incarnation: int
    failures: list[str]

    async def start(self) -> None:
        """Start a process."""

    def stop(self) -> None:
        """Ask it to shut down gracefully, as by SIGTERM."""

    def kill(self) -> None:
        """End it at once, as by SIGKILL."""

    async def ended(self) -> None:
        """Wait for its end."""


class ClientEnvironment(Environment, Protocol):
    """What clients need."""

    @property
    def classes(self) -> Mapping[str, RequestClassSpec]:
        """The request classes by name."""

    @property
    def proxies(self) -> Sequence[ProxyHandle]:
        """All proxies by number."""

    def request_ended(self, request: ClientRequest) -> None:
        """Handle the end of a request."""


class ProxyEnvironment(Environment, Protocol):
    """What the platform needs to start proxies."""

    @property
    def proxies(self) -> Sequence[ProxyHandle]:
        """All proxies by number."""

    @property
    def operators(self) -> OperatorSettings:
        """The operators' settings, for proxies in this process."""

    @property
    def operators_file(self) -> Path | None:
        """The operators' file, for proxies in processes of their own."""

    @property
    def byzantine_reporters(self) -> Mapping[int, type[GossipNode]]:
        """By number, the gossip nodes of proxies that report falsely."""

    def proxy_config(self, number: int, incarnation: int) -> dict[str, Any]:
        """Return the platform's configuration of a proxy, as a JSON object."""
