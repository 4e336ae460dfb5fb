"""One version of the servers: read from a file's bytes, whole or not at all, and written as such. No I/O."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass
from hashlib import blake2b
from typing import Generic, TypeVar

from client_proxy.config.models import FleetFile, ServerEntry, parse
from client_proxy.toml_table import TomlError

MAX_BYTES = 4 * 1024 * 1024
ModelT = TypeVar("ModelT", bound=FleetFile)
_END = re.compile(rb"^\[end\]\s*$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ServerList:
    """A version of the servers that is valid by itself. `sealed`: its last line was seen to be its last."""

    digest: str
    version: int | None
    sealed: bool
    servers: tuple[ServerEntry, ...]
    content: bytes

    @property
    def usable(self) -> tuple[ServerEntry, ...]:
        """The servers that may get new work."""
        return tuple(server for server in self.servers if server.weight > 0 and server.state == "ready")


def digest_of(content: bytes) -> str:
    """Return the digest of a file's content, in hexadecimal."""
    return blake2b(content, digest_size=16).hexdigest()


def read_server_list(content: bytes, name: str) -> ServerList:
    """Read a file of servers. Raises TomlError with a line for each fault."""
    return read_server_file(FleetFile, content, name).fleet


@dataclass(frozen=True, slots=True)
class ParsedFile(Generic[ModelT]):
    """A file of servers that may state more."""

    fleet: ServerList  # its servers
    file: ModelT  # all of it
    text: str


def read_server_file(model: type[ModelT], content: bytes, name: str) -> ParsedFile[ModelT]:
    """Read a file of servers that may state more. Raises TomlError with a line for each fault."""
    if len(content) > MAX_BYTES:
        raise TomlError(f"{name}: more than {MAX_BYTES} bytes")
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise TomlError(f"{name}: not UTF-8: {error}") from None
    file = parse(model, text, name)
    faults = []
    for what, values in (
        ("name", [server.name for server in file.server]),
        ("address", [server.address for server in file.server]),
    ):
        twice = [value for value, count in Counter(values).items() if count > 1]
        faults += [f"{name}: server.{what}: {value!r} stands more than once" for value in twice[:5]]
    if not file.server:
        faults.append(f"{name}: server: at least one [[server]] is needed")
    faults += _end_faults(file, content, name)
    if faults:
        raise TomlError("\n".join(faults))
    fleet = ServerList(digest_of(content), file.version, file.end is not None, file.server, content)
    return ParsedFile(fleet, file, text)


def _end_faults(file: FleetFile, content: bytes, name: str) -> list[str]:
    if file.end is None:
        # A version at the top promises an end: without it the file is half there.
        return (
            [f"{name}: end: missing: a file with a version ends with [end]"]
            if file.version is not None
            else []
        )
    if file.end.version != file.version:
        return [f"{name}: end.version: {file.end.version} is not the version at the top ({file.version})"]
    if not content.endswith(b"\n"):
        return [f"{name}: end: its last line has no end"]
    marks = list(_END.finditer(content))
    above = content[: marks[-1].start()] if marks else b""
    if file.end.digest and file.end.digest != digest_of(above):
        return [f"{name}: end.digest: not that of what stands above; seal the file again"]
    return []


def seal(content: bytes, version: int) -> bytes:
    """Return the content with this version at its top, and an `[end]` with the digest of all above it."""
    marks = list(_END.finditer(content))
    body = content[: marks[-1].start()] if marks else content
    body = re.sub(rb"^version\s*=.*\n", b"", body, count=1, flags=re.MULTILINE)
    # What keys the file has at its top must stay above its tables.
    body = b"version = %d\n%s\n" % (version, body.lstrip(b"\n").rstrip(b"\n"))
    # The version comes last: cut short anywhere, the file is seen not to be complete.
    return body + b'[end]\ndigest = "%s"\nversion = %d\n' % (digest_of(body).encode(), version)


def describe_server_changes(old: ServerList, new: ServerList) -> list[str]:
    """Return line by line what changes from one version to the other."""
    before, after = ({server.name: server for server in fleet.servers} for fleet in (old, new))
    lines = [f"- {name} ({before[name].address})" for name in sorted(before.keys() - after.keys())]
    lines += [f"+ {name} ({after[name].address})" for name in sorted(after.keys() - before.keys())]
    for name in sorted(before.keys() & after.keys()):
        was, now = before[name].model_dump(), after[name].model_dump()
        changed = [f"{key} {was[key]!r} -> {now[key]!r}" for key in was if was[key] != now[key]]
        if changed:
            lines.append(f"  {name}: {', '.join(changed)}")
    return lines
