"""What holds of every run of the restart soak."""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise

from client_proxy.api.settings import Idempotency
from client_proxy.fault_injection.soak.history import Arrival, History, SentRequest, Treatment
from client_proxy.fault_injection.soak.schedule import ClassPlan, Schedule

LATE_ANSWER_S = 0.5  # past its time an answer earns nothing; past this it is lost
LEFT_CLIENT_S = 0.1  # so long after its client has gone nothing is sent for a request
TOLD_TIME_SLACK_S = 0.15
SERVED = 200
# An end of a connection and a request on it cross on the wire, where the request was written no more than
# this before the client could read of the end: neither side can know of the other's (RFC 9112, 9.3.1).
# A client that is itself late reads of it later by as much.
CROSSING_S = 0.02
MORE_DESCRIPTORS = 2  # at rest than before: a reconnection to discovery may be on


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that did not hold."""

    rule: str
    what: str


def check(schedule: Schedule, history: History) -> list[Breach]:
    """Return all breaches of all rules."""
    return [Breach(name, what) for name, rule in RULES.items() for what in rule(schedule, history)]


def _one_answer(schedule: Schedule, history: History) -> Iterator[str]:
    """Each request that a server saw, or that came on an open connection, gets exactly one final answer."""
    seen = {arrival.trace_id for arrival in history.arrivals}
    for request in history.requests.values():
        if len(request.answers) > 1:
            yield f"{request.trace_id}: {len(request.answers)} final answers"
        if request.answers or request.left_s is not None:
            continue
        if request.trace_id in seen:
            yield f"{request.trace_id}: no answer, though a server saw it; {_times(request)}"
        elif (
            request.sent_s is not None
            and not _crossed(history, request)
            and not _shut_unread(schedule, request)
        ):
            yield f"{request.trace_id}: no answer, though it came on an open connection; {_times(request)}"
    for at_s, connection in history.unasked:
        yield f"connection {connection}: an answer to no request at {at_s:.3f} s"
    for at_s, connection in history.malformed:
        yield f"connection {connection}: no HTTP at {at_s:.3f} s"


def _own_answer(schedule: Schedule, history: History) -> Iterator[str]:
    """What a server answered is the answer to this request: servers answer with its trace id."""
    for request in history.requests.values():
        for answer in request.answers:
            if answer.status == SERVED and answer.body != request.trace_id.encode():
                yield f"{request.trace_id}: got the answer {answer.body[:60]!r}"


def _accepts(schedule: Schedule, history: History) -> Iterator[str]:
    """New connections are taken up to the end of the schedule's, unless a crowd fills the descriptors."""
    if not schedule.crowd:
        for at_s in history.turned_away:
            yield f"a connection was turned away at {at_s:.3f} s"


def _times(request: SentRequest) -> str:
    if request.sent_s is None or request.connection_ended_s is None:
        return "not sent whole, or its connection did not end"
    before_s = request.connection_ended_s - request.sent_s
    return f"sent {before_s:.3f} s before its connection ended, with {request.expires_s:.3f} s to wait"


def _crossed(history: History, request: SentRequest) -> bool:
    """Whether the request and the end of its connection crossed."""
    ended_s, sent_s = request.connection_ended_s, request.sent_s
    if ended_s is None or sent_s is None:
        return False
    return sent_s > ended_s - CROSSING_S - history.worst_lateness_s


def _shut_unread(schedule: Schedule, request: SentRequest) -> bool:
    """Whether its connection may have been shut unread, as new ones may be under a crowd of idle ones."""
    return schedule.crowd > 0 and request.first


def _due_s(history: History) -> dict[str, float]:
    """By trace id when the answer is due: answers come in order, so none before those ahead of it are due."""
    latest_s: dict[int, float] = {}
    due_s: dict[str, float] = {}
    for request in history.requests.values():  # in the order in which they were sent
        if request.sent_s is None:
            continue
        own_s = request.sent_s + request.expires_s
        due_s[request.trace_id] = max(own_s, latest_s.get(request.connection, own_s))
        latest_s[request.connection] = due_s[request.trace_id]
    return due_s


def _in_time(schedule: Schedule, history: History) -> Iterator[str]:
    """No answer comes later than half a second past its time."""
    due_s = _due_s(history)
    for request in history.requests.values():
        for answer in request.answers:
            if request.trace_id in due_s and answer.at_s > due_s[request.trace_id] + LATE_ANSWER_S:
                late_s = answer.at_s - due_s[request.trace_id]
                yield f"{request.trace_id}: answered {answer.status} {late_s:.2f} s past its time"


def _nothing_for_clients_that_left(schedule: Schedule, history: History) -> Iterator[str]:
    for arrival in history.arrivals:
        request = history.requests.get(arrival.trace_id)
        if request is None or request.left_s is None:
            continue
        late_s = arrival.at_s - request.left_s
        if late_s > LEFT_CLIENT_S:
            yield f"{arrival.trace_id}: sent to {arrival.server} {late_s:.3f} s after its client had left"


def _told_time(schedule: Schedule, history: History) -> Iterator[str]:
    """The time that an attempt tells is at most what is left to its client, and the slack."""
    for arrival in history.arrivals:
        request = history.requests.get(arrival.trace_id)
        if request is None or request.sent_s is None:
            yield f"{arrival.trace_id}: {arrival.server} saw a request that no client has sent"
            continue
        left_s = request.sent_s + request.expires_s - arrival.at_s
        if arrival.told_s > left_s + TOLD_TIME_SLACK_S:
            yield f"{arrival.trace_id}: told {arrival.told_s:.3f} s with {left_s:.3f} s left"


def _repeats(schedule: Schedule, history: History) -> Iterator[str]:
    """What may have run is repeated only as its class allows."""
    classes = {cls.name: cls for cls in schedule.classes}
    by_request: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        by_request[arrival.trace_id].append(arrival)
    for trace_id, arrivals in by_request.items():
        request = history.requests.get(trace_id)
        if request is not None:
            for later in _forbidden_repeats(classes[request.class_name], arrivals):
                yield f"{trace_id} ({request.class_name}): repeated at {later.server}"


def _forbidden_repeats(cls: ClassPlan, arrivals: list[Arrival]) -> Iterator[Arrival]:
    if cls.idempotency is Idempotency.IDEMPOTENT:
        return
    ran = [arrival for arrival in arrivals if arrival.treatment is not Treatment.REFUSED]
    for earlier, later in pairwise(ran):
        deduplicated = earlier.cell == later.cell and later.at_s < ran[0].at_s + cls.window_s
        if cls.idempotency is Idempotency.NOT_IDEMPOTENT or not deduplicated:
            yield later


def _exit(schedule: Schedule, history: History) -> Iterator[str]:
    """A proxy ends with 0 or by the kill; one that was asked to end while it started, by that signal too."""
    for end in history.ends:
        allowed = {0}
        if end.killed:
            allowed.add(-signal.SIGKILL)
        elif end.early:
            allowed.add(-signal.SIGTERM)
        if end.code not in allowed:
            yield f"exit code {end.code}: {end.log[-300:]}"
        if "Traceback" in end.log:
            yield f"a traceback: {end.log[-300:]}"


def _resources(schedule: Schedule, history: History) -> Iterator[str]:
    """Once its clients have gone, a proxy holds what it held before they came."""
    if len(history.resources) < 2:
        return
    before, after = history.resources[0], history.resources[-1]
    if after.descriptors > before.descriptors + MORE_DESCRIPTORS:
        yield f"{after.descriptors} descriptors at rest, {before.descriptors} at first"
    if after.threads > before.threads:
        yield f"{after.threads} threads at rest, {before.threads} at first"


Rule = Callable[[Schedule, History], Iterator[str]]

RULES: dict[str, Rule] = {
    "one answer": _one_answer,
    "own answer": _own_answer,
    "accepts": _accepts,
    "in time": _in_time,
    "client left": _nothing_for_clients_that_left,
    "told time": _told_time,
    "repeats": _repeats,
    "exit": _exit,
    "resources": _resources,
}
