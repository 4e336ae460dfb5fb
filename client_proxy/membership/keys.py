"""An instance's identity and trusted keys, read from a key file that only its owner may read.

The operators' authority signs a certificate for each instance, an instance signs its own records with its
private key, and group keys authenticate datagrams. Two authorities and two group keys may be valid at the
same time, so that operators can rotate either without a time at which some instances reject the records of
others (docs/operators/gossip.md). Signatures are Ed25519 (RFC 8032), computed by the `cryptography` library.
"""

from __future__ import annotations

import base64
import binascii
import os
import stat
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from client_proxy.membership.messages import (
    MAX_U8,
    MAX_U32,
    PUBLIC_KEY_BYTES,
    SIGNATURE_BYTES,
    Certificate,
    name_tag,
)
from client_proxy.toml_table import File, Table, TomlError, read_text

SECRET_BYTES = 32  # size of a private key and of a group key
MAX_EPOCH = 0xFFFF
MAX_VALID_KEYS = 2  # authorities, and group keys, that may be valid at the same time
_GROUP_AND_OTHER_ACCESS = 0o077
_PRIVATE_MODE = 0o600


class Signer(Protocol):
    """A private key that signs data, with its public key."""

    public_key: bytes

    def sign(self, data: bytes) -> bytes:
        """Return the signature of `data`, 64 bytes."""


class SignatureVerifier(Protocol):
    """A function that checks signatures, such as `verify_signature`."""

    def __call__(self, public_key: bytes, data: bytes, signature: bytes, /) -> bool:
        """Whether the signature of `data` was made with the private key of `public_key`."""


class Ed25519:
    """An Ed25519 private key, created from a secret of 32 bytes."""

    def __init__(self, secret: bytes) -> None:
        # Imported here, so that the daemon starts without the library if no table of its settings needs it.
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

        self._key = Ed25519PrivateKey.from_private_bytes(secret)
        self.public_key = self._key.public_key().public_bytes_raw()

    def sign(self, data: bytes) -> bytes:
        """Return the signature of `data`, 64 bytes."""
        return self._key.sign(data)


def verify_signature(public_key: bytes, data: bytes, signature: bytes) -> bool:
    """Whether the Ed25519 signature of `data` was made with the private key of `public_key`."""
    from cryptography.exceptions import InvalidSignature
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

    try:
        Ed25519PublicKey.from_public_bytes(public_key).verify(signature, data)
    except (InvalidSignature, ValueError):
        return False
    return True


@dataclass(frozen=True, slots=True)
class Keyring:
    """The keys of one instance.

    Attributes:
        certificate: the instance's certificate.
        signer: the instance's private key.
        group_keys: group keys by number; the first one is used for sending, and all are accepted.
        authority_keys: the authorities' public keys, by number.
        verify: the function that checks signatures.
    """

    certificate: Certificate
    signer: Signer
    group_keys: dict[int, bytes]
    authority_keys: dict[int, bytes]
    verify: SignatureVerifier = field(default=verify_signature)

    @property
    def sending_group(self) -> int:
        """The number of the group key that is used for sending."""
        return next(iter(self.group_keys))

    def trusts(self, certificate: Certificate) -> bool:
        """Whether a currently valid authority signed the certificate; this verifies a signature."""
        public_key = self.authority_keys.get(certificate.authority)
        if public_key is None:
            return False
        return self.verify(public_key, certificate.signed_bytes, certificate.signature)


def issue_certificate(
    authority: Signer, authority_number: int, member: int, zone: str, epoch: int, public_key: bytes
) -> Certificate:
    """Return a certificate for a member's public key, signed by the authority."""
    zone_tag = name_tag(zone)
    unsigned = Certificate(member, zone_tag, epoch, authority_number, public_key, b"")
    signature = authority.sign(unsigned.signed_bytes)
    return Certificate(member, zone_tag, epoch, authority_number, public_key, signature)


def check_file_mode(path: str | Path) -> None:
    """Check that only a file's owner may access it, and that the owner is this user or root.

    Raises:
        TomlError: the mode or the owner is not allowed, or the file's status cannot be read.
    """
    try:
        status = os.stat(path)
    except OSError as error:
        raise TomlError(f"{path}: {error}") from error
    mode = stat.S_IMODE(status.st_mode)
    if mode & _GROUP_AND_OTHER_ACCESS:
        raise TomlError(f"{path}: its mode is {mode:04o}; only its owner may read it (0600 or 0400)")
    if status.st_uid not in (os.geteuid(), 0):
        raise TomlError(f"{path}: its owner is user {status.st_uid}; it must be this process's user or root")


def _read_bytes(table: Table, key: str, size: int) -> bytes:
    text = table.text(key)
    try:
        value = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        value = b""
    if len(value) != size:
        if text:
            table.fault(key, f"not {size} bytes in base64")
        return bytes(size)
    return value


def _read_numbered_keys(tables: list[Table], key: str, size: int) -> dict[int, bytes]:
    keys: dict[int, bytes] = {}
    for table in tables:
        number = table.integer("number", least=0, most=MAX_U8)
        if number in keys:
            table.fault("number", f"{number} is used twice")
        keys[number] = _read_bytes(table, key, size)
        table.reject_unknown_keys()
    if len(keys) > MAX_VALID_KEYS:
        tables[-1].fault("number", f"at most {MAX_VALID_KEYS} are valid at a time, not {len(keys)}")
    return keys


def parse_keyring(text: str, name: str) -> Keyring:
    """Return the keyring that the text of a key file describes.

    Args:
        text: the file's content.
        name: the file's name, for error messages.

    Raises:
        TomlError: the text is invalid; the message has one line for each fault.
    """
    file = File(text, name)
    top = file.top()
    member = top.integer("member", least=0, most=MAX_U32)
    # "hall" is an older word for zone; the key is unchanged so that existing files stay valid.
    zone = top.text("hall")
    epoch = top.integer("epoch", least=0, most=MAX_EPOCH)
    authority_number = top.integer("authority_number", least=0, most=MAX_U8)
    signature = _read_bytes(top, "signature", SIGNATURE_BYTES)
    secret = _read_bytes(top, "private", SECRET_BYTES)
    group_keys = _read_numbered_keys(top.tables("group", least=1), "secret", SECRET_BYTES)
    authority_keys = _read_numbered_keys(top.tables("authority", least=1), "public", PUBLIC_KEY_BYTES)
    top.reject_unknown_keys()
    file.raise_faults()
    signer = Ed25519(secret)
    certificate = Certificate(member, name_tag(zone), epoch, authority_number, signer.public_key, signature)
    keyring = Keyring(certificate, signer, group_keys, authority_keys)
    if not keyring.trusts(certificate):
        raise TomlError(f"{name}: the certificate is not signed by an authority listed in the file")
    return keyring


def load_keyring(path: str | Path) -> Keyring:
    """Return the keyring stored in a file.

    Raises:
        TomlError: the file is invalid, or its owner or mode is not allowed.
    """
    check_file_mode(path)
    return parse_keyring(read_text(path), str(path))


def _base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def format_keyring(
    certificate: Certificate,
    zone: str,
    secret: bytes,
    group_keys: dict[int, bytes],
    authority_keys: dict[int, bytes],
) -> str:
    """Return the text of a key file, in the form that `parse_keyring` reads."""
    lines = [
        f"member = {certificate.member}",
        f'hall = "{zone}"',
        f"epoch = {certificate.epoch}",
        f"authority_number = {certificate.authority}",
        f'signature = "{_base64(certificate.signature)}"',
        f'private = "{_base64(secret)}"',
    ]
    for number, group_key in group_keys.items():
        lines += ["", "[[group]]", f"number = {number}", f'secret = "{_base64(group_key)}"']
    for number, public_key in authority_keys.items():
        lines += ["", "[[authority]]", f"number = {number}", f'public = "{_base64(public_key)}"']
    return "\n".join(lines) + "\n"


def write_private_file(path: str | Path, text: str) -> None:
    """Write a new file that only its owner may read.

    Raises:
        FileExistsError: the file exists already; a key is never overwritten.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, _PRIVATE_MODE)
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(text)
