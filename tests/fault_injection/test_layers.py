"""Tests of the fault layers in a child process, and of its death with its parent."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from client_proxy.fault_injection.child_process import LAUNCHER, ROOT, Child, process_state

PROBE_PROGRAM = """
import asyncio, json, os, socket, sys, time
from pathlib import Path
home = Path(sys.argv[1])
sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
def write(name):
    handle = os.open(home / name, os.O_WRONLY | os.O_CREAT, 0o644)
    os.write(handle, b"x" * 100)
    os.fsync(handle)
    os.close(handle)
async def dial(host, port):
    _, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 0.5)
    writer.write(b"four")
    await writer.drain()
    writer.close()
for line in sys.stdin:
    words = line.split()
    try:
        if words[0] == "write":
            write(words[1])
        elif words[0] == "open":
            (home / words[1]).write_text("x")
        elif words[0] == "replace":
            os.replace(home / words[1], home / words[2])
        elif words[0] == "send":
            sock.sendto(words[3].encode(), (words[1], int(words[2])))
        elif words[0] == "dial":
            asyncio.run(dial(words[1], int(words[2])))
        said = "ok"
    except OSError as error:
        said = str(error.errno)
    print(json.dumps([said, time.monotonic(), time.time()]), flush=True)
"""


class Probe:
    """A small program that runs with the fault layers."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / "probe_program.py").write_text(PROBE_PROGRAM)
        (folder / "home").mkdir()
        self.child = Child("probe", folder)

    async def start(self, adjustable_clock: bool = False) -> None:
        home = self.folder / "home"
        await self.child.start(
            "probe_program",
            str(home),
            path=self.folder,
            piped=True,
            fault_folder=home,
            adjustable_clock=adjustable_clock,
        )

    async def do(self, command: str) -> list[object]:
        process = self.child.process
        assert process is not None
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write(command.encode() + b"\n")
        line = await process.stdout.readline()
        answer: list[object] = json.loads(line) if line else ["gone"]
        return answer


def run_probe(folder: Path, test: Callable[[Probe], Awaitable[None]], adjustable_clock: bool = False) -> None:
    async def run() -> None:
        async with asyncio.timeout(30):
            probe = Probe(folder)
            await probe.start(adjustable_clock)
            try:
                await test(probe)
            finally:
                await probe.child.kill()

    asyncio.run(run())


def test_a_full_and_a_read_only_disk_reject_writes_and_count_them(tmp_path: Path) -> None:
    async def test(probe: Probe) -> None:
        assert (await probe.do("write a"))[0] == "ok"
        await probe.child.order(do="disk", mode="full")
        assert (await probe.do("write b"))[0] == "28" == (await probe.do("open b"))[0]
        assert (await probe.do("replace a c"))[0] == "ok"  # renaming needs no space
        await probe.child.order(do="disk", mode="read-only")
        assert (await probe.do("replace c d"))[0] == "30" == (await probe.do("write b"))[0]
        answer = await probe.child.order(do="disk", mode="")
        assert answer["counts"] == {"full": 2, "read-only": 2}
        assert (await probe.do("write b"))[0] == "ok"
        assert sorted(os.listdir(tmp_path / "home")) == ["b", "c"]

    run_probe(tmp_path, test)


def test_a_torn_write_leaves_half_a_file_and_kills_the_process(tmp_path: Path) -> None:
    async def test(probe: Probe) -> None:
        await probe.child.order(do="disk", mode="torn")
        assert (await probe.do("write a")) == ["gone"]
        assert await probe.child.wait_for_exit(5.0) == -signal.SIGKILL
        assert (tmp_path / "home" / "a").stat().st_size == 50

    run_probe(tmp_path, test)


def test_a_clock_runs_at_the_ordered_rate_and_offset_and_monotonic_time_never_jumps(tmp_path: Path) -> None:
    async def test(probe: Probe) -> None:
        one = await probe.child.order(do="clock", rate=1.5, step_s=-3600.0)
        two = await probe.child.order(do="clock", rate=1.5, step_s=-3600.0)
        while two["true_s"] - one["true_s"] < 0.2:
            two = await probe.child.order(do="clock", rate=1.5, step_s=-3600.0)
        rate = (two["told_s"] - one["told_s"]) / (two["true_s"] - one["true_s"])
        assert abs(rate - 1.5) < 0.05
        right = await probe.child.order(do="clock", rate=1.0, step_s=0.0)
        assert right["told_s"] >= two["told_s"]
        assert 3500 < right["unix_s"] - two["unix_s"] < 3700
        assert (await probe.do("write a"))[1] >= right["told_s"]

    run_probe(tmp_path, test, adjustable_clock=True)


def test_dials_to_a_cut_address_hang_and_others_do_not(tmp_path: Path) -> None:
    async def test(probe: Probe) -> None:
        with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.2", 0)) as other:
            cut_dial, other_dial = (f"dial {s.getsockname()[0]} {s.getsockname()[1]}" for s in (one, other))
            assert (await probe.do(cut_dial))[0] == "ok"
            await probe.child.order(do="streams", to=["127.0.0.1"], cut=True)
            assert (await probe.do(cut_dial))[0] == "None"  # a timeout: neither an answer nor a refusal
            answer = await probe.child.order(do="streams", to=["127.0.0.1"], cut=False)
            assert answer["counts"] == {"stream-cut": 1}
            await probe.child.order(do="streams", to=["127.0.0.1"], cut=True)
            assert (await probe.do(other_dial))[0] == "ok"
            answer = await probe.child.order(do="streams", to=["127.0.0.1"], cut=False)
            assert (await probe.do(cut_dial))[0] == "ok"
            assert answer["traffic"]["stream_bytes_sent"] == 8

    run_probe(tmp_path, test)


def test_datagrams_and_their_bytes_are_counted_except_lost_ones(tmp_path: Path) -> None:
    async def test(probe: Probe) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port:
            port.bind(("127.0.0.1", 0))
            send = f"send 127.0.0.1 {port.getsockname()[1]}"
            await probe.do(f"{send} abc")
            await probe.child.order(do="datagrams", to=["127.0.0.1"], kind="loss", share=1.0)
            await probe.do(f"{send} defgh")
            answer = await probe.child.order(do="look")
            assert answer["traffic"] == {"sent": 1, "bytes_sent": 3}
            assert answer["counts"] == {"loss": 1}

    run_probe(tmp_path, test)


def test_datagrams_are_lost_duplicated_reordered_and_delayed_for_one_address_only(tmp_path: Path) -> None:
    async def test(probe: Probe) -> None:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        ):
            for sock, host in ((one, "127.0.0.2"), (other, "127.0.0.3")):
                sock.bind((host, 0))
                sock.settimeout(5.0)

            async def send(text: str, to: socket.socket = one) -> None:
                host, port = to.getsockname()
                assert (await probe.do(f"send {host} {port} {text}"))[0] == "ok"

            async def order(kind: str = "") -> None:
                await probe.child.order(do="datagrams", to=["127.0.0.2"], kind=kind, share=1.0, ms=50.0)

            await order("loss")
            await send("lost")
            await send("there", other)
            assert other.recv(99) == b"there"
            await order("twice")
            await send("two")
            assert one.recv(99) == one.recv(99) == b"two"
            await order("reorder")
            await send("first")
            await send("second")
            assert (one.recv(99), one.recv(99)) == (b"second", b"first")
            await order("late")
            await send("late")
            assert one.recv(99) == b"late"
            await order()
            await send("plain")
            assert one.recv(99) == b"plain"
            counts = (await probe.child.order(do="disk", mode=""))["counts"]
            assert counts == {"loss": 1, "twice": 1, "reorder": 2, "late": 1}

    run_probe(tmp_path, test)


def test_a_stopped_child_dies_with_its_parent(tmp_path: Path) -> None:
    parent_code = f"""
import os, subprocess, sys
child = subprocess.Popen([sys.executable, {str(LAUNCHER)!r}, "--parent", str(os.getpid()), "--path",
    {str(ROOT)!r}, "--", "client_proxy.fault_injection.cpu_hog", "0"])
print(child.pid, flush=True)
sys.stdin.read()
"""
    with subprocess.Popen(
        [sys.executable, "-c", parent_code], stdout=subprocess.PIPE, stdin=subprocess.PIPE, text=True
    ) as parent:
        assert parent.stdout is not None
        pid = int(parent.stdout.readline())

        async def wait_until(condition: Callable[[], bool]) -> None:
            async with asyncio.timeout(20):
                while not condition():
                    await asyncio.sleep(0.01)

        # When its module runs, the kernel has been asked to kill it with its parent.
        asyncio.run(wait_until(lambda: b"cpu_hog" in Path(f"/proc/{pid}/cmdline").read_bytes()))
        asyncio.run(wait_until(lambda: os.sched_getaffinity(pid) == {0}))
        os.kill(pid, signal.SIGSTOP)
        parent.kill()
        parent.wait()
        asyncio.run(wait_until(lambda: process_state(pid) in ("", "Z")))
