"""Suspicions of servers based on reports by other instances, applied as a hook of the balancer.

A server with reported failures gets a factor below 1 on its score when the balancer picks a server. It is
never removed: at most a third of the ready servers is deprioritized at the same time, a single observer can
cause only half of the strongest suspicion, and occasional idempotent requests are sent to the server as
recovery probes, so that this instance's own observations decide. If most of the fleet is accused, no server
is deprioritized, since the cause is then probably overload, a network partition or a Byzantine reporter.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from client_proxy.api.events import EndpointState, ListedEndpoint, Outcome
from client_proxy.api.policy_hook import BalancerHook, PickContext
from client_proxy.api.settings import Idempotency, RequestClass, Settings
from client_proxy.membership.evidence import AGE_UNIT_MS, AttemptCounts, LocalObservations
from client_proxy.membership.health import LocalHealth
from client_proxy.membership.messages import ObservationReport, ServerObservation, class_tag, name_tag
from client_proxy.membership.observation import FRESH_MS, ObservationStore, ServerClaim, ServerEstimate
from client_proxy.membership.reputation import Reputation

MIN_SCORE_FACTOR = 0.05  # lower bound of the factor on a suspected server's score
MAX_SINGLE_OBSERVER_SUSPICION = 0.5  # upper bound of a suspicion that only one observer reported
# estimated failure shares at which a suspicion begins, and at which it is full
SUSPICION_START_SHARE, FULL_SUSPICION_SHARE = 0.2, 0.5
MAX_DEPRIORITIZED_SHARE = 1 / 3  # share of the ready servers that may be deprioritized at the same time
DEPRIORITIZED_BELOW = 0.7  # a server with a lower score factor counts as deprioritized
MIN_RESTORED_SCORE_FACTOR = 0.9  # a deprioritized server counts as restored from this score factor on
SLOW_FACTOR = 2.5  # times the median slowness, above which reported slowness lowers the score
REFRESH_INTERVAL_MS = 100.0  # ms; between two updates of the score factors
SUSPICION_HALF_LIFE_MS = 20_000.0  # ms; without observations, which shorten it
SUCCESS_WEIGHT_DECAY = 4.0  # added to the decay rate of a suspicion for each weighted successful attempt
MIN_SUSPICION = 0.02  # a suspicion that is not above this ends
OWN_ATTEMPTS_PER_DECAY_RATE = 20.0  # own recent attempts at all servers that add 1 to the decay rate
# ms; first and longest interval between recovery probes of a suspected server
PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS = 4000.0, 64_000.0
PROBING_INSTANCES = 10  # with more instances than this, each one probes less often
PROBE_SCORE_FACTOR = 8.0  # factor on the score of a server that is due for a recovery probe
OWN_FAILURE_MS = 30_000.0  # ms; for this time after an own failed attempt no recovery probe is made
MIN_ATTEMPTS_TO_JUDGE = 3  # with fewer own attempts, a contradicted observer loses less trust
JUDGEMENT_WINDOW_MS = 3000.0  # ms; reports are compared with own attempts of this period
MIN_REPORTED_ATTEMPTS = 2  # observations of fewer attempts are not compared with own ones
# differences of reported and observed failure share, above which a report is contradicted and below which
# it is confirmed
CONTRADICTION_GAP, AGREEMENT_GAP = 0.6, 0.3


@dataclass(slots=True)
class ProbeSchedule:
    """The time of a suspected server's next recovery probe, and the interval to the one after it."""

    due_ms: float
    interval_ms: float


class ServerSuspicions(BalancerHook):
    """The suspicions of servers in one daemon, which outlive its balancers.

    Attributes:
        local: this instance's own observations.
        observations: the reports of other instances.
        reputation: the trust in these instances.
        health: the estimate of this instance's own health.
        instance_count: the number of instances in the fleet.
    """

    scales_scores = True

    def __init__(
        self, settings: Settings, seed: int, own_zone: int = 0, health: LocalHealth | None = None
    ) -> None:
        self.local = LocalObservations()
        self.reputation = Reputation()
        self.observations = ObservationStore(own_zone, self.reputation.trust)
        self.health = health or LocalHealth()
        self.instance_count = settings.proxies
        self._own_zone = own_zone
        self._idempotent_classes = {
            request_class.name
            for request_class in settings.classes
            if request_class.idempotency is not Idempotency.NOT_IDEMPOTENT and not request_class.streamed
        }
        self._class_tags = {
            request_class.name: class_tag(request_class.name) for request_class in settings.classes
        }
        self._random = Random(seed)
        self._ready_tags: dict[str, int] = {}  # name tag by ready server
        self._started_ms: dict[str, float | None] = {}  # process start time by server
        self._score_factors: dict[str, dict[str, float]] = {}  # by server and class
        self._suspicions: dict[tuple[str, str], float] = {}  # by server and class
        self._own_recent_attempts = 0.0
        self._probes: dict[str, ProbeSchedule] = {}  # by server
        self._refreshed_ms = float("-inf")
        self._is_stale = True
        self._log_lines: list[str] = []
        self._deprioritized: set[str] = set()
        self._ignored_observers: set[int] = set()

    # Called by the balancer

    def endpoints_listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Apply a new endpoint list; drops the state of servers that restarted or are no longer listed."""
        started_ms = {endpoint.name: endpoint.started_ms for endpoint in endpoints}
        for server, started in started_ms.items():
            if server in self._started_ms and self._started_ms[server] != started:
                self._forget_earlier_process(server)
        self._started_ms = started_ms
        self.local.retain(started_ms)
        ready = {
            endpoint.name: name_tag(endpoint.name)
            for endpoint in endpoints
            if endpoint.state is EndpointState.READY
        }
        # Servers with the same tag cannot be distinguished, so reports on them are ignored.
        uses = Counter(ready.values())
        self._ready_tags = {server: tag for server, tag in ready.items() if uses[tag] == 1}
        for server in [server for server in self._probes if server not in self._ready_tags]:
            del self._probes[server]
        for key in [key for key in self._suspicions if key[0] not in self._ready_tags]:
            del self._suspicions[key]
        self._is_stale = True

    def attempt_sent(self, now_ms: float, endpoint: ListedEndpoint, context: PickContext) -> None:
        """Record that a request was sent to a server, which counts as a recovery probe of it."""
        probe = self._probes.get(endpoint.name)
        if probe is not None:
            # The interval grows with each probe; it is reset when the server is no longer suspected.
            probe.interval_ms = min(MAX_PROBE_INTERVAL_MS, 2 * probe.interval_ms)
            jitter = self._random.uniform(0.5, 1.5)
            probe.due_ms = now_ms + probe.interval_ms * self._probe_interval_factor() * jitter

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
        """Record an attempt's result as an observation, unless this instance was unhealthy meanwhile."""
        if cls is None or self.health.may_distort_observations(now_ms - took_ms, now_ms):
            return
        self.local.record(now_ms, endpoint.name, cls.name, outcome, slowness)
        if endpoint.name in self._probes or outcome is not Outcome.OK:
            self._is_stale = True  # makes the new observation take effect at once
        self._judge_claims(now_ms, endpoint.name)

    def score_factor(self, now_ms: float, endpoint: str, class_name: str) -> float:
        """Return the factor on a server's score for a request class; it is above 1 for a recovery probe."""
        self.refresh(now_ms)
        factors = self._score_factors.get(endpoint)
        if factors is None:
            return 1.0
        probe = self._probes.get(endpoint)
        if probe is not None and now_ms >= probe.due_ms and class_name in self._idempotent_classes:
            # After an own failed attempt no probe is needed, as the balancer itself tries the server again.
            if not self.local.recent_counts(now_ms, endpoint, OWN_FAILURE_MS).failure_share:
                return PROBE_SCORE_FACTOR
            probe.due_ms = now_ms + probe.interval_ms
        return factors.get(class_name, 1.0)

    def take_log_lines(self) -> Sequence[str]:
        """Return the lines to log since the last call."""
        lines, self._log_lines = self._log_lines, []
        return lines

    # Called by the gossip node

    def receive_report(self, now_ms: float, report: ObservationReport, zone: int) -> None:
        """Process a newer report with a valid signature by another instance."""
        self.observations.record(now_ms, report, zone)
        for observation in report.observations:
            servers = [server for server, tag in self._ready_tags.items() if tag == observation.server_tag]
            if servers:
                self._judge_claims(now_ms, servers[0])

    def receive_equivocation(self, now_ms: float, observer: int) -> None:
        """Record that an observer signed two different reports with the same sequence number."""
        if self.reputation.mark_equivocation(now_ms, observer):
            self._log_lines.append(f"instance {observer} sends different reports to different members")

    def current_observations(self, now_ms: float) -> tuple[ServerObservation, ...]:
        """Return the observations to report; none while this instance's own health is degraded."""
        if self.health.is_degraded:
            return ()
        reported = self.observations.reported_servers(now_ms)
        reported_by_others = {server for server, tag in self._ready_tags.items() if tag in reported}
        return self.local.report(now_ms, reported_by_others)

    def refresh(self, now_ms: float) -> None:
        """Update the score factors if they are outdated.

        It must be called regularly even without requests; otherwise reports could expire unused before an
        instance's first request.
        """
        if self._is_stale or now_ms - self._refreshed_ms > REFRESH_INTERVAL_MS:
            self._is_stale = False
            self._update_score_factors(now_ms)

    def ready_servers(self) -> list[str]:
        """Return the ready servers in sorted order, without those that share a tag."""
        return sorted(self._ready_tags)

    @property
    def deprioritized(self) -> frozenset[str]:
        """The currently deprioritized servers."""
        return frozenset(self._deprioritized)

    # Comparison of reports with own observations

    def _forget_earlier_process(self, server: str) -> None:
        self.local.discard(server)
        self.observations.discard_server(name_tag(server))
        for class_name in self._class_tags:
            self._suspicions.pop((server, class_name), None)

    def _judge_claims(self, now_ms: float, server: str) -> None:
        """Compare others' recent observations of a server with those of this instance."""
        own = self.local.recent_counts(now_ms, server, JUDGEMENT_WINDOW_MS)
        if not own.attempts:
            return
        for claim in self.observations.claims(now_ms, name_tag(server)):
            self._judge_claim(now_ms, claim, own)

    def _judge_claim(self, now_ms: float, claim: ServerClaim, own: AttemptCounts) -> None:
        observation, report = claim.observation, claim.report
        key = observation.server_tag, observation.class_tag
        is_recent = now_ms - report.at_ms + AGE_UNIT_MS * observation.age < JUDGEMENT_WINDOW_MS
        has_too_few_attempts = observation.attempts < MIN_REPORTED_ATTEMPTS
        if key in report.judged_keys or observation.class_tag or not is_recent or has_too_few_attempts:
            return
        report.judged_keys.add(key)
        gap = abs(observation.failure_share - own.failure_share)
        if gap > CONTRADICTION_GAP:
            certainty = min(1.0, own.attempts / MIN_ATTEMPTS_TO_JUDGE)
            same_zone = report.zone == self._own_zone
            self.reputation.contradict(now_ms, claim.observer, same_zone, certainty)
        elif gap < AGREEMENT_GAP:
            self.reputation.confirm(now_ms, claim.observer)

    # Score factors

    def _update_score_factors(self, now_ms: float) -> None:
        elapsed_ms = min(SUSPICION_HALF_LIFE_MS, max(0.0, now_ms - self._refreshed_ms))
        self._refreshed_ms = now_ms
        self.observations.expire(now_ms)
        self._own_recent_attempts = self.local.recent_attempts(now_ms)
        reported = self.observations.reported_servers(now_ms)
        slow_threshold = SLOW_FACTOR * self.local.median_slowness(now_ms)
        candidates: dict[str, dict[str, float]] = {}
        estimates: dict[str, ServerEstimate] = {}
        for server, tag in self._ready_tags.items():
            if tag not in reported and not self._is_suspected(server):
                continue
            factors: dict[str, float] = {}
            for class_name, tag_of_class in self._class_tags.items():
                own = self.local.recent_counts(now_ms, server, FRESH_MS / 2, class_name)
                estimate = self.observations.estimate(now_ms, tag, tag_of_class, own, len(self._ready_tags))
                factor = self._score_factor(server, class_name, own, estimate, slow_threshold, elapsed_ms)
                if factor < 1.0:
                    factors[class_name] = max(MIN_SCORE_FACTOR, factor)
                estimates[server] = estimate
            if factors:
                candidates[server] = factors
        self._select_deprioritized(candidates)
        self._schedule_probes(now_ms)
        self._log_changes(now_ms, estimates)

    def _is_suspected(self, server: str) -> bool:
        return any((server, class_name) in self._suspicions for class_name in self._class_tags)

    def _score_factor(
        self,
        server: str,
        class_name: str,
        own: AttemptCounts,
        estimate: ServerEstimate,
        slow_threshold: float,
        elapsed_ms: float,
    ) -> float:
        suspicion = (estimate.failure_share - SUSPICION_START_SHARE) / (
            FULL_SUSPICION_SHARE - SUSPICION_START_SHARE
        )
        # A single observer suffices if an own failed attempt confirms its report.
        is_unconfirmed = estimate.accusers <= 1 and not own.failure_share
        suspicion = max(0.0, min(MAX_SINGLE_OBSERVER_SUSPICION if is_unconfirmed else 1.0, suspicion))
        suspicion = self._decayed_suspicion(
            server, class_name, suspicion, estimate.success_weight, elapsed_ms
        )
        factor = 1.0 - (1.0 - MIN_SCORE_FACTOR) * suspicion
        if estimate.slowness > slow_threshold and not own.attempts:
            factor *= max(MIN_SCORE_FACTOR, slow_threshold / estimate.slowness)
        return factor

    def _decayed_suspicion(
        self, server: str, class_name: str, suspicion: float, success_weight: float, elapsed_ms: float
    ) -> float:
        """Return the suspicion after letting a stronger previous one decay, and store it.

        A server that is no longer picked is no longer observed to fail. If suspicions ended with the reports,
        all instances would return to a faulty server as soon as the last report on it expires. The suspicion
        decays faster on an instance with many attempts of its own, which notices the server's recovery
        itself; otherwise a server that stalled for three seconds would be avoided for twenty.
        """
        previous = self._suspicions.get((server, class_name), 0.0)
        if suspicion < previous:
            decay_rate = (
                1.0
                + SUCCESS_WEIGHT_DECAY * success_weight
                + self._own_recent_attempts / OWN_ATTEMPTS_PER_DECAY_RATE
            )
            remaining: float = 0.5 ** (elapsed_ms * decay_rate / SUSPICION_HALF_LIFE_MS)
            suspicion += (previous - suspicion) * remaining
        if suspicion > MIN_SUSPICION:
            self._suspicions[server, class_name] = suspicion
        else:
            self._suspicions.pop((server, class_name), None)
        return suspicion

    def _select_deprioritized(self, candidates: dict[str, dict[str, float]]) -> None:
        """Apply the score factors of the most suspected servers, within the bound on their share."""
        fleet_size = len(self._ready_tags)
        by_factor = sorted((min(factors.values()), server) for server, factors in candidates.items())
        deprioritized = sum(1 for factor, _ in by_factor if factor < DEPRIORITIZED_BELOW)
        if 2 * deprioritized > fleet_size:
            self._score_factors = {}  # with most of the fleet accused, the servers are probably not the cause
            return
        limit = max(1, int(MAX_DEPRIORITIZED_SHARE * fleet_size)) if fleet_size > 1 else 0
        selected = {server for _, server in by_factor[:limit]}
        self._score_factors = {
            server: class_factors for server, class_factors in candidates.items() if server in selected
        }

    def _schedule_probes(self, now_ms: float) -> None:
        for server in self._score_factors:
            if server not in self._probes:
                first_ms = PROBE_INTERVAL_MS * self._probe_interval_factor() * self._random.random()
                self._probes[server] = ProbeSchedule(now_ms + first_ms, PROBE_INTERVAL_MS)
        for server in [server for server in self._probes if server not in self._score_factors]:
            del self._probes[server]

    def _probe_interval_factor(self) -> float:
        """Return the factor on probe intervals that keeps the fleet's total probe rate about constant."""
        return max(1.0, self.instance_count / PROBING_INSTANCES)

    # Log lines

    def _log_changes(self, now_ms: float, estimates: dict[str, ServerEstimate]) -> None:
        lowest = {server: min(factors.values()) for server, factors in self._score_factors.items()}
        deprioritized = {
            server
            for server, factor in lowest.items()
            if factor < (MIN_RESTORED_SCORE_FACTOR if server in self._deprioritized else DEPRIORITIZED_BELOW)
        }
        for server in sorted(deprioritized - self._deprioritized):
            self._log_lines.append(
                f"{server} is deprioritized: {_deprioritization_reason(estimates.get(server))}"
            )
        for server in sorted(self._deprioritized - deprioritized):
            self._log_lines.append(f"{server} is no longer deprioritized")
        self._deprioritized = deprioritized
        ignored = set(self.observations.accusers_of_most_servers(now_ms, len(self._ready_tags)))
        for observer in sorted(ignored - self._ignored_observers):
            self._log_lines.append(f"instance {observer} accuses most servers: its reports are ignored")
        self._ignored_observers = ignored


def _deprioritization_reason(estimate: ServerEstimate | None) -> str:
    if estimate is None or not estimate.accusers:
        return "failures were observed"
    return f"{estimate.accusers} instances in {estimate.accusing_zones} zones observed failures"
