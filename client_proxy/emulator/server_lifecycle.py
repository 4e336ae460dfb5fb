"""Starts, ends and replaces servers, and publishes each change to discovery after the delays it has."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from client_proxy.emulator.emulated_server import EmulatedServer
from client_proxy.emulator.environment import ServerEnvironment
from client_proxy.emulator.registry import Registry
from client_proxy.emulator.scenario import DiscoverySettings, Fault
from client_proxy.emulator.timeline import TimeLine


class ServerLifecycle:
    """The platform that starts and ends servers.

    Args:
        environment: the environment of the servers, also of those that replace others.
        servers: all servers by name; replacements are added to it.
        registry: the emulated discovery.
        timeline: where starts and ends are marked.
        since_ms: returns the present Unix time in milliseconds, which becomes the start time of a process.
    """

    def __init__(
        self,
        environment: ServerEnvironment,
        servers: dict[str, EmulatedServer],
        registry: Registry,
        timeline: TimeLine,
        since_ms: Callable[[], int],
    ) -> None:
        self._environment, self._servers, self._registry = environment, servers, registry
        self._timeline, self._since_ms = timeline, since_ms

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return self._environment.loop

    @property
    def _delays(self) -> DiscoverySettings:
        return self._environment.scenario.discovery

    def start(self, server: EmulatedServer) -> None:
        """Start a cold process of a server that is down; a server that is up is left alone."""
        if server.up:
            return
        server.start(cold=True, since_ms=self._since_ms())
        self._timeline.mark(f"{server.name} starts")
        incarnation, since_ms = server.incarnation, server.since_ms

        def publish_ready() -> None:
            if server.up and server.incarnation == incarnation:
                self._registry.publish(server.name, "ready", since_ms)

        self._loop.call_later(self._delays.start_delay_ms / 1000.0, publish_ready)

    def drain(self, server: EmulatedServer) -> None:
        """Begin the graceful shutdown of a server; discovery lists it as draining after its delay."""
        if server.up:
            server.draining = True
            delay_ms = self._delays.removal_delay_ms
            self._registry.publish_later(server.name, "draining", server.since_ms, delay_ms)

    def kill(self, server: EmulatedServer) -> None:
        """End a server's process at once."""
        if not server.up:
            return
        incarnation, since_ms = server.incarnation, server.since_ms
        server.kill()
        self._timeline.mark(f"{server.name} down")

        def publish_gone() -> None:
            if server.incarnation == incarnation or not server.up:
                self._registry.publish(server.name, "gone", since_ms)

        self._loop.call_later(self._delays.removal_delay_ms / 1000.0, publish_gone)

    def replace(self, predecessor: EmulatedServer) -> None:
        """Start a server of a new name at the addresses of one that has ended for good."""
        prefix = f"{predecessor.name}."
        number = 1 + sum(1 for name in self._servers if name.startswith(prefix))
        spec = replace(predecessor.spec, name=f"{prefix}{number}")
        successor = EmulatedServer(self._environment, spec)
        successor.replace(predecessor)
        self._servers[successor.name] = successor
        self.start(successor)

    def vanish(self, server: EmulatedServer, fault: Fault) -> None:
        """Cut a server's machine off from the network, for the fault's duration or for good."""
        if not server.up:
            return
        server.vanish()
        incarnation, since_ms = server.incarnation, server.since_ms

        def publish_gone() -> None:
            if server.vanished and server.incarnation == incarnation:
                self._registry.publish(server.name, "gone", since_ms)

        def reappear() -> None:
            if server.incarnation != incarnation or not server.vanished:
                return
            self._timeline.mark(f"{server.name} back")
            if fault.downtime_s:
                # The machine was off, so a new process starts, which is cold.
                server.kill()
                self.start(server)
            else:
                server.reappear(incarnation)
                delay_ms = self._delays.start_delay_ms
                self._registry.publish_later(server.name, "ready", since_ms, delay_ms)

        self._loop.call_later(self._delays.stall_delay_ms / 1000.0, publish_gone)
        if fault.duration_s:
            self._loop.call_later(fault.duration_s, reappear)
