"""Picks one endpoint among the candidates for a request."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from client_proxy.api.policy_hook import BalancerHook
from client_proxy.balancer.endpoint import Endpoint


class Picker:
    """Power of two random choices: picks the one with the higher payoff per request in flight."""

    def __init__(self, random: Random, hook: BalancerHook | None) -> None:
        self._random = random
        self._score_factor = hook.score_factor if hook is not None and hook.scales_scores else None

    def pick(self, now_ms: float, candidates: Sequence[Endpoint], class_name: str) -> Endpoint | None:
        """Pick the better of two random candidates, or the only one; None if there are none."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first = self._random.randrange(len(candidates))
        second = self._random.randrange(len(candidates) - 1)
        second += second >= first
        left, right = candidates[first], candidates[second]
        left_wins = self.score(now_ms, left, class_name) >= self.score(now_ms, right, class_name)
        return left if left_wins else right

    def score(self, now_ms: float, endpoint: Endpoint, class_name: str) -> float:
        """The score of an endpoint, higher is better; slow start is left out, as its credit is a limit."""
        in_flight: float = endpoint.in_flight
        if endpoint.reported_in_flight is not None:
            in_flight = max(endpoint.reported_in_flight, in_flight)
        factor = (
            1.0
            if self._score_factor is None
            else self._score_factor(now_ms, endpoint.listed.name, class_name)
        )
        return factor * endpoint.payoff(class_name) / (1 + in_flight)
