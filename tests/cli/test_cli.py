"""The command `client-proxy`, the control socket, the log and the endpoint weights."""

from __future__ import annotations

import asyncio
import io
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.api.policy_hook import PickContext
from client_proxy.cli.commands import main
from client_proxy.cli.control import MAX_CALLERS, ControlSocket, ask
from client_proxy.cli.errors import CommandError
from client_proxy.cli.logs import MAX_EVENTS, EventRateLimit, configure_logging
from client_proxy.config.fleet import read_server_list
from client_proxy.config.models import LogTable
from client_proxy.routing.weights import Weights
from tests.config.test_fleet import sealed_file, server_tables
from tests.driver import SAFE, endpoint
from tests.proxy.sockets import Host, run, until
from tests.support.fixed_draws import fixed_draws

CONFIG = """
listen = "127.0.0.1:0"
control = "x.sock"

[servers]
file = "servers.toml"
look_ms = 5
settle_ms = 50
keep = "kept"

[log]
form = "json"

[[class]]
name = "extract-issue"
effect = "safe"
aim_ms = 500
deadline_ms = 1200
"""


def run_command(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, list(arguments))
    return result.exit_code, result.output


def test_check_reports_all_faults_of_all_files(tmp_path: Path) -> None:
    config, servers = tmp_path / "proxy.toml", tmp_path / "servers.toml"
    config.write_text(CONFIG)
    servers.write_bytes(sealed_file(3))
    code, output = run_command("config", "check", str(config))
    assert code == 0
    assert "an instance with 1 classes, and 5 servers, 5 of them usable, sealed" in output
    servers.write_bytes(sealed_file(3)[:-30])
    config.write_text(CONFIG.replace("aim_ms", "aim").replace("look_ms = 5", "look_ms = 0"))
    code, output = run_command("config", "check", str(config), str(servers), "--json")
    results = json.loads(output)
    assert code == 2
    assert [result["ok"] for result in results] == [False, False]
    assert any("servers.look_ms: 0" in line for line in results[0]["faults"])
    assert any("class.0.aim: not a known key" in line for line in results[0]["faults"])


def test_seal_diff_history_and_rollback_of_a_server_list(tmp_path: Path) -> None:
    from client_proxy.config.version_store import Folder, VersionStore

    servers, kept = tmp_path / "servers.toml", VersionStore(Folder(tmp_path / "kept"))
    servers.write_bytes(server_tables(3))
    assert run_command("config", "seal", str(servers))[0] == 0
    first = servers.read_bytes()
    kept.save(first)
    assert read_server_list(first, "f").version == 1
    servers.write_bytes(first.replace(b"8002", b"8099"))  # edited without a new seal
    assert run_command("config", "check", str(servers))[0] == 2
    assert run_command("config", "seal", str(servers))[0] == 0
    kept.save(servers.read_bytes())
    old = tmp_path / "old.toml"
    old.write_bytes(first)
    code, output = run_command("config", "diff", str(old), str(servers))
    assert code == 1
    assert "s2: address '127.0.0.1:8002' -> '127.0.0.1:8099'" in output
    code, output = run_command("config", "history", str(tmp_path / "kept"))
    assert code == 0
    assert output.splitlines() == [
        "number 1  version 1  servers 3",
        "number 2  version 2  servers 3",
    ]
    assert run_command("config", "rollback", str(servers), str(tmp_path / "kept"))[0] == 0
    restored = read_server_list(servers.read_bytes(), "f")
    assert restored.version == 3
    assert restored.servers == read_server_list(first, "f").servers
    assert run_command("config", "rollback", str(servers), str(tmp_path / "kept"), "--to", "9")[0] == 2


def test_schemas_and_reference_page_are_printed() -> None:
    for of in ("serve", "servers"):
        code, output = run_command("config", "schema", of)
        assert code == 0
        assert json.loads(output)["type"] == "object"
    assert "| `leaving_share` | `0.5` |" in run_command("config", "reference")[1]


def test_instance_serves_holds_back_a_list_and_shuts_down(tmp_path: Path) -> None:
    """A serving process: its status, a suspicious list that is held back and then forced, and SIGTERM."""

    async def start_hosts() -> list[Host]:
        return [await Host(f"h{n}").start() for n in range(3)]

    async def test() -> None:
        from client_proxy.config.fleet import seal

        running_hosts = await start_hosts()

        def servers(count: int, version: int) -> bytes:
            tables = (
                f'[[server]]\nname = "{h.name}"\naddress = "127.0.0.1:{h.port}"\n'
                for h in running_hosts[:count]
            )
            return seal("".join(tables).encode(), version)

        (tmp_path / "proxy.toml").write_text(CONFIG)
        (tmp_path / "servers.toml").write_bytes(servers(3, 1))
        arguments = [
            sys.executable,
            "-m",
            "client_proxy.cli",
            "serve",
            "--config",
            str(tmp_path / "proxy.toml"),
        ]
        log = (tmp_path / "log").open("wb")
        process = subprocess.Popen(arguments, stderr=log, env={**os.environ, "PYTHONPATH": os.getcwd()})
        control = tmp_path / "x.sock"

        def status() -> dict[str, Any]:
            return ask(control, {"do": "status"})

        try:
            await until(control.exists)
            answer = await asyncio.to_thread(status)
            assert answer["ready"]
            assert len(answer["servers"]) == 3
            assert control.stat().st_mode & 0o777 == 0o600
            (tmp_path / "servers.toml").write_bytes(servers(1, 2))

            def is_held_back() -> bool:
                return status()["fleet"]["held_back"] is not None

            while not await asyncio.to_thread(is_held_back):
                pass
            result = await asyncio.to_thread(run_command, "force", str(control), "--digest", "no")
            assert result[0] == 1
            assert "what is held back is" in result[1]
            result = await asyncio.to_thread(run_command, "force", str(control))
            assert result[0] == 0
            code, output = await asyncio.to_thread(run_command, "status", str(control))
            assert code == 0
            assert "h0" in output
            assert "h1" not in output
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, 15) == 0
            assert not control.exists()
        finally:
            process.kill()
            process.wait()
            log.close()
        events = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        assert any("held back, the old list stands" in e["event"] for e in events)
        assert all({"event", "level", "timestamp", "where"} <= set(e) for e in events)
        for host in running_hosts:
            host.stop()

    run(test())


def test_serve_refuses_an_invalid_file_and_prints_its_faults(tmp_path: Path) -> None:
    config = tmp_path / "proxy.toml"
    config.write_text(CONFIG.replace('file = "servers.toml"', 'fil = "servers.toml"'))
    code, output = run_command("serve", "--config", str(config))
    assert code == 2
    assert "servers.file: missing" in output
    assert "servers.fil: not a known key" in output
    config.write_text(CONFIG + "\n[discovery]\nx = 1\n")
    assert run_command("serve", "--config", str(config))[0] == 2
    assert run_command("serve", "--config", str(tmp_path / "none"))[0] == 2


# The control socket


def answer_or_raise(question: dict[str, object]) -> dict[str, object]:
    if question.get("bad"):
        raise CommandError("no such thing")
    if question.get("worse"):
        raise RuntimeError
    return {"said": question.get("x")}


def test_control_socket_withstands_a_thousand_good_and_bad_callers(tmp_path: Path) -> None:
    async def test() -> None:
        control = ControlSocket(tmp_path / "c.sock", {"say": answer_or_raise})
        await control.start()
        silent_callers = []
        for _ in range(MAX_CALLERS):  # they connect and send nothing
            silent_callers.append(await asyncio.open_unix_connection(str(tmp_path / "c.sock")))
        reader, _ = await asyncio.open_unix_connection(str(tmp_path / "c.sock"))
        assert json.loads(await reader.readline())["why"] == "too many callers"
        for _, writer in silent_callers:
            writer.close()
        await until(lambda: control._callers == 0)
        for number in range(1000):
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "c.sock"))
            kind = number % 5
            if kind == 0:
                writer.write(json.dumps({"do": "say", "x": number}).encode() + b"\n")
                assert json.loads(await reader.readline()) == {"ok": True, "said": number}
            elif kind == 1:
                writer.write(os.urandom(200).replace(b"\n", b"") + b"\n")
                assert json.loads(await reader.readline())["ok"] is False
            elif kind == 2:
                writer.write(b"x" * 10_000)
                assert "4096 bytes at most" in json.loads(await reader.readline())["why"]
            elif kind == 3:
                writer.write(json.dumps({"do": "say", "worse": 1}).encode() + b"\n")
                assert "it failed here" in json.loads(await reader.readline())["why"]
            writer.close()
        await until(lambda: control._callers == 0)
        # A socket that another instance listens on, or another kind of file, is not replaced.
        with pytest.raises(OSError, match="another instance"):
            await ControlSocket(tmp_path / "c.sock", {}).start()
        control.close()
        (tmp_path / "d").write_text("x")
        with pytest.raises(OSError, match="something else"):
            await ControlSocket(tmp_path / "d", {}).start()

    logging.disable(logging.CRITICAL)
    try:
        run(test())
    finally:
        logging.disable(logging.NOTSET)


def test_stale_socket_of_a_crashed_instance_is_replaced(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as stale_socket:
            stale_socket.bind(str(tmp_path / "c.sock"))
        control = ControlSocket(tmp_path / "c.sock", {"say": answer_or_raise})
        await control.start()
        answer = await asyncio.to_thread(ask, tmp_path / "c.sock", {"do": "say", "bad": 1})
        assert answer == {"ok": False, "why": "no such thing"}
        control.close()

    run(test())


@fixed_draws("any_question_gets_an_answer")
@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.one_of(st.binary(max_size=300), st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda each: st.lists(each, max_size=3) | st.dictionaries(st.sampled_from(["do", "x"]), each, max_size=2),
).map(lambda value: json.dumps(value).encode())))  # fmt: skip
def test_any_question_gets_an_answer(line: bytes) -> None:
    answer = ControlSocket(Path("unused"), {"say": answer_or_raise}).answer(line)
    assert isinstance(answer["ok"], bool)
    assert json.dumps(answer)


# The log


def test_log_lines_are_json_and_repeated_events_are_limited() -> None:
    stream = io.StringIO()
    root = logging.getLogger()
    previous_handlers, level = list(root.handlers), root.level
    try:
        configure_logging(LogTable(form="json", per_event_per_s=5), stream)
        log = logging.getLogger("here")
        for number in range(1000):
            log.warning("it broke: %d", number)
        log.info("another")
    finally:
        root.handlers[:] = previous_handlers
        root.setLevel(level)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert 5 <= len(lines) < 12
    assert lines[-1]["event"] == "another"
    assert lines[-1]["where"] == "here"
    assert lines[0] == {**lines[0], "event": "it broke: 0", "level": "warning"}


def test_dropped_lines_are_counted_and_tracked_events_are_bounded() -> None:
    now = [0.0]
    limit = EventRateLimit(2.0, lambda: now[0])

    def record(text: str) -> logging.LogRecord:
        return logging.LogRecord("n", logging.INFO, "f", 1, text, (), None)

    assert [limit.filter(record("a")) for _ in range(5)] == [True, True, False, False, False]
    now[0] = 1.0
    last = record("a")
    assert limit.filter(last)
    assert vars(last)["left_out"] == 3
    for number in range(5000):
        limit.filter(record(f"{number}"))
    assert len(limit) == MAX_EVENTS


# Weights


def test_weights_are_factors_relative_to_the_largest() -> None:
    from dataclasses import replace

    weights = Weights()
    fleet = [replace(endpoint(name), weight=weight) for name, weight in (("a", 2.0), ("b", 1.0), ("c", 2.0))]
    weights.endpoints_listed(0.0, fleet)
    assert [weights.score_factor(0.0, name, SAFE.name) for name in "abc"] == [1.0, 0.5, 1.0]
    weights.endpoints_listed(0.0, fleet[1:2])
    assert weights.score_factor(0.0, "b", SAFE.name) == 1.0
    assert weights.admits(0.0, None, PickContext(SAFE))


def test_platform_proxy_imports_no_package_of_the_extra_cli() -> None:
    code = (
        "import sys; import client_proxy.proxy.program; "
        "print([m for m in sys.modules if m.split('.')[0] in ('pydantic', 'click', 'structlog')])"
    )
    started_s = time.monotonic()
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert ended.stdout.strip() == "[]", (ended.stderr, time.monotonic() - started_s)
