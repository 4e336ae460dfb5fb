"""The rules of an agreed policy that a drill's history is checked against, as pure functions.

Clients and servers show which version an instance used: each agreed list has its servers, and a whole policy
the attempts of a request. So the attempts that reached servers say which versions a request may have used;
the rules compare that with the outcomes that authors were told, and when. What can't be distinguished is no
breach.

- *nowhere*: no request uses a version that was never decided;
- *mixed*: all attempts of a request use one version;
- *old*: W after a version was decided, or was first seen in use, no request that begins uses an older one. W
  is the lease divided by the lowest rate of a clock, so it holds for every instance;
- *split*: every instance knows the same version under a number.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.invariants import SLACK_S, Breach, arrivals, records_of_kind
from client_proxy.fault_injection.plan import Plan

CLOCK_ERROR = 0.05  # largest share by which a clock may be slow


@dataclass(frozen=True, slots=True)
class DecidedVersion:
    """A decided version: its content, and the time span in which it was decided."""

    number: int
    servers: frozenset[str]
    attempts: int
    asked_s: float  # time of the proposal; the version is not in use before
    decided_by_s: float  # time at which its author was told of the decision


def overlap_s(plan: Plan) -> float:
    """Return W, seconds from the decision for a version to the last use of an older one."""
    return plan.fleet.lease_ms / 1000.0 / (1.0 - CLOCK_ERROR)


def decided_versions(plan: Plan, records: Sequence[Record]) -> dict[int, DecidedVersion]:
    """Return the decided versions by number.

    What an author was not told is taken from the versions that instances reported at the end.
    """
    first_servers = frozenset(plan.servers()) - set(plan.fleet.without)
    decided = {1: DecidedVersion(1, first_servers, 3, float("-inf"), float("-inf"))}
    numbers = {
        name: n
        for reported in records_of_kind(records, "versions")
        for n, name in reported["versions"]
        if name
    }
    for change in records_of_kind(records, "change"):
        number = change["version"] if change["what"] == "decided" else numbers.get(change["name"], 0)
        if number:
            decided_by_s = change["end"] if change["what"] == "decided" else float("inf")
            servers = frozenset(change["servers"])
            decided[number] = DecidedVersion(number, servers, change["attempts"], change["t"], decided_by_s)
    return decided


@dataclass(frozen=True, slots=True)
class ObservedRequest:
    """A request that reached servers. `by`: the versions that it may have used."""

    id: str
    instance: str
    written_s: float
    first_s: float
    by: frozenset[int]


def observe_requests(
    plan: Plan, records: Sequence[Record], decided: dict[int, DecidedVersion]
) -> tuple[list[ObservedRequest], list[Breach]]:
    """Return the requests that reached servers, and the breaches of the rules `nowhere` and `mixed`."""
    ops = {op["id"]: op for op in records_of_kind(records, "op")}
    reached: dict[str, list[Record]] = defaultdict(list)
    for arrival in arrivals(records):
        if arrival["id"] in ops:
            reached[arrival["id"]].append(arrival)
    observed: list[ObservedRequest] = []
    breaches: list[Breach] = []
    for id_, group in reached.items():
        op, last_s = ops[id_], max(a["first"] for a in group)
        possible = {n: version for n, version in decided.items() if version.asked_s <= last_s}
        by = [{n for n, version in possible.items() if a["server"] in version.servers} for a in group]
        undecided = next((a for a, numbers in zip(group, by, strict=True) if not numbers), None)
        if undecided is not None:
            what = f"{id_}: sent to {undecided['server']}, which no version names that was decided by then"
            breaches.append(Breach("nowhere", undecided["first"], op["instance"], what))
            continue
        common = set.intersection(*by)
        if not common:
            names = ", ".join(a["server"] for a in group)
            breaches.append(Breach("mixed", last_s, op["instance"], f"{id_}: {names}: of no one version"))
            continue
        exhausted = {n for n in common if plan.fleet.whole and len(group) > (possible[n].attempts or 99)}
        if common == exhausted:
            what = f"{id_}: {len(group)} attempts, more than any version allows that has its servers"
            breaches.append(Breach("mixed", last_s, op["instance"], what))
            continue
        first_s = min(a["first"] for a in group)
        observed.append(
            ObservedRequest(id_, op["instance"], op["written"], first_s, frozenset(common - exhausted))
        )
    return observed, breaches


def check_versions(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """Return the breaches of the four rules."""
    if not plan.fleet.seats:
        return []
    all_breaches = _check_split(records)
    decided = decided_versions(plan, records)
    requests, breaches = observe_requests(plan, records, decided)
    all_breaches += breaches
    if plan.fleet.stale == "serve":
        # Instances serve without a lease, so the time for which an older version may stay in use
        # (`overlap_s`) has no bound.
        return all_breaches
    used_from_s = {number: version.decided_by_s for number, version in decided.items()}
    for request in requests:
        oldest = min(request.by)
        used_from_s[oldest] = min(used_from_s[oldest], request.first_s)
    w_s = overlap_s(plan)
    # For each version, the time from which no older one may be used by requests that begin.
    ends = sorted((at_s + w_s, number) for number, at_s in used_from_s.items() if number > 1)
    slack_s = SLACK_S + max((2 * r["worst_s"] for r in records_of_kind(records, "late")), default=0.0)
    reported: set[tuple[str, int]] = set()
    for request in requests:
        newest = max(request.by)
        late = [(end_s, n) for end_s, n in ends if n > newest and request.written_s > end_s + slack_s]
        if late and (request.instance, newest) not in reported:
            reported.add((request.instance, newest))
            end_s, number = late[0]
            what = (
                f"{request.id}: decided by version {newest} at the newest, {request.written_s - end_s:.2f} s "
                f"past the last moment for anything older than {number}"
            )
            all_breaches.append(Breach("old", request.written_s, request.instance, what))
    return all_breaches


def _check_split(records: Sequence[Record]) -> list[Breach]:
    first: dict[int, tuple[str, str]] = {}
    breaches: list[Breach] = []
    for reported in records_of_kind(records, "versions"):
        for number, name in reported["versions"]:
            known = first.setdefault(number, (name, reported["who"]))
            if known[0] != name:
                what = f"version {number} is {name!r} here and {known[0]!r} at {known[1]}"
                breaches.append(Breach("split", reported["t"], reported["who"], what))
    return breaches


def overlaps_ms(plan: Plan, records: Sequence[Record]) -> dict[int, float]:
    """Return for each version how long an older one was still in use after its first use, in milliseconds.

    That is a lower bound, since requests whose version can't be determined don't count.
    """
    decided = decided_versions(plan, records)
    requests, _ = observe_requests(plan, records, decided)
    spans_ms: dict[int, float] = {}
    for number in decided:
        firsts = [r.first_s for r in requests if min(r.by) >= number]
        if not firsts or number == 1:
            continue
        first_s = min(firsts)
        older_s = [r.written_s - first_s for r in requests if max(r.by) < number]
        spans_ms[number] = 1000.0 * max([0.0, *older_s])
    return spans_ms


def figures(plan: Plan, records: Sequence[Record]) -> dict[str, Any]:
    """Return figures of the drill's changes: outcomes, durations and overlaps."""
    counts: dict[str, int] = defaultdict(int)
    durations_ms = []
    for change in records_of_kind(records, "change"):
        counts[change["what"]] += 1
        durations_ms.append(1000.0 * (change["end"] - change["t"]))
    return {
        "changes": dict(counts),
        "took_ms": [round(t, 1) for t in durations_ms],
        "overlap_ms": overlaps_ms(plan, records),
    }
