"""Priority admission: which classes are admitted when not all of the offered work can be.

Of the work that an instance is offered, a share may be admitted. The classes are ranked: the first ones are
admitted whole, the class in which the share runs out is admitted in part, and the others get only the minimum
shares that operators state. A part is admitted evenly: each request earns its class that part of one
admission, and is admitted once a whole one is earned. So over any sequence of requests, the number admitted
differs from the part by less than two.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

DEMAND_MEMORY_REQUESTS = 50.0  # requests; time constant of the smoothed demand
MAX_SAVED_ADMISSIONS = 2.0  # admissions that one class may save


class WorkDemand:
    """The smoothed demand by class: the expected work of its requests, averaged over all requests."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self.work = dict.fromkeys(class_names, 0.0)

    def request_arrived(self, class_name: str, work: float) -> None:
        """Update the demand with a request and its expected work."""
        for known in self.work:
            self.work[known] *= 1.0 - 1.0 / DEMAND_MEMORY_REQUESTS
        if class_name in self.work:
            self.work[class_name] += work / DEMAND_MEMORY_REQUESTS


def admitted_shares(
    share: float, ranked: Sequence[str], work: Mapping[str, float], min_shares: Mapping[str, float]
) -> dict[str, float]:
    """Return for each class the share of its work to admit, so that at most `share` of all work is admitted.

    Args:
        share: of all offered work, at most admitted.
        ranked: the classes, the highest priority first.
        work: demand by class.
        min_shares: by class, the share of all admitted work that is reserved for it if its demand is as high;
            they sum to 1 at most.
    """
    total = sum(work.get(name, 0.0) for name in ranked)
    remaining = share * total
    admitted = {name: min(work.get(name, 0.0), min_shares.get(name, 0.0) * share * total) for name in ranked}
    remaining -= sum(admitted.values())
    for name in ranked:
        extra = min(work.get(name, 0.0) - admitted[name], max(0.0, remaining))
        admitted[name] += extra
        remaining -= extra
    # A class without demand lately is admitted whole if any of the share is left, otherwise not at all.
    return {
        name: min(1.0, admitted[name] / work[name]) if work.get(name, 0.0) > 0 else float(remaining > 0)
        for name in ranked
    }


class PriorityAdmission:
    """Decides request by request which are admitted, by class priority."""

    def __init__(
        self,
        priority_weights: Mapping[str, float],
        stated_order: Sequence[str],
        min_shares: Mapping[str, float],
    ) -> None:
        """Create the admission for the known classes.

        Args:
            priority_weights: of one request, by class.
            stated_order: classes that operators rank, the highest priority first; the others come after them,
                by priority weight per unit of work.
            min_shares: as in `admitted_shares`.
        """
        self._priority_weights = dict(priority_weights)
        self._stated_order = [name for name in stated_order if name in self._priority_weights]
        self._min_shares = dict(min_shares)
        self._demand = WorkDemand(self._priority_weights)
        # Smoothed work of one request, by class; 0: no request seen yet.
        self._work_per_request = dict.fromkeys(self._priority_weights, 0.0)
        self._credit = dict.fromkeys(self._priority_weights, 1.0)

    def inherit_from(self, predecessor: PriorityAdmission) -> None:
        """Continue with the demand of classes that both know; saved admissions are not granted twice."""
        for name in self._work_per_request.keys() & predecessor._work_per_request.keys():
            self._work_per_request[name] = predecessor._work_per_request[name]
            self._demand.work[name] = predecessor._demand.work[name]
            self._credit[name] = min(self._credit[name], predecessor._credit[name])

    def ranked_classes(self) -> list[str]:
        """Return the classes, the highest priority first; a class not seen yet counts with mean work."""
        known_works = [known_work for known_work in self._work_per_request.values() if known_work > 0]
        mean_work = sum(known_works) / len(known_works) if known_works else 1.0
        unranked = [name for name in self._priority_weights if name not in self._stated_order]
        unranked.sort(
            key=lambda name: self._priority_weights[name] / (self._work_per_request[name] or mean_work),
            reverse=True,
        )
        return self._stated_order + unranked

    def request_arrived(self, class_name: str, work: float) -> None:
        """Update the demand with a request of this class."""
        if class_name in self._work_per_request:
            mean_work = self._work_per_request[class_name]
            self._work_per_request[class_name] += (
                (work - mean_work) / DEMAND_MEMORY_REQUESTS if mean_work else work
            )
        self._demand.request_arrived(class_name, work)

    def admits(self, class_name: str, share: float) -> bool:
        """Return whether the request that has just arrived is admitted, if `share` of all work may be."""
        if share >= 1.0 or class_name not in self._credit:
            return True
        admitted_share = admitted_shares(share, self.ranked_classes(), self._demand.work, self._min_shares)[
            class_name
        ]
        if admitted_share >= 1.0:
            return True
        self._credit[class_name] = min(MAX_SAVED_ADMISSIONS, self._credit[class_name] + admitted_share)
        if self._credit[class_name] < 1.0:
            return False
        self._credit[class_name] -= 1.0
        return True
