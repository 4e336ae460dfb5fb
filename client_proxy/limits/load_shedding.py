"""Admission and load shedding for one instance, as a hook of its balancer.

It combines three parts: how congested endpoints are (`congestion.py`), how many requests may be in flight
(`concurrency_limit.py`, `pacing.py`), and which classes get that capacity (`priority.py`). While almost
nothing is queued at endpoints, no request is rejected for long: the window grows as long as it holds requests
back and the latency inflation is below the target.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence, Set
from dataclasses import replace
from random import Random

from client_proxy.api.events import EndpointState, ListedEndpoint, Outcome
from client_proxy.api.policy_hook import BalancerHook, PickContext
from client_proxy.api.settings import RequestClass, Settings
from client_proxy.balancer.pool import MIN_PROXIES_PER_ENDPOINT, MIN_SUBSET_SIZE
from client_proxy.limits.concurrency_limit import ConcurrencyWindow
from client_proxy.limits.congestion import CongestionEstimate
from client_proxy.limits.pacing import PacedConcurrency
from client_proxy.limits.priority import PriorityAdmission
from client_proxy.limits.ready_capacity import ReadyCapacity
from client_proxy.limits.settings import OverloadSettings

# Initial limit of all instances together, in requests in flight at each endpoint.
INITIAL_IN_FLIGHT_PER_ENDPOINT = 16.0
# The same with pacing, used where the limit above is less than one request for each instance: so many
# instances learn of congestion too late.
INITIAL_PACED_PER_ENDPOINT = 8.0
# Fraction of the target inflation that is used where there are more instances than endpoints and each uses a
# small part of these. Such instances notice congestion late and load endpoints unevenly, so that some
# endpoints are overloaded while the total is as stated. The cost: thirty instances that use four of nine
# endpoints each lose a fifth of what is served under congestion.
SUBSET_TARGET_SHARE = 0.7
MIN_SEEN_SHARE = 1 / 3  # share of the endpoints that one instance uses, from which on the whole target holds
MIN_TARGET_INFLATION = 1.3
# Multiple of the target: inflation that a rejection by an endpoint stands for.
REJECTION_TARGET_MULTIPLE = 2.0
# Fraction of the shortest latency objective: as many requests may wait as are sent in that time.
QUEUED_OBJECTIVE_SHARE = 0.5
NO_SHEDDING_SHARE = 0.999  # admitted share from which on it counts as no shedding


class LoadShedding(BalancerHook):
    """The hook that limits concurrency and rejects low-priority requests under congestion."""

    limits_concurrency = True

    def __init__(
        self,
        overload_settings: OverloadSettings,
        settings: Settings,
        seed: int = 0,
        ejected: Set[str] = frozenset(),
    ) -> None:
        """Create the hook.

        Args:
            overload_settings: what operators state.
            settings: those of the balancer: the number of instances, its classes, the load report's fields.
            seed: of the jitter of retry-after times.
            ejected: names of the endpoints that another hook ejects; the same set object for its life.
        """
        self._settings = overload_settings
        self._ejected, self._ejected_count = ejected, 0
        self._proxies = settings.proxies
        limits = settings.limits
        self._max_retry_after_ms = limits.max_retry_after_ms if limits.retry_after else 0.0
        self._random = Random(seed)
        self.admission = PriorityAdmission(
            {request_class.name: request_class.priority_weight for request_class in settings.classes},
            overload_settings.class_order,
            overload_settings.min_shares,
        )
        self.congestion = CongestionEstimate(
            settings.report_fields, REJECTION_TARGET_MULTIPLE * overload_settings.target_inflation
        )
        self.window: ConcurrencyWindow | PacedConcurrency = ConcurrencyWindow(
            overload_settings.window_settings()
        )
        self._shortest_objective_ms = min(
            (cls.latency_objective_ms for cls in settings.classes), default=1000.0
        )
        self._has_started = False
        self._ready = ReadyCapacity(settings.safety)
        self._capacity = 0.0  # of all endpoints by the previous list, in warmed-up endpoints
        self._has_inherited = False  # observations of endpoints that the first list may not have
        self._is_shedding = False
        self._log_lines: list[str] = []

    def inherit_from(self, predecessor: BalancerHook) -> None:
        """Continue with the window, congestion and demand of the previous policy's hook."""
        if not isinstance(predecessor, LoadShedding):
            return
        # The window is shared: attempts of earlier requests that are in flight count in it, and end in it.
        self.window = predecessor.window
        self.window.apply_settings(self._settings.window_settings())
        self.congestion = predecessor.congestion
        self.congestion.set_rejection_inflation(REJECTION_TARGET_MULTIPLE * self._settings.target_inflation)
        self.admission.inherit_from(predecessor.admission)
        self._has_started, self._capacity = predecessor._has_started, predecessor._capacity
        self._has_inherited = True
        self._is_shedding = predecessor._is_shedding

    # Observations

    def endpoints_listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Start the limit with the first list, and scale it by the capacity of each later one."""
        listed = {endpoint.name for endpoint in endpoints}
        for name in [name for name in self._ready if name not in listed]:
            self._forget(name)
        self.endpoints_changed(now_ms, endpoints, endpoints)

    def endpoints_changed(
        self, now_ms: float, changed: Sequence[ListedEndpoint], endpoints: Collection[ListedEndpoint]
    ) -> None:
        """Do the same by the changes of the list."""
        for endpoint in changed:
            if endpoint.state is EndpointState.READY:
                self._ready.update(endpoint.name, endpoint.started_ms)
            else:
                self._forget(endpoint.name)
        if self._has_inherited:
            self._has_inherited = False
            self.congestion.retain(set(self._ready))
        self._adapt_to_list(now_ms)

    def _forget(self, name: str) -> None:
        """Remove an endpoint that is not ready.

        The load of a draining endpoint says nothing about the endpoints that new requests go to.
        """
        self._ready.remove(name)
        self.congestion.forget(name)

    def _adapt_to_list(self, now_ms: float) -> None:
        ready_count = len(self._ready)
        if ready_count and not self._has_started:
            self._has_started = True
            if INITIAL_IN_FLIGHT_PER_ENDPOINT * ready_count < self._proxies:
                self.window = PacedConcurrency(
                    self._settings.window_settings(), INITIAL_PACED_PER_ENDPOINT * ready_count / self._proxies
                )
            else:
                window_settings = self._settings.window_settings()
                # Share of the endpoints that one instance uses.
                seen_share = max(MIN_SUBSET_SIZE / ready_count, MIN_PROXIES_PER_ENDPOINT / self._proxies)
                if self._proxies > ready_count and seen_share < MIN_SEEN_SHARE:
                    window_settings = replace(
                        window_settings,
                        target_inflation=max(
                            MIN_TARGET_INFLATION, SUBSET_TARGET_SHARE * window_settings.target_inflation
                        ),
                    )
                window = ConcurrencyWindow(window_settings, self._settings.target_inflation)
                window.start(INITIAL_IN_FLIGHT_PER_ENDPOINT * ready_count / self._proxies)
                self.window = window
        elif isinstance(self.window, PacedConcurrency):
            self.window.scale(INITIAL_PACED_PER_ENDPOINT * ready_count / self._proxies)
        self._update_capacity(now_ms)

    def _update_capacity(self, now_ms: float) -> None:
        """Scale the window by the change of the listed capacity, without ejected endpoints."""
        self._ejected_count = len(self._ejected)
        capacity = self._ready.total(now_ms)
        if 2 * len(self._ejected) < len(self._ready):
            # The load of ejected endpoints goes to the others now, and would overload them. When half or more
            # are ejected, it is this instance that is partitioned, and the endpoints left have capacity.
            capacity -= sum(self._ready.share_of(now_ms, name) for name in self._ejected)
        if capacity and self._capacity and isinstance(self.window, ConcurrencyWindow):
            self.window.scale(capacity / self._capacity)
        self._capacity = capacity or self._capacity

    def attempt_sent(self, now_ms: float, endpoint: ListedEndpoint, context: PickContext) -> None:
        """Count an attempt against the limit."""
        self.window.attempt_sent(now_ms, context.expected_work)
        self.congestion.attempt_sent(now_ms)

    def attempt_ended(
        self,
        now_ms: float,
        endpoint: ListedEndpoint,
        outcome: Outcome,
        slowness: float,
        in_time: bool,
        report: tuple[float, ...] | None,
        took_ms: float = 0.0,
        cls: RequestClass | None = None,
    ) -> None:
        """Adapt the limit to what the end of an attempt says about congestion."""
        self.window.attempt_ended(now_ms, took_ms if outcome is Outcome.OK else None)
        inflation = None
        if endpoint.name in self._ready:
            inflation = self.congestion.record_attempt(now_ms, endpoint.name, outcome, slowness, report)
        if inflation is not None:
            self.window.record_inflation(now_ms, inflation)
        if self._is_shedding != (self.window.share < NO_SHEDDING_SHARE):
            self._is_shedding = not self._is_shedding
            # The log lines are also messages to the simulator, so their texts are fixed.
            line = f"servers are full: {self.window.share:.2f} of the work is taken on"
            self._log_lines.append(line if self._is_shedding else "servers have room: all work is taken on")

    # Decisions

    def accepts_request(self, now_ms: float, context: PickContext) -> bool:
        """Return whether the request is within its class's share of the admitted work."""
        if len(self._ejected) != self._ejected_count:
            self._update_capacity(now_ms)
        class_name = context.request_class.name if context.request_class is not None else ""
        self.admission.request_arrived(class_name, context.expected_work)
        self.window.request_arrived(now_ms, context.expected_work)
        if self.admission.admits(class_name, self.window.share) or self.window.has_spare_credit(now_ms):
            return True
        self.window.request_rejected(now_ms)
        return False

    def may_wait(self, context: PickContext, pending: int) -> bool:
        """Return whether the pending queue is short enough to be sent in time.

        The last requests of a longer queue would be rejected after a wait instead of at once, and would
        meanwhile hold connections that other requests need.
        """
        max_pending = (
            1.0 + QUEUED_OBJECTIVE_SHARE * self._shortest_objective_ms * self.window.departures_per_ms
        )
        return pending < max_pending * (1.0 + self._class_rank(context))

    def _class_rank(self, context: PickContext) -> float:
        """Return 1 for the class of the highest priority, 0 for the lowest."""
        ranked = self.admission.ranked_classes()
        if context.request_class is None or len(ranked) < 2:
            return 0.0
        return 1.0 - ranked.index(context.request_class.name) / (len(ranked) - 1)

    def retry_after_ms(self, now_ms: float, context: PickContext) -> float:
        """Return a random time, so that clients that were rejected together don't retry together."""
        min_ms, max_ms = self._settings.retry_after_ms
        return (
            min(self._max_retry_after_ms, self._random.uniform(min_ms, max_ms))
            if self._max_retry_after_ms
            else 0.0
        )

    def class_order(self, default_order: Sequence[str]) -> Sequence[str]:
        """Return the classes, the highest priority first."""
        return self.admission.ranked_classes()

    def admits(self, now_ms: float, zone: str | None, context: PickContext) -> bool:
        """Return whether the limit over all endpoints has room; zones have no limit of their own."""
        if zone is not None:
            return True
        return not self.window.is_full(now_ms, self.window.borrowing_allowance(self._class_rank(context)))

    def take_log_lines(self) -> Sequence[str]:
        """Return a line for each begin and end of load shedding since the last call."""
        lines, self._log_lines = self._log_lines, []
        return lines
