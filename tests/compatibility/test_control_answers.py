"""The control socket: questions as the commands send them, and the answers of an instance."""

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
from tests.cli.test_policy import write_instance_file as agreed_instance
from tests.compatibility import edge_objects as objects

WATCHED = """\
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
WHO = ("--why", "reason", "--who", "person")
COMMANDS: tuple[tuple[str, ...], ...] = (
    ("policy", "propose", "s", "FILE", "--after", "4", "--dry-run", "--despite", "2", *WHO),
    ("policy", "propose", "s", "FILE", "--after", "4", *WHO),
    ("policy", "back", "s", "3", *WHO),
    ("policy", "withdraw", "s", "change"),
    ("policy", "history", "s", "--json"),
    ("policy", "seat", "add", "s", "--member", "1", "--memory", "9", *WHO),
    ("policy", "seat", "remove", "s", "--member", "1", *WHO),
    ("policy", "status", "s"),
    ("rollout", "start", "s", "FILE", "--name", "r", "--plan", "FILE", *WHO),
    ("rollout", "pause", "s", *WHO),
    ("rollout", "go-on", "s", *WHO),
    ("rollout", "back", "s", *WHO),
    ("rollout", "status", "s", "--json"),
)
QUESTIONS: tuple[bytes, ...] = (
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
    """Each key's path with its value's type."""
    if isinstance(value, dict):
        return {f"{path}: object"}.union(*(key_paths(each, f"{path}.{key}") for key, each in value.items()))
    if isinstance(value, list):
        return {f"{path}: list"}.union(*(key_paths(each, f"{path}[]") for each in value))
    return {f"{path}: {type(value).__name__}"}


def questions_of_commands(folder: Path, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    file = folder / "new.toml"
    file.write_text("")
    sent: list[str] = []

    def asked(_: Path, question: dict[str, Any]) -> dict[str, Any]:
        sent.append(json.dumps(question).replace(str(file), "FILE"))
        ended = {"change": "x", "what": "decided"}
        return {"ok": True, "change": "x", "versions": [], "agreement": {"changes": [ended], "rollout": None}}

    monkeypatch.setattr(policy, "ask_instance", asked)
    monkeypatch.setattr(rollout, "ask_instance", asked)
    for words in COMMANDS:
        done = CliRunner().invoke(command.main, [str(file) if word == "FILE" else word for word in words])
        assert done.exit_code == 0, done.output
    return sent


def watched_instance(folder: Path) -> Path:
    (folder / "servers.toml").write_text('[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n')
    (folder / "serve.toml").write_text(WATCHED)
    return folder / "serve.toml"


def answers(path: Path) -> tuple[list[str], list[str]]:
    """To each of QUESTIONS, its answer as on the wire; and the key paths of the status."""
    path.write_text('control = "control.sock"\n' + path.read_text().replace('control = "control.sock"\n', ""))
    made = build_instance(load_instance_file(path))
    control = made.control
    assert control is not None
    server = ListedEndpoint(name="a", zone="h")
    made.daemon.engine.balancer.handle(1.0, [EndpointsListed(ListKind.FULL, (server,))])
    told = [json.dumps(control.answer(question)).replace(str(path.parent), "DIR") for question in QUESTIONS]
    return told, sorted(key_paths(control.answer(b'{"do": "status"}')))


def frozen(name: str) -> list[str]:
    return objects.sample(name).decode().splitlines()


def test_commands_send_the_frozen_questions(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert questions_of_commands(tmp_path, monkeypatch) == frozen("control_questions.jsonl")


def test_watched_instance_gives_the_frozen_answers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    told, status = answers(watched_instance(tmp_path))
    assert told == frozen("control_answers_watched.jsonl")
    assert status == frozen("control_status_watched.txt")


def test_agreeing_instance_gives_the_frozen_answers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    told, status = answers(agreed_instance(tmp_path, 2))
    assert told == frozen("control_answers_agreed.jsonl")
    assert status == frozen("control_status_agreed.txt")


def test_policy_check_prints_the_frozen_line(tmp_path: Path) -> None:
    (tmp_path / "p.toml").write_bytes(objects.sample("policy_check.toml"))
    done = CliRunner().invoke(command.main, ["policy", "check", str(tmp_path / "p.toml")])
    assert (done.exit_code, done.output.encode()) == (0, objects.sample("policy_check.txt"))


def test_ended_change_has_the_frozen_form() -> None:
    ended = result_answer(ChangeResult("name", ChangeOutcome.REJECTED, {2: "no"}, (3,), (1, 5), 4))
    assert json.dumps(ended) == (
        '{"change": "name", "what": "refused", "version": 4, "refused": {"2": "no"}, "silent": [3], '
        '"can": [1, 5]}'
    )
