"""The rules that a drill's history is checked against, as pure functions from records to breaches.

They use nothing of the program's protocols: only what clients sent and received, what reached servers, which
faults the drill injected, and what the kernel reports about processes. A breach states the rule, the time,
the instance and what was seen; the doc comment of each rule says what clients may rely on.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.load import KEYED, UNSAFE
from client_proxy.fault_injection.plan import Plan

SLACK_S = 0.15  # tolerance for delays by sockets, the scheduler and the drill's own timers
NEVER_RAN = ("turned away", "unusable")  # outcomes at a server that rule out that the request ran
RAN = ("ran", "running")  # outcomes that say that it had an effect, or may yet
EXTRA_DESCRIPTORS = 24  # allowed at rest beyond those at the start: idle connections that are kept
WINDOW_S = 1.0  # length of the windows for which served shares are computed


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule: its name, the time, the instance, and what was seen."""

    rule: str
    t: float
    who: str
    what: str

    def as_dict(self) -> Record:
        return asdict(self)


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which a fault affected an instance, or the link to it."""

    begin_s: float
    end_s: float
    why: str

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Return whether the span and the given one have a moment in common."""
        return begin_s <= self.end_s and end_s >= self.begin_s


def records_of_kind(records: Iterable[Record], kind: str) -> list[Record]:
    """Return the records of one kind, in their order."""
    return [record for record in records if record["kind"] == kind]


def excused_spans(records: Sequence[Record]) -> dict[str, list[Span]]:
    """Return, by instance, when faults excuse bad answers: it was down, stopped, or hard to reach.

    A graceful shutdown (SIGTERM) excuses nothing for requests that it had accepted, only for later ones.
    """
    spans: dict[str, list[Span]] = defaultdict(list)
    down: dict[str, tuple[float, str]] = {}
    begin_states = {"killed": "down", "ended": "down", "stopping": "stopped"}
    end_states = ("listening", "going", "ready")
    for record in records_of_kind(records, "state"):
        who, state = record["who"], record["state"]
        if state in begin_states and who not in down:
            down[who] = record["t"], begin_states[state]
        elif state in end_states and who in down:
            begin_s, why = down.pop(who)
            spans[who].append(Span(begin_s, record["t"], why))
    for who, (begin_s, why) in down.items():
        spans[who].append(Span(begin_s, float("inf"), why))
    for record in records_of_kind(records, "fault"):
        if record["what"] in ("silent", "reset", "delay", "trickle"):
            ends = (*record["who"], *record["to"])
            if "c" in ends:
                for name in ends:
                    spans[name].append(Span(record["begin"], record["end"], record["what"]))
        elif record["what"] in ("busy", "clock", "torn", "slow-disk", "die-at", "die-after"):
            for name in record["who"]:
                spans[name].append(Span(record["begin"], record["end"], record["what"]))
    return spans


def check_answers(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """Each attempt gets one final answer: complete, in time, to this request, and with no bytes after it."""
    excused = excused_spans(records)
    # An instance on the same cores may be as late as the drill's own timers.
    slack_s = SLACK_S + max((2 * r["worst_s"] for r in records_of_kind(records, "late")), default=0.0)
    ending = {r["who"]: r["t"] for r in records_of_kind(records, "state") if r["state"] == "ending"}
    ops = {op["id"]: op for op in records_of_kind(records, "op")}
    breaches: list[Breach] = []
    for op in ops.values():
        who, begin_s, end_s = op["instance"], op["begin"], op["end"]
        is_excused = any(span.overlaps(begin_s, end_s + SLACK_S) for span in excused.get(who, ()))
        if not op["own"]:
            breaches.append(Breach("foreign", end_s, who, f"{op['id']}: served with another's answer"))
        if op["ending"] == "unreadable":
            breaches.append(Breach("unreadable", end_s, who, f"{op['id']}: what came is no answer"))
        if is_excused:
            continue
        if op["ending"] == "cut" and not (who in ending and begin_s >= ending[who]):
            breaches.append(Breach("lost", end_s, who, f"{op['id']}: its connection ended with no answer"))
        if op["ending"] == "lost":
            breaches.append(Breach("lost", end_s, who, f"{op['id']}: no answer in its time"))
        if op["status"] and end_s - begin_s > op["left_s"] + slack_s:
            late_ms = 1000.0 * (end_s - begin_s - op["left_s"])
            breaches.append(
                Breach("late", end_s, who, f"{op['id']}: answered {late_ms:.0f} ms past its time")
            )
    for record in records_of_kind(records, "again"):
        op = ops.get(record["id"], {"instance": ""})
        breaches.append(Breach("again", record["t"], op["instance"], f"{record['id']}: more than one answer"))
    return breaches


def arrivals(records: Sequence[Record]) -> list[Record]:
    """Return the requests that reached servers, each with its outcome, in the order of time.

    A request whose server was killed has the outcome `unknown`, and may have run.
    """
    fates = {(r["server"], r["life"], r["n"]): r for r in records_of_kind(records, "fate")}
    # The instance that sent it is the one that the client asked. Where each instance has a listener of its
    # own at a server, the listener says the same.
    asked_of = {op["id"]: op["instance"] for op in records_of_kind(records, "op")}
    with_outcomes = []
    for record in records_of_kind(records, "arrival"):
        fate = fates.get((record["server"], record["life"], record["n"]), {})
        who = asked_of.get(record["id"], record["instance"])
        extra = {"instance": who, "fate": fate.get("fate", "unknown"), "ended": fate.get("ended")}
        with_outcomes.append({**record, **extra})
    return sorted(with_outcomes, key=lambda record: float(record["t"]))


def check_effects(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """No request takes effect twice, over the whole fleet.

    A request that is not idempotent and may have run is sent nowhere again, one with an idempotency key only
    to its rack, and neither is rejected. Client retries count as the same request.
    """
    rack_of = plan.servers()
    breaches: list[Breach] = []
    by_id: dict[str, list[Record]] = defaultdict(list)
    by_request: dict[str, list[Record]] = defaultdict(list)
    for arrival in arrivals(records):
        by_id[arrival["id"]].append(arrival)
        if arrival["class"] == UNSAFE and arrival["fate"] in RAN:
            by_request[arrival["id"][:-2]].append(arrival)
    for id_, group in by_id.items():
        may_have_run = [a for a in group if a["fate"] not in NEVER_RAN]
        if not may_have_run:
            continue
        first = may_have_run[0]
        for later in group[group.index(first) + 1 :]:
            if later["class"] == UNSAFE:
                what = f"{id_}: sent to {later['server']}, and it may have run at {first['server']}"
                breaches.append(Breach("twice", later["t"], later["instance"], what))
            elif rack_of[later["server"]] != rack_of[first["server"]]:
                what = f"{id_}: repeated at {later['server']}, outside the rack of {first['server']}"
                breaches.append(Breach("twice", later["t"], later["instance"], what))
        ran = [a for a in group if a["fate"] in RAN]
        if group[0]["class"] == KEYED and len(ran) > 1:
            breaches.append(
                Breach("twice", ran[1]["t"], ran[1]["instance"], f"{id_}: took effect {len(ran)} times")
            )
    for request_id, ran in by_request.items():
        if len({a["id"] for a in ran}) > 1:
            instances = "+".join(sorted({a["instance"] for a in ran}))
            what = f"{request_id}: took effect {len(ran)} times, over the instances {instances}"
            breaches.append(Breach("twice", ran[1]["t"], instances, what))
    for op in records_of_kind(records, "op"):
        may_have_run = [
            a for a in by_id.get(op["id"], ()) if a["fate"] not in NEVER_RAN and a["t"] <= op["end"]
        ]
        if op["ending"] == "refused" and may_have_run:
            what = f"{op['id']}: refused, and it may have run at {may_have_run[0]['server']}"
            breaches.append(Breach("twice", op["end"], op["instance"], what))
    return breaches


def check_list_age(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """A stated time after a change of the server list no instance uses the old one.

    That includes instances that were down, stopped or cut off during the change, or found the list invalid.
    """
    arrived: dict[tuple[str, str], list[Record]] = defaultdict(list)
    for arrival in arrivals(records):
        arrived[arrival["instance"], arrival["server"]].append(arrival)
    breaches: list[Breach] = []
    for change in records_of_kind(records, "list"):
        end_s = change["t"] + plan.aim.stale_s
        for server in change["drop"]:
            late = [a for a in arrived[change["instance"], server] if a["first"] > end_s]
            if late:
                last_s = late[-1]["first"] - change["t"]
                what = f"{len(late)} requests to {server} by the old list, the last {last_s:.1f} s after it"
                breaches.append(Breach("stale", late[0]["first"], change["instance"], what))
    return breaches


def check_draining(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """A draining server gets no new request after the grace period, which begins with discovery's notice."""
    grace_s = 1.0 + SLACK_S
    closed_s: dict[tuple[str, str], float] = {}
    breaches: list[Breach] = []
    moments = [*records_of_kind(records, "told"), *records_of_kind(records, "arrival")]
    for record in sorted(moments, key=lambda r: float(r.get("first", r["t"]))):
        route = record["instance"], record["server"]
        if record["kind"] == "told":
            if record["status"] == "ready":
                closed_s.pop(route, None)
            else:
                closed_s.setdefault(route, record["t"])
        elif route in closed_s and record["first"] > closed_s[route] + grace_s:
            what = (
                f"{record['id']}: sent to {record['server']} {record['first'] - closed_s[route]:.2f} s after"
            )
            breaches.append(Breach("drain", record["first"], record["instance"], f"{what} it was told"))
    return breaches


def check_warming_up(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """No server crashes by overload while it warms up."""
    what = "fell, cold, under more than it bore"
    return [Breach("push", crash["t"], crash["server"], what) for crash in records_of_kind(records, "fall")]


def check_readiness(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """An instance that reports that it is not ready serves no request meanwhile."""
    spans: dict[str, list[Span]] = defaultdict(list)
    last: dict[str, Record] = {}
    for probe in records_of_kind(records, "probe"):
        before = last.get(probe["instance"])
        if before is not None and before["status"] == probe["status"] == 503:
            # Between the answer to one probe and the start of the next it surely was not ready.
            spans[probe["instance"]].append(Span(before["t"], probe["begin"], "not ready"))
        last[probe["instance"]] = probe
    breaches: list[Breach] = []
    for op in records_of_kind(records, "op"):
        for span in spans.get(op["instance"], ()):
            if op["ending"] == "served" and span.begin_s <= op["begin"] and op["end"] <= span.end_s:
                what = f"{op['id']}: served while it said that it was not ready"
                breaches.append(Breach("unready", op["end"], op["instance"], what))
    return breaches


def served_by_window(
    records: Sequence[Record], since_s: float, until_s: float
) -> list[tuple[float, int, int]]:
    """Return for each window of `WINDOW_S`: its begin, the requests that begin in it, and those served."""
    first: dict[str, float] = {}
    served: set[str] = set()
    for op in records_of_kind(records, "op"):
        first[op["logical"]] = min(op["begin"], first.get(op["logical"], op["begin"]))
        if op["ending"] == "served":
            served.add(op["logical"])
    count = max(0, int((until_s - since_s) / WINDOW_S))
    asked_counts, served_counts = [0] * count, [0] * count
    for logical, begin_s in first.items():
        index = int((begin_s - since_s) // WINDOW_S)
        if 0 <= index < count:
            asked_counts[index] += 1
            served_counts[index] += logical in served
    return [(since_s + n * WINDOW_S, asked_counts[n], served_counts[n]) for n in range(count)]


def last_fault_end_s(plan: Plan, records: Sequence[Record]) -> float | None:
    """Return the time at which the last fault ended; None if the plan has no faults."""
    ends = [r["end"] for r in records_of_kind(records, "fault")]
    return max(ends) if ends else None


def check_recovery(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """A stated time after the last fault the fleet serves the stated share of requests again.

    The clients of an instance that is down until the plan's end use other instances.
    """
    faults_end_s, end = last_fault_end_s(plan, records), records_of_kind(records, "end")
    if faults_end_s is None or not end:
        return []
    begin_s = faults_end_s + plan.aim.whole_s
    windows = served_by_window(records, begin_s, end[0]["t"])
    requests, served = sum(w[1] for w in windows), sum(w[2] for w in windows)
    if requests and served / requests < plan.aim.whole_share:
        what = f"{served} of {requests} served, {plan.aim.whole_s:g} s and more after the last fault ended"
        return [Breach("progress", begin_s, "fleet", what)]
    return []


def whole_after_s(plan: Plan, records: Sequence[Record]) -> float | None:
    """Return the seconds from the end of the last fault until the served share is reached for good.

    None: it never is.
    """
    faults_end_s, end = last_fault_end_s(plan, records), records_of_kind(records, "end")
    if faults_end_s is None or not end:
        return 0.0
    restored_s: float | None = None
    for begin_s, requests, served in reversed(served_by_window(records, faults_end_s, end[0]["t"])):
        if requests and served / requests < plan.aim.whole_share:
            break
        restored_s = begin_s - faults_end_s
    return restored_s


def check_processes(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """No process ends by itself, hangs at its end, leaks descriptors, or logs an uncaught exception."""
    breaches = []
    for record in records_of_kind(records, "state"):
        if record["state"] == "crashed":
            what = f"ended by itself with code {record['code']}: {record.get('said', '')}"
            breaches.append(Breach("crash", record["t"], record["who"], what))
        if record["state"] == "hangs":
            breaches.append(Breach("hangs", record["t"], record["who"], "did not end after SIGTERM"))
        if record["state"] == "left":
            breaches.append(Breach("left", record["t"], record["who"], "a process was left behind"))
    looks: dict[tuple[str, int], list[Record]] = defaultdict(list)
    for look in records_of_kind(records, "look"):
        looks[look["who"], look["pid"]].append(look)
    for (who, _), group in looks.items():
        if group[-1].get("rested") and group[-1]["fds"] > group[0]["fds"] + EXTRA_DESCRIPTORS:
            what = f"{group[-1]['fds']} descriptors at rest, {group[0]['fds']} at first"
            breaches.append(Breach("descriptors", group[-1]["t"], who, what))
    for record in records_of_kind(records, "log"):
        if "Traceback" in record["line"]:
            breaches.append(Breach("traceback", record["t"], record["who"], record["line"][:300]))
    return breaches


def drill_errors(plan: Plan, records: Sequence[Record]) -> list[str]:
    """Return the drill's own errors: answers by an instance that was said to be stopped or dead."""
    errors = []
    since: dict[str, tuple[float, str]] = {}
    spans: list[tuple[str, Span]] = []
    for record in records_of_kind(records, "state"):
        who, what = record["who"], record["state"]
        if what in ("ended", "stopped"):
            since[who] = record["t"], what
        elif what in ("started", "going") and who in since:
            begin_s, why = since.pop(who)
            spans.append((who, Span(begin_s, record["t"], why)))
    for who, span in spans:
        for op in records_of_kind(records, "op"):
            inside = span.begin_s < op["begin"] and op["end"] < span.end_s
            if op["instance"] == who and inside and op["status"]:
                errors.append(f"{who} answered {op['id']} while it was {span.why}")
    return errors


RULES: tuple[Callable[[Plan, Sequence[Record]], list[Breach]], ...] = (
    check_answers, check_effects, check_list_age, check_draining, check_warming_up, check_readiness,
    check_recovery, check_processes,
)  # fmt: skip


def check(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """Return the breaches of all rules in the order of time."""
    return sorted((b for rule in RULES for b in rule(plan, records)), key=lambda b: b.t)


def figures(plan: Plan, records: Sequence[Record]) -> dict[str, Any]:
    """Return figures of the drill: requests, those served and not served, and client attempts by ending."""
    ops = records_of_kind(records, "op")
    requests = {op["logical"] for op in ops}
    served = {op["logical"] for op in ops if op["ending"] == "served"}
    endings: dict[str, int] = defaultdict(int)
    for op in ops:
        endings[op["ending"]] += 1
    return {
        "asked": len(requests),
        "served": len(served),
        "unserved": len(requests) - len(served),
        "tries": dict(sorted(endings.items())),
        "whole_after_s": whole_after_s(plan, records),
    }
