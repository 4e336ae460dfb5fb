"""As much of HTTP/1.1 as the services of a chain need: calls without a body, answers of known length."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass

from benchmarks.scale.processes import CLASS

ANSWER = b"HTTP/1.1 %d -\r\nContent-Length: 2\r\n\r\nok"


class HttpError(ValueError):
    """What came is no call, or no answer, in the form that is known here."""


@dataclass(frozen=True, slots=True)
class Call:
    """`read_s`: when it was read, of time.monotonic()."""

    trace: str
    expires_in_ms: float
    read_s: float


async def _head(reader: asyncio.StreamReader) -> list[str] | None:
    """The lines of a head; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise HttpError("half a head") from None
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.split(":", 1) for line in lines)
    return {name.lower(): value.strip() for name, value in pairs}


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """None at the end of the connection. Raises HttpError."""
    lines = await _head(reader)
    if lines is None:
        return None
    headers = _headers(lines[1:])
    try:
        return Call(headers["x-trace-id"], float(headers["x-expires-in-ms"]), time.monotonic())
    except KeyError as error:
        raise HttpError(f"no header {error}") from None


def write_answer(writer: asyncio.StreamWriter, status: int) -> None:
    writer.write(ANSWER % status)


class HttpClient:
    """Calls one address, on as many connections as there are calls under way."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()

    async def call(self, trace: str, expires_in_ms: float) -> int:
        """The status of the answer. Raises OSError or HttpError."""
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(self._host, self._port)
        kept = False
        try:
            writer.write(
                f"GET /{CLASS}/1 HTTP/1.1\r\nHost: chain\r\nX-Trace-Id: {trace}\r\n"
                f"X-Expires-In-Ms: {expires_in_ms:.1f}\r\n\r\n".encode()
            )
            lines = await _head(reader)
            if lines is None:
                raise HttpError("closed without an answer")
            headers = _headers(lines[1:])
            await reader.readexactly(int(headers.get("content-length", "0")))
            kept = headers.get("connection", "").lower() != "close"
            return int(lines[0].split()[1])
        except asyncio.IncompleteReadError:
            raise HttpError("half an answer") from None
        finally:
            if kept:
                self._idle.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        for _, writer in self._idle:
            writer.close()
