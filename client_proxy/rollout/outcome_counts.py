"""Collects the outcomes of requests that the instances report, in windows of a second.

Each instance reports cumulative counts since its start, by class, so that the next report makes up for a lost
one. The last report of each member and a bounded number of windows are kept.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from client_proxy.rollout.canary_analysis import NO_OUTCOMES, OutcomeCount

MAX_MEMBERS = 2000  # members whose last report is kept
MAX_WINDOWS = 120  # windows that are kept; the oldest is dropped first

ALL_CLASSES = ""
"""Class name that stands for all classes together."""

ClassCounts = Mapping[str, tuple[int, int]]
"""By class name: requests that ended, and those of them not served in time. This is the wire format."""

Window = Mapping[int, Mapping[str, OutcomeCount]]
"""Outcomes in one window, by member number and class name."""


@dataclass(frozen=True, slots=True)
class CumulativeCounts:
    """Counts of one instance since its start, under one version of the policy.

    Attributes:
        incarnation: Identifies the process of the instance.
        version: Number of the policy version.
        counts: Cumulative counts by class name.
    """

    incarnation: int
    version: int
    counts: ClassCounts


class OutcomeCounts:
    """Converts the cumulative reports of members into counts of one window each.

    Attributes:
        windows: The last `MAX_WINDOWS` closed windows, the oldest first.
        zones: Zone by member number.
    """

    def __init__(self) -> None:
        self._last_reports: dict[int, CumulativeCounts] = {}
        self._open_window: dict[int, dict[str, OutcomeCount]] = {}
        self.windows: deque[Window] = deque(maxlen=MAX_WINDOWS)
        self.zones: dict[int, str] = {}

    def __len__(self) -> int:
        """Return the number of members whose last report is kept."""
        return len(self._last_reports)

    def record(self, member: int, zone: str, report: CumulativeCounts) -> None:
        """Add the outcomes since the member's previous report to the open window."""
        previous = self._last_reports.pop(member, None)
        self._last_reports[member] = report
        self.zones[member] = zone
        if len(self._last_reports) > MAX_MEMBERS:
            oldest = next(iter(self._last_reports))
            del self._last_reports[oldest], self.zones[oldest]
        # The first report of an incarnation may cover hours, or only the first seconds after a start. So only
        # the difference to a previous report of the same incarnation and version is counted.
        if (
            previous is None
            or previous.incarnation != report.incarnation
            or previous.version != report.version
        ):
            return
        member_counts = self._open_window.setdefault(member, {})
        for class_name, (requests, failures) in report.counts.items():
            previous_requests, previous_failures = previous.counts.get(class_name, (0, 0))
            added = OutcomeCount(
                max(0, requests - previous_requests),
                max(0, failures - previous_failures),
            )
            if added.requests:
                member_counts[class_name] = member_counts.get(class_name, NO_OUTCOMES) + added

    def close_window(self) -> Window:
        """Close the open window, append it to `windows` and return it."""
        window, self._open_window = self._open_window, {}
        self.windows.append(window)
        return window


def group_total(window: Window, members: Collection[int], inside: bool, class_name: str) -> OutcomeCount:
    """Return the summed outcomes of one group of members in a window.

    Args:
        window: Counts of the window.
        members: Members of the canary group.
        inside: True: count `members`. False: count all other members.
        class_name: Class to count, or `ALL_CLASSES`.
    """
    return total(
        count
        for member, counts in window.items()
        if (member in members) == inside
        for counted_class, count in counts.items()
        if counted_class == class_name or class_name == ALL_CLASSES
    )


def total(counts: Iterable[OutcomeCount]) -> OutcomeCount:
    """Return the sum of `counts`."""
    result = NO_OUTCOMES
    for count in counts:
        result += count
    return result
