"""Paced concurrency: the limit of one of very many instances, whose part is less than one request in flight.

With 300 instances that share endpoints which can run a hundred requests at once, one request in flight for
each instance is three times too much, and an instance learns of that too late: load reports are up to a
second old, and endpoints are overloaded within a second. The time that requests spend in flight limits the
load without such reports. So the limit here is the mean number of requests in flight. It earns credit in
request-milliseconds, each request in flight spends one request-millisecond each millisecond, and the next
request is sent once there is credit for it. Where answers take longer, fewer requests are sent, at once and
without any report. Whatever the load, all instances together have no more requests in flight in the mean than
the sum of their limits, except for saved credit, what the class of the highest priority borrows, and debt
beyond its bound, which is forgiven. This is the pacing of windows below one packet in Swift (Kumar et al.,
SIGCOMM 2020), changed to keep a mean instead of a gap, so that a request that comes after a pause is sent at
once.

Load reports move the limit slowly: up while it holds requests back and endpoints have capacity, down in
proportion to the excess of the latency inflation (`congestion.py`). The share of the work that is admitted
follows from the work that was sent and the work that was offered.
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

TARGET_SHARE = 0.8  # fraction of the target inflation that is used: each instance learns of congestion late
# Credit is counted in rounds: one round is the credit that a request of the usual latency spends.
SAVED_ROUNDS = 3.0  # rounds of credit that may be saved
INITIAL_CREDIT_ROUNDS = 0.0  # rounds; instances that start together begin with one request each
DEBT_ROUNDS = 3.0  # most rounds of debt: one request at a hung endpoint must not block the others for long
# With at least this many rounds of credit, no request is rejected because its class has used up its share.
SPARE_CREDIT_ROUNDS = 1.0
# Mean fraction of the usual latency that a request in flight still takes.
REMAINING_LATENCY_SHARE = 0.5
CUT_RATE_SHARE = 0.4  # fraction of the stated cut per second
# ms for which endpoints must be idle until requests need no credit. A load report is up to a second old, and
# says that endpoints are idle at the moment when a fleet starts.
IDLE_FOR_MS = 2000.0
NOT_IDLE_INFLATION = 1.35  # above this latency inflation endpoints are not idle
MAX_UNPACED_IN_FLIGHT = 2.0  # requests in flight that need no credit while endpoints are idle
INITIAL_SIZE_GROWTH_PER_S = 1.0  # growth per second, as a multiple of the initial size
IDLE_GROWTH_PER_S = 1.0  # additional growth per second while endpoints are idle, as a multiple of the size
KEPT_USE_MULTIPLE = 2.0  # multiple of the mean use that is kept for bursts
SMOOTHING_MS = 4000.0  # ms; time constant of the work that arrives, is sent and is in flight
MIN_RECENT_REQUESTS = 6.0  # requests that arrived within that time, from which on a share is computed
BORROWED_ROUNDS = 1.0  # rounds of debt that the class of the highest priority may borrow


class PacedConcurrency:
    """The limit of an instance whose part is below one request; it replaces a `ConcurrencyWindow`."""

    def __init__(self, settings: WindowSettings, initial_size: float) -> None:
        """Create the limit.

        Args:
            settings: how the limit grows and shrinks.
            initial_size: mean requests in flight to begin with, and to return to when little is requested.
        """
        self._settings = settings
        self._initial_size = initial_size
        self.size = initial_size
        self.in_flight = 0
        self.latency_ms = 0.0
        self._credit_ms = INITIAL_CREDIT_ROUNDS * DEFAULT_LATENCY_MS
        self._advanced_ms: float | None = None
        self._recorded_ms = 0.0
        self._was_binding = False
        self._idle_since_ms: float | None = None
        # Decayed sums, with the time constant SMOOTHING_MS.
        self._recent_requests = self._recent_work = self._recent_sent_work = self._recent_request_ms = 0.0

    def apply_settings(self, settings: WindowSettings) -> None:
        """Take over changed settings; the size is kept and adapted further."""
        self._settings = settings

    @property
    def usual_latency_ms(self) -> float:
        """Smoothed latency of an attempt; a default until one was answered."""
        return self.latency_ms or DEFAULT_LATENCY_MS

    @property
    def departures_per_ms(self) -> float:
        """Rate at which requests are sent when the limit is used up."""
        return self.size / self.usual_latency_ms

    @property
    def mean_in_flight(self) -> float:
        """Mean number of requests in flight lately."""
        return self._recent_request_ms / SMOOTHING_MS

    @property
    def share(self) -> float:
        """Share of the offered work that may be admitted: what was sent of it, scaled to the whole limit."""
        if (
            self._needs_no_credit()
            or self._recent_requests < MIN_RECENT_REQUESTS
            or not self._recent_work
            or not self._recent_request_ms
        ):
            return 1.0
        return min(1.0, self.size / self.mean_in_flight * self._recent_sent_work / self._recent_work)

    def scale(self, initial_size: float) -> None:
        """Scale the limit to a new initial size, when endpoints are listed or gone.

        Otherwise an instance that learns of one of nine endpoints first, and of the others a moment later,
        would keep a ninth of its part. The size is scaled in proportion, so that a change of the list under
        congestion doesn't undo a cut.
        """
        if initial_size > 0:
            self.size *= initial_size / self._initial_size
            self._initial_size = initial_size

    def borrowing_allowance(self, rank: float) -> float:
        """Return the rounds of debt that a class may run into.

        Args:
            rank: 1 for the class of the highest priority, 0 for the lowest.
        """
        return rank * BORROWED_ROUNDS

    def _needs_no_credit(self) -> bool:
        """Return whether endpoints have been idle for long, so that requests need no credit."""
        since_ms = self._idle_since_ms
        return since_ms is not None and self._recorded_ms - since_ms >= IDLE_FOR_MS

    def _advance(self, now_ms: float) -> None:
        """Bring the credit and the decayed sums up to the present."""
        span_ms = 0.0 if self._advanced_ms is None else max(0.0, now_ms - self._advanced_ms)
        self._advanced_ms = now_ms
        if not span_ms:
            return
        self._credit_ms += (self.size - self.in_flight) * span_ms
        self._bound_credit()
        decay = exp(-span_ms / SMOOTHING_MS)
        self._recent_request_ms = self._recent_request_ms * decay + self.in_flight * SMOOTHING_MS * (
            1.0 - decay
        )
        self._recent_requests *= decay
        self._recent_work *= decay
        self._recent_sent_work *= decay

    def _bound_credit(self) -> None:
        """Limit the credit, or the debt, to what a few requests of the usual latency spend."""
        max_credit_ms = max(SAVED_ROUNDS, self.size) * self.usual_latency_ms
        self._credit_ms = max(-DEBT_ROUNDS * self.usual_latency_ms, min(max_credit_ms, self._credit_ms))

    def request_arrived(self, now_ms: float, work: float) -> None:
        """Count a request that has arrived."""
        self._advance(now_ms)
        self._recent_requests += 1.0
        self._recent_work += work

    def is_full(self, now_ms: float, borrowed: float = 0.0) -> bool:
        """Return whether there is no credit for one more request.

        Args:
            now_ms: the time.
            borrowed: rounds by which the credit may be exceeded.
        """
        self._advance(now_ms)
        needed_ms = (REMAINING_LATENCY_SHARE * self.in_flight - borrowed) * self.usual_latency_ms
        full = self._credit_ms < needed_ms
        if full and self._needs_no_credit():
            full = self.in_flight >= MAX_UNPACED_IN_FLIGHT + borrowed
        self._was_binding = self._was_binding or full
        return full

    def has_spare_credit(self, now_ms: float) -> bool:
        """Return whether so much credit is left that a request may be sent whatever its class.

        The share is computed from few requests, and would reject work while the limit is not used up.
        """
        self._advance(now_ms)
        return (
            self._credit_ms
            >= (SPARE_CREDIT_ROUNDS + REMAINING_LATENCY_SHARE * self.in_flight) * self.usual_latency_ms
        )

    def request_rejected(self, now_ms: float) -> None:
        """Count a request that was rejected because the admitted share is below 1."""
        self._was_binding = True
        if not self.in_flight and now_ms - self._recorded_ms > SILENCE_BEFORE_RETRY_MS:
            # An instance that sends nothing gets no answers, and would never learn that there is capacity.
            self.record_inflation(now_ms, 1.0)

    def attempt_sent(self, now_ms: float, work: float) -> None:
        """Count an attempt that goes out."""
        self._advance(now_ms)
        self._recent_sent_work += work
        self.in_flight += 1

    def attempt_ended(self, now_ms: float, took_ms: float | None = None) -> None:
        """Count an attempt that has ended; `took_ms` is its latency if it was answered."""
        self._advance(now_ms)
        self.in_flight -= 1
        if took_ms is not None:
            self.latency_ms += (0.1 if self.latency_ms else 1.0) * (took_ms - self.latency_ms)
            # The bound of the debt follows the usual latency at once. If it were applied only at the next
            # request, the time until then would pay off a debt bounded by an earlier, higher latency, and a
            # request for which there is credit would be rejected.
            self._bound_credit()

    def record_inflation(self, now_ms: float, inflation: float) -> None:
        """Adapt the limit to the current latency inflation of the endpoints."""
        self._advance(now_ms)
        span_s = max(0.0, now_ms - self._recorded_ms) / 1000.0
        self._recorded_ms = now_ms
        if inflation > NOT_IDLE_INFLATION:
            self._idle_since_ms = None
        elif inflation <= IDLE_INFLATION and self._idle_since_ms is None:
            self._idle_since_ms = now_ms
        headroom = 1.0 - inflation / (TARGET_SHARE * self._settings.target_inflation)
        if headroom < 0:
            cut = CUT_RATE_SHARE * self._settings.cut_per_s * min(MAX_CUT_SPAN_S, span_s)
            self.size *= max(MIN_SIZE_SHARE_KEPT, exp(cut * headroom))
        elif self._was_binding:
            growth = INITIAL_SIZE_GROWTH_PER_S * self._initial_size
            if inflation <= IDLE_INFLATION:
                growth += IDLE_GROWTH_PER_S * self.size
            self.size += (
                min(MAX_GROWTH_SPAN_S, span_s)
                * min(1.0, 2.0 * headroom)
                * growth
                * self._settings.growth_per_s
            )
        else:
            # A limit much larger than the use would not limit anything when congestion begins.
            max_kept = max(self._initial_size, KEPT_USE_MULTIPLE * self.mean_in_flight)
            if self.size > max_kept:
                self.size -= min(1.0, span_s / UNUSED_DECAY_S) * (self.size - max_kept)
        self.size = max(self._settings.min_size * self._initial_size, self.size)
        self._was_binding = False
