"""The listed weights of endpoints, as a factor on the score in the pick.

The factor is the weight over the largest weight of all ready endpoints, so equal weights change nothing. It
changes how likely an endpoint is picked, but doesn't set its share of requests: a fast endpoint with a small
weight may get as much as a slow one with a large weight. An endpoint with weight 0 is listed as draining, so
it gets no factor.
"""

from __future__ import annotations

from collections.abc import Sequence

from client_proxy.api.events import EndpointState, ListedEndpoint
from client_proxy.api.policy_hook import BalancerHook

MIN_FACTOR = 0.001  # a factor must be above 0


class Weights(BalancerHook):
    """Scales scores by the listed weights."""

    scales_scores = True

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}  # by endpoint; those that are not 1

    def endpoints_listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Compute the factors of the listed endpoints."""
        ready = {
            entry.name: entry.weight
            for entry in endpoints
            if entry.state is EndpointState.READY and entry.weight > 0
        }
        max_weight = max(ready.values(), default=1.0)
        self._factors = {
            name: max(MIN_FACTOR, weight / max_weight)
            for name, weight in ready.items()
            if weight != max_weight
        }

    def score_factor(self, now_ms: float, endpoint: str, class_name: str) -> float:
        """Return the endpoint's weight over the largest one."""
        return self._factors.get(endpoint, 1.0)
