"""Learns how long a connection may be idle before a request sent on it is likely to be lost."""

from __future__ import annotations

from typing import Protocol

from client_proxy.api.events import Outcome

# Share by which the proven idle time shrinks when a connection idle for no longer than that is reset.
SMOOTHING = 0.2
LOSS_MEMORY_MS = 60_000.0  # after this long without a loss, idle connections are trusted again


class EndpointActivity(Protocol):
    """The attributes of an endpoint that are used here."""

    in_flight: int
    last_used_ms: float | None
    last_answer_ms: float


class AttemptOnConnection(Protocol):
    """The attributes of an ended attempt that are used here."""

    @property
    def endpoint(self) -> EndpointActivity:
        """The endpoint that it was sent to."""

    @property
    def sent_ms(self) -> float:
        """When it was sent, in ms."""

    @property
    def connection_idle_ms(self) -> float | None:
        """How long its connection had been idle when it was sent, in ms; None: a new or busy connection."""

    @property
    def outcome(self) -> Outcome | None:
        """Its result; None while in flight."""


class IdleConnections:
    """Estimates, over all endpoints, how long a connection may be idle and still be safe to use.

    Middleboxes drop idle connections without notice; a request sent on such a connection is reset or never
    answered. With few requests nearly all connections are idle. A connection counts as lost when a send on an
    idle connection is reset sooner than any answer is expected, or when two such sends in a row time out.
    From then on connections idle for more than half as long are closed before a send, so that a new one is
    opened. This also handles restarts that the endpoint list does not show. The cost is unnecessary
    handshakes, until no loss has occurred for `LOSS_MEMORY_MS`.

    Args:
        idle_timeout_ms: connections idle for this long are closed by the proxy; None: not known.
    """

    def __init__(self, idle_timeout_ms: float | None) -> None:
        self._idle_timeout_ms = idle_timeout_ms if idle_timeout_ms is not None else float("inf")
        self._safe_idle_ms = float("inf")
        self._proven_idle_ms = 0.0  # longest idle time after which a send was served; shrinks after resets
        self._consecutive_timeouts = 0
        self._last_loss_ms = 0.0

    def idle_ms_of(self, endpoint: EndpointActivity, now_ms: float) -> float | None:
        """How long the connection for the next send has been idle, in ms; None: a new or busy connection."""
        if endpoint.in_flight or endpoint.last_used_ms is None:
            return None
        idle_ms = now_ms - endpoint.last_used_ms
        return idle_ms if idle_ms < self._idle_timeout_ms else None

    def exceeds_safe_idle(self, idle_ms: float, now_ms: float) -> bool:
        """Whether a connection idle for `idle_ms` should be closed instead of used."""
        if now_ms - self._last_loss_ms > LOSS_MEMORY_MS:
            self._safe_idle_ms = float("inf")
        return idle_ms > self._safe_idle_ms

    def detect_idle_loss(
        self,
        attempt: AttemptOnConnection,
        latency_ms: float,
        fastest_answer_ms: float,
        uncongested: bool,
        now_ms: float,
    ) -> bool:
        """Record an ended attempt; returns whether it probably failed because its idle connection was lost.

        Args:
            attempt: the attempt, with its outcome.
            latency_ms: duration of the attempt.
            fastest_answer_ms: no answer is expected sooner than this.
            uncongested: whether the endpoints are free of congestion; under congestion time-outs are ignored,
                as they may have that cause.
            now_ms: the time.
        """
        outcome = attempt.outcome
        if outcome is Outcome.CONNECT_FAILED:
            # New connections cannot be opened now, so the open ones must not be closed.
            self._safe_idle_ms = float("inf")
        idle_ms = attempt.connection_idle_ms
        if idle_ms is None:
            return False
        if outcome is Outcome.OK:
            self._consecutive_timeouts = 0
            self._proven_idle_ms = max(self._proven_idle_ms, idle_ms)
            return False
        unanswered = outcome is Outcome.TIMEOUT and attempt.endpoint.last_answer_ms < attempt.sent_ms
        timed_out = unanswered and uncongested
        self._consecutive_timeouts += timed_out
        if outcome is Outcome.RESET and idle_ms <= self._proven_idle_ms:
            # Connections also break by chance, idle or not. Counted as losses, such resets would soon have
            # all connections closed before use.
            self._proven_idle_ms *= 1 - SMOOTHING
            return False
        early_reset = outcome is Outcome.RESET and latency_ms < fastest_answer_ms
        lost = early_reset or (timed_out and self._consecutive_timeouts >= 2)
        if lost:
            self._remember_loss(now_ms, idle_ms)
        return lost

    def _remember_loss(self, now_ms: float, idle_ms: float) -> None:
        self._safe_idle_ms = min(self._safe_idle_ms, idle_ms / 2)
        self._last_loss_ms = now_ms
