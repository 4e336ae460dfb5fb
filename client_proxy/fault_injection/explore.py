"""Random search for plans that break a rule, and their minimization to the fewest faults that still do.

Drawing and minimizing are pure; the function that runs a plan is an argument, so both are tested without a
process.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from client_proxy.fault_injection.plan import FaultTable, Plan

MAX_FAULTS = 5  # faults of a random plan, without the changes that accompany them
MIN_DURATION_S, MAX_DURATION_S = 0.5, 4.0  # shortest and longest duration of a fault
MARGIN_S = 1.0  # before the first fault, and between two faults of one process
MIN_DISCOVERY_SILENCE_S = 3.0  # shortest silence of discovery

# Faults in fleets with an agreed policy. A disk fault comes with a change, since without one nothing is
# written and the fault would have no effect.
KINDS_WITH_SEATS = [
    "kill", "term", "stop", "busy", "clock", "clients-silent", "rack-kill", "rack-stop", "bad-start",
]  # fmt: skip
KINDS_WITH_SEATS += [
    "loss", "late", "twice", "reorder", "loss", "late", "twice", "reorder", "lost-disk", "future",
]  # fmt: skip
KINDS_WITH_SEATS += ["full", "slow-disk", "torn", "die-at", "die-after"]
KINDS_WITH_CHANGE = ("full", "slow-disk", "torn", "die-at")
MAX_CHANGES = 4  # further changes in a fleet with an agreed policy
CHANGE_DURATION_S = 3.5  # time within which a change is decided, even if some acceptors don't answer
DISK_FAULT_LEAD_S = 0.25  # from the start of a disk fault to its change
AUTHOR_DEATH_LEAD_S = 0.05  # from arming the death of an author to its change

Run = Callable[[Plan], Awaitable[list[str]]]
"""Runs a plan, and returns the rules that it broke, or `error`."""


def _kinds(plan: Plan) -> list[str]:
    if plan.fleet.seats:
        return KINDS_WITH_SEATS
    common = ["kill", "term", "stop", "silent", "reset", "delay", "trickle", "rack-kill", "rack-stop"]
    common += ["silent-one-way", "clients-silent", "busy", "clock"]
    if plan.fleet.line == "serve":
        common += ["bad-start", "list-disk", "lost-disk"]
    else:
        common += ["discovery-kill", "discovery-silent"]
    return [*common, "loss", "late", "twice", "reorder"] if plan.fleet.gossip else common


def draw_plan(base: Plan, seed: int, max_faults: int = MAX_FAULTS) -> Plan:
    """Draw a random plan with the fleet, load and aims of `base`; the same seed gives the same plan.

    One instance and one rack get no fault, so that somebody can serve at any time.

    Args:
        base: The plan whose faults are replaced.
        seed: Seed of the faults.
        max_faults: Most faults, without the changes that accompany them.
    """
    random = Random(f"{base.seed}/{seed}")
    candidates = base.instances()[: base.fleet.seats] or base.instances()  # only voters propose changes
    spared, spared_rack = random.choice(candidates), random.choice(base.racks())
    instances = [name for name in base.instances() if name != spared] or list(base.instances())
    racks = [name for name in base.racks() if name != spared_rack] or list(base.racks())
    faults: list[FaultTable] = []
    free_from_s: dict[str, float] = {}  # by process, the second from which it may get the next fault
    for _ in range(random.randint(1, max_faults)):
        fault = _draw_fault(base, random, random.choice(_kinds(base)), instances, racks)
        if fault is None:
            continue
        affected = [*fault.who, *fault.to] if fault.kind not in ("list",) else []
        ends_s = fault.at_s + fault.for_s + MARGIN_S
        if any(fault.at_s < free_from_s.get(name, 0.0) for name in affected if name != "c"):
            continue  # a process that is down can't be stopped: such a fault would not happen
        for name in affected:
            free_from_s[name] = max(ends_s, free_from_s.get(name, 0.0))
        faults.append(fault)
        if fault.kind in KINDS_WITH_CHANGE:
            faults.append(
                _draw_change(base, random, spared, round(fault.at_s + DISK_FAULT_LEAD_S, 2), "propose")
            )
        if fault.kind == "die-after" and fault.who[0] in candidates:
            # The author of a change dies after one of the datagrams that it sends for it.
            faults.append(
                _draw_change(base, random, fault.who[0], round(fault.at_s + AUTHOR_DEATH_LEAD_S, 2))
            )
    if base.fleet.seats:
        for _ in range(random.randint(1, MAX_CHANGES)):
            at_s = round(random.uniform(MARGIN_S, base.length_s - 2.0), 2)
            faults.append(_draw_change(base, random, spared, at_s))
    ordered = sorted(faults, key=lambda fault: fault.at_s)
    update = {"name": f"{base.name}-{seed}"[:60], "seed": seed, "fault": tuple(ordered)}
    return base.model_copy(update=update)


def _draw_change(base: Plan, random: Random, author: str, at_s: float, kind: str = "") -> FaultTable:
    """Draw a change to a list that lacks one server: one of `without`, or one of the first third."""
    servers = list(base.servers())
    drop = random.sample([*base.fleet.without, *servers[: len(servers) // 3]], 1)
    kind = kind or random.choice(["propose", "propose", "propose", "withdraw", "dry-run"])
    fields = {"drop": tuple(drop), "anew": True, "attempts": random.choice([2, 3])}
    return FaultTable.model_validate({"kind": kind, "who": (author,), "at_s": at_s, **fields})


def _draw_fault(
    base: Plan, random: Random, kind: str, instances: list[str], racks: list[str]
) -> FaultTable | None:
    latest = max(MARGIN_S + 0.1, base.length_s - MAX_DURATION_S - 1.0)
    at_s = round(random.uniform(MARGIN_S, latest), 2)
    for_s = round(random.uniform(MIN_DURATION_S, MAX_DURATION_S), 2)
    chosen = tuple(sorted(random.sample(instances, random.randint(1, max(1, len(instances) // 2)))))
    rack = random.choice(racks)
    timing = {"at_s": at_s, "for_s": for_s}

    def make_fault(kind: str, victims: tuple[str, ...] = chosen, **fields: object) -> FaultTable:
        return FaultTable.model_validate({"kind": kind, "who": victims, **timing, **fields})

    match kind:
        case "kill" | "term":
            fresh = base.fleet.line == "serve" and random.random() < 0.3
            # The loss of a majority of the voters' disks is not tolerated: that takes disaster recovery.
            return make_fault(
                kind, fresh=fresh and not set(chosen) & set(base.instances()[: base.fleet.seats])
            )
        case "stop" | "bad-start":
            return make_fault(kind)
        case "busy":
            return make_fault(kind, chosen[:1])
        case "clock":
            return make_fault(
                kind, chosen[:1], rate=random.choice([0.95, 1.05]), step_s=random.choice([-60.0, 60.0])
            )
        case "silent" | "reset":
            return make_fault(kind, to=(rack,))
        case "silent-one-way":
            return make_fault("silent", to=(rack,), back=False)
        case "clients-silent":
            return make_fault("silent", to=("c",))
        case "delay":
            return make_fault(kind, to=(rack,), ms=float(random.choice([20, 100, 400])))
        case "trickle":
            return make_fault(kind, to=(rack,), bytes_per_s=float(random.choice([500, 4000])))
        case "rack-kill":
            return make_fault("kill", (rack,))
        case "rack-stop":
            return make_fault("stop", (rack,))
        case "discovery-kill":
            return make_fault("kill", ("d",))
        case "discovery-silent":
            # Discovery sends something every two seconds: a shorter silence would have no effect.
            return make_fault("silent", to=("d",)).model_copy(
                update={"for_s": max(for_s, MIN_DISCOVERY_SILENCE_S)}
            )
        case "lost-disk" | "future":
            # An acceptor that lost its state has no vote; with few of them there would soon be no majority.
            others = tuple(name for name in instances if name not in base.instances()[: base.fleet.seats])
            if not others:
                return None
            victims = (random.choice(others),)
            return (
                make_fault("kill", victims, fresh=True, future=True)
                if kind == "future"
                else make_fault(kind, victims)
            )
        case "full" | "slow-disk" | "torn":
            return make_fault(kind, chosen[:1], ms=300.0).model_copy(
                update={"for_s": max(for_s, CHANGE_DURATION_S)}
            )
        case "die-at" | "die-after":
            to = _other_instances(base, chosen[:1]) if kind == "die-after" else ()
            fault = make_fault(kind, chosen[:1], step=random.randint(1, 8), to=to)
            return fault.model_copy(update={"for_s": max(for_s, CHANGE_DURATION_S)})
        case "loss" | "late" | "twice" | "reorder":
            others = _other_instances(base, chosen)
            return make_fault(kind, to=others, ms=200.0, share=random.choice([0.3, 1.0])) if others else None
    return None


def _other_instances(base: Plan, chosen: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(name for name in base.instances() if name not in chosen)


@dataclass
class Minimized:
    """A minimized plan, the rule that it still breaks, and how many runs that took."""

    plan: Plan
    rule: str
    runs: int


async def minimize(plan: Plan, rule: str, run_plan: Run, max_runs: int = 24) -> Minimized:
    """Minimize a plan to the fewest faults that still break `rule`, and then shorten these.

    Delta debugging (Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input", 2002).

    Args:
        plan: A plan that breaks the rule.
        rule: The rule's name.
        run_plan: Runs a plan, and returns the rules that it breaks.
        max_runs: Most runs.
    """
    faults, runs = list(plan.fault), 0

    async def still_breaks(kept_faults: list[FaultTable]) -> bool:
        nonlocal runs
        runs += 1
        return rule in await run_plan(plan.model_copy(update={"fault": tuple(kept_faults)}))

    part_count = 2
    while len(faults) > 1 and runs < max_runs:
        size = max(1, -(-len(faults) // part_count))
        for start in range(0, len(faults), size):
            remaining = faults[:start] + faults[start + size :]
            if remaining and runs < max_runs and await still_breaks(remaining):
                faults, part_count = remaining, max(2, part_count - 1)
                break
        else:
            if size == 1:
                break
            part_count = min(len(faults), 2 * part_count)
    for index, fault in enumerate(faults):
        while fault.for_s > 2 * MIN_DURATION_S and runs < max_runs:
            shorter = fault.model_copy(update={"for_s": round(fault.for_s / 2, 2)})
            if not await still_breaks([*faults[:index], shorter, *faults[index + 1 :]]):
                break
            faults[index] = fault = shorter
    return Minimized(plan.model_copy(update={"fault": tuple(faults)}), rule, runs)
