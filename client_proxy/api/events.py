"""The events that a client proxy reports to its balancer.

Times are milliseconds on the proxy's monotonic clock, durations are in milliseconds too; the
names of both end in ``_ms``. Ids (of requests, endpoints, zones and cells) are opaque: they are compared and
returned, never interpreted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """The result of an attempt or a load probe."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have been executed
    REJECTED = "rejected"  # rejected by the endpoint before execution
    TIMEOUT = "timeout"  # no answer in time; may have been executed, or still be executing
    CONNECT_FAILED = "connect_failed"  # no connection could be opened; not executed
    RESET = "reset"  # connection lost while in flight; may have been executed
    CANCELLED = "cancelled"  # cancelled by this proxy; may have been executed
    NOT_SENT = "not_sent"  # the proxy did not send it after all
    UNUSABLE = "unusable"  # answered that the request itself is invalid; a retry is pointless


class EndpointState(Enum):
    """The state of an endpoint according to discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The kind of list in an `EndpointsListed` event."""

    DELTA = "delta"  # only the endpoints that have changed
    FULL = "full"  # the complete list; endpoints not in it are gone
    RESTORED = "restored"  # the complete list as known before a restart; may be outdated
    FAILED = "failed"  # a call to discovery failed or the subscription broke; lists no endpoints


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint as listed by discovery."""

    name: str
    zone: str = ""
    cell: int = 0  # id of its cell, a group of endpoints within a zone
    weight: float = 1.0  # capacity relative to other endpoints
    state: EndpointState = EndpointState.READY
    started_ms: float | None = None  # start of its process; None: so long ago that it is warm


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """Discovery sent the endpoint list or changes of it, or failed."""

    kind: ListKind
    endpoints: tuple[ListedEndpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client sent a request."""

    request_id: int
    class_name: str
    deadline_ms: float | None = None  # a point in time; None: set from the class
    tenant: str | None = None
    key: str | None = None
    work_hint_ms: float | None = None  # expected work; None or 0: the class's usual latency
    client_retry: bool = False  # its client marked it as a retry
    first_request_ms: float | None = None  # when its client first sent it; None: unknown, taken as now


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun and goes to the client; the request is not retried any more."""

    request_id: int
    attempt: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request_id: int
    attempt: int
    outcome: Outcome
    latency_ms: float
    answered: bool = False  # the client has its answer, so nothing more is owed to it
    report: tuple[float, ...] | None = None  # load report, in the order of `Settings.report_fields`


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected, so nothing more is owed to it."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer started by `SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A load probe has ended."""

    endpoint: str
    outcome: Outcome
    latency_ms: float
    report: tuple[float, ...] | None = None


Event = (
    EndpointsListed
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
)
