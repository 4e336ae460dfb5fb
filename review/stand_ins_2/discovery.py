"""Discovery: answers watches with the whole list, then with changes and empty lines."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

from review.stand_ins_2.http import read_message
from review.stand_ins_2.record import Record

Json = dict[str, Any]
EMPTY_LINE_S = 2.0  # an empty line comes so often while nothing changes


class Discovery:
    """One discovery service on a free port of 127.0.0.1, which knows the hosts' entries.

    Attributes:
        before_answer: called with the number of each call before it is answered; returns whether the call
            succeeds. A call that fails is answered 503.
    """

    def __init__(self, record: Record, before_answer: Callable[[int], Awaitable[bool]] | None = None) -> None:
        self._record = record
        self._before_answer = before_answer
        self._entries: dict[str, Json] = {}
        self.index = 1
        self.calls = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the same port as before after a stop."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Go down: watches end, and new connections are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        self._record.add("discovery is down")

    def whole_list(self) -> Json:
        """Return the whole list as a message; drained hosts stay in it, hosts that are gone don't."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self._entries.values())}

    def change(self, *entries: Json) -> None:
        """Change entries, and tell all open watches."""
        self.index += 1
        for entry in entries:
            if entry["status"] == "gone":
                self._entries.pop(entry["name"], None)
            else:
                self._entries[entry["name"]] = entry
        for writer in self._watches:
            self._tell(writer, {"index": self.index, "snapshot": False, "endpoints": list(entries)})
        states = ", ".join(f"{entry['name']} {entry['status']}" for entry in entries[:20])
        self._record.add(f"discovery has index {self.index}: {states}; tells {len(self._watches)} watches")

    def _tell(self, writer: asyncio.StreamWriter, message: Json | None) -> None:
        line = b"" if message is None else json.dumps(message, separators=(",", ":")).encode()
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            self._connections.discard(writer)
            self._watches.discard(writer)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_message(reader)
        if message is None:
            return
        self.calls += 1
        number = self.calls
        self._record.add(f"discovery gets call {number}: {message.path}")
        if self._before_answer is not None and not await self._before_answer(number):
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            self._record.add(f"discovery answers call {number} with 503")
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._tell(writer, self.whole_list())
        self._record.add(f"discovery answers call {number} with the whole list, index {self.index}")
        self._watches.add(writer)
        while not writer.transport.is_closing():
            await asyncio.sleep(EMPTY_LINE_S)
            self._tell(writer, None)
