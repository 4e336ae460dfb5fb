"""UDP socket on the daemon's event loop.

During a flood, reading every datagram only to drop it would use up the CPU time that requests need.
Therefore the handler can pause reading; the kernel then drops what doesn't fit into the small receive buffer,
at no cost to this process.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from client_proxy.address import Address
from client_proxy.membership.codec import MAX_DATAGRAM_BYTES

log = logging.getLogger(__name__)

MAX_READS_PER_TURN = 16  # datagrams read in one iteration of the event loop
RECEIVE_BUFFER_BYTES = 64 * 1024

DatagramHandler = Callable[[bytes, Address], float]
"""Handles a datagram, given its source; returns for how many seconds to pause reading, 0 for no pause."""


class Port(Protocol):
    """A bound datagram socket, which receives nothing before `start`."""

    address: Address

    def start(self, handler: DatagramHandler) -> None:
        """Pass what is received to `handler` from now on."""

    def send(self, data: bytes, destination: Address) -> None:
        """Send a datagram, which may be lost without notification."""

    def close(self) -> None:
        """Stop receiving and release the address."""


class UdpPort:
    """A UDP socket on the running event loop."""

    def __init__(self, listen: Address, max_datagram_bytes: int = MAX_DATAGRAM_BYTES) -> None:
        """Bind the socket.

        Raises:
            OSError: the address cannot be bound.
        """
        self._max_datagram_bytes = max_datagram_bytes
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._socket.bind(listen)
        except OSError:
            self._socket.close()
            raise
        host, port = self._socket.getsockname()[:2]
        self.address: Address = (host, port)
        self._handler: DatagramHandler | None = None
        self._is_open = True

    def start(self, handler: DatagramHandler) -> None:
        """Pass what is received to `handler` from now on."""
        self._handler = handler
        self._listen()

    def send(self, data: bytes, destination: Address) -> None:
        """Send a datagram, which may be lost; errors are only logged at debug level."""
        try:
            self._socket.sendto(data, destination)
        except OSError as error:
            log.debug("sending a datagram to %s:%d failed: %s", *destination, error)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._is_open:
            self._is_open = False
            if self._handler is not None:
                asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()

    def _listen(self) -> None:
        if self._is_open:
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read_available)

    def _read_available(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, source = self._socket.recvfrom(self._max_datagram_bytes + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # for example an ICMP error in response to an earlier datagram
                log.debug("receiving a datagram failed: %s", error)
                return
            assert self._handler is not None
            pause_s = self._handler(data, (source[0], source[1]))
            if not self._is_open:
                return
            if pause_s > 0:
                loop = asyncio.get_running_loop()
                loop.remove_reader(self._socket.fileno())
                loop.call_later(pause_s, self._listen)
                return
