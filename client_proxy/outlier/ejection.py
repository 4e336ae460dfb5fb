"""Detects servers and zones that this instance can't reach, and ejects them for a while.

A zone that is down or partitioned fails every request that is sent there: at once if its machines refuse
connections, after the connect timeout if they are silent. If servers were judged one by one, a client's
request would fail at each server of the zone, and again after each pause. If they were judged by their share
of failures compared with all others, a third of the fleet that fails would look normal. But when several
servers of one zone fail to respond, while nothing is received from the zone, they have a common cause. Then
the whole zone is ejected, including servers that were never used. It is found again by recovery probes: now
and then an idempotent request is sent there, and any response restores the zone.

No response means no connection, or no answer long after the usual latency, and nothing else received from the
zone since the request was sent. A timeout counts for the time at which its request was sent; otherwise a zone
that has recovered would be ejected for the timeouts of earlier requests. A server that answers, even with an
error, can be reached. A single server is ejected after two consecutive failures. If more of the fleet than
the limit would be ejected, the fault is more likely on this side, and nothing is ejected.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from random import Random

from client_proxy.api.events import EndpointState, ListedEndpoint, Outcome

RESPONSES = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.UNUSABLE)
# A single response may be lost or late, so a timeout weighs less than a refused connection.
FAILURE_WEIGHT = {Outcome.CONNECT_FAILED: 1.0, Outcome.TIMEOUT: 0.5}
SERVER_EJECTION_WEIGHT = 2.0  # sum of consecutive failure weights at which a server is ejected
ZONE_EJECTION_WEIGHT = 2.5  # sum of consecutive failure weights at which a zone is ejected
ZONE_EJECTION_SERVERS = 2  # least number of servers at which these failures must have happened
OVERDUE_FACTOR = 4.0  # multiple of the usual latency after which a missing answer counts, before its timeout
DEFAULT_LATENCY_MS = 1000.0  # ms; assumed until a response was received
LATENCY_GAIN = 0.05  # about the last twenty responses determine the usual latency
ROUNDING_MS = 1.0  # ms; rounding error of the times that are passed in
FAILURE_MEMORY_MS = 4000.0  # ms; an older failure is ignored
JITTER = (0.5, 1.5)  # range of the random factor on a probe interval
# Intervals by which a probe is overdue before a request that is not idempotent is used.
NOT_IDEMPOTENT_INTERVALS = 4.0


@dataclass(slots=True)
class RecoveryProbe:
    """The schedule of probes of one ejected server or zone."""

    due_ms: float
    interval_ms: float
    is_under_way: bool = False

    def is_due(self, now_ms: float, is_idempotent: bool) -> bool:
        """Whether a request may be used as a probe now."""
        extra_intervals = 0.0 if is_idempotent else NOT_IDEMPOTENT_INTERVALS
        return now_ms >= self.due_ms + extra_intervals * self.interval_ms


class RecoverySchedule:
    """Schedules recovery probes, with jitter and with doubling intervals."""

    def __init__(self, first_interval_ms: float, max_interval_ms: float, seed: int) -> None:
        self._first_interval_ms, self._max_interval_ms = first_interval_ms, max_interval_ms
        self._random = Random(seed)

    def create(self, now_ms: float) -> RecoveryProbe:
        """Return the schedule of a server or zone that was just ejected."""
        due_ms = now_ms + self._first_interval_ms * self._random.uniform(*JITTER)
        return RecoveryProbe(due_ms, self._first_interval_ms)

    def begin(self, now_ms: float, probe: RecoveryProbe) -> None:
        """Take note that a request is sent as a probe."""
        probe.is_under_way = True
        self._reschedule(now_ms, probe)

    def failed(self, now_ms: float, probe: RecoveryProbe) -> None:
        """Double the interval after a probe without a response.

        The failure of a request that was sent before the ejection changes nothing.
        """
        if probe.is_under_way:
            probe.is_under_way = False
            probe.interval_ms = min(self._max_interval_ms, 2.0 * probe.interval_ms)
            self._reschedule(now_ms, probe)

    def choose(self, servers: list[str]) -> str:
        """Pick a random server of an ejected zone."""
        return self._random.choice(servers)

    def _reschedule(self, now_ms: float, probe: RecoveryProbe) -> None:
        probe.due_ms = now_ms + probe.interval_ms * self._random.uniform(*JITTER)


@dataclass(slots=True)
class ServerState:
    """What is known of one server process."""

    zone: str
    started_ms: float | None
    is_ready: bool = True
    failure_weight: float = 0.0
    failed_ms: float = 0.0
    responded_ms: float = -inf
    # Send times of attempts in flight that are not overdue.
    outstanding_ms: list[float] = field(default_factory=list)
    overdue_count: int = 0  # attempts in flight that already count as failures
    probe: RecoveryProbe | None = None  # not None: the server is ejected for its own failures


@dataclass(slots=True)
class ZoneState:
    """What is known of one zone since the last response from it."""

    failed_ms: dict[str, float] = field(default_factory=dict)  # time of the latest failure, by server
    failure_weight: float = 0.0
    responded_ms: float = -inf
    probe: RecoveryProbe | None = None  # not None: the zone is ejected

    def forget_failures(self) -> None:
        """Drop the counted failures, after a response or a new process."""
        self.failed_ms.clear()
        self.failure_weight = 0.0


@dataclass(frozen=True, slots=True)
class _SentAttempt:
    at_ms: float
    server: str


class OutlierDetector:
    """Decides which servers and zones one instance ejects, and which server a request is to probe.

    Attributes:
        ejected: names of the ejected servers; the same set object for its life, because others hold it.
        log_lines: lines to log; the caller removes them. They are also messages to the simulator, so their
            texts are fixed.
    """

    def __init__(
        self, first_probe_ms: float, max_probe_ms: float, max_ejected_share: float, seed: int = 0
    ) -> None:
        self._schedule = RecoverySchedule(first_probe_ms, max_probe_ms, seed)
        self._max_ejected_share = max_ejected_share
        self._servers: dict[str, ServerState] = {}
        self._zones: dict[str, ZoneState] = {}
        self._usual_latency_ms = 0.0
        # In the order of sending; attempts leave it once they are overdue.
        self._sent: deque[_SentAttempt] = deque()
        self.ejected: set[str] = set()
        self.log_lines: list[str] = []

    def __len__(self) -> int:
        return len(self._servers)

    def inherit(self, predecessor: OutlierDetector) -> None:
        """Continue with the state of the previous policy's detector."""
        self._servers, self._zones, self._sent = predecessor._servers, predecessor._zones, predecessor._sent
        self._usual_latency_ms = predecessor._usual_latency_ms
        self.ejected.update(predecessor.ejected)

    def update_endpoints(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Update the list of all servers; a new process under a known name counts as a new server."""
        names = set()
        for endpoint in endpoints:
            names.add(endpoint.name)
            known = self._servers.get(endpoint.name)
            if known is None or known.started_ms != endpoint.started_ms or known.zone != endpoint.zone:
                known = self._add_server(endpoint, known)
            known.is_ready = endpoint.state is EndpointState.READY
        self._remove_unlisted(names)
        self._update_ejected()

    def attempt_sent(self, now_ms: float, server: str) -> None:
        """Take note that an attempt was sent."""
        state = self._servers.get(server)
        if state is not None:
            state.outstanding_ms.append(now_ms)
            self._sent.append(_SentAttempt(now_ms, server))

    def attempt_ended(self, now_ms: float, server: str, outcome: Outcome, took_ms: float) -> None:
        """Record the result of an attempt that was sent `took_ms` ago."""
        state = self._servers.get(server)
        if state is None:
            return
        sent_ms = now_ms - took_ms
        was_overdue = _end_outstanding(state, sent_ms)
        if outcome is Outcome.OK:
            gain = LATENCY_GAIN if self._usual_latency_ms else 1.0
            self._usual_latency_ms += gain * (took_ms - self._usual_latency_ms)
        if outcome in RESPONSES:
            self._response_received(now_ms, state)
            return
        weight = FAILURE_WEIGHT.get(outcome)
        if weight is not None and not was_overdue:
            self._no_response(now_ms, server, state, sent_ms, weight)

    def choose_probe(self, now_ms: float, is_idempotent: bool) -> str:
        """Return the ejected server that a request is to probe, or "" if no probe is due.

        The request counts as sent there.
        """
        self._count_overdue(now_ms)
        if not self.ejected:
            return ""
        return self._choose_zone_probe(now_ms, is_idempotent) or self._choose_server_probe(
            now_ms, is_idempotent
        )

    def _add_server(self, endpoint: ListedEndpoint, replaced: ServerState | None) -> ServerState:
        if replaced is not None:
            self._zones[replaced.zone].failed_ms.pop(endpoint.name, None)
        state = self._servers[endpoint.name] = ServerState(endpoint.zone, endpoint.started_ms)
        zone = self._zones.setdefault(endpoint.zone, ZoneState())
        if endpoint.started_ms is not None:
            # Otherwise a zone that is back with new processes would get no requests until the next probe.
            zone.probe = None
            zone.forget_failures()
        return state

    def _remove_unlisted(self, listed: set[str]) -> None:
        for server in [server for server in self._servers if server not in listed]:
            self._zones[self._servers.pop(server).zone].failed_ms.pop(server, None)
        zones = {state.zone for state in self._servers.values()}
        for zone in [zone for zone in self._zones if zone not in zones]:
            del self._zones[zone]

    def _response_received(self, now_ms: float, state: ServerState) -> None:
        zone = self._zones[state.zone]
        zone.responded_ms = state.responded_ms = now_ms
        was_ejected = zone.probe is not None or state.probe is not None
        if zone.probe is not None:
            self._restore_zone(state.zone, zone)
        state.failure_weight, state.probe = 0.0, None
        zone.forget_failures()
        if was_ejected:
            self._update_ejected()

    def _restore_zone(self, name: str, zone: ZoneState) -> None:
        self.log_lines.append(f"{name or 'servers'}: no longer ejected")
        zone.probe = None
        for other in self._servers.values():
            if other.zone == name and other.probe is not None:
                # The server is restored with its zone, but one more failure ejects it again.
                other.failure_weight, other.probe = SERVER_EJECTION_WEIGHT - 1.0, None

    def _count_overdue(self, now_ms: float) -> None:
        """Count attempts whose answer is long overdue as failures, before their timeout."""
        # The default also bounds the queue of sent attempts of an instance that never had a response.
        overdue_ms = now_ms - OVERDUE_FACTOR * (self._usual_latency_ms or DEFAULT_LATENCY_MS)
        while self._sent and self._sent[0].at_ms <= overdue_ms:
            attempt = self._sent.popleft()
            state = self._servers.get(attempt.server)
            has_ended = state is None or not state.outstanding_ms or state.outstanding_ms[0] > attempt.at_ms
            if state is None or has_ended:
                continue
            state.outstanding_ms.pop(0)
            state.overdue_count += 1
            weight = FAILURE_WEIGHT[Outcome.TIMEOUT]
            self._no_response(now_ms, attempt.server, state, attempt.at_ms, weight)

    def _no_response(
        self, now_ms: float, server: str, state: ServerState, sent_ms: float, weight: float
    ) -> None:
        if state.responded_ms < sent_ms:
            self._server_failed(now_ms, state, weight)
        zone = self._zones[state.zone]
        if zone.responded_ms < sent_ms:
            self._zone_failed(now_ms, state.zone, zone, server, weight)
        self._update_ejected()

    def _server_failed(self, now_ms: float, state: ServerState, weight: float) -> None:
        if now_ms - state.failed_ms > FAILURE_MEMORY_MS and state.probe is None:
            state.failure_weight = 0.0
        state.failure_weight += weight
        state.failed_ms = now_ms
        if state.probe is not None:
            self._schedule.failed(now_ms, state.probe)
        elif state.failure_weight >= SERVER_EJECTION_WEIGHT:
            state.probe = self._schedule.create(now_ms)

    def _zone_failed(self, now_ms: float, name: str, zone: ZoneState, server: str, weight: float) -> None:
        if zone.probe is not None:
            self._schedule.failed(now_ms, zone.probe)
            return
        for old in [old for old, at_ms in zone.failed_ms.items() if at_ms < now_ms - FAILURE_MEMORY_MS]:
            del zone.failed_ms[old]
        if not zone.failed_ms:
            zone.failure_weight = 0.0
        zone.failed_ms[server] = now_ms
        zone.failure_weight += weight
        # A zone with a single server needs no zone ejection: that server is ejected for its own failures.
        if zone.failure_weight >= ZONE_EJECTION_WEIGHT and len(zone.failed_ms) >= ZONE_EJECTION_SERVERS:
            zone.probe = self._schedule.create(now_ms)
            count = len(zone.failed_ms)
            self.log_lines.append(f"{name or 'servers'}: ejected, {count} servers did not respond")

    def _ready_servers(self, zone: str) -> list[str]:
        return [server for server, state in self._servers.items() if state.zone == zone and state.is_ready]

    def _update_ejected(self) -> None:
        """Compute the set of ejected servers; it is empty if it would exceed the limit."""
        self.ejected.clear()
        ready_count = 0
        for server, state in self._servers.items():
            ready_count += state.is_ready
            is_ejected = state.probe is not None or self._zones[state.zone].probe is not None
            if state.is_ready and is_ejected:
                self.ejected.add(server)
        if len(self.ejected) > self._max_ejected_share * ready_count:
            self.ejected.clear()

    def _choose_zone_probe(self, now_ms: float, is_idempotent: bool) -> str:
        for name, zone in self._zones.items():
            if zone.probe is None or not zone.probe.is_due(now_ms, is_idempotent):
                continue
            servers = self._ready_servers(name)
            if servers:
                self._schedule.begin(now_ms, zone.probe)
                return self._schedule.choose(servers)
        return ""

    def _choose_server_probe(self, now_ms: float, is_idempotent: bool) -> str:
        for server, state in self._servers.items():
            if state.probe is None or not state.is_ready or self._zones[state.zone].probe is not None:
                continue
            if state.probe.is_due(now_ms, is_idempotent):
                self._schedule.begin(now_ms, state.probe)
                return server
        return ""


def _end_outstanding(state: ServerState, sent_ms: float) -> bool:
    """Remove an attempt that has ended; return whether it already counted as overdue."""
    outstanding = state.outstanding_ms
    if outstanding and (not state.overdue_count or sent_ms >= outstanding[0] - ROUNDING_MS):
        # Remove the attempt sent at that time, within the rounding error.
        del outstanding[max(0, bisect_right(outstanding, sent_ms + ROUNDING_MS) - 1)]
        return False
    was_overdue = state.overdue_count > 0
    state.overdue_count = max(0, state.overdue_count - 1)
    return was_overdue
