"""Starts, watches, disturbs and ends the processes of a scale run.

These are hollow and real instances, emulated servers, clients, authors and discovery."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

from client_proxy.address import Address
from client_proxy.cli.instance_file import load_instance_file
from client_proxy.consensus.bootstrap import initialize_acceptor
from client_proxy.emulator.scenario_writer import format_scenario
from client_proxy.fault_injection.child_process import (
    Child,
    Helper,
    Json,
    RigError,
    cpu_time_s,
    process_state,
    resident_kb,
    waited_s,
)
from client_proxy.fault_injection.fleet import rack_scenario
from client_proxy.fault_injection.helper import Lateness
from client_proxy.fault_injection.plan import MAX_INSTANCES, FleetTable, LoadTable
from client_proxy.fault_injection.plan import Plan as RigPlan
from client_proxy.scale.files import INSTANCE_FILE_NAME, InstanceFiles, first_policy
from client_proxy.scale.plan import ScalePlan
from client_proxy.scale.topology import AddressClaim, HostProcess, Layout, Placement, Role

SETTLE_TIMEOUT_S = 120.0  # time for all instances to adopt the newest version, at the start and after a day
EXIT_WAIT_S = 0.5  # time for the system to report a process's end after its pipes have closed
POLL_S = 1.0  # time between two reports of a process of hollow instances
READY_POLL_S = 0.25  # time between two checks whether instances are ready or settled
INSTANCES_PER_ORDER = 5  # instances that a process starts per order; an order has to end before its timeout
FIRST_UNUSED_PORT = 10_000  # first port of server addresses in runs where no client calls them
MAX_PARALLEL_STARTS = 8  # processes of hollow instances that are started at the same time
MAX_MEAN_LATENESS_S = 0.1  # mean lateness of a process's timers above which it is overloaded
MAX_LATENESS_S = 1.0  # lateness of a single timer above which the process is overloaded
MIN_TICKS_FOR_MEAN = 50  # timer ticks before the mean lateness is judged
MAX_CORE_WAIT_SHARE = 0.25  # median share of the time without a core from which the machine is too busy
MIN_RAN_SHARE = 0.5  # a process that ran for at least this share of its lateness is overloaded itself
TMPFS = Path("/dev/shm")
TMPFS_PREFIX = "client-proxy-scale-"  # followed by the process id of the run


class HollowLost(RuntimeError):
    """A hollow instance died or can't start. The text names it."""


class HollowUnresponsive(RuntimeError):
    """A hollow instance is overloaded, doesn't report or lacks the newest version. The text names it."""


class HollowProcess(Helper):
    """A child process that holds hollow instances (`hollow.py`)."""

    def __init__(self, host: HostProcess, folder: Path) -> None:
        super().__init__(host.name, folder)
        self.host = host

    async def begin(self, module: str = "client_proxy.scale.hollow") -> None:
        await self.start(module, piped=True, fault_folder=self.folder)

    async def pause(self) -> None:
        """Stops the process by SIGSTOP while no order is pending.

        A late answer would be taken for the answer to the next order. Raises RigError if it doesn't stop."""
        async with self._lock:
            self.signal(signal.SIGSTOP)
            if not await self.wait_for_state("T"):
                raise RigError(f"{self.name}: process did not stop after SIGSTOP")


@dataclass
class InstanceView:
    """The last report of a hollow instance, and all of its switches."""

    version: int = 0
    newest: int = 0
    without_lease_s: float = 0.0
    members: int = 0
    listed: int = 0
    switches: list[tuple[float, int]] = field(default_factory=list)
    reported_s: float = 0.0  # part of `without_lease_s` that it has reported since its last start

    def add_report(self, fields: Json) -> None:
        """Takes in a report.

        A restarted instance counts its seconds without a lease from 0 again; those before are kept."""
        self.version, self.newest = fields["version"], fields["newest"]
        self.members, self.listed = fields["members"], fields["listed"]
        new_reported_s = fields["without_lease_s"]
        self.without_lease_s += (
            new_reported_s - self.reported_s if new_reported_s >= self.reported_s else new_reported_s
        )
        self.reported_s = new_reported_s
        self.switches += [(at_s, version) for at_s, version in fields["switches"]]


@dataclass
class Sample:
    """Resource use of one process, counted from its start; `rss_kb` is its memory at that moment."""

    cpu_s: float
    rss_kb: int
    waited_s: float
    traffic: dict[str, int]


@dataclass
class HostLateness:
    """Lateness of the timers of a process of hollow instances over the run, and its processor time."""

    sum_s: float = 0.0
    ticks: int = 0
    ran_s: float = 0.0

    def check(self, host: HostProcess, late: Json, ran_s: float) -> str:
        """Checks the lateness since the last report.

        `ran_s` is the processor time since then. Returns "" if the timers are in time. Returns a description
        if they were late while the process waited for a core or a disk: then the machine is too busy.

        Raises:
            HollowUnresponsive: the timers were late while the process ran, so it is overloaded itself."""
        self.sum_s += late["sum_s"]
        self.ticks += late["ticks"]
        self.ran_s += ran_s
        worst_s, mean_s = late["worst_s"], self.sum_s / max(1, self.ticks)
        if worst_s > MAX_LATENESS_S:
            lateness, ran, total = f"{worst_s:.2f} s", ran_s, worst_s
        elif self.ticks >= MIN_TICKS_FOR_MEAN and mean_s > MAX_MEAN_LATENESS_S:
            lateness, ran, total = f"{mean_s:.3f} s in the mean", self.ran_s, self.sum_s
        else:
            return ""
        if ran >= MIN_RAN_SHARE * total:
            raise HollowUnresponsive(f"{host.label}: timers late by {lateness}: it is overloaded")
        return f"{host.label}: timers late by {lateness}, of which it ran for {min(ran, total):.2f} s"


def remove_stale_folders() -> None:
    """Removes folders on tmpfs that were left by killed runs, whose processes no longer exist."""
    for path in TMPFS.glob(f"{TMPFS_PREFIX}*"):
        pid = path.name.removeprefix(TMPFS_PREFIX).split("-")[0]
        if pid.isdigit() and not Path(f"/proc/{pid}").exists():
            shutil.rmtree(path, ignore_errors=True)


class Fleet:
    """All processes of a run.

    It is created inside the event loop. Methods that start processes raise RigError, HollowLost,
    HollowUnresponsive or OSError."""

    def __init__(self, plan: ScalePlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self._address_claim = AddressClaim()
        self.layout = Layout(plan, self._address_claim.block)
        self.tmpfs = TMPFS / f"{TMPFS_PREFIX}{os.getpid()}-{time.monotonic_ns()}"
        self.files = InstanceFiles(plan, self.layout, folder, self.tmpfs)
        self.hollow: dict[str, HollowProcess] = {}
        self.real: dict[str, Child] = {}
        self.servers: list[Helper] = []
        self.clients: list[Helper] = []
        self.authors = Helper("authors", folder)
        self.discovery = Helper("discovery", folder)
        self.views: dict[str, InstanceView] = {}
        self.taken_down: set[str] = set()  # names of processes that a day has killed or stopped
        self.lateness = Lateness()
        self._lateness_task: asyncio.Task[None] | None = None
        self._watching: asyncio.Task[None] | None = None
        self._discovery_address: list[Any] | None = None
        self._cpu_s: dict[str, float] = {}
        self._started_s: dict[str, float] = {}
        # Processes whose next report covers a start or a stop; its lateness does not count.
        self._just_started: set[str] = set()
        self.checks_lateness = False  # set once the fleet has started: lateness counts from the first day on
        self.lateness_by_host: dict[str, HostLateness] = {}
        self.busy: list[str] = []  # descriptions of timers that were late because the machine was busy
        self._ports: dict[str, int] = {}

    # Start

    async def start(self) -> None:
        """Starts all processes and waits until they are settled."""
        remove_stale_folders()
        addresses = await self._start_servers()
        self.files.first_policy_path.write_text(first_policy(self.plan, addresses))
        if self.plan.hollow.discovery:
            await self._start_discovery(addresses)
        self._write_files()
        await self.authors.begin("client_proxy.scale.authors")
        await self._start_hollow(self.layout.hosts_of(Role.CONTROL))
        await self._start_hollow(self.layout.hosts_of(Role.FOLLOWER))
        await self._start_real(self.layout.hosts_of(Role.REAL, Role.PLAIN))
        await self.wait_until_settled()
        await self._start_clients()
        self._lateness_task = asyncio.create_task(self.lateness.watch())
        self.checks_lateness = True
        self._just_started.update(self.hollow)

    def home(self, placement: Placement) -> Path:
        """Returns the folder of an instance.

        Folders of followers are on tmpfs: hundreds of instances would share one disk here, while each has a
        disk of its own in production."""
        parent = self.tmpfs if placement.role is Role.FOLLOWER else self.folder
        return parent / placement.name

    def _write_files(self) -> None:
        self.tmpfs.mkdir()
        for host in self.layout.hosts:
            for placement in host.placements:
                listen = f"{placement.host}:1"
                if host.role in (Role.REAL, Role.PLAIN):
                    self._ports[placement.name] = _free_port(placement.host)
                    listen = f"{placement.host}:{self._ports[placement.name]}"
                path = self.files.write(placement, self.home(placement), listen)
                if placement.role is Role.CONTROL:
                    table = load_instance_file(path).file.agreement
                    assert table is not None
                    initialize_acceptor(table, self.home(placement), placement.member)

    async def _start_servers(self) -> list[str]:
        """Starts the emulated servers and returns one address per server name of the policy.

        Without real instances no server is started, and nothing listens at the addresses."""
        names = self.plan.policy.servers
        if not self.plan.real.instances + self.plan.real.plain:
            return [f"{self.layout.spare_host()}:{FIRST_UNUSED_PORT + number}" for number in range(names)]
        count = self.plan.real.servers
        addresses = [await self._start_server(number, -(-names // count)) for number in range(count)]
        return [addresses[number % count][number // count] for number in range(names)]

    def _server_plan(self, racks: int, listeners: int) -> RigPlan:
        """Returns a plan of the rig for its emulated servers.

        An emulated server listens on one address per client proxy of its plan. Here each address stands for
        one server name of the policy."""
        per_rack = -(-listeners // MAX_INSTANCES)
        fleet = FleetTable(instances=-(-listeners // per_rack), racks=racks, per_rack=per_rack)
        load = LoadTable(work_ms=self.plan.real.work_ms, deadline_ms=self.plan.real.deadline_ms)
        return RigPlan(name="scale", seed=self.plan.seed, fleet=fleet, load=load)

    async def _start_server(self, number: int, listeners: int) -> list[str]:
        """Starts a process of emulated servers and returns the addresses that it listens on."""
        helper = Helper(f"server-{number}", self.folder)
        self.servers.append(helper)
        await helper.begin("client_proxy.fault_injection.servers")
        answer = await helper.ask(
            "begin",
            day=format_scenario(rack_scenario(self._server_plan(1, listeners), ("r0",), halls=False)),
            host=self.layout.spare_host(),
            history="/dev/null",
            cold=False,
        )
        return [f"{host}:{port}" for server in answer["doors"].values() for host, port in server]

    async def _start_discovery(self, addresses: list[str]) -> None:
        await self.discovery.begin("client_proxy.fault_injection.discovery")
        count = min(self.plan.policy.servers, 20)
        plan = self._server_plan(count, 1)
        targets = {
            server: [list(_split(addresses[number % len(addresses)]))]
            for number, server in enumerate(plan.servers())
        }
        answer = await self.discovery.ask(
            "begin",
            day=format_scenario(rack_scenario(plan, plan.racks(), halls=True)),
            host=self.layout.spare_host(),
            doors=targets,
            history="/dev/null",
        )
        self._discovery_address = answer["doors"][0]

    async def _start_hollow(self, hosts: list[HostProcess]) -> None:
        start_slots = asyncio.Semaphore(MAX_PARALLEL_STARTS)

        async def begin(host: HostProcess) -> None:
            async with start_slots:
                await self.start_host(host)

        await asyncio.gather(*(begin(host) for host in hosts))

    async def start_host(self, host: HostProcess) -> None:
        """Starts the host's process and all of its instances.

        Raises:
            HollowLost: an instance can't start.
            HollowUnresponsive: the instances didn't start in time."""
        process = self.hollow.get(host.name)
        if process is None:
            process = self.hollow[host.name] = HollowProcess(host, self.folder)
        for placement in host.placements:
            self.views.setdefault(placement.name, InstanceView())
        try:
            await process.begin()
            self._started_s[host.name] = time.monotonic()
            paths = [str(self.home(placement) / INSTANCE_FILE_NAME) for placement in host.placements]
            for first in range(0, len(paths), INSTANCES_PER_ORDER):
                batch = paths[first : first + INSTANCES_PER_ORDER]
                await process.ask("begin", paths=batch, discovery=self._discovery_address)
        except RigError as error:
            raise await self._classify_failure(process, error) from None

    async def _classify_failure(
        self, process: HollowProcess, error: RigError
    ) -> HollowLost | HollowUnresponsive:
        """Returns the exception for a process that failed to answer.

        A process that has died is reported as ended shortly after its pipes close, so this waits for it."""
        text = f"{process.host.label}: {error}"
        silent = (
            isinstance(error.__context__, TimeoutError) and await process.wait_for_exit(EXIT_WAIT_S) is None
        )
        return HollowUnresponsive(text) if silent else HollowLost(text)

    async def _start_real(self, hosts: list[HostProcess]) -> None:
        for host in hosts:
            child = self.real[host.name] = Child(host.name, self.folder)
            home = self.home(host.placements[0])
            await child.start(
                "client_proxy.cli", "serve", "--config", str(home / INSTANCE_FILE_NAME), fault_folder=home
            )
        for host in hosts:
            await self.real[host.name].wait_until_listening(self._ports[host.name])

    async def _start_clients(self) -> None:
        names, size = list(self.real), self.plan.real.per_client
        for first in range(0, len(names), size):
            helper = Helper(f"clients-{first // size}", self.folder)
            self.clients.append(helper)
            await helper.begin("client_proxy.scale.load")
            await helper.ask(
                "begin",
                targets=[
                    [name, [self._host(name), self._ports[name]]] for name in names[first : first + size]
                ],
                rate=self.plan.real.rate,
                unsafe_share=0.4,
                deadline_ms=self.plan.real.deadline_ms,
                elsewhere=False,
                seed=self.plan.seed + first,
            )
        await self._wait_until_ready()

    def _host(self, name: str) -> str:
        return next(placement.host for placement in self.layout.placements if placement.name == name)

    async def _wait_until_ready(self) -> None:
        """Waits until all real instances answer their clients' probes. Raises RigError on timeout."""
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end_s:
            answers = [await helper.ask("look") for helper in self.clients]
            if sum(len(answer["ready"]) for answer in answers) == len(self.real):
                return
            self.check_real()
            await asyncio.sleep(READY_POLL_S)
        raise RigError(f"not all real instances are ready after {SETTLE_TIMEOUT_S:g} s")

    def check_real(self) -> None:
        """Raises RigError if a real instance has ended by itself."""
        for name, child in self.real.items():
            if not child.up:
                raise RigError(f"{name}: process ended: {child.last_line()}")

    # Reports and samples

    async def poll(self) -> None:
        """Takes in a report of each process of hollow instances. Raises HollowLost or HollowUnresponsive."""
        await asyncio.gather(*(self._report(process) for process in list(self.hollow.values())))

    async def _report(self, process: HollowProcess) -> None:
        host = process.host
        if host.name in self.taken_down:
            return
        just_started = host.name in self._just_started
        try:
            answer = await process.ask("report")
        except RigError as error:
            if host.name in self.taken_down:
                return
            raise await self._classify_failure(process, error) from None
        for name, fields in answer["instances"].items():
            self.views[name].add_report(fields)
        ran_s = max(0.0, answer["cpu_s"] - self._cpu_s.get(host.name, 0.0))
        self._cpu_s[host.name] = answer["cpu_s"]
        self._just_started.discard(host.name)
        if self.checks_lateness and not just_started:
            host_lateness = self.lateness_by_host.setdefault(host.name, HostLateness())
            busy = host_lateness.check(host, answer["late"], ran_s)
            self.busy += [busy] if busy else []

    async def watch(self) -> None:
        """Polls all instances until it is cancelled. Raises HollowLost, HollowUnresponsive or RigError."""
        while True:
            await self.poll()
            self.check_real()
            await asyncio.sleep(POLL_S)

    def running_instances(self) -> list[str]:
        """Returns the names of hollow instances whose process isn't killed or stopped by a day."""
        return [
            placement.name
            for name, process in self.hollow.items()
            if name not in self.taken_down
            for placement in process.host.placements
        ]

    def newest_version(self) -> int:
        """Returns the number of the newest version that any hollow instance has reported; 0: none."""
        return max((view.newest for view in self.views.values()), default=0)

    async def wait_until_settled(self, within_s: float = SETTLE_TIMEOUT_S) -> None:
        """Waits until every running hollow instance has been seen to decide by the newest version.

        They need not do so all at the same moment, because leases can be late on a busy machine. Raises
        HollowUnresponsive, with the name of an instance, on timeout."""
        end_s = time.monotonic() + within_s
        seen: set[str] = set()
        newest = 0
        while True:
            await self.poll()
            if self.newest_version() != newest:
                newest = self.newest_version()
                seen.clear()
            seen |= {
                name for name in self.running_instances() if newest and self.views[name].version == newest
            }
            missing = [name for name in self.running_instances() if name not in seen]
            if not missing:
                return
            if time.monotonic() > end_s:
                raise HollowUnresponsive(
                    f"{missing[0]}: does not decide by version {newest} after {within_s:g} s, "
                    f"nor do {len(missing) - 1} others"
                )
            await asyncio.sleep(READY_POLL_S)

    def core_wait_share(self) -> float:
        """Returns the share of the time since its start in which a process was ready to run but had no core.

        It is the median over the processes of hollow instances."""
        shares = [
            waited_s(process.pid) / max(1.0, time.monotonic() - self._started_s[name])
            for name, process in self.hollow.items()
            if process.up and name in self._started_s
        ]
        return median(shares) if shares else 0.0

    async def sample(self) -> dict[str, Sample]:
        """Samples the running processes of hollow and real instances, by the name of the process."""
        children: dict[str, Child] = {**self.hollow, **self.real}
        samples: dict[str, Sample] = {}
        for name, child in children.items():
            if name in self.taken_down:
                continue
            traffic = (await child.order(do="look"))["traffic"]
            pid = child.pid
            samples[name] = Sample(cpu_time_s(pid), resident_kb(pid), waited_s(pid), traffic)
        return samples

    # Faults

    async def kill_host(self, host: HostProcess) -> None:
        self.taken_down.add(host.name)
        await self.hollow[host.name].kill()

    async def restart_host(self, host: HostProcess) -> None:
        await self.start_host(host)
        self._cpu_s.pop(host.name, None)
        self._just_started.add(host.name)
        self.taken_down.discard(host.name)

    async def pause_host(self, host: HostProcess) -> None:
        self.taken_down.add(host.name)
        await self.hollow[host.name].pause()

    async def resume_host(self, host: HostProcess) -> None:
        process = self.hollow[host.name]
        process.signal(signal.SIGCONT)
        self._just_started.add(host.name)  # its timers are late because it was stopped
        self.taken_down.discard(host.name)

    async def restart_instance(self, host: HostProcess, placement: Placement) -> None:
        """Closes an instance and starts it again from its folder, in the same process."""
        path = str(self.home(placement) / INSTANCE_FILE_NAME)
        await self.hollow[host.name].ask("restart", name=placement.name, path=path)

    def _agreement_children(self, region: str | None = None) -> list[tuple[Child, HostProcess]]:
        """Returns running processes that take part in the agreement, of one region or of all."""
        children: dict[str, Child] = {**self.hollow, **self.real}
        return [
            (children[host.name], host)
            for host in self.layout.hosts
            if host.role is not Role.PLAIN
            and host.name not in self.taken_down
            and region in (None, host.placements[0].region)
        ]

    async def drop_datagrams(self, share: float) -> None:
        """Drops this share of all datagrams that are sent from now on; 0 ends the loss."""
        all_hosts = [placement.host for placement in self.layout.placements]
        kind = "loss" if share else ""
        for child, _ in self._agreement_children():
            await child.order(do="datagrams", to=all_hosts, kind=kind, share=share)

    async def cut_region(self, region: str, cut: bool) -> dict[str, int]:
        """Cuts datagrams and streams between a region and the others, or restores them.

        Returns how many datagrams and dials the fault layers have held back so far, by kind."""
        inside = [placement.host for placement in self.layout.placements if placement.region == region]
        outside = [placement.host for placement in self.layout.placements if placement.region != region]
        kind = "loss" if cut else ""
        held_back: dict[str, int] = {}
        for child, host in self._agreement_children():
            others = outside if host.placements[0].region == region else inside
            await child.order(do="streams", to=others, cut=cut)
            answer = await child.order(do="datagrams", to=others, kind=kind, share=1.0)
            for what, count in answer["counts"].items():
                held_back[what] = held_back.get(what, 0) + count
        return held_back

    # End

    async def end(self) -> None:
        """Ends every process, whatever its state. Raises RigError if one is left."""
        if self._lateness_task is not None:
            self._lateness_task.cancel()
        helpers = [*self.clients, *self.servers, self.authors, self.discovery]
        children = [*self.hollow.values(), *self.real.values()]
        pids = {child.name: child.pid for child in [*helpers, *children] if child.pid}
        await asyncio.gather(*(child.kill() for child in children))
        await asyncio.gather(*(helper.end() for helper in helpers))
        self._address_claim.release()
        shutil.rmtree(self.tmpfs, ignore_errors=True)
        for name, pid in pids.items():
            if process_state(pid) not in ("", "Z"):
                raise RigError(f"{name}: process {pid} is still running after the end of the run")


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def _split(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)
