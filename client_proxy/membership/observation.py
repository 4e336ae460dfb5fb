"""Reports on servers from other instances, and an estimate of each server's failure share based on them.

The estimate is the mean failure share over this instance's own attempts, the attempts that others reported,
and a few successful pseudo-attempts that express prior uncertainty (a beta prior). The weight of the reported
attempts is bounded:

- one observer counts for at most `MAX_OBSERVER_WEIGHT` attempts, scaled by the trust in it and the freshness
  of its report;
- one zone counts for at most `MAX_ZONE_WEIGHT`, and this instance's own zone for more, since a fault between
  a zone and a server concerns the instances of that zone;
- an observer that accuses more than a quarter of the fleet is discounted further with each accused server,
  and ignored if it accuses more than half, since the fault is then probably its own;
- all observers together count for less the more attempts this instance made itself.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from client_proxy.membership.evidence import AGE_UNIT_MS, BAD_SHARE, SLOWNESS_UNITS, AttemptCounts
from client_proxy.membership.messages import ObservationReport, ServerObservation

FRESH_MS = 6000.0  # ms; an older report is not counted
SEQUENCE_MEMORY_MS = 10 * FRESH_MS  # ms; for this time a report's sequence number is remembered
MAX_OBSERVER_WEIGHT = 2.0  # attempts, like the weights below
MAX_ZONE_WEIGHT = 5.0
MAX_OWN_ZONE_WEIGHT = 8.0
MAX_TOTAL_WEIGHT = 12.0
PRIOR_WEIGHT = 4.0  # successful pseudo-attempts of the beta prior
OWN_ZONE_PRECEDENCE = 2.0  # added to the divisor of other zones' limit for each attempt of the own zone
OTHER_ZONE_FACTOR = 0.25  # share in which successes reported by other zones speed up a suspicion's decay
OWN_ATTEMPT_WEIGHT = 3.0  # weight of each attempt by this instance
MAX_OBSERVERS = 512  # observers whose newest report is kept
# shares of the fleet; an observer that accuses more servers is discounted or ignored
DISCOUNTED_ACCUSED_SHARE, IGNORED_ACCUSED_SHARE = 0.25, 0.5

ServerAndClass = tuple[int, int]
"""The tags of a server and of a request class."""


@dataclass(slots=True)
class LatestObservation:
    """The newest report of one observer, with the time of its receipt."""

    at_ms: float
    zone: int
    incarnation: int
    sequence: int
    packed_report: bytes
    observations: dict[ServerAndClass, ServerObservation]
    accused_servers: int
    judged_keys: set[ServerAndClass] = field(default_factory=set)  # those compared with own observations

    def is_fresh(self, now_ms: float) -> bool:
        """Whether the report is recent enough to be counted."""
        return now_ms - self.at_ms < FRESH_MS


@dataclass(frozen=True, slots=True)
class ServerClaim:
    """A fresh observation of a server, with its observer and the report that contains it."""

    observer: int
    report: LatestObservation
    observation: ServerObservation


@dataclass(frozen=True, slots=True)
class ServerEstimate:
    """The estimate of one server for one request class."""

    failure_share: float
    slowness: float  # median reported ratio of latency to unloaded latency; 0 if fewer than two reported it
    accusers: int  # number of observers that reported a failure share above `BAD_SHARE`
    accusing_zones: int  # number of zones of the accusers
    success_weight: float  # weighted successful attempts; those of other zones count in part


@dataclass(frozen=True, slots=True)
class _WeightedClaim:
    """An observer's claim on one server and class, with the weight limited for one observer."""

    observer: int
    zone: int
    weight: float  # trust, freshness and discount of the observer; 0 if it is ignored
    attempts: float  # weighted number of attempts
    failure_share: float
    slowness: float


@dataclass(slots=True)
class _ZoneTally:
    """The weighted attempts and failures that the observers of one zone reported."""

    attempts: float = 0.0
    failures: float = 0.0


class ObservationStore:
    """Stores the newest report of each observer, and estimates servers from the reports."""

    def __init__(self, own_zone: int, trust: Callable[[float, int], float]) -> None:
        """Create an empty store.

        Args:
            own_zone: the tag of this instance's zone.
            trust: returns the trust in an observer, given the time in ms and the observer's member number.
        """
        self._own_zone, self._trust = own_zone, trust
        self._latest: OrderedDict[int, LatestObservation] = OrderedDict()  # by observer

    def __len__(self) -> int:
        return len(self._latest)

    def newest(self, observer: int) -> LatestObservation | None:
        """Return the newest report of an observer, or None if there is none."""
        return self._latest.get(observer)

    def is_newer(self, report: ObservationReport) -> bool:
        """Whether the report is newer than the stored one of its observer."""
        known = self._latest.get(report.observer)
        if known is None:
            return True
        return (report.incarnation, report.sequence) > (known.incarnation, known.sequence)

    def contradicts(self, report: ObservationReport) -> bool:
        """Whether a different report with the same sequence number is stored.

        This proves equivocation only if the signatures of both reports are valid.
        """
        known = self._latest.get(report.observer)
        if known is None or (known.incarnation, known.sequence) != (report.incarnation, report.sequence):
            return False
        return known.packed_report != report.pack_unsigned()

    def record(self, now_ms: float, report: ObservationReport, zone: int) -> None:
        """Store a newer report with a valid signature; `zone` is the zone tag of its observer."""
        accused = {
            observation.server_tag
            for observation in report.observations
            if observation.failed + observation.unanswered > BAD_SHARE * observation.attempts
        }
        self._latest[report.observer] = LatestObservation(
            at_ms=now_ms,
            zone=zone,
            incarnation=report.incarnation,
            sequence=report.sequence,
            packed_report=report.pack_unsigned(),
            observations={
                (observation.server_tag, observation.class_tag): observation
                for observation in report.observations
            },
            accused_servers=len(accused),
        )
        self._latest.move_to_end(report.observer)
        if len(self._latest) > MAX_OBSERVERS:
            self._latest.popitem(last=False)

    def expire(self, now_ms: float) -> None:
        """Drop reports older than `SEQUENCE_MEMORY_MS`.

        Their sequence numbers are dropped with them, so that a replayed old report counts again for a few
        seconds, within all bounds on reports.
        """
        expired = [
            observer
            for observer, latest in self._latest.items()
            if now_ms - latest.at_ms > SEQUENCE_MEMORY_MS
        ]
        for observer in expired:
            del self._latest[observer]

    def discard_server(self, server_tag: int) -> None:
        """Drop all observations of a server, because it restarted."""
        for latest in self._latest.values():
            for key in [key for key in latest.observations if key[0] == server_tag]:
                del latest.observations[key]

    def reported_servers(self, now_ms: float) -> set[int]:
        """Return the tags of all servers with fresh observations."""
        return {
            server_tag
            for latest in self._latest.values()
            if latest.is_fresh(now_ms)
            for server_tag, _ in latest.observations
        }

    def accusers_of_most_servers(self, now_ms: float, fleet_size: int) -> list[int]:
        """Return the observers that are ignored because they accuse too many servers."""
        return [
            observer
            for observer, latest in self._latest.items()
            if latest.is_fresh(now_ms) and latest.accused_servers > _ignore_threshold(fleet_size)
        ]

    def claims(self, now_ms: float, server_tag: int) -> list[ServerClaim]:
        """Return all fresh observations of a server."""
        return [
            ServerClaim(observer, latest, observation)
            for observer, latest in self._latest.items()
            if latest.is_fresh(now_ms)
            for (observed_server, _), observation in latest.observations.items()
            if observed_server == server_tag
        ]

    def estimate(
        self, now_ms: float, server_tag: int, class_tag: int, own: AttemptCounts, fleet_size: int
    ) -> ServerEstimate:
        """Return the estimate of a server for a request class.

        Args:
            now_ms: the current time.
            server_tag: the server's tag.
            class_tag: the request class's tag.
            own: counts of this instance's own recent attempts.
            fleet_size: the number of ready servers.
        """
        zones: dict[int, _ZoneTally] = {}
        accusers: dict[int, int] = {}  # zone by observer
        slownesses: list[tuple[float, float]] = []
        for claim in self._weighted_claims(now_ms, server_tag, class_tag, fleet_size):
            tally = zones.setdefault(claim.zone, _ZoneTally())
            tally.attempts += claim.attempts
            tally.failures += claim.attempts * claim.failure_share
            if claim.failure_share > BAD_SHARE and claim.weight > 0:
                accusers[claim.observer] = claim.zone
            if claim.slowness and claim.weight > 0:
                slownesses.append((claim.slowness, claim.attempts))
        attempts, failures, successes = self._bounded_sum(zones)
        # The more attempts this instance made itself, the less all reports together count.
        scale = min(1.0, MAX_TOTAL_WEIGHT / (1 + own.attempts) / attempts) if attempts else 0.0
        attempts, failures = scale * attempts, scale * failures
        own_failures = OWN_ATTEMPT_WEIGHT * (own.failed + own.unanswered)
        return ServerEstimate(
            failure_share=(failures + own_failures)
            / (PRIOR_WEIGHT + attempts + OWN_ATTEMPT_WEIGHT * own.attempts),
            slowness=_weighted_median(slownesses),
            accusers=len(accusers),
            accusing_zones=len(set(accusers.values())),
            success_weight=scale * successes + OWN_ATTEMPT_WEIGHT * own.attempts - own_failures,
        )

    def _weighted_claims(
        self, now_ms: float, server_tag: int, class_tag: int, fleet_size: int
    ) -> Iterator[_WeightedClaim]:
        for observer, latest in self._latest.items():
            age_ms = now_ms - latest.at_ms
            if age_ms >= FRESH_MS:
                continue
            # An observer that reports classes separately gives no evidence on classes that it left out.
            observation = latest.observations.get((server_tag, class_tag)) or latest.observations.get(
                (server_tag, 0)
            )
            if observation is None:
                continue
            freshness = max(0.0, 1.0 - (age_ms + AGE_UNIT_MS * observation.age) / (2 * FRESH_MS))
            discount = _accusation_discount(latest.accused_servers, fleet_size)
            weight = self._trust(now_ms, observer) * freshness * discount
            yield _WeightedClaim(
                observer=observer,
                zone=latest.zone,
                weight=weight,
                attempts=weight * min(MAX_OBSERVER_WEIGHT, observation.attempts),
                failure_share=observation.failure_share,
                slowness=observation.slowness / SLOWNESS_UNITS,
            )

    def _bounded_sum(self, zones: dict[int, _ZoneTally]) -> tuple[float, float, float]:
        """Return the bounded sums over zones of attempts, failures and successful attempts."""
        attempts = failures = successes = 0.0
        own_tally = zones.get(self._own_zone)
        own_zone_attempts = min(MAX_OWN_ZONE_WEIGHT, own_tally.attempts if own_tally is not None else 0.0)
        for zone, tally in zones.items():
            is_own = zone == self._own_zone
            # Reports from other zones are less relevant if there are reports from this instance's own zone.
            other_limit = MAX_ZONE_WEIGHT / (1.0 + OWN_ZONE_PRECEDENCE * own_zone_attempts)
            limit = MAX_OWN_ZONE_WEIGHT if is_own else other_limit
            scale = min(1.0, limit / tally.attempts) if tally.attempts else 0.0
            attempts, failures = attempts + scale * tally.attempts, failures + scale * tally.failures
            successes += scale * (tally.attempts - tally.failures) * (1.0 if is_own else OTHER_ZONE_FACTOR)
        return attempts, failures, successes


def _ignore_threshold(fleet_size: int) -> float:
    """Return the number of accused servers above which an observer is ignored."""
    return max(1.0, IGNORED_ACCUSED_SHARE * fleet_size)


def _accusation_discount(accused_servers: int, fleet_size: int) -> float:
    """Return the factor on an observer's weight for the number of servers that it accuses."""
    allowed = max(1.0, DISCOUNTED_ACCUSED_SHARE * fleet_size)
    if accused_servers <= allowed:
        return 1.0
    return 0.0 if accused_servers > _ignore_threshold(fleet_size) else allowed / accused_servers


def _weighted_median(values_and_weights: list[tuple[float, float]]) -> float:
    """Return the lower weighted median of at least two values, or 0 for fewer values."""
    if len(values_and_weights) < 2:
        return 0.0
    half_weight, cumulative_weight = sum(weight for _, weight in values_and_weights) / 2.0, 0.0
    for value, weight in sorted(values_and_weights):
        cumulative_weight += weight
        if cumulative_weight >= half_weight:
            return value
    return 0.0
