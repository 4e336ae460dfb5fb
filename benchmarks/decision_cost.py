"""Measures the time of the decisions for one request, from arrival to its end, by the size of the fleet.

    python -m benchmarks.decision_cost [--requests 3000] [--rounds 5] [--servers 10 100 1000] [--proxies 4]

Runs the balancer alone, without sockets; every server is warm and known. Each round measures all sizes in
turn. Prints JSON with the seed and the machine's cores.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from statistics import median

from client_proxy.api.actions import Send
from client_proxy.api.events import (
    AttemptEnded,
    EndpointsListed,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
)
from client_proxy.api.settings import Idempotency, RequestClass, Settings
from client_proxy.balancer.balancer import Balancer

SEED = 7
CLASS = RequestClass("safe", latency_objective_ms=500, deadline_ms=2000, idempotency=Idempotency.IDEMPOTENT)


class Probe:
    """A balancer with a fleet of `servers` endpoints, and the requests that measure it."""

    def __init__(self, servers: int, proxies: int) -> None:
        self.balancer = Balancer(Settings(classes=(CLASS,), proxies=proxies), SEED)
        self.now_ms, self.last_id = 0.0, 0
        endpoints = tuple(ListedEndpoint(f"s{n:04d}", "a", n % 10) for n in range(servers))
        self.balancer.handle(0.0, [EndpointsListed(ListKind.FULL, endpoints)])

    def run_request(self) -> None:
        """Lets one request arrive, be sent and be answered after 4 ms of simulated time."""
        self.last_id += 1
        self.now_ms += 5.0
        actions = self.balancer.handle(self.now_ms, [RequestArrived(self.last_id, "safe")])
        assert any(isinstance(action, Send) for action in actions)
        self.balancer.handle(
            self.now_ms + 4.0, [AttemptEnded(self.last_id, 0, Outcome.OK, 4.0, answered=True)]
        )

    def measure_us(self, requests: int) -> float:
        """Returns the mean time of one request (us of wall clock time) over `requests` requests."""
        start_s = time.perf_counter()
        for _ in range(requests):
            self.run_request()
        return 1e6 * (time.perf_counter() - start_s) / requests


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--servers", type=int, nargs="*", default=[10, 100, 1000])
    parser.add_argument("--proxies", type=int, default=4)
    args = parser.parse_args()
    probes = {servers: Probe(servers, args.proxies) for servers in args.servers}
    rounds: dict[int, list[float]] = {servers: [] for servers in args.servers}
    for probe in probes.values():
        probe.measure_us(300)
    for _ in range(args.rounds):
        for servers, probe in probes.items():
            rounds[servers].append(probe.measure_us(args.requests))
    figures = {
        str(servers): {
            "median": round(median(values), 1),
            "least": round(min(values), 1),
            "most": round(max(values), 1),
        }
        for servers, values in rounds.items()
    }
    header = {"seed": SEED, "cores": os.cpu_count(), "proxies": args.proxies, "requests": args.requests}
    print(json.dumps({**header, "rounds": args.rounds, "us_a_request": figures}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
