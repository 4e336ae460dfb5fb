"""A request without a final response, and the interface that writes the response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from client_proxy.proxy.messages import ClientRequest, UpstreamResponse
from client_proxy.proxy.upstream_attempt import UpstreamAttempt


class ResponseWriter(Protocol):
    """Writes the one final response of a request."""

    def send_response(self, response: UpstreamResponse) -> None:
        """Answer with an endpoint's response."""

    def reject(self, retry_after_ms: float) -> None:
        """Answer that the request did not run. `retry_after_ms` 0: without a retry time."""

    def fail(self, status: int) -> None:
        """Answer that the request has failed; it may have run."""

    def client_gone(self) -> bool:
        """Whether the client has disconnected, as the kernel knows it now."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final response yet."""

    id: int
    request: ClientRequest
    response_writer: ResponseWriter
    guard: asyncio.TimerHandle  # answers before the client's deadline if the balancer does not
    first_request_ms: float  # when the client sent it first, as far as known
    attempts: list[UpstreamAttempt | None] = field(default_factory=list)  # by attempt number; None: not sent
    may_have_run: int = 0  # number of attempts in flight, or ended without certainty that they did not run
    served: bool = False

    def cancel_attempts(self) -> None:
        """Cancel all attempts that have not ended."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.cancel()
