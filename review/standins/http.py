"""HTTP/1.1 messages as the stand-ins read and write them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """A request or a response; `first_s` and `last_s`: when its first and its last byte were read."""

    start: str
    headers: dict[str, str]
    body: bytes
    first_s: float
    last_s: float

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message. Raises IncompleteReadError if the stream ends before the message does."""
    first = await reader.readexactly(1)
    first_s = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body, first_s, time.monotonic())


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
        if size == 0:
            return body


def response(status: int, body: bytes = b"", *headers: str, length: bool = True) -> bytes:
    """Encode a response. `length`: with Content-Length; without it the end of the stream ends the body."""
    lines = [f"HTTP/1.1 {status} X", *headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
