"""Commands send the frozen requests to the control socket, and an instance gives the frozen answers."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from client_proxy.api.events import EndpointsListed, ListedEndpoint, ListKind
from client_proxy.cli import commands as command
from client_proxy.cli import policy, rollout
from client_proxy.cli.instance_factory import build_instance
from client_proxy.cli.instance_file import load_instance_file
from client_proxy.consensus.changes import ChangeOutcome, ChangeResult
from client_proxy.consensus.control_answers import result_answer
from tests.cli.test_policy import write_instance_file as write_consensus_instance
from tests.compatibility import edge_objects as objects

WATCHED_INSTANCE = """\
name = "edge"
listen = "127.0.0.1:0"
control = "control.sock"
[[class]]
name = "c"
aim_ms = 1.0
deadline_ms = 2.0
[servers]
file = "servers.toml"
"""
REASON_AND_REQUESTER = ("--why", "reason", "--who", "person")
COMMANDS: tuple[tuple[str, ...], ...] = (
    ("policy", "propose", "s", "FILE", "--after", "4", "--dry-run", "--despite", "2", *REASON_AND_REQUESTER),
    ("policy", "propose", "s", "FILE", "--after", "4", *REASON_AND_REQUESTER),
    ("policy", "back", "s", "3", *REASON_AND_REQUESTER),
    ("policy", "withdraw", "s", "change"),
    ("policy", "history", "s", "--json"),
    ("policy", "seat", "add", "s", "--member", "1", "--memory", "9", *REASON_AND_REQUESTER),
    ("policy", "seat", "remove", "s", "--member", "1", *REASON_AND_REQUESTER),
    ("policy", "status", "s"),
    ("rollout", "start", "s", "FILE", "--name", "r", "--plan", "FILE", *REASON_AND_REQUESTER),
    ("rollout", "pause", "s", *REASON_AND_REQUESTER),
    ("rollout", "go-on", "s", *REASON_AND_REQUESTER),
    ("rollout", "back", "s", *REASON_AND_REQUESTER),
    ("rollout", "status", "s", "--json"),
)
REQUESTS: tuple[bytes, ...] = (
    b"noise",
    b"[]",
    b'{"do": "no such"}',
    b'{"do": "force"}',
    b'{"do": "history"}',
    b'{"do": "propose", "file": "/nonexistent", "after": 1}',
    b'{"do": "propose", "file": "servers.toml", "after": 9}',
    b'{"do": "back", "version": 77}',
    b'{"do": "back"}',
    b'{"do": "withdraw", "change": "none"}',
    b'{"do": "seat", "remove": 9}',
    b'{"do": "rollout", "op": "other"}',
    b'{"do": "rollout", "op": "pause"}',
)


def key_paths(value: Any, path: str = "") -> set[str]:
    """Returns the path of each key with the type of its value."""
    if isinstance(value, dict):
        return {f"{path}: object"}.union(*(key_paths(item, f"{path}.{key}") for key, item in value.items()))
    if isinstance(value, list):
        return {f"{path}: list"}.union(*(key_paths(item, f"{path}[]") for item in value))
    return {f"{path}: {type(value).__name__}"}


def requests_of_commands(folder: Path, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Runs each of `COMMANDS` without an instance and returns the requests that they sent."""
    file = folder / "new.toml"
    file.write_text("")
    sent: list[str] = []

    def asked(_: Path, request: dict[str, Any]) -> dict[str, Any]:
        sent.append(json.dumps(request).replace(str(file), "FILE"))
        change_result = {"change": "x", "what": "decided"}
        return {
            "ok": True,
            "change": "x",
            "versions": [],
            "agreement": {"changes": [change_result], "rollout": None},
        }

    monkeypatch.setattr(policy, "ask_instance", asked)
    monkeypatch.setattr(rollout, "ask_instance", asked)
    for arguments in COMMANDS:
        done = CliRunner().invoke(command.main, [str(file) if word == "FILE" else word for word in arguments])
        assert done.exit_code == 0, done.output
    return sent


def write_watched_instance(folder: Path) -> Path:
    """Writes the files of an instance that watches a file of servers; returns the path of its settings."""
    (folder / "servers.toml").write_text('[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n')
    (folder / "serve.toml").write_text(WATCHED_INSTANCE)
    return folder / "serve.toml"


def answers(path: Path) -> tuple[list[str], list[str]]:
    """Returns the answer to each of `REQUESTS` as on the wire, and the key paths of the status."""
    path.write_text('control = "control.sock"\n' + path.read_text().replace('control = "control.sock"\n', ""))
    parts = build_instance(load_instance_file(path))
    control = parts.control
    assert control is not None
    server = ListedEndpoint(name="a", zone="h")
    parts.daemon.engine.balancer.handle(1.0, [EndpointsListed(ListKind.FULL, (server,))])
    received_answers = [
        json.dumps(control.answer(request)).replace(str(path.parent), "DIR") for request in REQUESTS
    ]
    return received_answers, sorted(key_paths(control.answer(b'{"do": "status"}')))


def frozen_lines(name: str) -> list[str]:
    return objects.sample(name).decode().splitlines()


def test_commands_send_the_frozen_requests(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert requests_of_commands(tmp_path, monkeypatch) == frozen_lines("control_questions.jsonl")


def test_an_instance_with_a_watched_file_gives_the_frozen_answers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    received_answers, status = answers(write_watched_instance(tmp_path))
    assert received_answers == frozen_lines("control_answers_watched.jsonl")
    assert status == frozen_lines("control_status_watched.txt")


def test_an_instance_with_consensus_gives_the_frozen_answers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    received_answers, status = answers(write_consensus_instance(tmp_path, 2))
    assert received_answers == frozen_lines("control_answers_agreed.jsonl")
    assert status == frozen_lines("control_status_agreed.txt")


def test_policy_check_prints_the_frozen_line(tmp_path: Path) -> None:
    (tmp_path / "p.toml").write_bytes(objects.sample("policy_check.toml"))
    done = CliRunner().invoke(command.main, ["policy", "check", str(tmp_path / "p.toml")])
    assert (done.exit_code, done.output.encode()) == (0, objects.sample("policy_check.txt"))


def test_a_change_result_has_the_frozen_form() -> None:
    change_result = result_answer(ChangeResult("name", ChangeOutcome.REJECTED, {2: "no"}, (3,), (1, 5), 4))
    assert json.dumps(change_result) == (
        '{"change": "name", "what": "refused", "version": 4, "refused": {"2": "no"}, "silent": [3], '
        '"can": [1, 5]}'
    )
