"""What happened in one run of the restart soak, as its clients and servers saw it.

Times are seconds of the harness's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Treatment(Enum):
    """What a server did with a request that it read."""

    ANSWERED = "answered"
    REFUSED = "refused"  # with the statement that it never ran
    UNANSWERED = "unanswered"  # it may have run


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer that a client got."""

    at_s: float
    status: int
    body: bytes = b""


@dataclass(slots=True)
class SentRequest:
    """A request that a client has sent whole, or tried to.

    Attributes:
        trace_id: its identity.
        class_name: its class.
        connection: the number of its client's connection.
        first: it is the first on that connection.
        begun_s: when its first byte was written.
        sent_s: when its last byte was written; None: the connection had ended before.
        expires_s: for how long after that its client waits.
        answers: the final answers to it.
        left_s: when its client closed the connection under it.
        connection_ended_s: when its client saw that the proxy had ended the connection.
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
    """An attempt that a server has read.

    Attributes:
        trace_id: the request's identity.
        server: the server's name.
        cell: the server's group, within which repeats are dropped.
        at_s: when it was read.
        told_s: the time that it says is left to its client.
        treatment: what became of it.
    """

    trace_id: str
    server: str
    cell: int
    at_s: float
    told_s: float
    treatment: Treatment = Treatment.UNANSWERED


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """How a proxy process ended.

    Attributes:
        code: its exit code; minus the signal's number if a signal ended it.
        killed: the harness killed it.
        early: it was asked to end before it was ready.
        log: what it said.
    """

    code: int
    killed: bool
    early: bool
    log: str


@dataclass(frozen=True, slots=True)
class ResourceCount:
    """Descriptors and threads of a proxy with no client connection.

    Attributes:
        descriptors: its open descriptors, but for connections to servers.
        threads: its threads.
    """

    descriptors: int
    threads: int


@dataclass(slots=True)
class History:
    """One run.

    Attributes:
        requests: by trace id.
        arrivals: in the order of time.
        unasked: answers with no request of their connection open: time and connection.
        malformed: bytes that are no answer: time and connection.
        turned_away: connections that were refused or reset while they were opened: when.
        ends: of the proxy's processes.
        resources: before the first client and after the first phase.
        killed_s: when the harness killed the proxy; None: it ended by itself.
        worst_lateness_s: by which the harness's own timers were late at the most.
    """

    requests: dict[str, SentRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    unasked: list[tuple[float, int]] = field(default_factory=list)
    malformed: list[tuple[float, int]] = field(default_factory=list)
    turned_away: list[float] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    resources: list[ResourceCount] = field(default_factory=list)
    killed_s: float | None = None
    worst_lateness_s: float = 0.0
