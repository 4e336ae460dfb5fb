"""One attempt of a request at one endpoint, from its start to its single result, without retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from client_proxy.api.events import Outcome
from client_proxy.clock import now_ms
from client_proxy.proxy.load_report import LoadReport
from client_proxy.proxy.messages import ClientRequest, UpstreamResponse


@dataclass(slots=True, eq=False)
class AttemptResult:
    """How an attempt ended."""

    outcome: Outcome
    latency_ms: float  # from the start of the attempt, including its dial
    report: LoadReport | None = None
    response: UpstreamResponse | None = None


class AttemptConnection(Protocol):
    """The part of an upstream connection that its attempt uses."""

    attempt: UpstreamAttempt | None

    def abort(self) -> None:
        """Close the connection at once, without waiting for a response."""


def always_allowed() -> bool:
    """Allow an attempt to be written at any time."""
    return True


class UpstreamAttempt:
    """One attempt of a request at one endpoint. It ends once and then reports its result."""

    __slots__ = (
        "_done", "_request", "_timeout_ms", "_timer", "connection", "dial", "may_have_reached_endpoint",
        "sent_ms", "still_allowed",
    )  # fmt: skip

    def __init__(
        self,
        request: ClientRequest,
        timeout_ms: float,
        done: Callable[[AttemptResult], None],
        still_allowed: Callable[[], bool],
    ) -> None:
        """Start the attempt's timer.

        Args:
            request: The request to send.
            timeout_ms: Time after which the attempt ends by itself.
            done: Called once, with the result.
            still_allowed: Called right before the first byte; returns whether the request may still be sent.
        """
        self.still_allowed = still_allowed
        self._request = request
        self._timeout_ms = timeout_ms
        self.sent_ms = now_ms()
        self.may_have_reached_endpoint = False
        self.connection: AttemptConnection | None = None
        self.dial: asyncio.Task[None] | None = None
        self._done: Callable[[AttemptResult], None] | None = done
        self._timer = asyncio.get_running_loop().call_later(timeout_ms / 1000.0, self._timed_out)

    @property
    def ended(self) -> bool:
        """Whether the result has been reported."""
        return self._done is None

    def encode_request(self) -> bytes:
        """Encode the request for the endpoint, with the time that remains now."""
        return self._request.encode(self._timeout_ms - (now_ms() - self.sent_ms))

    def _timed_out(self) -> None:
        # A request that was never written can't have run, so waiting for a connection is no timeout.
        self.end(Outcome.TIMEOUT if self.may_have_reached_endpoint else Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """Cancel the attempt, unless it has ended."""
        self.end(Outcome.CANCELLED)

    def end(
        self, outcome: Outcome, report: LoadReport | None = None, response: UpstreamResponse | None = None
    ) -> None:
        """End the attempt and report its result; later calls do nothing."""
        done, self._done = self._done, None
        if done is None:
            return
        self._timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None and connection.attempt is self:
            # The response is still pending. HTTP/1.1 can cancel a request only by closing its connection.
            connection.attempt = None
            connection.abort()
        if self.dial is not None and not self.dial.done():
            self.dial.cancel()
        done(AttemptResult(outcome, now_ms() - self.sent_ms, report, response))
