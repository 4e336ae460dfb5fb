"""The commands of the agreement."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from cedarcross.cli import __main__ as command
from cedarcross.cli.serve import load_serving
from cedarcross.emulator.town import secret_of
from cedarcross.membership.keys import Ed25519, issue, keyring_text, write_private
from cedarcross.tomlfile import TomlError


def instance(folder: Path, member: int, seats: tuple[int, ...] = (1, 2, 3)) -> Path:
    authority = Ed25519(secret_of(1, "authority"))
    secret = secret_of(1, f"member {member}")
    card = issue(authority, 1, member, "h", 1, Ed25519(secret).public)
    text = keyring_text(card, "h", secret, {1: secret_of(1, "group")}, {1: authority.public})
    write_private(folder / "own.keys", text)
    (folder / "servers.toml").write_text('[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n')
    lines = ['[[class]]\nname = "c"\naim_ms = 1\ndeadline_ms = 2\n[agreement]\nkeys = "own.keys"']
    lines += ['listen = "127.0.0.1:0"\nfirst = "servers.toml"\nkeep = "agreed"']
    for seat in seats:
        public = base64.b64encode(Ed25519(secret_of(1, f"member {seat}")).public).decode()
        lines.append(f'[[agreement.seat]]\nmember = {seat}\naddress = "127.0.0.1:{9000 + seat}"')
        lines.append(f'public = "{public}"')
    path = folder / "serve.toml"
    path.write_text("\n".join(lines))
    return path


def call(*words: str) -> tuple[int, str]:
    done = CliRunner().invoke(command.main, list(words))
    return done.exit_code, done.output


def test_a_seat_is_taken_once_and_by_who_has_one(tmp_path: Path) -> None:
    path = instance(tmp_path, 2)
    assert call("policy", "init", "--config", str(path)) == (0, "member 2 votes from now on\n")
    code, said = call("policy", "init", "--config", str(path))
    assert code == 1 and "has its memory already" in said
    (tmp_path / "four").mkdir()
    code, said = call("policy", "init", "--config", str(instance(tmp_path / "four", 4)))
    assert code == 1 and "member 4 has no seat" in said


def test_one_way_to_know_servers_is_needed(tmp_path: Path) -> None:
    path = instance(tmp_path, 2)
    path.write_text('discovery = "127.0.0.1:1"\n' + path.read_text())
    with pytest.raises(TomlError, match="one of"):
        load_serving(path)


def test_a_proposal_waits_for_its_end_and_says_what_became_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "new.toml"
    file.write_text("")
    asked: list[dict[str, Any]] = []
    ended: list[dict[str, Any]] = []

    def ask(socket: Path, question: dict[str, Any]) -> dict[str, Any]:
        asked.append(question)
        if question["do"] == "propose":
            ended.append({"change": "rack 7", "what": "refused", "refused": {"4": "no such class"}})
            return {"ok": True, "change": "rack 7"}
        return {"ok": True, "agreement": {"changes": ended}}

    monkeypatch.setattr(command, "_ask", ask)
    words = ("policy", "propose", "s.sock", str(file), "--why", "rack 7", "--after", "4")
    code, said = call(*words)
    assert code == 1 and json.loads(said)["refused"] == {"4": "no such class"}
    assert asked[0] == {"do": "propose", "file": str(file), "change": "rack 7", "after": 4}
    ended[:] = [{"change": "rack 7", "what": "decided"}]
    monkeypatch.setattr(command, "_ask", lambda s, q: {"change": "rack 7", "agreement": {"changes": ended}})
    assert call(*words)[0] == 0
    monkeypatch.setattr(command, "_ask", lambda s, q: {"ok": True})
    assert call("policy", "status", "s.sock")[0] == 1
