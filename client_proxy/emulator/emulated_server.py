"""An emulated server: HTTP connections, the process model that runs their requests, and faults.

One object stands for the server of one name over all freezes, ends and restarts of its process.
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
"""The fields that a fault of kind `lies` puts in place of the true ones in load reports."""


class EmulatedServer:
    """A server and its listeners, one for each proxy.

    Attributes:
        incarnation: the number of starts of its process.
        since_ms: Unix time of the last start, in milliseconds; 0 if it runs since the start of the scenario.
        listeners: its listeners by proxy number.
        successor: the server that took over its addresses; None while it has them itself.
        connections: all open connections; the values are unused.
        faults: the active faults of kind `fail`.
        up: whether its process runs.
        draining: whether it is shutting down gracefully.
        vanished: whether its machine is cut off from the network.
        reports_idle: whether its load reports claim that it is idle.
        model: the model of its present process.
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
        self._deferred: list[Callable[[], None]] = []  # actions that became due while it was frozen
        self._slowdowns: list[float] = []
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_s = 0.0

    @property
    def now_s(self) -> float:
        """The time on the loop's clock, in seconds."""
        return self.loop.time()

    @property
    def frozen(self) -> bool:
        """Whether its process is frozen."""
        return self._freezes > 0

    @property
    def partitioned_from(self) -> set[int]:
        """The numbers of the proxies that a partition separates from it."""
        return self._partitions.proxies

    def one_way_delay_s(self, proxy: int) -> float:
        """Return the network's delay in one direction between the server and a proxy, in seconds."""
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

    # Process

    def prepare(self) -> None:
        """Create the listeners, one for each proxy."""
        for proxy in range(self.environment.scenario.clients.proxies):
            self.listeners.append(self.environment.new_listener(self._connection_factory(proxy)))

    def _connection_factory(self, proxy: int) -> Callable[[], asyncio.Protocol]:
        return lambda: ServerConnection(self.current_successor(), proxy)

    def current_successor(self) -> EmulatedServer:
        """Return the server that listens at its addresses now: this one, or the last of its successors."""
        server = self
        while server.successor is not None:
            server = server.successor
        return server

    def replace(self, predecessor: EmulatedServer) -> None:
        """Take over the addresses and the partitions of a server that has ended for good."""
        predecessor.successor = self
        self.listeners = predecessor.listeners
        self._partitions = predecessor._partitions

    def start(self, cold: bool, since_ms: int = 0) -> None:
        """Start a process at the same addresses as the one before; `cold`: it has to warm up."""
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
                listener.ignore_dials()

    def kill(self) -> None:
        """End the process at once: connections are reset, dials are refused, and its requests are lost."""
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
        """End the process and close all listeners."""
        self.kill()
        for listener in self.listeners:
            listener.close()

    # Faults

    def freeze(self) -> None:
        """Freeze the process: it reads, runs and answers nothing, and its connections stay open."""
        self._catch_up()
        self._freezes += 1
        self.model.freeze()
        if self._freezes == 1:
            for connection in self.connections:
                connection.pause()
        self._set_wake_timer()

    def thaw(self, incarnation: int) -> None:
        """End one freeze, unless the process that was frozen, `incarnation`, has ended."""
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
        """Cut the machine off from the network: the process is frozen, and dials are not answered."""
        self.vanished = True
        self.freeze()
        for listener in self.listeners:
            listener.ignore_dials()

    def reappear(self, incarnation: int) -> None:
        """End the cut from the network, unless the process that vanished, `incarnation`, has ended."""
        if not self.up or incarnation != self.incarnation or not self.vanished:
            return
        self.vanished = False
        for proxy, listener in enumerate(self.listeners):
            if proxy not in self.partitioned_from:
                listener.open()
        self.thaw(incarnation)

    def partition_from(self, proxies: tuple[int, ...]) -> None:
        """Begin a partition: these proxies' dials are not answered, and their connections carry nothing."""
        for proxy in proxies:
            self._partitions.begin(proxy)
            if self.up:
                self.listeners[proxy].ignore_dials()

    def heal_partition(self, proxies: tuple[int, ...]) -> None:
        """End one partition from each of these proxies."""
        for proxy in proxies:
            if self._partitions.end(proxy) and self.up and not self.vanished:
                self.listeners[proxy].open()
        for connection in list(self.connections):
            if not connection.partitioned:
                connection.heal_partition()

    def slow_down(self, factor: float) -> None:
        """Begin a slowdown: all work takes `factor` times as long."""
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
        """Add a new connection, or reset it if the process has ended."""
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
        """Remove a connection; the server type decides whether its queued request is dropped."""
        self.connections.pop(connection, None)
        request, connection.server_request = connection.server_request, None
        if request is None or not self.up:
            return
        self._catch_up()
        if self.model.cancel(request):
            _pending_request(request).arrival.outcome = ServerOutcome.CANCELLED
        self._set_wake_timer()

    # Requests

    def request_received(self, connection: ServerConnection, request: ReceivedRequest) -> None:
        """Record a complete request, then answer it, make it fail, or offer it to the model."""
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
        elif not self._apply_fault(connection, arrival):
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

    def _apply_fault(self, connection: ServerConnection, arrival: Arrival) -> bool:
        """Apply the first fault that affects the request; return whether the request fails by it."""
        for active in self.faults:
            if not active.fails(self.environment.scenario.seed, self.name, arrival):
                continue
            if active.fault.mode == "lost":
                # The request runs, and only its answer is lost.
                arrival.answer_lost = True
                return False
            self._fail_request(connection, arrival, active.fault)
            return True
        return False

    def _fail_request(self, connection: ServerConnection, arrival: Arrival, fault: Fault) -> None:
        if fault.mode == "silent":
            arrival.outcome = ServerOutcome.STALLED
            return
        arrival.outcome = ServerOutcome.FAILED

        def end_request() -> None:
            arrival.ended_s = self.now_s
            if fault.mode == "reset":
                connection.reset()
            elif fault.mode == "spoilt":
                connection.answer(CORRUPT_RESPONSE)
            else:
                connection.answer(encode_response(500, b"", self._load_report()))

        self._call_later(fault.delay_ms / 1000.0, end_request)

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay.

        If the process is frozen then, the action runs after the freeze; if it has ended, it never runs.
        """
        incarnation = self.incarnation

        def run_if_up() -> None:
            if not self.up or incarnation != self.incarnation:
                return
            if self.frozen:
                self._deferred.append(action)
            else:
                action()

        self.loop.call_later(delay_s, run_if_up)

    def _offer(
        self, connection: ServerConnection, arrival: Arrival, headers: dict[bytes, bytes], work_ms: float
    ) -> None:
        """Offer a request to the model and answer it if it is rejected."""
        request = ServerRequest(
            PendingRequest(connection, arrival),
            self._total_work_ms(connection, arrival, work_ms),
            arrival.arrived_s,
        )
        expires_in_ms = headers.get(b"x-expires-in-ms", b"")
        if MILLISECONDS.fullmatch(expires_in_ms):
            request.expires_s = arrival.arrived_s + int(expires_in_ms) / 1000.0
        admission = self.model.offer(request)
        if admission is Admission.CRASHED:
            arrival.outcome = ServerOutcome.REJECTED
            self.environment.event_log.overload_crashes.append(OverloadCrash(self.name, self.now_s))
            self.environment.server_crashed(self.name)
        elif admission is Admission.FULL:
            arrival.outcome = ServerOutcome.REJECTED
            connection.answer(encode_response(503, b"", NEVER_RAN, self._load_report()))
        else:
            connection.server_request = request
            self._catch_up(arrival.arrived_s)  # the request may start at once, at its time of arrival
            self._set_wake_timer()

    def _total_work_ms(self, connection: ServerConnection, arrival: Arrival, work_ms: float) -> float:
        """Return the work of an attempt in ms, with noise, faults and, if it is the first, the handshake."""
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
        """Advance the model to `now_s`, by default the present time; return that time."""
        if now_s is None:
            now_s = self.now_s
        if not self.up:
            return now_s
        progress = self.model.advance(now_s)
        for request in progress.started:
            self._request_started(request)
        for request in progress.ended:
            self._request_ended(request)
        return now_s

    def _request_started(self, request: ServerRequest) -> None:
        arrival = _pending_request(request).arrival
        arrival.started_s = request.started_s
        arrival.outcome = ServerOutcome.RUNNING
        request_class = self.environment.classes[arrival.class_name]
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and request.started_s is not None:
            group = self.environment.deduplication_group(request_class, self.spec)
            if group.start(arrival.idempotency_key, request.started_s):
                arrival.outcome = ServerOutcome.DEDUPLICATED

    def _request_ended(self, request: ServerRequest) -> None:
        connection, arrival = _pending_request(request).connection, _pending_request(request).arrival
        if connection.server_request is request:
            connection.server_request = None
        if request.expired:
            arrival.outcome = ServerOutcome.REJECTED
            connection.answer(encode_response(504, b"", NEVER_RAN, self._load_report()))
            return
        arrival.ended_s = request.ended_s
        if arrival.outcome is not ServerOutcome.DEDUPLICATED:
            arrival.outcome = ServerOutcome.COMPLETED
        if arrival.answer_lost:
            return
        arrival.answered = not connection.lost
        body = f"{arrival.attempt_id} {self.name} {arrival.outcome.value}".encode()
        connection.answer(encode_response(200, body, self._load_report()))

    def _set_wake_timer(self) -> None:
        """Set the timer to the model's next event, or cancel it if there is none."""
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
        """Return a sample of its state, timed in seconds since `start_s`, the scenario's start."""
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
        """Return the name of its state in reports."""
        if not self.up:
            return "fell" if self.model.crashed else "down"
        states = {
            "vanished": self.vanished,
            "frozen": self.frozen,
            "choked": self.model.congested_since_s is not None,
            "draining": self.draining,
            "cold": self.model.is_warming_up(self.now_s),
        }
        return next((name for name, applies in states.items() if applies), "up")


def _pending_request(request: ServerRequest) -> PendingRequest:
    pending: PendingRequest = request.caller_data
    return pending
