"""How much one of very many instances may have under way, where its part is less than one request.

With 300 instances before servers that bear a hundred requests at once, one request under way at each is
three times too much, and whatever an instance hears of that it hears too late: reports are a second old,
and servers choke within one. What bounds a crowd without being told of it is the time that requests spend
under way. So the figure here is a *duty*: how many requests may be under way in the mean. It pays in
request-milliseconds, each request under way spends one a millisecond, and the next goes out once that is
paid for. Where answers take longer, fewer go out, at once and by itself; whatever the load, all instances
together have no more under way in the mean than the sum of their duties, but for what they saved, what the
worthiest class borrows and what is forgiven of a long debt. It is the pacing of windows below one packet of
Swift (Kumar et al., SIGCOMM 2020) made to keep a mean in place of a gap, so that a request which comes after
a rest finds its place paid for.

Servers' reports move the duty slowly: up while it binds and they have room, down in proportion to the
excess of their inflation (`congestion.py`). From what it lets out, and what was asked for, follows the share
of the work that is taken on at all.
"""

from __future__ import annotations

from math import exp

from client_proxy.limits.concurrency_limit import (
    DEFAULT_LATENCY_MS,
    IDLE_INFLATION,
    MAX_CUT_SPAN_S,
    MAX_GROWTH_SPAN_S,
    MIN_SIZE_SHARE_KEPT,
    SILENCE_BEFORE_RETRY_MS,
    UNUSED_DECAY_S,
    WindowSettings,
)

TARGET_SHARE = 0.8  # of the target inflation: each instance hears of congestion late
# Credit is counted in rounds: one is what a request of the usual latency takes.
SAVED_ROUNDS = 3.0  # saved up at most
INITIAL_CREDIT_ROUNDS = 0.0  # a fleet that starts at once begins with one request each
DEBT_ROUNDS = 3.0  # at most: one request at a hung endpoint must not keep the instance from the others
SPARE_CREDIT_ROUNDS = 1.0  # of credit, from which on no request is rejected for its class's share
REMAINING_LATENCY_SHARE = 0.5  # of the usual latency, that a request in flight still takes in the mean
CUT_RATE_SHARE = 0.4  # of the stated cut per second
# A load report is up to a second old, and says that endpoints are idle in the moment in which a fleet starts.
IDLE_FOR_MS = 2000.0  # of idle endpoints, after which requests need not be paid for
NOT_IDLE_INFLATION = 1.35  # above it endpoints are not idle
MAX_UNPACED_IN_FLIGHT = 2.0  # requests that then need not be paid for
INITIAL_SIZE_GROWTH_PER_S = 1.0  # of the initial size
IDLE_GROWTH_PER_S = 1.0  # of itself, while endpoints are idle
KEPT_USE_MULTIPLE = 2.0  # of the mean use, kept for bursts
SMOOTHING_MS = 4000.0  # time constant of what arrives, what is sent and what is in flight
MIN_RECENT_REQUESTS = 6.0  # arrived within that time, from which on a share is computed
BORROWED_ROUNDS = 1.0  # by which the class of the highest priority may run into debt


class PacedConcurrency:
    """Of a sparse instance. It stands where others have a `Window`."""

    def __init__(self, stated: WindowSettings, first: float) -> None:
        """`first`: the requests under way in the mean that it begins with, and keeps when little is asked."""
        self._settings = stated
        self._initial_size = first
        self.size = first
        self.in_flight = 0
        self.latency_ms = 0.0
        self._credit_ms = INITIAL_CREDIT_ROUNDS * DEFAULT_LATENCY_MS
        self._advanced_ms: float | None = None
        self._recorded_ms = 0.0
        self._was_binding = False
        self._idle_since_ms: float | None = None
        self._recent_requests = self._recent_work = self._recent_sent_work = self._recent_request_ms = (
            0.0  # within the memory
        )

    def apply_settings(self, stated: WindowSettings) -> None:
        """Operators have changed it; its size goes on from here."""
        self._settings = stated

    @property
    def usual_latency_ms(self) -> float:
        """What a request takes under way, as far as is known."""
        return self.latency_ms or DEFAULT_LATENCY_MS

    @property
    def departures_per_ms(self) -> float:
        """Requests that go out."""
        return self.size / self.usual_latency_ms

    @property
    def mean_in_flight(self) -> float:
        """Requests under way in the mean, lately."""
        return self._recent_request_ms / SMOOTHING_MS

    @property
    def share(self) -> float:
        """Of the work offered, what may be taken on: what went out of it, scaled to the whole duty."""
        if (
            self._is_open()
            or self._recent_requests < MIN_RECENT_REQUESTS
            or not self._recent_work
            or not self._recent_request_ms
        ):
            return 1.0
        return min(1.0, self.size / self.mean_in_flight * self._recent_sent_work / self._recent_work)

    def scale(self, first: float) -> None:
        """Scale the limit to a new initial size, when endpoints are listed or gone.

        An instance that knew of one endpoint first and of the others a moment later would else keep a ninth
        of its part. It is scaled in proportion, so that changes of the list under congestion undo no cut.
        """
        if first > 0:
            self.size *= first / self._initial_size
            self._initial_size = first

    def borrowable(self, ahead: float) -> float:
        """How far the worthier may go beyond it. `ahead`: 1 for the worthiest class, 0 for the last."""
        return ahead * BORROWED_ROUNDS

    def _is_open(self) -> bool:
        """Have servers idled for long?"""
        since_ms = self._idle_since_ms
        return since_ms is not None and self._recorded_ms - since_ms >= IDLE_FOR_MS

    def _advance(self, now_ms: float) -> None:
        span_ms = 0.0 if self._advanced_ms is None else max(0.0, now_ms - self._advanced_ms)
        self._advanced_ms = now_ms
        if not span_ms:
            return
        self._credit_ms += (self.size - self.in_flight) * span_ms
        self._bound_credit()
        left = exp(-span_ms / SMOOTHING_MS)
        self._recent_request_ms = self._recent_request_ms * left + self.in_flight * SMOOTHING_MS * (
            1.0 - left
        )
        self._recent_requests *= left
        self._recent_work *= left
        self._recent_sent_work *= left

    def _bound_credit(self) -> None:
        """Keep the credit, or the debt, to what a few requests of the usual latency take."""
        most = max(SAVED_ROUNDS, self.size) * self.usual_latency_ms
        self._credit_ms = max(-DEBT_ROUNDS * self.usual_latency_ms, min(most, self._credit_ms))

    def request_arrived(self, now_ms: float, work: float) -> None:
        """Count a request that has arrived."""
        self._advance(now_ms)
        self._recent_requests += 1.0
        self._recent_work += work

    def is_full(self, now_ms: float, more: float = 0.0) -> bool:
        """Is there no room for one more? `more`: usual requests' times beyond what is paid for."""
        self._advance(now_ms)
        promised_ms = (REMAINING_LATENCY_SHARE * self.in_flight - more) * self.usual_latency_ms
        full = self._credit_ms < promised_ms
        if full and self._is_open():
            full = self.in_flight >= MAX_UNPACED_IN_FLIGHT + more
        self._was_binding = self._was_binding or full
        return full

    def has_spare_credit(self, now_ms: float) -> bool:
        """Whether so much credit is left that a request may be sent whatever its class.

        A share is computed from few requests, and would reject work while the limit is not used.
        """
        self._advance(now_ms)
        return (
            self._credit_ms
            >= (SPARE_CREDIT_ROUNDS + REMAINING_LATENCY_SHARE * self.in_flight) * self.usual_latency_ms
        )

    def request_rejected(self, now_ms: float) -> None:
        """Work was refused for the share's sake."""
        self._was_binding = True
        if not self.in_flight and now_ms - self._recorded_ms > SILENCE_BEFORE_RETRY_MS:
            # An instance that sends nothing gets no answers, and would never learn of new capacity.
            self.record_inflation(now_ms, 1.0)

    def attempt_sent(self, now_ms: float, work: float) -> None:
        """Count an attempt that goes out."""
        self._advance(now_ms)
        self._recent_sent_work += work
        self.in_flight += 1

    def attempt_ended(self, now_ms: float, took_ms: float | None = None) -> None:
        """`took_ms`: of an attempt that was answered."""
        self._advance(now_ms)
        self.in_flight -= 1
        if took_ms is not None:
            self.latency_ms += (0.1 if self.latency_ms else 1.0) * (took_ms - self.latency_ms)
            # The bound follows the usual latency at once. Applied at the next question alone, the time until
            # then would be paid off from the debt of slower times: a request that is paid for is rejected.
            self._bound_credit()

    def record_inflation(self, now_ms: float, inflation: float) -> None:
        """Adapt to the inflation of requests' time at the servers, as it is now."""
        self._advance(now_ms)
        span_s = max(0.0, now_ms - self._recorded_ms) / 1000.0
        self._recorded_ms = now_ms
        if inflation > NOT_IDLE_INFLATION:
            self._idle_since_ms = None
        elif inflation <= IDLE_INFLATION and self._idle_since_ms is None:
            self._idle_since_ms = now_ms
        room = 1.0 - inflation / (TARGET_SHARE * self._settings.target_inflation)
        if room < 0:
            cut = CUT_RATE_SHARE * self._settings.cut_per_s * min(MAX_CUT_SPAN_S, span_s)
            self.size *= max(MIN_SIZE_SHARE_KEPT, exp(cut * room))
        elif self._was_binding:
            growth = INITIAL_SIZE_GROWTH_PER_S * self._initial_size
            if inflation <= IDLE_INFLATION:
                growth += IDLE_GROWTH_PER_S * self.size
            self.size += (
                min(MAX_GROWTH_SPAN_S, span_s) * min(1.0, 2.0 * room) * growth * self._settings.growth_per_s
            )
        else:
            # A limit much larger than what is used protects nothing when it is needed.
            most = max(self._initial_size, KEPT_USE_MULTIPLE * self.mean_in_flight)
            if self.size > most:
                self.size -= min(1.0, span_s / UNUSED_DECAY_S) * (self.size - most)
        self.size = max(self._settings.min_size * self._initial_size, self.size)
        self._was_binding = False
