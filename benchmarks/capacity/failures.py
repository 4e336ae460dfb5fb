"""Each failure that operators plan for: what is lost, for how long, what bounds it, and the run that shows
it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.capacity.formulas import force, force_third_down, region_refused
from benchmarks.capacity.plan import SIZES
from benchmarks.capacity.slopes import NotMeasured, Slopes

NOT_MEASURED = "not measured"
Lasts = Callable[[Slopes], float]


@dataclass(frozen=True, slots=True)
class Failure:
    """`needs`: the measurements behind `seconds`. `seconds`: for how long, by the plan's sizes."""

    name: str
    lost: str
    needs: tuple[str, ...]
    seconds: Lasts
    span: str
    bound: str

    def lasts(self, slopes: Slopes) -> str:
        """Raises MissingSlope if a measurement stands nowhere."""
        try:
            return f"{self.seconds(slopes):.3g} s {self.span}"
        except NotMeasured as missing:
            return f"{NOT_MEASURED}: {missing.reason}"

    def evidence(self, slopes: Slopes) -> str:
        absent = [name for name in self.needs if name in slopes.not_measured]
        return NOT_MEASURED if absent else ", ".join(self.needs)


def _run(name: str) -> Lasts:
    return lambda slopes: slopes.run(name)


FAILURES = (
    Failure(
        "two machines fail on an ordinary day",
        "calls under way at the host; its servers' calls are repeated elsewhere",
        ("machine_fails_s",), _run("machine_fails_s"), "of calls that fail",
        "time-outs and pauses of a server, `cedarcross/balance.py`",
    ),
    Failure(
        "a third of the instances down while a change is made",
        "no calls; the change waits for those who were heard just now",
        ("change.third_down_last", "list.policy_read"), lambda s: force_third_down(SIZES, s) / 1e3,
        "until it is in force everywhere", "`CHECK_MS`, `cedarcross/agreement/node.py`",
    ),
    Failure(
        "170 restarts a day, at their crowded hour",
        "the calls of an instance until it has a lease and a list",
        ("restarts_s",), _run("restarts_s"), "an instance", "`cedarcross/agreement/holder.py`",
    ),
    Failure(
        "a zone (113) back at once",
        "nothing of others; the zone's own calls until it has leases",
        ("zone_back_s",), _run("zone_back_s"), "until the last one decides",
        "receive buffers and the next asking, `cedarcross/membership/link.py`",
    ),
    Failure(
        "a rack with one control machine of five",
        "no lease is lost: four of five grant",
        ("rack_gone_s",), _run("rack_gone_s"), "without a lease",
        "majority of five, `cedarcross/agreement/words.py`",
    ),
    Failure(
        "two of five control machines",
        "no lease is lost: three of five grant; one more stops all",
        ("two_control_gone_s",), _run("two_control_gone_s"), "without a lease",
        "majority of five, `cedarcross/agreement/words.py`",
    ),
    Failure(
        "a region cut off for three minutes, without a majority",
        "every call there, or the promise of one version with `stale = \"serve\"`",
        ("region_cut.refused_inside",), lambda s: region_refused(SIZES, s), "of 180 s",
        "the lease, `cedarcross/agreement/holder.py`; nothing bounds the rest",
    ),
    Failure(
        "one instance cut off or stopped while a change is made",
        "its calls, once its lease has ended",
        ("lease.last", "list.policy_read"), lambda s: force(SIZES, s) / 1e3,
        "until it no longer decides by the old version",
        "lease and clock error, `cedarcross/agreement/holder.py`",
    ),
    Failure(
        "1% of the datagrams lost",
        "no calls; a change comes late where its word was lost",
        ("loss_change_s",), _run("loss_change_s"), "until the last one decides",
        "asked again, `cedarcross/agreement/holder.py`",
    ),
    Failure(
        "everyone started at once",
        "all calls until the first leases",
        ("all_start_s",), _run("all_start_s"), "until the last one decides",
        "receive buffers and the next asking, `cedarcross/membership/link.py`",
    ),
)  # fmt: skip
