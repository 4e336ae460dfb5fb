"""This instance's recent observations of servers: attempts and their results, by server and request class.

For each server the last 32 attempts are kept, of which those of the last seconds are counted. Attempts that
were cancelled, never sent, or rejected for lack of capacity are no evidence of a server's health and are
ignored. The caller also leaves out attempts from times when this instance itself was slow or disconnected
(`health.py`).
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from client_proxy.api.events import Outcome
from client_proxy.membership.messages import (
    MAX_OBSERVED_SERVERS,
    MAX_U8,
    ServerObservation,
    class_tag,
    name_tag,
)
from client_proxy.rates import WorkRate

WINDOW_MS = 5000.0  # ms; older attempts are not reported
ATTEMPTS_PER_SERVER = 32  # attempts kept for each server
MAX_SERVERS = 1024  # observed servers; over it, the one without attempts for longest is dropped
FAILED_OUTCOMES = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)
COUNTED_OUTCOMES = (Outcome.OK, Outcome.TIMEOUT, *FAILED_OUTCOMES)
BAD_SHARE = 0.5  # a server that fails more than this share of its attempts is considered faulty
MIN_SERVERS_TO_COMPARE = 3  # with fewer observed servers, a majority of faulty ones is not conclusive
SLOW_FACTOR = 2.5  # times the median slowness; a slower server is reported
# With fewer responses a server is not reported as slow, as a response that waited for a new connection is
# always slow.
MIN_SERVED_TO_BE_SLOW = 3
SLOWNESS_UNITS = 16.0  # reported slowness is in units of 1/16
AGE_UNIT_MS = 100.0  # ms; unit of a reported age


@dataclass(frozen=True, slots=True)
class ObservedAttempt:
    """The result of one attempt."""

    at_ms: float
    class_name: str
    outcome: Outcome
    slowness: float  # ratio of the latency to the unloaded latency of the request class


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Counts of attempts at one server, by result."""

    attempts: int = 0
    failed: int = 0
    unanswered: int = 0
    slowness: float = 0.0  # mean slowness of the served attempts; 0 if none was served
    last_ms: float = 0.0  # ms; when the last attempt ended

    @property
    def served(self) -> int:
        """The number of attempts that succeeded."""
        return self.attempts - self.failed - self.unanswered

    @property
    def failure_share(self) -> float:
        """The share of attempts that failed or got no answer; 0 if there were none."""
        return (self.failed + self.unanswered) / self.attempts if self.attempts else 0.0


def count_attempts(attempts: Iterable[ObservedAttempt]) -> AttemptCounts:
    """Return the counts of the attempts."""
    total = failed = unanswered = served = 0
    slowness = last_ms = 0.0
    for attempt in attempts:
        total += 1
        last_ms = max(last_ms, attempt.at_ms)
        if attempt.outcome is Outcome.OK:
            served += 1
            slowness += attempt.slowness
        elif attempt.outcome is Outcome.TIMEOUT:
            unanswered += 1
        else:
            failed += 1
    return AttemptCounts(total, failed, unanswered, slowness / served if served else 0.0, last_ms)


class LocalObservations:
    """This instance's own observations of all servers."""

    def __init__(self) -> None:
        self._attempts: OrderedDict[str, deque[ObservedAttempt]] = OrderedDict()  # by server
        self._rate = WorkRate(WINDOW_MS)

    def __len__(self) -> int:
        return len(self._attempts)

    def record(self, now_ms: float, server: str, class_name: str, outcome: Outcome, slowness: float) -> None:
        """Record a finished attempt if its outcome is evidence of the server's health."""
        if outcome not in COUNTED_OUTCOMES:
            return
        self._rate.add(now_ms, 1.0)
        attempts = self._attempts.get(server)
        if attempts is None:
            attempts = self._attempts[server] = deque(maxlen=ATTEMPTS_PER_SERVER)
            if len(self._attempts) > MAX_SERVERS:
                self._attempts.popitem(last=False)
        self._attempts.move_to_end(server)
        attempts.append(ObservedAttempt(now_ms, class_name, outcome, slowness))

    def retain(self, listed: Collection[str]) -> None:
        """Drop the observations of all servers that are not listed."""
        for server in [name for name in self._attempts if name not in listed]:
            del self._attempts[server]

    def discard(self, server: str) -> None:
        """Drop the observations of a server, for example because it restarted."""
        self._attempts.pop(server, None)

    def recent_counts(
        self, now_ms: float, server: str, span_ms: float = WINDOW_MS, class_name: str = ""
    ) -> AttemptCounts:
        """Return counts of a server's attempts in the last `span_ms`, for one request class or for all."""
        attempts = self._attempts.get(server, ())
        return count_attempts(
            attempt
            for attempt in attempts
            if attempt.at_ms > now_ms - span_ms and (not class_name or attempt.class_name == class_name)
        )

    def recent_attempts(self, now_ms: float) -> float:
        """Return the approximate number of attempts at all servers in the last `WINDOW_MS`."""
        return WINDOW_MS * self._rate.per_ms(now_ms)

    def median_slowness(self, now_ms: float) -> float:
        """Return the median slowness of the observed servers, but at least 1."""
        slownesses = sorted(
            counts.slowness
            for server in self._attempts
            if (counts := self.recent_counts(now_ms, server)).slowness > 0
        )
        return max(1.0, slownesses[len(slownesses) // 2]) if slownesses else 1.0

    def report(self, now_ms: float, reported_by_others: Collection[str]) -> tuple[ServerObservation, ...]:
        """Return the observations to report to other instances.

        These concern the servers that fail or are slow, and all servers in `reported_by_others`, including
        healthy ones. Nothing is reported if most of the observed servers look faulty.
        """
        counts = {server: self.recent_counts(now_ms, server) for server in self._attempts}
        counts = {server: server_counts for server, server_counts in counts.items() if server_counts.attempts}
        faulty = sum(1 for server_counts in counts.values() if server_counts.failure_share > BAD_SHARE)
        if len(counts) >= MIN_SERVERS_TO_COMPARE and 2 * faulty > len(counts):
            return ()
        slow_threshold = SLOW_FACTOR * self.median_slowness(now_ms)
        noteworthy = [
            (server_counts.failed + server_counts.unanswered, server_counts.attempts, server)
            for server, server_counts in counts.items()
            if server_counts.failure_share > 0
            or server in reported_by_others
            or (server_counts.served >= MIN_SERVED_TO_BE_SLOW and server_counts.slowness > slow_threshold)
        ]
        observations: list[ServerObservation] = []
        for _, _, server in sorted(noteworthy, reverse=True):
            observations += self._server_observations(now_ms, server, counts[server])
        return tuple(observations[:MAX_OBSERVED_SERVERS])

    def _server_observations(
        self, now_ms: float, server: str, total: AttemptCounts
    ) -> list[ServerObservation]:
        """Return one observation of all classes, or one for each if a server fails only some of them."""
        class_names = sorted({attempt.class_name for attempt in self._attempts[server]})
        by_class = {
            class_name: self.recent_counts(now_ms, server, class_name=class_name)
            for class_name in class_names
        }
        shares = [counts.failure_share for counts in by_class.values() if counts.attempts]
        if shares and max(shares) - min(shares) > BAD_SHARE:
            return [
                _observation(now_ms, server, class_tag(class_name), counts)
                for class_name, counts in by_class.items()
                if counts.attempts
            ]
        return [_observation(now_ms, server, 0, total)]


def _observation(now_ms: float, server: str, tag_of_class: int, counts: AttemptCounts) -> ServerObservation:
    return ServerObservation(
        server_tag=name_tag(server),
        class_tag=tag_of_class,
        attempts=min(MAX_U8, counts.attempts),
        failed=counts.failed,
        unanswered=counts.unanswered,
        slowness=min(MAX_U8, round(SLOWNESS_UNITS * counts.slowness)) if counts.slowness else 0,
        age=min(MAX_U8, int((now_ms - counts.last_ms) / AGE_UNIT_MS)),
    )
