"""Measures the time that one daemon adds to a request, by part of its work.

    python -m benchmarks.added_time [--names 10] [--rate 294] [--length 10] [--rounds 3]

Runs the trial of `benchmarks.scale.data_path` and times the functions of the daemon. Each part is reported in
microseconds per request by two clocks: the wall clock, and the thread's processor clock, which stops while
another process has the core. The parts of a request:

- read: from its first byte at the daemon until the engine has the whole request
- turn: from there to the decisions, which are made once per iteration of the event loop
- decide: the decisions
- start: from the decisions until its last byte is written; with a dial, the handshake is included
- server: until the first byte of the response (the server, the system, and the wait for the event loop)
- answer: from there until the response is written

Work that can delay any request is reported as well: garbage collection, polls of the file of servers, and
sweeps of connections. The timing itself costs about 15 us per request. Prints JSON.
"""

from __future__ import annotations

import argparse
import atexit
import functools
import gc
import json
import os
import runpy
import sys
import tempfile
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import asdict
from pathlib import Path
from time import perf_counter, thread_time
from typing import Any

from benchmarks.scale.data_path import DataPathSample, measure

PARTS = ("read", "turn", "decide", "start", "server", "answer")
Stamp = tuple[float, float]  # seconds of the wall clock and of the thread's processor clock


def stamp() -> Stamp:
    return perf_counter(), thread_time()


class RequestTimer:
    """Wraps functions of the daemon in this process, records their times and writes them to a file."""

    def __init__(self) -> None:
        self.calls: list[list[Stamp]] = []
        self.other_work: defaultdict[str, list[tuple[float, float, float]]] = defaultdict(list)
        self._stamps_by_request: dict[int, list[Stamp]] = {}
        self._read_stamp: Stamp = (0.0, 0.0)
        self._decision_stamps: list[Stamp] = []
        self._dialled_requests: set[int] = set()
        self.dialled_calls: list[bool] = []
        self._collection_stamp: Stamp = (0.0, 0.0)

    def install(self) -> None:
        from client_proxy.balancer.balancer import Balancer
        from client_proxy.config.source import FileSource
        from client_proxy.proxy.client_connection import ClientConnection
        from client_proxy.proxy.engine import Engine
        from client_proxy.proxy.listener import Listener
        from client_proxy.proxy.upstream_connection import UpstreamConnection
        from client_proxy.proxy.upstream_pool import UpstreamPool

        gc.callbacks.append(self._on_collection)
        self._time_function(FileSource, "_poll", "look at the file")
        self._time_function(UpstreamPool, "_close_expired", "sweep of server connections")
        self._time_function(Listener, "_sweep", "sweep of client connections")
        self._wrap_read(ClientConnection)
        self._wrap_accept(Engine)
        self._wrap_decision(Balancer)
        self._wrap_send(UpstreamConnection)
        self._wrap_dial(UpstreamPool)
        self._wrap_answer(UpstreamConnection)

    def _time_function(self, owner: Any, name: str, label: str) -> None:
        original = getattr(owner, name)

        @functools.wraps(original)
        def timed(*args: Any, **keywords: Any) -> Any:
            before = stamp()
            try:
                return original(*args, **keywords)
            finally:
                after = stamp()
                self.other_work[label].append((before[0], after[0] - before[0], after[1] - before[1]))

        setattr(owner, name, timed)

    def _on_collection(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._collection_stamp = stamp()
        else:
            before, after = self._collection_stamp, stamp()
            spent = before[0], after[0] - before[0], after[1] - before[1]
            self.other_work[f"collector, generation {info['generation']}"].append(spent)

    def _wrap_read(self, owner: Any) -> None:
        original = owner.data_received

        def data_received(connection: Any, data: bytes) -> None:
            self._read_stamp = stamp()
            original(connection, data)

        owner.data_received = data_received

    def _wrap_accept(self, owner: Any) -> None:
        original = owner.accept

        def accept(engine: Any, request: Any, reply: Any) -> int:
            number: int = original(engine, request, reply)
            self._stamps_by_request[id(request)] = [self._read_stamp, stamp()]
            return number

        owner.accept = accept

    def _wrap_decision(self, owner: Any) -> None:
        original = owner.handle

        def handle(balancer: Any, now_ms: float, events: Any) -> Any:
            before = stamp()
            actions = original(balancer, now_ms, events)
            self._decision_stamps = [before, stamp()]
            return actions

        owner.handle = handle

    def _wrap_send(self, owner: Any) -> None:
        original = owner.send

        def send(connection: Any, attempt: Any) -> None:
            stamps = self._stamps_by_request.get(id(attempt._request))
            if stamps is not None and len(stamps) == 2:
                stamps += self._decision_stamps
            original(connection, attempt)
            if stamps is not None and len(stamps) == 4:
                stamps.append(stamp())

        owner.send = send

    def _wrap_dial(self, owner: Any) -> None:
        original = owner._dial

        def dial(upstream: Any, endpoint: Any, attempt: Any) -> Any:
            self._dialled_requests.add(id(attempt._request))
            stamps = self._stamps_by_request.get(id(attempt._request))
            if stamps is not None and len(stamps) == 2:
                stamps += self._decision_stamps
            return original(upstream, endpoint, attempt)

        owner._dial = dial

    def _wrap_answer(self, owner: Any) -> None:
        original = owner.data_received

        def data_received(connection: Any, data: bytes) -> None:
            received, attempt = stamp(), connection.attempt
            original(connection, data)
            if attempt is None:
                return
            request = id(attempt._request)
            stamps = self._stamps_by_request.pop(request, None)
            if stamps is not None and len(stamps) == 5:
                self.calls.append([*stamps, received, stamp()])
                self.dialled_calls.append(request in self._dialled_requests)
            self._dialled_requests.discard(request)

        owner.data_received = data_received

    def write(self, file: Path) -> None:
        content = {"calls": self.calls, "dialled": self.dialled_calls, "beside": self.other_work}
        file.write_text(json.dumps(content))


def run_inside(file: Path, arguments: Sequence[str]) -> None:
    """Runs a module with its functions timed; `arguments` are those of `python`: `-m`, its name, ..."""
    timer = RequestTimer()
    timer.install()
    atexit.register(timer.write, file)
    sys.argv = list(arguments[1:])
    runpy.run_module(arguments[1], run_name="__main__", alter_sys=True)


def quantile(values: Sequence[float], share: float) -> float:
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else 0.0


def summarize_us(values: Sequence[float]) -> dict[str, float]:
    """Returns mean, median, 99th percentile and maximum of times in seconds, in microseconds."""
    figures: dict[str, Callable[[], float]] = {
        "mean": lambda: sum(values) / max(1, len(values)),
        "p50": lambda: quantile(values, 0.5),
        "p99": lambda: quantile(values, 0.99),
        "most": lambda: max(values, default=0.0),
    }
    return {name: round(1e6 * figure(), 1) for name, figure in figures.items()}


def summarize_trial(measurements: Any, skipped_s: float) -> dict[str, Any]:
    """Summarizes one trial.

    The first `skipped_s` seconds, with dials and imports, and all requests with a dial are left out."""
    calls, dialled = measurements["calls"], measurements["dialled"]
    counted_from_s = min((each[0][0] for each in calls), default=0.0) + skipped_s
    counted_calls = [
        each for each, dial in zip(calls, dialled, strict=True) if each[0][0] >= counted_from_s and not dial
    ]
    parts: dict[str, Any] = {}
    for number, name in enumerate(PARTS):
        parts[name] = {
            clock: summarize_us([each[number + 1][at] - each[number][at] for each in counted_calls])
            for at, clock in enumerate(("wall_us", "cpu_us"))
        }
    daemon_parts = [number for number, name in enumerate(PARTS) if name != "server"]
    inside_wall_s = [sum(each[n + 1][0] - each[n][0] for n in daemon_parts) for each in counted_calls]
    inside_cpu_s = [sum(each[n + 1][1] - each[n][1] for n in daemon_parts) for each in counted_calls]
    slowest = sorted(zip(inside_wall_s, counted_calls, strict=True), key=lambda pair: pair[0])[
        -max(1, len(counted_calls) // 100) :
    ]
    mean_of_slowest = {
        name: round(1e6 * sum(each[n + 1][0] - each[n][0] for _, each in slowest) / len(slowest), 1)
        for n, name in enumerate(PARTS)
    }
    other_work = {}
    for name, spans in measurements["beside"].items():
        later = [(wall, cpu) for at, wall, cpu in spans if at >= counted_from_s]
        other_work[name] = {
            "times": len(later),
            "before": len(spans) - len(later),  # during the skipped start; not included in the times
            "wall_us": summarize_us([wall for wall, _ in later]),
            "cpu_us": summarize_us([cpu for _, cpu in later]),
        }
    return {
        "calls": len(counted_calls),
        "dialled": sum(dialled),
        "parts": parts,
        "inside_wall_us": summarize_us(inside_wall_s),
        "inside_cpu_us": summarize_us(inside_cpu_s),
        "slowest_hundredth_wall_us": mean_of_slowest,
        "beside": other_work,
    }


def run_trial(names: int, rate: float, length_s: float) -> tuple[DataPathSample, dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "parts.json"
        runner = ["-m", "benchmarks.added_time", "--inside", str(file)]
        sample = measure(names, rate, length_s, False, runner=runner)
        return sample, summarize_trial(json.loads(file.read_text()), 1.0)


def main() -> int:
    if sys.argv[1:2] == ["--inside"]:
        run_inside(Path(sys.argv[2]), sys.argv[3:])
        return 0
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--names", type=int, nargs="*", default=[10])
    parser.add_argument("--rate", type=float, default=294.0)
    parser.add_argument("--length", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=3)
    args = parser.parse_args()
    rows = []
    for number in range(args.rounds):
        for names in args.names:
            sample, parts = run_trial(names, args.rate, args.length)
            rows.append({"round": number, "refused": sample.refused, "sample": asdict(sample), **parts})
            print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
    print(json.dumps({"cores": os.cpu_count(), "rate_per_s": args.rate, "rows": rows}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
