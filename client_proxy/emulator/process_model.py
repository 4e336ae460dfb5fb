"""A model of one server's process: cores, slots, queue, warming up and congestion, without I/O or a clock.

The caller passes the current time, in seconds that never decrease. The model computes event by event what
happened since the last call, so completion times are exact however seldom it is called. Work is given in
milliseconds on a core of speed 1.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import exp, sqrt
from typing import Any

from client_proxy.emulator.random_streams import lognormal, uniform_draw
from client_proxy.emulator.scenario import LoadReportSettings, ServerType

WARM_UP_STEPS = 32
"""The number of steps in which a server that warms up by time gains capacity."""
STEP_TOLERANCE = 1e-6
"""In steps; added before rounding down, so that a rounding error of the time does not lose a step."""
CONGESTION_CHECK_S = 0.1
"""Seconds; the longest time between two checks of a server that is congested or may become so."""
MAX_CONGESTION_THRESHOLD = 0.7
"""A share of slots and queue places together; the load at which a server gets congested is at most this."""
NEGLIGIBLE_WORK_MS = 1e-7
"""A request with no more work left than this is complete; the rest is a rounding error."""
LATENCY_SMOOTHING = 0.1
"""The weight of the latest service time in the moving average that load reports give as latency."""
EXTRA_SNAPSHOTS = 2
"""The number of snapshots kept beyond those that the delay of load reports spans."""


class Admission(Enum):
    """The result of offering a request to the model."""

    ACCEPTED = "accepted"
    FULL = "full"
    CRASHED = "crashed"  # the server was overloaded while warming up, and its process has ended


@dataclass(slots=True, eq=False)
class ServerRequest:
    """A request that a server has queued, runs or has finished.

    Attributes:
        caller_data: the caller's data about the request; the model never reads it.
        work_ms: the whole work, in milliseconds on a core of speed 1.
        arrived_s: when it was offered.
        expires_s: when its client stops waiting for it.
        remaining_ms: the work that is left, once it has started.
        started_s: when it started; None while it is queued.
        ended_s: when it was completed; None before that, or if it never ran.
        expired: whether it was dropped from the queue because `expires_s` had passed.
    """

    caller_data: Any
    work_ms: float
    arrived_s: float
    expires_s: float = float("inf")
    remaining_ms: float = 0.0
    started_s: float | None = None
    ended_s: float | None = None
    expired: bool = False


@dataclass(slots=True)
class LoadSnapshot:
    """The load at one time, in fields that have the names of load report fields."""

    at_s: float
    number: int
    inflight: float
    queue: float
    latency_ms: float
    util: float


@dataclass(frozen=True, slots=True)
class RecentWork:
    """Work that arrived at a time while the server was warming up."""

    at_s: float
    work_ms: float


@dataclass(slots=True)
class WorkProgress:
    """The requests that started and that ended since the last call, each in order of time."""

    started: list[ServerRequest] = field(default_factory=list)
    ended: list[ServerRequest] = field(default_factory=list)


class ProcessModel:
    """A simulated server process.

    `advance` computes the state at a time; `next_event_s` returns when it has to be called next.

    Attributes:
        slots: the number of requests that can run at once.
        queue_capacity: the number of requests that can wait for a slot.
        slowdown: the factor by which faults prolong all work.
        crashed: whether it was overloaded while warming up.
        congested_since_s: when it became congested; None while it is not congested.
        busy_ms: core time used, in milliseconds.
        completed: the number of requests that ran to their end.
    """

    def __init__(
        self,
        name: str,
        server_type: ServerType,
        reports: LoadReportSettings,
        now_s: float,
        *,
        cold: bool = False,
        crash_multiple: float = 3.0,
        crash_window_ms: float = 2000.0,
        seed: int = 0,
    ) -> None:
        self.name, self.server_type = name, server_type
        self.slots = max(1, round(server_type.slots_per_core * server_type.cores))
        self.queue_capacity = round(server_type.queue_per_core * server_type.cores)
        self.running: list[ServerRequest] = []
        self.queued: deque[ServerRequest] = deque()
        self.slowdown = 1.0
        self.crashed = False
        self.congested_since_s: float | None = None
        self.busy_ms = 0.0
        self.completed = 0
        self._cold_since_s = now_s if cold and server_type.cold_capacity < 1 else None
        self._crash_multiple, self._crash_window_ms = crash_multiple, crash_window_ms
        self._recent_work: deque[RecentWork] = deque()
        self._recent_work_ms = 0.0
        self._at_s = now_s
        self._freezes = 0
        self._mean_in_flight = 0.0  # running and queued requests, a moving average over the congestion window
        self._below_exit_use_since_s: float | None = None
        self._was_congested = False
        self._latency_ms = 0.0
        self._reports, self._seed = reports, seed
        self._period_s = reports.period_ms / 1000.0
        self._next_snapshot_s = now_s + self._period_s * uniform_draw(seed, "phase", name)
        self._snapshots: deque[LoadSnapshot] = deque([LoadSnapshot(now_s, 0, 0.0, 0.0, 0.0, 0.0)])

    # State

    @property
    def in_flight(self) -> int:
        """The number of requests that run or are queued."""
        return len(self.running) + len(self.queued)

    @property
    def frozen(self) -> bool:
        """Whether the process is frozen: it makes no progress."""
        return self._freezes > 0

    def warmth(self, now_s: float) -> float:
        """Return its present capacity as a share of its full capacity; 1 once it is warm."""
        if self._cold_since_s is None:
            return 1.0
        server_type = self.server_type
        if server_type.warm_up_requests:
            progress = self.completed / server_type.warm_up_requests
        elif server_type.warm_up_s:
            # In steps: the speed has to be constant between two events.
            elapsed = (now_s - self._cold_since_s) / server_type.warm_up_s
            progress = int(elapsed * WARM_UP_STEPS + STEP_TOLERANCE) / WARM_UP_STEPS
        else:
            progress = 1.0
        cold_capacity = server_type.cold_capacity
        return min(1.0, cold_capacity + (1 - cold_capacity) * min(1.0, progress))

    def is_warming_up(self, now_s: float) -> bool:
        """Return whether it is still warming up."""
        return self.warmth(now_s) < 1.0

    def speed(self, now_s: float) -> float:
        """Return the speed of one core, as a multiple of the reference core's."""
        speed = self.server_type.speed * self.warmth(now_s) / self.slowdown
        return speed / self.server_type.congestion_slowdown if self.congested_since_s is not None else speed

    def _work_rate(self, now_s: float) -> float:
        """Return the work done on each running request, in milliseconds of work a second."""
        if self._freezes or not self.running:
            return 0.0
        return 1000.0 * self.speed(now_s) * min(1.0, self.server_type.cores / len(self.running))

    # Time

    def next_event_s(self) -> float | None:
        """Return when the next request ends or the speed may change; None if neither is to be expected."""
        times = []
        rate = self._work_rate(self._at_s)
        if rate > 0:
            times.append(self._at_s + min(request.remaining_ms for request in self.running) / rate)
        warm_up_step_s = self._next_warm_up_step_s()
        if warm_up_step_s is not None:
            times.append(warm_up_step_s)
        server_type = self.server_type
        may_become_congested = server_type.congestion_threshold and self.in_flight > server_type.cores
        if self.congested_since_s is not None or may_become_congested:
            times.append(self._at_s + CONGESTION_CHECK_S)
        return min(times, default=None)

    def _next_warm_up_step_s(self) -> float | None:
        if self._cold_since_s is None or self.server_type.warm_up_requests or not self.in_flight:
            return None
        step_s = self.server_type.warm_up_s / WARM_UP_STEPS
        if not step_s or self.warmth(self._at_s) >= 1.0:
            return None
        steps = int((self._at_s - self._cold_since_s) / step_s + STEP_TOLERANCE)
        return self._cold_since_s + (steps + 1) * step_s

    def advance(self, now_s: float) -> WorkProgress:
        """Compute the state at `now_s`; return what started and ended on the way."""
        progress = WorkProgress()
        self._start_queued(progress)
        while self._at_s < now_s:
            event_s = self.next_event_s()
            until_s = now_s if event_s is None else min(now_s, event_s)
            self._advance_step(until_s, progress)
        return progress

    def _advance_step(self, until_s: float, progress: WorkProgress) -> None:
        """Advance to `until_s`, before which no running request ends and the speed does not change."""
        rate, span_s = self._work_rate(self._at_s), until_s - self._at_s
        self._take_snapshots(until_s)
        self._update_congestion(until_s, span_s)
        completed_now = []
        for request in self.running:
            request.remaining_ms -= rate * span_s
            if request.remaining_ms <= NEGLIGIBLE_WORK_MS and rate:
                completed_now.append(request)
        if rate:
            self.busy_ms += 1000.0 * span_s * min(self.server_type.cores, len(self.running))
        self._at_s = until_s
        for request in completed_now:
            self._complete(request)
            progress.ended.append(request)
        self._start_queued(progress)

    def _complete(self, request: ServerRequest) -> None:
        self.running.remove(request)
        request.ended_s = self._at_s
        self.completed += 1
        service_ms = 1000.0 * (self._at_s - (request.started_s or self._at_s))
        self._latency_ms += (LATENCY_SMOOTHING if self._latency_ms else 1.0) * (service_ms - self._latency_ms)

    def _start_queued(self, progress: WorkProgress) -> None:
        while self.queued and len(self.running) < self.slots and not self._freezes:
            request = self.queued.popleft()
            if self.server_type.drops_expired and self._at_s > request.expires_s:
                request.expired = True
                progress.ended.append(request)
                continue
            request.started_s, request.remaining_ms = self._at_s, request.work_ms
            self.running.append(request)
            progress.started.append(request)

    def _take_snapshots(self, until_s: float) -> None:
        """Record the load at each report period up to `until_s`; delete snapshots that no report can use."""
        # After a long span only its last few snapshots can still be reported; the others are skipped.
        usable_snapshots = int(self._reports.delay_ms / self._reports.period_ms) + EXTRA_SNAPSHOTS
        skipped = max(0, int((until_s - self._next_snapshot_s) / self._period_s) - usable_snapshots)
        self._next_snapshot_s += skipped * self._period_s
        while self._next_snapshot_s <= until_s:
            number = self._snapshots[-1].number + 1 + skipped
            skipped = 0
            self._snapshots.append(
                LoadSnapshot(
                    at_s=self._next_snapshot_s,
                    number=number,
                    inflight=float(self.in_flight),
                    queue=float(len(self.queued)),
                    latency_ms=self._latency_ms,
                    util=min(1.0, len(self.running) / self.server_type.cores),
                )
            )
            self._next_snapshot_s += self._period_s
        reported_s = until_s - self._reports.delay_ms / 1000.0
        while len(self._snapshots) > EXTRA_SNAPSHOTS and self._snapshots[1].at_s <= reported_s:
            self._snapshots.popleft()

    def _update_congestion(self, until_s: float, span_s: float) -> None:
        server_type = self.server_type
        if not server_type.congestion_threshold:
            return
        decay = 1 - exp(-span_s / server_type.congestion_window_s)
        self._mean_in_flight += (self.in_flight - self._mean_in_flight) * decay
        if self.congested_since_s is None:
            if self._mean_in_flight > self._congestion_limit() and not self._was_congested:
                self.congested_since_s, self._was_congested = until_s, True
                self._below_exit_use_since_s = None
            return
        if len(self.running) / server_type.cores >= server_type.congestion_exit_use:
            self._below_exit_use_since_s = None
        elif self._below_exit_use_since_s is None:
            self._below_exit_use_since_s = until_s
        below_exit_use_since_s = self._below_exit_use_since_s
        has_recovered = (
            below_exit_use_since_s is not None
            and until_s - below_exit_use_since_s >= server_type.congestion_exit_s
        )
        if has_recovered or until_s - self.congested_since_s >= server_type.congestion_max_s:
            self.congested_since_s = None

    def _congestion_limit(self) -> float:
        cores = self.server_type.cores
        limit = cores + self.server_type.congestion_threshold * sqrt(cores)
        return min(limit, MAX_CONGESTION_THRESHOLD * (self.slots + self.queue_capacity))

    # Events. The caller has advanced the model to the time of the event before it calls these methods.

    def offer(self, request: ServerRequest) -> Admission:
        """Offer a request that has arrived completely; return whether the server accepted it."""
        if self._cold_since_s is not None and self._record_work_while_cold(
            request.arrived_s, request.work_ms
        ):
            self.crashed = True
            return Admission.CRASHED
        if len(self.running) >= self.slots and len(self.queued) >= self.queue_capacity:
            return Admission.FULL
        self.queued.append(request)
        return Admission.ACCEPTED

    def _record_work_while_cold(self, now_s: float, work_ms: float) -> bool:
        """Record work that arrives while the server warms up; return whether the work overloads the server.

        Work that the server rejects counts too. Once the server is warm, the record is cleared.
        """
        warmth = self.warmth(now_s)
        if warmth >= 1.0:
            self._cold_since_s = None
            self._recent_work.clear()
            return False
        self._recent_work.append(RecentWork(now_s, work_ms))
        self._recent_work_ms += work_ms
        while self._recent_work[0].at_s < now_s - self._crash_window_ms / 1000.0:
            self._recent_work_ms -= self._recent_work.popleft().work_ms
        capacity_ms = self.server_type.cores * self.server_type.speed * warmth * self._crash_window_ms
        return self._recent_work_ms > self._crash_multiple * capacity_ms

    def cancel(self, request: ServerRequest) -> bool:
        """Handle the end of a request's connection; return whether the request was dropped.

        A queued request is dropped if the server type cancels queued requests; a running one goes on.
        """
        cancels = self.server_type.cancellation == "queued"
        if request.started_s is None and cancels and request in self.queued:
            self.queued.remove(request)
            return True
        return False

    def freeze(self) -> None:
        """Stop all progress until `thaw` has been called as often as `freeze`."""
        self._freezes += 1

    def thaw(self) -> None:
        """End one freeze."""
        self._freezes -= 1

    def report(self, now_s: float) -> dict[str, float]:
        """Return the fields of a load report: the load as it was before the report delay, with noise."""
        reported_s = now_s - self._reports.delay_ms / 1000.0
        reported = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.at_s <= reported_s:
                reported = snapshot
        figures = {}
        for name in self._reports.fields:
            value = getattr(reported, name)
            quantile = uniform_draw(self._seed, "noise", self.name, reported.number, name)
            figures[name] = value * lognormal(1.0, self._reports.noise, quantile)
        return figures


class DeduplicationGroup:
    """The idempotency keys that a group of servers has started, which all of its servers know at once."""

    def __init__(self, window_ms: float) -> None:
        self._window_us = round(window_ms * 1000)
        self._first_start_us: dict[str, int] = {}  # start of the first run by key, oldest first

    def __len__(self) -> int:
        """Return the number of stored keys."""
        return len(self._first_start_us)

    def start(self, key: str, now_s: float) -> bool:
        """Record that a request with this key starts; return whether it is a repeat, whose effect is dropped.

        The deduplication window begins at the start of the key's first run. It is computed in whole
        microseconds, and its end is excluded.
        """
        now_us = round(now_s * 1e6)
        while self._first_start_us:
            oldest_key = next(iter(self._first_start_us))
            if now_us - self._first_start_us[oldest_key] < self._window_us:
                break
            del self._first_start_us[oldest_key]
        if key in self._first_start_us:
            return True
        self._first_start_us[key] = now_us
        return False
