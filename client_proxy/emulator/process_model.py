"""A model of one server's process: cores, slots, queue, warming up and congestion, without I/O or a clock.

The caller gives the times, in seconds that never run backwards; in between the model computes what happened,
event by event, so that a completion is exact however seldom it is asked. Work is in milliseconds on a core
of speed 1.
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
"""A server that warms up by time does so in so many steps."""
STEP_TOLERANCE = 1e-6
CONGESTION_CHECK_S = 0.1
"""How often a congested server is checked between events."""
MAX_CONGESTION_THRESHOLD = 0.7
"""Of slots and queue together: a server is congested at the latest when so much of them is in use."""
NEGLIGIBLE_WORK_MS = 1e-7
"""Less work than this is a rounding error."""
LATENCY_SMOOTHING = 0.1
LATE_SNAPSHOTS = 2
"""Snapshots that are kept beside those of the reports' delay."""


class Admission(Enum):
    """What became of a request that was offered."""

    ACCEPTED = "accepted"
    FULL = "full"
    CRASHED = "crashed"  # the server was cold, and is down from now on


@dataclass(slots=True, eq=False)
class ServerRequest:
    """A request at a server.

    Attributes:
        owner: the caller's own; the model never reads it.
        expired: dropped before it started, as its time was up.
    """

    owner: Any
    work_ms: float
    arrived_s: float
    expires_s: float = float("inf")
    remaining_ms: float = 0.0
    started_s: float | None = None
    ended_s: float | None = None
    expired: bool = False


@dataclass(slots=True)
class LoadSnapshot:
    """The load at one time; its figures are named as in load reports."""

    at_s: float
    number: int
    inflight: float
    queue: float
    latency_ms: float
    util: float


@dataclass(frozen=True, slots=True)
class RecentWork:
    """Work that arrived at a cold server."""

    at_s: float
    work_ms: float


@dataclass(slots=True)
class WorkProgress:
    """What happened up to the time asked for, in order."""

    started: list[ServerRequest] = field(default_factory=list)
    ended: list[ServerRequest] = field(default_factory=list)


class ProcessModel:
    """The model. `advance` brings it up to a time; `next_event_s` says when to do so next.

    Attributes:
        slowdown: by a fault: work takes so many times as long.
        crashed: it was overloaded while cold.
        congested_since_s: None while it is not congested.
        busy_ms: core time that it has used.
        completed: number of requests that it has run.
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
        self._mean_in_flight = 0.0  # over the congestion window
        self._relieved_since_s: float | None = None
        self._was_congested = False
        self._latency_ms = 0.0
        self._reports, self._seed = reports, seed
        self._period_s = reports.period_ms / 1000.0
        self._next_snapshot_s = now_s + self._period_s * uniform_draw(seed, "phase", name)
        self._snapshots: deque[LoadSnapshot] = deque([LoadSnapshot(now_s, 0, 0.0, 0.0, 0.0, 0.0)])

    # State

    @property
    def in_flight(self) -> int:
        """The number of requests that run or wait."""
        return len(self.running) + len(self.queued)

    @property
    def frozen(self) -> bool:
        """Whether it stands still."""
        return self._freezes > 0

    def warmth(self, now_s: float) -> float:
        """Return the share of its full capacity that it has."""
        if self._cold_since_s is None:
            return 1.0
        server_type = self.server_type
        if server_type.warm_up_requests:
            progress = self.completed / server_type.warm_up_requests
        elif server_type.warm_up_s:
            # In steps, as its speed must not change between two events.
            elapsed = (now_s - self._cold_since_s) / server_type.warm_up_s
            progress = int(elapsed * WARM_UP_STEPS + STEP_TOLERANCE) / WARM_UP_STEPS
        else:
            progress = 1.0
        cold_capacity = server_type.cold_capacity
        return min(1.0, cold_capacity + (1 - cold_capacity) * min(1.0, progress))

    def cold(self, now_s: float) -> bool:
        """Return whether it is still warming up."""
        return self.warmth(now_s) < 1.0

    def speed(self, now_s: float) -> float:
        """Return the speed of one core, as a multiple of the reference core's."""
        speed = self.server_type.speed * self.warmth(now_s) / self.slowdown
        return speed / self.server_type.congestion_slowdown if self.congested_since_s is not None else speed

    def _work_rate(self, now_s: float) -> float:
        """Return the work done on each running job, in milliseconds a second."""
        if self._freezes or not self.running:
            return 0.0
        return 1000.0 * self.speed(now_s) * min(1.0, self.server_type.cores / len(self.running))

    # Time

    def next_event_s(self) -> float | None:
        """Return when the next job ends or the speed changes; None if nothing happens by itself."""
        times = []
        rate = self._work_rate(self._at_s)
        if rate > 0:
            times.append(self._at_s + min(job.remaining_ms for job in self.running) / rate)
        warm_up_step_s = self._next_warm_up_step_s()
        if warm_up_step_s is not None:
            times.append(warm_up_step_s)
        server_type = self.server_type
        may_congest = server_type.congestion_threshold and self.in_flight > server_type.cores
        if self.congested_since_s is not None or may_congest:
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
        """Compute what happened up to `now_s`."""
        progress = WorkProgress()
        self._start_jobs(progress)
        while self._at_s < now_s:
            event_s = self.next_event_s()
            to_s = now_s if event_s is None else min(now_s, event_s)
            self._advance_step(to_s, progress)
        return progress

    def _advance_step(self, to_s: float, progress: WorkProgress) -> None:
        """Advance over a span in which nothing starts or ends before its end."""
        rate, span_s = self._work_rate(self._at_s), to_s - self._at_s
        self._take_snapshots(to_s)
        self._update_congestion(to_s, span_s)
        done = []
        for job in self.running:
            job.remaining_ms -= rate * span_s
            if job.remaining_ms <= NEGLIGIBLE_WORK_MS and rate:
                done.append(job)
        if rate:
            self.busy_ms += 1000.0 * span_s * min(self.server_type.cores, len(self.running))
        self._at_s = to_s
        for job in done:
            self._complete(job)
            progress.ended.append(job)
        self._start_jobs(progress)

    def _complete(self, job: ServerRequest) -> None:
        self.running.remove(job)
        job.ended_s = self._at_s
        self.completed += 1
        service_ms = 1000.0 * (self._at_s - (job.started_s or self._at_s))
        self._latency_ms += (LATENCY_SMOOTHING if self._latency_ms else 1.0) * (service_ms - self._latency_ms)

    def _start_jobs(self, progress: WorkProgress) -> None:
        while self.queued and len(self.running) < self.slots and not self._freezes:
            job = self.queued.popleft()
            if self.server_type.drops_expired and self._at_s > job.expires_s:
                job.expired = True
                progress.ended.append(job)
                continue
            job.started_s, job.remaining_ms = self._at_s, job.work_ms
            self.running.append(job)
            progress.started.append(job)

    def _take_snapshots(self, to_s: float) -> None:
        """Record the load at each report period up to `to_s`, and forget what no report can use."""
        # Of a long span only the last few snapshots can still be reported.
        usable = int(self._reports.delay_ms / self._reports.period_ms) + LATE_SNAPSHOTS
        skipped = max(0, int((to_s - self._next_snapshot_s) / self._period_s) - usable)
        self._next_snapshot_s += skipped * self._period_s
        while self._next_snapshot_s <= to_s:
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
        reported_s = to_s - self._reports.delay_ms / 1000.0
        while len(self._snapshots) > LATE_SNAPSHOTS and self._snapshots[1].at_s <= reported_s:
            self._snapshots.popleft()

    def _update_congestion(self, to_s: float, span_s: float) -> None:
        server_type = self.server_type
        if not server_type.congestion_threshold:
            return
        decay = 1 - exp(-span_s / server_type.congestion_window_s)
        self._mean_in_flight += (self.in_flight - self._mean_in_flight) * decay
        if self.congested_since_s is None:
            if self._mean_in_flight > self._congestion_limit() and not self._was_congested:
                self.congested_since_s, self._was_congested = to_s, True
                self._relieved_since_s = None
            return
        if len(self.running) / server_type.cores >= server_type.congestion_exit_use:
            self._relieved_since_s = None
        elif self._relieved_since_s is None:
            self._relieved_since_s = to_s
        relieved_since_s = self._relieved_since_s
        relieved = relieved_since_s is not None and to_s - relieved_since_s >= server_type.congestion_exit_s
        if relieved or to_s - self.congested_since_s >= server_type.congestion_max_s:
            self.congested_since_s = None

    def _congestion_limit(self) -> float:
        cores = self.server_type.cores
        limit = cores + self.server_type.congestion_threshold * sqrt(cores)
        return min(limit, MAX_CONGESTION_THRESHOLD * (self.slots + self.queue_capacity))

    # Events: the caller advances the model to the same time first

    def offer(self, job: ServerRequest) -> Admission:
        """Offer a request that has arrived completely."""
        if self._cold_since_s is not None and self._is_overloaded_while_cold(job.arrived_s, job.work_ms):
            self.crashed = True
            return Admission.CRASHED
        if len(self.running) >= self.slots and len(self.queued) >= self.queue_capacity:
            return Admission.FULL
        self.queued.append(job)
        return Admission.ACCEPTED

    def _is_overloaded_while_cold(self, now_s: float, work_ms: float) -> bool:
        """Count work that arrives at the cold server, also what it rejects; return whether it is too much."""
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

    def cancel(self, job: ServerRequest) -> bool:
        """Handle the end of a job's connection; return whether the job was dropped.

        Queued work is dropped if the server type does so; running work goes on.
        """
        cancels = self.server_type.cancellation == "queued"
        if job.started_s is None and cancels and job in self.queued:
            self.queued.remove(job)
            return True
        return False

    def freeze(self) -> None:
        """Stand still until as many calls of `thaw`."""
        self._freezes += 1

    def thaw(self) -> None:
        """End one freeze."""
        self._freezes -= 1

    def report(self, now_s: float) -> dict[str, float]:
        """Return the figures of a load report: late, and with noise."""
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
    """Servers that drop repeats of an idempotency key: what one has started, all of them know at once."""

    def __init__(self, window_ms: float) -> None:
        self._window_us = round(window_ms * 1000)
        self._first_start_us: dict[str, int] = {}  # by key, oldest first

    def __len__(self) -> int:
        """Return the number of keys that are remembered."""
        return len(self._first_start_us)

    def start(self, key: str, now_s: float) -> bool:
        """Record that a run of this key starts; return whether it is a repeat, whose effect is dropped.

        The window is counted from the start of the first run, in whole microseconds, its end excluded.
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
