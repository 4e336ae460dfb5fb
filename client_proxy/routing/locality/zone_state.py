"""The states of a zone, the transitions between them, and what one instance knows of a zone."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from client_proxy.api.events import EndpointState, ListedEndpoint
from client_proxy.limits.congestion import CongestionEstimate
from client_proxy.routing.locality.peak_rate import PeakRate
from client_proxy.routing.locality.rate_limit import RateLimit

MAX_CONSECUTIVE_UNANSWERED = 2  # consecutive unanswered attempts from which on an endpoint is not healthy


class RoutingError(Exception):
    """Base class of the errors of routing."""


class IllegalTransitionError(RoutingError):
    """A zone was to enter a state to which its current state has no transition."""


class ZoneState(Enum):
    """Whether a zone gets requests. The values are those in answers of the control socket."""

    UP = "up"
    UNAVAILABLE = "dark"
    RECOVERING = "returning"


TRANSITIONS: Mapping[ZoneState, frozenset[ZoneState]] = {
    ZoneState.UP: frozenset({ZoneState.UNAVAILABLE}),
    ZoneState.UNAVAILABLE: frozenset({ZoneState.RECOVERING}),
    ZoneState.RECOVERING: frozenset({ZoneState.UP, ZoneState.UNAVAILABLE}),
}


@dataclass(slots=True)
class ZoneEndpoint:
    """What is known of one endpoint for the capacity and the state of its zone."""

    listed: ListedEndpoint
    peak_concurrency: float = 0.0  # most requests executed at once while it answered in time; decays
    service_time_ms: float = 0.0  # ms; smoothed time in which it executes a request
    measured_ms: float = 0.0  # time of the last load report
    consecutive_unanswered: int = 0

    @property
    def throughput_per_s(self) -> float:
        """Capacity in requests a second from all instances, by Little's law; 0: not known."""
        return 1000.0 * self.peak_concurrency / self.service_time_ms if self.service_time_ms else 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint is listed as ready."""
        return self.listed.state is EndpointState.READY

    @property
    def is_healthy(self) -> bool:
        """Whether the endpoint is ready, has a weight above 0, and answers."""
        return (
            self.is_ready
            and self.listed.weight > 0
            and self.consecutive_unanswered < MAX_CONSECUTIVE_UNANSWERED
        )


@dataclass(slots=True)
class Zone:
    """One zone as this instance sees it."""

    name: str
    congestion: CongestionEstimate
    state: ZoneState = ZoneState.UP
    since_ms: float = 0.0  # when it entered its state
    reason: str = "at the start"
    endpoints: dict[str, ZoneEndpoint] = field(default_factory=dict)
    # Rate at which the zone served this instance in time.
    own_rate: PeakRate = field(default_factory=PeakRate)
    spillover_limit: RateLimit = field(default_factory=lambda: RateLimit(1.0))
    recovery_limit: RateLimit = field(default_factory=RateLimit)
    consecutive_unanswered: int = 0  # attempts without an answer in a row, over all of its endpoints
    is_unresponsive: bool = False  # it is unavailable because it doesn't answer, not for lack of endpoints
    loss_share: float = 0.0  # smoothed share of attempts without an answer
    ramp_share: float = 1.0  # share of its capacity that it gets while it recovers
    ramp_ms: float = 0.0  # when the ramp share was last computed
    ramp_held_until_ms: float = 0.0  # the ramp share doesn't grow before this time
    slowness: float = 1.0  # smoothed slowness of answers while it recovers
    probed_ms: float = float("-inf")  # when the last probe was sent
    outages_ms: list[float] = field(default_factory=list)  # recent times at which it became unavailable
    spillover_count: int = 0  # requests that this instance has sent to it as spillover
    recent_spillover: float = 0.0  # recent spillover relative to its weight, as of `spillover_ms`
    spillover_ms: float = 0.0  # when the last spillover was sent
    remembered_capacity_per_s: float = 0.0  # capacity of the whole zone before an outage

    def move_to(self, state: ZoneState, now_ms: float, reason: str) -> None:
        """Enter a state.

        Raises:
            IllegalTransitionError: there is no transition from the current state.
        """
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(f"zone {self.name!r}: no transition from {self.state} to {state}")
        self.state, self.since_ms, self.reason = state, now_ms, reason

    def ready_weight(self) -> float:
        """Return the sum of the listed weights of the ready endpoints."""
        return sum(endpoint.listed.weight for endpoint in self.endpoints.values() if endpoint.is_ready)

    def healthy_weight(self) -> float:
        """Return the sum of the listed weights of the healthy endpoints."""
        return sum(endpoint.listed.weight for endpoint in self.endpoints.values() if endpoint.is_healthy)


@dataclass(frozen=True, slots=True)
class ZoneView:
    """A read-only view of a zone's state."""

    name: str
    state: ZoneState
    is_spilling_over: bool  # it is the own zone, and requests left it lately
    since_ms: float
    reason: str
    ramp_share: float
    capacity_per_s: float
    own_peak_per_s: float
    loss_share: float
    spillover_count: int
