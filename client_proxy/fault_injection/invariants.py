"""The rules of a drill, held against its history. Pure functions: records in, breaches out.

They know nothing of the program's protocols: only what clients asked and were answered, what reached servers,
what the drill did to whom, and what the system says of processes. Each breach names the rule, the moment, the
instance, and what was seen; each rule's text below says what clients may rely on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.load import KEYED, UNSAFE
from client_proxy.fault_injection.plan import Plan

SLACK_S = 0.15  # of sockets, the scheduler and our own clocks, past a stated moment
NEVER_RAN = ("turned away", "unusable")
RAN = ("ran", "running")
MORE_DESCRIPTORS = 24  # than at its start, after a rest: connections that are kept
WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    t: float
    who: str
    what: str

    def told(self) -> Record:
        return asdict(self)


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which an instance, or the way to it, was not itself."""

    begin_s: float
    end_s: float
    why: str

    def meets(self, begin_s: float, end_s: float) -> bool:
        return begin_s <= self.end_s and end_s >= self.begin_s


def records_of_kind(records: Iterable[Record], kind: str) -> list[Record]:
    return [record for record in records if record["kind"] == kind]


def troubles(records: Sequence[Record]) -> dict[str, list[Span]]:
    """By instance, when its clients had to bear with it: it was down, stopped, or hardly reached.

    An orderly end (SIGTERM) is no excuse for what it had taken: only for what comes after it."""
    found: dict[str, list[Span]] = defaultdict(list)
    down: dict[str, tuple[float, str]] = {}
    opens = {"killed": "down", "ended": "down", "stopping": "stopped"}
    closes = ("listening", "going", "ready")
    for record in records_of_kind(records, "state"):
        who, state = record["who"], record["state"]
        if state in opens and who not in down:
            down[who] = record["t"], opens[state]
        elif state in closes and who in down:
            begin_s, why = down.pop(who)
            found[who].append(Span(begin_s, record["t"], why))
    for who, (begin_s, why) in down.items():
        found[who].append(Span(begin_s, float("inf"), why))
    for record in records_of_kind(records, "fault"):
        if record["what"] in ("silent", "reset", "delay", "trickle"):
            ends = (*record["who"], *record["to"])
            if "c" in ends:
                for name in ends:
                    found[name].append(Span(record["begin"], record["end"], record["what"]))
        elif record["what"] in ("busy", "clock", "torn", "slow-disk", "die-at", "die-after"):
            for name in record["who"]:
                found[name].append(Span(record["begin"], record["end"], record["what"]))
    return found


def answers(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """One final answer: whole, in time, by whom it was asked of, and nothing behind it."""
    excused = troubles(records)
    # What our own timers were late by, an instance on the same cores may be late by as well.
    slack_s = SLACK_S + max((2 * r["worst_s"] for r in records_of_kind(records, "late")), default=0.0)
    ending = {r["who"]: r["t"] for r in records_of_kind(records, "state") if r["state"] == "ending"}
    ops = {op["id"]: op for op in records_of_kind(records, "op")}
    found: list[Breach] = []
    for op in ops.values():
        who, begin_s, end_s = op["instance"], op["begin"], op["end"]
        borne = any(span.meets(begin_s, end_s + SLACK_S) for span in excused.get(who, ()))
        if not op["own"]:
            found.append(Breach("foreign", end_s, who, f"{op['id']}: served with another's answer"))
        if op["ending"] == "unreadable":
            found.append(Breach("unreadable", end_s, who, f"{op['id']}: what came is no answer"))
        if borne:
            continue
        if op["ending"] == "cut" and not (who in ending and begin_s >= ending[who]):
            found.append(Breach("lost", end_s, who, f"{op['id']}: its connection ended with no answer"))
        if op["ending"] == "lost":
            found.append(Breach("lost", end_s, who, f"{op['id']}: no answer in its time"))
        if op["status"] and end_s - begin_s > op["left_s"] + slack_s:
            late_ms = 1000.0 * (end_s - begin_s - op["left_s"])
            found.append(Breach("late", end_s, who, f"{op['id']}: answered {late_ms:.0f} ms past its time"))
    for record in records_of_kind(records, "again"):
        op = ops.get(record["id"], {"instance": ""})
        found.append(Breach("again", record["t"], op["instance"], f"{record['id']}: more than one answer"))
    return found


def arrivals(records: Sequence[Record]) -> list[Record]:
    """What reached servers, each with its fate; one whose server was killed has none, and may have run."""
    fates = {(r["server"], r["life"], r["n"]): r for r in records_of_kind(records, "fate")}
    # By whom it was sent: whose client asked for it. The door at which it came says the same, where each
    # instance has its own.
    asked_of = {op["id"]: op["instance"] for op in records_of_kind(records, "op")}
    joined = []
    for record in records_of_kind(records, "arrival"):
        fate = fates.get((record["server"], record["life"], record["n"]), {})
        who = asked_of.get(record["id"], record["instance"])
        more = {"instance": who, "fate": fate.get("fate", "unknown"), "ended": fate.get("ended")}
        joined.append({**record, **more})
    return sorted(joined, key=lambda record: float(record["t"]))


def check_effects(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """No effect twice, over the whole fleet: an unsafe request that may have run is nowhere sent again, a
    keyed one only to its rack, and neither is refused. Clients' own repeats of a thing count as one thing."""
    rack = plan.servers()
    found: list[Breach] = []
    by_id: dict[str, list[Record]] = defaultdict(list)
    by_thing: dict[str, list[Record]] = defaultdict(list)
    for arrival in arrivals(records):
        by_id[arrival["id"]].append(arrival)
        if arrival["class"] == UNSAFE and arrival["fate"] in RAN:
            by_thing[arrival["id"][:-2]].append(arrival)
    for id_, each in by_id.items():
        may = [a for a in each if a["fate"] not in NEVER_RAN]
        if not may:
            continue
        first = may[0]
        for later in each[each.index(first) + 1 :]:
            if later["class"] == UNSAFE:
                what = f"{id_}: sent to {later['server']}, and it may have run at {first['server']}"
                found.append(Breach("twice", later["t"], later["instance"], what))
            elif rack[later["server"]] != rack[first["server"]]:
                what = f"{id_}: repeated at {later['server']}, outside the rack of {first['server']}"
                found.append(Breach("twice", later["t"], later["instance"], what))
        ran = [a for a in each if a["fate"] in RAN]
        if each[0]["class"] == KEYED and len(ran) > 1:
            found.append(
                Breach("twice", ran[1]["t"], ran[1]["instance"], f"{id_}: took effect {len(ran)} times")
            )
    for thing, ran in by_thing.items():
        if len({a["id"] for a in ran}) > 1:
            over = "+".join(sorted({a["instance"] for a in ran}))
            what = f"{thing}: took effect {len(ran)} times, over the instances {over}"
            found.append(Breach("twice", ran[1]["t"], over, what))
    for op in records_of_kind(records, "op"):
        may = [a for a in by_id.get(op["id"], ()) if a["fate"] not in NEVER_RAN and a["t"] <= op["end"]]
        if op["ending"] == "refused" and may:
            what = f"{op['id']}: refused, and it may have run at {may[0]['server']}"
            found.append(Breach("twice", op["end"], op["instance"], what))
    return found


def stale(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """So long after a change of the list, nobody works by the old one: also not who was down, stopped or cut
    off while it was made, and not who found it unusable."""
    arrived: dict[tuple[str, str], list[Record]] = defaultdict(list)
    for arrival in arrivals(records):
        arrived[arrival["instance"], arrival["server"]].append(arrival)
    found: list[Breach] = []
    for change in records_of_kind(records, "list"):
        end_s = change["t"] + plan.aim.stale_s
        for server in change["drop"]:
            late = [a for a in arrived[change["instance"], server] if a["first"] > end_s]
            if late:
                last_s = late[-1]["first"] - change["t"]
                what = f"{len(late)} requests to {server} by the old list, the last {last_s:.1f} s after it"
                found.append(Breach("stale", late[0]["first"], change["instance"], what))
    return found


def drained(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """No new work to a server after the grace, counted from when discovery told that instance."""
    grace_s = 1.0 + SLACK_S
    closed: dict[tuple[str, str], float] = {}
    found: list[Breach] = []
    moments = [*records_of_kind(records, "told"), *records_of_kind(records, "arrival")]
    for record in sorted(moments, key=lambda r: float(r.get("first", r["t"]))):
        place = record["instance"], record["server"]
        if record["kind"] == "told":
            if record["status"] == "ready":
                closed.pop(place, None)
            else:
                closed.setdefault(place, record["t"])
        elif place in closed and record["first"] > closed[place] + grace_s:
            what = f"{record['id']}: sent to {record['server']} {record['first'] - closed[place]:.2f} s after"
            found.append(Breach("drain", record["first"], record["instance"], f"{what} it was told"))
    return found


def pushed(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """No cold server is pushed over."""
    what = "fell, cold, under more than it bore"
    return [Breach("push", fall["t"], fall["server"], what) for fall in records_of_kind(records, "fall")]


def honest(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """Who says that it is not ready serves nobody meanwhile."""
    spans: dict[str, list[Span]] = defaultdict(list)
    last: dict[str, Record] = {}
    for probe in records_of_kind(records, "probe"):
        before = last.get(probe["instance"])
        if before is not None and before["status"] == probe["status"] == 503:
            # From the end of one such answer to the beginning of the next question, it surely was not.
            spans[probe["instance"]].append(Span(before["t"], probe["begin"], "not ready"))
        last[probe["instance"]] = probe
    found: list[Breach] = []
    for op in records_of_kind(records, "op"):
        for span in spans.get(op["instance"], ()):
            if op["ending"] == "served" and span.begin_s <= op["begin"] and op["end"] <= span.end_s:
                what = f"{op['id']}: served while it said that it was not ready"
                found.append(Breach("unready", op["end"], op["instance"], what))
    return found


def shares(records: Sequence[Record], since_s: float, until_s: float) -> list[tuple[float, int, int]]:
    """By window of a second: its begin, things asked for, and served."""
    first: dict[str, float] = {}
    served: set[str] = set()
    for op in records_of_kind(records, "op"):
        first[op["logical"]] = min(op["begin"], first.get(op["logical"], op["begin"]))
        if op["ending"] == "served":
            served.add(op["logical"])
    count = max(0, int((until_s - since_s) / WINDOW_S))
    asked, good = [0] * count, [0] * count
    for logical, begin_s in first.items():
        nth = int((begin_s - since_s) // WINDOW_S)
        if 0 <= nth < count:
            asked[nth] += 1
            good[nth] += logical in served
    return [(since_s + n * WINDOW_S, asked[n], good[n]) for n in range(count)]


def settled_s(plan: Plan, records: Sequence[Record]) -> float | None:
    """The moment from which no fault is on any more. None: the plan has no faults."""
    ends = [r["end"] for r in records_of_kind(records, "fault")]
    return max(ends) if ends else None


def progress(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """A stated time after the faults end, service is whole again. Who is held down to the plan's end is left
    out by its clients, who go elsewhere."""
    from_s, end = settled_s(plan, records), records_of_kind(records, "end")
    if from_s is None or not end:
        return []
    begin_s = from_s + plan.aim.whole_s
    windows = shares(records, begin_s, end[0]["t"])
    asked, good = sum(w[1] for w in windows), sum(w[2] for w in windows)
    if asked and good / asked < plan.aim.whole_share:
        what = f"{good} of {asked} served, {plan.aim.whole_s:g} s and more after the last fault ended"
        return [Breach("progress", begin_s, "fleet", what)]
    return []


def whole_after_s(plan: Plan, records: Sequence[Record]) -> float | None:
    """Seconds from the end of the last fault until service is whole and stays so. None: it never is."""
    from_s, end = settled_s(plan, records), records_of_kind(records, "end")
    if from_s is None or not end:
        return 0.0
    after: float | None = None
    for begin_s, asked, good in reversed(shares(records, from_s, end[0]["t"])):
        if asked and good / asked < plan.aim.whole_share:
            break
        after = begin_s - from_s
    return after


def check_processes(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """None ends by itself, hangs at its end, keeps more descriptors than its connections, or tells of an
    error that nobody caught."""
    found = []
    for record in records_of_kind(records, "state"):
        if record["state"] == "crashed":
            what = f"ended by itself with code {record['code']}: {record.get('said', '')}"
            found.append(Breach("crash", record["t"], record["who"], what))
        if record["state"] == "hangs":
            found.append(Breach("hangs", record["t"], record["who"], "did not end after SIGTERM"))
        if record["state"] == "left":
            found.append(Breach("left", record["t"], record["who"], "a process was left behind"))
    looks: dict[tuple[str, int], list[Record]] = defaultdict(list)
    for look in records_of_kind(records, "look"):
        looks[look["who"], look["pid"]].append(look)
    for (who, _), each in looks.items():
        if each[-1].get("rested") and each[-1]["fds"] > each[0]["fds"] + MORE_DESCRIPTORS:
            what = f"{each[-1]['fds']} descriptors at rest, {each[0]['fds']} at first"
            found.append(Breach("descriptors", each[-1]["t"], who, what))
    for record in records_of_kind(records, "log"):
        if "Traceback" in record["line"]:
            found.append(Breach("traceback", record["t"], record["who"], record["line"][:300]))
    return found


def held(plan: Plan, records: Sequence[Record]) -> list[str]:
    """The drill's own errors: who was stopped or dead, and served all the same, was not."""
    found = []
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
                found.append(f"{who} answered {op['id']} while it was {span.why}")
    return found


RULES: tuple[Callable[[Plan, Sequence[Record]], list[Breach]], ...] = (
    answers, check_effects, stale, drained, pushed, honest, progress, check_processes,
)  # fmt: skip


def check(plan: Plan, records: Sequence[Record]) -> list[Breach]:
    """All rules, in the order of time."""
    return sorted((b for rule in RULES for b in rule(plan, records)), key=lambda b: b.t)


def figures(plan: Plan, records: Sequence[Record]) -> dict[str, Any]:
    """What clients had, for tables: things asked for and served, and tries by ending."""
    ops = records_of_kind(records, "op")
    things = {op["logical"] for op in ops}
    served = {op["logical"] for op in ops if op["ending"] == "served"}
    endings: dict[str, int] = defaultdict(int)
    for op in ops:
        endings[op["ending"]] += 1
    return {
        "asked": len(things),
        "served": len(served),
        "unserved": len(things) - len(served),
        "tries": dict(sorted(endings.items())),
        "whole_after_s": whole_after_s(plan, records),
    }
