"""The deploy file's `run` line, as a platform that allows one process wants it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tomllib
from pathlib import Path

import pytest

from tests.proxy.sockets import Client, Host, Registry, entry, run, start_process, until
from tests.proxy.test_program import connected, free_port, written
from tests.support import guard

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def line(name: str) -> str:
    """As the deploy file has it, but with the interpreter that runs the tests."""
    text = str(DEPLOY[name])
    assert ".venv/bin/python " in text
    return text.replace(".venv/bin/python", sys.executable)


DECISION_PACKAGES = ("api", "balancer", "limits", "outlier", "routing")
DECISION_MODULES = ("rates.py", "recovery_probe.py", "token_bucket.py")


def test_every_file_of_decisions_is_named_as_policy() -> None:
    package = ROOT / "client_proxy"
    files = [path for name in DECISION_PACKAGES for path in (package / name).rglob("*.py")]
    files += [package / name for name in DECISION_MODULES]
    assert sorted(DEPLOY["policy"]) == sorted(str(path.relative_to(ROOT)) for path in files)


def test_it_is_one_process_that_starts_no_other(tmp_path: Path) -> None:
    async def test() -> None:
        host, registry = await Host("h").start(), await Registry().start()
        port = free_port()
        known = {"index": 1, "snapshot": True, "endpoints": [entry(host)]}
        env = written(
            tmp_path, listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{registry.port}", known=known
        )
        process = await start_process(
            "/bin/sh", "-c", line("run"), cwd=ROOT, env=guard.hooked(tmp_path, os.environ | env)
        )
        client = await connected(port)
        for _ in range(20):
            assert (await client.ask())[0] == 200
        process.send_signal(signal.SIGHUP)  # reads its file again
        others = [await Client.connect(port) for _ in range(20)]
        for each in others:
            assert (await each.ask())[0] == 200
        # `exec` has put the program in the shell's place: it is the program that gets the signals.
        assert guard.command(process.pid)[1:3] == ["-m", "client_proxy.proxy"]
        assert any(name.startswith("libc.so") for name in guard.loaded(process.pid))
        await until(lambda: guard.at_rest(process.pid))  # with nothing to do, nothing spins
        assert not guard.offspring(process.pid)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        host.stop()
        registry.stop()

    run(test())


NATIVE = """
import ctypes, os, sys
libc = ctypes.CDLL(None)
child = libc.fork()
if not child:
    libc._exit(0)
if "wait" in sys.argv:
    libc.waitpid(child, None, 0)
print("made", flush=True)
sys.stdin.read()
"""


@pytest.mark.parametrize("way", ["wait", "leave"])
def test_the_guard_sees_a_native_fork(tmp_path: Path, way: str) -> None:
    async def test() -> None:
        pipe = asyncio.subprocess.PIPE
        process = await start_process(
            sys.executable,
            "-c",
            NATIVE,
            way,
            stdin=pipe,
            stdout=pipe,
            env=guard.hooked(tmp_path, dict(os.environ)),
        )
        assert process.stdout is not None
        assert await process.stdout.readline() == b"made\n"
        assert guard.offspring(process.pid)
        await process.communicate(b"")  # ends its input

    run(test())


@pytest.mark.parametrize(
    "text",
    ["os.fork()", "os.system('true')", "subprocess.run(['true'])", "os.execv('/bin/true', ['true'])"],
)
def test_the_guard_ends_who_asks_for_another_process(tmp_path: Path, text: str) -> None:
    async def test() -> None:
        process = await start_process(
            *(sys.executable, "-c", f"import os, subprocess; {text}"),
            stderr=asyncio.subprocess.PIPE,
            env=guard.hooked(tmp_path, dict(os.environ)),
        )
        _, err = await process.communicate()
        assert process.returncode == guard.CAUGHT
        assert err.startswith(b"barred: ")

    run(test())


def test_a_platform_file_that_cannot_be_read_ends_the_start(tmp_path: Path) -> None:
    # The file is named by a relative path: `run` is started from the root, and nowhere else.
    async def test() -> None:
        text = line("run").replace("deploy/platform.toml", "deploy/none.toml")
        assert text != line("run")
        process = await start_process(
            *("/bin/sh", "-c", text),
            cwd=ROOT,
            env=os.environ | written(tmp_path),
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"client_proxy.proxy: deploy/none.toml")
        assert err.count(b"\n") == 1

    run(test())
