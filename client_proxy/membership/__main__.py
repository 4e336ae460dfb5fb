"""`python -m client_proxy.membership`: creates keys for gossip. Needs the extra `gossip`.

authority new FILE --number N         writes an authority's key pair, which must not be stored on any instance
group new FILE --number N             writes a group key
issue --authority FILE ...            writes the key file of one instance
show FILE                             prints what an instance's key file holds, without its secrets
"""

from __future__ import annotations

import base64
import os
import secrets
from dataclasses import dataclass
from pathlib import Path

from client_proxy.optional_dependencies import require

require("client_proxy.membership", "gossip", "click", "cryptography")

import click  # noqa: E402

from client_proxy.membership.keys import (  # noqa: E402
    MAX_EPOCH,
    SECRET_BYTES,
    Ed25519,
    check_file_mode,
    format_keyring,
    issue_certificate,
    load_keyring,
    write_private_file,
)
from client_proxy.membership.messages import MAX_U8, MAX_U32  # noqa: E402
from client_proxy.toml_table import File, TomlError, read_text  # noqa: E402

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE = click.Path(dir_okay=False, path_type=Path)


@dataclass(frozen=True, slots=True)
class _NumberedSecret:
    number: int
    secret: bytes


@click.group(help="Keys for gossip between instances: docs/operators/gossip.md.")
def main() -> None:
    """Run the command line."""


@main.group(help="Authority keys, which sign the certificates of instances.")
def authority() -> None:
    """Group the commands for authorities."""


@authority.command("new", help="Write a new authority's key pair to FILE.")
@click.argument("file", type=NEW_FILE)
@click.option(
    "--number", type=click.IntRange(0, MAX_U8), required=True, help="Its number, never used before."
)
def authority_new(file: Path, number: int) -> None:
    """Write a new authority's key pair."""
    secret = secrets.token_bytes(SECRET_BYTES)
    public_key = base64.b64encode(Ed25519(secret).public_key).decode()
    private_key = base64.b64encode(secret).decode()
    _write(file, f'number = {number}\npublic = "{public_key}"\nprivate = "{private_key}"\n')


@main.group(help="Group keys, which authenticate the datagrams of members.")
def group() -> None:
    """Group the commands for group keys."""


@group.command("new", help="Write a new group key to FILE.")
@click.argument("file", type=NEW_FILE)
@click.option(
    "--number", type=click.IntRange(0, MAX_U8), required=True, help="Its number, never used before."
)
def group_new(file: Path, number: int) -> None:
    """Write a new group key."""
    secret = base64.b64encode(secrets.token_bytes(SECRET_BYTES)).decode()
    _write(file, f'number = {number}\nsecret = "{secret}"\n')


@main.command(
    "issue", help="Write the key file of one instance, with a new private key and a signed certificate."
)
@click.option(
    "--authority",
    "authorities",
    type=EXISTING_FILE,
    multiple=True,
    required=True,
    help="Repeatable; the first one signs.",
)
@click.option(
    "--group",
    "groups",
    type=EXISTING_FILE,
    multiple=True,
    required=True,
    help="Repeatable; the first one is used for sending.",
)
@click.option(
    "--member", type=click.IntRange(0, MAX_U32), required=True, help="The instance's member number."
)
@click.option("--hall", "zone", required=True, help="The zone of the instance, named as in its settings.")
@click.option(
    "--epoch",
    type=click.IntRange(0, MAX_EPOCH),
    default=1,
    help="A certificate of a higher epoch replaces it.",
)
@click.option("--out", type=NEW_FILE, required=True)
def issue_command(
    authorities: tuple[Path, ...], groups: tuple[Path, ...], member: int, zone: str, epoch: int, out: Path
) -> None:
    """Write the key file of one instance."""
    try:
        authority_secrets = [_read_secret(path, "private") for path in authorities]
        group_secrets = [_read_secret(path, "secret") for path in groups]
    except TomlError as error:
        raise click.ClickException(str(error)) from error
    signing = authority_secrets[0]
    own_secret = secrets.token_bytes(SECRET_BYTES)
    own_public_key = Ed25519(own_secret).public_key
    certificate = issue_certificate(
        Ed25519(signing.secret), signing.number, member, zone, epoch, own_public_key
    )
    group_keys = {each.number: each.secret for each in group_secrets}
    authority_keys = {each.number: Ed25519(each.secret).public_key for each in authority_secrets}
    _write(out, format_keyring(certificate, zone, own_secret, group_keys, authority_keys))


@main.command("show", help="Print what an instance's key FILE holds, without its secrets.")
@click.argument("file", type=EXISTING_FILE)
def show(file: Path) -> None:
    """Print what an instance's key file holds, without its secrets."""
    try:
        keyring = load_keyring(file)
    except TomlError as error:
        raise click.ClickException(str(error)) from error
    certificate = keyring.certificate
    member, epoch = certificate.member, certificate.epoch
    click.echo(f"instance {member}, epoch {epoch}, signed by authority {certificate.authority}")
    group_numbers = ", ".join(map(str, keyring.group_keys))
    click.echo(f"group keys {group_numbers} (sends with {keyring.sending_group})")
    authority_numbers = ", ".join(map(str, keyring.authority_keys))
    click.echo(f"authorities {authority_numbers}; user {os.stat(file).st_uid}")


def _read_secret(path: Path, key: str) -> _NumberedSecret:
    check_file_mode(path)
    file = File(read_text(path), str(path))
    table = file.top()
    number, text = table.integer("number", least=0, most=MAX_U8), table.text(key)
    file.raise_faults()
    return _NumberedSecret(number, _decode_secret(text, str(path)))


def _decode_secret(text: str, path: str) -> bytes:
    try:
        secret = base64.b64decode(text, validate=True)
    except ValueError:
        secret = b""
    if len(secret) != SECRET_BYTES:
        raise click.ClickException(f"{path}: the key is not {SECRET_BYTES} bytes in base64")
    return secret


def _write(file: Path, text: str) -> None:
    try:
        write_private_file(file, text)
    except OSError as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"wrote {file}, which only its owner may read")


if __name__ == "__main__":
    main(prog_name="python -m client_proxy.membership")
