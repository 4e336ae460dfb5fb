"""The `run` command of the deploy file, on a platform that allows a single process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tomllib
from pathlib import Path

import pytest

from tests.proxy.sockets import Client, Host, Registry, entry, run, start_process, until
from tests.proxy.test_program import connect_with_retry, free_port, write_config
from tests.support import guard

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def run_command(name: str) -> str:
    """Return a command of the deploy file, with the interpreter that runs the tests."""
    text = str(DEPLOY[name])
    assert ".venv/bin/python " in text
    return text.replace(".venv/bin/python", sys.executable)


DECISION_PACKAGES = ("api", "balancer", "limits", "outlier", "routing")
DECISION_MODULES = ("rates.py", "recovery_probe.py", "token_bucket.py")


def test_deploy_file_names_all_decision_modules_as_policy() -> None:
    package = ROOT / "client_proxy"
    files = [path for name in DECISION_PACKAGES for path in (package / name).rglob("*.py")]
    files += [package / name for name in DECISION_MODULES]
    assert sorted(DEPLOY["policy"]) == sorted(str(path.relative_to(ROOT)) for path in files)


def test_program_is_one_process_without_children(tmp_path: Path) -> None:
    async def test() -> None:
        host, registry = await Host("h").start(), await Registry().start()
        port = free_port()
        known = {"index": 1, "snapshot": True, "endpoints": [entry(host)]}
        env = write_config(
            tmp_path, listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{registry.port}", known=known
        )
        process = await start_process(
            "/bin/sh",
            "-c",
            run_command("run"),
            cwd=ROOT,
            env=guard.environment_with_guard(tmp_path, os.environ | env),
        )
        client = await connect_with_retry(port)
        for _ in range(20):
            assert (await client.ask())[0] == 200
        process.send_signal(signal.SIGHUP)  # reloads the configuration
        others = [await Client.connect(port) for _ in range(20)]
        for other_client in others:
            assert (await other_client.ask())[0] == 200
        # The shell has replaced itself by `exec`, so the program gets the signals.
        assert guard.command_line(process.pid)[1:3] == ["-m", "client_proxy.proxy"]
        assert any(name.startswith("libc.so") for name in guard.loaded_libraries(process.pid))
        await until(lambda: guard.all_threads_sleep(process.pid))  # an idle program uses no CPU time
        assert not guard.has_had_child(process.pid)
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
            env=guard.environment_with_guard(tmp_path, dict(os.environ)),
        )
        assert process.stdout is not None
        assert await process.stdout.readline() == b"made\n"
        assert guard.has_had_child(process.pid)
        await process.communicate(b"")  # closes its stdin

    run(test())


@pytest.mark.parametrize(
    "text",
    ["os.fork()", "os.system('true')", "subprocess.run(['true'])", "os.execv('/bin/true', ['true'])"],
)
def test_the_guard_ends_a_process_that_starts_another(tmp_path: Path, text: str) -> None:
    async def test() -> None:
        process = await start_process(
            *(sys.executable, "-c", f"import os, subprocess; {text}"),
            stderr=asyncio.subprocess.PIPE,
            env=guard.environment_with_guard(tmp_path, dict(os.environ)),
        )
        _, err = await process.communicate()
        assert process.returncode == guard.GUARD_EXIT_CODE
        assert err.startswith(b"barred: ")

    run(test())


def test_unreadable_operators_file_ends_the_start(tmp_path: Path) -> None:
    # The file is named by a relative path, as `run` is always started from the root.
    async def test() -> None:
        text = run_command("run").replace("deploy/platform.toml", "deploy/none.toml")
        assert text != run_command("run")
        process = await start_process(
            *("/bin/sh", "-c", text),
            cwd=ROOT,
            env=os.environ | write_config(tmp_path),
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"client_proxy.proxy: deploy/none.toml")
        assert err.count(b"\n") == 1

    run(test())
