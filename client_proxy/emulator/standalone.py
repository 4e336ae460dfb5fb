"""Runs a scenario's servers on loopback sockets, for manual tests with other clients and proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from client_proxy.config.fleet import seal
from client_proxy.emulator.listeners import SocketListener
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import SERVER_ADDRESS, Simulation

FILE_VERSION = 1
"""The version number that the sealed file of servers gets."""


def endpoint_file_text(simulation: Simulation) -> str:
    """Return the text of a file of servers as `client-proxy serve` watches it."""
    lines: list[str] = []
    for server in simulation.servers.values():
        host, port = server.listeners[0].address
        lines += [
            "[[server]]",
            f'name = "{server.name}"',
            f'address = "{host}:{port}"',
            f'hall = "{server.spec.zone}"',
            f"rack = {server.spec.rack}",
            "",
        ]
    return "\n".join(lines)


async def run_standalone(
    scenario_file: Path, out: Path, duration_s: float, report: Callable[[str], object]
) -> None:
    """Run the servers of a scenario for a time.

    Args:
        scenario_file: the scenario file.
        out: where the file of servers is written.
        duration_s: how long the servers run, in seconds.
        report: called with a line of text once the servers run.

    Raises:
        TomlError: the scenario file is invalid.
    """
    loop = asyncio.get_running_loop()
    simulation = Simulation(load_scenario(scenario_file), loop)
    simulation.accepts_foreign_requests = True
    simulation.new_listener = lambda factory: SocketListener(loop, factory, SERVER_ADDRESS)
    _start_servers(simulation)
    _write_endpoint_file(simulation, out)
    classes = ", ".join(f"/{name}/..." for name in simulation.classes)
    count = len(simulation.servers)
    report(f"{count} servers run for {duration_s:g} s and are listed in {out}; they accept {classes}")
    try:
        await asyncio.sleep(duration_s)
    finally:
        for server in simulation.servers.values():
            server.close()


def _start_servers(simulation: Simulation) -> None:
    for server in simulation.servers.values():
        server.prepare()
        if server.spec.start_s <= 0:
            server.start(cold=False)


def _write_endpoint_file(simulation: Simulation, out: Path) -> None:
    out.write_bytes(seal(endpoint_file_text(simulation).encode(), FILE_VERSION))
