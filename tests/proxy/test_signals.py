"""Signals at any time between the start and the exit of a process.

Failure: while operators moved discovery by SIGHUP and restarted a tenth of the fleet, each proxy that was
just starting was ended by signal 1, and so was one of 60 that were exiting, after its last response. Ctrl-C
ended a proxy at once, and three to seven requests at servers were lost.
Cause: the signal handlers were those of the event loop. Before the loop ran, and after it was closed, signals
had the kernel's default action, or raised KeyboardInterrupt. Seen on commit b741aa1:
    SIGHUP 0, 20, 40 ... 300 ms after the start: 16 of 16 processes ended, exit code -1
    SIGINT with a request at a server: KeyboardInterrupt, exit code -2, no response to the request
"""

from __future__ import annotations

import ast
import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from client_proxy.fault_injection.child_process import handles_signal
from client_proxy.process_signals import ProcessSignals
from tests.proxy.sockets import (
    Client,
    Host,
    ReceivedRequest,
    Registry,
    entry,
    http_response,
    run,
    start_process,
    until,
)
from tests.proxy.test_program import connect_with_retry, free_port, start, write_config
from tests.proxy.test_run_line import ROOT, run_command
from tests.support import guard

SERIES_PAUSE_S = 0.004  # between two repeated signals
PACKAGE = ROOT / "client_proxy"


def is_running(process: asyncio.subprocess.Process) -> bool:
    return process.returncode is None


async def send_until(
    process: asyncio.subprocess.Process, number: signal.Signals, holds: Callable[[], bool]
) -> int:
    """Send a signal repeatedly until the condition holds or the process has exited; returns how often."""
    count = 0
    while not holds() and is_running(process):
        with suppress(ProcessLookupError):
            process.send_signal(number)
        count += 1
        await asyncio.sleep(SERIES_PAUSE_S)
    return count


async def first_answer(port: int) -> int:
    client = await connect_with_retry(port)
    status, _, _ = await client.ask()
    client.close()
    return status


async def survives_signal_series(process: asyncio.subprocess.Process, port: int) -> None:
    """Send SIGHUP repeatedly until the process has exited; it must serve, and exit cleanly on SIGTERM."""
    answered = asyncio.create_task(first_answer(port))
    count = await send_until(process, signal.SIGHUP, answered.done)
    assert is_running(process), f"ended with {process.returncode} after {count} signals"
    assert await answered == 200
    process.send_signal(signal.SIGTERM)
    await send_until(process, signal.SIGHUP, lambda: False)
    _, err = await process.communicate()
    assert process.returncode == 0, err
    assert b"Traceback" not in err


def config(folder: Path, port: int, registry: Registry, *hosts: Host) -> dict[str, str]:
    known = {"index": 1, "snapshot": True, "endpoints": [entry(host) for host in hosts]}
    return write_config(
        folder, listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{registry.port}", known=known
    )


async def answer_after(release: asyncio.Event, writer: asyncio.StreamWriter) -> None:
    await release.wait()
    writer.write(http_response(200, b"done"))


def test_repeated_sighup_from_the_start_of_the_run_command_is_survived(tmp_path: Path) -> None:
    # The process runs the deploy file's command. Signals are sent from the moment when the shell has replaced
    # itself by the program.
    async def test() -> None:
        host, registry = await Host("h").start(), await Registry().start()
        port = free_port()
        process = await start_process(
            *("/bin/sh", "-c", run_command("run")),
            cwd=ROOT,
            env=os.environ | config(tmp_path, port, registry, host),
            stderr=asyncio.subprocess.PIPE,
        )
        await until(lambda: "client_proxy.proxy" in guard.command_line(process.pid)[1:])
        await survives_signal_series(process, port)
        host.stop()
        registry.stop()

    run(test())


def test_repeated_sighup_from_the_program_s_own_handler_is_survived(tmp_path: Path) -> None:
    # Without the deploy file's command, the handlers that the program installs must be enough.
    async def test() -> None:
        host, registry = await Host("h").start(), await Registry().start()
        port = free_port()
        process = await start(config(tmp_path, port, registry, host))
        await until(lambda: handles_signal(process.pid, signal.SIGHUP))
        await survives_signal_series(process, port)
        host.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize("package", ["proxy", "cli"])
def test_a_program_handles_signals_before_it_imports_anything_large(package: str) -> None:
    tree = ast.parse((PACKAGE / package / "__main__.py").read_text())
    imports = [ast.unparse(node) for node in tree.body if isinstance(node, ast.Import | ast.ImportFrom)]
    assert imports == [
        "from __future__ import annotations",
        "import sys",
        "from client_proxy.process_signals import PROCESS_SIGNALS",
    ]
    code = "import sys; before = set(sys.modules); import client_proxy.process_signals; "
    code += "print(*sorted(set(sys.modules) - before))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    ).stdout.split()
    own_modules = {name for name in loaded if name.startswith("client_proxy")}
    assert own_modules == {"client_proxy", "client_proxy.process_signals"}
    assert not set(loaded) & {"asyncio", "logging", "socket", "uvloop", "httptools", "click"}


PROBE = """
import os, runpy, signal, sys

class Probe:
    def find_spec(self, name, path=None, target=None):
        if name == sys.argv[-1]:
            print(callable(signal.getsignal(signal.SIGHUP)), flush=True)
            os._exit(0)

sys.meta_path.insert(0, Probe())
module, *sys.argv[1:] = sys.argv[1:]
runpy.run_module(module, run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize(
    ("words", "imported", "handled"),
    [
        (["client_proxy.proxy"], "client_proxy.proxy.program", True),
        (["client_proxy.cli", "serve"], "client_proxy.cli.commands", True),
        (
            ["client_proxy.cli", "version"],
            "client_proxy.cli.commands",
            False,
        ),  # this command holds no requests
    ],
)
def test_handlers_are_installed_before_the_program_is_imported(
    words: list[str], imported: str, handled: bool
) -> None:
    result = subprocess.run(
        [sys.executable, "-c", PROBE, *words, imported], cwd=ROOT, capture_output=True, text=True
    )
    assert result.stdout.split() == [str(handled)], result.stderr


def test_sighup_between_reading_the_file_and_the_loop_is_handled(tmp_path: Path) -> None:
    # The operators' file is a pipe. The proxy has read its configuration and blocks on the pipe, before its
    # event loop runs, until the test closes the pipe.
    async def test() -> None:
        host = await Host("h").start()
        old, new = await Registry().start(), await Registry().start()
        port, pipe = free_port(), tmp_path / "operators.toml"
        os.mkfifo(pipe)
        env = config(tmp_path, port, old, host)
        process = await start_process(
            *(sys.executable, "-m", "client_proxy.proxy", "--operators", str(pipe)), env=os.environ | env
        )
        pipe_end = await asyncio.to_thread(os.open, pipe, os.O_WRONLY)  # the proxy has read its configuration
        config(tmp_path, port, new, host)
        process.send_signal(signal.SIGHUP)
        os.close(pipe_end)
        await until(lambda: bool(new.watches) or not is_running(process))
        assert is_running(process)
        assert await first_answer(port) == 200
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        for part in (host, old, new):
            part.stop()

    run(test())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_termination_during_the_start_exits_cleanly(tmp_path: Path, number: signal.Signals) -> None:
    async def test() -> None:
        host, registry = await Host("h").start(), await Registry().start()
        port, pipe = free_port(), tmp_path / "operators.toml"
        os.mkfifo(pipe)
        process = await start_process(
            *(sys.executable, "-m", "client_proxy.proxy", "--operators", str(pipe)),
            env=os.environ | config(tmp_path, port, registry, host),
            stderr=asyncio.subprocess.PIPE,
        )
        pipe_end = await asyncio.to_thread(os.open, pipe, os.O_WRONLY)
        process.send_signal(number)
        process.send_signal(signal.SIGHUP)
        os.close(pipe_end)
        _, err = await process.communicate()
        assert process.returncode == 0, err
        assert b"Traceback" not in err
        host.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGINT,),
        (signal.SIGTERM, signal.SIGINT),
        (signal.SIGINT, signal.SIGHUP, signal.SIGINT, signal.SIGTERM, signal.SIGINT),
    ],
)
def test_sigint_loses_no_request(tmp_path: Path, numbers: tuple[signal.Signals, ...]) -> None:
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await answer_after(release, writer)

    async def test() -> None:
        host, registry = await Host("h", answer_when_released).start(), await Registry().start()
        port = free_port()
        process = await start(config(tmp_path, port, registry, host))
        idle_client = await connect_with_retry(port)
        idle_client.writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        assert (await idle_client.answer())[0] == 200
        client = await Client.connect(port)
        client.send()
        await until(lambda: len(host.received) == 1)
        for number in numbers:
            process.send_signal(number)
        assert await idle_client.reader.read() == b""  # the proxy has stopped accepting connections
        process.send_signal(signal.SIGINT)
        release.set()
        status, _, body = await client.answer()
        assert (status, body) == (200, b"done")
        await send_until(process, signal.SIGINT, lambda: False)
        _, err = await process.communicate()
        assert process.returncode == 0, err
        assert b"Traceback" not in err
        host.stop()
        registry.stop()

    run(test())


SERVE = """
listen = "127.0.0.1:{port}"

[servers]
file = "servers.toml"
settle_ms = 0

[[class]]
name = "entry-register"
effect = "unsafe"
aim_ms = 4000
deadline_ms = 8000
"""


def test_serve_survives_repeated_signals(tmp_path: Path) -> None:
    async def test() -> None:
        host = await Host("h").start()
        port = free_port()
        (tmp_path / "serve.toml").write_text(SERVE.format(port=port))
        (tmp_path / "servers.toml").write_text(f'[[server]]\nname = "h"\naddress = "127.0.0.1:{host.port}"\n')
        process = await start_process(
            *(sys.executable, "-m", "client_proxy.cli", "serve", "--config", str(tmp_path / "serve.toml")),
            stderr=asyncio.subprocess.PIPE,
        )
        await until(lambda: handles_signal(process.pid, signal.SIGHUP))
        await survives_signal_series(process, port)
        host.stop()

    run(test())


def test_signals_before_the_loop_are_delivered_once_it_runs() -> None:
    signals, calls = ProcessSignals(), list[str]()
    signals._reload(signal.SIGHUP, None)
    signals._terminate(signal.SIGTERM, None)
    assert signals.termination_requested
    signals.attach(lambda callback: callback(), lambda: calls.append("end"), lambda: calls.append("reload"))
    assert calls == ["reload", "end"]
    signals._reload(signal.SIGHUP, None)
    assert calls == ["reload", "end", "reload"]


def test_sigint_ignored_at_the_start_stays_ignored() -> None:
    code = (
        "import os, signal; from client_proxy.process_signals import PROCESS_SIGNALS as signals; "
        "signal.signal(signal.SIGINT, signal.SIG_IGN); signals.install(); "
        "os.kill(os.getpid(), signal.SIGINT); os.kill(os.getpid(), signal.SIGHUP); "
        "print(signals.termination_requested, signals._reload_requested); "
        "os.kill(os.getpid(), signal.SIGTERM); print(signals.termination_requested)"
    )
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout
    assert result.split() == ["False", "True", "True"]
