"""Outlier ejection as the hook of one balancer."""

from __future__ import annotations

from collections.abc import Sequence, Set

from client_proxy.api.events import ListedEndpoint, Outcome
from client_proxy.api.policy_hook import BalancerHook, PickContext
from client_proxy.api.settings import Idempotency, RequestClass, Settings
from client_proxy.outlier.ejection import OutlierDetector
from client_proxy.outlier.settings import OutlierSettings


class EjectionHook(BalancerHook):
    """Passes what the balancer observes to an `OutlierDetector`, and its ejections to the balancer."""

    def __init__(self, outlier_settings: OutlierSettings, settings: Settings, seed: int = 0) -> None:
        self.detector = OutlierDetector(
            1000.0 * outlier_settings.probe_interval_s,
            1000.0 * outlier_settings.max_probe_interval_s,
            outlier_settings.max_ejected_share,
            seed,
        )
        self.ejected: Set[str] = self.detector.ejected

    def inherit_from(self, predecessor: BalancerHook) -> None:
        """Continue with the detector state of the previous policy's hook."""
        if isinstance(predecessor, EjectionHook):
            self.detector.inherit(predecessor.detector)

    def endpoints_listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Update the detector with the list of all servers."""
        self.detector.update_endpoints(endpoints)

    def recovery_probe_target(self, now_ms: float, context: PickContext) -> str:
        """Return the ejected server that a request is to probe, or ""; never for a retry."""
        if context.failed_zones:
            return ""
        request_class = context.request_class
        is_idempotent = (
            request_class is not None and request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        )
        return self.detector.choose_probe(now_ms, is_idempotent)

    def attempt_sent(self, now_ms: float, endpoint: ListedEndpoint, context: PickContext) -> None:
        """Notify the detector that an attempt was sent."""
        self.detector.attempt_sent(now_ms, endpoint.name)

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
        """Pass the result of an attempt to the detector."""
        self.detector.attempt_ended(now_ms, endpoint.name, outcome, took_ms)

    def take_log_lines(self) -> Sequence[str]:
        """Return the lines to log since the last call."""
        lines, self.detector.log_lines = self.detector.log_lines, []
        return lines
