"""The demand of each request class, and which classes gain the objective most per unit of work."""

from __future__ import annotations

from client_proxy.api.settings import Settings

DEMAND_SMOOTHING = 0.02  # weight of a new sample: an average over about the last hundred requests


class ClassDemand:
    """Tracks, by class, the work requested from this proxy and the share of it that is served in time."""

    def __init__(self, settings: Settings) -> None:
        self._objective = settings.objective
        self._weight_by_work = settings.weight_by_work
        self._priority_weights = {cls.name: cls.priority_weight for cls in settings.classes}
        # Smoothed values by class, in this order: its share of the requests, the work per request of any
        # class, and the earned share of its priority weight.
        self._requests = dict.fromkeys(self._priority_weights, 1.0)
        self._work = dict.fromkeys(self._priority_weights, 1.0)
        self._served = dict.fromkeys(self._priority_weights, 1.0)

    def request_arrived(self, class_name: str, work: float) -> None:
        """Record the arrival of a request with its expected work."""
        for name in self._work:
            self._requests[name] *= 1 - DEMAND_SMOOTHING
            self._work[name] *= 1 - DEMAND_SMOOTHING
        if class_name in self._work:
            self._requests[class_name] += DEMAND_SMOOTHING
            self._work[class_name] += DEMAND_SMOOTHING * work

    def request_ended(self, class_name: str, earned_share: float) -> None:
        """Record which share of its priority weight a request has earned, from 0 to 1."""
        if class_name in self._served:
            self._served[class_name] += DEMAND_SMOOTHING * (earned_share - self._served[class_name])

    def classes_by_gain(self) -> list[str]:
        """Names of the classes, by what a unit of their work adds to the objective, the highest first."""
        demand = self._work if self._weight_by_work else self._requests
        weights = {name: weight * demand[name] for name, weight in self._priority_weights.items()}
        total = sum(weights.values()) or 1.0
        overall = self._objective.overall + self._objective.worst_window
        worst = min(self._served, key=lambda name: self._served[name], default="")

        def gain(name: str) -> float:
            # By the overall objective alone the class with the least gain would starve, so the part of the
            # objective that counts the worst-served class is added for that class.
            extra = self._objective.worst_class if name == worst else 0.0
            return (overall * weights[name] / total + extra) / self._work[name]

        return sorted(self._priority_weights, key=gain, reverse=True)

    def admitted_share(self, class_name: str, share: float) -> float:
        """The share of a class's work to admit, if `share` of all work is; highest gain first."""
        if share >= 1 or class_name not in self._work:
            return share
        remaining = share * sum(self._work.values())
        for ranked in self.classes_by_gain():
            if ranked == class_name:
                break
            remaining -= self._work[ranked]
        return min(1.0, max(0.0, remaining / self._work[class_name]))
