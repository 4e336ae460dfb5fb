"""The fault proxy: TCP relays between the processes of a drill, each for one pair, that can inject faults.

The faults are silence in one direction or both, resets, delay and a limited rate, for open and for new
connections. On a silent link no dial completes either: its listener stops accepting, and its accept queue
fills up (`emulator/listeners.py`). Not covered: loss below TCP, half-open connections and a changed address.
Silenced bytes are buffered and sent when the silence ends, as TCP's retransmissions would deliver them; the
buffer is bounded, and at its bound the relay stops reading from the sender, as with a full window.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import Any

from client_proxy.emulator.listeners import SocketListener, reset_connection
from client_proxy.fault_injection.helper import Json, Order, serve

MAX_BUFFERED_BYTES = 256 * 1024  # bytes buffered for one direction of one connection before reading pauses
CHUNK_BYTES = 512  # bytes that are sent at once at a limited rate
FORWARD, BACKWARD = 0, 1  # direction from the process that dials, and towards it


class Direction:
    """The faults of one direction of a link, and counts of the bytes that they affected."""

    def __init__(self) -> None:
        self.silent = False
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.counts: Counter[str] = Counter()


class Stream:
    """The bytes of one connection in one direction."""

    def __init__(self, direction: Direction) -> None:
        self.direction = direction
        self.source: Any = None
        self.sink: Any = None
        # The time at which bytes are due, and the bytes; None: the end of the stream.
        self._buffered: deque[tuple[float, bytes | None]] = deque()
        self._buffered_bytes = 0
        self._next_send_s = 0.0  # time at which the limited rate allows the next chunk
        self._timer: asyncio.TimerHandle | None = None
        self._reading_paused = False
        self.sink_full = False  # the sink has paused writing

    def buffer_bytes(self, data: bytes | None) -> None:
        """Buffer bytes from the source, or with None the end of its stream, and send what is due."""
        loop = asyncio.get_running_loop()
        if data is not None and self.direction.bytes_per_s:
            for start in range(0, len(data), CHUNK_BYTES):
                self._buffered.append(
                    (loop.time() + self.direction.delay_s, data[start : start + CHUNK_BYTES])
                )
        else:
            self._buffered.append((loop.time() + self.direction.delay_s, data))
        self._buffered_bytes += len(data or b"")
        if self.direction.silent:
            self.direction.counts["held"] += len(data or b"") or 1
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._reading_paused and self.source is not None:
            self._reading_paused = True
            self.source.pause_reading()
        self.send_due()

    def send_due(self) -> None:
        """Send the bytes that are due to the other end."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        loop = asyncio.get_running_loop()
        while self._buffered and not self.direction.silent and not self.sink_full and self.sink is not None:
            due_s, data = self._buffered[0]
            due_s = max(due_s, self._next_send_s)
            if due_s > loop.time():
                self._timer = loop.call_at(due_s, self.send_due)
                break
            self._buffered.popleft()
            if data is None:
                self.sink.close()
                return
            if self.direction.bytes_per_s:
                self._next_send_s = loop.time() + len(data) / self.direction.bytes_per_s
                self.direction.counts["trickled"] += len(data)
            if self.direction.delay_s:
                self.direction.counts["delayed"] += len(data)
            self._buffered_bytes -= len(data)
            self.direction.counts["passed"] += len(data)
            self.sink.write(data)
        if self._reading_paused and self._buffered_bytes <= MAX_BUFFERED_BYTES and self.source is not None:
            self._reading_paused = False
            self.source.resume_reading()

    def discard_buffer(self) -> None:
        """Drop the bytes that are not sent yet."""
        if self._timer is not None:
            self._timer.cancel()
        self._buffered.clear()


class End(asyncio.Protocol):
    """The relay's connection to one of the two processes."""

    def __init__(self, relayed: RelayedConnection, outgoing: Stream, incoming: Stream) -> None:
        self._relayed, self._outgoing, self._incoming = relayed, outgoing, incoming
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = self._outgoing.source = self._incoming.sink = transport
        if self._relayed.reset_done:
            self._relayed.reset()
        else:
            self._incoming.send_due()

    def data_received(self, data: bytes) -> None:
        self._outgoing.buffer_bytes(data)

    def pause_writing(self) -> None:
        self._incoming.sink_full = True

    def resume_writing(self) -> None:
        self._incoming.sink_full = False
        self._incoming.send_due()

    def eof_received(self) -> bool:
        self._outgoing.buffer_bytes(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._outgoing.source = self._incoming.sink = None
        self._incoming.discard_buffer()
        if exc is not None:
            self._relayed.reset()
        else:
            self._outgoing.buffer_bytes(None)
        self._relayed.end_closed(self)


class RelayedConnection:
    """A relayed connection: the one that a process opened to the relay, and the relay's own."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self.forward_stream, self.backward_stream = (
            Stream(link.directions[FORWARD]),
            Stream(link.directions[BACKWARD]),
        )
        self.dialler_end = End(self, self.forward_stream, self.backward_stream)
        self.target_end = End(self, self.backward_stream, self.forward_stream)
        self._dial_task: asyncio.Task[None] | None = None
        self._ended_count = 0
        self.reset_done = False  # reset; an end that is connected later is reset too

    def accept_connection(self) -> asyncio.Protocol:
        """Accept a connection and dial the target, or reset it if the link resets connections."""
        self._link.relayed_connections[self] = None
        self._link.counts["dials"] += 1
        if self._link.resetting:
            self._link.counts["reset"] += 1
            self.reset_done = True
        else:
            self._dial_task = asyncio.get_running_loop().create_task(self._connect())
        return self.dialler_end

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.target_end, *self._link.to)
        except OSError:
            self._link.counts["refused"] += 1
            self.reset()

    def reset(self) -> None:
        """Reset both ends, as the kernel does for a process that died."""
        self.reset_done = True
        for end in (self.dialler_end, self.target_end):
            if end.transport is not None and not end.transport.is_closing():
                reset_connection(end.transport)
                end.transport.abort()
        if self.target_end.transport is None:
            self._link.relayed_connections.pop(self, None)

    def end_closed(self, end: End) -> None:
        self._ended_count += 1
        if self._ended_count == 2 or self.target_end.transport is None:
            self._link.relayed_connections.pop(self, None)


class Link:
    """The relay from one process to another: its listener forwards connections to `to`."""

    def __init__(self, host: str, to: tuple[str, int]) -> None:
        self.to = to
        self.directions = (Direction(), Direction())
        self.resetting = self.refusing = False
        self.resets_before = 0  # connections reset before the last order
        self.relayed_connections: dict[RelayedConnection, None] = {}
        self.counts: Counter[str] = Counter()
        loop = asyncio.get_running_loop()
        self.relay_listener = SocketListener(
            loop, lambda: RelayedConnection(self).accept_connection(), (host, 0)
        )
        self.relay_listener.open()

    def set_faults(self, order: Json) -> None:
        """Replace the faults of the directions in `sides` by the `mode` of the order; "" means none."""
        self.resets_before = self.counts["reset"]
        for side, direction in zip(("there", "back"), self.directions, strict=True):
            if side in order["sides"]:
                direction.silent = order["mode"] == "silent"
                direction.delay_s = order["ms"] / 1000.0 if order["mode"] == "delay" else 0.0
                direction.bytes_per_s = order["bytes_per_s"] if order["mode"] == "trickle" else 0.0
        self.resetting = order["mode"] == "reset"
        self.refusing = self.refusing or order["mode"] == "closed"
        if self.resetting:
            self.counts["reset"] += len(self.relayed_connections)
            for relayed in list(self.relayed_connections):
                relayed.reset()
        self._update_listener()
        for relayed in list(self.relayed_connections):
            relayed.forward_stream.send_due()
            relayed.backward_stream.send_due()

    def retarget(self, to: tuple[str, int]) -> None:
        """Change the target, whose process has been started again and listens there."""
        self.to, self.refusing = to, False
        self._update_listener()

    def _update_listener(self) -> None:
        if self.refusing:
            # The target has ended: the kernel refuses a dial, as it would at a dead process's address.
            self.relay_listener.close()
            return
        self.relay_listener.open()
        if any(direction.silent for direction in self.directions):
            self.relay_listener.ignore_dials()  # a TCP handshake needs both directions

    def summary(self) -> Json:
        """Return the counts of the link and of both directions."""
        sides = dict(
            zip(("there", "back"), (dict(direction.counts) for direction in self.directions), strict=True)
        )
        totals = {"open": len(self.relayed_connections), "was_reset": self.resets_before}
        return {"counts": dict(self.counts), **totals, **sides}


def make_handlers() -> dict[str, Order]:
    links: dict[str, Link] = {}

    async def link(order: Json) -> Json:
        new_link = links[order["id"]] = Link(order["host"], tuple(order["to"]))
        return {"address": list(new_link.relay_listener.address)}

    async def retarget(order: Json) -> None:
        links[order["id"]].retarget(tuple(order["to"]))

    async def set_faults(order: Json) -> Json:
        links[order["id"]].set_faults(order)
        return links[order["id"]].summary()

    async def count(order: Json) -> Json:
        return {"links": {id_: links[id_].summary() for id_ in order["ids"]}}

    return {"link": link, "aim": retarget, "way": set_faults, "count": count}


if __name__ == "__main__":
    serve(make_handlers)
