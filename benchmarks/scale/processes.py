"""Starts the processes of a measurement, and reads their memory. They end with their parent."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

from client_proxy.fault_injection.child_process import Child

CLASS = "look-up"


def proportional_kb(pid: int) -> int:
    """Returns the memory of a process in KB; memory shared by several processes is divided (proc(5), Pss)."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1])
    raise RuntimeError(f"process {pid}: no Pss in smaps_rollup")


def free_port(host: str) -> int:
    """Returns a port that is free on that address; another process may still take it."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def serve_text(name: str, listen: str, deadline_ms: float, more_text: str) -> str:
    """Returns a settings file for `client-proxy serve` with one class, of idempotent calls."""
    return f"""name = "{name}"
listen = "{listen}"
{more_text}
[[class]]
name = "{CLASS}"
effect = "safe"
aim_ms = {deadline_ms / 2}
deadline_ms = {deadline_ms}
"""


def servers_text(addresses: Sequence[str]) -> str:
    """Returns a server file whose servers need no slow start."""
    return "\n".join(
        f'[[server]]\nname = "server-{number}"\naddress = "{address}"\nwarm = true\n'
        for number, address in enumerate(addresses)
    )


@asynccontextmanager
async def children() -> AsyncIterator[list[Child]]:
    """Yields a list for started processes; at the end all processes in it are killed."""
    started: list[Child] = []
    try:
        yield started
    finally:
        for child in reversed(started):
            await child.kill()


async def serve(name: str, folder: Path, text: str) -> Child:
    """Starts a client proxy as a process, without waiting until it listens."""
    config = folder / f"{name}.toml"
    config.write_text(text)
    child = Child(name, folder)
    await child.start("client_proxy.cli", "serve", "--config", str(config))
    return child
