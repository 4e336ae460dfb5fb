"""A bounded number of connection slots, one for each open connection; waiters get free slots in FIFO order.

The event loop closes a descriptor one or two iterations after its connection was aborted. A dial that closes
an idle connection to make room, and checks the count in the same iteration, would find no free slot and fail.
So an aborted connection announces the release of its slot ahead.
"""

from __future__ import annotations

import asyncio
from collections import deque


class ConnectionSlots:
    """Connection slots, used by one event loop.

    Attributes:
        limit: Number of slots. It may be changed at any time; slots taken beyond it stay taken.
        in_use: Number of slots taken.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_use = 0
        self._announced_releases = 0  # slots still taken that will be released within a few loop iterations
        self._waiters: deque[asyncio.Future[None]] = deque()

    @property
    def full(self) -> bool:
        """Whether no slot is free."""
        return self.in_use >= self.limit

    @property
    def release_expected(self) -> bool:
        """Whether more releases are announced than waiters exist."""
        return self._announced_releases > sum(not waiter.done() for waiter in self._waiters)

    def announce_release(self) -> None:
        """Announce a later `release(announced=True)`: the connection that holds the slot was aborted."""
        self._announced_releases += 1

    def release(self, announced: bool = False) -> None:
        """Release one slot. `announced`: whether `announce_release` was called for it."""
        self._announced_releases -= announced
        self.in_use -= 1
        while self._waiters and not self.full:
            first = self._waiters.popleft()
            if not first.done():
                self.in_use += 1
                first.set_result(None)

    def try_acquire(self) -> bool:
        """Take a slot if one is free; return whether one was taken."""
        if self.full:
            return False
        self.in_use += 1
        return True

    async def acquire(self) -> None:
        """Wait for a free slot and take it. Raises CancelledError, with no slot taken, if cancelled."""
        if self.try_acquire():
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()  # the slot was assigned in the same iteration as the cancellation
            raise
