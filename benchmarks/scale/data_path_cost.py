"""The time that one daemon adds to a call, by the servers in its list; measured by `data_path`."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from benchmarks.scale import data_path
from benchmarks.scale.cost import Cost, MachineBusy, Quantity, Readings

SERVERS = (10, 34, 100, 200, 300, 400, 680)
CALLS_PER_S = 294.0
LENGTH_S = 5.0

QUANTITIES = (
    Quantity("lost", "of the calls"),
    Quantity("cpu", "ms a call"),
    Quantity("added_p50", "ms"),
    Quantity("added_p99", "ms"),
    Quantity("memory", "MB"),
    Quantity("dials", "connections made in a trial"),
    Quantity("waited", "ms a call that the daemon was ready and had no core"),
)


def measure(
    servers: int,
    own_ports: bool = False,
    calls_per_s: float = CALLS_PER_S,
    length_s: float = LENGTH_S,
    checkout: Path = data_path.ROOT,
) -> Readings:
    """Runs one trial. Raises MachineBusy if the load's own timers were late."""
    sample = data_path.measure(servers, calls_per_s, length_s, own_ports, checkout=checkout)
    if sample.refused:
        raise MachineBusy(f"the load was sent {sample.late_ms.p99:.1f} ms late at the 99th percentile")
    return {
        "lost": sample.lost_share,
        "cpu": sample.cpu_ms_per_call,
        "added_p50": sample.added_ms.p50,
        "added_p99": sample.added_ms.p99,
        "memory": sample.resident_kb / 1024.0,
        "dials": float(sample.dials),
        "waited": sample.waited_ms_per_call,
    }


def costs(checkout: Path = data_path.ROOT) -> tuple[Cost, Cost]:
    """Returns the costs for names that share ten addresses, and for names with a port each.

    `checkout` is the source tree whose daemon is run."""
    shared = Cost(
        "data_path",
        "servers in the list",
        SERVERS,
        "real processes",
        QUANTITIES,
        partial(measure, checkout=checkout),
    )
    own_ports = Cost(
        "data_path_own_ports",
        "servers in the list, each with a port of its own",
        SERVERS,
        "real processes",
        QUANTITIES,
        partial(measure, own_ports=True, checkout=checkout),
    )
    return shared, own_ports
