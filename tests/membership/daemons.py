"""Real daemons on the loopback interface that gossip over UDP."""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace
from typing import Any

from client_proxy.clock import now_ms
from client_proxy.emulator.simulated_instance import ZONES
from client_proxy.emulator.simulated_keys import derive_keyring
from client_proxy.membership.evidence import AttemptCounts
from client_proxy.membership.gossip import Gossip
from client_proxy.membership.messages import class_tag, name_tag
from client_proxy.membership.settings import GossipSettings, SwimSettings
from client_proxy.proxy.config import Config
from client_proxy.proxy.daemon import ConnectionQuota, Daemon
from client_proxy.settings import read_settings
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    ReceivedRequest,
    Registry,
    entry,
    settings_json,
    until,
)

FAST = GossipSettings(spread_ms=50.0, swim=SwimSettings(period_ms=200.0, timeout_ms=80.0, sync_ms=1000.0))
SEED = 11


async def abort_connection(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


class DaemonFleet:
    """Daemons that gossip with each other and send requests to the same hosts."""

    def __init__(self, size: int, hosts: list[Host], reporters: dict[int, Any] | None = None) -> None:
        self.size, self.hosts, self.reporters = size, hosts, reporters or {}
        self.registry = Registry()
        self.daemons: list[Daemon] = []
        self.ports: list[int] = []

    async def __aenter__(self) -> DaemonFleet:
        await self.registry.start()
        for host in self.hosts:
            await host.start()
        seeds: tuple[tuple[str, int], ...] = ()
        settings = replace(read_settings(settings_json()), proxies=self.size)
        for number in range(self.size):
            keyring = derive_keyring(SEED, number + 1, ZONES[number % 3])
            gossip = Gossip(replace(FAST, seeds=seeds), keyring, settings, SEED + number)
            if number in self.reporters:
                node = gossip.node
                reporter = self.reporters[number](node.settings, keyring, gossip.port.address, settings, SEED)
                gossip.node = reporter
            seeds = (*seeds, gossip.port.address)[:3]
            config = Config(
                name=f"n{number}",
                listen=("127.0.0.1", 0),
                discovery=("127.0.0.1", self.registry.port),
                seed=SEED + number,
                settings=replace(settings, ordinal=number),
                known=None,
                sockets=1024,
            )
            self.daemons.append(Daemon(config, quota=ConnectionQuota(20, 20, 20), gossip=gossip))
        for daemon in self.daemons:
            self.ports.append(await daemon.start())
        await until(lambda: len(self.registry.watches) == self.size)
        change = self.registry.change(*[entry(host) for host in self.hosts], full=True)
        for watch in self.registry.watches:
            watch.write(b"%x\r\n%b\r\n" % (len(change), change))
        await until(lambda: all(len(daemon.directory.entries) == len(self.hosts) for daemon in self.daemons))
        return self

    async def __aexit__(self, *_: object) -> None:
        for daemon in self.daemons:
            daemon.discovery.stop()
            await daemon.listener.shut_down(0.0, 1.0)
            if daemon.gossip is not None:
                daemon.gossip.close()
        for host in self.hosts:
            host.stop()
        self.registry.stop()

    def gossip(self, number: int) -> Gossip:
        found = self.daemons[number].gossip
        assert found is not None
        return found

    def score_factor(self, number: int, host: Host) -> float:
        return self.gossip(number).balancer_hook.score_factor(now_ms(), host.name, UNSAFE_CLASS)

    def reported_failure_share(self, number: int, host: Host) -> float:
        """Return the failure share of a host that a daemon estimates from other daemons' reports alone."""
        observations, cls = self.gossip(number).balancer_hook.observations, class_tag(UNSAFE_CLASS)
        return observations.estimate(
            now_ms(), name_tag(host.name), cls, AttemptCounts(), len(self.hosts)
        ).failure_share

    async def wait_until_joined(self) -> None:
        nodes = [self.gossip(number).node for number in range(self.size)]
        await until(lambda: all(len(node.swim.members) == self.size - 1 for node in nodes))

    async def keep_requesting(self, number: int) -> None:
        """Send requests of one client to a daemon, one after the other, until the task is cancelled."""
        client = await Client.connect(self.ports[number])
        try:
            while True:
                try:
                    name = KEYED_CLASS if number % 2 else UNSAFE_CLASS
                    await client.ask(name, key=f"k{os.urandom(4).hex()}")
                except (asyncio.IncompleteReadError, ConnectionError):
                    client = await Client.connect(self.ports[number])
                await asyncio.sleep(0.01)
        finally:
            client.close()
