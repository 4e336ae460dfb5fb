"""Runs the days of a plan: which changes and faults happen when. Each day undoes its faults at its end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from random import Random

from client_proxy.scale.fleet import Fleet
from client_proxy.scale.measure import DayEvents
from client_proxy.scale.plan import DayTable
from client_proxy.scale.topology import HostProcess, Placement, Role

FAULT_START_SHARE = 1 / 6  # share of the day's length after which its fault begins
AUTHOR_GRACE_S = 30.0  # time after the day's end in which authors may still begin a try


class DayCourse:
    """Runs one day on a fleet that is running and settled."""

    def __init__(self, fleet: Fleet, day: DayTable, number: int) -> None:
        self._fleet, self._day, self._number = fleet, day, number
        self._random = Random(f"{fleet.plan.seed}/{number}")
        self.events = DayEvents()
        self.begin_s = time.monotonic()

    async def run_to_end(self) -> None:
        """Runs the day to its end. Raises HollowLost, HollowUnresponsive or RigError."""
        actions: dict[str, Callable[[], Awaitable[None]]] = {
            "quiet": self._stay_quiet,
            "changes": self._outages_and_loss,
            "restarts": self._restart_followers,
            "zone-back": self._kill_zone,
            "rack": self._kill_rack,
            "control-down": self._kill_control_machines,
            "region-cut": self._cut_region,
            "start-all": self._restart_all,
        }
        self.begin_s = time.monotonic()
        changes = asyncio.create_task(self._propose_changes())
        try:
            await actions[self._day.kind]()
            await changes
            await self._sleep_until(self._day.length_s)
        finally:
            changes.cancel()

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.begin_s + at_s - time.monotonic()))

    async def _stay_quiet(self) -> None:
        """Does nothing; the day only measures."""

    async def _propose_changes(self) -> None:
        """Proposes the day's changes in rounds, spread evenly over the day.

        In each round every author proposes one change at the same time, for a service of its own."""
        day, plan = self._day, self._fleet.plan
        rounds = -(-day.changes // day.authors)
        for number in range(day.changes):
            round_number, author = divmod(number, day.authors)
            await self._sleep_until(day.length_s * (round_number + 0.5) / rounds)
            service = (author + day.authors * round_number) % min(plan.policy.services, plan.policy.servers)
            await self._propose_change(number, author, service)

    async def _propose_change(self, number: int, author: int, service: int) -> None:
        control = f"control-{author % self._fleet.plan.control}"
        await self._fleet.authors.ask(
            "change",
            name=f"day-{self._number}-{number}",
            author=author,
            service=service,
            by=control,
            home=str(self._fleet.folder / control),
            control=str(self._fleet.files.control_socket(control)),
            folder=str(self._fleet.folder),
            until_s=self.begin_s + self._day.length_s + AUTHOR_GRACE_S,
        )

    # Faults

    def _instance_names(self, hosts: Iterable[HostProcess]) -> list[str]:
        return [placement.name for host in hosts for placement in host.placements]

    async def _kill_hosts(self, hosts: list[HostProcess]) -> None:
        for host in hosts:
            await self._fleet.kill_host(host)

    async def _restart_hosts(self, hosts: list[HostProcess]) -> None:
        """Starts killed processes again, all at once."""
        at_s = time.monotonic()
        self.events.returns += [(name, at_s) for name in self._instance_names(hosts)]
        await asyncio.gather(*(self._fleet.restart_host(host) for host in hosts))

    async def _kill_for_fault_length(self, hosts: list[HostProcess]) -> None:
        """Kills the processes at the beginning of the day's fault and restarts them at its end."""
        await self._sleep_until(self._day.length_s * FAULT_START_SHARE)
        absences = self.events.add_absences(self._instance_names(hosts), time.monotonic())
        await self._kill_hosts(hosts)
        await asyncio.sleep(self._day.fault_length_s)
        await self._restart_hosts(hosts)
        for absence in absences:
            absence.to_s = time.monotonic()

    async def _outages_and_loss(self) -> None:
        """Kills some hollow instances, stops others and drops datagrams until the end of the day."""
        day, fleet = self._day, self._fleet
        alone = [h for h in fleet.layout.hosts_of(Role.FOLLOWER) if h.name.startswith("alone-")]
        down, stopped = alone[: day.down], alone[day.down : day.down + day.stopped]
        absences = self.events.add_absences(self._instance_names([*down, *stopped]), time.monotonic())
        if day.loss:
            await fleet.drop_datagrams(day.loss)
        await self._kill_hosts(down)
        for host in stopped:
            await fleet.pause_host(host)
        await self._sleep_until(day.length_s)
        if day.loss:
            await fleet.drop_datagrams(0.0)
        for host in stopped:
            await fleet.resume_host(host)
        if down:
            await self._restart_hosts(down)
        for absence in absences:
            absence.to_s = time.monotonic()

    async def _restart_followers(self) -> None:
        """Restarts randomly chosen followers one after the other, spread evenly over the day."""
        day, fleet = self._day, self._fleet
        choices = [
            (host, placement)
            for host in fleet.layout.hosts_of(Role.FOLLOWER)
            for placement in host.placements
        ]
        chosen = self._random.sample(choices, min(day.restarts, len(choices)))
        for nth, (host, placement) in enumerate(chosen):
            await self._sleep_until(day.length_s * (nth + 0.5) / len(chosen))
            await self._restart_follower(host, placement)

    async def _restart_follower(self, host: HostProcess, placement: Placement) -> None:
        at_s = time.monotonic()
        absence = self.events.add_absences([placement.name], at_s)[0]
        self.events.returns.append((placement.name, at_s))
        await self._fleet.restart_instance(host, placement)
        absence.to_s = time.monotonic()

    def _hosts_in_zone(self, zone: str, *roles: Role) -> list[HostProcess]:
        return [host for host in self._fleet.layout.hosts_of(*roles) if host.placements[0].zone == zone]

    async def _kill_zone(self) -> None:
        await self._kill_for_fault_length(self._hosts_in_zone(self._day.zone, Role.FOLLOWER))

    async def _kill_rack(self) -> None:
        """Kills one process of the zone's followers together with control machines."""
        control = self._fleet.layout.hosts_of(Role.CONTROL)[-self._day.control :] if self._day.control else []
        await self._kill_for_fault_length(
            [*self._hosts_in_zone(self._day.zone, Role.FOLLOWER)[-1:], *control]
        )

    async def _kill_control_machines(self) -> None:
        count = self._day.control
        await self._kill_for_fault_length(self._fleet.layout.hosts_of(Role.CONTROL)[-count:] if count else [])

    async def _cut_region(self) -> None:
        day, fleet = self._day, self._fleet
        names = [
            p.name for p in fleet.layout.placements if p.region == day.region and p.role is not Role.PLAIN
        ]
        await self._sleep_until(day.length_s * FAULT_START_SHARE)
        before = await fleet.cut_region(day.region, True)
        absences = self.events.add_absences(names, time.monotonic())
        await asyncio.sleep(day.fault_length_s)
        after = await fleet.cut_region(day.region, False)
        at_s = time.monotonic()
        for absence in absences:
            absence.to_s = at_s
        self.events.healed += [(name, at_s) for name in names]
        lost = after.get("loss", 0) - before.get("loss", 0)
        dials = after.get("stream-cut", 0) - before.get("stream-cut", 0)
        self.events.notes.append(
            f"cut for {day.fault_length_s:g} s: {lost} datagrams, {dials} dials held back"
        )

    async def _restart_all(self) -> None:
        """Kills all processes of hollow instances and starts them all at once."""
        await self._sleep_until(self._day.length_s * FAULT_START_SHARE)
        hosts = self._fleet.layout.hosts_of(Role.CONTROL, Role.FOLLOWER)
        absences = self.events.add_absences(self._instance_names(hosts), time.monotonic())
        await self._kill_hosts(hosts)
        await self._restart_hosts(hosts)
        for absence in absences:
            absence.to_s = time.monotonic()
