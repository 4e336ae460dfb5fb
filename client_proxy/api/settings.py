"""The settings of a balancer: request classes, limits, safety rules, prices and weights of the objective.

Durations are in milliseconds; their names end in ``_ms``. Ids (of endpoints, zones and cells) are opaque:
they are compared and returned, never interpreted.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum


def require(condition: bool, text: str) -> None:
    """Raise ValueError with the text unless the condition holds."""

    if not condition:
        raise ValueError(text)


class Idempotency(Enum):
    """Whether a request that may have been executed can be retried."""

    IDEMPOTENT = "safe"  # always
    IDEMPOTENCY_KEY = "keyed"  # within the scope and time window in which endpoints deduplicate it
    NOT_IDEMPOTENT = "unsafe"  # never


class IdempotencyScope(Enum):
    """Which endpoints deduplicate the retries of a request with an idempotency key."""

    ALL = "all"  # all endpoints together
    ZONE = "zone"  # the endpoints of the zone where it was first executed
    CELL = "cell"  # the endpoints of the cell where it was first executed


class Reports(Enum):
    """Which results carry load reports."""

    INLINE = "inline"  # results of attempts and load probes
    ON_PROBE = "on_probe"  # results of load probes only
    OFF = "off"  # none


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: latency objective, deadline, priority weight and rules for retries."""

    name: str
    latency_objective_ms: float  # ms; an answer within this time earns the full weight
    deadline_ms: float  # ms; from the client's request; later an answer is useless
    priority_weight: float = 1.0  # weight of a served request in the objective
    late_weight_share: float = 0.0  # share of the weight that an answer between objective and deadline earns
    latency_objective_stretch: float = 0.0  # extends the objective, by this multiple of the request's work
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_ms: float = 0.0  # ms from the first send in which endpoints deduplicate retries
    streamed: bool = False  # whether answers are streamed
    in_order: bool = False  # requests with the same key are sent one at a time, in the order of arrival


@dataclass(frozen=True, slots=True)
class Limits:
    """What the environment allows a client proxy: attempts, connections, probes and CPU time."""

    max_attempts: int = 3  # attempts per request, the first included
    parallel_attempts: bool = False  # whether a request may have several attempts in flight
    cancel: bool = False  # whether attempts may be cancelled
    probes: bool = False  # whether load probes may be sent
    retry_after: bool = False  # whether a rejection may state a retry-after time
    max_retry_after_ms: float = 0.0  # ms; longest retry-after time
    connect_timeout_ms: float = 250.0  # ms; a dial that takes longer has failed
    connection_idle_timeout_ms: float | None = None  # ms; idle connections are closed after it; None: unknown
    streams_per_connection: int = 1  # attempts that may share a connection at a time
    max_pending_requests: int | None = None  # most requests that the proxy may hold; None: not stated
    cpu_us_per_s: float | None = None  # CPU time for decisions, µs per second; None: not stated
    cpu_us_per_request: float | None = None  # mean CPU time for decisions, µs per request; None: not stated
    connections: int | None = None  # most open connections to servers; None: not stated


@dataclass(frozen=True, slots=True)
class AttemptLimit:
    """Limits attempts beyond each request's first, in any window, to `free` plus `share` of its requests."""

    window_ms: float  # ms; length of the sliding window
    share: float  # extra attempts allowed per request that arrived in the window
    free: float = 0.0  # extra attempts allowed in the window without any request


@dataclass(frozen=True, slots=True)
class Safety:
    """The parameters of the rules on answers, draining, discovery, slow start, order by key and attempts."""

    slow_start_share: float = 1.0  # share of its capacity that an endpoint has at least when it starts
    slow_start_ms: float = 0.0  # ms; after it an endpoint is warm: it has its full capacity
    # An endpoint in slow start fails if it is sent more than this multiple of its present capacity during the
    # window.
    slow_start_limit_multiple: float = 3.0
    slow_start_limit_window_ms: float = 1000.0  # ms; length of that window
    max_poll_interval_ms: float = 10_000.0  # ms; longest time between calls to discovery if not subscribed
    answer_grace_ms: float = 0.0  # ms; a final answer up to this long after the deadline still counts
    drain_grace_ms: float = 0.0  # ms; sends to an endpoint must stop this soon after it begins to drain
    key_quiet_ms: float = 0.0  # ms; pause of an in-order key after an attempt that may still be executing
    attempts: AttemptLimit | None = None  # None: no limit


@dataclass(frozen=True, slots=True)
class Prices:
    """Points that the environment subtracts from the result; requests here exclude retries by clients."""

    cross_zone: float = 0.0  # attempts that cross zones, per request
    probe: float = 0.0  # load probes, per request
    handshake: float = 0.0  # new connections, per request
    connection: float = 0.0  # mean number of open connections, over 100 times the number of endpoints
    discovery: float = 0.0  # list entries that discovery sent, over 100 times the requests
    waste: float = 0.0  # work that led to no served answer, as a share of the work offered
    late_failure: float = 0.0  # priority weight of requests that ended unserved after their latency objective


@dataclass(frozen=True, slots=True)
class Objective:
    """Weights of the parts that make up the result."""

    overall: float = 1.0  # weight served over weight requested, over the whole run
    worst_window: float = 0.0  # weight served over weight requested, in the worst time window
    worst_class: float = 0.0  # weight served over weight requested, for the class served worst
    worst_tenant: float = 0.0  # weight served over requested, of the tenant served worst within its quota
    tail: float = 0.0  # weight served in time; counts in full only while few requests miss their objective
    tail_slack: float = 0.0  # share of requests missing their objective that still counts as few
    nines: float = 0.0  # mean of -log10 of the share not served in time, divided by `full_at_nines`
    full_at_nines: float = 3.0  # number of nines at which `nines` counts in full


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota_per_s: float  # requests per second that it is entitled to


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one balancer.

    Raises:
        ValueError: a value is out of its range; the message names the field.
    """

    classes: tuple[RequestClass, ...]
    zone: str = ""  # zone of this proxy
    ordinal: int = 0  # number of this proxy among the proxies, from 0
    proxies: int = 1  # number of client proxies that send to the same endpoints, this one included
    subscribe: bool = False  # whether discovery reports changes only to subscribers
    report_fields: tuple[str, ...] = ()  # names of the values in a load report, in order
    reports: Reports = Reports.INLINE  # which results carry load reports, if there are report fields
    warm_keys: bool = False  # whether an endpoint that served a key recently serves it with less work
    min_step_ms: float = 0.0  # ms; least time between two calls of `Balancer.handle`
    weight_by_work: bool = False  # whether priority weight counts per unit of work instead of per request
    limits: Limits = field(default_factory=Limits)
    safety: Safety = field(default_factory=Safety)
    prices: Prices = field(default_factory=Prices)
    objective: Objective = field(default_factory=Objective)
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight_share: float = 1.0  # share of its weight that a request over its tenant's quota keeps

    def __post_init__(self) -> None:
        for cls in self.classes:
            name = f"class {cls.name!r}"
            require(
                min(cls.latency_objective_ms, cls.deadline_ms) > 0,
                f"{name}: latency_objective_ms and deadline_ms must be positive",
            )
            require(cls.priority_weight >= 0, f"{name}: priority_weight must not be negative")
            require(0 <= cls.late_weight_share <= 1, f"{name}: late_weight_share must be from 0 to 1")
            require(
                cls.latency_objective_stretch >= 0, f"{name}: latency_objective_stretch must not be negative"
            )
            require(cls.idempotency_window_ms >= 0, f"{name}: idempotency_window_ms must not be negative")
            require(not (cls.in_order and cls.streamed), f"{name}: in_order and streamed exclude each other")
        require(len({cls.name for cls in self.classes}) == len(self.classes), "two classes share a name")
        require(self.proxies >= 1, "proxies must be at least 1, this one included")
        require(self.ordinal >= 0, "ordinal must not be negative")
        require(self.min_step_ms >= 0, "min_step_ms must not be negative")
        require(0 <= self.over_quota_weight_share <= 1, "over_quota_weight_share must be from 0 to 1")
        for tenant in self.tenants:
            require(tenant.quota_per_s >= 0, f"tenant {tenant.name!r}: quota_per_s must not be negative")
        limits, safety = self.limits, self.safety
        require(limits.max_attempts >= 1, "limits.max_attempts must be at least 1")
        require(limits.streams_per_connection >= 1, "limits.streams_per_connection must be at least 1")
        require(limits.connect_timeout_ms > 0, "limits.connect_timeout_ms must be positive")
        require(0 < safety.slow_start_share <= 1, "safety.slow_start_share must be above 0 and at most 1")
        require(safety.slow_start_limit_multiple > 0, "safety.slow_start_limit_multiple must be positive")
        require(safety.slow_start_limit_window_ms > 0, "safety.slow_start_limit_window_ms must be positive")
        require(safety.max_poll_interval_ms > 0, "safety.max_poll_interval_ms must be positive")
        for name in ("slow_start_ms", "answer_grace_ms", "drain_grace_ms", "key_quiet_ms"):
            require(getattr(safety, name) >= 0, f"safety.{name} must not be negative")
        if safety.attempts is not None:
            require(safety.attempts.window_ms > 0, "safety.attempts.window_ms must be positive")
            require(safety.attempts.share >= 0, "safety.attempts.share must not be negative")
            require(safety.attempts.free >= 0, "safety.attempts.free must not be negative")
        for group in (self.prices, self.objective):
            for weight_field in fields(group):
                path = f"{type(group).__name__.lower()}.{weight_field.name}"
                require(getattr(group, weight_field.name) >= 0, f"{path} must not be negative")
        require(self.objective.full_at_nines > 0, "objective.full_at_nines must be positive")
