"""Failures that operators plan for: what each one loses, for how long, what bounds the loss, and the
measurements behind that."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.capacity.formulas import change_in_force_ms, change_in_force_third_down_ms, region_refused_s
from benchmarks.capacity.plan import SIZES
from benchmarks.capacity.slopes import NotMeasured, Slopes

NOT_MEASURED = "not measured"
DurationFormula = Callable[[Slopes], float]


@dataclass(frozen=True, slots=True)
class Failure:
    """A planned failure, as one row of the page's table of failures.

    `needs` names the measurements that `loss_duration_s` uses. `loss_duration_s` computes how long the loss
    lasts (s) at the planned sizes; `duration_note` says what the duration is of. `scale_run_figure` names the
    same duration in a scale run of real and hollow instances, or is empty."""

    name: str
    lost: str
    needs: tuple[str, ...]
    loss_duration_s: DurationFormula
    duration_note: str
    bound: str
    scale_run_figure: str = ""

    def duration_text(self, slopes: Slopes) -> str:
        """Describes the duration for the table.

        Raises MissingSlope if a measurement is listed neither as measured nor as not measured."""
        try:
            text = f"{self.loss_duration_s(slopes):.3g} s {self.duration_note}"
        except NotMeasured as missing:
            text = f"{NOT_MEASURED}: {missing.reason}"
        return f"{text}; {self._scale_run_text(slopes)}" if self.scale_run_figure else text

    def _scale_run_text(self, slopes: Slopes) -> str:
        try:
            return f"in a scale run {slopes.run(self.scale_run_figure):.3g} s"
        except NotMeasured:
            return f"in a scale run {NOT_MEASURED}"

    def evidence(self, slopes: Slopes) -> str:
        absent = [name for name in self.needs if name in slopes.not_measured]
        return NOT_MEASURED if absent else ", ".join(self.needs)


def _run_value(name: str) -> DurationFormula:
    return lambda slopes: slopes.run(name)


FAILURES = (
    Failure(
        "two machines fail on an ordinary day",
        "calls under way at the host; its servers' calls are repeated elsewhere",
        ("machine_fails_s",), _run_value("machine_fails_s"), "of calls that fail",
        "time-outs and pauses of a server, `client_proxy/balancer/endpoint.py`",
    ),
    Failure(
        "a third of the instances down while a change is made",
        "no calls; the change waits for those who were heard just now",
        ("change.third_down_last", "list.policy_read"),
        lambda s: change_in_force_third_down_ms(SIZES, s) / 1e3,
        "until it is in force everywhere", "`VALIDATION_TIMEOUT_MS`, `client_proxy/consensus/node.py`",
    ),
    Failure(
        "170 restarts a day, at their crowded hour",
        "the calls of an instance until it has a lease and a list",
        ("back_at_once.last",), lambda s: s.median_at("back_at_once.last", 1),
        "without a lease, an instance (virtual clock; not its start)",
        "`client_proxy/consensus/lease_holder.py`",
        "restarts_s",
    ),
    Failure(
        "a zone (113) back at once",
        "nothing of others; the zone's own calls until it has leases",
        ("back_at_once.last",), lambda s: s.median_at("back_at_once.last", SIZES.zone_hosts),
        "until the last one decides (virtual clock, buffers left out)",
        "receive buffers and the next asking, `client_proxy/membership/link.py`",
        "zone_back_s",
    ),
    Failure(
        "a rack with one control machine of five",
        "no lease is lost: four of five grant",
        ("control_gone.without_lease",), lambda s: s.median_at("control_gone.without_lease", 1),
        "without a lease, of 12 s (virtual clock)",
        "majority of five, `client_proxy/consensus/messages.py`",
        "rack_gone_s",
    ),
    Failure(
        "two of five control machines",
        "no lease is lost: three of five grant; one more stops all",
        ("control_gone.without_lease",), lambda s: s.median_at("control_gone.without_lease", 2),
        "without a lease, of 12 s (virtual clock)",
        "majority of five, `client_proxy/consensus/messages.py`",
        "two_control_gone_s",
    ),
    Failure(
        "a region cut off for three minutes, without a majority",
        "every call there, or the promise of one version with `stale = \"serve\"`",
        ("region_cut.refused_inside",), lambda s: region_refused_s(SIZES, s), "of 180 s (virtual clock)",
        "the lease, `client_proxy/consensus/lease_holder.py`; nothing bounds the rest",
        "region_refused_s",
    ),
    Failure(
        "one instance cut off or stopped while a change is made",
        "its calls, once its lease has ended",
        ("lease.last", "list.policy_read"), lambda s: change_in_force_ms(SIZES, s) / 1e3,
        "until it no longer decides by the old version",
        "lease and clock error, `client_proxy/consensus/lease_holder.py`",
    ),
    Failure(
        "1% of the datagrams lost",
        "no calls; a change comes late where its word was lost",
        ("loss.last",), lambda s: s.median_at("loss.last", 10), "until the last one decides (virtual clock)",
        "asked again, `client_proxy/consensus/lease_holder.py`",
        "loss_change_s",
    ),
    Failure(
        "everyone started at once",
        "all calls until the first leases",
        ("back_at_once.last",), lambda s: s.median_at("back_at_once.last", SIZES.hosts),
        "until the last one decides (virtual clock, buffers left out)",
        "receive buffers and the next asking, `client_proxy/membership/link.py`",
        "all_start_s",
    ),
)  # fmt: skip
