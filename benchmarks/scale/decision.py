"""The decision module's processor time for one call, by the servers in its list, without sockets."""

from __future__ import annotations

import time
from functools import cache

from benchmarks.decision_cost import Probe
from benchmarks.scale.cost import Cost, Quantity, Readings

SERVERS = (10, 34, 100, 200, 340, 680)
PROXIES = 680
WARM_CALLS = 300
CALLS = 2000


@cache
def _probe(servers: int) -> Probe:
    probe = Probe(servers, PROXIES)
    probe.measure_us(WARM_CALLS)
    return probe


def measure(servers: int, calls: int = CALLS) -> Readings:
    """Measures the processor time in us of a call that arrives, is sent once and is answered."""
    probe = _probe(servers)
    before_s = time.process_time()
    for _ in range(calls):
        probe.run_request()
    return {"cpu": 1e6 * (time.process_time() - before_s) / calls}


COST = Cost(
    name="decision",
    axis="servers in the list",
    sizes=SERVERS,
    basis="processor time",
    quantities=(Quantity("cpu", "us a call"),),
    measure=measure,
)
