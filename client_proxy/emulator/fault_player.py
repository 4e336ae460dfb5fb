"""Schedules a scenario's faults on the time line, in the order of the file.

Actions due at the same time run in the order in which they were scheduled, so that order affects a run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import replace
from typing import Any

from client_proxy.emulator.emulated_server import EmulatedServer
from client_proxy.emulator.environment import ProxyHandle
from client_proxy.emulator.random_streams import uniform_draw
from client_proxy.emulator.registry import Registry
from client_proxy.emulator.scenario import SERVER_FAULTS, Fault, Scenario
from client_proxy.emulator.server_faults import ActiveFault
from client_proxy.emulator.server_lifecycle import ServerLifecycle
from client_proxy.emulator.timeline import TimeLine

FAULTS_WITH_MARKED_END = ("fail", "freeze", "pauses", "slow", "lies")
"""Server faults whose end gets a mark; the end of the others shows as a process that starts or ends."""


class FaultPlayer:
    """Schedules faults and carries them out.

    Attributes:
        costly_faults: the active faults that make requests cost more.
    """

    def __init__(
        self,
        scenario: Scenario,
        loop: asyncio.AbstractEventLoop,
        timeline: TimeLine,
        servers: Mapping[str, EmulatedServer],
        proxies: Sequence[ProxyHandle],
        registry: Registry,
        lifecycle: ServerLifecycle,
    ) -> None:
        self._scenario, self._loop, self._timeline = scenario, loop, timeline
        self._servers, self._proxies, self._registry = servers, proxies, registry
        self._lifecycle = lifecycle
        self._tasks: set[asyncio.Task[None]] = set()
        self.costly_faults: list[ActiveFault] = []
        self._server_fault_schedulers: dict[str, Callable[[int, Fault, EmulatedServer], None]] = {
            "fail": self._schedule_failures,
            "freeze": self._schedule_freeze,
            "pauses": self._schedule_pauses_of_fault,
            "slow": self._schedule_slowdown,
            "lies": self._schedule_idle_reports,
            "vanish": self._schedule_vanish,
            "die": self._schedule_kill,
            "drain": self._schedule_shutdown,
            "restart": self._schedule_shutdown,
            "replace": self._schedule_shutdown,
        }
        self._other_fault_schedulers: dict[str, Callable[[int, Fault], None]] = {
            "costly": self._schedule_costly_requests,
            "discovery": self._schedule_discovery_outage,
            "cut": self._schedule_partitions,
            "proxy_restart": self._schedule_proxy_restarts,
            "proxy_kill": self._schedule_proxy_restarts,
        }

    def schedule(self) -> None:
        """Put all later starts of servers, all regular pauses and all faults on the time line."""
        for name, server in self._servers.items():
            if server.spec.start_s > 0:
                self._call_with_server(server.spec.start_s, self._lifecycle.start, server)
            server_type = server.spec.server_type
            interval_s, pause_ms = server_type.pause_interval_s, server_type.pause_ms
            if interval_s and pause_ms:
                phase_s = interval_s * uniform_draw(self._scenario.seed, "pause", name)
                self._schedule_pauses(server, phase_s, self._scenario.duration_s, interval_s, pause_ms)
        for index, fault in enumerate(self._scenario.faults):
            self._schedule_fault(index, fault)

    async def wait_for_tasks(self) -> None:
        """Wait for the end of proxy restarts that have begun."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def _call_with_server(
        self, at_s: float, action: Callable[[EmulatedServer], None], server: EmulatedServer
    ) -> None:
        self._timeline.call_at(at_s, lambda: action(server))

    def _schedule_fault(self, index: int, fault: Fault) -> None:
        if fault.kind in SERVER_FAULTS:
            for position, name in enumerate(self._scenario.fault_targets(index, fault)):
                at_s = fault.at_s + position * fault.stagger_s
                self._schedule_server_fault(index, replace(fault, at_s=at_s), self._servers[name])
            return
        scheduler = self._other_fault_schedulers.get(fault.kind)
        if scheduler is not None:
            scheduler(index, fault)
        self._timeline.mark_at(fault.at_s, fault.kind)
        if fault.duration_s:
            self._timeline.mark_at(_end_s(fault), f"{fault.kind} over")

    def _schedule_server_fault(self, index: int, fault: Fault, server: EmulatedServer) -> None:
        self._timeline.mark_at(fault.at_s, f"{fault.kind} {server.name}")
        self._server_fault_schedulers[fault.kind](index, fault, server)
        if fault.kind in FAULTS_WITH_MARKED_END:
            self._timeline.mark_at(_end_s(fault), f"{fault.kind} {server.name} over")

    # Faults of servers

    def _schedule_failures(self, index: int, fault: Fault, server: EmulatedServer) -> None:
        active = ActiveFault(index, fault)
        self._timeline.call_at(fault.at_s, lambda: server.faults.append(active))
        self._timeline.call_at(_end_s(fault), lambda: server.faults.remove(active))

    def _schedule_freeze(self, _: int, fault: Fault, server: EmulatedServer) -> None:
        self._timeline.call_at(fault.at_s, lambda: self._freeze_for(server, fault.duration_s))

    def _freeze_for(self, server: EmulatedServer, duration_s: float) -> None:
        if server.up:
            server.freeze()
            incarnation = server.incarnation
            self._loop.call_later(duration_s, lambda: server.thaw(incarnation))

    def _schedule_pauses_of_fault(self, _: int, fault: Fault, server: EmulatedServer) -> None:
        interval_s = fault.pause_interval_ms / 1000.0
        self._schedule_pauses(server, fault.at_s, _end_s(fault), interval_s, fault.pause_ms)

    def _schedule_pauses(
        self, server: EmulatedServer, from_s: float, until_s: float, interval_s: float, pause_ms: float
    ) -> None:
        def pause(position: int) -> None:
            self._freeze_for(server, pause_ms / 1000.0)
            next_s = from_s + (position + 1) * interval_s
            if next_s < until_s:
                self._timeline.call_at(next_s, lambda: pause(position + 1))

        self._timeline.call_at(from_s, lambda: pause(0))

    def _schedule_slowdown(self, _: int, fault: Fault, server: EmulatedServer) -> None:
        self._timeline.call_at(fault.at_s, lambda: server.slow_down(fault.factor))
        self._timeline.call_at(_end_s(fault), lambda: server.speed_up(fault.factor))

    def _schedule_idle_reports(self, _: int, fault: Fault, server: EmulatedServer) -> None:
        def set_reports_idle(value: bool) -> None:
            server.reports_idle = value

        self._timeline.call_at(fault.at_s, lambda: set_reports_idle(True))
        self._timeline.call_at(_end_s(fault), lambda: set_reports_idle(False))

    def _schedule_vanish(self, _: int, fault: Fault, server: EmulatedServer) -> None:
        self._timeline.call_at(fault.at_s, lambda: self._lifecycle.vanish(server, fault))

    def _schedule_kill(self, _: int, fault: Fault, server: EmulatedServer) -> None:
        self._call_with_server(fault.at_s, self._lifecycle.kill, server)
        if fault.duration_s:
            self._call_with_server(_end_s(fault), self._lifecycle.start, server)

    def _schedule_shutdown(self, _: int, fault: Fault, server: EmulatedServer) -> None:
        """Schedule a drain, the end of the process and, by the fault's kind, a restart or a replacement."""
        end_s = _end_s(fault)
        self._call_with_server(fault.at_s, self._lifecycle.drain, server)
        self._call_with_server(end_s, self._lifecycle.kill, server)
        if fault.kind == "restart":
            self._call_with_server(end_s + fault.downtime_s, self._lifecycle.start, server)
        elif fault.kind == "replace":
            self._call_with_server(end_s + fault.downtime_s, self._lifecycle.replace, server)

    # Faults of requests, discovery, proxies and the network

    def _schedule_costly_requests(self, index: int, fault: Fault) -> None:
        active = ActiveFault(index, fault)
        self._timeline.call_at(fault.at_s, lambda: self.costly_faults.append(active))
        self._timeline.call_at(_end_s(fault), lambda: self.costly_faults.remove(active))

    def _schedule_discovery_outage(self, _: int, fault: Fault) -> None:
        self._timeline.call_at(fault.at_s, lambda: self._registry.begin_outage(fault.mode))
        self._timeline.call_at(_end_s(fault), self._registry.end_outage)

    def _schedule_partitions(self, index: int, fault: Fault) -> None:
        for server in self._servers.values():
            proxies = self._scenario.partitioned_proxies(index, fault, server.spec)
            if proxies:
                self._schedule_partition(fault, server, proxies)

    def _schedule_partition(self, fault: Fault, server: EmulatedServer, proxies: tuple[int, ...]) -> None:
        self._timeline.call_at(fault.at_s, lambda: server.current_successor().partition_from(proxies))
        self._timeline.call_at(_end_s(fault), lambda: server.current_successor().heal_partition(proxies))

    def _schedule_proxy_restarts(self, _: int, fault: Fault) -> None:
        proxies = fault.proxies or tuple(range(self._scenario.clients.proxies))
        for position, proxy in enumerate(proxies):
            self._schedule_proxy_restart(fault.at_s + position * fault.stagger_s, proxy, fault)

    def _schedule_proxy_restart(self, at_s: float, proxy: int, fault: Fault) -> None:
        self._timeline.call_at(at_s, lambda: self._start_task(self._restart_proxy(proxy, fault)))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart_proxy(self, proxy: int, fault: Fault) -> None:
        """Stop a proxy gracefully or kill it, by the fault's kind, and start it again."""
        handle = self._proxies[proxy]
        self._timeline.mark(f"{fault.kind} {proxy}")
        if fault.kind == "proxy_kill":
            handle.kill()
        else:
            handle.stop()
        await handle.ended()
        await asyncio.sleep(fault.downtime_s)
        await handle.start()
        self._timeline.mark(f"proxy {proxy} started")


def _end_s(fault: Fault) -> float:
    return fault.at_s + fault.duration_s
