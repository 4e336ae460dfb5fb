"""HTTP/1.1 messages as the stand-ins read them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """A whole message; header names are in lower case."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.line.split()[1])

    @property
    def path(self) -> str:
        """The path of a request."""
        return self.line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a stated length; None: the connection ended before its first byte.

    Raises IncompleteReadError or ConnectionError if it ends in the middle of a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    line, *rest = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for text in rest:
        name, _, value = text.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(line, headers, body)


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a response with a stated length; `headers` are whole lines."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
