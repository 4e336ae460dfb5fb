"""Carries out one run of the restart soak against a real proxy process."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from client_proxy.api.settings import Idempotency
from client_proxy.fault_injection.child_process import (
    ROOT,
    SYN_SENT,
    Child,
    descriptors,
    handles_signal,
    process_state,
    tcp_sockets,
)
from client_proxy.fault_injection.fleet import loopback_prefix
from client_proxy.fault_injection.soak.clients import READY_REQUEST, ClientConnection, IdleCrowd
from client_proxy.fault_injection.soak.history import History, ProcessEnd, ResourceCount
from client_proxy.fault_injection.soak.rules import Breach, check
from client_proxy.fault_injection.soak.schedule import (
    FIRST_PHASE_S,
    REST_S,
    STOP_S,
    ClientPlan,
    Schedule,
    SignalPlan,
    draw_schedule,
)
from client_proxy.fault_injection.soak.servers import ScriptedDiscovery, ScriptedServer

MODULE, OPERATORS = "client_proxy.proxy", "deploy/platform.toml"
START_TIMEOUT_S = 30.0  # longest start of the proxy
HOST, PORT = 240, 8080  # last number of the proxy's loopback address, and its port
EARLY_END_TIMEOUT_S = 10.0  # longest end of a proxy that is terminated while it starts
POLL_S = 0.01  # between two looks at a state that has no event, and period of the lateness timer
START_SERIES_GAP_S = 0.01  # between two SIGHUPs to a proxy that is starting
ESTABLISHED, CLOSE_WAIT = "01", "08"  # socket states in /proc/net/tcp
MAX_LATENESS_S = 0.25  # lateness of the harness's own timers above which there is no verdict
IDEMPOTENCY_NAMES = {
    Idempotency.IDEMPOTENT: "retryable",
    Idempotency.IDEMPOTENCY_KEY: "dedup",
    Idempotency.NOT_IDEMPOTENT: "fragile",
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run.

    Attributes:
        seed: Its seed.
        outcome: `passed`, `failed`, or `refused` if the machine was too busy for a verdict.
        requests: Number of requests that clients sent.
        served: Number of requests that were answered with 200.
        lateness_s: The largest lateness of the harness's own timers.
        breaches: The broken rules.
    """

    seed: int
    outcome: str
    requests: int
    served: int
    lateness_s: float
    breaches: list[Breach] = field(default_factory=list)


class RestartRun:
    """One run of a schedule. Used once, inside an event loop."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.folder = schedule, folder
        self.history = History()
        self._classes = {cls.name: cls for cls in schedule.classes}
        self._servers = [ScriptedServer(plan, schedule.seed, self.history) for plan in schedule.servers]
        self._discoveries = [ScriptedDiscovery(self._servers) for _ in range(2)]
        self._discovery = 0  # index of the one in the proxy's configuration
        self._child = Child("proxy", folder)
        self._address = ("127.0.0.1", 0)
        self._start_s = 0.0
        self._clients: dict[ClientConnection, ClientPlan] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._crowd = IdleCrowd(schedule.crowd, self._address)

    async def play(self) -> None:
        """Carry out the schedule and fill the history. Raises RigError if the proxy does not start."""
        lateness = asyncio.create_task(self._watch_lateness())
        try:
            await self._listen()
            for after_s in self.schedule.early_terminations_s:
                await self._terminate_early(after_s)
            await self._start_proxy()
            self._begin_schedule()
            await self._first_phase()
            await self._await_end()
        finally:
            lateness.cancel()
            await self._clean_up()
            with suppress(asyncio.CancelledError):
                await lateness

    # Start

    async def _listen(self) -> None:
        for server in self._servers:
            await server.listen()
        for discovery in self._discoveries:
            await discovery.listen()
        # Each run has its own address: a free port of a shared one could be taken by another run before use.
        self._address = (f"{loopback_prefix(self.schedule.seed)}.{HOST}", PORT)
        self._crowd = IdleCrowd(self.schedule.crowd, self._address)

    def _write_configuration(self) -> None:
        host, port = self._address
        discovery = self._discoveries[self._discovery]
        config = {
            "name": "soak",
            "listen": f"{host}:{port}",
            "discovery": "{}:{}".format(*discovery.address),
            "seed": f"{self.schedule.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.schedule.descriptors},
            "settings": platform_settings(self.schedule),
            "known": self._discoveries[0].known(),
        }
        draft = self.folder / "config.new"
        draft.write_text(json.dumps(config))
        draft.replace(self.folder / "config.json")

    async def _begin_process(self) -> None:
        self._write_configuration()
        environment = {"LB_CONFIG": str(self.folder / "config.json")}
        await self._child.start(MODULE, "--operators", OPERATORS, cwd=ROOT, env=environment)

    async def _terminate_early(self, after_s: float) -> None:
        await self._begin_process()
        await asyncio.sleep(after_s)
        self._signal(signal.SIGTERM)
        await self._child.wait_for_exit(EARLY_END_TIMEOUT_S)
        await self._record_end(early=True)

    async def _start_proxy(self) -> None:
        """Start the proxy that serves. It gets SIGHUPs from when it handles the signal until it is ready."""
        await self._begin_process()
        await self._wait_until(self._handles_hangup)
        hangups = asyncio.create_task(self._send_hangups())
        try:
            await self._child.wait_until_listening(self._address[1], START_TIMEOUT_S)
            await self._poll_until_ready()
        finally:
            hangups.cancel()
        limit = (self.schedule.descriptors, self.schedule.descriptors)
        resource.prlimit(self._child.pid, resource.RLIMIT_NOFILE, limit)
        self._count_resources()

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition that has no event, or for the proxy's end."""
        while self._child.up and not condition():  # noqa: ASYNC110 - a state in /proc, with no event to wait for
            await asyncio.sleep(POLL_S)

    async def _poll_until_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while self._child.up:
                if await self._is_ready():
                    return
                await asyncio.sleep(POLL_S)

    def _handles_hangup(self) -> bool:
        return handles_signal(self._child.pid, signal.SIGHUP)

    async def _send_hangups(self) -> None:
        while self._child.up:
            self._signal(signal.SIGHUP)
            await asyncio.sleep(START_SERIES_GAP_S)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self._address)
            writer.write(READY_REQUEST)
            line = await reader.readline()
            writer.close()
            await writer.wait_closed()
        except OSError:
            return False
        return b" 200 " in line

    # The schedule

    def _begin_schedule(self) -> None:
        schedule, loop = self.schedule, asyncio.get_running_loop()
        self._start_s = loop.time()
        for server in self._servers:
            server.schedule_faults(self._start_s, self._publish)
        for at_s in schedule.reloads_s:
            loop.call_at(self._start_s + at_s, self._reload)
        for at_s in schedule.stops_s:
            loop.call_at(self._start_s + at_s, self._signal, signal.SIGSTOP)
            loop.call_at(self._start_s + at_s + STOP_S, self._signal, signal.SIGCONT)
        loop.call_at(self._start_s + schedule.terminate_s, self._signal, signal.SIGTERM)
        for planned in schedule.series:
            loop.call_at(self._start_s + planned.at_s, self._signal_planned, planned)
        for plan in schedule.clients:
            self._spawn(self._run_client(plan))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(self._start_s + at_s - asyncio.get_running_loop().time())

    def _publish(self, name: str, status: str) -> None:
        for discovery in self._discoveries:
            discovery.publish(name, status)

    def _reload(self) -> None:
        self._discovery = 1 - self._discovery
        self._write_configuration()
        self._signal(signal.SIGHUP)

    def _signal(self, number: int) -> None:
        with suppress(ProcessLookupError):
            if self._child.up and self._child.process is not None:
                self._child.process.send_signal(number)

    def _signal_planned(self, planned: SignalPlan) -> None:
        self._signal(planned.number)

    async def _run_client(self, plan: ClientPlan) -> None:
        await self._sleep_until(plan.connect_s)
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(plan, self._classes, self.history), *self._address
            )
        except OSError:
            self.history.refused_connections_s.append(loop.time() - self._start_s)
            return
        self._clients[connection] = plan
        await connection.use()

    async def _first_phase(self) -> None:
        await self._sleep_until(FIRST_PHASE_S)
        for connection, plan in list(self._clients.items()):
            if plan.first_phase:
                connection.leave()
        await self._sleep_until(FIRST_PHASE_S + REST_S)
        self._count_resources()
        if self.schedule.crowd:
            self._spawn(self._crowd.connect())

    def _count_resources(self) -> None:
        pid = self._child.pid
        ports = {server.address[1] for server in self._servers}
        upstream = [
            remote
            for state in (ESTABLISHED, SYN_SENT, CLOSE_WAIT)
            for _, _, _, remote in tcp_sockets(pid, state)
            if remote in ports
        ]
        with suppress(OSError):
            threads = len(list(Path(f"/proc/{pid}/task").iterdir()))
            self.history.resources.append(ResourceCount(descriptors(pid) - len(upstream), threads))

    async def _await_end(self) -> None:
        """Wait for the proxy's end, and kill it at the earliest time at which the platform would."""
        loop = asyncio.get_running_loop()
        await self._child.wait_for_exit(self._start_s + self.schedule.kill_s - loop.time())
        if self._child.up:
            self.history.killed_s = loop.time()
            await self._child.kill()
        await self._record_end(early=False)
        await asyncio.gather(*self._tasks)

    async def _record_end(self, early: bool) -> None:
        killed = self.history.killed_s is not None  # not true for an early termination that hangs
        if self._child.up:
            await self._child.kill()
        code = await self._child.wait_for_exit(EARLY_END_TIMEOUT_S)
        log = self._child.log.read_text(errors="replace")
        self._child.log.unlink()
        self.history.ends.append(ProcessEnd(code or 0, killed, early, log))

    async def _clean_up(self) -> None:
        if self._child.up and process_state(self._child.pid) == "T":
            self._signal(signal.SIGCONT)
        await self._child.kill()
        self._crowd.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        for discovery in self._discoveries:
            discovery.close()

    async def _watch_lateness(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + POLL_S
            await asyncio.sleep(POLL_S)
            late_s = loop.time() - due_s
            self.history.worst_lateness_s = max(self.history.worst_lateness_s, late_s)


def platform_settings(schedule: Schedule) -> dict[str, Any]:
    """Return the proxy's settings in the platform's format."""
    categories = [
        {
            "name": cls.name,
            "aim_ms": 600.0 * cls.deadline_s,
            "deadline_ms": 1000.0 * cls.deadline_s,
            "effect": IDEMPOTENCY_NAMES[cls.idempotency],
            "group": "cell",
            "window_ms": 1000.0 * cls.window_s,
            "worth": 1.0,
        }
        for cls in schedule.classes
    ]
    bounds = {
        "max_attempts": 3, "connect_timeout_ms": 250.0, "conn_idle_ms": 400.0, "parallel_tries": True,
        "cancel": True,
    }  # fmt: skip
    safety = {
        "cold_ms": 1.0, "cold_share": 1.0, "fall_ms": 2000.0, "fall_multiple": 3.0,
        "drain_grace_ms": 1000.0, "must_ask_in_ms": 10000.0,
    }  # fmt: skip
    return {
        "balancers": 1, "zone": "a", "zones": ["a"], "bounds": bounds, "categories": categories,
        "discovery": "subscribe", "reporting": {"how": "inline", "fields": ["inflight", "queue"]},
        "safety": safety,
    }  # fmt: skip


async def play(seed: int, folder: Path) -> Verdict:
    """Draw the schedule of a seed, run it in a new folder, and return the verdict. Raises RigError."""
    folder.mkdir(parents=True)
    schedule = draw_schedule(seed, signal.SIGHUP, signal.SIGTERM)
    run = RestartRun(schedule, folder)
    await run.play()
    return judge(schedule, run.history)


def judge(schedule: Schedule, history: History) -> Verdict:
    """Return the verdict on a run."""
    breaches = check(schedule, history)
    served = sum(
        any(answer.status == 200 for answer in request.answers) for request in history.requests.values()
    )
    outcome = "failed" if breaches else "passed"
    if history.worst_lateness_s > MAX_LATENESS_S:
        outcome = "refused"
    return Verdict(schedule.seed, outcome, len(history.requests), served, history.worst_lateness_s, breaches)
