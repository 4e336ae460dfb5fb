"""Reads and writes server files: lists of servers with an optional version and seal. Does no I/O.

A sealed file ends with an `[end]` table, which repeats the version at the top and may hold a digest of all
content above it, so that an incomplete file can be detected.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass
from hashlib import blake2b
from typing import Generic, TypeVar

from client_proxy.config.models import FleetFile, ServerEntry, parse
from client_proxy.toml_table import TomlError

MAX_BYTES = 4 * 1024 * 1024  # size of a server file or policy file
ModelT = TypeVar("ModelT", bound=FleetFile)
_END_HEADER = re.compile(rb"^\[end\]\s*$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ServerList:
    """One valid version of a server file.

    Attributes:
        digest: Digest of `content`, in hexadecimal.
        version: The version at the top of the file; None: the file has none.
        sealed: The file has a valid `[end]` table.
        servers: The servers, in the order of the file.
        content: The file.
    """

    digest: str
    version: int | None
    sealed: bool
    servers: tuple[ServerEntry, ...]
    content: bytes

    @property
    def usable(self) -> tuple[ServerEntry, ...]:
        """The servers that may get new requests."""
        return tuple(server for server in self.servers if server.weight > 0 and server.state == "ready")


def digest_of(content: bytes) -> str:
    """Return the digest of a file's content, in hexadecimal."""
    return blake2b(content, digest_size=16).hexdigest()


def read_server_list(content: bytes, name: str) -> ServerList:
    """Read the servers of a server file.

    Args:
        content: The file.
        name: Name of the file, for messages.

    Raises:
        TomlError: The file is not valid; the text has one line for each fault.
    """
    return read_server_file(FleetFile, content, name).fleet


@dataclass(frozen=True, slots=True)
class ParsedFile(Generic[ModelT]):
    """A server file, or a policy file, which has the keys of a server file and more."""

    fleet: ServerList  # the servers of the file
    file: ModelT  # all keys of the file
    text: str


def read_server_file(model: type[ModelT], content: bytes, name: str) -> ParsedFile[ModelT]:
    """Read a file whose model has the keys of a server file and possibly more.

    Args:
        model: Model of the file.
        content: The file.
        name: Name of the file, for messages.

    Raises:
        TomlError: The file is not valid; the text has one line for each fault.
    """
    if len(content) > MAX_BYTES:
        raise TomlError(f"{name}: more than {MAX_BYTES} bytes")
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise TomlError(f"{name}: not UTF-8: {error}") from None
    file = parse(model, text, name)
    faults = []
    for key, values in (
        ("name", [server.name for server in file.server]),
        ("address", [server.address for server in file.server]),
    ):
        duplicates = [value for value, count in Counter(values).items() if count > 1]
        faults += [f"{name}: server.{key}: {value!r} stands more than once" for value in duplicates[:5]]
    if not file.server:
        faults.append(f"{name}: server: at least one [[server]] is needed")
    faults += _end_faults(file, content, name)
    if faults:
        raise TomlError("\n".join(faults))
    fleet = ServerList(digest_of(content), file.version, file.end is not None, file.server, content)
    return ParsedFile(fleet, file, text)


def _end_faults(file: FleetFile, content: bytes, name: str) -> list[str]:
    if file.end is None:
        # A file with a version at the top must have `[end]`; without it the file may be incomplete.
        return (
            [f"{name}: end: missing: a file with a version ends with [end]"]
            if file.version is not None
            else []
        )
    if file.end.version != file.version:
        return [f"{name}: end.version: {file.end.version} is not the version at the top ({file.version})"]
    if not content.endswith(b"\n"):
        return [f"{name}: end: the last line must end with a newline"]
    end_headers = list(_END_HEADER.finditer(content))
    above = content[: end_headers[-1].start()] if end_headers else b""
    if file.end.digest and file.end.digest != digest_of(above):
        return [f"{name}: end.digest: does not match the content above [end]; seal the file again"]
    return []


def seal(content: bytes, version: int) -> bytes:
    """Return the content as a sealed file.

    Args:
        content: A server file or policy file, sealed or not.
        version: Written at the top and in `[end]`, in place of an earlier one.
    """
    end_headers = list(_END_HEADER.finditer(content))
    body = content[: end_headers[-1].start()] if end_headers else content
    body = re.sub(rb"^version\s*=.*\n", b"", body, count=1, flags=re.MULTILINE)
    # In TOML the keys at the top level must come before the first table.
    body = b"version = %d\n%s\n" % (version, body.lstrip(b"\n").rstrip(b"\n"))
    # The version is the last line, so that a file truncated anywhere is detected as incomplete.
    return body + b'[end]\ndigest = "%s"\nversion = %d\n' % (digest_of(body).encode(), version)


def describe_server_changes(old: ServerList, new: ServerList) -> list[str]:
    """Return a line for each server that was removed, added or changed from `old` to `new`."""
    before, after = ({server.name: server for server in fleet.servers} for fleet in (old, new))
    lines = [f"- {name} ({before[name].address})" for name in sorted(before.keys() - after.keys())]
    lines += [f"+ {name} ({after[name].address})" for name in sorted(after.keys() - before.keys())]
    for name in sorted(before.keys() & after.keys()):
        old_values, new_values = before[name].model_dump(), after[name].model_dump()
        changed = [
            f"{key} {old_values[key]!r} -> {new_values[key]!r}"
            for key in old_values
            if old_values[key] != new_values[key]
        ]
        if changed:
            lines.append(f"  {name}: {', '.join(changed)}")
    return lines
