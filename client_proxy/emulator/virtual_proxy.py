"""A proxy inside the simulation's process: the daemon runs on a virtual event loop with sockets in memory."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from client_proxy.emulator.environment import ProxyEnvironment
from client_proxy.emulator.listeners import Address
from client_proxy.emulator.network import MemoryNetwork, MemoryPort
from client_proxy.emulator.virtual import Scheduler, VirtualLoop
from client_proxy.proxy.config import Config, read_config
from client_proxy.proxy.daemon import Daemon

if TYPE_CHECKING:
    from client_proxy.membership.gossip import Gossip

HOST = "127.0.0.1"
GOSSIP_PORT = 7946
MAX_GOSSIP_SEEDS = 3
"""The largest number of proxies that serve as seeds of the membership; the first ones do."""


class VirtualProxy:
    """A proxy that runs on a virtual loop of its own, so that it can be killed alone.

    Attributes:
        address: where it listens.
        up: whether its process runs; false once it has stopped or was killed.
        incarnation: the number of its starts.
        loop: the loop of its latest process; None before the first start.
        daemon: the daemon of its latest process; None before the first one begins.
        failures: exceptions that nobody caught.
    """

    def __init__(
        self, environment: ProxyEnvironment, number: int, scheduler: Scheduler, network: MemoryNetwork
    ) -> None:
        self._environment, self._number = environment, number
        self._scheduler, self._network = scheduler, network
        self.address: Address = (HOST, network.free_port())
        self.up = False
        self.incarnation = 0
        self.loop: VirtualLoop | None = None
        self.daemon: Daemon | None = None
        self.failures: list[str] = []
        self._ended: asyncio.Event = asyncio.Event()

    async def start(self) -> None:
        """Start a process."""
        self.incarnation += 1
        self.up = True
        self._ended = asyncio.Event()
        name = f"proxy {self._number}/{self.incarnation}"
        self.loop = self._network.join(self._scheduler.new_loop(name))
        self.loop.failures = self.failures
        self.loop.call_soon(self._start_daemon, self.loop, self.incarnation)

    def _start_daemon(self, loop: VirtualLoop, incarnation: int) -> None:
        document = self._environment.proxy_config(self._number, incarnation)
        config = read_config(document, {}, f"proxy {self._number}")
        gossip = self._new_gossip(config, loop)
        operators = self._environment.operators
        self.daemon = Daemon(config, self._network.socket, operators=operators, gossip=gossip)
        loop.create_task(self.daemon.start())

    def _new_gossip(self, config: Config, loop: VirtualLoop) -> Gossip | None:
        """Return the proxy's gossip; None if the operators' settings have none.

        Its keys are derived from the scenario's seed. The first proxies are the seeds of the membership.
        """
        environment, number = self._environment, self._number
        settings = environment.operators.gossip
        if settings is None:
            return None
        from client_proxy.emulator.simulated_keys import derive_keyring
        from client_proxy.membership.gossip import Gossip

        seed_count = min(MAX_GOSSIP_SEEDS, len(environment.proxies))
        seeds = tuple((HOST, GOSSIP_PORT + seed_number) for seed_number in range(seed_count))
        port = MemoryPort(self._network, loop, (HOST, GOSSIP_PORT + number))
        keys = derive_keyring(environment.scenario.seed, number + 1, environment.scenario.zone_of(number))
        gossip = Gossip(replace(settings, seeds=seeds), keys, config.settings, config.seed, port)
        byzantine_node = environment.byzantine_reporters.get(number)
        if byzantine_node is not None:
            gossip.node = byzantine_node(
                gossip.node.settings, keys, port.address, config.settings, config.seed
            )
        return gossip

    def stop(self) -> None:
        """Shut the daemon down gracefully."""
        loop, daemon = self.loop, self.daemon
        if loop is None or daemon is None or loop.killed:
            return

        async def shut_down() -> None:
            await daemon.shut_down()
            # Scheduled on the simulation's loop, where the tasks that wait for the proxy's end run.
            self._environment.loop.call_soon(self._end_process, loop)

        loop.call_soon(lambda: loop.create_task(shut_down()))

    def kill(self) -> None:
        """Kill the process."""
        if self.loop is not None:
            self._end_process(self.loop)

    def _end_process(self, loop: VirtualLoop) -> None:
        self._network.kill(loop)
        if loop is self.loop:
            self.up = False
            self._ended.set()

    async def ended(self) -> None:
        """Wait for the end of the process."""
        await self._ended.wait()
