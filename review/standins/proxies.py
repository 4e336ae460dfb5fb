"""Starts client proxies with the run line of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]


def free_port() -> int:
    """Return a port of the loopback address that nothing listens on."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def settings(
    categories: list[dict[str, Any]], balancers: int, ordinal: int, **changes: Any
) -> dict[str, Any]:
    """Return settings like those of `sofia-records`, as on the page of the wire."""
    facts: dict[str, Any] = {
        "balancers": balancers,
        "bounds": {
            "cancel": True,
            "conn_idle_ms": 60000.0,
            "connect_timeout_ms": 250.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 66666,
            "max_attempts": 3,
            "max_open": 26666,
            "max_retry_after_ms": 750.0,
            "parallel_tries": True,
            "peers": False,
            "probes": False,
            "retry_after": False,
            "streams_per_conn": 100,
        },
        "categories": categories,
        "clients": {"marks_retry": True},
        "counted_by": "request",
        "discovery": "subscribe",
        "family": "mesh",
        "family_info": {"warm_keys": False},
        "layer": 0,
        "objective_mix": {"whole": 0.55, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.15},
        "ordinal": ordinal,
        "over_share_worth": 0.1,
        "prices": {
            "connection": 0.05,
            "cross_zone": 0.01,
            "handshake": 0.05,
            "late_fail": 0.05,
            "waste": 0.15,
        },
        "projects": [],
        "reporting": {"fields": ["inflight", "queue", "latency_ms"], "how": "inline"},
        "safety": {
            "cold_ms": 7500.0,
            "cold_share": 0.31,
            "drain_grace_ms": 1000.0,
            "fall_ms": 2000.0,
            "fall_multiple": 3.0,
            "grace_to_answer_ms": 20.0,
            "must_ask_in_ms": 10000.0,
        },
        "skus": ["fast-quad", "plain-quad"],
        "step_ms": 5.0,
        "tiers": ["record-servers"],
        "weight_source": "rough",
        "zone": "hall-mladost",
        "zones": ["hall-lozenets", "hall-mladost", "hall-lyulin"],
    }
    return facts | changes


CATEGORIES: list[dict[str, Any]] = [
    {
        "aim_ms": 500.0,
        "deadline_ms": 1200.0,
        "effect": "dedup",
        "group": "cell",
        "late_worth": 0.0,
        "name": "extract-issue",
        "stream": False,
        "window_ms": 1200.0,
        "worth": 3.0,
    },
    {
        "aim_ms": 800.0,
        "deadline_ms": 1500.0,
        "effect": "fragile",
        "group": "all",
        "late_worth": 0.0,
        "name": "entry-register",
        "stream": False,
        "window_ms": 5000.0,
        "worth": 10.0,
    },
]


@dataclass
class ProxyProcess:
    """One client proxy as a process of its own."""

    name: str
    config: dict[str, Any]
    record: Record
    folder: Path
    process: asyncio.subprocess.Process | None = None
    most_mb: float = 0.0
    ended_by_us: bool = False

    @classmethod
    def configured(cls, number: int, facts: dict[str, Any], discovery: int, record: Record) -> ProxyProcess:
        """Return a proxy that has not started, in a temporary folder of its own."""
        name = f"n{number}"
        port = free_port()
        config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{0x8C1F30D27A5BE964 + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": None,
            "settings": facts,
        }
        return cls(name, config, record, Path(tempfile.mkdtemp(prefix="review-")))

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        return int(self.config["listen"].rpartition(":")[2])

    async def start(self) -> None:
        """Start the process with the run line of the deploy file."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        env = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_line, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        with (self.folder.parent / "pids").open("a", encoding="ascii") as pids:
            pids.write(f"{self.process.pid}\n")  # for `run.sh`, in case this process is killed
        self.record.add("proxy started", name=self.name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record.add("signal", name=self.name, signal=number.name)
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the memory that the process holds now."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        resident = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(resident[0]) / 1024.0 if resident else 0.0

    def crash(self) -> str:
        """End the process if it holds more memory than its limit; return what happened, if anything did."""
        held_mb, limit_mb = self.memory_mb(), float(self.config["limits"]["memory_mb"])
        self.most_mb = max(self.most_mb, held_mb)
        if held_mb > limit_mb and self.process is not None and not self.ended_by_us:
            self.ended_by_us = True
            self.process.kill()
            return f"{self.name} held {held_mb:.0f} MB of {limit_mb:.0f} and was ended for it"
        if self.process is not None and self.process.returncode is not None and not self.ended_by_us:
            return f"{self.name} ended by itself: {self.process.returncode}"
        return ""

    async def end(self) -> None:
        """End the process at once, and remove its folder."""
        self.ended_by_us = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()
