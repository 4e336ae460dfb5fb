"""A chain of services, each behind a client proxy of its own, by its depth.

Measures the time that the depth adds to a call, the rest of the deadline at the leaf, and how many attempts
reach a failing leaf. Each level is a real `client-proxy serve` with a list of three servers, which are one
process (`chain_service`) at three addresses; it calls the next level's proxy. A small, fixed number of calls
is made open loop, first to a healthy chain and then to one whose leaf answers every call with 500."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

from benchmarks.scale.chain_http import HttpClient, HttpError
from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.data_path import quantiles
from benchmarks.scale.processes import children, serve, serve_text, servers_text
from client_proxy.fault_injection.child_process import Child
from client_proxy.fault_injection.fleet import loopback_prefix

LEVELS = (1, 3, 8, 16, 26)
SERVERS = 3
DEADLINE_MS = 2000.0
CALLS_PER_S = 8.0
CALLS = 40
WARM_CALLS = 8
PROXY_PORT, SERVICE_PORT = 8700, 8800  # plus the level; the addresses belong to this process only
MAX_PARALLEL_STARTS = 6  # levels that are started at the same time
REFUSED = 503  # status by which a proxy refuses a call


@dataclass(frozen=True, slots=True)
class Answer:
    """Result of one call.

    `status` is 0 without a response within the deadline; `late_ms` is how late the load sent the call."""

    trace: str
    status: int
    took_ms: float
    late_ms: float


def _proxy(level: int) -> str:
    return f"{loopback_prefix()}.1:{PROXY_PORT + level}"


def _services(level: int) -> list[str]:
    return [f"{loopback_prefix()}.{10 + n}:{SERVICE_PORT + level}" for n in range(SERVERS)]


@dataclass(frozen=True, slots=True)
class Chain:
    """A chain to start.

    If it `fails`, its leaf answers every call with 500. Without `proxies` each service calls the next
    directly."""

    depth: int
    fails: bool = False
    proxies: bool = True

    def entry(self, level: int) -> str:
        """Returns the address that calls of a level go to."""
        return _proxy(level) if self.proxies else _services(level)[0]


async def _start_level(level: int, chain: Chain, folder: Path, started: list[Child]) -> None:
    """Starts service and proxy of a level. Raises RigError if a process ends before it listens."""
    service = Child(f"service-{level}", folder)
    started.append(service)
    arguments = [*_services(level)]
    if level < chain.depth:
        arguments += ["--next", chain.entry(level + 1)]
    else:
        arguments += ["--tally", str(folder / "tally.jsonl"), *(["--fail"] if chain.fails else [])]
    await service.start("benchmarks.scale.chain_service", *arguments)
    if chain.proxies:
        await _start_proxy(level, folder, started)
    await service.wait_until_listening(SERVICE_PORT + level)


async def _start_proxy(level: int, folder: Path, started: list[Child]) -> None:
    (folder / f"servers-{level}.toml").write_text(servers_text(_services(level)))
    servers_table = f'[servers]\nfile = "servers-{level}.toml"\nsettle_ms = 0'
    proxy = await serve(f"proxy-{level}", folder, serve_text("p", _proxy(level), DEADLINE_MS, servers_table))
    started.append(proxy)
    await proxy.wait_until_listening(PROXY_PORT + level)


async def _call(client: HttpClient, trace: str, due_s: float) -> Answer:
    """Makes one call; its duration counts from its due time."""
    late_ms = 1000.0 * (time.monotonic() - due_s)
    status = 0
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000.0):
            status = await client.call(trace, DEADLINE_MS)
    except (TimeoutError, OSError, HttpError):
        pass
    return Answer(trace, status, 1000.0 * (time.monotonic() - due_s), late_ms)


async def _offer(host: str, port: int, calls: int, name: str) -> list[Answer]:
    """Makes evenly spaced calls, open loop."""
    client = HttpClient(host, port)
    begin_s = time.monotonic()
    tasks = []
    for number in range(calls):
        due_s = begin_s + number / CALLS_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.create_task(_call(client, f"{name}-{number}", due_s)))
    answers = await asyncio.gather(*tasks)
    client.close()
    return list(answers)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class ChainRun:
    """Results of the calls to one chain; `direct` are calls of the leaf itself."""

    answers: Sequence[Answer]
    direct: Sequence[Answer]
    leaf_calls: Counter[str]  # attempts at the leaf, by trace id
    left_ms: Sequence[float]  # rest of the deadline at each attempt at the leaf


async def run(chain: Chain, calls: int = CALLS) -> ChainRun:
    """Starts a chain, makes the calls and ends it. Direct calls of the leaf have the same spacing."""
    depth, fails = chain.depth, chain.fails
    with tempfile.TemporaryDirectory(prefix="chain-") as folder_name:
        folder = Path(folder_name)
        async with children() as started:
            for first in range(1, depth + 1, MAX_PARALLEL_STARTS):
                levels = range(first, min(first + MAX_PARALLEL_STARTS, depth + 1))
                await asyncio.gather(*(_start_level(n, chain, folder, started) for n in levels))
            await asyncio.sleep(0.5)  # time for the proxies to read their server lists
            entry, leaf = _address(chain.entry(1)), _address(_services(depth)[0])
            if not fails:
                await _offer(*entry, WARM_CALLS, "warm")
            answers = await _offer(*entry, calls, "call")
            direct = [] if fails else await _offer(*leaf, calls, "direct")
            entries = [json.loads(line) for line in (folder / "tally.jsonl").read_text().splitlines()]
            call_entries = [each for each in entries if each["trace"].startswith("call-")]
            leaf_calls = Counter(str(each["trace"]) for each in call_entries)
            return ChainRun(answers, direct, leaf_calls, [float(each["left_ms"]) for each in call_entries])


def measure(depth: int, calls: int = CALLS) -> Readings:
    """Measures a healthy chain and a failing one."""
    healthy = asyncio.run(run(Chain(depth), calls))
    failing = asyncio.run(run(Chain(depth, fails=True), calls))
    durations = quantiles([answer.took_ms for answer in healthy.answers])
    direct = quantiles([answer.took_ms for answer in healthy.direct])
    statuses = Counter(answer.status for answer in failing.answers)
    attempts = [failing.leaf_calls.get(answer.trace, 0) for answer in failing.answers]
    return {
        "served": sum(answer.status == 200 for answer in healthy.answers) / calls,
        "added_p50": durations.p50 - direct.p50,
        "added_most": durations.most - direct.most,
        "left": mean(healthy.left_ms) if healthy.left_ms else 0.0,
        "attempts": mean(attempts),
        "attempts_first": float(attempts[0]),
        "attempts_most": float(max(attempts)),
        "told_refused": statuses[REFUSED] / calls,
        "told_error": sum(count for status, count in statuses.items() if status >= 500) / calls
        - statuses[REFUSED] / calls,
        "unanswered": statuses[0] / calls,
        "late": quantiles([answer.late_ms for answer in healthy.answers]).most,
        "told_p50": quantiles([answer.took_ms for answer in failing.answers]).p50,
    }


def measure_without_proxies(depth: int, calls: int = CALLS) -> Readings:
    """Measures the time that the services of the chain add by themselves to a call of the leaf."""
    healthy = asyncio.run(run(Chain(depth, proxies=False), calls))
    durations = quantiles([answer.took_ms for answer in healthy.answers])
    direct = quantiles([answer.took_ms for answer in healthy.direct])
    return {"added_p50": durations.p50 - direct.p50}


WITHOUT_PROXIES = Cost(
    name="chain_without_proxies",
    axis="levels",
    sizes=LEVELS,
    basis="real processes",
    quantities=(Quantity("added_p50", "ms, chain well"),),
    measure=measure_without_proxies,
)

COST = Cost(
    name="depth",
    axis="levels",
    sizes=LEVELS,
    basis="real processes",
    quantities=(
        Quantity("served", "of the calls, chain well"),
        Quantity("added_p50", "ms, chain well"),
        Quantity("added_most", "ms, chain well, slowest of 40"),
        Quantity("left", "ms of 2,000 at the leaf, chain well"),
        Quantity("attempts", "attempts at the failing leaf a call"),
        Quantity("attempts_first", "attempts at the failing leaf by the first call"),
        Quantity("attempts_most", "attempts at the failing leaf by one call"),
        Quantity("told_refused", "of the calls, leaf failing"),
        Quantity("told_error", "of the calls, leaf failing"),
        Quantity("unanswered", "of the calls, leaf failing"),
        Quantity("told_p50", "ms, leaf failing"),
        Quantity("late", "ms that the load's own timers were late at most"),
    ),
    measure=measure,
)
