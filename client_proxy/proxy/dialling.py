"""Opens connections to endpoints, limited by connection slots."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from client_proxy.api.events import Outcome
from client_proxy.proxy.connection_slots import ConnectionSlots
from client_proxy.proxy.upstream_attempt import UpstreamAttempt
from client_proxy.proxy.upstream_connection import ConnectionOwner, UpstreamConnection, UpstreamEndpoint

OpenSocket = Callable[[int], socket.socket]
"""Makes an unconnected, non-blocking stream socket of an address family."""


def open_socket(family: int) -> socket.socket:
    """Return an unconnected, non-blocking stream socket."""
    return socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)


class Dialler:
    """Opens connections; each holds a connection slot from before its dial until its descriptor is closed."""

    def __init__(self, slots: ConnectionSlots, make_socket: OpenSocket) -> None:
        self._slots = slots
        self.make_socket = make_socket
        self.connect_timeout_s = 0.0  # set by the owner from the settings, on each change

    async def acquire_slot(self) -> bool:
        """Take a slot, waiting at most the connect timeout. Returns False if none became free."""
        if self._slots.try_acquire():
            return True
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self._slots.acquire()
        except TimeoutError:
            return False
        return True

    async def connect(
        self, owner: ConnectionOwner, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt
    ) -> UpstreamConnection | None:
        """Connect to an endpoint; the caller has taken a slot for it.

        Returns None if the connect failed; the attempt has then ended and the slot is released. Raises
        CancelledError, with the slot released, if the attempt is cancelled meanwhile.
        """
        connected: UpstreamConnection | None = None
        created: UpstreamConnection | None = None
        sock: socket.socket | None = None
        loop = asyncio.get_running_loop()
        try:
            family = socket.AF_INET6 if ":" in endpoint.address[0] else socket.AF_INET
            sock = self.make_socket(family)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.sock_connect(sock, endpoint.address)
            connection = created = UpstreamConnection(owner, endpoint, sock)
            await loop.create_connection(lambda: connection, sock=sock)
            connected = connection
        except (OSError, TimeoutError):
            attempt.end(Outcome.CONNECT_FAILED)
        finally:
            if connected is None:  # failed or cancelled: the descriptor must not leak
                if created is None:
                    self._slots.release()
                else:
                    created.release()
                if sock is not None:
                    sock.close()
        return connected
