"""Asks the kernel about the peer of a connection, ahead of what the event loop has read."""

from __future__ import annotations

import select
import socket
import struct

# `tcpi_last_data_recv` in Linux's `struct tcp_info` (linux/tcp.h): milliseconds, at offset 52.
LAST_DATA_RECEIVED = struct.Struct("=52xI")

TCP_STATE = struct.Struct("=B")  # `tcpi_state`, the first byte of `struct tcp_info`
TCP_STATE_CLOSED = 7  # `TCP_CLOSE` in linux/tcp_states.h; after an orderly end it is `TCP_CLOSE_WAIT`

CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def was_reset(sock: socket.socket) -> bool:
    """Whether the peer has reset a connection whose stream has ended.

    The system reports a reset once. Where a write has met it first, a read finds an end of the stream, as
    after an orderly end. False if the system does not state it.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE.size)
    except OSError:
        return False
    return len(info) >= TCP_STATE.size and TCP_STATE.unpack(info)[0] == TCP_STATE_CLOSED


class SocketState:
    """Kernel state of a stream socket. It reads no data from the socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)

    def peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection; earlier bytes may still be unread."""
        return bool(self._events() & CLOSED)

    def has_unread_data(self) -> bool:
        """Whether the peer's side is open and unread bytes are waiting."""
        events = self._events()
        return bool(events & select.POLLIN) and not events & CLOSED

    def ms_since_last_data(self) -> float:
        """Return the time in ms since the last bytes arrived; 0 if the kernel does not state it."""
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        except OSError:
            return 0.0
        if len(info) < LAST_DATA_RECEIVED.size:
            return 0.0
        return float(LAST_DATA_RECEIVED.unpack(info)[0])

    def _events(self) -> int:
        return sum(events for _, events in self._poll.poll(0))
