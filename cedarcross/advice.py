"""The one seam of the decision module: an advisor that narrows and orders, and never widens.

The balancer asks it which halls come first and whether one may take a request now, and tells it what was
listed, sent and ended. The module's own guard (drains, cold servers, repeats, attempts) stands last, whatever
an advisor says. An advisor has no clock and no I/O: the time is an argument, in the balancer's milliseconds.
Without one the balancer makes not one call more.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from cedarcross.interface import ListedEndpoint, Outcome, RequestClass


@dataclass(frozen=True, slots=True)
class Asking:
    """A request that looks for a server."""

    cls: RequestClass | None
    failed_in: tuple[str, ...] = ()  # halls of its earlier attempts


class Advisor(Protocol):
    def listed(self, now_ms: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """All servers known by now, whatever their state."""

    def order(self, now_ms: float, asking: Asking) -> Sequence[str]:
        """Halls by preference. Halls that it leaves out are not tried for this request now; with none, the
        balancer tries all: advice never takes the whole fleet away."""

    def admits(self, now_ms: float, hall: str, asking: Asking) -> bool:
        """May this hall take the request now, within its limits?"""

    def sent(self, now_ms: float, endpoint: ListedEndpoint, asking: Asking) -> None: ...

    def ended(
        self,
        now_ms: float,
        endpoint: ListedEndpoint,
        outcome: Outcome,
        slowness: float,
        in_time: bool,
        report: tuple[float, ...] | None,
    ) -> None:
        """An attempt ended. `slowness`: its latency as a multiple of what its class takes unhurried.
        `report`: the server's load report, in the order of the settings' `report_fields`."""

    def changes(self) -> Sequence[str]:
        """What is worth a line in the log since it was asked last."""
