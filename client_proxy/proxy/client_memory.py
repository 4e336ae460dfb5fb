"""What one client makes the process hold, as parts of the memory account."""

from __future__ import annotations

from client_proxy.proxy.memory_account import HeldBytes, HeldKind, MemoryAccount
from client_proxy.proxy.messages import ClientRequest

REQUEST_OVERHEAD_BYTES = 4096  # objects and timers of a request that is being served


class ClientMemory:
    """The bytes that one client connection makes the process hold."""

    __slots__ = ("in_progress", "pipelined", "unfinished", "unparsed", "unsent")

    def __init__(self, account: MemoryAccount) -> None:
        self.unparsed = HeldBytes(account, HeldKind.UNPARSED)
        self.unfinished = HeldBytes(account, HeldKind.UNFINISHED)
        self.pipelined = HeldBytes(account, HeldKind.PIPELINED)
        self.in_progress = HeldBytes(account, HeldKind.IN_PROGRESS)
        self.unsent = HeldBytes(account, HeldKind.UNSENT)

    @property
    def waiting_bytes(self) -> int:
        """Bytes of requests that have not started."""
        return self.unparsed.byte_count + self.unfinished.byte_count + self.pipelined.byte_count

    def request_started(self, request: ClientRequest) -> None:
        """Count a request that is being served, whose body is held once more as it is encoded."""
        self.in_progress.set(request.held_bytes + len(request.body) + REQUEST_OVERHEAD_BYTES)

    def closed(self) -> None:
        """Count nothing more of what had started."""
        self.in_progress.set(0)
        self.unsent.set(0)
