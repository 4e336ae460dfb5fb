"""The checkers, on histories made by hand: each rule finds its breach, and lets what is allowed pass."""

from __future__ import annotations

from typing import Any

from client_proxy.fault_injection import invariants as checks
from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.load import KEYED, UNSAFE
from client_proxy.fault_injection.plan import AimTable, FaultTable, FleetTable, Plan
from client_proxy.fault_injection.scenario_runner import judge

PLAN = Plan(name="p", fleet=FleetTable(instances=3, racks=2, per_rack=2), aim=AimTable(whole_s=2, stale_s=1))


def op(id_: str, **more: Any) -> Record:
    usual = {
        "kind": "op", "t": 2.0, "id": id_, "logical": id_[:-2], "instance": "i0", "class": KEYED, "key": "k",
        "begin": 1.0, "end": 1.1, "left_s": 1.5, "status": 200, "ending": "served", "own": True,
    }  # fmt: skip
    return usual | more


def arrival(id_: str, server: str = "r0-1", t: float = 1.05, fate: str = "ran", **more: Any) -> list[Record]:
    n = int(t * 1000)
    at = {"server": server, "life": 1.0, "n": n}
    came = {"kind": "arrival", "t": t, "first": t, "instance": "i0", "id": id_, "class": KEYED, **at}
    return [came | more, {"kind": "fate", "t": t + 0.01, "fate": fate, "ended": t, **at}]


def state(who: str, what: str, t: float, **more: Any) -> Record:
    return {"kind": "state", "t": t, "who": who, "state": what, "pid": 1, **more}


def fault(what: str, who: list[str], begin: float, end: float, to: tuple[str, ...] = ()) -> Record:
    return {
        "kind": "fault", "t": begin, "n": 0, "what": what, "who": who, "to": list(to), "begin": begin,
        "end": end, "seen": {},
    }  # fmt: skip


def rules(*records: Record, plan: Plan = PLAN) -> list[str]:
    return [breach.rule for breach in checks.check(plan, sorted(records, key=lambda r: float(r["t"])))]


def test_an_answer_is_one_whole_own_and_in_time() -> None:
    assert rules(op("aa00")) == []
    assert rules(op("aa00", own=False)) == ["foreign"]
    assert rules(op("aa00", ending="unreadable", status=0)) == ["unreadable"]
    assert rules(op("aa00", ending="cut", status=0)) == ["lost"]
    assert rules(op("aa00", ending="lost", status=0)) == ["lost"]
    assert rules(op("aa00", end=2.7)) == ["late"]
    assert rules(op("aa00", end=2.7), {"kind": "late", "t": 9.0, "who": "clients", "worst_s": 0.1}) == []
    assert rules(op("aa00"), {"kind": "again", "t": 1.2, "id": "aa00"}) == ["again"]


def test_who_is_killed_or_stopped_is_excused_and_who_ends_in_order_is_not() -> None:
    cut = op("aa00", ending="cut", status=0)
    assert rules(cut, state("i0", "killed", 1.05)) == []
    assert rules(cut, state("i1", "killed", 1.05)) == ["lost"]
    late = op("aa00", end=4.0)
    stopped = state("i0", "stopping", 1.05), state("i0", "going", 3.9)
    assert rules(late, *stopped) == []
    assert rules(op("ab00", begin=4.5, end=7.0), *stopped) == ["late"]
    assert rules(cut, state("i0", "ending", 1.05)) == ["lost"]  # it had taken it
    assert rules(op("aa00", begin=1.2, end=1.3, ending="cut", status=0), state("i0", "ending", 1.05)) == []


def test_a_cut_to_the_clients_is_an_excuse_and_one_to_servers_is_none() -> None:
    late = op("aa00", end=2.9)
    assert rules(late, fault("silent", ["i0"], 1.0, 3.0, ("c",))) == []
    assert rules(late, fault("silent", ["i0"], 1.0, 3.0, ("r0",))) == ["late"]


def test_an_unsafe_request_goes_out_once_and_a_keyed_one_stays_in_its_rack() -> None:
    twice = [*arrival("aa00", t=1.02), *arrival("aa00", "r0-2", t=1.04, fate="repeat")]
    assert rules(op("aa00"), *twice) == []
    unsafe = [record | ({"class": UNSAFE} if record["kind"] == "arrival" else {}) for record in twice]
    assert rules(op("aa00", **{"class": UNSAFE}), *unsafe) == ["twice"]
    assert rules(op("aa00"), *arrival("aa00", t=1.02), *arrival("aa00", "r1-1", t=1.04)) == ["twice", "twice"]
    # What was turned away never ran; what a killed server held may have.
    away = arrival("aa00", t=1.02, fate="turned away")
    assert rules(op("aa00"), *away, *arrival("aa00", "r1-1", t=1.04)) == []
    assert rules(op("aa00"), *arrival("aa00", t=1.02)[:1], *arrival("aa00", "r1-1", t=1.04)) == ["twice"]


def test_one_thing_over_two_instances_takes_effect_once() -> None:
    more = {"class": UNSAFE}
    first, second = arrival("aa00", t=1.02, **more), arrival("aa01", "r1-1", t=1.04, **more)
    tries = op("aa00", ending="refused", status=503, end=1.01, **more), op("aa01", instance="i1", **more)
    assert "twice" in rules(*tries, *first, *second)
    assert rules(*tries, *second) == []


def test_who_refuses_what_may_have_run_is_told() -> None:
    refused = op("aa00", ending="refused", status=503)
    assert rules(refused, *arrival("aa00")) == ["twice"]
    assert rules(refused, *arrival("aa00", fate="turned away")) == []


def change(t: float, **more: Any) -> Record:
    return {"kind": "list", "t": t, "instance": "i0", "reached": True, "drop": ["r0-1"], **more}


def test_the_old_list_is_over_a_stated_time_after_the_change_for_everybody() -> None:
    assert rules(change(1.0), *arrival("aa00", t=1.9)) == []
    assert rules(change(1.0), *arrival("aa00", t=2.1)) == ["stale"]
    assert rules(change(1.0), *arrival("aa00", "r0-2", t=2.1)) == []
    # Who was down is no better off.
    down = state("i0", "killed", 0.5), state("i0", "listening", 2.0)
    assert rules(change(1.0, reached=False), *down, *arrival("aa00", t=2.1)) == ["stale"]


def test_a_server_that_drains_gets_nothing_new_after_the_grace() -> None:
    told = {"kind": "told", "t": 1.0, "instance": "i0", "server": "r0-1", "status": "draining"}
    assert rules(told, *arrival("aa00", t=1.9)) == []
    assert rules(told, *arrival("aa00", t=2.3)) == ["drain"]
    ready = told | {"t": 1.5, "status": "ready"}
    assert rules(told, ready, *arrival("aa00", t=2.3)) == []


def test_who_says_that_it_is_not_ready_serves_nobody() -> None:
    probes = [
        {"kind": "probe", "t": t, "instance": "i0", "begin": t - 0.01, "status": status}
        for t, status in ((0.9, 503), (1.5, 503), (2.0, 200))
    ]
    assert rules(op("aa00"), *probes) == ["unready"]
    assert rules(op("aa00", begin=1.6, end=1.7), *probes) == []
    assert rules(op("aa00", instance="i1"), *probes) == []


def test_service_is_whole_again_in_a_stated_time() -> None:
    end = {"kind": "end", "t": 8.0}
    good = [op(f"{n:02x}00", begin=4.1 + n / 10, end=4.2 + n / 10) for n in range(30)]
    bad = [o | {"ending": "refused", "status": 503} for o in good]
    trouble = fault("kill", ["i1"], 1.0, 2.0)
    assert rules(trouble, end, *good) == []
    assert rules(trouble, end, *bad) == ["progress"]
    assert checks.whole_after_s(PLAN, [trouble, *good, end]) == 0.0
    assert checks.whole_after_s(PLAN, [trouble, *bad, end]) is None
    half = [o | {"logical": f"h{n}", "begin": 2.1 + n / 10} for n, o in enumerate(bad[:9])]
    assert checks.whole_after_s(PLAN, [trouble, *half, *good, end]) == 1.0


def test_processes_end_whole() -> None:
    assert rules(state("i0", "crashed", 1.0, code=1)) == ["crash"]
    assert rules(state("i0", "hangs", 1.0)) == ["hangs"]
    assert rules({"kind": "fall", "t": 1.0, "server": "r0-1"}) == ["push"]
    assert rules({"kind": "log", "t": 1.0, "who": "i0", "line": "Traceback (most recent"}) == ["traceback"]
    first = {"kind": "look", "t": 1.0, "who": "i0", "pid": 1, "fds": 20, "rss_kb": 1, "rested": False}
    assert rules(first, first | {"t": 2.0, "fds": 60, "rested": True}) == ["descriptors"]
    assert rules(first, first | {"t": 2.0, "fds": 30, "rested": True}) == []


def test_a_drill_that_did_not_hold_its_fault_has_no_verdict() -> None:
    stopped = [state("i0", "stopping", 0.4), state("i0", "stopped", 0.5), state("i0", "going", 3.0)]
    assert judge(PLAN, [*stopped, op("aa00", begin=1.5, end=1.6)], {}).outcome == "error"
    assert judge(PLAN, [*stopped, op("aa00", begin=0.2, end=0.4)], {}).outcome == "passed"


def test_a_machine_that_is_too_busy_gets_no_verdict() -> None:
    late = {"clients": {"worst_s": 3.0, "mean_s": 0.01}}
    assert judge(PLAN, [op("aa00", ending="lost", status=0)], late).outcome == "refused"


def test_what_is_known_to_break_must_break() -> None:
    known = PLAN.model_copy(update={"aim": AimTable(stale_s=1, expect=("stale",))})
    stale = [change(1.0), *arrival("aa00", t=2.1)]
    assert judge(known, stale, {}).outcome == "passed"
    assert judge(known, [], {}).outcome == "failed"
    assert judge(PLAN, stale, {}).outcome == "failed"
    assert FaultTable(kind="kill", who=("i1",)).label() == "kill i1"
