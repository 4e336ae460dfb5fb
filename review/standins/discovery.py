"""Discovery: the whole list, and watches on its changes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http import read_message, response
from standins.record import Record

EMPTY_LINE_S = 2.0


@dataclass
class Discovery:
    """The list as discovery knows it, and the open watches."""

    record: Record
    entries: Callable[[], list[dict[str, object]]]
    index: int = 41
    port: int = 0
    stopped: bool = False
    told_ms: dict[tuple[str, str], float] = field(default_factory=dict)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._watches: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def message(self, entries: list[dict[str, object]], snapshot: bool) -> bytes:
        """Return one line of the list."""
        return json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"

    def change(self, *entries: dict[str, object]) -> None:
        """Tell all watches of changed entries."""
        self.index += 1
        for writer in self._watches:
            self._write_chunk(writer, self.message(list(entries), snapshot=False))
        for entry in entries:
            at_ms = self.record.add("told", name=entry["name"], status=entry["status"])
            self.told_ms[(str(entry["name"]), str(entry["status"]))] = at_ms

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target = (await read_message(reader)).start.split()[1]
            if "follow=1" not in target:
                writer.write(response(200, self.message(self.entries(), snapshot=True)))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write_chunk(writer, self.message(self.entries(), snapshot=True))
            self._watches.add(writer)
            while not self.stopped and not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_S)
                self._write_chunk(writer, b"\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()
