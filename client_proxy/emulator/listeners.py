"""Listeners of emulated servers and discovery, on real loopback sockets or in memory.

A listener is open, ignores dials (its machine can't be reached) or is closed (its process has ended), and
keeps its address in all three states.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any, Protocol

from client_proxy.emulator.network import MemoryNetwork, MemoryServer
from client_proxy.emulator.virtual import VirtualLoop

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.Protocol]


class Listener(Protocol):
    """A listening address.

    While it is open, it accepts connections. While it ignores dials, they are not answered, as with a machine
    that can't be reached. While it is closed, dials are refused, as after the end of a process.
    """

    address: Address

    def open(self) -> None:
        """Accept connections."""

    def ignore_dials(self) -> None:
        """Leave dials unanswered."""

    def close(self) -> None:
        """Refuse dials."""


class MemoryListener:
    """A listener on the network in memory."""

    def __init__(self, loop: VirtualLoop, network: MemoryNetwork, factory: ProtocolFactory) -> None:
        self._loop, self._network, self._factory = loop, network, factory
        self.address: Address = ("127.0.0.1", network.free_port())
        self._listener: MemoryServer | None = None

    def open(self) -> None:
        """Accept connections."""
        if self._listener is None:
            self._listener = self._network.listen(self._loop, self._factory, self.address)
        else:
            self._listener.accept()

    def ignore_dials(self) -> None:
        """Leave dials unanswered."""
        if self._listener is not None:
            self._listener.hold()

    def close(self) -> None:
        """Refuse dials."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None


FILLER_CONNECTIONS = 4  # connections with which a listener that ignores dials fills its own backlog


class SocketListener:
    """A listening socket on a loopback address.

    To ignore dials, it stops accepting, sets its backlog to the shortest length and fills it with connections
    of its own. The system then answers no further dial, as if the machine could not be reached. This needs no
    privileges.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, factory: ProtocolFactory, address: Address) -> None:
        self._loop, self._factory = loop, factory
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._accepting = False
        # Bound at once, so that the address is known and reserved before the listener opens.
        self._bind(address)
        self.address: Address = self._socket.getsockname() if self._socket else address

    def _bind(self, address: Address) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        self._socket = sock

    def open(self) -> None:
        """Accept connections."""
        if self._socket is None:
            self._bind(self.address)
        assert self._socket is not None
        self._socket.listen(1024)
        if not self._accepting:
            self._accepting = True
            self._loop.add_reader(self._socket.fileno(), self._accept)
        self._close_fillers()

    def ignore_dials(self) -> None:
        """Leave dials unanswered."""
        if self._socket is None or not self._accepting:
            return
        self._stop_accepting()
        self._socket.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def close(self) -> None:
        """Refuse dials."""
        self._close_fillers()
        if self._socket is not None:
            self._stop_accepting()
            self._socket.close()
            self._socket = None

    def _stop_accepting(self) -> None:
        if self._accepting and self._socket is not None:
            self._accepting = False
            self._loop.remove_reader(self._socket.fileno())

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _accept(self) -> None:
        assert self._socket is not None
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return  # no connection waits, or the one that waited has ended
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._loop.create_task(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError:
            connection.close()


def reset_connection(transport: Any) -> None:
    """Reset a connection, as the system does when a process is killed."""
    if hasattr(transport, "reset"):
        transport.reset()
        return
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
