"""The balancer's only extension point: a policy hook restricts and orders the choices, never extends them.

The balancer asks its hook whether a request is accepted at all, in which order classes and zones are served,
whether a zone may take a request now, and by which factor an endpoint's score is multiplied. It notifies the
hook of the endpoint list and of each attempt that is sent or has ended. Whatever a hook returns, the
balancer's send guard (draining endpoints, slow start, idempotency, number of attempts) is checked last. Times
are passed as arguments, in ms on the balancer's clock. A balancer without a hook makes none of these calls.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence, Set
from dataclasses import dataclass
from math import prod

from client_proxy.api.events import ListedEndpoint, Outcome
from client_proxy.api.settings import RequestClass


@dataclass(frozen=True, slots=True)
class PickContext:
    """The description of a request, for the decisions of a hook."""

    request_class: RequestClass | None
    failed_zones: tuple[str, ...] = ()  # zones of its earlier attempts
    expected_work: float = 0.0  # in any unit that is the same for all requests
    waited_ms: float = 0.0  # time since its client first sent it


class BalancerHook:
    """A hook that changes no decision; subclasses override the methods for what they decide."""

    orders_zones = False  # whether `zone_order` is used; endpoints are then pooled by zone
    limits_concurrency = False  # whether it limits concurrency; the balancer's admission gate is then unused
    scales_scores = False  # whether `score_factor` is used
    # Names of endpoints that get no requests, never all of them. The set object must stay the same for the
    # hook's life.
    ejected: Set[str] = frozenset()

    def endpoints_listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Handle a new endpoint list: all endpoints that are known now, in any state."""

    def endpoints_changed(
        self, now_ms: float, changed: Sequence[ListedEndpoint], endpoints: Collection[ListedEndpoint]
    ) -> None:
        """Handle a message of discovery; by default as a new endpoint list.

        A hook whose work should not grow with the fleet overrides this and goes by the changes.

        Args:
            now_ms: the time.
            changed: the entries that are new or have changed; of endpoints that are gone, in that state.
                Empty for a failed call, and where nothing has changed.
            endpoints: all endpoints that are known now, in any state.
        """
        self.endpoints_listed(now_ms, list(endpoints))

    def accepts_request(self, now_ms: float, context: PickContext) -> bool:
        """Whether a request that has just arrived is accepted; if not, it is given up at once."""
        return True

    def may_wait(self, context: PickContext, pending: int) -> bool:
        """Whether a request without an endpoint may wait with `pending` others; if not, it is given up."""
        return True

    def retry_after_ms(self, now_ms: float, context: PickContext) -> float:
        """How long the client of a rejected request should wait before a retry, in ms; 0: not stated."""
        return 0.0

    def class_order(self, default_order: Sequence[str]) -> Sequence[str]:
        """Names of the classes in the order in which their pending requests are sent.

        Args:
            default_order: the balancer's order, the class with the highest gain first.
        """
        return default_order

    def zone_order(self, now_ms: float, context: PickContext) -> Sequence[str]:
        """Zones by preference; zones left out are not tried for this request now.

        If it names no known zone, the balancer tries all zones, so that no hook can exclude the whole fleet.
        """
        return ()

    def admits(self, now_ms: float, zone: str | None, context: PickContext) -> bool:
        """Whether the limits of a zone admit the request now; zone None: the limits over all endpoints."""
        return True

    def recovery_probe_target(self, now_ms: float, context: PickContext) -> str:
        """The ejected endpoint that this request is sent to as a recovery probe; empty: none."""
        return ""

    def score_factor(self, now_ms: float, endpoint: str, class_name: str) -> float:
        """The factor, above 0, by which an endpoint's score for a class is multiplied in the pick.

        It changes the order of the endpoints that may take the request, and excludes none.
        """
        return 1.0

    def attempt_sent(self, now_ms: float, endpoint: ListedEndpoint, context: PickContext) -> None:
        """Handle an attempt that is being sent."""

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
        """Handle an attempt that has ended.

        Args:
            now_ms: the time.
            endpoint: the endpoint that it was sent to.
            outcome: its result.
            slowness: `took_ms` as a multiple of the class's baseline, its latency without queueing.
            in_time: whether it ended within the request's latency objective.
            report: the endpoint's load report, in the order of `Settings.report_fields`; None: no report.
            took_ms: duration of the attempt.
            cls: the request's class; None: unknown.
        """

    def take_log_lines(self) -> Sequence[str]:
        """Return the lines to log since the last call."""
        return ()

    def inherit_from(self, predecessor: BalancerHook) -> None:
        """Take over what a hook of the same kind has learned under the previous policy.

        Called before this hook gets its first endpoint list. Attempts of earlier requests still end at the
        predecessor, so attempts in flight count in both hooks.
        """


class CompositeHook(BalancerHook):
    """Combines hooks in a given order; each one further restricts what the ones before it permit.

    The first hook that orders zones determines their order; later hooks can only exclude zones from it. Of
    several retry-after times the longest is used.

    Args:
        hooks: the hooks in their order; at most one may eject endpoints, as only the first's `ejected` is
            used.
    """

    def __init__(self, hooks: Sequence[BalancerHook]) -> None:
        self.hooks = tuple(hooks)
        self.orders_zones = any(hook.orders_zones for hook in hooks)
        self.limits_concurrency = any(hook.limits_concurrency for hook in hooks)
        ejected_sets = [hook.ejected for hook in hooks if hook.ejected is not BalancerHook.ejected]
        self.ejected = ejected_sets[0] if ejected_sets else frozenset()
        self._scaling = tuple(hook for hook in hooks if hook.scales_scores)
        self.scales_scores = bool(self._scaling)

    def endpoints_listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Notify every hook."""
        for hook in self.hooks:
            hook.endpoints_listed(now_ms, endpoints)

    def endpoints_changed(
        self, now_ms: float, changed: Sequence[ListedEndpoint], endpoints: Collection[ListedEndpoint]
    ) -> None:
        """Notify every hook."""
        for hook in self.hooks:
            hook.endpoints_changed(now_ms, changed, endpoints)

    def accepts_request(self, now_ms: float, context: PickContext) -> bool:
        """Whether every hook accepts the request; hooks after one that does not are not asked."""
        return all(hook.accepts_request(now_ms, context) for hook in self.hooks)

    def may_wait(self, context: PickContext, pending: int) -> bool:
        """Whether every hook lets the request wait."""
        return all(hook.may_wait(context, pending) for hook in self.hooks)

    def retry_after_ms(self, now_ms: float, context: PickContext) -> float:
        """The longest time that any of the hooks states, in ms."""
        return max((hook.retry_after_ms(now_ms, context) for hook in self.hooks), default=0.0)

    def class_order(self, default_order: Sequence[str]) -> Sequence[str]:
        """The order after each hook in turn has changed it."""
        for hook in self.hooks:
            default_order = hook.class_order(default_order)
        return default_order

    def zone_order(self, now_ms: float, context: PickContext) -> Sequence[str]:
        """The zones as the first hook orders them, without those that a later hook leaves out."""
        ordered: Sequence[str] = ()
        for hook in self.hooks:
            if hook.orders_zones:
                hook_order = hook.zone_order(now_ms, context)
                ordered = [zone for zone in ordered if zone in hook_order] if ordered else hook_order
        return ordered

    def admits(self, now_ms: float, zone: str | None, context: PickContext) -> bool:
        """Whether every hook admits the request."""
        return all(hook.admits(now_ms, zone, context) for hook in self.hooks)

    def recovery_probe_target(self, now_ms: float, context: PickContext) -> str:
        """The endpoint named by the first hook that names one."""
        return next(filter(None, (hook.recovery_probe_target(now_ms, context) for hook in self.hooks)), "")

    def score_factor(self, now_ms: float, endpoint: str, class_name: str) -> float:
        """The product of the factors of all hooks."""
        return prod(hook.score_factor(now_ms, endpoint, class_name) for hook in self._scaling)

    def attempt_sent(self, now_ms: float, endpoint: ListedEndpoint, context: PickContext) -> None:
        """Notify every hook."""
        for hook in self.hooks:
            hook.attempt_sent(now_ms, endpoint, context)

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
        """Notify every hook."""
        for hook in self.hooks:
            hook.attempt_ended(now_ms, endpoint, outcome, slowness, in_time, report, took_ms, cls)

    def take_log_lines(self) -> Sequence[str]:
        """Return the log lines of all hooks, in the order of the hooks."""
        return [line for hook in self.hooks for line in hook.take_log_lines()]


def member_hooks(hook: BalancerHook) -> Sequence[BalancerHook]:
    """The hooks that a composite hook combines; for any other hook, the hook itself."""
    return hook.hooks if isinstance(hook, CompositeHook) else (hook,)
