"""Snapshot of a balancer's warm state, which `capture` creates and `restore` applies to another balancer.

Times are stored as the time that had passed at the capture, so that a snapshot does not depend on a clock.
Only a server's start time is absolute, on a clock given by its offset to the balancer's clock.
Field names are keys in stored files and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from client_proxy.balancer.retry_budget import RETRY_BUDGET_CAPACITY

SNAPSHOT_FORMAT = 1  # raised when earlier program versions cannot read new snapshots correctly
HALF_LIFE_MS = 30_000.0  # age after which the confidence in a snapshot has halved
MAX_AGE_MS = 600_000.0  # an older snapshot is not used
NEVER_MS = -1.0  # stored instead of the time since an event that never happened


@dataclass(frozen=True, slots=True)
class EndpointClassSnapshot:
    """Statistics of one request class at one server.

    Attributes:
        earned: Smoothed share of the priority weight that answers earned, from 0 to 1.
        errors: Share of errors, from 0 to 1.
        failures: Number of consecutive pauses.
        paused_ms: Remaining time for which the server is paused for this class.
        seen: Whether the server has served the class.
    """

    earned: float
    errors: float = 0.0
    failures: int = 0
    paused_ms: float = 0.0
    seen: bool = False


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """Statistics of one server.

    Attributes:
        life: Start time of the server, in ms on the caller's clock; None: unknown, long ago.
        limit: Concurrency limit, in requests.
        slowness: Latency relative to the usual latency.
        strain: Saturation.
        latency_ms: Estimated latency.
        errors: Share of errors, from 0 to 1.
        failures: Number of consecutive failures.
        paused_ms: Remaining time for which the server is paused.
        answered_ms: Time since the last answer; negative: the server has never answered.
        faded_ms: Time since the statistics last decayed; negative: they have not decayed yet.
        credit: Work that may still be sent to the server during slow start; negative: no credit yet.
        classes: Statistics by name of the request class.
    """

    life: float | None
    limit: float
    slowness: float
    strain: float
    latency_ms: float
    errors: float
    failures: int
    paused_ms: float
    answered_ms: float
    faded_ms: float
    credit: float
    classes: dict[str, EndpointClassSnapshot] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClassSnapshot:
    """Statistics of one request class over all servers.

    Attributes:
        mean_ms: Mean latency.
        base_ms: Baseline latency.
        slow_ratio: Tail latency divided by the baseline latency.
        seen: Number of latency samples.
        requests: Smoothed share of the requests that arrived.
        work: Smoothed work of these requests.
        served: Smoothed share of the class's requests that were served in time.
        earned: Smoothed share of the priority weight that answers earned, from 0 to 1.
    """

    mean_ms: float
    base_ms: float
    slow_ratio: float
    seen: int
    requests: float
    work: float
    served: float
    earned: float


@dataclass(frozen=True, slots=True)
class PoolSnapshot:
    """Statistics of a pool of equivalent servers.

    Attributes:
        share: Share of requests that the pool admits, from 0 to 1.
        rate: Work sent to the pool per ms.
    """

    share: float
    rate: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Warm state of a balancer.

    A program ignores keys that it does not know; a key that the writing program left out gets its default.

    Attributes:
        form: Format version, `SNAPSHOT_FORMAT` at the time of writing.
        tokens: Tokens left in the retry budget.
        taken_ms: Time since each request in the window of the attempt limit.
        made_ms: Time since each further attempt in that window.
        classes: Request classes by name.
        servers: Servers by name.
        pools: Pools by name: `near` (local), `far` (remote), and `hall:` followed by the name of a zone.
        slowness: Latency relative to the usual latency, over all servers.
        latency_ms: Estimated latency over all servers.
        errors: Share of errors over all servers, from 0 to 1.
    """

    form: int = SNAPSHOT_FORMAT
    tokens: float = RETRY_BUDGET_CAPACITY
    taken_ms: tuple[float, ...] = ()
    made_ms: tuple[float, ...] = ()
    classes: dict[str, ClassSnapshot] = field(default_factory=dict)
    servers: dict[str, EndpointSnapshot] = field(default_factory=dict)
    pools: dict[str, PoolSnapshot] = field(default_factory=dict)
    slowness: float = 1.0
    latency_ms: float = 0.0
    errors: float = 0.0


def confidence(age_ms: float) -> float:
    """Return the weight of a snapshot of this age, from 1 for a new one to 0.

    An instance that was down for an hour must not rely on what may have changed since; one that was down
    for a second must not have to test each server again. So the weight halves with each `HALF_LIFE_MS`.
    """
    return 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS) if age_ms < MAX_AGE_MS else 0.0
