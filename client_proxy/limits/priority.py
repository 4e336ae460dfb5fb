"""Whose work is taken on when not all can be: by what a unit of work is worth.

Of the work that an instance is offered, a share may be taken on. The classes are ranked; the first get all
that they ask for, the one in which the share runs out gets a part, the rest nothing but what operators leave
to each at least. A part is dealt out evenly: each request earns its class that part of one admission, and is
admitted when one is full. So over any stretch of requests the admitted differ from the part by less than two.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

DEMAND_MEMORY_REQUESTS = 50.0  # over which what arrives is smoothed
MAX_SAVED_ADMISSIONS = 2.0  # of one class


class WorkDemand:
    """What is asked for, by class: smoothed shares of the requests' work."""

    def __init__(self, names: Iterable[str]) -> None:
        self.work = dict.fromkeys(names, 0.0)

    def request_arrived(self, name: str, work: float) -> None:
        """Take in a request with its expected work."""
        for known in self.work:
            self.work[known] *= 1.0 - 1.0 / DEMAND_MEMORY_REQUESTS
        if name in self.work:
            self.work[name] += work / DEMAND_MEMORY_REQUESTS


def admitted_shares(
    share: float, ranked: Sequence[str], work: Mapping[str, float], least: Mapping[str, float]
) -> dict[str, float]:
    """For each class the part of its work to take on, so that `share` of all work is taken on at most.

    `ranked`: the worthiest first. `least`: for each class the part of all that may be taken on which is left
    to it if it asks for that much; they come to 1 together at most."""
    total = sum(work.get(name, 0.0) for name in ranked)
    left = share * total
    given = {name: min(work.get(name, 0.0), least.get(name, 0.0) * share * total) for name in ranked}
    left -= sum(given.values())
    for name in ranked:
        more = min(work.get(name, 0.0) - given[name], max(0.0, left))
        given[name] += more
        left -= more
    # A class that nobody asked for lately is judged by what is left for it: all or nothing.
    return {
        name: min(1.0, given[name] / work[name]) if work.get(name, 0.0) > 0 else float(left > 0)
        for name in ranked
    }


class PriorityAdmission:
    """Deals out the parts."""

    def __init__(self, worth: Mapping[str, float], first: Sequence[str], least: Mapping[str, float]) -> None:
        """`worth`: of a request, by class. `first`: classes that operators rank, the worthiest first; the
        others come after them, by worth for a unit of work. `least`: as in `parts`."""
        self._priority_weights = dict(worth)
        self._stated_order = [name for name in first if name in self._priority_weights]
        self._min_shares = dict(least)
        self._demand = WorkDemand(self._priority_weights)
        self._work_per_request = dict.fromkeys(
            self._priority_weights, 0.0
        )  # work of a request, smoothed; 0: none seen
        self._credit = dict.fromkeys(self._priority_weights, 1.0)

    def inherit_from(self, before: PriorityAdmission) -> None:
        """What requests of the same classes ask for. What has been saved up is not had twice."""
        for name in self._work_per_request.keys() & before._work_per_request.keys():
            self._work_per_request[name] = before._work_per_request[name]
            self._demand.work[name] = before._demand.work[name]
            self._credit[name] = min(self._credit[name], before._credit[name])

    def ranked_classes(self) -> list[str]:
        """The worthiest first. A class that was not seen yet goes by the mean work of the others."""
        seen = [unit for unit in self._work_per_request.values() if unit > 0]
        usual = sum(seen) / len(seen) if seen else 1.0
        rest = [name for name in self._priority_weights if name not in self._stated_order]
        rest.sort(
            key=lambda name: self._priority_weights[name] / (self._work_per_request[name] or usual),
            reverse=True,
        )
        return self._stated_order + rest

    def request_arrived(self, name: str, work: float) -> None:
        """A request of this class has come."""
        if name in self._work_per_request:
            unit = self._work_per_request[name]
            self._work_per_request[name] += (work - unit) / DEMAND_MEMORY_REQUESTS if unit else work
        self._demand.request_arrived(name, work)

    def admits(self, name: str, share: float) -> bool:
        """Is the request that has just been asked taken on, where this share of all work may be?"""
        if share >= 1.0 or name not in self._credit:
            return True
        part = admitted_shares(share, self.ranked_classes(), self._demand.work, self._min_shares)[name]
        if part >= 1.0:
            return True
        self._credit[name] = min(MAX_SAVED_ADMISSIONS, self._credit[name] + part)
        if self._credit[name] < 1.0:
            return False
        self._credit[name] -= 1.0
        return True
