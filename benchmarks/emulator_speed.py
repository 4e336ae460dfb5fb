"""Measures the emulator: virtual seconds per wall clock second, and real servers and requests on one core.

    python -m benchmarks.emulator_speed [--rounds 3] [--requests 8000]

On the virtual clock, two shipped scenarios and an hour of sparse traffic are simulated in this process. On
the real clock, one process runs 10, 100 and 500 emulated servers on loopback sockets, and another sends them
requests in turn over 64 connections. Prints JSON with the seeds and the machine's cores.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from benchmarks.overhead import Load, LoadConnection, cpu_s
from client_proxy.emulator.event_log import ClientAttempt
from client_proxy.emulator.listeners import SocketListener
from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import load_scenario, parse_scenario
from client_proxy.emulator.simulation import Simulation, simulate

ROOT = Path(__file__).resolve().parents[1]
CONNECTIONS = 64
CLASS = "look-up"


def sparse_hour(day: Scenario) -> Scenario:
    """Returns the scenario as an hour of one proxy with a request every few seconds."""
    from dataclasses import replace

    clients = replace(day.clients, proxies=1, relative_rates=(), rate_per_s=0.3, rate_curve=())
    return day.with_changes(name="sparse-hour", duration_s=3600.0, clients=clients, window_s=600.0)


def measure_virtual(day: Scenario, rounds: int) -> dict[str, Any]:
    wall_times_s = []
    for _ in range(rounds):
        start_s = time.perf_counter()
        result = simulate(day)
        wall_times_s.append(time.perf_counter() - start_s)
    report = build_report(result)
    request_count = sum(each.asked for each in report.classes.values())
    median_wall_s = median(wall_times_s)
    return {
        "seed": day.seed,
        "virtual_s": day.duration_s,
        "requests": request_count,
        "callbacks": result.callbacks_run,
        "wall_s": {
            "median": round(median_wall_s, 2),
            "least": round(min(wall_times_s), 2),
            "most": round(max(wall_times_s), 2),
        },
        "virtual_s_a_wall_s": round(day.duration_s / median_wall_s, 1),
        "requests_a_wall_s": round(request_count / median_wall_s),
    }


def scenario_with_servers(servers: int) -> Scenario:
    return parse_scenario(
        f'name = "many"\nlength_s = 60\nhalls = ["hall"]\n[clients]\nproxies = 1\n'
        f'[[class]]\nname = "{CLASS}"\nwork_ms = 0.1\naim_ms = 5000\ndeadline_ms = 10000\neffect = "safe"\n'
        f'[[kind]]\nname = "quad"\nqueue_per_core = 1000\nhandshake_ms = 0\nconnections = 1000\n'
        f'[[servers]]\nkind = "quad"\nhall = "hall"\ncount = {servers}\n[net]\nsame_ms = 0\n'
    )


async def hold_servers(servers: int, id_count: int) -> None:
    """Runs emulated servers and prints their ports; this is the process that is measured."""
    loop = asyncio.get_running_loop()
    simulation = Simulation(scenario_with_servers(servers), loop)
    simulation.new_listener = lambda factory: SocketListener(loop, factory, ("127.0.0.1", 0))
    simulation.prepare()
    for number in range(id_count):
        id_ = f"id{number:x}"
        simulation.event_log.attempts[id_] = ClientAttempt(id_, 0, number, CLASS, "k", 0.1)
    for server in simulation.servers.values():
        server.start(cold=False)
    print(json.dumps([server.listeners[0].address[1] for server in simulation.servers.values()]), flush=True)
    await asyncio.Event().wait()


class KnownIdLoad(Load):
    """A load whose requests have trace ids that the servers know."""

    def next_request(self) -> bytes:
        self._sent += 1
        id_ = f"id{self._sent:x}"
        return (
            f"POST /{CLASS}/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id_}\r\nContent-Length: 4\r\n\r\nform"
        ).encode()


class VariableLengthConnection(LoadConnection):
    """A connection that reads responses of any length."""

    def data_received(self, data: bytes) -> None:
        self._rest += data
        head = self._rest.find(b"\r\n\r\n")
        if head < 0:
            return
        length = int(self._rest.split(b"Content-Length: ", 1)[1].split(b"\r\n", 1)[0])
        if len(self._rest) < head + 4 + length:
            return
        served = self._rest.startswith(b"HTTP/1.1 200")
        self._rest = b""
        self._load_of_connection.on_response(self, time.perf_counter() - self._request_start_s, served)


def measure_real(servers: int, requests: int) -> dict[str, float]:
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.emulator_speed", "--hold", str(servers), str(requests + 1)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        ports = json.loads(process.stdout.readline())

        async def run() -> tuple[float, float, int]:
            load = KnownIdLoad(requests)
            loop = asyncio.get_running_loop()
            connections = []
            for number in range(CONNECTIONS):
                address = ("127.0.0.1", ports[number % len(ports)])
                _, connection = await loop.create_connection(lambda: VariableLengthConnection(load), *address)
                connections.append(connection)
            cpu_before_s, start_s = cpu_s(process.pid), time.perf_counter()
            for connection in connections:
                load.start(connection)
            await load._done
            return time.perf_counter() - start_s, cpu_s(process.pid) - cpu_before_s, load.failed

        wall_s, used_cpu_s, failed = uvloop.run(run())
        return {
            "requests_per_s": requests / wall_s,
            "cpu_us_a_request": 1e6 * used_cpu_s / requests,
            "failed": failed,
        }
    finally:
        process.kill()
        process.wait()


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--hold", nargs=2, type=int)
    args = parser.parse_args()
    if args.hold:
        asyncio.run(hold_servers(*args.hold))
        return 0
    saturday = load_scenario(ROOT / "examples" / "days" / "wedding-saturday.toml")
    morning = load_scenario(ROOT / "examples" / "days" / "calm-morning.toml")
    figures: dict[str, Any] = {"cores": os.cpu_count(), "rounds": args.rounds, "virtual": {}, "real": {}}
    for day in (morning, saturday, sparse_hour(morning)):
        figures["virtual"][day.name] = measure_virtual(day, args.rounds)
    for servers in (10, 100, 500):
        rounds = [measure_real(servers, args.requests) for _ in range(args.rounds)]
        figures["real"][str(servers)] = {
            name: {
                "median": round(median(each[name] for each in rounds), 1),
                "least": round(min(each[name] for each in rounds), 1),
                "most": round(max(each[name] for each in rounds), 1),
            }
            for name in rounds[0]
        }
    print(json.dumps(figures, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
