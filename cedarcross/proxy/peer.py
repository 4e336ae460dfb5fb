"""What the system already knows of a connection's other end, whether or not the loop has read so far."""

from __future__ import annotations

import select

CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Peer:
    """The other end of a stream socket. It only looks: what waits there stays to be read."""

    def __init__(self, descriptor: int) -> None:
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLIN | select.POLLRDHUP)

    def closed(self) -> bool:
        """It has ended its sending, or reset the connection; bytes from before may still wait."""
        return bool(self._events() & CLOSED)

    def has_sent(self) -> bool:
        """Bytes of an open connection wait to be read."""
        events = self._events()
        return bool(events & select.POLLIN) and not events & CLOSED

    def _events(self) -> int:
        return sum(events for _, events in self._poll.poll(0))
