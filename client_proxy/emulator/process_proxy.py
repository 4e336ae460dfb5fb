"""A proxy in a process of its own, started with the arguments and variables that the platform passes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

from client_proxy.checkout import package_name
from client_proxy.emulator.environment import ProxyEnvironment
from client_proxy.emulator.listeners import Address

REPOSITORY = Path(__file__).resolve().parents[2]


class ProcessProxy:
    """A proxy that listens on a loopback address.

    Args:
        environment: the simulation's environment for proxies.
        number: the proxy's number.
        folder: the folder for its configuration file and its log file.
        build: the checkout whose daemon is run; None: this one.

    Attributes:
        address: where it listens.
        up: whether its process runs; false from the moment it is killed.
        incarnation: the number of its starts.
        failures: a line for each time that its process ended without being stopped or killed.
    """

    def __init__(self, environment: ProxyEnvironment, number: int, folder: Path, build: Path | None) -> None:
        self._environment, self._number, self._folder, self._build = environment, number, folder, build
        self.address: Address = _free_address(number)
        self.up = False
        self.incarnation = 0
        self.failures: list[str] = []
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._stopping = False

    @property
    def _log_file(self) -> Path:
        return self._folder / f"proxy-{self._number}.log"

    async def start(self) -> None:
        """Start a process."""
        self.incarnation += 1
        self._stopping = False
        config_file = self._folder / f"proxy-{self._number}.json"
        config_file.write_text(json.dumps(self._environment.proxy_config(self._number, self.incarnation)))
        root = self._build or REPOSITORY
        variables = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        variables |= {"LB_CONFIG": str(config_file), "PYTHONPATH": str(root)}
        arguments = ["-m", f"{package_name(root)}.proxy"]
        if self._environment.operators_file is not None:
            arguments += ["--operators", str(self._environment.operators_file.resolve())]
        with self._log_file.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, env=variables, cwd=root, stdout=log_file, stderr=log_file
            )
        self.up = True
        self._watcher = self._environment.loop.create_task(self._watch(self._process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the end of the process, and record it as a failure unless it was asked for."""
        exit_code = await process.wait()
        if process is not self._process:
            return
        self.up = False
        if not self._stopping:
            lines = self._log_file.read_text(errors="replace").strip().splitlines()
            last_line = lines[-1] if lines else "it logged nothing"
            self.failures.append(f"proxy {self._number} ended by itself, exit code {exit_code}: {last_line}")

    def stop(self) -> None:
        """Send SIGTERM, which asks for a graceful shutdown."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL."""
        self._signal(signal.SIGKILL)
        self.up = False

    def _signal(self, number: signal.Signals) -> None:
        self._stopping = True
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def ended(self) -> None:
        """Wait for the end of the process."""
        if self._process is not None:
            await self._process.wait()
        self.up = False


def _free_address(number: int) -> Address:
    """Return a free port on a loopback address where no emulated server listens.

    On the address of the servers, a listener created later could be given the port before the proxy binds it.
    """
    process_id = os.getpid()
    host = f"127.{64 + process_id % 64}.{process_id // 64 % 256}.{1 + number % 250}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        address: Address = sock.getsockname()
    return address
