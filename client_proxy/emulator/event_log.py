"""The event log of a run: clients' attempts, arrivals of requests at servers, discovery's notifications.

The log is passive data: `rules` checks it and `report` summarizes it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum


class ServerOutcome(Enum):
    """The outcome of a request at a server. The values appear in reports and digests."""

    QUEUED = "held"
    RUNNING = "running"
    COMPLETED = "ran"
    DEDUPLICATED = "repeat"  # run, but its effect was dropped because its key was a repeat
    FAILED = "error"  # failed by a fault; it may have run
    STALLED = "silent"  # accepted and never answered, by a fault
    REJECTED = "turned away"
    CANCELLED = "dropped"  # removed from the queue because its connection had closed
    INVALID = "unusable"  # its URL does not name the class of its attempt


NEVER_STARTED = (ServerOutcome.REJECTED, ServerOutcome.INVALID)
"""Outcomes of requests that certainly had no effect at the server."""


class AttemptOutcome(Enum):
    """The outcome of an attempt as its client saw it."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"  # sent to the proxy, but no complete response came in time
    PROXY_GONE = "gone"  # the proxy was killed meanwhile, or accepted no connection


class RequestOutcome(StrEnum):
    """The outcome of a request over all of its attempts. The values are keys of reports, in this order."""

    SERVED = "served"
    LATE = "late"  # served after the class's latency objective
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Arrival:
    """A request that arrived at a server.

    Attributes:
        incarnation: the number of the server process that received it.
        proxy: the number of the proxy that sent it.
        first_byte_s: the time at which its first byte arrived.
        arrived_s: the time at which its last byte arrived.
        started_s: the time at which its work started; None: not started.
        ended_s: the time at which its outcome was final; None: it waits or runs, or did when its server died.
        answered: whether the server sent a response.
        answer_lost: whether a fault keeps its response from reaching the proxy.
    """

    server: str
    incarnation: int
    proxy: int
    attempt_id: str
    class_name: str
    idempotency_key: str
    first_byte_s: float
    arrived_s: float
    outcome: ServerOutcome = ServerOutcome.QUEUED
    started_s: float | None = None
    ended_s: float | None = None
    answered: bool = False
    answer_lost: bool = False


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client at its proxy, with a unique id.

    Attributes:
        request_number: the number of the request that it belongs to, among those of its proxy.
        outcome: None until the attempt has ended.
        status: the HTTP status of the response; 0: no response.
        foreign_answer: whether the response was not made by a server for this attempt.
        extra_answer: whether another response came after the final one.
    """

    attempt_id: str
    proxy: int
    request_number: int
    class_name: str
    idempotency_key: str
    work_ms: float
    sent_s: float = 0.0
    deadline_s: float = 0.0
    outcome: AttemptOutcome | None = None
    ended_s: float = 0.0
    status: int = 0
    foreign_answer: bool = False
    extra_answer: bool = False


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client with all of its attempts."""

    proxy: int
    number: int
    class_name: str
    requested_s: float
    attempts: list[ClientAttempt] = field(default_factory=list)
    outcome: RequestOutcome = RequestOutcome.FAILED
    ended_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Notification:
    """A notification from discovery to a proxy that a server is ready, draining or gone.

    Attributes:
        proxy: the number of the notified proxy; -1: the time at which discovery itself knew of the change.
        status: `ready`, `draining` or `gone`.
        since_ms: the Unix time of the server's last start; 0: it has run since the run began.
    """

    proxy: int
    server: str
    status: str
    at_s: float
    since_ms: int = 0


@dataclass(frozen=True, slots=True)
class OverloadCrash:
    """A cold server crashed under more work than it could do."""

    server: str
    at_s: float


@dataclass(slots=True)
class ServerSample:
    """The state of a server at one point in time; `busy_ms` is the time its cores have worked so far."""

    at_s: float
    running: int
    queued: int
    connections: int
    state: str
    busy_ms: float


@dataclass
class EventLog:
    """All events of a run.

    Attributes:
        attempts: the attempts by id, in the order in which they were created.
        unknown_attempt_ids: ids that arrived at servers but that no client sent.
        samples: the samples of each server, in order of time.
        accepted_connections: the number of connections that each server accepted.
    """

    attempts: dict[str, ClientAttempt] = field(default_factory=dict)
    requests: list[ClientRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    overload_crashes: list[OverloadCrash] = field(default_factory=list)
    unknown_attempt_ids: list[str] = field(default_factory=list)
    samples: dict[str, list[ServerSample]] = field(default_factory=dict)
    accepted_connections: dict[str, int] = field(default_factory=dict)
