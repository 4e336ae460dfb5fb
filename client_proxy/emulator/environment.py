"""Protocols for what servers, discovery, clients and proxies need from the simulation that they run in.

They depend on these protocols instead of the simulation, which itself depends on them.
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
        """The scenario that is run; its seed is part of the seed of every random draw."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop, whose clock gives the times in the event log."""

    @property
    def event_log(self) -> EventLog:
        """Where events are recorded."""

    @property
    def new_listener(self) -> Callable[[ProtocolFactory], Listener]:
        """A function that creates a listener at an address of its own."""


class ServerEnvironment(Environment, Protocol):
    """What an emulated server needs."""

    @property
    def classes(self) -> Mapping[str, RequestClassSpec]:
        """The request classes by name."""

    @property
    def costly_faults(self) -> Sequence[ActiveFault]:
        """The active faults that make requests cost more work."""

    def deduplication_group(self, request_class: RequestClassSpec, server: ServerSpec) -> DeduplicationGroup:
        """Return the deduplication group in which this server handles requests of this class."""

    def foreign_attempt(self, attempt_id: str, url: bytes) -> ClientAttempt | None:
        """Return a new attempt for a request that no emulated client sent; None if those are not accepted."""

    def server_crashed(self, name: str) -> None:
        """Handle the crash of a server that was overloaded while warming up."""


class ListeningServer(Protocol):
    """What discovery needs to know about a server."""

    @property
    def spec(self) -> ServerSpec:
        """The server's description in the scenario."""

    @property
    def listeners(self) -> Sequence[Listener]:
        """The server's listeners by proxy number."""


class DiscoveryEnvironment(Environment, Protocol):
    """What discovery needs."""

    @property
    def servers(self) -> Mapping[str, ListeningServer]:
        """All servers by name."""


class ProxyHandle(Protocol):
    """A proxy, as the platform controls it.

    Attributes:
        address: where it listens.
        up: whether its process runs.
        incarnation: the number of its starts.
        failures: ends of its process that were not asked for, and exceptions that nobody caught.
    """

    address: Address
    up: bool
    incarnation: int
    failures: list[str]

    async def start(self) -> None:
        """Start a process."""

    def stop(self) -> None:
        """Begin a graceful shutdown, as SIGTERM does."""

    def kill(self) -> None:
        """End the process at once, as SIGKILL does."""

    async def ended(self) -> None:
        """Wait for the end of the process."""


class ClientEnvironment(Environment, Protocol):
    """What emulated clients need."""

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
        """The operators' settings, for proxies that run in this process."""

    @property
    def operators_file(self) -> Path | None:
        """The operators' file, for proxies that run in processes of their own; None without one."""

    @property
    def byzantine_reporters(self) -> Mapping[int, type[GossipNode]]:
        """The class of gossip node for each proxy that reports falsely, by proxy number."""

    def proxy_config(self, number: int, incarnation: int) -> dict[str, Any]:
        """Return the configuration that the platform passes to a proxy's start, as a JSON object."""
