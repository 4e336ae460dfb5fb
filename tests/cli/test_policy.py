"""The commands `client-proxy policy`, which change the policy that a fleet agrees on."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from client_proxy.cli import commands as cli_commands
from client_proxy.cli import policy as policy_commands
from client_proxy.cli.instance_file import load_instance_file
from client_proxy.config.version_store import Folder
from client_proxy.consensus.bootstrap import first_version
from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version
from client_proxy.consensus.store import Store
from client_proxy.emulator.simulated_keys import derive_secret
from client_proxy.membership.keys import Ed25519, format_keyring, issue_certificate, write_private_file
from client_proxy.toml_table import TomlError


def write_instance_file(folder: Path, member: int, seats: tuple[int, ...] = (1, 2, 3)) -> Path:
    authority = Ed25519(derive_secret(1, "authority"))
    secret = derive_secret(1, f"member {member}")
    certificate = issue_certificate(authority, 1, member, "h", 1, Ed25519(secret).public_key)
    text = format_keyring(certificate, "h", secret, {1: derive_secret(1, "group")}, {1: authority.public_key})
    write_private_file(folder / "own.keys", text)
    (folder / "servers.toml").write_text('[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n')
    lines = ['[[class]]\nname = "c"\naim_ms = 1\ndeadline_ms = 2\n[agreement]\nkeys = "own.keys"']
    lines += ['listen = "127.0.0.1:0"\nfirst = "servers.toml"\nkeep = "agreed"']
    for seat in seats:
        public = base64.b64encode(Ed25519(derive_secret(1, f"member {seat}")).public_key).decode()
        lines.append(f'[[agreement.seat]]\nmember = {seat}\naddress = "127.0.0.1:{9000 + seat}"')
        lines.append(f'public = "{public}"')
    path = folder / "serve.toml"
    path.write_text("\n".join(lines))
    return path


def run_command(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(cli_commands.main, list(arguments))
    return result.exit_code, result.output


def test_policy_init_works_once_and_only_for_a_member_with_a_seat(tmp_path: Path) -> None:
    path = write_instance_file(tmp_path, 2)
    assert run_command("policy", "init", "--config", str(path)) == (0, "member 2 votes from now on\n")
    code, output = run_command("policy", "init", "--config", str(path))
    assert code == 1
    assert "has its memory already" in output
    (tmp_path / "four").mkdir()
    code, output = run_command("policy", "init", "--config", str(write_instance_file(tmp_path / "four", 4)))
    assert code == 1
    assert "member 4 has no seat" in output


def test_instance_file_needs_exactly_one_source_of_servers(tmp_path: Path) -> None:
    path = write_instance_file(tmp_path, 2)
    path.write_text('discovery = "127.0.0.1:1"\n' + path.read_text())
    with pytest.raises(TomlError, match="one of"):
        load_instance_file(path)


def test_proposal_waits_for_its_result_and_prints_it(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "new.toml"
    file.write_text("")
    change_questions: list[dict[str, Any]] = []
    ended_changes: list[dict[str, Any]] = []

    def ask(socket: Path, question: dict[str, Any]) -> dict[str, Any]:
        change_questions.append(question)
        if question["do"] == "propose":
            ended_changes.append({"change": "rack 7", "what": "refused", "refused": {"4": "no such class"}})
            return {"ok": True, "change": "rack 7"}
        return {"ok": True, "agreement": {"changes": ended_changes}}

    monkeypatch.setattr(policy_commands, "ask_instance", ask)
    arguments = ("policy", "propose", "s.sock", str(file), "--why", "rack 7", "--after", "4")
    code, output = run_command(*arguments)
    assert code == 1
    assert json.loads(output)["refused"] == {"4": "no such class"}
    assert (
        change_questions[0].items()
        >= {"do": "propose", "file": str(file), "why": "rack 7", "after": 4}.items()
    )
    ended_changes[:] = [{"change": "rack 7", "what": "decided"}]
    monkeypatch.setattr(
        policy_commands,
        "ask_instance",
        lambda s, q: {"change": "rack 7", "agreement": {"changes": ended_changes}},
    )
    assert run_command(*arguments)[0] == 0
    monkeypatch.setattr(policy_commands, "ask_instance", lambda s, q: {"ok": True})
    assert run_command("policy", "status", "s.sock")[0] == 1


def test_new_memory_of_a_member_must_be_voted_in(tmp_path: Path) -> None:
    path = write_instance_file(tmp_path, 2)
    code, output = run_command("policy", "init", "--config", str(path), "--anew")
    assert code == 0
    assert "vote it in" in output
    memory = Store(Folder(tmp_path / "agreed")).load_state()
    assert memory is not None
    assert memory.acceptor_id.storage_id > 1000
    assert f"{memory.acceptor_id.storage_id}:" in output
    assert memory.acceptor_id not in memory.decided.version.acceptors
    # A member that already has a seat gets no second memory of votes, which could vote twice.
    (tmp_path / "b").mkdir()
    seated = write_instance_file(tmp_path / "b", 2)
    assert run_command("policy", "init", "--config", str(seated))[0] == 0
    code, output = run_command("policy", "init", "--config", str(seated), "--anew")
    assert code == 1
    assert "has its memory already" in output


def test_rescue_needs_yes_and_starts_above_all_former_versions(tmp_path: Path) -> None:
    path = write_instance_file(tmp_path, 2)
    run_command("policy", "init", "--config", str(path))
    store = Store(Folder(tmp_path / "agreed"))
    seats = tuple(AcceptorId(n, 1) for n in (1, 2, 3))
    body = b'[[server]]\nname = "b"\naddress = "127.0.0.1:8"\n'
    store.save_decided(Decided(Version(4, store.save_body(body), seats), Ballot(), ()))
    out = tmp_path / "first-2.toml"
    arguments = ("policy", "rescue", "--config", str(path), "--out", str(out))
    code, output = run_command(*arguments)
    assert code == 1
    assert "for ever" in output
    assert not out.exists()
    assert (tmp_path / "agreed").exists()
    code, output = run_command(*arguments, "--yes")
    assert code == 0
    assert out.read_bytes() == body
    assert "generation = 2" in output
    assert not (tmp_path / "agreed").exists()
    assert (tmp_path / "agreed.generation-1").exists()
    text = path.read_text().replace('"servers.toml"', '"first-2.toml"')
    path.write_text(text.replace("[agreement]", "[agreement]\ngeneration = 2"))
    assert run_command("policy", "init", "--config", str(path))[0] == 0
    table = load_instance_file(path).file.agreement
    assert table is not None
    first = first_version(table, out.read_bytes()).version
    assert first.number > 2**20
    assert not set(first.acceptors) & set(seats)


def test_changes_carry_requester_and_reason(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    questions: list[dict[str, Any]] = []

    def ask(socket: Path, question: dict[str, Any]) -> dict[str, Any]:
        questions.append(question)
        if question["do"] == "history":
            return {
                "versions": [{"version": 2, "digest": "d" * 32, "who": "ann", "why": "rack 7", "kept": False}]
            }
        return {"change": "c", "agreement": {"changes": [{"change": "c", "what": "decided"}]}}

    monkeypatch.setattr(policy_commands, "ask_instance", ask)
    people = ("--who", "ann", "--why", "rack 7")
    assert run_command("policy", "back", "s", "3", *people)[0] == 0
    assert run_command("policy", "seat", "add", "s", "--member", "4", "--memory", "9", *people)[0] == 0
    assert run_command("policy", "seat", "remove", "s", "--member", "4", *people)[0] == 0
    assert run_command("policy", "withdraw", "s", "c")[0] == 0
    code, output = run_command("policy", "history", "s")
    assert code == 0
    assert "rack 7" in output
    assert "no rollback" in output
    change_questions = [q for q in questions if q["do"] not in ("status", "history")]
    assert [q["do"] for q in change_questions] == ["back", "seat", "seat", "withdraw"]
    assert change_questions[1]["add"] == {"member": 4, "memory": 9}
    assert change_questions[2]["remove"] == 4
    assert all(q["who"] == "ann" and q["why"] == "rack 7" for q in change_questions[:3])


def test_policy_check_contacts_no_instance(tmp_path: Path) -> None:
    old, new = tmp_path / "old.toml", tmp_path / "new.toml"
    listed = '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n'
    whole = '[policy]\nattempts = 2\n[overload]\n[[class]]\nname = "c"\naim_ms = 1\ndeadline_ms = 2\n'
    old.write_text(listed)
    new.write_text(whole + listed)
    code, output = run_command("policy", "check", str(new), "--beside", str(old))
    assert code == 0
    assert "1 servers, 1 classes" in output
    assert "+ class c" in output
    assert "overload: off -> on" in output
    assert "attempts None -> 2" in output
    new.write_text(listed + "[overload]\n")
    code, output = run_command("policy", "check", str(new))
    assert code == 2
    assert "[policy] is missing" in output
    new.write_text(whole.replace("[overload]", '[overload]\nfirst = ["d"]') + listed)
    code, output = run_command("policy", "check", str(new))
    assert code == 2
    assert "no class 'd'" in output
    new.write_text(whole.replace("[overload]", "[overload]\ntarget = 99") + listed)
    code, output = run_command("policy", "check", str(new))
    assert code == 2
    assert "new.toml:4: overload.target" in output
