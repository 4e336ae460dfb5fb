"""Child processes of a drill: start, signals, control messages, inspection through /proc, and end.

Each is started by way of `in_process_faults.py`, which asks the kernel to kill it when the drill dies; so a
kill -9 of the drill leaves no process behind.
"""

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

from client_proxy.fault_injection.helper import MAX_ORDER_BYTES

Json = dict[str, Any]
ROOT = Path(__file__).resolve().parents[2]
LAUNCHER = Path(__file__).with_name("in_process_faults.py")
POLL_S = 0.005  # between two reads of /proc, which notifies nobody of changes
ANSWER_TIMEOUT_S = 20.0  # longest wait for the answer to an order
LISTEN = "0A"  # state of a socket in /proc/net/tcp
SYN_SENT = "02"  # likewise


class RigError(RuntimeError):
    """The drill itself could not do what the plan says, so there is no verdict on the program."""


def process_state(pid: int) -> str:
    """Return the letter of a process's state (proc(5)); "" if there is no such process."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return ""
    return text.rpartition(")")[2].split()[0]


def tcp_sockets(pid: int, state: str) -> list[tuple[str, int, str, int]]:
    """Return a process's IPv4 TCP sockets in a state: local address and port, remote address and port."""
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
    """Return the number of a process's open descriptors; 0 if there is no such process."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def resident_kb(pid: int) -> int:
    """Return a process's resident memory in KiB; 0 if there is no such process."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def handles_signal(pid: int, number: int) -> bool:
    """Return whether a process has a handler for the signal (proc(5), SigCgt)."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("SigCgt:"):
                return bool(int(line.split()[1], 16) >> (number - 1) & 1)
    return False


def waited_s(pid: int) -> float:
    """Return for how many seconds a process was runnable without a core (schedstat's second figure)."""
    with suppress(OSError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    return 0.0


def cpu_time_s(pid: int) -> float:
    """Return the CPU seconds that all threads of a process have used."""
    with suppress(OSError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return 0.0


class Child:
    """A child process, with a log file of what it prints."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.start_count = 0
        self._order_socket: socket.socket | None = None

    async def start(
        self,
        module: str,
        *arguments: str,
        path: Path | None = None,
        cwd: Path | None = None,
        env: dict[str, str] | None = None,
        piped: bool = False,
        fault_folder: Path | None = None,
        adjustable_clock: bool = False,
    ) -> None:
        """Start `python -m module arguments...`.

        Args:
            module: The module to run.
            arguments: Its command line.
            path: The checkout whose code it runs.
            cwd: Its working directory; None: the checkout.
            env: Further environment variables. Inherited are all but LB_* and PYTHONPATH.
            piped: Standard input and output are pipes; else output goes to the log.
            fault_folder: The folder whose files can get faults. Needed for `order`.
            adjustable_clock: Orders can change the speed and the time of day of its clock.
        """
        self.start_count += 1
        launcher_arguments = ["--parent", str(os.getpid()), "--path", str(path or ROOT)]
        child_end: socket.socket | None = None
        if fault_folder is not None:
            self._close_order_socket()
            self._order_socket, child_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            self._order_socket.setblocking(False)
            launcher_arguments += ["--orders", str(child_end.fileno()), "--folder", str(fault_folder)]
            launcher_arguments += ["--clock", "bent"] if adjustable_clock else []
        pipe = asyncio.subprocess.PIPE if piped else asyncio.subprocess.DEVNULL
        inherited = {
            key: value for key, value in os.environ.items() if not key.startswith(("LB_", "PYTHONPATH"))
        }
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-u", str(LAUNCHER), *launcher_arguments, "--", module, *arguments,
                stdin=pipe, stdout=asyncio.subprocess.PIPE if piped else out, stderr=out,
                cwd=cwd or path or ROOT, env=inherited | (env or {}), limit=MAX_ORDER_BYTES,
                pass_fds=() if child_end is None else (child_end.fileno(),),
            )  # fmt: skip
        if child_end is not None:
            child_end.close()

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal. Raises RigError if the process has ended: then the fault did not happen."""
        if not self.up or self.process is None:
            raise RigError(f"{self.name}: gone before it could get signal {number}")
        self.process.send_signal(number)

    async def wait_for_state(self, state: str, within_s: float = 5.0) -> bool:
        """Wait until the process is in a state of proc(5) (T: stopped), or with `!T` in any other.

        Returns:
            Whether it got there in time.
        """
        letter, negated = state.lstrip("!"), state.startswith("!")
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            if (process_state(self.pid) == letter) != negated:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def wait_for_exit(self, within_s: float) -> int | None:
        """Wait for the end of the process. Return its exit code; None if it still runs."""
        if self.process is None:
            return 0
        with suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self.process.wait()
        return self.process.returncode

    async def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self._close_order_socket()

    async def wait_until_listening(self, port: int, within_s: float = 30.0) -> tuple[str, int]:
        """Wait until the process listens on the port, and return that address.

        Raises:
            RigError: It ends before, or does not listen in time.
        """
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            for host, local_port, _, _ in tcp_sockets(self.pid, LISTEN):
                if local_port == port:
                    return host, local_port
            if not self.up:
                raise RigError(f"{self.name}: ended before it listened on port {port}: {self.last_line()}")
            await asyncio.sleep(POLL_S)
        raise RigError(f"{self.name}: does not listen on port {port} after {within_s:g} s")

    def last_line(self) -> str:
        """Return the end of the log's last line, for error messages."""
        with suppress(OSError):
            lines = self.log.read_text(errors="replace").strip().splitlines()
            return lines[-1][-300:] if lines else "its log is empty"
        return "its log is empty"

    async def order(self, **order: Any) -> Json:
        """Send an order to the process's fault layers (`in_process_faults.py`), and return the answer.

        Raises:
            RigError: Nothing answers, as when the process is stopped.
        """
        if self._order_socket is None:
            raise RigError(f"{self.name}: started without fault layers")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await loop.sock_sendall(self._order_socket, json.dumps(order).encode())
                data = await loop.sock_recv(self._order_socket, 65536)
        except (TimeoutError, OSError) as error:
            raise RigError(f"{self.name}: {order['do']}: no answer ({type(error).__name__})") from None
        if not data:
            raise RigError(f"{self.name}: {order['do']}: the process has ended")
        answer: Json = json.loads(data)
        return answer

    def _close_order_socket(self) -> None:
        if self._order_socket is not None:
            self._order_socket.close()
            self._order_socket = None


class Helper(Child):
    """One of the drill's own processes, which obeys orders (`helper.py`)."""

    def __init__(self, name: str, folder: Path) -> None:
        super().__init__(name, folder)
        self._order_number = 0
        self._lock = asyncio.Lock()

    async def begin(self, module: str) -> None:
        """Start the helper's module."""
        await self.start(module, piped=True)

    async def ask(self, do: str, **fields: Any) -> Json:
        """Send an order, and return the answer. Raises RigError for any answer but success, or for none."""
        process = self.process
        if process is None or process.stdin is None or process.stdout is None:
            raise RigError(f"{self.name}: not started")
        async with self._lock:
            self._order_number += 1
            order = {"n": self._order_number, "do": do, **fields}
            try:
                process.stdin.write(json.dumps(order).encode() + b"\n")
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    line = await process.stdout.readline()
            except (TimeoutError, ConnectionError) as error:
                raise RigError(f"{self.name}: {do}: no answer ({type(error).__name__})") from None
        if not line:
            raise RigError(f"{self.name}: {do}: the process has ended: {self.last_line()}")
        answer: Json = json.loads(line)
        if not answer["ok"]:
            raise RigError(f"{self.name}: {do}: {answer['why']}")
        return answer

    async def end(self) -> None:
        """End the process by closing its standard input, or by SIGKILL if that takes too long."""
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
            if await self.wait_for_exit(3.0) is None:
                await self.kill()


def stop_signal(name: str) -> int:
    """Return the signal of a fault of the kind `name`."""
    return {"kill": signal.SIGKILL, "term": signal.SIGTERM, "stop": signal.SIGSTOP}[name]
