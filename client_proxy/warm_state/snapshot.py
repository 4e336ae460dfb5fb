"""Warm state as values: what a balancer has learned, in a form that outlives it.

Times are spans before the capture, so that a snapshot means the same on another clock; only a server's start
is a moment, on a clock that the caller names by its offset. `capture` makes snapshots, `restore` gives them
to another balancer. Names of fields are keys in stored files, so they keep their first names.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from client_proxy.balancer.retry_budget import RETRY_BUDGET_CAPACITY

SNAPSHOT_FORMAT = 1  # raised when an earlier program could not read a snapshot correctly
HALF_LIFE_MS = 30_000.0  # of the confidence in a snapshot
MAX_AGE_MS = 600_000.0  # of a snapshot that is used at all
NEVER_MS = -1.0  # in the place of a span, for what never happened


@dataclass(frozen=True, slots=True)
class EndpointClassSnapshot:
    """What a class of requests met at one server.

    Attributes:
        earned: Weight of the requests that were served, from 0 to 1.
        errors: Share of errors, from 0 to 1.
        failures: Pauses in a row.
        paused_ms: How long it is still paused for this class.
        seen: Whether it has served the class.
    """

    earned: float
    errors: float = 0.0
    failures: int = 0
    paused_ms: float = 0.0
    seen: bool = False


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """What was learned of one server.

    Attributes:
        life: When it started, by the caller's clock, in ms; None: not known, long ago.
        limit: Its concurrency limit.
        slowness: Its latency over the usual one.
        strain: Its saturation.
        latency_ms: Its latency.
        errors: Share of errors.
        failures: Failures in a row.
        paused_ms: How long it is still paused.
        answered_ms: Since its last answer; negative: it never answered.
        faded_ms: Since its statistics last decayed; negative: they have not yet.
        credit: Work that it may be sent during slow start; negative: not counted yet.
        classes: By name of the class of requests.
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
    """What was learned of a class of requests, over all servers.

    Attributes:
        mean_ms: Mean latency.
        base_ms: Baseline of the latency.
        slow_ratio: Of the tail's latency to the baseline.
        seen: Samples of the latency.
        requests: Recent requests, decaying.
        work: Their work, decaying.
        served: Those of them that were served, decaying.
        earned: Weight of the requests that were served.
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
    """What was learned of a pool of equivalent servers.

    Attributes:
        share: Share of requests that it admits.
        rate: Work that was sent there, per ms.
    """

    share: float
    rate: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that a balancer has learned.

    A later program ignores keys that it does not know, and a key that an earlier one left out has its
    default.

    Attributes:
        form: As `SNAPSHOT_FORMAT`.
        tokens: Left in the retry budget.
        taken_ms: Since each request in the window of the attempt limit.
        made_ms: Since each further attempt in that window.
        classes: By name.
        servers: By name.
        pools: By name: `near`, `far`, and zones as `hall:` and the zone's name.
        slowness: Over all servers.
        latency_ms: Over all servers.
        errors: Share of errors over all servers.
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
    """Returns how much a snapshot of this age counts, from 1 to 0.

    An instance that was away for an hour must not act on what may have changed meanwhile; one that was away
    for a second must not try out each server again. So the confidence halves with each `HALF_LIFE_MS`.
    """
    return 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS) if age_ms < MAX_AGE_MS else 0.0
