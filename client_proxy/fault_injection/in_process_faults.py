"""Runs a module as `python -m` does, in a process that a drill controls. Standard library only.

    python in_process_faults.py --parent PID [--orders FD] -- MODULE ARGUMENTS...

The module may come from another checkout, so nothing of this one is imported. Before the module is imported,
the kernel is asked to kill this process when its parent dies. With `--orders`, a socket's file descriptor,
the clock, file, datagram and stream functions of the standard library are replaced by layers that can inject
faults; without an order each layer behaves like the function that it replaces.

Not covered: faults inside the event loop's own code, of memory, or of files that C code opens.
"""

from __future__ import annotations

import asyncio
import builtins
import collections
import contextlib
import ctypes
import errno
import io
import json
import os
import random
import runpy
import signal
import socket
import sys
import threading
import time
from typing import Any

PR_SET_PDEATHSIG = 1  # prctl(2): the signal that the kernel sends when the parent dies

counts: collections.Counter[str] = collections.Counter()  # operations affected by faults, by kind
traffic: collections.Counter[str] = collections.Counter()  # datagrams and bytes sent and received


class Clock:
    """Replaces the machine's clocks by ones of another rate and with an offset to the time of day."""

    def __init__(self) -> None:
        self.monotonic, self.unix = time.monotonic, time.time  # the machine's clocks
        self.rate, self.step_s = 1.0, 0.0  # seconds per true second; offset of the time of day
        self._true_s = self._reading_s = time.monotonic()
        self._unix_off_s = time.time() - time.monotonic()

    def adjust(self, rate: float, step_s: float) -> None:
        """Change rate and offset. The monotonic clock continues from its present reading, without a jump."""
        self._reading_s, self._true_s = self.now_s(), self.monotonic()
        self.rate, self.step_s = rate, step_s

    def now_s(self) -> float:
        """Return the adjusted monotonic time."""
        return self._reading_s + self.rate * (self.monotonic() - self._true_s)

    def unix_s(self) -> float:
        """Return the adjusted time of day."""
        return self._unix_off_s + self.now_s() + self.step_s

    def install(self) -> None:
        time.monotonic = self.now_s
        time.time = self.unix_s
        time.monotonic_ns = lambda: int(self.now_s() * 1e9)
        time.time_ns = lambda: int(self.unix_s() * 1e9)
        clock = self

        class AdjustedClockLoop(asyncio.SelectorEventLoop):
            """An event loop with timers by the adjusted clock; its selector waits in true seconds."""

            def __init__(self) -> None:
                super().__init__()
                select = self._selector.select  # type: ignore[attr-defined]

                def select_by_clock(timeout: float | None = None) -> Any:
                    return select(None if timeout is None else timeout / clock.rate)

                self._selector.select = select_by_clock  # type: ignore[attr-defined]

            def time(self) -> float:
                return clock.now_s()

        import uvloop

        def run(main: Any, **_: Any) -> Any:
            with asyncio.Runner(loop_factory=AdjustedClockLoop) as runner:
                return runner.run(main)

        uvloop.run = run


class Disk:
    """Injects disk faults for the files in an instance's folder."""

    def __init__(self, folder: str) -> None:
        self.folder = os.path.realpath(folder)
        self.mode, self.ms, self.step = "", 0.0, 0
        names = ("open", "replace", "unlink", "fsync")
        self._originals: dict[str, Any] = {name: getattr(os, name) for name in names}
        self._io_open = io.open
        self._paths: dict[int, str] = {}

    def _is_affected(self, path: Any) -> bool:
        try:
            return str(os.path.realpath(os.fspath(path))).startswith(self.folder + os.sep)
        except TypeError:
            return False

    def _count_step(self, path: Any) -> None:
        """In mode `die-at`, count a change of stored data; the process kills itself at the ordered count."""
        if self.mode == "die-at" and self._is_affected(path):
            counts["die-at"] += 1
            self.step -= 1
            if self.step <= 0:
                os.kill(os.getpid(), signal.SIGKILL)

    def _refuse(self, path: Any, grows: bool) -> None:
        """Raise the error of a full or read-only disk. `grows`: the operation needs space."""
        number = {"full": errno.ENOSPC if grows else 0, "read-only": errno.EROFS}.get(self.mode, 0)
        if number and self._is_affected(path):
            counts[self.mode] += 1
            raise OSError(number, os.strerror(number), os.fspath(path))

    def install(self) -> None:
        originals = self._originals

        def open_(path: Any, flags: int, *rest: Any, **more: Any) -> int:
            if flags & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
                self._refuse(path, grows=True)
            handle: int = originals["open"](path, flags, *rest, **more)
            self._paths[handle] = os.fspath(path)
            return handle

        def replace(old: Any, new: Any, *rest: Any, **more: Any) -> None:
            self._refuse(new, grows=False)
            self._count_step(new)
            originals["replace"](old, new, *rest, **more)
            self._count_step(new)

        def unlink(path: Any, *rest: Any, **more: Any) -> None:
            self._refuse(path, grows=False)
            originals["unlink"](path, *rest, **more)

        def fsync(handle: int) -> None:
            path = self._paths.get(handle, "")
            if self.mode == "slow-disk" and self._is_affected(path):
                counts["slow-disk"] += 1
                time.sleep(self.ms / 1000.0)
            if self.mode == "torn" and self._is_affected(path) and os.path.isfile(path):
                # As in a power loss after half of the data reached the disk.
                os.truncate(path, os.path.getsize(path) // 2)
                os.kill(os.getpid(), signal.SIGKILL)
            self._count_step(path)
            originals["fsync"](handle)
            self._count_step(path)

        def io_open(file: Any, mode: str = "r", *rest: Any, **more: Any) -> Any:
            if any(letter in mode for letter in "wax+"):
                self._refuse(file, grows=True)
            return self._io_open(file, mode, *rest, **more)

        os_: Any = os
        os_.open, os_.replace, os_.unlink, os_.remove, os_.fsync = open_, replace, unlink, unlink, fsync
        io.open = builtins.open = io_open


class Datagrams:
    """Injects faults into outgoing datagrams, by their destination."""

    def __init__(self) -> None:
        self.faults: dict[str, dict[str, Any]] = {}  # by IP address
        self._delayed: dict[str, tuple[Any, ...]] = {}
        self.datagrams_left = 0  # datagrams until the process kills itself in mode `die-after`
        self._random = random.Random(0)

    def install(self) -> None:
        layer = self

        class FaultySocket(socket.socket):
            def sendto(self, data: Any, *rest: Any) -> int:
                address = rest[-1]
                fault = layer.faults.get(address[0]) if self.type == socket.SOCK_DGRAM else None
                if fault is None or layer._random.random() >= fault["share"]:
                    traffic["sent"] += 1
                    traffic["bytes_sent"] += len(data)
                    return super().sendto(data, *rest)
                counts[fault["kind"]] += 1
                if fault["kind"] == "die-after":
                    sent = super().sendto(data, *rest)
                    layer.datagrams_left -= 1
                    if layer.datagrams_left <= 0:
                        os.kill(os.getpid(), signal.SIGKILL)
                    return sent
                if fault["kind"] == "late":
                    later = threading.Timer(fault["ms"] / 1000.0, self._send_late, (bytes(data), rest))
                    later.daemon = True
                    later.start()
                elif fault["kind"] == "twice":
                    super().sendto(data, *rest)
                    super().sendto(data, *rest)
                elif fault["kind"] == "reorder":
                    delayed = layer._delayed.pop(address[0], None)
                    if delayed is None:
                        layer._delayed[address[0]] = (bytes(data), rest)
                    else:
                        super().sendto(data, *rest)
                        super().sendto(delayed[0], *delayed[1])
                return len(data)

            def recvfrom(self, *arguments: Any) -> tuple[bytes, Any]:
                data, source = super().recvfrom(*arguments)
                traffic["received"] += 1
                traffic["bytes_received"] += len(data)
                return data, source

            def _send_late(self, data: bytes, rest: tuple[Any, ...]) -> None:
                with contextlib.suppress(OSError):  # the socket has been closed: the datagram is lost
                    super().sendto(data, *rest)

        socket.socket = FaultySocket  # type: ignore[misc]


class Streams:
    """Lets dials of asyncio's streams hang, by the address dialled, and counts the bytes of streams over TCP.

    Open connections are not affected, nor are dials that don't use asyncio's streams.
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()  # IP addresses

    def install(self) -> None:
        original_dial, original_feed, original_write = (
            asyncio.open_connection,
            asyncio.StreamReader.feed_data,
            asyncio.StreamWriter.write,
        )

        async def open_connection(host: Any = None, port: Any = None, **more: Any) -> Any:
            if host in self.cut:
                counts["stream-cut"] += 1
                # As with lost packets: neither an answer nor a refusal, until the caller gives up.
                await asyncio.get_running_loop().create_future()
            return await original_dial(host, port, **more)

        def is_tcp(transport: Any) -> bool:
            return transport is not None and isinstance(transport.get_extra_info("peername"), tuple)

        def feed_data(reader: Any, data: bytes) -> None:
            if is_tcp(reader._transport):
                traffic["stream_bytes_received"] += len(data)
            original_feed(reader, data)

        def write_data(writer: asyncio.StreamWriter, data: bytes) -> None:
            if is_tcp(writer.transport):
                traffic["stream_bytes_sent"] += len(data)
            original_write(writer, data)

        module: Any = asyncio
        module.open_connection = open_connection
        module.StreamReader.feed_data = feed_data
        module.StreamWriter.write = write_data


def handle_orders(handle: int, clock: Clock, disk: Disk, datagrams: Datagrams, streams: Streams) -> None:
    """Carry out the drill's orders, on a thread of their own; each is answered with the counts so far."""
    orders = socket.socket(fileno=handle)
    orders.setblocking(True)
    while line := orders.recv(65536):
        order = json.loads(line)
        if order["do"] == "clock":
            clock.adjust(order["rate"], order["step_s"])
        elif order["do"] == "disk":
            disk.mode, disk.ms, disk.step = order["mode"], order.get("ms", 0.0), order.get("step", 0)
        elif order["do"] == "datagrams":
            datagrams.datagrams_left = order.get("step", 0)
            for address in order["to"]:
                if order.get("kind"):
                    datagrams.faults[address] = order
                else:
                    datagrams.faults.pop(address, None)
        elif order["do"] == "streams":
            (streams.cut.update if order["cut"] else streams.cut.difference_update)(order["to"])
        clocks = {"told_s": time.monotonic(), "true_s": clock.monotonic(), "unix_s": time.time()}
        orders.send(json.dumps({"counts": dict(counts), "traffic": dict(traffic), **clocks}).encode())


def main() -> None:
    arguments = sys.argv[1:]
    separator = arguments.index("--")
    launcher_args, module, module_arguments = (
        arguments[:separator],
        arguments[separator + 1],
        arguments[separator + 2 :],
    )
    options = dict(zip(launcher_args[::2], launcher_args[1::2], strict=True))
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != int(options["--parent"]):
        # The parent died before the request above.
        sys.exit(0)
    sys.path.pop(0)  # this file's folder: its modules must not shadow others
    if "--path" in options:
        sys.path.insert(0, options["--path"])
    if "--orders" in options:
        clock, disk, datagrams, streams = Clock(), Disk(options["--folder"]), Datagrams(), Streams()
        if options.get("--clock") == "bent":
            clock.install()
        disk.install()
        datagrams.install()
        streams.install()
        handle = int(options["--orders"])
        os.set_inheritable(handle, False)
        threading.Thread(
            target=handle_orders, args=(handle, clock, disk, datagrams, streams), daemon=True
        ).start()
    sys.argv = [module, *module_arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
