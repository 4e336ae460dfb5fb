"""Routes requests over zones by priority levels, spillover and recovery ramps.

A `LocalityRouter` is the hook of one balancer and knows only what that balancer observes; instances don't
communicate. Each instance keeps to its own part of a limit, so that all together stay within it.
"""

from __future__ import annotations

from collections.abc import Sequence

from client_proxy.api.events import ListedEndpoint, Outcome
from client_proxy.api.policy_hook import BalancerHook, PickContext
from client_proxy.api.settings import Idempotency, RequestClass, Settings
from client_proxy.limits.congestion import CongestionEstimate
from client_proxy.routing.locality.capacity import CapacityEstimator
from client_proxy.routing.locality.peak_rate import RATE_WINDOW_MS
from client_proxy.routing.locality.rate_limit import RateLimit
from client_proxy.routing.locality.recovery_ramp import RecoveryRamp
from client_proxy.routing.locality.spillover import Spillover
from client_proxy.routing.locality.zone_state import Zone, ZoneEndpoint, ZoneState, ZoneView
from client_proxy.routing.settings import LocalitySettings

# Fraction of its latency objective for which a request waits for the rate limit of a recovering zone.
LIMIT_WAIT_SHARE = 0.25
EARLY_UNANSWERED = 2  # consecutive unanswered attempts from which on non-idempotent requests avoid a zone
LOSS_SMOOTHING = 0.05  # gain of each attempt: about the last twenty count
ANSWERING_OUTAGE_FACTOR = 3  # factor on the unanswered attempts needed while some endpoints seem healthy
UNANSWERED = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)
NO_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.UNUSABLE)
REJECTION_INFLATION = 4.0  # latency inflation that a rejection by a full endpoint stands for
MAX_EMPTY_ZONES = 16  # zones without endpoints whose capacity is remembered


class LocalityRouter(BalancerHook):
    """The hook that orders zones and limits what each zone gets.

    Args:
        locality_settings: what operators state.
        settings: those of the balancer: its own zone, the number of instances, its classes.
    """

    orders_zones = True

    def __init__(self, locality_settings: LocalitySettings, settings: Settings) -> None:
        self._locality_settings = locality_settings
        self._home = settings.zone
        self._report_fields = settings.report_fields
        weights = sorted((cls.priority_weight for cls in settings.classes), reverse=True)
        self._max_priority_weight = weights[0] if weights else 0.0
        self._has_idempotent_class = any(
            cls.idempotency is not Idempotency.NOT_IDEMPOTENT for cls in settings.classes
        )
        self.zones: dict[str, Zone] = {}
        self._levels: tuple[tuple[str, ...], ...] = ()
        self._estimator = CapacityEstimator(settings.proxies, settings.report_fields)
        self._ramp = RecoveryRamp(locality_settings, self._estimator, settings.proxies)
        self._spillover = Spillover(locality_settings, self._estimator, settings.zone, settings.proxies)
        self._log_lines: list[str] = []

    def inherit_from(self, predecessor: BalancerHook) -> None:
        """Continue with the zones of the previous policy's hook: their capacities, states and limits."""
        if isinstance(predecessor, LocalityRouter):
            self.zones = predecessor.zones
            self._spillover.inherit_from(predecessor._spillover)

    # The endpoint list

    def endpoints_listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Update the zones and their states by the endpoint list."""
        occupied = {zone.name for zone in self.zones.values() if zone.endpoints}
        for zone in self.zones.values():
            if zone.state is ZoneState.UP and zone.endpoints:
                # The capacity stays known if the zone's endpoints are no longer listed.
                zone.remembered_capacity_per_s = self.capacity_per_s(now_ms, zone)
        self._drop_unlisted({entry.name: entry for entry in endpoints})
        restarted = self._update_endpoints(now_ms, endpoints)
        for zone in self.zones.values():
            if not zone.ready_weight():
                if zone.state is not ZoneState.UNAVAILABLE and (zone.endpoints or zone.name in occupied):
                    self._mark_unavailable(now_ms, zone, "no server of it is listed as ready")
            elif zone.state is ZoneState.UNAVAILABLE and (zone.name in restarted or not zone.is_unresponsive):
                self._begin_recovery(now_ms, zone, "discovery lists servers of it again")
        self._forget_empty_zones(now_ms)
        self._levels = self._locality_settings.levels_of(self._home, tuple(sorted(self.zones)))

    def _drop_unlisted(self, entries: dict[str, ListedEndpoint]) -> None:
        for zone in self.zones.values():
            unlisted = [
                endpoint_name
                for endpoint_name in zone.endpoints
                if endpoint_name not in entries or entries[endpoint_name].zone != zone.name
            ]
            for name in unlisted:
                del zone.endpoints[name]
            zone.congestion.retain(set(zone.endpoints))

    def _update_endpoints(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> set[str]:
        """Update endpoints; return the zones in which a process has started since their last state change."""
        restarted: set[str] = set()
        for entry in endpoints:
            zone = self.zones.get(entry.zone) or self._new_zone(now_ms, entry.zone)
            known = zone.endpoints.get(entry.name)
            if known is not None and known.listed.started_ms == entry.started_ms:
                known.listed = entry
                continue
            zone.endpoints[entry.name] = ZoneEndpoint(entry)
            # A process that started later is not one of those that stopped answering.
            if (entry.started_ms or float("-inf")) > zone.since_ms:
                restarted.add(zone.name)
        return restarted

    def _new_zone(self, now_ms: float, name: str) -> Zone:
        congestion = CongestionEstimate(self._report_fields, REJECTION_INFLATION)
        zone = self.zones[name] = Zone(name, congestion, since_ms=now_ms)
        return zone

    def _forget_empty_zones(self, now_ms: float) -> None:
        """Drop zones that have been without endpoints for long, and the oldest of too many such zones."""
        empty = sorted(
            (empty_zone for empty_zone in self.zones.values() if not empty_zone.endpoints),
            key=lambda empty_zone: empty_zone.since_ms,
        )
        oldest_ms = now_ms - 1000.0 * self._locality_settings.memory_s
        for number, zone in enumerate(empty):
            if zone.since_ms < oldest_ms or len(empty) - number > MAX_EMPTY_ZONES:
                del self.zones[zone.name]

    # Attempts

    def attempt_sent(self, now_ms: float, endpoint: ListedEndpoint, context: PickContext) -> None:
        """Count an attempt against the limits of its zone."""
        zone = self.zones.get(endpoint.zone)
        if zone is None:
            return
        if zone.name != self._home:
            self._spillover.record(now_ms, zone)
        if zone.state is ZoneState.RECOVERING:
            zone.recovery_limit.take()
        elif zone.state is ZoneState.UNAVAILABLE:
            zone.probed_ms = now_ms

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
        """Update congestion, capacity and state of the zone by the end of an attempt."""
        zone = self.zones.get(endpoint.zone)
        known = zone.endpoints.get(endpoint.name) if zone is not None else None
        if zone is None or known is None or outcome in NO_EVIDENCE:
            return
        zone.congestion.record_attempt(now_ms, endpoint.name, outcome, slowness, report)
        is_unanswered = outcome in UNANSWERED
        zone.loss_share += LOSS_SMOOTHING * (is_unanswered - zone.loss_share)
        if is_unanswered:
            self._record_unanswered(now_ms, zone, known)
            return
        zone.consecutive_unanswered = known.consecutive_unanswered = 0
        if report is not None:
            self._estimator.measure(now_ms, known, report, in_time)
        if outcome is Outcome.OK and in_time:
            zone.own_rate.record_served(now_ms)
        if zone.state is ZoneState.UNAVAILABLE:
            self._begin_recovery(now_ms, zone, "a scout was answered")
        elif zone.state is ZoneState.RECOVERING and self._ramp.grow(now_ms, zone, slowness):
            self._log_lines.append(f"hall {zone.name} is up")

    def _record_unanswered(self, now_ms: float, zone: Zone, endpoint: ZoneEndpoint) -> None:
        """Count an attempt without an answer; enough of them in a row make the zone unavailable."""
        zone.consecutive_unanswered += 1
        endpoint.consecutive_unanswered += 1
        none_healthy = all(not known.is_healthy for known in zone.endpoints.values() if known.is_ready)
        needed = self._locality_settings.unavailable_after * (1 if none_healthy else ANSWERING_OUTAGE_FACTOR)
        if zone.state is not ZoneState.UNAVAILABLE and zone.consecutive_unanswered >= needed:
            reason = f"unanswered {zone.consecutive_unanswered} times in a row"
            self._mark_unavailable(now_ms, zone, reason)
            zone.is_unresponsive = True

    # States. The log lines, with the reasons in them, are also messages to the simulator, so their texts are
    # fixed. In them a zone is a "hall", an unavailable one is "dark", and a probe of it is a "scout".

    def _mark_unavailable(self, now_ms: float, zone: Zone, reason: str) -> None:
        zone.is_unresponsive = False
        capacity_per_s = self.capacity_per_s(now_ms, zone)
        zone.remembered_capacity_per_s = max(zone.remembered_capacity_per_s, capacity_per_s)
        zone.move_to(ZoneState.UNAVAILABLE, now_ms, reason)
        since_ms = now_ms - 1000.0 * self._locality_settings.memory_s
        zone.outages_ms = [at_ms for at_ms in zone.outages_ms if at_ms > since_ms] + [now_ms]
        self._log_lines.append(f"hall {zone.name} is dark: {reason}")

    def _begin_recovery(self, now_ms: float, zone: Zone, reason: str) -> None:
        self._ramp.begin(now_ms, zone, reason)
        share = f"{zone.ramp_share:.2f}"
        self._log_lines.append(f"hall {zone.name} returns, fed {share} of what it bore: {reason}")

    # Limits

    def capacity_per_s(self, now_ms: float, zone: Zone) -> float:
        """Return the estimated capacity of a whole zone, in requests a second."""
        return self._estimator.capacity_per_s(now_ms, zone, self.zones)

    def spillover_limit_per_s(self, now_ms: float, zone: Zone) -> float:
        """Return the requests a second that this instance may send to a zone that is not its own."""
        return self._spillover.limit_per_s(now_ms, zone, self.zones)

    def recovery_limit_per_s(self, now_ms: float, zone: Zone) -> float:
        """Return the requests a second that this instance may send to a zone that recovers."""
        return self._ramp.limit_per_s(now_ms, zone, self.zones)

    def is_congested(self, now_ms: float, zone: Zone) -> bool:
        """Return whether a zone has no capacity left, so that it comes last and limits on it hold."""
        return zone.congestion.latency_inflation(now_ms) > self._locality_settings.congested_inflation

    # Decisions

    def panics(self) -> bool:
        """Return whether the healthy share is below the panic threshold, so that all zones are used."""
        ready = sum(zone.ready_weight() for zone in self.zones.values())
        available = [zone for zone in self.zones.values() if zone.state is not ZoneState.UNAVAILABLE]
        healthy = sum(zone.healthy_weight() for zone in available)
        return healthy < self._locality_settings.panic_threshold * ready or not healthy

    def zone_order(self, now_ms: float, context: PickContext) -> Sequence[str]:
        """Return zones by priority level; degraded zones and those where the request has failed come last."""
        zones = self.zones
        if self.panics():
            return [name for level in self._levels for name in level if name in zones]
        ranked = self._by_level(now_ms)
        probes = [
            name
            for name in ranked
            if zones[name].state is ZoneState.UNAVAILABLE and self._may_probe(now_ms, name, context)
        ]
        ranked = [name for name in ranked if zones[name].state is not ZoneState.UNAVAILABLE]
        least_loss = min((zones[name].loss_share for name in ranked), default=0.0)
        # A request that is not idempotent has one attempt. After a few unanswered attempts in a zone it goes
        # to other zones, while requests that may be retried show whether the zone still answers.
        is_careful = self._has_single_attempt(context) and self._has_idempotent_class

        def demotion_key(name: str) -> tuple[bool, bool, bool]:
            zone = zones[name]
            is_degraded = zone.loss_share > self._locality_settings.degraded_loss_share + least_loss
            is_risky = is_degraded or (is_careful and zone.consecutive_unanswered >= EARLY_UNANSWERED)
            return name in context.failed_zones, is_risky, self.is_congested(now_ms, zone)

        return probes + sorted(ranked, key=demotion_key)

    def _by_level(self, now_ms: float) -> list[str]:
        """Return zones by level, and in one level by this instance's recent spillover, the least first."""
        zones = self.zones
        levels = [
            sorted((n for n in level if n in zones), key=lambda n: self._spillover.recent(now_ms, zones[n]))
            for level in self._levels
        ]
        if self._spillover.leaves_home(now_ms, zones):
            levels = levels[1:] + levels[:1]
        return [name for level in levels for name in level]

    @staticmethod
    def _has_single_attempt(context: PickContext) -> bool:
        request_class = context.request_class
        return request_class is not None and request_class.idempotency is Idempotency.NOT_IDEMPOTENT

    def _may_probe(self, now_ms: float, name: str, context: PickContext) -> bool:
        """Return whether a request may probe an unavailable zone: now and then one that may be retried."""
        zone = self.zones[name]
        is_risky = self._has_single_attempt(context) and self._has_idempotent_class
        if is_risky or context.failed_zones or not zone.ready_weight():
            return False
        return now_ms - zone.probed_ms >= self._locality_settings.probe_interval_ms

    def admits(self, now_ms: float, zone: str | None, context: PickContext) -> bool:
        """Return whether a zone may take the request now, by its state and within its limits.

        Limits pace the requests to a zone. While its endpoints are known to have capacity, they hold requests
        back only for a short time; otherwise a limit would reject work while endpoints are idle.
        """
        known = self.zones.get(zone) if zone is not None else None
        if zone is None or known is None or self.panics():
            return True
        if known.state is ZoneState.UNAVAILABLE:
            return self._may_probe(now_ms, zone, context)
        has_capacity = known.congestion.has_recent_answers(now_ms) and not self.is_congested(now_ms, known)
        if known.state is ZoneState.RECOVERING:
            per_s = self.recovery_limit_per_s(now_ms, known)
            is_within = self._is_within(known.recovery_limit, now_ms, per_s, context)
            return is_within or (has_capacity and self._has_waited(context))
        if zone == self._home or has_capacity:
            return True
        per_s = self.spillover_limit_per_s(now_ms, known)
        return self._is_within(known.spillover_limit, now_ms, per_s, context)

    @staticmethod
    def _has_waited(context: PickContext) -> bool:
        """Return whether the request has waited so long that waiting longer would make its answer late."""
        request_class = context.request_class
        return (
            request_class is not None
            and context.waited_ms >= LIMIT_WAIT_SHARE * request_class.latency_objective_ms
        )

    def _is_within(self, limit: RateLimit, now_ms: float, per_s: float, context: PickContext) -> bool:
        """Return whether a limit allows the request; classes below the highest priority leave a reserve."""
        tokens = limit.tokens(now_ms, per_s)
        weight = context.request_class.priority_weight if context.request_class is not None else 0.0
        burst = limit.burst(per_s)
        leaves_reserve = weight < self._max_priority_weight and burst > 2
        return tokens >= 1.0 + (self._locality_settings.reserved_share * burst if leaves_reserve else 0.0)

    # State for logs and views

    def take_log_lines(self) -> Sequence[str]:
        """Return a line for each state change of a zone since the last call."""
        lines, self._log_lines = self._log_lines, []
        return lines

    def view(self, now_ms: float) -> list[ZoneView]:
        """Return the state of each zone."""
        return [self._view_of(now_ms, zone) for zone in self.zones.values()]

    def _view_of(self, now_ms: float, zone: Zone) -> ZoneView:
        is_recovering = zone.state is ZoneState.RECOVERING
        spilled_lately = now_ms - self._spillover.spilled_ms < RATE_WINDOW_MS
        return ZoneView(
            name=zone.name,
            state=zone.state,
            is_spilling_over=zone.name == self._home and spilled_lately,
            since_ms=zone.since_ms,
            reason=zone.reason,
            ramp_share=zone.ramp_share if is_recovering else float(zone.state is ZoneState.UP),
            capacity_per_s=self.capacity_per_s(now_ms, zone),
            own_peak_per_s=zone.own_rate.per_s,
            loss_share=zone.loss_share,
            spillover_count=zone.spillover_count,
        )
