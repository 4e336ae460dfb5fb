"""The entries of one client connection that wait for their turn, in the order of their arrival."""

from __future__ import annotations

from collections import deque

from client_proxy.proxy.errors import BadRequestError
from client_proxy.proxy.messages import ClientRequest

# Requests parsed ahead of their turn. Later bytes stay unparsed, so that one large read does not queue
# hundreds of requests.
MAX_PIPELINED_REQUESTS = 32


class ReadinessCheck:
    """A readiness probe (`GET /ready`), which the proxy answers itself."""


READINESS_CHECK = ReadinessCheck()


class RejectedRequest:
    """A request that is answered 503 at its turn; it has not run, and nothing of it is kept."""


REJECTED_REQUEST = RejectedRequest()

Pipelined = ClientRequest | ReadinessCheck | RejectedRequest | BadRequestError
"""An entry of a connection's pipeline: a request, a readiness probe, or an error to answer with."""


class Pipeline:
    """A queue of requests, readiness probes and errors, and the memory that its requests take."""

    def __init__(self) -> None:
        self._entries: deque[Pipelined] = deque()
        self.held_bytes = 0  # memory of the requests; an upper estimate
        self.body_bytes = 0  # bytes of the requests' bodies

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def full(self) -> bool:
        """Whether no further request is parsed for now."""
        return len(self._entries) >= MAX_PIPELINED_REQUESTS

    def append(self, entry: Pipelined) -> None:
        """Add an entry behind the others."""
        self._entries.append(entry)
        if isinstance(entry, ClientRequest):
            self.held_bytes += entry.held_bytes
            self.body_bytes += len(entry.body)

    def popleft(self) -> Pipelined:
        """Remove and return the first entry. Raises IndexError if there is none."""
        entry = self._entries.popleft()
        if isinstance(entry, ClientRequest):
            self.held_bytes -= entry.held_bytes
            self.body_bytes -= len(entry.body)
        return entry

    def reject_requests(self) -> None:
        """Have all requests answered 503 at their turn, and free their memory."""
        self._entries = deque(
            REJECTED_REQUEST if isinstance(entry, ClientRequest) else entry for entry in self._entries
        )
        self.held_bytes = self.body_bytes = 0

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self.held_bytes = self.body_bytes = 0
