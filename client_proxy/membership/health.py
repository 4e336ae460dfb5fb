"""Local health: an instance's estimate of its own health, which limits how it judges others.

It follows Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
Detection", 2018): a score rises with each sign that this instance is slow or disconnected and falls with each
sign that it is healthy, and timeouts and periods are scaled by it. In addition to the paper, a blocked event
loop is detected by the delay of the instance's own timers; observations of servers from around that time are
discarded.
"""

from __future__ import annotations

MAX_SCORE = 8
DEGRADED_SCORE = 3  # from this score on, the instance reports no observations of servers
LATE_TIMER_MS, VERY_LATE_TIMER_MS = 100.0, 500.0  # ms; timer delays that raise the score by 1 and by 3
# ms; for this time after the event loop was blocked, responses look slow, because they waited in the
# instance's own buffers.
SETTLE_AFTER_BLOCK_MS = 1000.0


class LocalHealth:
    """The health score, from 0 (healthy) to `MAX_SCORE`, and the last period of a blocked event loop."""

    def __init__(self) -> None:
        self.score = 0
        self._blocked_until_ms = float("-inf")
        self._blocked_from_ms = float("-inf")

    @property
    def timeout_factor(self) -> float:
        """The factor by which timeouts and periods are multiplied."""
        return 1.0 + self.score

    @property
    def is_degraded(self) -> bool:
        """Whether this instance is too unhealthy to trust its observations of others."""
        return self.score >= DEGRADED_SCORE

    def timer_fired(self, due_ms: float, now_ms: float) -> None:
        """Record that a timer which was due at `due_ms` fired now."""
        late_ms = now_ms - due_ms
        if late_ms > LATE_TIMER_MS:
            self._change_score(DEGRADED_SCORE if late_ms > VERY_LATE_TIMER_MS else 1)
            self._blocked_from_ms = due_ms
            self._blocked_until_ms = now_ms + SETTLE_AFTER_BLOCK_MS

    def probe_acknowledged(self) -> None:
        """Record that a member acknowledged a probe by this instance."""
        self._change_score(-1)

    def probe_failed(self, nacks: int, helpers: int) -> None:
        """Record that a probe got no answer, and how many of the helpers sent a nack.

        If no helper answered either, the fault is probably in this instance's own network.
        """
        self._change_score(1 if helpers and not nacks else 0)

    def suspected_by_peer(self) -> None:
        """Record that another member suspects this instance, which is a sign that it responds slowly."""
        self._change_score(1)

    def may_distort_observations(self, from_ms: float, to_ms: float) -> bool:
        """Whether this instance may itself have caused what it observed in this period."""
        was_blocked = from_ms <= self._blocked_until_ms and to_ms >= self._blocked_from_ms
        return self.is_degraded or was_blocked

    def _change_score(self, points: int) -> None:
        self.score = max(0, min(MAX_SCORE, self.score + points))
