"""One end of a connection in memory: a program's socket, and its transport once one is attached."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from client_proxy.emulator.virtual import VirtualLoop

Address = tuple[str, int]

LINK_S = 0.00005
"""The delay one way, between any two machines."""
BUFFER_BYTES = 256 * 1024
"""Sent and not yet read, in one direction, before the writer is paused."""


class SocketNetwork(Protocol):
    """What a socket needs of its network; `main_loop` carries bytes, whatever becomes of the machines."""

    main_loop: VirtualLoop

    def drop(self, sock: MemorySocket) -> None:
        """Forget a socket that has ended."""


class MemorySocket:
    """One end of a connection, as a socket and as an asyncio transport."""

    def __init__(self, network: SocketNetwork, loop: VirtualLoop | None = None) -> None:
        self._network = network
        self.loop = loop
        self.peer: MemorySocket | None = None
        self.sockname: Address = ("127.0.0.1", 0)
        self.peername: Address = ("127.0.0.1", 0)
        self.protocol: asyncio.Protocol | None = None
        self._received: deque[bytes | None] = deque()  # arrived and not read; None: the end
        self._reading = True
        self._unread_by_peer = 0  # bytes sent and not yet read by the peer
        self._writing_paused = False
        self._closing = False  # we have closed it
        self._sending_ended = False  # we have ended our sending
        self._lost = False  # connection_lost has been called, or is about to be
        self._peer_ended = False  # the peer sends no more
        self._was_reset = False  # reset by the peer, with nobody told yet

    # As a socket

    def setsockopt(self, *_: Any) -> None:
        """Take an option, which has no effect."""

    def send(self, data: bytes) -> int:
        """Send bytes, all of them at once.

        Raises:
            BrokenPipeError: the connection has ended.
        """
        if self._was_reset or self._lost or self.peer is None:
            raise BrokenPipeError(errno.EPIPE, "broken pipe")
        self._transmit(data)
        return len(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return what has arrived without taking it, as with `MSG_PEEK`.

        Raises:
            ConnectionResetError: the peer has reset the connection.
            BlockingIOError: nothing has arrived.
        """
        if self._was_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if not self._received:
            raise BlockingIOError(errno.EAGAIN, "nothing there")
        return (self._received[0] or b"")[:size]

    # As a transport

    def attach(self, loop: VirtualLoop, protocol: Any) -> MemorySocket:
        """Become the transport of `protocol`."""
        self.loop, self.protocol = loop, protocol
        loop.call_soon(protocol.connection_made, self)
        loop.call_soon(self._pump)
        if self._was_reset:
            self._end(ConnectionResetError(errno.ECONNRESET, "reset"))
        return self

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return `peername` or `sockname`."""
        return {"peername": self.peername, "sockname": self.sockname}.get(name, default)

    def is_closing(self) -> bool:
        """Return whether it has been closed or lost."""
        return self._closing or self._lost

    def is_reading(self) -> bool:
        """Return whether the protocol gets what arrives."""
        return self._reading and not self.is_closing()

    def pause_reading(self) -> None:
        """Keep what arrives."""
        self._reading = False

    def resume_reading(self) -> None:
        """Hand over what has arrived, and what arrives."""
        if not self._reading:
            self._reading = True
            if self.loop is not None:
                self.loop.call_soon(self._pump)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Take limits, which have no effect: the buffer's size is fixed."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the peer's buffer has no room for."""
        return max(0, self._unread_by_peer - BUFFER_BYTES)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.is_closing() and not self._sending_ended:
            self._transmit(bytes(data))

    def writelines(self, pieces: Any) -> None:
        """Send pieces of bytes."""
        self.write(b"".join(pieces))

    def close(self) -> None:
        """Close the connection after what was written."""
        if self.is_closing():
            return
        self._closing = True
        if not self._sending_ended:
            self._signal(lambda peer: peer._arrive(None))
        self._end(None)

    def can_write_eof(self) -> bool:
        """Return that half-closing is supported."""
        return True

    def write_eof(self) -> None:
        """End our sending alone: what comes is still read."""
        if not self.is_closing() and not self._sending_ended:
            self._sending_ended = True
            self._signal(lambda peer: peer._arrive(None))

    def abort(self) -> None:
        """Close the connection."""
        self.close()

    def reset(self) -> None:
        """End it at once, and the peer with an error, as the system does for a process that died."""
        if not self._lost:
            self._closing = True
            self._signal(MemorySocket._handle_reset)
            self._end(None)

    # On the way

    def _transmit(self, data: bytes) -> None:
        if not data or self.peer is None:
            return
        self._unread_by_peer += len(data)
        self._signal(lambda peer: peer._arrive(data))
        if self._unread_by_peer > BUFFER_BYTES and not self._writing_paused and self.protocol is not None:
            self._writing_paused = True
            self.protocol.pause_writing()

    def _signal(self, arrive: Callable[[MemorySocket], None]) -> None:
        """Let something arrive at the peer after the link's delay, carried by the main loop."""
        peer = self.peer
        if peer is not None:
            self._network.main_loop.call_later(LINK_S, arrive, peer)

    def _arrive(self, data: bytes | None) -> None:
        if self._lost:
            # Nobody reads here any more: what is written to it is answered by a reset.
            if data is not None:
                self._signal(MemorySocket._handle_reset)
            return
        if self._peer_ended:
            return
        self._peer_ended = data is None
        self._received.append(data)
        self._schedule_pump()

    def _schedule_pump(self) -> None:
        if self.loop is not None and self.protocol is not None and self._reading:
            self.loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Hand over what has come, as long as the program reads."""
        while self._received and self._reading and not self.is_closing() and self.protocol is not None:
            data = self._received.popleft()
            if data is None:
                self.protocol.eof_received()
                self.close()
                return
            if self.peer is not None:
                self.peer._read_by_peer(len(data))
            self.protocol.data_received(data)

    def _read_by_peer(self, size: int) -> None:
        self._unread_by_peer -= size
        if self._writing_paused and self._unread_by_peer <= BUFFER_BYTES // 2:
            self._writing_paused = False
            if self.loop is not None and self.protocol is not None and not self.is_closing():
                self.loop.call_soon(self.protocol.resume_writing)

    def _handle_reset(self) -> None:
        if self._lost:
            return
        if self.protocol is None:
            self._was_reset = True
        else:
            self._end(ConnectionResetError(errno.ECONNRESET, "reset"))

    def _end(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._lost = True
        self._received.clear()
        self._network.drop(self)
        if self.loop is not None and self.protocol is not None:
            self.loop.call_soon(self.protocol.connection_lost, error)
