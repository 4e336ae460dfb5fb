"""Tests of key files, certificates, signatures and key rotation."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from client_proxy.emulator.simulated_keys import derive_keyring, derive_secret
from client_proxy.membership.keys import (
    Ed25519,
    format_keyring,
    issue_certificate,
    load_keyring,
    parse_keyring,
    verify_signature,
    write_private_file,
)
from client_proxy.toml_table import TomlError

SECRET = b"s" * 32
AUTHORITY = Ed25519(b"a" * 32)
OWN = Ed25519(SECRET)


def keyring_text(
    member: int = 7, authorities: dict[int, bytes] | None = None, groups: dict[int, bytes] | None = None
) -> str:
    certificate = issue_certificate(AUTHORITY, 1, member, "mladost", 3, OWN.public_key)
    return format_keyring(
        certificate, "mladost", SECRET, groups or {4: b"g" * 32}, authorities or {1: AUTHORITY.public_key}
    )


def test_key_file_is_read_back_and_only_its_owner_may_read_it(tmp_path: Path) -> None:
    path = tmp_path / "own.keys"
    write_private_file(path, keyring_text())
    assert path.stat().st_mode & 0o777 == 0o600
    keyring = load_keyring(path)
    assert keyring.certificate.member == 7
    assert keyring.sending_group == 4
    assert keyring.signer.public_key == OWN.public_key
    for mode in (0o640, 0o604, 0o660, 0o777):
        os.chmod(path, mode)
        with pytest.raises(TomlError, match="only its owner may read it"):
            load_keyring(path)
    with pytest.raises(FileExistsError):
        write_private_file(path, "x")
    with pytest.raises(TomlError, match="No such file"):
        load_keyring(tmp_path / "none")


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (('hall = "mladost"', 'hal = "mladost"'), "hal: not a known key"),
        (("member = 7", "member = -7"), "f:1: member: -7 is not a whole number"),
        (("number = 4", "number = 400"), "group.number: 400 is not"),
        (('secret = "Z2', 'secret = "Z'), "group.secret: not 32 bytes in base64"),
    ],
)
def test_fault_of_a_key_file_is_named_with_its_line(change: tuple[str, str], fault: str) -> None:
    with pytest.raises(TomlError) as raised:
        parse_keyring(keyring_text().replace(*change), "f")
    assert fault in str(raised.value)


def test_certificate_without_a_valid_authority_is_not_trusted() -> None:
    other_key = Ed25519(b"o" * 32)
    with pytest.raises(TomlError, match="not signed by an authority"):
        parse_keyring(keyring_text(authorities={1: other_key.public_key}), "f")
    with pytest.raises(TomlError, match="not signed by an authority"):
        parse_keyring(keyring_text(authorities={2: AUTHORITY.public_key}), "f")
    keyring = parse_keyring(keyring_text(), "f")
    forged = issue_certificate(other_key, 1, 8, "mladost", 1, other_key.public_key)
    assert keyring.trusts(keyring.certificate)
    assert not keyring.trusts(forged)
    # The zone of this certificate was changed after it was signed.
    certificate = issue_certificate(AUTHORITY, 1, 8, "mladost", 1, other_key.public_key)
    changed = type(certificate)(8, certificate.zone ^ 1, 1, 1, certificate.public_key, certificate.signature)
    assert keyring.trusts(certificate)
    assert not keyring.trusts(changed)


def test_at_most_two_group_keys_are_valid_at_a_time() -> None:
    two = {4: b"g" * 32, 5: b"h" * 32}
    assert list(parse_keyring(keyring_text(groups=two), "f").group_keys) == [4, 5]
    with pytest.raises(TomlError, match="2 are valid at a time"):
        parse_keyring(keyring_text(groups={**two, 6: b"i" * 32}), "f")


def test_signature_is_valid_for_its_data_and_key_only() -> None:
    signed = OWN.sign(b"words")
    assert len(signed) == 64
    assert verify_signature(OWN.public_key, b"words", signed)
    assert not verify_signature(OWN.public_key, b"word", signed)
    assert not verify_signature(AUTHORITY.public_key, b"words", signed)
    assert not verify_signature(b"\xff" * 32, b"words", signed)


def test_simulated_keys_depend_on_the_seed_only() -> None:
    assert (
        derive_keyring(5, 1, "a").certificate
        == derive_keyring(5, 1, "a").certificate
        != derive_keyring(6, 1, "a").certificate
    )
    assert derive_secret(5, "x") == derive_secret(5, "x")


def test_commands_write_files_that_instances_load(tmp_path: Path) -> None:
    from click.testing import CliRunner

    from client_proxy.membership.__main__ import main

    def run(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, list(arguments))
        return result.exit_code, result.output

    files = {name: str(tmp_path / name) for name in ("a1", "a2", "g1", "g2", "own", "next")}
    assert run("authority", "new", files["a1"], "--number", "1")[0] == 0
    assert run("authority", "new", files["a2"], "--number", "2")[0] == 0
    assert run("group", "new", files["g1"], "--number", "1")[0] == 0
    assert run("group", "new", files["g2"], "--number", "2")[0] == 0
    arguments = ("issue", "--member", "7", "--hall", "mladost", "--group", files["g1"])
    assert run(*arguments, "--authority", files["a1"], "--out", files["own"])[0] == 0
    code, output = run("show", files["own"])
    assert code == 0
    assert "instance 7, epoch 1, signed by authority 1" in output
    # Both keys are rotated: the new file contains the new keys in addition to the old ones.
    new_keys = ("--authority", files["a2"], "--authority", files["a1"], "--group", files["g2"])
    assert run(*arguments, *new_keys, "--epoch", "2", "--out", files["next"])[0] == 0
    old, new = load_keyring(files["own"]), load_keyring(files["next"])
    assert new.trusts(old.certificate)
    assert not old.trusts(new.certificate)
    assert list(new.group_keys) == [1, 2]
    assert set(new.authority_keys) == {1, 2}
    # An existing file is not overwritten, and a key file that others may read is rejected.
    assert run(*arguments, "--authority", files["a1"], "--out", files["own"])[0] == 1
    os.chmod(files["a1"], 0o644)
    code, output = run(*arguments, "--authority", files["a1"], "--out", str(tmp_path / "no"))
    assert code == 1
    assert "only its owner may read it" in output
    assert run("show", files["a2"])[0] == 1
