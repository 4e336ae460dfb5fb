"""The time that one real daemon adds to a call, by the number of servers in its list.

    python -m benchmarks.scale.data_path [--names 10 34 100 200 300 400 680] [--rate 294] [--length 5]
        [--rounds 3] [--own-ports] [--instances 1] [--daemons 1] [--operators FILE] [--checkouts DIR ...]
        [--samples FILE]

`client-proxy serve` with a watched list runs in a process of its own. Calls are open loop: each has a due
time from which its latency counts, so that a daemon that stands still is charged for every call that was due
meanwhile (coordinated omission). For each call a second one goes directly to a server half an interval later;
"added" is the difference of the two distributions at the same quantile. Ten server addresses that answer at
once are listed under N names, or each name has a port of its own.

A server file may contain each address only once, compared as text. Further names for the same address
therefore write its port with more leading zeros. The daemon treats each name as a server of its own.

Each round measures every size (and checkout) once. Prints JSON on standard output, and each sample as a line
on standard error when it is measured."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

import httptools
import uvloop

from client_proxy.checkout import package_name
from client_proxy.fault_injection.child_process import LISTEN, resident_kb, tcp_sockets, waited_s

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CLASS = "look-up"
ADDRESSES = 10  # server addresses that share the names
NAMES = (10, 34, 100, 200, 300, 400, 680)
AIM_MS, DEADLINE_MS = 500, 1200
ANSWER_WITHIN_S = 2.0  # longer than the deadline of the class; without an answer by then a call is lost
START_WITHIN_S = 20.0  # time for a daemon to listen
LISTED_S = 0.3  # time after a daemon listens until it has read its server list
LOST = 0  # stands for the status of a call without an answer
ESTABLISHED = "01"  # state of /proc/net/tcp
MAX_LATE_MS = 25.0  # limit for the 99th percentile of the load's own lateness, above which a trial is refused
PROCESS_CLOCK = 2  # CPUCLOCK_SCHED in the kernel's posix-timers.h


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Quantiles of latencies, in milliseconds."""

    p50: float
    p99: float
    most: float


@dataclass(frozen=True, slots=True)
class DataPathSample:
    """Result of one trial. Latencies are in milliseconds and count from the due time of a call."""

    names: int
    own_ports: bool
    instances: int
    daemons: int
    calls_per_s: float  # offered to each daemon
    length_s: float
    calls: int  # counted calls of all daemons; the fields below cover all daemons, except the memory
    answers: dict[str, int]  # number by status; "0": no answer
    daemon_ms: Quantiles
    direct_ms: Quantiles
    added_ms: Quantiles  # difference of `daemon_ms` and `direct_ms`, quantile by quantile
    cpu_ms_per_call: float  # processor time of the daemons, by the processes' CPU clocks
    resident_kb: int  # resident memory of the largest daemon
    dials: int  # connections that the daemons opened to servers
    connections_open: int  # of these connections, those open at the end
    waited_ms_per_call: float  # time in which a daemon was ready to run and had no core
    late_ms: Quantiles  # lateness of the load itself, which shows whether the machine was too busy

    @property
    def lost_share(self) -> float:
        """Share of the calls that were not answered with 200."""
        return 1 - self.answers.get("200", 0) / max(1, self.calls)

    @property
    def refused(self) -> bool:
        """Whether the load's own timers were too late, so that the trial doesn't count."""
        return self.late_ms.p99 > MAX_LATE_MS


def quantiles(values: Sequence[float]) -> Quantiles:
    """Returns quantiles of values in milliseconds; zeros without values."""
    if not values:
        return Quantiles(0.0, 0.0, 0.0)
    ranked = sorted(values)
    last = len(ranked) - 1
    return Quantiles(
        p50=round(ranked[last // 2], 3),
        p99=round(ranked[min(last, int(0.99 * len(ranked)))], 3),
        most=round(ranked[last], 3),
    )


def cpu_s(pid: int) -> float:
    """Returns the processor time of all threads of a process, by its CPU clock (clock_getcpuclockid(3))."""
    return time.clock_gettime((~pid << 3) | PROCESS_CLOCK)


# The servers, in a process of their own


class InstantServer(asyncio.Protocol):
    """Answers each request at once. Requests arrive one at a time, with a body of four bytes."""

    ANSWER = (
        b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=1, queue=0, latency_ms=1.5\r\n"
        b"Content-Length: 32\r\n\r\n" + b"x" * 32
    )
    accepted = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        InstantServer.accepted += 1
        self._transport: Any = transport
        self._pending = b""

    def data_received(self, data: bytes) -> None:
        self._pending += data
        while (end := self._pending.find(b"\r\n\r\nform")) >= 0:
            self._pending = self._pending[end + 8 :]
            self._transport.write(self.ANSWER)


async def serve_instantly(count: int) -> None:
    """Listens at `count` ports and prints them in one line.

    Then prints the number of accepted connections for each line that it reads, until standard input ends."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        server = await loop.create_server(InstantServer, HOST, 0, backlog=1024)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while await commands.readline():
        print(InstantServer.accepted, flush=True)


class Servers:
    """Starts and ends the process of servers."""

    def __init__(self, count: int) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.scale.data_path", "--serve", str(count)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("the process of servers did not start")
        self.ports: list[int] = json.loads(line)

    def accepted(self) -> int:
        """Returns the number of connections that the servers have accepted so far."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return int(self._process.stdout.readline())

    def end(self) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        with suppress(subprocess.TimeoutExpired):
            self._process.wait(3.0)
        self._process.kill()
        self._process.wait()


# The daemon


def format_server_list(names: int, ports: Sequence[int]) -> str:
    """Returns the text of the watched file. The names are assigned to the ports in turn."""
    entries = []
    for number in range(names):
        zeros = "0" * (number // len(ports))
        address = f"{HOST}:{zeros}{ports[number % len(ports)]}"
        entries.append(f'[[server]]\nname = "s{number:03d}"\naddress = "{address}"\nrack = {number % 7}\n')
    return "\n".join(entries)


def format_settings_file(instances: int, ordinal: int, max_sockets: int, operators: bool) -> str:
    lines = [
        'name = "bench"',
        f'listen = "{HOST}:0"',
        f"instances = {instances}",
        f"ordinal = {ordinal}",
        f"sockets = {max_sockets}",
        *(['operators = "operators.toml"'] if operators else []),
        "[servers]",
        'file = "servers.toml"',
        "settle_ms = 0",
        "[[class]]",
        f'name = "{CLASS}"',
        'effect = "keyed"',
        f"window_ms = {DEADLINE_MS}",
        f"aim_ms = {AIM_MS}",
        f"deadline_ms = {DEADLINE_MS}",
    ]
    return "\n".join(lines) + "\n"


class Daemon:
    """A `client-proxy serve` process, run from a checkout."""

    def __init__(self, folder: Path, number: int, checkout: Path, runner: Sequence[str]) -> None:
        self._log = folder / f"daemon-{number}.log"
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    *runner,
                    "-m",
                    f"{package_name(checkout)}.cli",
                    "serve",
                    "--config",
                    str(folder / f"serve-{number}.toml"),
                ],
                cwd=checkout,
                stdout=log,
                stderr=log,
            )
        self.pid = self._process.pid
        self.port = self._wait_for_port()

    def _wait_for_port(self) -> int:
        until_s = time.monotonic() + START_WITHIN_S
        while time.monotonic() < until_s and self._process.poll() is None:
            listening = tcp_sockets(self.pid, LISTEN)
            if listening:
                return listening[0][1]
            time.sleep(0.02)
        self.end()
        raise RuntimeError(f"the daemon did not start: {self._log.read_text(errors='replace')[-500:]}")

    def connections_to(self, ports: Sequence[int]) -> int:
        """Returns the number of established connections of the daemon to these ports."""
        known_ports = set(ports)
        return sum(remote in known_ports for _, _, _, remote in tcp_sockets(self.pid, ESTABLISHED))

    def end(self) -> None:
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGTERM)
            with suppress(subprocess.TimeoutExpired):
                self._process.wait(5.0)
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()


# The load


class ClientConnection(asyncio.Protocol):
    """A connection to the daemon or to a server, for one call at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[int] | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.lost = self.lost or not self._parser.should_keep_alive()
        if self._response is not None and not self._response.done():
            self._response.set_result(self._parser.get_status_code())

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        if self._response is not None and not self._response.done():
            self._response.set_result(LOST)

    def call(self, request: bytes) -> asyncio.Future[int]:
        """Sends a request. The future gets the response's status, or `LOST` if the connection ends first."""
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._response

    def close(self) -> None:
        self.lost = True
        self._transport.abort()


@dataclass(slots=True)
class CallTarget:
    """The ports that calls go to, with their connections and results."""

    ports: Sequence[int]
    idle: dict[int, deque[ClientConnection]] = field(default_factory=dict)
    opened: int = 0
    answers: Counter[int] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)
    late_ms: list[float] = field(default_factory=list)

    async def take_connection(self, port: int) -> ClientConnection:
        """Returns an idle connection to the port, or opens one."""
        idle = self.idle.setdefault(port, deque())
        while idle:
            connection = idle.pop()
            if not connection.lost:
                return connection
        self.opened += 1
        _, new_connection = await asyncio.get_running_loop().create_connection(ClientConnection, HOST, port)
        return new_connection

    async def call(self, number: int, due_s: float, counts: bool) -> None:
        """Makes one call. Its latency counts from `due_s` (time.monotonic()); `counts`: record it."""
        status = LOST
        port = self.ports[number % len(self.ports)]
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(ANSWER_WITHIN_S):
                connection = await self.take_connection(port)
                try:
                    status = await connection.call(request_bytes(number))
                finally:
                    if status == LOST or connection.lost:
                        connection.close()
                    else:
                        self.idle[port].append(connection)
        if counts:
            self.answers[status] += 1
            self.latencies_ms.append(1000.0 * (time.monotonic() - due_s))

    def close(self) -> None:
        for idle in self.idle.values():
            for connection in idle:
                connection.close()


def request_bytes(number: int) -> bytes:
    name = f"{os.getpid():x}-{time.monotonic_ns():x}-{number:x}"
    return (
        f"POST /{CLASS}/7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {name}\r\n"
        f"X-Expires-In-Ms: {DEADLINE_MS}\r\nIdempotency-Key: {name}\r\nContent-Length: 4\r\n\r\nform"
    ).encode()


async def offer(target: CallTarget, calls_per_s: float, length_s: float, lag_s: float, counts: bool) -> None:
    """Makes evenly spaced calls, the first after `lag_s`, and returns when all have ended."""
    first_due_s = time.monotonic() + lag_s
    tasks = set()
    for number in range(round(calls_per_s * length_s)):
        due_s = first_due_s + number / calls_per_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        if counts:
            target.late_ms.append(1000.0 * (time.monotonic() - due_s))
        task = asyncio.create_task(target.call(number, due_s, counts))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)


async def offer_both(
    daemon: CallTarget, direct: CallTarget, calls_per_s: float, length_s: float, counts: bool
) -> None:
    """Makes the calls to the daemon, and as many direct calls half an interval later."""
    await asyncio.gather(
        offer(daemon, calls_per_s, length_s, 0.0, counts),
        offer(direct, calls_per_s, length_s, 0.5 / calls_per_s, counts),
    )


# The measurement


def measure(
    names: int,
    calls_per_s: float,
    length_s: float,
    own_ports: bool,
    *,
    instances: int = 1,
    daemons: int = 1,
    warm_up_s: float = 1.0,
    descriptors: int = 1024,
    operators: str = "",
    checkout: Path = ROOT,
    runner: Sequence[str] = (),
) -> DataPathSample:
    """Runs one trial with one or several daemons; all of its processes have ended when it returns.

    Args:
        names: servers in the list.
        calls_per_s: offered to each daemon.
        length_s: length of the measured load.
        own_ports: whether each name has a port of its own.
        instances: value in the daemons' settings files.
        daemons: number of daemons that run at once.
        warm_up_s: seconds of the same load before it counts.
        descriptors: value of `sockets` in the settings files.
        operators: text of the operators' file.
        checkout: source tree whose daemon is run.
        runner: arguments of the interpreter before `-m` (a profiler).

    Raises:
        RuntimeError: a process does not start.
    """
    servers = Servers(names if own_ports else ADDRESSES)
    running: list[Daemon] = []
    try:
        with tempfile.TemporaryDirectory() as folder_name:
            folder = Path(folder_name)
            (folder / "servers.toml").write_text(format_server_list(names, servers.ports))
            (folder / "operators.toml").write_text(operators)
            for number in range(daemons):
                settings_text = format_settings_file(
                    instances, number % instances, descriptors, bool(operators)
                )
                (folder / f"serve-{number}.toml").write_text(settings_text)
                running.append(Daemon(folder, number, checkout, runner))
            time.sleep(LISTED_S)
            load = uvloop.run(_offer_load(servers, running, calls_per_s, length_s, warm_up_s))
            for daemon in running:
                daemon.end()
    finally:
        for daemon in running:
            daemon.end()
        servers.end()
    calls = sum(load.through.answers.values())
    with_daemon, direct = quantiles(load.through.latencies_ms), quantiles(load.direct.latencies_ms)
    return DataPathSample(
        names=names,
        own_ports=own_ports,
        instances=instances,
        daemons=daemons,
        calls_per_s=calls_per_s,
        length_s=length_s,
        calls=calls,
        answers={str(status): count for status, count in sorted(load.through.answers.items())},
        daemon_ms=with_daemon,
        direct_ms=direct,
        added_ms=Quantiles(
            p50=round(with_daemon.p50 - direct.p50, 3),
            p99=round(with_daemon.p99 - direct.p99, 3),
            most=round(with_daemon.most - direct.most, 3),
        ),
        cpu_ms_per_call=round(1000.0 * load.cpu_s / max(1, calls), 4),
        resident_kb=load.resident_kb,
        dials=load.dials,
        connections_open=load.connections_open,
        waited_ms_per_call=round(1000.0 * load.waited_s / max(1, calls), 4),
        late_ms=quantiles(load.through.late_ms),
    )


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Results of the load, and resource use of the daemons under it."""

    through: CallTarget
    direct: CallTarget
    cpu_s: float
    waited_s: float
    resident_kb: int
    dials: int
    connections_open: int


async def _offer_load(
    servers: Servers, daemons: Sequence[Daemon], calls_per_s: float, length_s: float, warm_up_s: float
) -> LoadResult:
    through = CallTarget([daemon.port for daemon in daemons])
    direct = CallTarget(servers.ports[:ADDRESSES])
    total_per_s = calls_per_s * len(daemons)
    await offer_both(through, direct, total_per_s, warm_up_s, False)
    cpu_before_s = sum(cpu_s(daemon.pid) for daemon in daemons)
    waited_before_s = sum(waited_s(daemon.pid) for daemon in daemons)
    await offer_both(through, direct, total_per_s, length_s, True)
    result = LoadResult(
        through=through,
        direct=direct,
        cpu_s=sum(cpu_s(daemon.pid) for daemon in daemons) - cpu_before_s,
        waited_s=sum(waited_s(daemon.pid) for daemon in daemons) - waited_before_s,
        resident_kb=max(resident_kb(daemon.pid) for daemon in daemons),
        dials=servers.accepted() - direct.opened,
        connections_open=sum(daemon.connections_to(servers.ports) for daemon in daemons),
    )
    through.close()
    direct.close()
    return result


def summary(samples: Sequence[DataPathSample]) -> dict[str, Any]:
    """Returns least, median and most of each value over the rounds of one size, without refused samples."""
    refused, samples = sum(each.refused for each in samples), [each for each in samples if not each.refused]
    if not samples:
        return {"refused": refused}
    values_by_name: dict[str, list[float]] = {
        "lost_share": [each.lost_share for each in samples],
        "daemon_p50_ms": [each.daemon_ms.p50 for each in samples],
        "daemon_p99_ms": [each.daemon_ms.p99 for each in samples],
        "direct_p99_ms": [each.direct_ms.p99 for each in samples],
        "added_p50_ms": [each.added_ms.p50 for each in samples],
        "added_p99_ms": [each.added_ms.p99 for each in samples],
        "added_most_ms": [each.added_ms.most for each in samples],
        "cpu_ms_per_call": [each.cpu_ms_per_call for each in samples],
        "resident_kb": [each.resident_kb for each in samples],
        "dials": [each.dials for each in samples],
        "connections_open": [each.connections_open for each in samples],
        "waited_ms_per_call": [each.waited_ms_per_call for each in samples],
        "late_p99_ms": [each.late_ms.p99 for each in samples],
    }
    document: dict[str, Any] = {
        name: [round(min(values), 4), round(median(values), 4), round(max(values), 4)]
        for name, values in values_by_name.items()
    }
    document["refused"] = refused
    document["answers"] = dict(sum((Counter(each.answers) for each in samples), Counter[str]()))
    return document


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--names", type=int, nargs="*", default=list(NAMES))
    parser.add_argument("--rate", type=float, default=294.0)
    parser.add_argument("--length", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--own-ports", action="store_true")
    parser.add_argument("--instances", type=int, nargs="*", default=[1])
    parser.add_argument("--daemons", type=int, default=1)
    parser.add_argument("--warm-up", type=float, default=1.0)
    parser.add_argument("--descriptors", type=int, default=1024)
    parser.add_argument("--operators", type=Path, help="operators' file of the daemon")
    parser.add_argument("--checkouts", type=Path, nargs="*", default=[ROOT])
    parser.add_argument("--samples", type=Path, help="append every sample to this file, as JSON lines")
    parser.add_argument("--serve", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.serve:
        uvloop.run(serve_instantly(args.serve))
        return 0
    operators = args.operators.read_text() if args.operators else ""
    trials = [(c, n, i) for n in args.names for i in args.instances for c in args.checkouts]
    samples_by_trial: dict[tuple[Path, int, int], list[DataPathSample]] = {trial: [] for trial in trials}
    for number in range(args.rounds):
        for checkout, names, instances in trials:
            sample = measure(
                names,
                args.rate,
                args.length,
                args.own_ports,
                instances=instances,
                daemons=args.daemons,
                warm_up_s=args.warm_up,
                descriptors=args.descriptors,
                operators=operators,
                checkout=checkout.resolve(),
            )
            samples_by_trial[checkout, names, instances].append(sample)
            row = json.dumps(
                {
                    "round": number,
                    "checkout": checkout.name,
                    "refused": sample.refused,
                    **asdict(sample),
                }
            )
            print(row, file=sys.stderr, flush=True)
            if args.samples:
                with args.samples.open("a") as file:
                    file.write(row + "\n")
    rows = [
        {"checkout": checkout.name, "names": names, "instances": instances, **summary(samples)}
        for (checkout, names, instances), samples in samples_by_trial.items()
    ]
    settings = {
        "cores": os.cpu_count(),
        "rate_per_s": args.rate,
        "length_s": args.length,
        "rounds": args.rounds,
    }
    print(
        json.dumps(
            {**settings, "own_ports": args.own_ports, "figures": "least, median, most", "rows": rows},
            indent=1,
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
