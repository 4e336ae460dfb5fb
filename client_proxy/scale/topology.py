"""Layout of a scale run: the instances with their members, addresses and zones, and their processes."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass, field
from enum import Enum

from client_proxy.scale.plan import ScalePlan

AGREEMENT_PORT = 7947
GOSSIP_PORT = 7946
ADDRESSES_PER_SUBNET = 250  # addresses that differ in their last number only
FIRST_BLOCK, BLOCKS = 128, 120  # blocks 127.128 to 127.247; drills of the rig use those below


class AddressClaim:
    """Reserves a block of loopback addresses against other runs on this machine until it is released."""

    def __init__(self) -> None:
        """Raises OSError if all blocks are taken."""
        for nth in range(BLOCKS):
            self.block = FIRST_BLOCK + (os.getpid() + nth) % BLOCKS
            self._socket = socket.socket()
            try:
                self._socket.bind((f"127.{self.block}.255.254", AGREEMENT_PORT))
                self._socket.listen()
                return
            except OSError:
                self._socket.close()
        raise OSError("all blocks of addresses are taken by other runs")

    def release(self) -> None:
        self._socket.close()


class Role(Enum):
    """What an instance is for; the values stand in reports."""

    CONTROL = "control machine"
    FOLLOWER = "hollow follower"
    REAL = "real instance"
    PLAIN = "real instance without control"


@dataclass(frozen=True, slots=True)
class Placement:
    """One instance: its member number in the agreement, its region and zone, and its address."""

    name: str
    member: int
    role: Role
    region: str
    zone: str
    host: str

    @property
    def agreement_address(self) -> str:
        return f"{self.host}:{AGREEMENT_PORT}"

    @property
    def gossip_address(self) -> str:
        return f"{self.host}:{GOSSIP_PORT}"


@dataclass(frozen=True, slots=True)
class HostProcess:
    """A process and the instances that it holds, which are all in one zone."""

    name: str
    role: Role
    placements: tuple[Placement, ...]

    @property
    def label(self) -> str:
        """The process by name, with the range of its instances if it holds several."""
        if len(self.placements) == 1:
            return self.placements[0].name
        return f"{self.name} ({self.placements[0].name} to {self.placements[-1].name})"


@dataclass
class Layout:
    """All instances and processes of a plan.

    Members are numbered from 1: control machines first, then followers, then real instances."""

    plan: ScalePlan
    block: int = FIRST_BLOCK  # second number of all addresses of this run
    hosts: list[HostProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._member = 0
        self._add_control()
        self._add_followers()
        self._add_real_instances()

    @property
    def placements(self) -> list[Placement]:
        return [placement for host in self.hosts for placement in host.placements]

    def hosts_of(self, *roles: Role) -> list[HostProcess]:
        """Returns the processes with one of these roles."""
        return [host for host in self.hosts if host.role in roles]

    def helper_count(self) -> int:
        """Number of processes of emulated servers, clients, authors and discovery."""
        real = self.plan.real.instances + self.plan.real.plain
        clients = -(-real // self.plan.real.per_client)
        return 1 + clients + (self.plan.real.servers if real else 0) + int(self.plan.hollow.discovery)

    def process_count(self) -> int:
        return len(self.hosts) + self.helper_count()

    def spare_host(self) -> str:
        """The host address for emulated servers, clients and discovery, which no instance uses."""
        return f"127.{self.block}.255.1"

    def _add_placement(self, name: str, role: Role, region: str, zone: str) -> Placement:
        self._member += 1
        subnet, host = divmod(self._member - 1, ADDRESSES_PER_SUBNET)
        return Placement(name, self._member, role, region, zone, f"127.{self.block}.{subnet}.{host + 1}")

    def _add_control(self) -> None:
        number = 0
        for region in self.plan.region:
            for nth in range(region.control):
                zone = region.zones[nth % len(region.zones)]
                placement = self._add_placement(f"control-{number}", Role.CONTROL, region.name, zone)
                self.hosts.append(HostProcess(placement.name, Role.CONTROL, (placement,)))
                number += 1

    def _add_followers(self) -> None:
        zones: list[list[Placement]] = []
        for region in self.plan.region:
            for nth, zone in enumerate(region.zones):
                count = len(range(nth, region.instances, len(region.zones)))
                zones.append(
                    [
                        self._add_placement(f"{zone}-{n}", Role.FOLLOWER, region.name, zone)
                        for n in range(count)
                    ]
                )
        for zone_placements in self._add_separate_processes(zones):
            self._add_zone(zone_placements)

    def _add_separate_processes(self, zones: list[list[Placement]]) -> list[list[Placement]]:
        """Gives some followers, taken from the zones in turn, a process of their own.

        Returns the zones without them."""
        remaining = self.plan.separate_count
        while remaining:
            for placements in zones:
                if remaining and len(placements) > 1:
                    placement = placements.pop()
                    self.hosts.append(HostProcess(f"alone-{placement.name}", Role.FOLLOWER, (placement,)))
                    remaining -= 1
        return zones

    def _add_zone(self, placements: list[Placement]) -> None:
        size = self.plan.hollow.per_process
        count = -(-len(placements) // size)
        for nth in range(count):
            group = tuple(placements[nth::count])
            self.hosts.append(HostProcess(f"hollow-{placements[0].zone}-{nth}", Role.FOLLOWER, group))

    def _add_real_instances(self) -> None:
        zones = [(region.name, zone) for region in self.plan.region for zone in region.zones]
        for number in range(self.plan.real.instances + self.plan.real.plain):
            role = Role.REAL if number < self.plan.real.instances else Role.PLAIN
            region, zone = zones[number % len(zones)]
            placement = self._add_placement(f"real-{number}", role, region, zone)
            self.hosts.append(HostProcess(placement.name, role, (placement,)))
