"""Memory, and processor time without calls, of the client proxies on a host with one process per service.

Each proxy has ten servers in its list, and takes part in neither agreement nor gossip."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.data_path import cpu_s
from benchmarks.scale.processes import (
    children,
    free_port,
    proportional_kb,
    serve,
    serve_text,
    servers_text,
)

SERVICES = (1, 5, 10, 20, 65)
SERVERS = 10
DEADLINE_MS = 2000.0
HOST = "127.0.0.1"
MAX_PARALLEL_STARTS = 8  # processes that are started at the same time
SETTLE_S = 2.0  # time after the start before the measurement begins
IDLE_S = 5.0


async def _measure(services: int, idle_s: float) -> Readings:
    with tempfile.TemporaryDirectory(prefix="services-") as folder_name:
        folder = Path(folder_name)
        (folder / "servers.toml").write_text(servers_text([f"10.0.0.{1 + n}:8000" for n in range(SERVERS)]))
        servers_table = '[servers]\nfile = "servers.toml"\nsettle_ms = 0'
        async with children() as started:
            while len(started) < services:
                batch = []
                for _ in range(min(MAX_PARALLEL_STARTS, services - len(started))):
                    port = free_port(HOST)
                    name = f"service-{len(started)}"
                    child = await serve(
                        name, folder, serve_text(name, f"{HOST}:{port}", DEADLINE_MS, servers_table)
                    )
                    started.append(child)
                    batch.append((child, port))
                for child, port in batch:
                    await child.wait_until_listening(port)
            await asyncio.sleep(SETTLE_S)
            before_s = sum(cpu_s(child.pid) for child in started)
            await asyncio.sleep(idle_s)
            spent_s = sum(cpu_s(child.pid) for child in started) - before_s
            memory_kb = sum(proportional_kb(child.pid) for child in started)
            return {"memory": memory_kb / 1024.0, "idle_cpu": spent_s / idle_s}


def measure(services: int, idle_s: float = IDLE_S) -> Readings:
    return asyncio.run(_measure(services, idle_s))


COST = Cost(
    name="services",
    axis="services on a host",
    sizes=SERVICES,
    basis="real processes",
    quantities=(Quantity("memory", "MB a host"), Quantity("idle_cpu", "of a core a host")),
    measure=measure,
)
