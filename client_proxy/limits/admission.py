"""An admission gate: admits a share of the offered work, adapted by whether answers arrive in time."""

from __future__ import annotations

from collections import defaultdict

# A late answer reduces the admitted share by the fraction ADMIT_CUT. Each answer in time adds ADMIT_STEP for
# each of the consecutive answers in time so far, up to ADMIT_STREAK: one step for the first, five from the
# fifth on. So the share recovers fast once few answers are late, and slowly before.
ADMIT_CUT, ADMIT_STEP, ADMIT_STREAK = 0.2, 0.01, 5


class AdmissionGate:
    """Admits a share of the offered work, separately for each request class.

    Where many proxies share the endpoints, each proxy has so few requests in flight at any endpoint that a
    per-endpoint concurrency limit can't prevent congestion: endpoints fill with work that will be answered
    late, and stay full of it.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self._streak = 0
        self._credit: defaultdict[str, float] = defaultdict(float)  # admitted work not yet sent, by class

    def offer(self, class_name: str, work: float, admitted_share: float) -> None:
        """Credit a class for a new request: `admitted_share` of its work may be sent."""
        self._credit[class_name] = min(self._credit[class_name] + admitted_share * work, 2 * work)

    def admits(self, class_name: str, work: float) -> bool:
        """Return whether that much work of the class may be sent now."""
        return self.share >= 1 or self._credit[class_name] >= work

    def take(self, class_name: str, work: float) -> None:
        """Deduct the work of a request that was sent from the credit of its class."""
        if self.share < 1:
            self._credit[class_name] = max(0.0, self._credit[class_name] - work)

    def record_answer(self, late: bool) -> None:
        """Adapt the admitted share to an answer, which came in time or late."""
        self._streak = 0 if late else min(ADMIT_STREAK, self._streak + 1)
        if late:
            self.share -= ADMIT_CUT * self.share
        else:
            self.share = min(1.0, self.share + ADMIT_STEP * self._streak)
