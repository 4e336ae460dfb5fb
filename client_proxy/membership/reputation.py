"""Trust in each observer, based on how well its reports agree with this instance's own observations.

Trust is between a minimum and 1. It falls when an observer's report on a server contradicts what this
instance observed at the same time with enough attempts. It rises when both agree, and also with time, so that
an observer is not distrusted forever after a temporary fault between it and a server. For the same reason the
minimum is above zero. An observer that signed two different reports with the same sequence number has
provably equivocated and stays at the minimum for a long time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MIN_TRUST, INITIAL_TRUST = 0.1, 0.6
CONTRADICTED_FACTOR = 0.6  # factor on the trust in a contradicted observer of this instance's zone
CONTRADICTED_OTHER_ZONE_FACTOR = 0.85  # factor on the trust in a contradicted observer of another zone
CONFIRMED_GAIN = 0.15  # share of the difference to 1 that a confirmed observer gains
RECOVERY_MS = 120_000.0  # ms; half-life of the difference to 1
EQUIVOCATION_MS = 600_000.0  # ms; for this time an equivocating observer stays at the minimum
MAX_RATED_OBSERVERS = 2048  # observers whose rating is kept; equivocating ones are counted separately


@dataclass(frozen=True, slots=True)
class _Rating:
    at_ms: float
    trust: float


class Reputation:
    """The trust in each observer."""

    def __init__(self) -> None:
        self._ratings: OrderedDict[int, _Rating] = OrderedDict()
        self._distrusted_until_ms: OrderedDict[int, float] = OrderedDict()  # by equivocating observer

    def __len__(self) -> int:
        return len(self._ratings) + len(self._distrusted_until_ms)

    def trust(self, now_ms: float, observer: int) -> float:
        """Return the trust in an observer, from `MIN_TRUST` to 1."""
        if now_ms < self._distrusted_until_ms.get(observer, float("-inf")):
            return MIN_TRUST
        rating = self._ratings.get(observer)
        at_ms, rated = (rating.at_ms, rating.trust) if rating is not None else (now_ms, INITIAL_TRUST)
        remaining: float = 0.5 ** ((now_ms - at_ms) / RECOVERY_MS)
        return 1.0 - (1.0 - rated) * remaining

    def confirm(self, now_ms: float, observer: int) -> None:
        """Raise the trust in an observer whose report agrees with this instance's observation."""
        trust = self.trust(now_ms, observer)
        self._rate(now_ms, observer, trust + CONFIRMED_GAIN * (1.0 - trust))

    def contradict(self, now_ms: float, observer: int, same_zone: bool, certainty: float = 1.0) -> None:
        """Lower the trust in an observer whose report contradicts this instance's observation.

        An observer of another zone loses less trust, since a fault between its zone and the server may be
        real without being observable here.

        Args:
            now_ms: the current time.
            observer: the observer's member number.
            same_zone: whether the observer is in this instance's zone.
            certainty: 1, or less if this instance made only few attempts itself.
        """
        factor = CONTRADICTED_FACTOR if same_zone else CONTRADICTED_OTHER_ZONE_FACTOR
        remaining: float = factor**certainty
        self._rate(now_ms, observer, self.trust(now_ms, observer) * remaining)

    def mark_equivocation(self, now_ms: float, observer: int) -> bool:
        """Distrust an observer that signed contradicting reports; returns true if it was not yet marked."""
        is_new = now_ms >= self._distrusted_until_ms.get(observer, float("-inf"))
        self._distrusted_until_ms[observer] = now_ms + EQUIVOCATION_MS
        if len(self._distrusted_until_ms) > MAX_RATED_OBSERVERS:
            self._distrusted_until_ms.popitem(last=False)
        return is_new

    def _rate(self, now_ms: float, observer: int, trust: float) -> None:
        self._ratings[observer] = _Rating(now_ms, min(1.0, max(MIN_TRUST, trust)))
        self._ratings.move_to_end(observer)
        if len(self._ratings) > MAX_RATED_OBSERVERS:
            self._ratings.popitem(last=False)
