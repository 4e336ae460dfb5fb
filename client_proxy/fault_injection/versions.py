"""The rules of an agreed policy, held against a drill's history. Pure functions, as in `invariants.py`.

A version is told from outside by what it names: each agreed list has its servers, and a whole policy the
attempts that a request may have. So what reached servers for a request says by which versions it may have
been decided; the rules compare that with what authors were told and when. What can't be told apart is no
breach.

- *nowhere*: no request is decided by what was never decided;
- *mixed*: one request is decided, repeated and answered by one version;
- *old*: W after a version was decided, or was first seen to decide, no request that begins is decided by an
  older one. W is the lease over the rate that a clock keeps to, so it is a promise about every instance;
- *split*: there is one version of each number, whoever is asked."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.invariants import SLACK_S, Breach, arrivals, records_of_kind
from client_proxy.fault_injection.plan import Plan

CLOCK_ERROR = 0.05


@dataclass(frozen=True, slots=True)
class Known:
    """One decided version: what it names, and the span in which it came to be."""

    number: int
    servers: frozenset[str]
    attempts: int
    asked_s: float  # nobody can have decided by it before
    told_s: float  # it was decided by then


def overlap_s(plan: Plan) -> float:
    """W."""
    return plan.fleet.lease_ms / 1000.0 / (1.0 - CLOCK_ERROR)


def decided(plan: Plan, records: Sequence[Record]) -> dict[int, Known]:
    """By number. What an author was not told is looked up in what instances told at the end."""
    whole = frozenset(plan.servers()) - set(plan.fleet.without)
    found = {1: Known(1, whole, 3, float("-inf"), float("-inf"))}
    numbers = {
        name: n for told in records_of_kind(records, "versions") for n, name in told["versions"] if name
    }
    for change in records_of_kind(records, "change"):
        number = change["version"] if change["what"] == "decided" else numbers.get(change["name"], 0)
        if number:
            told_s = change["end"] if change["what"] == "decided" else float("inf")
            servers = frozenset(change["servers"])
            found[number] = Known(number, servers, change["attempts"], change["t"], told_s)
    return found


@dataclass(frozen=True, slots=True)
class Seen:
    """A request as it reached servers. `by`: the versions that it may have been decided by."""

    id: str
    instance: str
    written_s: float
    first_s: float
    by: frozenset[int]


def seen(plan: Plan, records: Sequence[Record], known: dict[int, Known]) -> tuple[list[Seen], list[Breach]]:
    ops = {op["id"]: op for op in records_of_kind(records, "op")}
    reached: dict[str, list[Record]] = defaultdict(list)
    for arrival in arrivals(records):
        if arrival["id"] in ops:
            reached[arrival["id"]].append(arrival)
    found: list[Seen] = []
    breaches: list[Breach] = []
    for id_, each in reached.items():
        op, last_s = ops[id_], max(a["first"] for a in each)
        possible = {n: v for n, v in known.items() if v.asked_s <= last_s}
        by = [{n for n, v in possible.items() if a["server"] in v.servers} for a in each]
        nowhere = next((a for a, versions in zip(each, by, strict=True) if not versions), None)
        if nowhere is not None:
            what = f"{id_}: sent to {nowhere['server']}, which no version names that was decided by then"
            breaches.append(Breach("nowhere", nowhere["first"], op["instance"], what))
            continue
        same = set.intersection(*by)
        if not same:
            names = ", ".join(a["server"] for a in each)
            breaches.append(Breach("mixed", last_s, op["instance"], f"{id_}: {names}: of no one version"))
            continue
        many = {n for n in same if plan.fleet.whole and len(each) > (possible[n].attempts or 99)}
        if same == many:
            what = f"{id_}: {len(each)} attempts, more than any version allows that has its servers"
            breaches.append(Breach("mixed", last_s, op["instance"], what))
            continue
        first_s = min(a["first"] for a in each)
        found.append(Seen(id_, op["instance"], op["written"], first_s, frozenset(same - many)))
    return found, breaches


def versions(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """All four rules."""
    if not plan.fleet.seats:
        return []
    found = _split(records)
    known = decided(plan, records)
    requests, breaches = seen(plan, records, known)
    found += breaches
    if plan.fleet.stale == "serve":
        return found  # operators prefer service: what is promised of overlaps does not hold then
    by_s = {number: each.told_s for number, each in known.items()}
    for request in requests:
        surely = min(request.by)
        by_s[surely] = min(by_s[surely], request.first_s)
    w_s = overlap_s(plan)
    # From when on nothing older than this number may decide what begins.
    ends = sorted((at_s + w_s, number) for number, at_s in by_s.items() if number > 1)
    slack_s = SLACK_S + max((2 * r["worst_s"] for r in records_of_kind(records, "late")), default=0.0)
    told: set[tuple[str, int]] = set()
    for request in requests:
        newest = max(request.by)
        late = [(end_s, n) for end_s, n in ends if n > newest and request.written_s > end_s + slack_s]
        if late and (request.instance, newest) not in told:
            told.add((request.instance, newest))
            end_s, number = late[0]
            what = (
                f"{request.id}: decided by version {newest} at the newest, {request.written_s - end_s:.2f} s "
                f"past the last moment for anything older than {number}"
            )
            found.append(Breach("old", request.written_s, request.instance, what))
    return found


def _split(records: Sequence[Record]) -> list[Breach]:
    first: dict[int, tuple[str, str]] = {}
    found: list[Breach] = []
    for told in records_of_kind(records, "versions"):
        for number, name in told["versions"]:
            known = first.setdefault(number, (name, told["who"]))
            if known[0] != name:
                what = f"version {number} is {name!r} here and {known[0]!r} at {known[1]}"
                found.append(Breach("split", told["t"], told["who"], what))
    return found


def overlaps_ms(plan: Plan, records: Sequence[Record]) -> dict[int, float]:
    """By version, for how long another instance was still seen to begin requests by an older one after it was
    first seen to decide. What can't be told apart does not count: a lower bound."""
    known = decided(plan, records)
    requests, _ = seen(plan, records, known)
    spans: dict[int, float] = {}
    for number in known:
        firsts = [r.first_s for r in requests if min(r.by) >= number]
        if not firsts or number == 1:
            continue
        first_s = min(firsts)
        olds = [r.written_s - first_s for r in requests if max(r.by) < number]
        spans[number] = 1000.0 * max([0.0, *olds])
    return spans


def figures(plan: Plan, records: Sequence[Record]) -> dict[str, Any]:
    """Of the changes of a drill, for tables."""
    counts: dict[str, int] = defaultdict(int)
    took = []
    for change in records_of_kind(records, "change"):
        counts[change["what"]] += 1
        took.append(1000.0 * (change["end"] - change["t"]))
    return {
        "changes": dict(counts),
        "took_ms": [round(t, 1) for t in took],
        "overlap_ms": overlaps_ms(plan, records),
    }
