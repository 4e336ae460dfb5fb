"""An emulated server: the process model behind the HTTP protocol, with its faults.

One object stands for a server under one name, through freezes, ends and new incarnations of its process.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

from client_proxy.api.settings import Idempotency
from client_proxy.emulator.environment import ServerEnvironment
from client_proxy.emulator.event_log import Arrival, ClientAttempt, OverloadCrash, ServerOutcome, ServerSample
from client_proxy.emulator.listeners import Listener
from client_proxy.emulator.process_model import Admission, ProcessModel, ServerRequest
from client_proxy.emulator.random_streams import lognormal, uniform_draw
from client_proxy.emulator.scenario import Fault, ServerSpec
from client_proxy.emulator.server_connection import (
    CORRUPT_RESPONSE,
    PendingRequest,
    ReceivedRequest,
    ServerConnection,
    encode_response,
)
from client_proxy.emulator.server_faults import ActiveFault, Partitions

MILLISECONDS = re.compile(rb"[0-9]{1,9}")
NEVER_RAN = b"X-Never-Ran: 1"
IDLE_REPORT = {"inflight": 1.0, "queue": 0.0, "util": 0.1}
"""What a server reports by a fault of kind `lies`."""


class EmulatedServer:
    """A server and its listeners, one for each proxy.

    Attributes:
        incarnation: counts the starts of its process.
        since_ms: Unix time of the last start; 0 for a server that was there from the start.
        listeners: by proxy.
        successor: the server that took over its addresses.
        up: its process runs.
        draining: it is shutting down gracefully.
        vanished: its machine can't be reached.
        reports_idle: its load reports say that it is idle.
        faults: the faults of kind `fail` that are active.
    """

    def __init__(self, environment: ServerEnvironment, spec: ServerSpec) -> None:
        self.environment, self.spec = environment, spec
        self.name = spec.name
        self.loop = environment.loop
        self.network_settings = environment.scenario.network
        self.incarnation = 0
        self.since_ms = 0
        self.listeners: list[Listener] = []
        self.successor: EmulatedServer | None = None
        self.connections: dict[ServerConnection, None] = {}
        self.faults: list[ActiveFault] = []
        self.up = False
        self.draining = False
        self.vanished = False
        self.reports_idle = False
        self.model = self._new_model(cold=False)
        self._partitions = Partitions()
        self._freezes = 0
        self._deferred: list[Callable[[], None]] = []  # what was due while it was frozen
        self._slowdowns: list[float] = []
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_s = 0.0

    @property
    def now_s(self) -> float:
        """The time on the loop's clock."""
        return self.loop.time()

    @property
    def frozen(self) -> bool:
        """Whether it stands still."""
        return self._freezes > 0

    @property
    def partitioned_from(self) -> set[int]:
        """The proxies that it is separated from."""
        return self._partitions.proxies

    def one_way_delay_s(self, proxy: int) -> float:
        """Return the network's delay from or to a proxy."""
        network = self.network_settings
        same_zone = self.environment.scenario.zone_of(proxy) == self.spec.zone
        return (network.same_zone_ms if same_zone else network.cross_zone_ms) / 1000.0

    def _new_model(self, cold: bool) -> ProcessModel:
        scenario = self.environment.scenario
        return ProcessModel(
            f"{self.name}/{self.incarnation}",
            self.spec.server_type,
            scenario.load_reports,
            self.loop.time(),
            cold=cold,
            crash_multiple=scenario.rules.crash_multiple,
            crash_window_ms=scenario.rules.crash_window_ms,
            seed=scenario.seed,
        )

    # Its process

    def prepare(self) -> None:
        """Create its listeners."""
        for proxy in range(self.environment.scenario.clients.proxies):
            self.listeners.append(self.environment.new_listener(self._connection_factory(proxy)))

    def _connection_factory(self, proxy: int) -> Callable[[], asyncio.Protocol]:
        return lambda: ServerConnection(self.current_successor(), proxy)

    def current_successor(self) -> EmulatedServer:
        """Return the server that listens at its addresses now: itself, or the last successor."""
        server = self
        while server.successor is not None:
            server = server.successor
        return server

    def replace(self, predecessor: EmulatedServer) -> None:
        """Take over the addresses of a server that has gone."""
        predecessor.successor = self
        self.listeners = predecessor.listeners
        self._partitions = predecessor._partitions

    def start(self, cold: bool, since_ms: int = 0) -> None:
        """Start a process, at the same addresses as the one before."""
        self.incarnation += 1
        self.since_ms = since_ms
        self.up, self.draining, self.vanished = True, False, False
        self._freezes = 0
        self._deferred.clear()
        self.model = self._new_model(cold)
        for factor in self._slowdowns:
            self.model.slowdown *= factor
        for proxy, listener in enumerate(self.listeners):
            listener.open()
            if proxy in self.partitioned_from:
                listener.hold()

    def kill(self) -> None:
        """End the process: connections are reset, dials refused, its requests lost."""
        if not self.up:
            return
        self._catch_up()
        self.up = False
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.reset()
        self.connections.clear()
        self._set_wake_timer()

    def close(self) -> None:
        """End the process and give up its addresses."""
        self.kill()
        for listener in self.listeners:
            listener.close()

    # Faults

    def freeze(self) -> None:
        """Stand still: nothing is read, worked on or answered, and nothing is closed."""
        self._catch_up()
        self._freezes += 1
        self.model.freeze()
        if self._freezes == 1:
            for connection in self.connections:
                connection.pause()
        self._set_wake_timer()

    def thaw(self, incarnation: int) -> None:
        """End a freeze of this incarnation, if its process still runs."""
        if not self.up or incarnation != self.incarnation or not self._freezes:
            return
        self._catch_up()
        self._freezes -= 1
        self.model.thaw()
        if not self._freezes:
            deferred, self._deferred = self._deferred, []
            for action in deferred:
                action()
            for connection in list(self.connections):
                connection.resume()
        self._set_wake_timer()

    def vanish(self) -> None:
        """Be cut off from the network: as frozen, and dials are not answered either."""
        self.vanished = True
        self.freeze()
        for listener in self.listeners:
            listener.hold()

    def reappear(self, incarnation: int) -> None:
        """Be back on the network, if this incarnation's process still runs."""
        if not self.up or incarnation != self.incarnation or not self.vanished:
            return
        self.vanished = False
        for proxy, listener in enumerate(self.listeners):
            if proxy not in self.partitioned_from:
                listener.open()
        self.thaw(incarnation)

    def partition_from(self, proxies: tuple[int, ...]) -> None:
        """Begin a partition: these proxies' dials are not answered, their connections go silent."""
        for proxy in proxies:
            self._partitions.begin(proxy)
            if self.up:
                self.listeners[proxy].hold()

    def heal_partition(self, proxies: tuple[int, ...]) -> None:
        """End a partition from these proxies."""
        for proxy in proxies:
            if self._partitions.end(proxy) and self.up and not self.vanished:
                self.listeners[proxy].open()
        for connection in list(self.connections):
            if not connection.partitioned:
                connection.heal_partition()

    def slow_down(self, factor: float) -> None:
        """Make work take so many times as long."""
        self._catch_up()
        self._slowdowns.append(factor)
        self.model.slowdown *= factor
        self._set_wake_timer()

    def speed_up(self, factor: float) -> None:
        """End a slowdown by this factor."""
        self._catch_up()
        self._slowdowns.remove(factor)
        self.model.slowdown /= factor
        self._set_wake_timer()

    # Connections

    def connection_opened(self, connection: ServerConnection) -> None:
        """Take a new connection."""
        accepted = self.environment.event_log.accepted_connections
        accepted[self.name] = accepted.get(self.name, 0) + 1
        self.connections[connection] = None
        connection.over_limit = len(self.connections) > self.spec.server_type.max_connections
        connection.handshake_work_ms = self.spec.server_type.handshake_ms
        if not self.up:
            connection.reset()
        elif self.frozen:
            connection.pause()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection; its queued request may be dropped."""
        self.connections.pop(connection, None)
        job, connection.job = connection.job, None
        if job is None or not self.up:
            return
        self._catch_up()
        if self.model.cancel(job):
            _owner(job).arrival.outcome = ServerOutcome.CANCELLED
        self._set_wake_timer()

    # Requests

    def request_received(self, connection: ServerConnection, request: ReceivedRequest) -> None:
        """Take a complete request: answer it, let it fail, or offer it to the model."""
        now_s = self._catch_up()
        attempt_id = request.headers.get(b"x-trace-id", b"").decode("latin-1")
        if not attempt_id:
            connection.answer(encode_response(404))
            return
        event_log = self.environment.event_log
        attempt = event_log.attempts.get(attempt_id)
        attempt = attempt or self.environment.foreign_attempt(attempt_id, request.url)
        if attempt is None:
            event_log.unknown_attempt_ids.append(attempt_id)
            connection.answer(encode_response(400))
            return
        arrival = self._record_arrival(connection.proxy, attempt_id, attempt, request, now_s)
        if not request.url.startswith(b"/" + attempt.class_name.encode() + b"/"):
            arrival.outcome = ServerOutcome.INVALID
            connection.answer(encode_response(400))
        elif connection.over_limit:
            arrival.outcome = ServerOutcome.REJECTED
            connection.answer(encode_response(503, b"", NEVER_RAN, b"Connection: close"), last=True)
        elif not self._fails(connection, arrival):
            self._offer(connection, arrival, request.headers, attempt.work_ms)

    def _record_arrival(
        self, proxy: int, attempt_id: str, attempt: ClientAttempt, request: ReceivedRequest, now_s: float
    ) -> Arrival:
        arrival = Arrival(
            server=self.name,
            incarnation=self.incarnation,
            proxy=proxy,
            attempt_id=attempt_id,
            class_name=attempt.class_name,
            idempotency_key=attempt.idempotency_key,
            first_byte_s=min(request.first_byte_s, now_s),
            arrived_s=now_s,
        )
        self.environment.event_log.arrivals.append(arrival)
        return arrival

    def _fails(self, connection: ServerConnection, arrival: Arrival) -> bool:
        """Let a request fail by the first fault that affects it; return whether one did."""
        for active in self.faults:
            if not active.fails(self.environment.scenario.seed, self.name, arrival):
                continue
            if active.fault.mode == "lost":
                # It runs, and its answer gets lost on the way.
                arrival.answer_lost = True
                return False
            self._fail(connection, arrival, active.fault)
            return True
        return False

    def _fail(self, connection: ServerConnection, arrival: Arrival, fault: Fault) -> None:
        if fault.mode == "silent":
            arrival.outcome = ServerOutcome.STALLED
            return
        arrival.outcome = ServerOutcome.FAILED

        def fail() -> None:
            arrival.ended_s = self.now_s
            if fault.mode == "reset":
                connection.reset()
            elif fault.mode == "spoilt":
                connection.answer(CORRUPT_RESPONSE)
            else:
                connection.answer(encode_response(500, b"", self._load_report()))

        self._call_later(fault.delay_ms / 1000.0, fail)

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action later, after a freeze if it falls into one, and not if the process ends before."""
        incarnation = self.incarnation

        def due() -> None:
            if not self.up or incarnation != self.incarnation:
                return
            if self.frozen:
                self._deferred.append(action)
            else:
                action()

        self.loop.call_later(delay_s, due)

    def _offer(
        self, connection: ServerConnection, arrival: Arrival, headers: dict[bytes, bytes], work_ms: float
    ) -> None:
        """Offer a request to the model and handle its admission."""
        job = ServerRequest(
            PendingRequest(connection, arrival),
            self._total_work_ms(connection, arrival, work_ms),
            arrival.arrived_s,
        )
        expires_in_ms = headers.get(b"x-expires-in-ms", b"")
        if MILLISECONDS.fullmatch(expires_in_ms):
            job.expires_s = arrival.arrived_s + int(expires_in_ms) / 1000.0
        admission = self.model.offer(job)
        if admission is Admission.CRASHED:
            arrival.outcome = ServerOutcome.REJECTED
            self.environment.event_log.overload_crashes.append(OverloadCrash(self.name, self.now_s))
            self.environment.server_crashed(self.name)
        elif admission is Admission.FULL:
            arrival.outcome = ServerOutcome.REJECTED
            connection.answer(encode_response(503, b"", NEVER_RAN, self._load_report()))
        else:
            connection.job = job
            self._catch_up(arrival.arrived_s)  # it may start at once, and not before it arrived
            self._set_wake_timer()

    def _total_work_ms(self, connection: ServerConnection, arrival: Arrival, work_ms: float) -> float:
        """Return the work of an attempt, with noise, faults, and the handshake of a new connection."""
        seed = self.environment.scenario.seed
        request_class = self.environment.classes[arrival.class_name]
        quantile = uniform_draw(seed, "noise", self.name, arrival.attempt_id)
        work_ms *= lognormal(1.0, request_class.attempt_noise, quantile)
        for active in self.environment.costly_faults:
            if active.makes_costly(seed, arrival):
                work_ms *= active.fault.factor
        work_ms += connection.handshake_work_ms
        connection.handshake_work_ms = 0.0
        return work_ms

    def _load_report(self) -> bytes:
        figures = self.model.report(self.now_s)
        if self.reports_idle:
            figures |= {name: value for name, value in IDLE_REPORT.items() if name in figures}
        text = ", ".join(f"{name}={value:.3f}" for name, value in figures.items())
        return b"Endpoint-Load-Metrics: TEXT " + text.encode()

    # Time

    def _catch_up(self, now_s: float | None = None) -> float:
        """Advance the model to now, or to a given time; return that time."""
        if now_s is None:
            now_s = self.now_s
        if not self.up:
            return now_s
        progress = self.model.advance(now_s)
        for job in progress.started:
            self._job_started(job)
        for job in progress.ended:
            self._job_ended(job)
        return now_s

    def _job_started(self, job: ServerRequest) -> None:
        arrival = _owner(job).arrival
        arrival.started_s = job.started_s
        arrival.outcome = ServerOutcome.RUNNING
        request_class = self.environment.classes[arrival.class_name]
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and job.started_s is not None:
            group = self.environment.deduplication_group(request_class, self.spec)
            if group.start(arrival.idempotency_key, job.started_s):
                arrival.outcome = ServerOutcome.DEDUPLICATED

    def _job_ended(self, job: ServerRequest) -> None:
        connection, arrival = _owner(job).connection, _owner(job).arrival
        if connection.job is job:
            connection.job = None
        if job.expired:
            arrival.outcome = ServerOutcome.REJECTED
            connection.answer(encode_response(504, b"", NEVER_RAN, self._load_report()))
            return
        arrival.ended_s = job.ended_s
        if arrival.outcome is not ServerOutcome.DEDUPLICATED:
            arrival.outcome = ServerOutcome.COMPLETED
        if arrival.answer_lost:
            return
        arrival.answered = not connection.lost
        body = f"{arrival.attempt_id} {self.name} {arrival.outcome.value}".encode()
        connection.answer(encode_response(200, body, self._load_report()))

    def _set_wake_timer(self) -> None:
        """Wake up at the model's next event."""
        next_s = self.model.next_event_s() if self.up else None
        if self._wake_timer is not None:
            if next_s == self._wake_s:
                return
            self._wake_timer.cancel()
            self._wake_timer = None
        if next_s is not None:
            self._wake_s = next_s
            self._wake_timer = self.loop.call_at(next_s, self._wake)

    def _wake(self) -> None:
        self._wake_timer = None
        self._catch_up()
        self._set_wake_timer()

    def sample(self, start_s: float) -> ServerSample:
        """Return its state for the time line, which begins at `start_s`."""
        self._catch_up()
        return ServerSample(
            at_s=self.now_s - start_s,
            running=len(self.model.running) if self.up else 0,
            queued=len(self.model.queued) if self.up else 0,
            connections=len(self.connections),
            state=self._state_name(),
            busy_ms=self.model.busy_ms,
        )

    def _state_name(self) -> str:
        """Return the state as reports name it."""
        if not self.up:
            return "fell" if self.model.crashed else "down"
        states = {
            "vanished": self.vanished,
            "frozen": self.frozen,
            "choked": self.model.congested_since_s is not None,
            "draining": self.draining,
            "cold": self.model.cold(self.now_s),
        }
        return next((name for name, holds in states.items() if holds), "up")


def _owner(job: ServerRequest) -> PendingRequest:
    owner: PendingRequest = job.owner
    return owner
