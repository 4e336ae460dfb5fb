"""One process of a drill: started, in hand, looked at through /proc, and ended whole.

Everything a drill starts goes through `in_process_faults.py`, which has the system kill it when the drill
dies; so a kill -9 of the drill leaves nothing behind."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from client_proxy.fault_injection.helper import MOST_ORDER

Json = dict[str, Any]
ROOT = Path(__file__).resolve().parents[2]
INSIDE = Path(__file__).with_name("in_process_faults.py")
LOOK_S = 0.005  # between two looks at /proc, where the system tells no event
ANSWER_S = 20.0
LISTEN = "0A"  # states of /proc/net/tcp
SYN_SENT = "02"


class RigError(RuntimeError):
    """The drill itself could not do what the plan says: no verdict on the program."""


def process_state(pid: int) -> str:
    """The letter of its state (proc(5)); "" if it is gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return ""
    return text.rpartition(")")[2].split()[0]


def tcp_sockets(pid: int, state: str) -> list[tuple[str, int, str, int]]:
    """Its TCP sockets over IPv4 in that state: local address and port, remote address and port."""
    inodes = set()
    try:
        for entry in os.listdir(f"/proc/{pid}/fd"):
            with suppress(OSError):
                target = os.readlink(f"/proc/{pid}/fd/{entry}")
                if target.startswith("socket:["):
                    inodes.add(target[8:-1])
        lines = Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    except OSError:
        return []
    found = []
    for line in lines:
        parts = line.split()
        if parts[3] == state and parts[9] in inodes:
            found.append((*_address(parts[1]), *_address(parts[2])))
    return found


def _address(text: str) -> tuple[str, int]:
    host, port = text.split(":")
    return socket.inet_ntoa(bytes.fromhex(host)[::-1]), int(port, 16)


def descriptors(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def resident_kb(pid: int) -> int:
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def handles_signal(pid: int, number: int) -> bool:
    """Whether it has a handler for the signal (proc(5), SigCgt)."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("SigCgt:"):
                return bool(int(line.split()[1], 16) >> (number - 1) & 1)
    return False


def waited_s(pid: int) -> float:
    """Seconds that it was ready to run and had no core (schedstat's second figure)."""
    with suppress(OSError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    return 0.0


def cpu_time_s(pid: int) -> float:
    """Seconds of a core that all of its threads have used."""
    with suppress(OSError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return 0.0


class Child:
    """A process of ours, with a log of what it says."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.life = 0
        self._orders: socket.socket | None = None

    async def start(
        self,
        module: str,
        *words: str,
        path: Path | None = None,
        cwd: Path | None = None,
        env: dict[str, str] | None = None,
        piped: bool = False,
        fault_folder: Path | None = None,
        adjustable_clock: bool = False,
    ) -> None:
        """`path`: the checkout whose code it runs. `faulty`: the folder that its faulty file layer is for;
        with it, orders can be given through `order`. `bent`: with a clock that orders can bend."""
        self.life += 1
        own = ["--parent", str(os.getpid()), "--path", str(path or ROOT)]
        theirs: socket.socket | None = None
        if fault_folder is not None:
            self._drop_orders()
            self._orders, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            self._orders.setblocking(False)
            own += ["--orders", str(theirs.fileno()), "--folder", str(fault_folder)]
            own += ["--clock", "bent"] if adjustable_clock else []
        pipe = asyncio.subprocess.PIPE if piped else asyncio.subprocess.DEVNULL
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "PYTHONPATH"))}
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-u", str(INSIDE), *own, "--", module, *words,
                stdin=pipe, stdout=asyncio.subprocess.PIPE if piped else out, stderr=out,
                cwd=cwd or path or ROOT, env=kept | (env or {}), limit=MOST_ORDER,
                pass_fds=() if theirs is None else (theirs.fileno(),),
            )  # fmt: skip
        if theirs is not None:
            theirs.close()

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Raises RigError if it has gone: a fault that finds nobody did not happen."""
        if not self.up or self.process is None:
            raise RigError(f"{self.name}: gone before it could get signal {number}")
        self.process.send_signal(number)

    async def wait_for_state(self, state: str, within_s: float = 5.0) -> bool:
        """Is it in that state of proc(5) (T: stopped) in time? `!T`: in any other."""
        wanted, unlike = state.lstrip("!"), state.startswith("!")
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            if (process_state(self.pid) == wanted) != unlike:
                return True
            await asyncio.sleep(LOOK_S)
        return False

    async def wait_for_exit(self, within_s: float) -> int | None:
        """Its exit code; None if it still runs."""
        if self.process is None:
            return 0
        with suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self.process.wait()
        return self.process.returncode

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self._drop_orders()

    async def wait_until_listening(self, port: int, within_s: float = 30.0) -> tuple[str, int]:
        """Its address with that port, once the system says that it listens there. Raises RigError if it ends,
        or does not listen in time."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            for host, known, _, _ in tcp_sockets(self.pid, LISTEN):
                if known == port:
                    return host, known
            if not self.up:
                raise RigError(f"{self.name}: ended before it listened: {self.last_line()}")
            await asyncio.sleep(LOOK_S)
        raise RigError(f"{self.name}: does not listen after {within_s:g} s")

    def last_line(self) -> str:
        with suppress(OSError):
            lines = self.log.read_text(errors="replace").strip().splitlines()
            return lines[-1][-300:] if lines else "it said nothing"
        return "it said nothing"

    async def order(self, **order: Any) -> Json:
        """To the layers under it. Raises RigError if nothing answers: a stopped process does not."""
        if self._orders is None:
            raise RigError(f"{self.name}: was not started with layers for faults")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_S):
                await loop.sock_sendall(self._orders, json.dumps(order).encode())
                said = await loop.sock_recv(self._orders, 65536)
        except (TimeoutError, OSError) as error:
            raise RigError(f"{self.name}: {order['do']}: no answer ({type(error).__name__})") from None
        if not said:
            raise RigError(f"{self.name}: {order['do']}: it has gone")
        answer: Json = json.loads(said)
        return answer

    def _drop_orders(self) -> None:
        if self._orders is not None:
            self._orders.close()
            self._orders = None


class Helper(Child):
    """One of the drill's own processes (`helper.py`)."""

    def __init__(self, name: str, folder: Path) -> None:
        super().__init__(name, folder)
        self._number = 0
        self._turn = asyncio.Lock()

    async def begin(self, module: str) -> None:
        await self.start(module, piped=True)

    async def ask(self, do: str, **fields: Any) -> Json:
        """Raises RigError for whatever it answers but success."""
        process = self.process
        if process is None or process.stdin is None or process.stdout is None:
            raise RigError(f"{self.name}: not started")
        async with self._turn:
            self._number += 1
            order = {"n": self._number, "do": do, **fields}
            try:
                process.stdin.write(json.dumps(order).encode() + b"\n")
                async with asyncio.timeout(ANSWER_S):
                    line = await process.stdout.readline()
            except (TimeoutError, ConnectionError) as error:
                raise RigError(f"{self.name}: {do}: no answer ({type(error).__name__})") from None
        if not line:
            raise RigError(f"{self.name}: {do}: it has ended: {self.last_line()}")
        answer: Json = json.loads(line)
        if not answer["ok"]:
            raise RigError(f"{self.name}: {do}: {answer['why']}")
        return answer

    async def end(self) -> None:
        """By the end of its standard input; by SIGKILL if that is not enough."""
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
            if await self.wait_for_exit(3.0) is None:
                await self.kill()


def stop_signal(name: str) -> int:
    return {"kill": signal.SIGKILL, "term": signal.SIGTERM, "stop": signal.SIGSTOP}[name]
