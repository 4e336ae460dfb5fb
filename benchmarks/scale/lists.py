"""The cost of reading the server list, as policy file (TOML) and as discovery message (JSON), by its length.

In the program the timed code runs in the event loop and delays calls. An instance reads the policy file twice
per change: when it validates the change, and when it prepares the decided version."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from benchmarks.scale.cost import Cost, Quantity, Readings
from client_proxy.api.settings import Idempotency, RequestClass, Settings
from client_proxy.balancer.balancer import Balancer
from client_proxy.config.fleet import seal
from client_proxy.config.policy import read_policy
from client_proxy.endpoint_directory import EndpointDirectory

SERVERS = (10, 34, 100, 200, 340, 680)
SEED = 7
REPEATS = 5
PROXIES = 680
CLASS = RequestClass(
    "look-up", latency_objective_ms=500, deadline_ms=2000, idempotency=Idempotency.IDEMPOTENT
)
POLICY = """[policy]
attempts = 3

[[class]]
name = "look-up"
effect = "safe"
aim_ms = 500
deadline_ms = 2000
"""


def policy_file(servers: int, policy: str = POLICY) -> bytes:
    """Returns a sealed policy file with that many servers; `policy` is its text without the server list."""
    tables = [
        f'[[server]]\nname = "server-{number:04d}"\n'
        f'address = "10.0.{number // 250}.{1 + number % 250}:8000"\n'
        f'hall = "zone-{number % 6}"\nrack = {number % 40}\n'
        for number in range(servers)
    ]
    return seal((policy + "\n".join(tables)).encode(), 1)


def discovery_message(servers: int) -> bytes:
    """Returns the whole list as discovery sends it at the start and after a gap."""
    endpoints = [
        {
            "name": f"server-{number:04d}",
            "address": f"10.0.{number // 250}.{1 + number % 250}:8000",
            "zone": f"zone-{number % 6}",
            "group": number % 40,
            "weight": 1.0,
            "status": "ready",
            "since_ms": 0,
        }
        for number in range(servers)
    ]
    return json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode()


def _cpu_ms(work: Callable[[], object]) -> float:
    """Returns the processor time of one run in ms, the least of `REPEATS` runs."""
    durations_s = []
    for _ in range(REPEATS):
        before_s = time.process_time()
        work()
        durations_s.append(time.process_time() - before_s)
    return 1000.0 * min(durations_s)


def measure(servers: int) -> Readings:
    content, message = policy_file(servers), discovery_message(servers)
    list_alone = policy_file(servers, policy="")
    decoded = json.loads(message)
    event = EndpointDirectory().apply(decoded)
    balancer = Balancer(Settings(classes=(CLASS,), proxies=PROXIES), SEED)
    return {
        "policy_bytes": len(content),
        "policy_read": _cpu_ms(lambda: read_policy(content, "the policy")),
        "list_read": _cpu_ms(lambda: read_policy(list_alone, "the list")),
        "discovery_bytes": len(message),
        "discovery_read": _cpu_ms(lambda: EndpointDirectory().apply(json.loads(message))),
        "apply": _cpu_ms(lambda: balancer.handle(balancer.now_ms + 1.0, [event])),
    }


COST = Cost(
    name="list",
    axis="servers in the list",
    sizes=SERVERS,
    basis="processor time",
    quantities=(
        Quantity("policy_bytes", "bytes"),
        Quantity("policy_read", "ms"),
        Quantity("list_read", "ms"),
        Quantity("discovery_bytes", "bytes"),
        Quantity("discovery_read", "ms"),
        Quantity("apply", "ms"),
    ),
    measure=measure,
)
