"""The requests of clients and their times, drawn from the scenario's seed before the run begins.

The plan is therefore the same on every clock and with every build.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from random import Random

from client_proxy.emulator.random_streams import lognormal, random_stream
from client_proxy.emulator.scenario import RequestClassSpec, Scenario


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a client will make; `number` is its position among the requests at its proxy."""

    at_s: float
    number: int
    class_name: str
    key: str
    work_ms: float


def plan_requests(scenario: Scenario, proxy: int) -> list[PlannedRequest]:
    """Return all requests of one proxy's clients: a Poisson process whose rate follows the scenario.

    Requests are drawn at the highest rate, and each is kept with a probability equal to the rate at its time
    divided by the highest rate.
    """
    clients = scenario.clients
    rates = clients.relative_rates or (1.0,) * clients.proxies
    rate_per_s = clients.rate_per_s * rates[proxy] / sum(rates)
    max_factor = _max_rate_factor(scenario)
    planned: list[PlannedRequest] = []
    if rate_per_s * max_factor <= 0:
        return planned
    random = random_stream(scenario.seed, "arrivals", proxy)
    total_share = sum(request_class.share for request_class in scenario.classes)
    at_s = 0.0
    while True:
        at_s -= log(1.0 - random.random()) / (rate_per_s * max_factor)
        if at_s >= scenario.duration_s:
            return planned
        draws = _Draws(random, total_share, clients.distinct_keys)
        request_class = _class_at(scenario, draws.class_position)
        if draws.acceptance * max_factor >= scenario.rate_factor(at_s, request_class.name):
            continue
        work_ms = lognormal(request_class.work_ms, request_class.work_variation, draws.work_quantile)
        key = f"{draws.key_number:016x}"
        planned.append(PlannedRequest(at_s, len(planned), request_class.name, key, work_ms))


class _Draws:
    """The random draws of one request; a change of their order would change every plan."""

    def __init__(self, random: Random, total_share: float, distinct_keys: int) -> None:
        self.acceptance = random.random()
        self.class_position = random.random() * total_share
        self.work_quantile = random.random()
        self.key_number = random.randrange(distinct_keys)


def _max_rate_factor(scenario: Scenario) -> float:
    max_factor = max([1.0] + [factor for _, factor in scenario.clients.rate_curve])
    for fault in scenario.faults:
        if fault.kind == "load":
            max_factor *= max(1.0, fault.factor)
    return max_factor


def _class_at(scenario: Scenario, position: float) -> RequestClassSpec:
    """Return the class at a position within the sum of all classes' shares."""
    for request_class in scenario.classes:
        position -= request_class.share
        if position < 0:
            return request_class
    return scenario.classes[-1]
