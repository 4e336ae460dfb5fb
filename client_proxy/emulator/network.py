"""A network in memory for virtual event loops: listeners, connections and datagrams.

Connections behave like TCP on one machine. Bytes arrive in order after a fixed delay, and the end of the
stream after the bytes written before it. Bytes written to a closed connection are answered by a reset. A
reader that pauses lets the writer's buffer fill up. A listener that does not accept keeps dials waiting, and
one that is closed refuses them. The emulated servers add the delays between zones, as they do on real
sockets.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from typing import Any

from client_proxy.emulator.memory_socket import LINK_DELAY_S, Address, MemorySocket
from client_proxy.emulator.virtual import VirtualLoop

FIRST_PORT = 20_000
"""Free ports are handed out from the next number on."""


class MemoryServer:
    """A listener on the network; it has the part of `asyncio.Server` that the daemon uses.

    Attributes:
        loop: the loop of the machine that listens.
        factory: creates the protocol of an accepted connection.
        address: where it listens.
        accepting: whether it accepts connections.
        waiting: dials that wait until it accepts: the dialling socket, and the future that ends the dial.
        sockets: the listener itself, as the one socket of an `asyncio.Server`.
    """

    def __init__(self, network: MemoryNetwork, loop: VirtualLoop, factory: Any, address: Address) -> None:
        self._network = network
        self.loop = loop
        self.factory: Callable[[], asyncio.BaseProtocol] = factory
        self.address = address
        self.accepting = True
        self.waiting: deque[tuple[MemorySocket, asyncio.Future[None]]] = deque()
        self.sockets = (self,)

    def getsockname(self) -> Address:
        """Return the address, as a socket does."""
        return self.address

    def close(self) -> None:
        """Free the address and refuse all waiting dials."""
        self._network.unlisten(self)
        while self.waiting:
            _, dial = self.waiting.popleft()
            _end_dial_later(dial, ConnectionRefusedError(errno.ECONNREFUSED, "refused"))

    def hold(self) -> None:
        """Accept no connections: dials wait unanswered, as with a machine that can't be reached."""
        self.accepting = False

    def accept(self) -> None:
        """Accept connections, waiting dials first."""
        self.accepting = True
        while self.waiting:
            sock, dial = self.waiting.popleft()
            if not dial.done():
                self._network.establish(self, sock, dial)


def _end_dial_later(dial: asyncio.Future[None], error: Exception | None) -> None:
    """End a dial after the link's delay, on the dialling machine's loop; `error` is None if it succeeded."""

    def end_dial() -> None:
        if not dial.done():
            if error is None:
                dial.set_result(None)
            else:
                dial.set_exception(error)

    dial.get_loop().call_later(LINK_DELAY_S, end_dial)


class MemoryPort:
    """A UDP port in memory, in place of `membership.link.Port`.

    A datagram arrives whole after the link's delay, or it is lost.
    """

    def __init__(self, network: MemoryNetwork, loop: VirtualLoop, address: Address) -> None:
        self._network, self._loop, self.address = network, loop, address
        self._received: Callable[[bytes, Address], float] | None = None
        self._dropping_until_s = 0.0
        network.ports[address] = self

    def start(self, received: Callable[[bytes, Address], float]) -> None:
        """Pass datagrams to `received`, which returns for how many seconds further datagrams are dropped."""
        self._received = received

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram."""
        self._network.datagrams += 1
        if not self._network.is_datagram_lost(self.address, to):
            self._network.main_loop.call_later(LINK_DELAY_S, self._network.deliver, data, self.address, to)

    def receive(self, data: bytes, source: Address) -> None:
        """Receive a datagram from the network."""
        if not self._loop.killed:
            self._loop.call_soon(self._deliver_datagram, data, source)

    def _deliver_datagram(self, data: bytes, source: Address) -> None:
        # Datagrams that arrive before the receiver wants more are dropped, as with a full receive buffer.
        if self._received is not None and self._loop.time() >= self._dropping_until_s:
            self._dropping_until_s = self._loop.time() + self._received(data, source)

    def close(self) -> None:
        """Free the address and receive nothing more."""
        self._received = None
        if self._network.ports.get(self.address) is self:
            del self._network.ports[self.address]


class MemoryNetwork:
    """All addresses and connections of one run.

    Attributes:
        main_loop: the simulation's own loop, which delivers all data; it outlives machines that are killed.
        ports: datagram ports by address.
        datagrams: the number of datagrams sent.
        is_datagram_lost: returns whether a datagram from one address to another is lost.
    """

    def __init__(self, main_loop: VirtualLoop) -> None:
        self.main_loop = main_loop
        self._listeners: dict[Address, MemoryServer] = {}
        self._open_sockets: dict[VirtualLoop, dict[MemorySocket, None]] = {}
        self._last_port = FIRST_PORT
        self.ports: dict[Address, MemoryPort] = {}
        self.datagrams = 0
        self.is_datagram_lost: Callable[[Address, Address], bool] = lambda source, to: False
        main_loop.network = self

    def join(self, loop: VirtualLoop) -> VirtualLoop:
        """Connect a machine's loop to the network, and return the loop."""
        loop.network = self
        return loop

    def socket(self, family: int) -> Any:  # replaces socket.socket
        """Return a new socket; replaces `socket.socket` in programs that run on this network."""
        return MemorySocket(self)

    def free_port(self) -> int:
        """Return a port number that was not used before."""
        self._last_port += 1
        return self._last_port

    def listen(self, loop: VirtualLoop, factory: Any, address: Address) -> MemoryServer:
        """Listen at an address; port 0 stands for any free port.

        Raises:
            OSError: the address is in use.
        """
        host, port = address
        port = port or self.free_port()
        if (host, port) in self._listeners:
            raise OSError(errno.EADDRINUSE, f"address in use: {host}:{port}")
        listener = self._listeners[host, port] = MemoryServer(self, loop, factory, (host, port))
        return listener

    def unlisten(self, listener: MemoryServer) -> None:
        """Free a listener's address."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    async def connect(self, loop: VirtualLoop, sock: MemorySocket, address: Address) -> None:
        """Connect a socket to an address; waits as long as the listener does not accept.

        Raises:
            ConnectionRefusedError: nobody listens at the address.
        """
        sock.loop, sock.peername = loop, address
        dial = loop.create_future()
        self.main_loop.call_later(LINK_DELAY_S, self._dial_arrived, address, sock, dial)
        await dial

    def _dial_arrived(self, address: Address, sock: MemorySocket, dial: asyncio.Future[None]) -> None:
        listener = self._listeners.get(address)
        if dial.done() or dial.get_loop().is_closed():
            return
        if listener is None or listener.loop.killed:
            _end_dial_later(dial, ConnectionRefusedError(errno.ECONNREFUSED, "refused"))
        elif not listener.accepting:
            listener.waiting.append((sock, dial))
        else:
            self.establish(listener, sock, dial)

    def establish(self, listener: MemoryServer, sock: MemorySocket, dial: asyncio.Future[None]) -> None:
        """Connect a dialling socket with a new socket of the listener's machine."""
        accepted = MemorySocket(self, listener.loop)
        accepted.peer, sock.peer = sock, accepted
        accepted.sockname, accepted.peername = listener.address, ("127.0.0.1", self.free_port())
        sock.sockname = accepted.peername
        for end in (accepted, sock):
            if end.loop is not None:
                self._open_sockets.setdefault(end.loop, {})[end] = None
        accepted.attach(listener.loop, listener.factory())
        _end_dial_later(dial, None)

    def drop(self, sock: MemorySocket) -> None:
        """Remove a socket that has ended."""
        if sock.loop is not None:
            self._open_sockets.get(sock.loop, {}).pop(sock, None)

    def kill(self, loop: VirtualLoop) -> None:
        """Kill a machine: its connections are reset, and its addresses refuse dials."""
        loop.kill()
        for listener in [other for other in self._listeners.values() if other.loop is loop]:
            listener.close()
        for sock in list(self._open_sockets.pop(loop, {})):
            sock.reset()

    def deliver(self, data: bytes, source: Address, to: Address) -> None:
        """Pass a datagram to the port at its address, if there is one."""
        port = self.ports.get(to)
        if port is not None:
            port.receive(data, source)

    def open_socket_count(self, loop: VirtualLoop) -> int:
        """Return the number of a machine's open sockets."""
        return len(self._open_sockets.get(loop, {}))
