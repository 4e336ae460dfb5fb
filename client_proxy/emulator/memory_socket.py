"""One end of a connection in memory: a socket, which becomes a transport once a protocol is attached."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from client_proxy.emulator.virtual import VirtualLoop

Address = tuple[str, int]

LINK_DELAY_S = 0.00005
"""Seconds; the delay in one direction between any two machines."""
BUFFER_BYTES = 256 * 1024
"""The number of bytes sent in one direction and not yet read above which the writer is paused."""


class SocketNetwork(Protocol):
    """What a socket needs from its network; `main_loop` delivers all data and outlives killed machines."""

    main_loop: VirtualLoop

    def drop(self, sock: MemorySocket) -> None:
        """Remove a socket that has ended."""


class MemorySocket:
    """One end of a connection, as a socket and as an asyncio transport.

    Attributes:
        loop: the loop of the machine whose socket it is; None before a dial begins.
        peer: the other end; None before the connection is established.
        sockname: its own address.
        peername: the other end's address.
        protocol: the protocol whose transport it is; None as long as it is only a socket.
    """

    def __init__(self, network: SocketNetwork, loop: VirtualLoop | None = None) -> None:
        self._network = network
        self.loop = loop
        self.peer: MemorySocket | None = None
        self.sockname: Address = ("127.0.0.1", 0)
        self.peername: Address = ("127.0.0.1", 0)
        self.protocol: asyncio.Protocol | None = None
        self._received: deque[bytes | None] = deque()  # arrived and not read; None: end of the stream
        self._reading = True
        self._unread_by_peer = 0  # bytes sent and not yet read by the peer
        self._writing_paused = False
        self._closing = False  # this end has closed the connection
        self._sending_closed = False  # this end has closed its sending direction
        self._lost = False  # connection_lost has been called or scheduled
        self._peer_stream_ended = False  # the end of the peer's stream has arrived
        self._was_reset = False  # reset by the peer before a protocol was attached

    # Methods of a socket

    def setsockopt(self, *_: Any) -> None:
        """Accept a socket option, which has no effect."""

    def send(self, data: bytes) -> int:
        """Send all bytes at once and return their number.

        Raises:
            BrokenPipeError: the connection has ended.
        """
        if self._was_reset or self._lost or self.peer is None:
            raise BrokenPipeError(errno.EPIPE, "broken pipe")
        self._transmit(data)
        return len(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return bytes that have arrived and keep them in the buffer, as with `MSG_PEEK`.

        Raises:
            ConnectionResetError: the peer has reset the connection.
            BlockingIOError: nothing has arrived.
        """
        if self._was_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if not self._received:
            raise BlockingIOError(errno.EAGAIN, "no data")
        return (self._received[0] or b"")[:size]

    # Methods of an asyncio transport

    def attach(self, loop: VirtualLoop, protocol: Any) -> MemorySocket:
        """Become the transport of `protocol`."""
        self.loop, self.protocol = loop, protocol
        loop.call_soon(protocol.connection_made, self)
        loop.call_soon(self._deliver_received)
        if self._was_reset:
            self._end(ConnectionResetError(errno.ECONNRESET, "reset"))
        return self

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the address named `peername` or `sockname`; `default` for any other name."""
        return {"peername": self.peername, "sockname": self.sockname}.get(name, default)

    def is_closing(self) -> bool:
        """Return whether it has been closed or lost."""
        return self._closing or self._lost

    def is_reading(self) -> bool:
        """Return whether data that arrives is passed to the protocol."""
        return self._reading and not self.is_closing()

    def pause_reading(self) -> None:
        """Keep data that arrives in the buffer."""
        self._reading = False

    def resume_reading(self) -> None:
        """Pass buffered data, and data that arrives, to the protocol again."""
        if not self._reading:
            self._reading = True
            if self.loop is not None:
                self.loop.call_soon(self._deliver_received)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Accept limits, which have no effect: the size of the buffer is fixed."""

    def get_write_buffer_size(self) -> int:
        """Return the number of unread bytes beyond the size of the buffer."""
        return max(0, self._unread_by_peer - BUFFER_BYTES)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.is_closing() and not self._sending_closed:
            self._transmit(bytes(data))

    def writelines(self, pieces: Any) -> None:
        """Send several pieces of bytes."""
        self.write(b"".join(pieces))

    def close(self) -> None:
        """Close the connection after the bytes that were written."""
        if self.is_closing():
            return
        self._closing = True
        if not self._sending_closed:
            self._call_peer_later(lambda peer: peer._receive(None))
        self._end(None)

    def can_write_eof(self) -> bool:
        """Return that half-closing is supported."""
        return True

    def write_eof(self) -> None:
        """Close the sending direction only; data that arrives is still read."""
        if not self.is_closing() and not self._sending_closed:
            self._sending_closed = True
            self._call_peer_later(lambda peer: peer._receive(None))

    def abort(self) -> None:
        """Close the connection, as `close` does."""
        self.close()

    def reset(self) -> None:
        """End the connection at once; the peer gets a reset, as when a process has been killed."""
        if not self._lost:
            self._closing = True
            self._call_peer_later(MemorySocket._handle_reset)
            self._end(None)

    # Data on the way

    def _transmit(self, data: bytes) -> None:
        if not data or self.peer is None:
            return
        self._unread_by_peer += len(data)
        self._call_peer_later(lambda peer: peer._receive(data))
        if self._unread_by_peer > BUFFER_BYTES and not self._writing_paused and self.protocol is not None:
            self._writing_paused = True
            self.protocol.pause_writing()

    def _call_peer_later(self, action: Callable[[MemorySocket], None]) -> None:
        """Call a function with the peer after the link's delay, on the main loop."""
        peer = self.peer
        if peer is not None:
            self._network.main_loop.call_later(LINK_DELAY_S, action, peer)

    def _receive(self, data: bytes | None) -> None:
        if self._lost:
            # The connection has ended here: further data is answered by a reset.
            if data is not None:
                self._call_peer_later(MemorySocket._handle_reset)
            return
        if self._peer_stream_ended:
            return
        self._peer_stream_ended = data is None
        self._received.append(data)
        self._schedule_delivery()

    def _schedule_delivery(self) -> None:
        if self.loop is not None and self.protocol is not None and self._reading:
            self.loop.call_soon(self._deliver_received)

    def _deliver_received(self) -> None:
        """Pass buffered data to the protocol as long as it reads."""
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
