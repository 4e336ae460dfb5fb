"""A process of hollow instances: the program's control part on real sockets, without clients and servers.

Each one reads its own file, takes part in the agreement with a folder and an address of its own and, where
its file says so, in gossip; it follows discovery where the run has one. What it leaves out is stated in
docs/design/scale.md."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from client_proxy.address import Address, read_address
from client_proxy.api.events import EndpointsListed
from client_proxy.cli.control import ControlSocket, Json
from client_proxy.cli.errors import CommandError
from client_proxy.cli.instance_file import load_instance_file, settings_document
from client_proxy.cli.logs import configure_logging
from client_proxy.clock import now_ms
from client_proxy.config.models import ServeFile
from client_proxy.config.policy import Policy
from client_proxy.consensus.policy_source import ConsensusPolicySource
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.fault_injection.helper import Order, serve
from client_proxy.membership.gossip import Gossip
from client_proxy.membership.keys import load_keyring
from client_proxy.proxy.config import Config
from client_proxy.proxy.discovery import Discovery
from client_proxy.settings import read_settings

TICK_S = 0.05  # between two looks at each instance's lease, and at this process's own timers


def check_free(address: Address) -> None:
    """Raises OSError if somebody listens there: the agreement's own dial for it fails unseen, in a task."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(address)
            probe.listen()
        except OSError as error:
            raise OSError(f"{address[0]}:{address[1]}: {error.strerror}") from None


class HollowInstance:
    """One of them, by the file that a real one would have."""

    def __init__(self, path: Path, discovery: Address | None) -> None:
        """Raises TomlError or OSError for files or addresses that can't be used."""
        serving = load_instance_file(path)
        table = serving.file.agreement
        if table is None:
            raise ValueError(f"{path}: no [agreement]")
        self.name = serving.file.name
        # Monotonic seconds, and the version that decides from then on: at each switch, and with each lease
        # after a time without.
        self.switches: list[tuple[float, int]] = []
        self.without_lease_s = 0.0
        self._seen = 0  # the version that decided when it was last looked at, or switched
        self._directory = EndpointDirectory()
        check_free(read_address(table.listen))
        try:
            self.source = ConsensusPolicySource(
                table, path.parent, self._directory, _ignore, self._adopt, serving.file.hall
            )
        except OSError as error:
            raise OSError(f"{self.name}: {table.listen}: {error.strerror or error}") from None
        self._gossip: Gossip | None = None
        if serving.operators.gossip is not None:
            config = _config(serving.file)
            keyring = load_keyring(serving.operators.gossip.keys)
            self._gossip = Gossip.from_config(config, serving.operators.gossip, keyring)
        self._discovery: Discovery | None = None
        if discovery is not None:
            self._listed = EndpointDirectory()
            self._discovery = Discovery(discovery, False, self._listed, _ignore)
        self._control: ControlSocket | None = None
        if serving.file.control:
            verbs = {"status": self._status, "propose": self._propose}
            self._control = ControlSocket(serving.resolve_path(serving.file.control), verbs)

    async def start(self) -> None:
        await self.source.bind()
        self.source.start()
        if self._gossip is not None:
            self._gossip.start()
        if self._discovery is not None:
            self._discovery.start()
        if self._control is not None:
            await self._control.start()

    def close(self) -> None:
        self.source.stop()
        if self._gossip is not None:
            self._gossip.close()
        if self._discovery is not None:
            self._discovery.stop()
        if self._control is not None:
            self._control.close()

    def look(self, at_s: float, since_s: float) -> None:
        """Has it a lease? That it has one again counts as a switch, and so does a version that says the same
        as the one before, which is not adopted anew."""
        version = self.decides_by
        if not version:
            self.without_lease_s += since_s
        elif version != self._seen:
            self.switches.append((at_s, version))
        self._seen = version

    @property
    def decides_by(self) -> int:
        """The number of the version that it holds a lease on; 0: none."""
        version = self.source.node.lease_holder.leased_version(now_ms())
        return version.number if version is not None else 0

    @property
    def members_known(self) -> int:
        """Of gossip's table."""
        return len(list(self._gossip.node.swim.members)) if self._gossip is not None else 0

    @property
    def servers_listed(self) -> int:
        """By discovery."""
        return len(self._listed.entries) if self._discovery is not None else 0

    def _adopt(self, policy: Policy, message: Json) -> None:
        """As the daemon does, but for the balancer: the list is taken in."""
        self._directory.apply(message)
        version = self.source.node.lease_holder.active_version
        if version is not None:
            self.switches.append((time.monotonic(), version.number))
            self._seen = version.number

    def _status(self, _: Json) -> Json:
        return {"agreement": self.source.status()}

    def _propose(self, question: Json) -> Json:
        """As the verb of `client-proxy serve`."""
        try:
            content = Path(str(question["file"])).read_bytes()
            change = str(question["change"])
            named = self.source.propose(
                content, change, int(question["after"]), requester="author", reason=change
            )
        except (OSError, ValueError, KeyError) as error:
            raise CommandError(str(error)) from None
        return {"change": named}


def _ignore(_: EndpointsListed) -> None:
    """There is no balancer to tell."""


def _config(file: ServeFile) -> Config:
    return Config(
        name=file.name,
        listen=read_address(file.listen),
        discovery=None,
        seed=time.time_ns() & 0xFFFFFFFF,
        settings=read_settings(settings_document(file)),
        known=None,
        sockets=file.sockets,
    )


@dataclass
class Timers:
    """By how much this process's timers were late since the last report, in seconds."""

    worst_s: float = 0.0
    sum_s: float = 0.0
    ticks: int = 0

    def tick(self, late_s: float) -> None:
        self.worst_s = max(self.worst_s, late_s)
        self.sum_s += max(0.0, late_s)
        self.ticks += 1

    def told(self) -> Json:
        return {"worst_s": round(self.worst_s, 4), "sum_s": round(self.sum_s, 4), "ticks": self.ticks}


@dataclass
class Process:
    """All hollow instances of this process, by name."""

    discovery: Address | None = None
    instances: dict[str, HollowInstance] = field(default_factory=dict)
    timers: Timers = field(default_factory=Timers)

    async def watch(self) -> None:
        """Looks at the leases, and at its own lateness."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            at_s = time.monotonic()
            self.timers.tick(at_s - last_s - TICK_S)
            for instance in self.instances.values():
                instance.look(at_s, at_s - last_s)
            last_s = at_s

    async def begin(self, paths: list[str]) -> None:
        for path in paths:
            instance = HollowInstance(Path(path), self.discovery)
            self.instances[instance.name] = instance
            await instance.start()

    def report(self) -> Json:
        """Since the last one: switches and lateness. As of now: versions. Since the start: all else."""
        timers, self.timers = self.timers, Timers()
        told: dict[str, Json] = {}
        for name, instance in self.instances.items():
            switches, instance.switches = instance.switches, []
            told[name] = {
                "version": instance.decides_by,
                "newest": instance.source.node.lease_holder.latest.version.number,
                "switches": switches,
                "without_lease_s": instance.without_lease_s,
                "members": instance.members_known,
                "listed": instance.servers_listed,
            }
        return {"instances": told, "late": timers.told(), "cpu_s": time.process_time()}


def orders() -> dict[str, Order]:
    process = Process()
    watching: list[asyncio.Task[None]] = []

    async def begin(order: Json) -> None:
        """`paths`: of the instances' files. `discovery`: its address, or none."""
        address: Any = order.get("discovery")
        process.discovery = (str(address[0]), int(address[1])) if address else None
        await process.begin(order["paths"])
        if not watching:
            watching.append(asyncio.get_running_loop().create_task(process.watch()))

    async def report(order: Json) -> Json:
        return process.report()

    async def restart(order: Json) -> None:
        """`name`: of an instance. It is closed and begun anew from its folder."""
        process.instances.pop(order["name"]).close()
        await process.begin([order["path"]])

    return {"begin": begin, "report": report, "restart": restart}


def main() -> None:
    import uvloop

    from client_proxy.config.models import LogTable

    configure_logging(LogTable(form="json", per_event_per_s=20.0))
    logging.getLogger("client_proxy").setLevel(logging.INFO)
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())  # as the real one's loop
    serve(orders)


if __name__ == "__main__":
    main()
