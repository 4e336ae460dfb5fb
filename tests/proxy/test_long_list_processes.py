"""Three processes with an endpoint list five times as long as the connection limit of each.

A third of the servers fails and comes back meanwhile."""

from __future__ import annotations

import asyncio
import sys
from asyncio.subprocess import DEVNULL, Process
from collections import Counter
from pathlib import Path

from client_proxy.fault_injection.child_process import LISTEN, tcp_sockets
from client_proxy.proxy.daemon import connection_quota
from tests.proxy.sockets import KEYED_CLASS, Client, Host, run, until

DAEMONS, SERVERS, SOCKETS = 3, 120, 136
FAILING = 40
CLIENTS, CALLS = 4, 75  # clients of each daemon; calls of each client in a phase
ESTABLISHED = "01"  # connection state in /proc/net/tcp

SERVE = f"""
listen = "127.0.0.1:0"
sockets = {SOCKETS}

[servers]
file = "servers.toml"
settle_ms = 0

[[class]]
name = "{KEYED_CLASS}"
effect = "keyed"
window_ms = 10000
aim_ms = 8000
deadline_ms = 10000
"""


async def start_daemon(folder: Path) -> tuple[Process, int]:
    """Start a daemon; returns the process and its port."""
    arguments = ["-m", "client_proxy.cli", "serve", "--config", str(folder / "serve.toml")]
    process = await asyncio.create_subprocess_exec(sys.executable, *arguments, stdout=DEVNULL, stderr=DEVNULL)
    await until(lambda: bool(tcp_sockets(process.pid, LISTEN)) or process.returncode is not None)
    return process, tcp_sockets(process.pid, LISTEN)[0][1]


async def make_calls(port: int, number: int) -> Counter[int]:
    """Run one client with sequential calls; returns the number of responses by status."""
    statuses: Counter[int] = Counter()
    client = await Client.connect(port)
    for count in range(CALLS):
        status, _, _ = await client.ask(KEYED_CLASS, expires_ms=10_000, key=f"{port}-{number}-{count}")
        statuses[status] += 1
    client.close()
    return statuses


async def run_phase(ports: list[int]) -> Counter[int]:
    """Run all clients of all daemons; returns the number of responses by status."""
    results = await asyncio.gather(*(make_calls(port, n) for port in ports for n in range(CLIENTS)))
    return sum(results, Counter[int]())


def test_calls_are_answered_with_a_list_longer_than_the_connection_limit(tmp_path: Path) -> None:
    async def test() -> None:
        hosts = [await Host(f"s{n:03d}").start() for n in range(SERVERS)]
        server_ports = {host.port for host in hosts}
        entries = (f'[[server]]\nname = "{h.name}"\naddress = "127.0.0.1:{h.port}"\n' for h in hosts)
        (tmp_path / "servers.toml").write_text("\n".join(entries))
        (tmp_path / "serve.toml").write_text(SERVE)
        daemons: list[tuple[Process, int]] = []
        total_calls = DAEMONS * CLIENTS * CALLS
        try:
            daemons += [await start_daemon(tmp_path) for _ in range(DAEMONS)]
            ports = [port for _, port in daemons]

            def max_server_connections() -> int:
                """Return the largest number of connections to servers that a daemon has now."""
                return max(
                    sum(remote in server_ports for _, _, _, remote in tcp_sockets(process.pid, ESTABLISHED))
                    for process, _ in daemons
                )

            # Dials at the connection limit must not fail: a quarter of the calls would be rejected.
            assert await run_phase(ports) == {200: total_calls}
            assert max_server_connections() <= connection_quota(SOCKETS).upstream_connections
            dials = sum(host.connections for host in hosts)
            assert await run_phase(ports) == {200: total_calls}
            assert sum(host.connections for host in hosts) - dials < 0.1 * total_calls
            for host in hosts[:FAILING]:
                host.stop()
            answers = await run_phase(ports)
            assert sum(answers.values()) == total_calls
            assert answers[200] > 0.9 * total_calls
            for host in hosts[:FAILING]:
                await host.start()
            assert await run_phase(ports) == {200: total_calls}
            assert max_server_connections() <= connection_quota(SOCKETS).upstream_connections
            for process, _ in daemons:
                process.terminate()
            assert [await process.wait() for process, _ in daemons] == [0] * DAEMONS
        finally:
            for process, _ in daemons:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            for host in hosts:
                host.stop()

    run(test())
