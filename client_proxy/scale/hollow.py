"""Process of hollow instances: the program's control part on real sockets, without clients and servers.

Each hollow instance reads its own settings file and has its own folder and address in the agreement. It takes
part in gossip if its file configures it, and follows discovery if the run has a discovery service.
docs/design/scale.md lists what a hollow instance leaves out."""

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

CHECK_INTERVAL_S = 0.05  # time between two checks of each instance's lease and of this process's timers


def check_free(address: Address) -> None:
    """Raises OSError if the address is in use.

    The agreement begins to listen there in a background task, whose failure would go unnoticed."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(address)
            probe.listen()
        except OSError as error:
            raise OSError(f"{address[0]}:{address[1]}: {error.strerror}") from None


class HollowInstance:
    """A hollow instance, configured by the settings file that a real instance would have."""

    def __init__(self, path: Path, discovery: Address | None) -> None:
        """Raises TomlError, ValueError or OSError if a file or an address can't be used."""
        instance_file = load_instance_file(path)
        table = instance_file.file.agreement
        if table is None:
            raise ValueError(f"{path}: no [agreement]")
        self.name = instance_file.file.name
        # Monotonic time in seconds, and the version that decides from then on. An entry is added when the
        # version changes, and when a lease is held again after a time without one.
        self.switches: list[tuple[float, int]] = []
        self.without_lease_s = 0.0
        self._last_version = 0  # version that decided at the last check or switch; 0: no lease
        self._directory = EndpointDirectory()
        check_free(read_address(table.listen))
        try:
            self.source = ConsensusPolicySource(
                table, path.parent, self._directory, _ignore, self._adopt, instance_file.file.hall
            )
        except OSError as error:
            raise OSError(f"{self.name}: {table.listen}: {error.strerror or error}") from None
        self._gossip: Gossip | None = None
        if instance_file.operators.gossip is not None:
            config = _config(instance_file.file)
            keyring = load_keyring(instance_file.operators.gossip.keys)
            self._gossip = Gossip.from_config(config, instance_file.operators.gossip, keyring)
        self._discovery: Discovery | None = None
        if discovery is not None:
            self._discovered = EndpointDirectory()
            self._discovery = Discovery(discovery, False, self._discovered, _ignore)
        self._control: ControlSocket | None = None
        if instance_file.file.control:
            handlers = {"status": self._status, "propose": self._propose}
            self._control = ControlSocket(instance_file.resolve_path(instance_file.file.control), handlers)

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

    def check_lease(self, at_s: float, since_s: float) -> None:
        """Records a switch, or the time without a lease, since the last check.

        A lease that is held again counts as a switch. So does a new version with the same content as the one
        before, which the policy source doesn't adopt again.

        `at_s` is monotonic time, `since_s` the time since the last check, both in seconds."""
        version = self.deciding_version
        if not version:
            self.without_lease_s += since_s
        elif version != self._last_version:
            self.switches.append((at_s, version))
        self._last_version = version

    @property
    def deciding_version(self) -> int:
        """Number of the version that the instance holds a lease on; 0: none."""
        version = self.source.node.lease_holder.leased_version(now_ms())
        return version.number if version is not None else 0

    @property
    def member_count(self) -> int:
        """Number of members in the gossip table; 0 without gossip."""
        return len(list(self._gossip.node.swim.members)) if self._gossip is not None else 0

    @property
    def listed_count(self) -> int:
        """Number of servers that discovery has listed; 0 without discovery."""
        return len(self._discovered.entries) if self._discovery is not None else 0

    def _adopt(self, policy: Policy, message: Json) -> None:
        """Adopts a version as the daemon does, but without a balancer: only the endpoint list is applied."""
        self._directory.apply(message)
        version = self.source.node.lease_holder.active_version
        if version is not None:
            self.switches.append((time.monotonic(), version.number))
            self._last_version = version.number

    def _status(self, _: Json) -> Json:
        return {"agreement": self.source.status()}

    def _propose(self, request: Json) -> Json:
        """Handles `propose` on the control socket as `client-proxy serve` does."""
        try:
            content = Path(str(request["file"])).read_bytes()
            change = str(request["change"])
            change_id = self.source.propose(
                content, change, int(request["after"]), requester="author", reason=change
            )
        except (OSError, ValueError, KeyError) as error:
            raise CommandError(str(error)) from None
        return {"change": change_id}


def _ignore(_: EndpointsListed) -> None:
    """Receives endpoint events; a hollow instance has no balancer to pass them to."""


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
    """Lateness of this process's timers since the last report, in seconds."""

    worst_s: float = 0.0
    sum_s: float = 0.0
    ticks: int = 0

    def tick(self, late_s: float) -> None:
        self.worst_s = max(self.worst_s, late_s)
        self.sum_s += max(0.0, late_s)
        self.ticks += 1

    def to_json(self) -> Json:
        return {"worst_s": round(self.worst_s, 4), "sum_s": round(self.sum_s, 4), "ticks": self.ticks}


@dataclass
class HollowInstances:
    """The hollow instances of this process, by name."""

    discovery: Address | None = None
    instances: dict[str, HollowInstance] = field(default_factory=dict)
    timers: Timers = field(default_factory=Timers)

    async def watch(self) -> None:
        """Checks the leases and the lateness of this process's timers until it is cancelled."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            at_s = time.monotonic()
            self.timers.tick(at_s - last_s - CHECK_INTERVAL_S)
            for instance in self.instances.values():
                instance.check_lease(at_s, at_s - last_s)
            last_s = at_s

    async def begin(self, paths: list[str]) -> None:
        for path in paths:
            instance = HollowInstance(Path(path), self.discovery)
            self.instances[instance.name] = instance
            await instance.start()

    def report(self) -> Json:
        """Returns the state of all instances.

        Switches and lateness cover the time since the last report. Seconds without a lease and processor time
        are counted from the start; versions and sizes are current."""
        timers, self.timers = self.timers, Timers()
        instances: dict[str, Json] = {}
        for name, instance in self.instances.items():
            switches, instance.switches = instance.switches, []
            instances[name] = {
                "version": instance.deciding_version,
                "newest": instance.source.node.lease_holder.latest.version.number,
                "switches": switches,
                "without_lease_s": instance.without_lease_s,
                "members": instance.member_count,
                "listed": instance.listed_count,
            }
        return {"instances": instances, "late": timers.to_json(), "cpu_s": time.process_time()}


def orders() -> dict[str, Order]:
    hollow_instances = HollowInstances()
    watch_tasks: list[asyncio.Task[None]] = []

    async def begin(order: Json) -> None:
        """Starts the instances with the settings files `paths`.

        `discovery` is the address of the discovery service, or none."""
        address: Any = order.get("discovery")
        hollow_instances.discovery = (str(address[0]), int(address[1])) if address else None
        await hollow_instances.begin(order["paths"])
        if not watch_tasks:
            watch_tasks.append(asyncio.get_running_loop().create_task(hollow_instances.watch()))

    async def report(order: Json) -> Json:
        return hollow_instances.report()

    async def restart(order: Json) -> None:
        """Closes the instance `name` and starts it again from its folder; `path` is its settings file."""
        hollow_instances.instances.pop(order["name"]).close()
        await hollow_instances.begin([order["path"]])

    return {"begin": begin, "report": report, "restart": restart}


def main() -> None:
    import uvloop

    from client_proxy.config.models import LogTable

    configure_logging(LogTable(form="json", per_event_per_s=20.0))
    logging.getLogger("client_proxy").setLevel(logging.INFO)
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())  # the loop that a real instance uses
    serve(orders)


if __name__ == "__main__":
    main()
