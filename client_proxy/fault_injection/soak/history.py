"""The history of one run of the restart soak, as its clients and servers saw it.

Times are seconds of the harness's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Treatment(Enum):
    """What a server did with a request that it read."""

    ANSWERED = "answered"
    REFUSED = "refused"  # with a header that says that it never ran
    UNANSWERED = "unanswered"  # read and not answered; it may have run


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer that a client received."""

    at_s: float
    status: int
    body: bytes = b""


@dataclass(slots=True)
class SentRequest:
    """A request that a client has sent, completely or in part.

    Attributes:
        trace_id: Its id.
        class_name: Its request class.
        connection: The number of its client's connection.
        first: Whether it is the first request on that connection.
        begun_s: When its first byte was written.
        sent_s: When its last byte was written; None: the connection ended before.
        expires_s: How many seconds after `sent_s` its client waits.
        answers: The final answers to it.
        left_s: When its client closed the connection while the request was unanswered.
        connection_ended_s: When its client saw that the proxy had ended the connection.
    """

    trace_id: str
    class_name: str
    connection: int
    first: bool
    begun_s: float
    expires_s: float
    sent_s: float | None = None
    answers: list[Answer] = field(default_factory=list)
    left_s: float | None = None
    connection_ended_s: float | None = None


@dataclass(slots=True)
class Arrival:
    """An attempt that a server has read completely.

    Attributes:
        trace_id: The request's id.
        server: The server's name.
        cell: The server's deduplication group, within which repeats are dropped.
        at_s: When it arrived.
        stated_time_left_s: Seconds that its client still waits, as its header states.
        treatment: What the server did with it.
    """

    trace_id: str
    server: str
    cell: int
    at_s: float
    stated_time_left_s: float
    treatment: Treatment = Treatment.UNANSWERED


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """How a proxy process ended.

    Attributes:
        code: Its exit code; minus the signal's number if a signal ended it.
        killed: The harness killed it.
        early: It got SIGTERM before it was ready.
        log: Its log.
    """

    code: int
    killed: bool
    early: bool
    log: str


@dataclass(frozen=True, slots=True)
class ResourceCount:
    """Descriptors and threads of a proxy with no client connection.

    Attributes:
        descriptors: Open descriptors, without connections to servers.
        threads: Threads.
    """

    descriptors: int
    threads: int


@dataclass(slots=True)
class History:
    """The history of one run.

    Attributes:
        requests: The requests by trace id.
        arrivals: The attempts that servers read, in the order of time.
        unexpected_answers: Time and connection of answers on connections without an unanswered request.
        malformed: Time and connection of bytes that are not HTTP.
        refused_connections_s: When connections were refused or reset while they were opened.
        ends: The ends of the proxy's processes.
        resources: Counts before the first client and after the first phase.
        killed_s: When the harness killed the proxy; None: it ended by itself.
        worst_lateness_s: The largest lateness of the harness's own timers.
    """

    requests: dict[str, SentRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    unexpected_answers: list[tuple[float, int]] = field(default_factory=list)
    malformed: list[tuple[float, int]] = field(default_factory=list)
    refused_connections_s: list[float] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    resources: list[ResourceCount] = field(default_factory=list)
    killed_s: float | None = None
    worst_lateness_s: float = 0.0
