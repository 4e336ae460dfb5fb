"""A small deployment: servers in three zones, discovery, client proxies, and a client beside each proxy."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.client import ClassOfRequests, Client, Try
from standins.discovery import Discovery
from standins.proxies import CATEGORIES, ProxyProcess, settings
from standins.record import Record
from standins.server import Exchange, Server

ZONES = ("hall-lozenets", "hall-mladost", "hall-lyulin")
WORK_MS = {"extract-issue": 45.0, "entry-register": 90.0}
# A try is given up after 53 to 63 % of the class's deadline (the users' page on the site).
CLASSES = [
    ClassOfRequests("extract-issue", "dedup", 0.62, (636, 756)),
    ClassOfRequests("entry-register", "fragile", 0.38, (795, 945)),
]
# Exit codes of a case. `run.sh` turns 11 into 1: Python itself ends with 1 after any error of a stand-in.
HELD, BROKEN, NOT_RUN = 0, 11, 2
LOOK_S = 0.02  # between two looks at the clock and at the memory of the proxies
MAX_RUN_S = 105.0
MAX_LATE_MS = 150.0  # stand-ins that were held up for longer can't tell what was late


def trouble() -> bool:
    """Return whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass
class Deployment:
    """All parts, started together and ended together."""

    folder: Path
    server_count: int = 9
    proxy_count: int = 3
    rate_per_s: float = 80.0
    classes: list[ClassOfRequests] = field(default_factory=lambda: CLASSES)
    categories: list[dict[str, Any]] = field(default_factory=lambda: CATEGORIES)
    work_ms: dict[str, float] = field(default_factory=lambda: WORK_MS)
    changes: dict[str, Any] = field(default_factory=dict)
    memory_mb: int = 192

    def __post_init__(self) -> None:
        self.record = Record(self.folder / "record.txt")
        self.servers = [
            Server(
                f"s-{number:02d}", self.record, self.work_ms, ZONES[number % 3], number % 3, seed=number + 1
            )
            for number in range(self.server_count)
        ]
        self.discovery = Discovery(self.record, lambda: [server.entry() for server in self.servers])
        self.crashes: list[str] = []
        self.most_late_ms = 0.0
        self.proxies: list[ProxyProcess] = []
        self.clients: list[Client] = []

    async def start(self) -> bool:
        """Start everything; return whether all proxies are ready."""
        for server in self.servers:
            await server.start()
        await self.discovery.start()
        for number in range(self.proxy_count):
            facts = settings(
                self.categories, self.proxy_count, number, zone=ZONES[number % 3], **self.changes
            )
            proxy = ProxyProcess.configured(number, facts, self.discovery.port, self.record)
            proxy.config["limits"]["memory_mb"] = self.memory_mb
            self.proxies.append(proxy)
            await proxy.start()
            client = Client(proxy.name, proxy.port, self.record, self.classes, self.rate_per_s, 100 + number)
            self.clients.append(client)
        return all(await asyncio.gather(*(client.wait_until_ready() for client in self.clients)))

    async def watch(self) -> None:
        """Act as the platform: end a proxy that is over its memory. Note how late the stand-ins are."""
        while True:
            due_ms = self.record.now_ms() + 1000.0 * LOOK_S
            await asyncio.sleep(LOOK_S)
            late_ms = self.record.now_ms() - due_ms
            if late_ms > self.most_late_ms:
                self.most_late_ms = late_ms
            for proxy in self.proxies:
                crash = proxy.crash()
                if crash and crash not in self.crashes:
                    self.crashes.append(crash)
                    self.record.add("crash", text=crash)

    async def end(self) -> None:
        """End all processes and servers."""
        self.discovery.stopped = True
        for proxy in self.proxies:
            await proxy.end()
        for server in self.servers:
            server.stop()

    @property
    def tries(self) -> list[Try]:
        """Return all tries of all clients."""
        return [one for client in self.clients for one in client.tries]

    @property
    def exchanges(self) -> list[Exchange]:
        """Return all requests that servers received."""
        return [one for server in self.servers for one in server.exchanges]


Script = Callable[[Deployment], Awaitable[None]]
Judge = Callable[[Deployment], list[str]]


def run_case(deployment: Deployment, script: Script, judge: Judge) -> int:
    """Run a case; return the exit code of its script."""

    async def play() -> int:
        try:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
            async with asyncio.timeout(MAX_RUN_S):
                if not await deployment.start():
                    deployment.record.write(["could not run: a client proxy was not ready"])
                    return NOT_RUN
                watch = asyncio.create_task(deployment.watch())
                await script(deployment)
                watch.cancel()
        except TimeoutError:
            deployment.record.write(["could not run: it took too long"])
            return NOT_RUN
        finally:
            await deployment.end()
        broken = judge(deployment)
        deployment.record.write([*summary(deployment), *broken])
        only_lost = all(line.startswith("LOST") for line in broken)
        if broken and only_lost and deployment.most_late_ms > MAX_LATE_MS:
            return NOT_RUN  # the stand-ins may have been late, not the client proxies
        return BROKEN if broken else HELD

    code = asyncio.run(play())
    print("\n".join(deployment.record.path.read_text(encoding="utf-8").split("\n\n")[0].splitlines()[:30]))
    return code


def summary(deployment: Deployment) -> list[str]:
    """Return what was sent, answered and run, in figures."""
    counts: dict[str, int] = {}
    for one in deployment.tries:
        how = str(one.status) if one.status else f"none ({one.ending})"
        counts[how] = counts.get(how, 0) + 1
    ran = sum(exchange.ran for exchange in deployment.exchanges)
    return [
        f"trouble: {'yes' if trouble() else 'no'}",
        f"tries {len(deployment.tries)}, answers by status {counts}",
        f"received by servers {len(deployment.exchanges)}, run {ran}",
        f"most memory of a proxy {max(proxy.most_mb for proxy in deployment.proxies):.0f} MB",
        f"the stand-ins were at most {deployment.most_late_ms:.0f} ms late",
    ]


def foreign_answers(deployment: Deployment) -> list[str]:
    """Return the tries that were served with a body that no server made for them."""
    made: dict[str, set[bytes]] = {}
    for server in deployment.servers:
        for trace_id, bodies in server.sent_bodies.items():
            made.setdefault(trace_id, set()).update(bodies)
    return [
        f"FOREIGN {one.cls} {one.trace_id} at {one.proxy} was served {one.body.decode('latin-1')!r}"
        for one in deployment.tries
        if one.status == 200 and one.body not in made.get(one.trace_id, set())
    ]


def crashes(deployment: Deployment) -> list[str]:
    """Return the crashes: proxies that ended, or were ended for their memory."""
    return [f"CRASH {text}" for text in deployment.crashes]


def lost_requests(deployment: Deployment, slack_ms: float = 500.0) -> list[str]:
    """Return the tries without a final answer until half a second after their time.

    What a proxy held that was killed is left for its clients to retry, so it does not count.
    """
    killed = {text.split()[0] for text in deployment.crashes}
    return [
        f"LOST {one.cls} {one.trace_id} at {one.proxy}: {one.ending or one.answered_ms - one.sent_ms}"
        for one in deployment.tries
        if (not one.status and one.proxy not in killed and not one.ending.startswith("not connected"))
        or (one.status and one.answered_ms > one.sent_ms + one.expires_ms + slack_ms)
    ]


def repeated_effects(deployment: Deployment) -> list[str]:
    """Return the unsafe requests that ran more than once."""
    runs: dict[str, int] = {}
    unsafe = {cls.name for cls in deployment.classes if cls.effect == "fragile"}
    for exchange in deployment.exchanges:
        if exchange.ran and exchange.cls in unsafe:
            runs[exchange.resource] = runs.get(exchange.resource, 0) + 1
    return [f"TWICE {resource} ran {count} times" for resource, count in runs.items() if count > 1]


def late_sends(deployment: Deployment, grace_ms: float = 1050.0) -> list[str]:
    """Return the requests that began at a server later than the grace after its drain was told."""
    told_ms = {
        name: at_ms
        for (name, status), at_ms in deployment.discovery.told_ms.items()
        if status in ("draining", "gone")
    }
    return [
        f"DRAIN {one.trace_id} at {one.server} {one.first_ms - told_ms[one.server]:.0f} ms after"
        for one in deployment.exchanges
        if one.first_ms > told_ms.get(one.server, float("inf")) + grace_ms
    ]
