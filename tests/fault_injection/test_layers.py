"""The layers under a program, and its tie to the drill: seen in a process of its own."""

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

PROBE = """
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


class Probed:
    """A small program with the layers under it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / "probe_program.py").write_text(PROBE)
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

    async def do(self, words: str) -> list[object]:
        process = self.child.process
        assert process is not None
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write(words.encode() + b"\n")
        line = await process.stdout.readline()
        answer: list[object] = json.loads(line) if line else ["gone"]
        return answer


def probed(folder: Path, test: Callable[[Probed], Awaitable[None]], adjustable_clock: bool = False) -> None:
    async def run() -> None:
        async with asyncio.timeout(30):
            made = Probed(folder)
            await made.start(adjustable_clock)
            try:
                await test(made)
            finally:
                await made.child.kill()

    asyncio.run(run())


def test_a_full_and_a_read_only_disk_refuse_and_are_counted(tmp_path: Path) -> None:
    async def test(made: Probed) -> None:
        assert (await made.do("write a"))[0] == "ok"
        await made.child.order(do="disk", mode="full")
        assert (await made.do("write b"))[0] == "28" == (await made.do("open b"))[0]
        assert (await made.do("replace a c"))[0] == "ok"  # a full disk has room for another name
        await made.child.order(do="disk", mode="read-only")
        assert (await made.do("replace c d"))[0] == "30" == (await made.do("write b"))[0]
        said = await made.child.order(do="disk", mode="")
        assert said["counts"] == {"full": 2, "read-only": 2}
        assert (await made.do("write b"))[0] == "ok"
        assert sorted(os.listdir(tmp_path / "home")) == ["b", "c"]

    probed(tmp_path, test)


def test_a_torn_write_leaves_half_and_a_dead_process(tmp_path: Path) -> None:
    async def test(made: Probed) -> None:
        await made.child.order(do="disk", mode="torn")
        assert (await made.do("write a")) == ["gone"]
        assert await made.child.wait_for_exit(5.0) == -signal.SIGKILL
        assert (tmp_path / "home" / "a").stat().st_size == 50

    probed(tmp_path, test)


def test_a_clock_runs_at_its_rate_and_its_day_is_off_while_monotonic_never_jumps(tmp_path: Path) -> None:
    async def test(made: Probed) -> None:
        one = await made.child.order(do="clock", rate=1.5, step_s=-3600.0)
        two = await made.child.order(do="clock", rate=1.5, step_s=-3600.0)
        while two["true_s"] - one["true_s"] < 0.2:
            two = await made.child.order(do="clock", rate=1.5, step_s=-3600.0)
        rate = (two["told_s"] - one["told_s"]) / (two["true_s"] - one["true_s"])
        assert abs(rate - 1.5) < 0.05
        right = await made.child.order(do="clock", rate=1.0, step_s=0.0)
        assert right["told_s"] >= two["told_s"]
        assert 3500 < right["unix_s"] - two["unix_s"] < 3700
        assert (await made.do("write a"))[1] >= right["told_s"]

    probed(tmp_path, test, adjustable_clock=True)


def test_dials_to_an_address_that_is_cut_hang_and_others_do_not(tmp_path: Path) -> None:
    async def test(made: Probed) -> None:
        with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.2", 0)) as other:
            here, there = (f"dial {s.getsockname()[0]} {s.getsockname()[1]}" for s in (one, other))
            assert (await made.do(here))[0] == "ok"
            await made.child.order(do="streams", to=["127.0.0.1"], cut=True)
            assert (await made.do(here))[0] == "None"  # no answer in time, and no refusal
            said = await made.child.order(do="streams", to=["127.0.0.1"], cut=False)
            assert said["counts"] == {"stream-cut": 1}
            await made.child.order(do="streams", to=["127.0.0.1"], cut=True)
            assert (await made.do(there))[0] == "ok"
            said = await made.child.order(do="streams", to=["127.0.0.1"], cut=False)
            assert (await made.do(here))[0] == "ok"
            assert said["traffic"]["stream_bytes_sent"] == 8

    probed(tmp_path, test)


def test_datagrams_and_their_bytes_are_counted_but_for_those_that_are_lost(tmp_path: Path) -> None:
    async def test(made: Probed) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port:
            port.bind(("127.0.0.1", 0))
            send = f"send 127.0.0.1 {port.getsockname()[1]}"
            await made.do(f"{send} abc")
            await made.child.order(do="datagrams", to=["127.0.0.1"], kind="loss", share=1.0)
            await made.do(f"{send} defgh")
            said = await made.child.order(do="look")
            assert said["traffic"] == {"sent": 1, "bytes_sent": 3}
            assert said["counts"] == {"loss": 1}

    probed(tmp_path, test)


def test_datagrams_are_lost_doubled_and_swapped_for_one_address_only(tmp_path: Path) -> None:
    async def test(made: Probed) -> None:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        ):
            for sock, host in ((one, "127.0.0.2"), (other, "127.0.0.3")):
                sock.bind((host, 0))
                sock.settimeout(5.0)

            async def send(text: str, to: socket.socket = one) -> None:
                host, port = to.getsockname()
                assert (await made.do(f"send {host} {port} {text}"))[0] == "ok"

            async def order(kind: str = "") -> None:
                await made.child.order(do="datagrams", to=["127.0.0.2"], kind=kind, share=1.0, ms=50.0)

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
            counts = (await made.child.order(do="disk", mode=""))["counts"]
            assert counts == {"loss": 1, "twice": 1, "reorder": 2, "late": 1}

    probed(tmp_path, test)


def test_it_dies_with_its_parent_also_when_it_is_stopped(tmp_path: Path) -> None:
    parent = f"""
import os, subprocess, sys
child = subprocess.Popen([sys.executable, {str(LAUNCHER)!r}, "--parent", str(os.getpid()), "--path",
    {str(ROOT)!r}, "--", "client_proxy.fault_injection.cpu_hog", "0"])
print(child.pid, flush=True)
sys.stdin.read()
"""
    with subprocess.Popen(
        [sys.executable, "-c", parent], stdout=subprocess.PIPE, stdin=subprocess.PIPE, text=True
    ) as made:
        assert made.stdout is not None
        pid = int(made.stdout.readline())

        async def until(holds: Callable[[], bool]) -> None:
            async with asyncio.timeout(20):
                while not holds():
                    await asyncio.sleep(0.01)

        # Once its module runs, it has asked to be killed with its parent.
        asyncio.run(until(lambda: b"cpu_hog" in Path(f"/proc/{pid}/cmdline").read_bytes()))
        asyncio.run(until(lambda: os.sched_getaffinity(pid) == {0}))
        os.kill(pid, signal.SIGSTOP)
        made.kill()
        made.wait()
        asyncio.run(until(lambda: process_state(pid) in ("", "Z")))
