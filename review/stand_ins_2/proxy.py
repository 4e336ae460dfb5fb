"""Starts client proxies with the command of the deploy file, each in a process of its own."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from review.stand_ins_2.http import read_message
from review.stand_ins_2.record import Record

Json = dict[str, Any]
ROOT = Path(__file__).resolve().parents[2]
READY_LIMIT_S = 30.0  # a client proxy that takes longer to be ready has failed


PROXY_HOST = "127.0.0.7"  # stand-ins use 127.0.0.1, so none of their connections can take a proxy's port


def free_port() -> int:
    """Return a port of the proxies' loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((PROXY_HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class ProxyFailedError(RuntimeError):
    """A client proxy did not start, or is not ready in time."""


class ProxyProcess:
    """One client proxy of the deploy file's `run` command."""

    def __init__(self, record: Record, folder: Path, name: str, settings: Json, discovery_port: int) -> None:
        self._record, self._folder, self.name = record, folder, name
        self.port = free_port()
        self._settings, self._discovery_port = settings, discovery_port
        self._process: asyncio.subprocess.Process | None = None

    def write_config(self, known: Json | None = None, **changes: Any) -> Path:
        """Write the configuration file."""
        config: Json = {
            "name": self.name,
            "listen": f"{PROXY_HOST}:{self.port}",
            "discovery": f"127.0.0.1:{self._discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self._settings,
            **changes,
        }
        if known is not None:
            config["known"] = known
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        return path

    async def start(self, known: Json | None = None, **changes: Any) -> None:
        """Start the process, and wait until it is ready. Raises ProxyFailedError."""
        await self.spawn(known, **changes)
        await self.wait_until_ready()

    async def spawn(self, known: Json | None = None, **changes: Any) -> None:
        """Start the process."""
        config = self.write_config(known, **changes)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self._folder),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LB_NAME": self.name,
            "LB_LISTEN": f"{PROXY_HOST}:{self.port}",
            "LB_DISCOVERY": f"127.0.0.1:{self._discovery_port}",
            "LB_CONFIG": str(config),
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self._record.add(f"client proxy {self.name} starts")

    async def wait_until_program(self) -> None:
        """Wait until the shell round the program has made way for it."""
        async with asyncio.timeout(READY_LIMIT_S):
            for _ in itertools.count():
                if self._is_program():
                    return
                await asyncio.sleep(0.001)

    def _is_program(self) -> bool:
        return b"client_proxy.proxy\0" in Path(f"/proc/{self.pid}/cmdline").read_bytes()

    async def wait_until_ready(self) -> None:
        """Wait until the process is ready. Raises ProxyFailedError."""
        try:
            async with asyncio.timeout(READY_LIMIT_S):
                await self._poll_until_ready()
        except TimeoutError:
            raise ProxyFailedError(f"{self.name} is not ready after {READY_LIMIT_S} s") from None
        self._record.add(f"client proxy {self.name} is ready")

    async def _poll_until_ready(self) -> None:
        while True:
            if await self._is_ready():
                return
            await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        if self._process is not None and self._process.returncode is not None:
            raise ProxyFailedError(f"{self.name} ended with {self._process.returncode}")
        try:
            reader, writer = await asyncio.open_connection(PROXY_HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            message = await read_message(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            message = None
        finally:
            writer.transport.abort()
        return message is not None and message.status == 200

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return None if self._process is None else self._process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            self._record.add(f"client proxy {self.name} gets {number.name}")

    async def wait_until_ended(self) -> None:
        """Wait for the end of a process that was told to end."""
        if self._process is not None:
            await self._process.wait()
            self._record.add(f"client proxy {self.name} has ended with {self._process.returncode}")

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()

    def log_lines(self) -> list[str]:
        """Return what the process wrote to its log."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace").splitlines() if path.exists() else []
