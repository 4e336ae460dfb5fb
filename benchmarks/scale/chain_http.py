"""The subset of HTTP/1.1 that the services of a chain need: calls without a body, responses with a length."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass

from benchmarks.scale.processes import CLASS

RESPONSE = b"HTTP/1.1 %d -\r\nContent-Length: 2\r\n\r\nok"


class HttpError(ValueError):
    """The peer sent something other than the supported form of a call or response, or closed too early."""


@dataclass(frozen=True, slots=True)
class Call:
    """A call that a service has read; `read_s` is when, by time.monotonic()."""

    trace: str
    expires_in_ms: float
    read_s: float


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Returns the lines of a message head; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise HttpError("connection closed within a message head") from None
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def _parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.split(":", 1) for line in lines)
    return {name.lower(): value.strip() for name, value in pairs}


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """None at the end of the connection. Raises HttpError."""
    lines = await _read_head(reader)
    if lines is None:
        return None
    headers = _parse_headers(lines[1:])
    try:
        return Call(headers["x-trace-id"], float(headers["x-expires-in-ms"]), time.monotonic())
    except KeyError as error:
        raise HttpError(f"no header {error}") from None


def write_response(writer: asyncio.StreamWriter, status: int) -> None:
    writer.write(RESPONSE % status)


class HttpClient:
    """Calls one address, with one connection per concurrent call; idle connections are reused."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()

    async def call(self, trace: str, expires_in_ms: float) -> int:
        """Returns the status of the response. Raises OSError or HttpError."""
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(self._host, self._port)
        reusable = False
        try:
            writer.write(
                f"GET /{CLASS}/1 HTTP/1.1\r\nHost: chain\r\nX-Trace-Id: {trace}\r\n"
                f"X-Expires-In-Ms: {expires_in_ms:.1f}\r\n\r\n".encode()
            )
            lines = await _read_head(reader)
            if lines is None:
                raise HttpError("connection closed without a response")
            headers = _parse_headers(lines[1:])
            await reader.readexactly(int(headers.get("content-length", "0")))
            reusable = headers.get("connection", "").lower() != "close"
            return int(lines[0].split()[1])
        except asyncio.IncompleteReadError:
            raise HttpError("connection closed within a response") from None
        finally:
            if reusable:
                self._idle.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        for _, writer in self._idle:
            writer.close()
