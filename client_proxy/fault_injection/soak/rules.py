"""The rules that every run of the restart soak is checked against."""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise

from client_proxy.api.settings import Idempotency
from client_proxy.fault_injection.soak.history import Arrival, History, SentRequest, Treatment
from client_proxy.fault_injection.soak.schedule import ClassPlan, Schedule

LATE_ANSWER_S = 0.5  # an answer that is later than its deadline by more than this is a breach
LEFT_CLIENT_S = 0.1  # after a client has closed its connection its requests may still be sent for this time
TIME_LEFT_SLACK_S = 0.15  # tolerance of the time left that an attempt states
SERVED = 200  # HTTP status
# A request and the close of its connection may cross on the wire, if the request was written no more than
# this before the client could read the close: neither side can know of the other's (RFC 9112, 9.3.1). A
# client whose timers are late reads the close later by as much.
CROSSING_S = 0.02
EXTRA_DESCRIPTORS = 2  # allowed beyond those at the start: a reconnection to discovery may be in progress


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that did not hold."""

    rule: str
    what: str


def check(schedule: Schedule, history: History) -> list[Breach]:
    """Return the breaches of all rules."""
    return [Breach(name, what) for name, rule in RULES.items() for what in rule(schedule, history)]


def _check_one_answer(schedule: Schedule, history: History) -> Iterator[str]:
    """Each request that a server read, or that came on an open connection, gets exactly one final answer."""
    seen_ids = {arrival.trace_id for arrival in history.arrivals}
    for request in history.requests.values():
        if len(request.answers) > 1:
            yield f"{request.trace_id}: {len(request.answers)} final answers"
        if request.answers or request.left_s is not None:
            continue
        if request.trace_id in seen_ids:
            yield f"{request.trace_id}: no answer, though a server read it; {_timing(request)}"
        elif (
            request.sent_s is not None
            and not _crossed(history, request)
            and not _may_be_closed_unread(schedule, request)
        ):
            yield f"{request.trace_id}: no answer, though it came on an open connection; {_timing(request)}"
    for at_s, connection in history.unexpected_answers:
        yield f"connection {connection}: an answer without a request at {at_s:.3f} s"
    for at_s, connection in history.malformed:
        yield f"connection {connection}: bytes that are not HTTP at {at_s:.3f} s"


def _check_own_answer(schedule: Schedule, history: History) -> Iterator[str]:
    """Each answer of a server belongs to its request: servers answer with the trace id."""
    for request in history.requests.values():
        for answer in request.answers:
            if answer.status == SERVED and answer.body != request.trace_id.encode():
                yield f"{request.trace_id}: got the answer {answer.body[:60]!r}"


def _check_connections_accepted(schedule: Schedule, history: History) -> Iterator[str]:
    """New connections are accepted to the schedule's end, unless idle ones use up the descriptors."""
    if not schedule.crowd:
        for at_s in history.refused_connections_s:
            yield f"a new connection was refused or reset at {at_s:.3f} s"


def _timing(request: SentRequest) -> str:
    """Return when a request was sent, relative to the end of its connection, for a breach's text."""
    if request.sent_s is None or request.connection_ended_s is None:
        return "not sent completely, or its connection did not end"
    before_s = request.connection_ended_s - request.sent_s
    return f"sent {before_s:.3f} s before its connection ended, with {request.expires_s:.3f} s to wait"


def _crossed(history: History, request: SentRequest) -> bool:
    """Return whether the request and the close of its connection crossed on the wire."""
    ended_s, sent_s = request.connection_ended_s, request.sent_s
    if ended_s is None or sent_s is None:
        return False
    return sent_s > ended_s - CROSSING_S - history.worst_lateness_s


def _may_be_closed_unread(schedule: Schedule, request: SentRequest) -> bool:
    """Return whether its connection may have been closed unread, as allowed among many idle connections."""
    return schedule.crowd > 0 and request.first


def _due_s(history: History) -> dict[str, float]:
    """Return, by trace id, when the answer is due: not before those of earlier requests on its connection."""
    latest_s: dict[int, float] = {}
    due_s: dict[str, float] = {}
    for request in history.requests.values():  # in the order of sending
        if request.sent_s is None:
            continue
        own_due_s = request.sent_s + request.expires_s
        due_s[request.trace_id] = max(own_due_s, latest_s.get(request.connection, own_due_s))
        latest_s[request.connection] = due_s[request.trace_id]
    return due_s


def _check_in_time(schedule: Schedule, history: History) -> Iterator[str]:
    """No answer is later than its deadline by more than half a second."""
    due_s = _due_s(history)
    for request in history.requests.values():
        for answer in request.answers:
            if request.trace_id in due_s and answer.at_s > due_s[request.trace_id] + LATE_ANSWER_S:
                late_s = answer.at_s - due_s[request.trace_id]
                yield f"{request.trace_id}: answered {answer.status} {late_s:.2f} s after its deadline"


def _check_nothing_for_clients_that_left(schedule: Schedule, history: History) -> Iterator[str]:
    """No attempt is sent for a client that has closed its connection."""
    for arrival in history.arrivals:
        request = history.requests.get(arrival.trace_id)
        if request is None or request.left_s is None:
            continue
        late_s = arrival.at_s - request.left_s
        if late_s > LEFT_CLIENT_S:
            yield f"{arrival.trace_id}: sent to {arrival.server} {late_s:.3f} s after its client had left"


def _check_stated_time_left(schedule: Schedule, history: History) -> Iterator[str]:
    """The time left that an attempt states is at most what its client still waits, plus the tolerance."""
    for arrival in history.arrivals:
        request = history.requests.get(arrival.trace_id)
        if request is None or request.sent_s is None:
            yield f"{arrival.trace_id}: {arrival.server} read a request that no client has sent"
            continue
        left_s = request.sent_s + request.expires_s - arrival.at_s
        if arrival.stated_time_left_s > left_s + TIME_LEFT_SLACK_S:
            yield f"{arrival.trace_id}: stated {arrival.stated_time_left_s:.3f} s with {left_s:.3f} s left"


def _check_repeats(schedule: Schedule, history: History) -> Iterator[str]:
    """A request that may have run is repeated only as its class allows."""
    classes = {request_class.name: request_class for request_class in schedule.classes}
    by_request: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        by_request[arrival.trace_id].append(arrival)
    for trace_id, arrivals in by_request.items():
        request = history.requests.get(trace_id)
        if request is not None:
            for later in _forbidden_repeats(classes[request.class_name], arrivals):
                yield f"{trace_id} ({request.class_name}): repeated at {later.server}"


def _forbidden_repeats(request_class: ClassPlan, arrivals: list[Arrival]) -> Iterator[Arrival]:
    """Yield the attempts of one request that its class forbids after an earlier one may have run."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return
    may_have_run = [arrival for arrival in arrivals if arrival.treatment is not Treatment.REFUSED]
    for earlier, later in pairwise(may_have_run):
        deduplicated = (
            earlier.cell == later.cell and later.at_s < may_have_run[0].at_s + request_class.window_s
        )
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT or not deduplicated:
            yield later


def _check_exit_code(schedule: Schedule, history: History) -> Iterator[str]:
    """A proxy exits with 0 or by the harness's kill; by SIGTERM only if it got that while it started."""
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


def _check_resources(schedule: Schedule, history: History) -> Iterator[str]:
    """Without clients a proxy has no more descriptors and threads than before the first client."""
    if len(history.resources) < 2:
        return
    before, after = history.resources[0], history.resources[-1]
    if after.descriptors > before.descriptors + EXTRA_DESCRIPTORS:
        yield f"{after.descriptors} descriptors without clients, {before.descriptors} before the first client"
    if after.threads > before.threads:
        yield f"{after.threads} threads without clients, {before.threads} before the first client"


Rule = Callable[[Schedule, History], Iterator[str]]

RULES: dict[str, Rule] = {
    "one answer": _check_one_answer,
    "own answer": _check_own_answer,
    "accepts": _check_connections_accepted,
    "in time": _check_in_time,
    "client left": _check_nothing_for_clients_that_left,
    "told time": _check_stated_time_left,
    "repeats": _check_repeats,
    "exit": _check_exit_code,
    "resources": _check_resources,
}
