"""Runs a scenario: sets up servers, discovery, proxies and clients on a clock and schedules the faults."""

from __future__ import annotations

import asyncio
import logging
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from client_proxy import clock
from client_proxy.emulator.clients import ClientGroup
from client_proxy.emulator.emulated_server import EmulatedServer
from client_proxy.emulator.environment import ProxyHandle
from client_proxy.emulator.errors import ProxiesNotReadyError
from client_proxy.emulator.event_log import ClientAttempt, ClientRequest, EventLog
from client_proxy.emulator.fault_player import FaultPlayer
from client_proxy.emulator.listeners import Listener, MemoryListener, ProtocolFactory, SocketListener
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.process_model import DeduplicationGroup
from client_proxy.emulator.process_proxy import ProcessProxy
from client_proxy.emulator.proxy_settings import proxy_settings
from client_proxy.emulator.random_streams import uniform_draw
from client_proxy.emulator.registry import Registry
from client_proxy.emulator.request_plan import plan_requests
from client_proxy.emulator.rules import Placement, RuleCheck, check_rules
from client_proxy.emulator.scenario import RequestClassSpec, Scenario, ServerSpec
from client_proxy.emulator.server_faults import ActiveFault
from client_proxy.emulator.server_lifecycle import ServerLifecycle
from client_proxy.emulator.timeline import TimeLine
from client_proxy.emulator.virtual import Scheduler
from client_proxy.emulator.virtual_proxy import VirtualProxy
from client_proxy.operators import NO_FEATURES, OperatorSettings

if TYPE_CHECKING:
    from client_proxy.membership.node import GossipNode

UNIX_START_S = 1_700_000_000.0
"""Unix time at the virtual clock's zero."""
LEAD_TIME_S = 0.5
"""Time between the moment when all proxies are ready and the scenario's start."""
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
SAMPLE_INTERVAL_S = 0.5
TAIL_S = 1.0
"""Time between the last response and the end of the run."""
MAX_RUN_S = 7 * 24 * 3600.0
SERVER_ADDRESS = ("127.0.0.1", 0)

ProgressCallback = Callable[[float, list[ClientRequest]], None]
"""Called once per window with the elapsed seconds and the requests that ended since the last call."""


@dataclass
class SimulationResult:
    """The result of a run.

    Attributes:
        clock: `virtual` or `real`.
        proxies: the number of proxies.
        start_s: the scenario's start on the event log's clock.
        end_s: the end of the run on the same clock.
        discovery_requests: the number of requests to discovery.
        specs: all servers by name, including those that replaced others.
        marks: time and description of what happened on the time line, in order of time.
        failures: uncaught exceptions of proxies, and proxy processes that ended unexpectedly.
        callbacks_run: the number of callbacks that the virtual clock ran.
    """

    scenario: Scenario
    clock: str
    proxies: int
    event_log: EventLog
    rule_check: RuleCheck
    start_s: float
    end_s: float
    discovery_requests: int
    specs: dict[str, ServerSpec]
    marks: list[tuple[float, str]] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    callbacks_run: int = 0


class Simulation:
    """One run of a scenario; its proxies, clock and network are provided by the caller.

    Attributes:
        new_listener: creates listeners on the network; it has to be set before `prepare`.
        proxies: the proxies by number; they have to be added before `prepare`.
        unix_s: returns the Unix time in seconds.
        accepts_foreign_requests: whether servers accept requests that no emulated client sent.
        operators: the operators' settings, for proxies in this process.
        operators_file: the operators' file, for proxies in processes of their own.
        byzantine_reporters: the gossip node type of each proxy that reports falsely, by the proxy's number.
        unreported_requests: requests that ended since progress was last reported.
    """

    def __init__(self, scenario: Scenario, loop: asyncio.AbstractEventLoop) -> None:
        self.scenario = scenario
        self.loop = loop
        self.event_log = EventLog()
        self.classes: dict[str, RequestClassSpec] = {
            request_class.name: request_class for request_class in scenario.classes
        }
        self.new_listener: Callable[[ProtocolFactory], Listener] = _raise_no_network
        self.proxies: list[ProxyHandle] = []
        self.unix_s: Callable[[], float] = lambda: 0.0
        self.accepts_foreign_requests = False
        self.operators = NO_FEATURES
        self.operators_file: Path | None = None
        self.byzantine_reporters: dict[int, type[GossipNode]] = {}
        self.unreported_requests: list[ClientRequest] = []
        self.timeline = TimeLine(loop)
        self.servers: dict[str, EmulatedServer] = {}
        self._deduplication_groups: dict[tuple[object, ...], DeduplicationGroup] = {}
        for spec in scenario.servers():
            self.servers[spec.name] = EmulatedServer(self, spec)
        self.registry = Registry(self)
        self.lifecycle = ServerLifecycle(self, self.servers, self.registry, self.timeline, self.unix_ms)
        self.fault_player = FaultPlayer(
            scenario, loop, self.timeline, self.servers, self.proxies, self.registry, self.lifecycle
        )

    @property
    def costly_faults(self) -> list[ActiveFault]:
        """The active faults that make requests cost more."""
        return self.fault_player.costly_faults

    @property
    def start_s(self) -> float:
        """The scenario's start on the loop's clock."""
        return self.timeline.start_s

    def prepare(self) -> None:
        """Create the listeners of servers and discovery."""
        for server in self.servers.values():
            server.prepare()
        self.registry.prepare()

    # Called by servers, proxies and clients

    def deduplication_group(self, request_class: RequestClassSpec, server: ServerSpec) -> DeduplicationGroup:
        """Return the group that deduplicates this class's requests at this server."""
        key_by_scope: dict[str, tuple[object, ...]] = {
            "all": (request_class.name,),
            "zone": (request_class.name, server.zone),
            "cell": (request_class.name, server.zone, server.rack),
        }
        key = key_by_scope[request_class.idempotency_scope]
        if key not in self._deduplication_groups:
            self._deduplication_groups[key] = DeduplicationGroup(request_class.idempotency_window_ms)
        return self._deduplication_groups[key]

    def proxy_config(self, number: int, incarnation: int) -> dict[str, Any]:
        """Return the platform's configuration of a proxy, as a JSON object."""
        host, port = self.proxies[number].address
        discovery_host, discovery_port = self.registry.listeners[number].address
        seed = int(uniform_draw(self.scenario.seed, "proxy", number, incarnation) * 2**48)
        return {
            "name": f"n{number}",
            "listen": f"{host}:{port}",
            "discovery": f"{discovery_host}:{discovery_port}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.registry.snapshot(number, notify=False),
            "settings": proxy_settings(self.scenario, number, self.scenario.clients.proxies),
        }

    def foreign_attempt(self, attempt_id: str, url: bytes) -> ClientAttempt | None:
        """Return an attempt for a request that no emulated client sent, or None if it is not accepted.

        Standalone servers accept such a request and give it the mean work of its class. In a run of a
        scenario it violates a rule.
        """
        class_name = url.lstrip(b"/").partition(b"/")[0].decode("latin-1")
        request_class = self.classes.get(class_name)
        if request_class is None or not self.accepts_foreign_requests:
            return None
        return ClientAttempt(attempt_id, 0, 0, request_class.name, "", request_class.work_ms)

    def request_ended(self, request: ClientRequest) -> None:
        """Keep a request that ended for the next report of progress."""
        self.unreported_requests.append(request)

    def server_crashed(self, name: str) -> None:
        """Kill a server that crashed under overload while cold; it stays down."""
        self.timeline.mark(f"{name} fell over")
        self.loop.call_soon(self.lifecycle.kill, self.servers[name])

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return round(self.unix_s() * 1000.0)

    # The run

    async def run(self, progress: ProgressCallback | None) -> float:
        """Run the scenario; return the time on the loop's clock after the last response.

        Raises:
            ProxiesNotReadyError: not all proxies became ready in time.
        """
        for server in self.servers.values():
            if server.spec.start_s <= 0:
                server.start(cold=False)
                self.registry.publish(server.name, "ready", 0)
        self.registry.start()
        clients = [ClientGroup(self, proxy) for proxy in range(len(self.proxies))]
        for proxy in self.proxies:
            await proxy.start()
        await self._wait_until_ready(clients)
        self.timeline.start_s = self.loop.time() + LEAD_TIME_S
        self.fault_player.schedule()
        sampler = self.loop.create_task(self._sample(progress))
        await self._run_clients(clients)
        remaining_s = self.start_s + self.scenario.duration_s - self.loop.time()
        await asyncio.sleep(max(0.0, remaining_s) + TAIL_S)
        await self.fault_player.wait_for_tasks()
        sampler.cancel()
        # Without this await, a sampler that failed would leave an incomplete time line and no error.
        with suppress(asyncio.CancelledError):
            await sampler
        end_s = self.loop.time()
        await self._shut_down(clients)
        return end_s

    async def _wait_until_ready(self, clients: list[ClientGroup]) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for group in clients:
                    await _wait_for_proxy(group)
        except TimeoutError:
            failures = "; ".join(failure for proxy in self.proxies for failure in proxy.failures)
            raise ProxiesNotReadyError(
                f"not all proxies were ready within {READY_TIMEOUT_S:g} s. {failures}"
            ) from None

    async def _run_clients(self, clients: list[ClientGroup]) -> None:
        plans = [plan_requests(self.scenario, proxy) for proxy in range(len(self.proxies))]
        await asyncio.gather(
            *(group.run(plan, self.start_s) for group, plan in zip(clients, plans, strict=True))
        )

    async def _shut_down(self, clients: list[ClientGroup]) -> None:
        for group in clients:
            group.close()
        for proxy in self.proxies:
            if proxy.up:
                proxy.stop()
        for proxy in self.proxies:
            await proxy.ended()
        for server in list(self.servers.values()):
            server.close()
        self.registry.close()

    async def _sample(self, progress: ProgressCallback | None) -> None:
        """Sample every server at a fixed interval, and report progress once per window."""
        samples, windows = 0, 0
        while True:
            next_s = self.start_s + samples * SAMPLE_INTERVAL_S
            await asyncio.sleep(max(0.0, next_s - self.loop.time()))
            for server in self.servers.values():
                self.event_log.samples.setdefault(server.name, []).append(server.sample(self.start_s))
            samples += 1
            elapsed_s = self.loop.time() - self.start_s
            if progress is not None and elapsed_s >= (windows + 1) * self.scenario.window_s:
                windows += 1
                ended, self.unreported_requests = self.unreported_requests, []
                progress(elapsed_s, ended)

    def result(self, clock_name: str, end_s: float) -> SimulationResult:
        """Check the run against the rules and return its result."""
        specs = {name: server.spec for name, server in self.servers.items()}
        placements = {name: Placement(spec.zone, spec.rack) for name, spec in specs.items()}
        return SimulationResult(
            scenario=self.scenario,
            clock=clock_name,
            proxies=len(self.proxies),
            event_log=self.event_log,
            rule_check=check_rules(self.scenario, self.event_log, self.registry.changes, placements, end_s),
            start_s=self.start_s,
            end_s=end_s,
            discovery_requests=self.registry.requests,
            specs=specs,
            marks=sorted(self.timeline.marks, key=lambda mark: mark[0]),
            failures=[failure for proxy in self.proxies for failure in proxy.failures],
        )


async def _wait_for_proxy(clients: ClientGroup) -> None:
    while True:
        if await clients.proxy_is_ready():
            return
        await asyncio.sleep(READY_POLL_S)


def _raise_no_network(factory: ProtocolFactory) -> Listener:
    raise RuntimeError("the simulation has no network: set new_listener before prepare()")


@contextmanager
def _without_daemon_logs() -> Iterator[None]:
    """Silence the daemons' logs during a run on the virtual clock."""
    logger = logging.getLogger("client_proxy.proxy")
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        logger.setLevel(level)


def simulate(
    scenario: Scenario,
    progress: ProgressCallback | None = None,
    operators: OperatorSettings = NO_FEATURES,
    byzantine_reporters: dict[int, type[GossipNode]] | None = None,
) -> SimulationResult:
    """Run a scenario on a virtual clock; the same scenario always gives the same event log.

    Args:
        scenario: the scenario.
        progress: called once per window.
        operators: the operators' settings of all proxies.
        byzantine_reporters: the gossip node type of each proxy that reports falsely, by the proxy's number.
    """
    scheduler = Scheduler()
    loop = scheduler.new_loop("world")
    network = MemoryNetwork(loop)

    async def main() -> float:
        simulation.proxies += [
            VirtualProxy(simulation, number, scheduler, network) for number in range(scenario.clients.proxies)
        ]
        simulation.prepare()
        return await simulation.run(progress)

    def unix_s() -> float:
        return UNIX_START_S + scheduler.now_s

    with clock.use_clock(scheduler.time, unix_s), _without_daemon_logs():
        simulation = Simulation(scenario, loop)
        simulation.operators = operators
        simulation.byzantine_reporters = byzantine_reporters or {}
        simulation.new_listener = lambda factory: MemoryListener(loop, network, factory)
        simulation.unix_s = unix_s
        end_s = scheduler.run(loop, main(), MAX_RUN_S)
        result = simulation.result("virtual", end_s)
    result.failures += loop.failures
    result.callbacks_run = scheduler.executed_callbacks
    return result


async def run_on_real_clock(
    scenario: Scenario,
    progress: ProgressCallback | None = None,
    build: Path | None = None,
    operators_file: Path | None = None,
) -> SimulationResult:
    """Run a scenario on the real clock and loopback sockets, with each proxy in a process of its own.

    Args:
        scenario: the scenario.
        progress: called once per window.
        build: the checkout whose daemon is run; None: this one.
        operators_file: the file with the operators' settings of all proxies.
    """
    loop = asyncio.get_running_loop()
    simulation = Simulation(scenario, loop)
    simulation.new_listener = lambda factory: SocketListener(loop, factory, SERVER_ADDRESS)
    simulation.unix_s = time.time
    simulation.operators_file = operators_file
    with tempfile.TemporaryDirectory() as folder:
        simulation.proxies += [
            ProcessProxy(simulation, number, Path(folder), build)
            for number in range(scenario.clients.proxies)
        ]
        simulation.prepare()
        try:
            end_s = await simulation.run(progress)
        finally:
            for proxy in simulation.proxies:
                if proxy.up:
                    proxy.kill()
    return simulation.result("real", end_s)
