"""An unfinished request and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from client_proxy.api.events import ListedEndpoint, Outcome
from client_proxy.api.policy_hook import PickContext
from client_proxy.api.settings import Idempotency, IdempotencyScope, RequestClass
from client_proxy.balancer.backoff import BACKOFF_BASE_MS
from client_proxy.balancer.endpoint import Endpoint

# Assumed for a request that states no deadline or work and whose class is unknown.
DEFAULT_DEADLINE_MS = 1000.0
DEFAULT_WORK_MS = DEFAULT_DEADLINE_MS / 4

# Outcomes after which the endpoint has certainly not executed the attempt.
NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint."""

    endpoint: Endpoint
    sent_ms: float
    connection_idle_ms: float | None = None  # idle time of its connection when it was sent; None: new or busy
    outcome: Outcome | None = None  # None: in flight
    recorded_late: bool = False  # the admission gate has counted it as late while it was in flight

    def may_have_executed(self) -> bool:
        """Whether the endpoint may have executed the attempt."""
        return self.outcome not in NEVER_EXECUTED


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, from its arrival until it is answered and no attempt is in flight."""

    id: int
    request_class: RequestClass | None
    first_request_ms: float  # when its client first sent it
    deadline_ms: float
    expected_work: float  # in any unit that is the same for all requests
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    previous_backoff_ms: float = BACKOFF_BASE_MS
    timer_token: int | None = None  # token of its one pending timer
    done: bool = False  # answered, or its client disconnected
    streaming: bool = False  # its answer has begun
    spilled_over: bool = False  # its work was offered to the remote pool's gate
    key: str | None = None  # key of its queue; None: its class requires no order
    waits_for_key: bool = False  # held back by its key's queue
    probed: list[Endpoint] = field(default_factory=list)  # endpoints probed for its next attempt
    probe_rounds: int = 0  # rounds of probes for its next attempt
    probes_in_flight: int = 0  # load probes of the last round without a result
    retry_token_spent: bool = False  # paid for a retry that has not been sent yet

    @property
    def class_name(self) -> str:
        """The name of its class; empty if the class is unknown."""
        return self.request_class.name if self.request_class else ""

    def pick_context(self, now_ms: float) -> PickContext:
        """The request's description for a policy hook."""
        failed_zones = tuple(attempt.endpoint.listed.zone for attempt in self.attempts)
        waited_ms = now_ms - self.first_request_ms
        return PickContext(self.request_class, failed_zones, self.expected_work, waited_ms)

    def is_idempotent(self) -> bool:
        """Whether it may be retried although an attempt may have been executed."""
        request_class = self.request_class
        return request_class is not None and request_class.idempotency is not Idempotency.NOT_IDEMPOTENT

    def first_possible_execution(self) -> Attempt | None:
        """The first of its attempts that an endpoint may have executed."""
        return next((attempt for attempt in self.attempts if attempt.may_have_executed()), None)

    def idempotency_end_ms(self) -> float:
        """When endpoints stop deduplicating retries of the first possible execution; inf: no limit."""
        executed = self.first_possible_execution()
        request_class = self.request_class
        if (
            executed is None
            or request_class is None
            or request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY
        ):
            return float("inf")
        return executed.sent_ms + request_class.idempotency_window_ms

    def latency_objective_ms(self, request_class: RequestClass) -> float:
        """The latency within which an answer earns the full weight of `request_class`, the request's own."""
        stretched_ms = (
            request_class.latency_objective_ms + request_class.latency_objective_stretch * self.expected_work
        )
        return min(request_class.deadline_ms, stretched_ms)

    def useful_until_ms(self) -> float:
        """The time after which an answer earns no weight, so that an attempt would only be wasted work."""
        request_class = self.request_class
        if request_class is None or request_class.late_weight_share or request_class.streamed:
            return self.deadline_ms
        objective_ms = self.latency_objective_ms(request_class)
        return min(self.deadline_ms, self.first_request_ms + objective_ms)


def deduplicates_retries(
    request_class: RequestClass | None, executed_at: ListedEndpoint, candidate: ListedEndpoint
) -> bool:
    """Whether `candidate` would deduplicate a retry of what may have been executed at `executed_at`."""
    if (
        request_class is None
        or request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY
        or request_class.idempotency_scope is IdempotencyScope.ALL
    ):
        return True
    in_scope = request_class.idempotency_scope is IdempotencyScope.ZONE or executed_at.cell == candidate.cell
    return executed_at.zone == candidate.zone and in_scope
