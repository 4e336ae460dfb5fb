"""A network in memory for `virtual` loops: addresses, connections, bytes in order, ends and resets.

It behaves as TCP on one machine does, as far as a program can tell: what is written arrives in order a
fixed time later; a close arrives after what was written before it; what is written to a closed end is
answered by a reset; a reader that pauses fills the writer's buffer; a listener that does not accept lets
connections wait, and a closed one refuses them. Delays between zones are added by the servers, the
same as on real sockets.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from typing import Any

from client_proxy.emulator.memory_socket import LINK_S, Address, MemorySocket
from client_proxy.emulator.virtual import VirtualLoop

FIRST_PORT = 20_000


class MemoryServer:
    """What `create_server` gives: enough of `asyncio.Server`."""

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
        """Give up the address and refuse the dials that wait."""
        self._network.unlisten(self)
        while self.waiting:
            _, dial = self.waiting.popleft()
            _end_dial_later(dial, ConnectionRefusedError(errno.ECONNREFUSED, "refused"))

    def hold(self) -> None:
        """Accept nothing: who connects waits, as for a machine that does not answer."""
        self.accepting = False

    def accept(self) -> None:
        """Accept connections, also those that wait."""
        self.accepting = True
        while self.waiting:
            sock, dial = self.waiting.popleft()
            if not dial.done():
                self._network.establish(self, sock, dial)


def _end_dial_later(dial: asyncio.Future[None], error: Exception | None) -> None:
    """End a dial one trip later, on the dialling machine's own loop."""

    def end() -> None:
        if not dial.done():
            if error is None:
                dial.set_result(None)
            else:
                dial.set_exception(error)

    dial.get_loop().call_later(LINK_S, end)


class MemoryPort:
    """A UDP socket's stand-in (`membership.link.Port`): whole datagrams, a trip later, or lost."""

    def __init__(self, network: MemoryNetwork, loop: VirtualLoop, address: Address) -> None:
        self._network, self._loop, self.address = network, loop, address
        self._received: Callable[[bytes, Address], float] | None = None
        self._deaf_until_s = 0.0
        network.ports[address] = self

    def start(self, received: Callable[[bytes, Address], float]) -> None:
        """Hand datagrams to `received`, which returns for how many seconds it takes no more."""
        self._received = received

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram."""
        self._network.datagrams += 1
        if not self._network.loses(self.address, to):
            self._network.main_loop.call_later(LINK_S, self._network.deliver, data, self.address, to)

    def arrive(self, data: bytes, source: Address) -> None:
        """Take a datagram from the network."""
        if not self._loop.dead:
            self._loop.call_soon(self._hand_over, data, source)

    def _hand_over(self, data: bytes, source: Address) -> None:
        # What comes while nothing is wanted is dropped, as by a system whose buffer is full.
        if self._received is not None and self._loop.time() >= self._deaf_until_s:
            self._deaf_until_s = self._loop.time() + self._received(data, source)

    def close(self) -> None:
        """Give up the address."""
        self._received = None
        if self._network.ports.get(self.address) is self:
            del self._network.ports[self.address]


class MemoryNetwork:
    """All addresses and connections of one run.

    Attributes:
        main_loop: the simulation's own loop, which carries everything, whatever becomes of the machines.
        ports: datagram ports by address.
        datagrams: number of datagrams sent.
        loses: whether a datagram from one address to another gets lost.
    """

    def __init__(self, main_loop: VirtualLoop) -> None:
        self.main_loop = main_loop
        self._listeners: dict[Address, MemoryServer] = {}
        self._open: dict[VirtualLoop, dict[MemorySocket, None]] = {}
        self._last_port = FIRST_PORT
        self.ports: dict[Address, MemoryPort] = {}
        self.datagrams = 0
        self.loses: Callable[[Address, Address], bool] = lambda source, to: False
        main_loop.network = self

    def join(self, loop: VirtualLoop) -> VirtualLoop:
        """Put a machine's loop on the network."""
        loop.network = self
        return loop

    def socket(self, family: int) -> Any:  # stands in for socket.socket
        """Return a new socket; stands in for `socket.socket`."""
        return MemorySocket(self)

    def free_port(self) -> int:
        """Return a port that nobody uses."""
        self._last_port += 1
        return self._last_port

    def listen(self, loop: VirtualLoop, factory: Any, address: Address) -> MemoryServer:
        """Listen at an address; port 0: any.

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
        """Give up a listener's address."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    async def connect(self, loop: VirtualLoop, sock: MemorySocket, address: Address) -> None:
        """Connect a socket.

        Raises:
            ConnectionRefusedError: nobody listens there.
        """
        sock.loop, sock.peername = loop, address
        dial = loop.create_future()
        self.main_loop.call_later(LINK_S, self._reach, address, sock, dial)
        await dial

    def _reach(self, address: Address, sock: MemorySocket, dial: asyncio.Future[None]) -> None:
        listener = self._listeners.get(address)
        if dial.done() or dial.get_loop().is_closed():
            return
        if listener is None or listener.loop.dead:
            _end_dial_later(dial, ConnectionRefusedError(errno.ECONNREFUSED, "refused"))
        elif not listener.accepting:
            listener.waiting.append((sock, dial))
        else:
            self.establish(listener, sock, dial)

    def establish(self, listener: MemoryServer, sock: MemorySocket, dial: asyncio.Future[None]) -> None:
        """Connect a dialling socket with a listener."""
        here = MemorySocket(self, listener.loop)
        here.peer, sock.peer = sock, here
        here.sockname, here.peername = listener.address, ("127.0.0.1", self.free_port())
        sock.sockname = here.peername
        for end in (here, sock):
            if end.loop is not None:
                self._open.setdefault(end.loop, {})[end] = None
        here.attach(listener.loop, listener.factory())
        _end_dial_later(dial, None)

    def drop(self, sock: MemorySocket) -> None:
        """Forget a socket that has ended."""
        if sock.loop is not None:
            self._open.get(sock.loop, {}).pop(sock, None)

    def kill(self, loop: VirtualLoop) -> None:
        """A machine's process dies: its connections are reset, its addresses refuse."""
        loop.kill()
        for listener in [held for held in self._listeners.values() if held.loop is loop]:
            listener.close()
        for sock in list(self._open.pop(loop, {})):
            sock.reset()

    def deliver(self, data: bytes, source: Address, to: Address) -> None:
        """Hand a datagram to the port at its address, if there is one."""
        port = self.ports.get(to)
        if port is not None:
            port.arrive(data, source)

    def open_socket_count(self, loop: VirtualLoop) -> int:
        """Return the number of a machine's open sockets."""
        return len(self._open.get(loop, {}))
