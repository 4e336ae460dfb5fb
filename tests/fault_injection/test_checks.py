"""Tests of the drills' rules on constructed histories: each finds its breach and nothing that is allowed."""

from __future__ import annotations

from typing import Any

from client_proxy.fault_injection import invariants
from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.load import KEYED, UNSAFE
from client_proxy.fault_injection.plan import AimTable, FaultTable, FleetTable, Plan
from client_proxy.fault_injection.scenario_runner import judge

PLAN = Plan(name="p", fleet=FleetTable(instances=3, racks=2, per_rack=2), aim=AimTable(whole_s=2, stale_s=1))


def attempt(id_: str, **fields: Any) -> Record:
    defaults = {
        "kind": "op", "t": 2.0, "id": id_, "logical": id_[:-2], "instance": "i0", "class": KEYED, "key": "k",
        "begin": 1.0, "end": 1.1, "left_s": 1.5, "status": 200, "ending": "served", "own": True,
    }  # fmt: skip
    return defaults | fields


def arrival(
    id_: str, server: str = "r0-1", t: float = 1.05, fate: str = "ran", **fields: Any
) -> list[Record]:
    n = int(t * 1000)
    request_key = {"server": server, "life": 1.0, "n": n}
    arrived = {
        "kind": "arrival",
        "t": t,
        "first": t,
        "instance": "i0",
        "id": id_,
        "class": KEYED,
        **request_key,
    }
    return [arrived | fields, {"kind": "fate", "t": t + 0.01, "fate": fate, "ended": t, **request_key}]


def state(who: str, what: str, t: float, **fields: Any) -> Record:
    return {"kind": "state", "t": t, "who": who, "state": what, "pid": 1, **fields}


def fault(what: str, who: list[str], begin: float, end: float, to: tuple[str, ...] = ()) -> Record:
    return {
        "kind": "fault", "t": begin, "n": 0, "what": what, "who": who, "to": list(to), "begin": begin,
        "end": end, "seen": {},
    }  # fmt: skip


def broken_rules(*records: Record, plan: Plan = PLAN) -> list[str]:
    return [breach.rule for breach in invariants.check(plan, sorted(records, key=lambda r: float(r["t"])))]


def test_an_answer_is_single_complete_matching_and_in_time() -> None:
    assert broken_rules(attempt("aa00")) == []
    assert broken_rules(attempt("aa00", own=False)) == ["foreign"]
    assert broken_rules(attempt("aa00", ending="unreadable", status=0)) == ["unreadable"]
    assert broken_rules(attempt("aa00", ending="cut", status=0)) == ["lost"]
    assert broken_rules(attempt("aa00", ending="lost", status=0)) == ["lost"]
    assert broken_rules(attempt("aa00", end=2.7)) == ["late"]
    assert (
        broken_rules(attempt("aa00", end=2.7), {"kind": "late", "t": 9.0, "who": "clients", "worst_s": 0.1})
        == []
    )
    assert broken_rules(attempt("aa00"), {"kind": "again", "t": 1.2, "id": "aa00"}) == ["again"]


def test_a_kill_or_a_stop_excuses_bad_answers_and_a_graceful_shutdown_does_not() -> None:
    cut = attempt("aa00", ending="cut", status=0)
    assert broken_rules(cut, state("i0", "killed", 1.05)) == []
    assert broken_rules(cut, state("i1", "killed", 1.05)) == ["lost"]
    late = attempt("aa00", end=4.0)
    stopped = state("i0", "stopping", 1.05), state("i0", "going", 3.9)
    assert broken_rules(late, *stopped) == []
    assert broken_rules(attempt("ab00", begin=4.5, end=7.0), *stopped) == ["late"]
    assert broken_rules(cut, state("i0", "ending", 1.05)) == ["lost"]  # the instance had accepted the request
    assert (
        broken_rules(attempt("aa00", begin=1.2, end=1.3, ending="cut", status=0), state("i0", "ending", 1.05))
        == []
    )


def test_a_silent_link_to_the_clients_excuses_late_answers_and_one_to_servers_does_not() -> None:
    late = attempt("aa00", end=2.9)
    assert broken_rules(late, fault("silent", ["i0"], 1.0, 3.0, ("c",))) == []
    assert broken_rules(late, fault("silent", ["i0"], 1.0, 3.0, ("r0",))) == ["late"]


def test_a_request_is_not_retried_unless_idempotent_and_with_a_key_only_in_its_rack() -> None:
    same_rack_retry = [*arrival("aa00", t=1.02), *arrival("aa00", "r0-2", t=1.04, fate="repeat")]
    assert broken_rules(attempt("aa00"), *same_rack_retry) == []
    not_idempotent = [
        record | ({"class": UNSAFE} if record["kind"] == "arrival" else {}) for record in same_rack_retry
    ]
    assert broken_rules(attempt("aa00", **{"class": UNSAFE}), *not_idempotent) == ["twice"]
    assert broken_rules(attempt("aa00"), *arrival("aa00", t=1.02), *arrival("aa00", "r1-1", t=1.04)) == [
        "twice",
        "twice",
    ]
    # A request that was turned away did not run; one at a server that was killed may have.
    turned_away = arrival("aa00", t=1.02, fate="turned away")
    assert broken_rules(attempt("aa00"), *turned_away, *arrival("aa00", "r1-1", t=1.04)) == []
    assert broken_rules(attempt("aa00"), *arrival("aa00", t=1.02)[:1], *arrival("aa00", "r1-1", t=1.04)) == [
        "twice"
    ]


def test_a_client_retry_at_another_instance_must_not_take_effect_again() -> None:
    fields = {"class": UNSAFE}
    first, second = arrival("aa00", t=1.02, **fields), arrival("aa01", "r1-1", t=1.04, **fields)
    attempts = (
        attempt("aa00", ending="refused", status=503, end=1.01, **fields),
        attempt("aa01", instance="i1", **fields),
    )
    assert "twice" in broken_rules(*attempts, *first, *second)
    assert broken_rules(*attempts, *second) == []


def test_rejecting_a_request_that_may_have_run_is_a_breach() -> None:
    refused = attempt("aa00", ending="refused", status=503)
    assert broken_rules(refused, *arrival("aa00")) == ["twice"]
    assert broken_rules(refused, *arrival("aa00", fate="turned away")) == []


def list_change(t: float, **fields: Any) -> Record:
    return {"kind": "list", "t": t, "instance": "i0", "reached": True, "drop": ["r0-1"], **fields}


def test_no_instance_uses_the_old_list_a_stated_time_after_a_change() -> None:
    assert broken_rules(list_change(1.0), *arrival("aa00", t=1.9)) == []
    assert broken_rules(list_change(1.0), *arrival("aa00", t=2.1)) == ["stale"]
    assert broken_rules(list_change(1.0), *arrival("aa00", "r0-2", t=2.1)) == []
    # An instance that was down during the change is not excused.
    down = state("i0", "killed", 0.5), state("i0", "listening", 2.0)
    assert broken_rules(list_change(1.0, reached=False), *down, *arrival("aa00", t=2.1)) == ["stale"]


def test_a_draining_server_gets_no_new_request_after_the_grace_period() -> None:
    notification = {"kind": "told", "t": 1.0, "instance": "i0", "server": "r0-1", "status": "draining"}
    assert broken_rules(notification, *arrival("aa00", t=1.9)) == []
    assert broken_rules(notification, *arrival("aa00", t=2.3)) == ["drain"]
    ready = notification | {"t": 1.5, "status": "ready"}
    assert broken_rules(notification, ready, *arrival("aa00", t=2.3)) == []


def test_an_instance_that_is_not_ready_serves_no_request() -> None:
    probes = [
        {"kind": "probe", "t": t, "instance": "i0", "begin": t - 0.01, "status": status}
        for t, status in ((0.9, 503), (1.5, 503), (2.0, 200))
    ]
    assert broken_rules(attempt("aa00"), *probes) == ["unready"]
    assert broken_rules(attempt("aa00", begin=1.6, end=1.7), *probes) == []
    assert broken_rules(attempt("aa00", instance="i1"), *probes) == []


def test_service_is_restored_in_the_stated_time() -> None:
    end = {"kind": "end", "t": 8.0}
    served = [attempt(f"{n:02x}00", begin=4.1 + n / 10, end=4.2 + n / 10) for n in range(30)]
    rejected = [each_attempt | {"ending": "refused", "status": 503} for each_attempt in served]
    kill = fault("kill", ["i1"], 1.0, 2.0)
    assert broken_rules(kill, end, *served) == []
    assert broken_rules(kill, end, *rejected) == ["progress"]
    assert invariants.whole_after_s(PLAN, [kill, *served, end]) == 0.0
    assert invariants.whole_after_s(PLAN, [kill, *rejected, end]) is None
    early_rejected = [
        each_attempt | {"logical": f"h{n}", "begin": 2.1 + n / 10}
        for n, each_attempt in enumerate(rejected[:9])
    ]
    assert invariants.whole_after_s(PLAN, [kill, *early_rejected, *served, end]) == 1.0


def test_bad_ends_crashes_tracebacks_and_leaks_are_breaches() -> None:
    assert broken_rules(state("i0", "crashed", 1.0, code=1)) == ["crash"]
    assert broken_rules(state("i0", "hangs", 1.0)) == ["hangs"]
    assert broken_rules({"kind": "fall", "t": 1.0, "server": "r0-1"}) == ["push"]
    assert broken_rules({"kind": "log", "t": 1.0, "who": "i0", "line": "Traceback (most recent"}) == [
        "traceback"
    ]
    first = {"kind": "look", "t": 1.0, "who": "i0", "pid": 1, "fds": 20, "rss_kb": 1, "rested": False}
    assert broken_rules(first, first | {"t": 2.0, "fds": 60, "rested": True}) == ["descriptors"]
    assert broken_rules(first, first | {"t": 2.0, "fds": 30, "rested": True}) == []


def test_an_answer_of_a_stopped_instance_is_an_error_of_the_drill() -> None:
    stopped = [state("i0", "stopping", 0.4), state("i0", "stopped", 0.5), state("i0", "going", 3.0)]
    assert judge(PLAN, [*stopped, attempt("aa00", begin=1.5, end=1.6)], {}).outcome == "error"
    assert judge(PLAN, [*stopped, attempt("aa00", begin=0.2, end=0.4)], {}).outcome == "passed"


def test_a_drill_on_a_busy_machine_has_no_verdict() -> None:
    late = {"clients": {"worst_s": 3.0, "mean_s": 0.01}}
    assert judge(PLAN, [attempt("aa00", ending="lost", status=0)], late).outcome == "refused"


def test_an_expected_breach_must_occur() -> None:
    expecting = PLAN.model_copy(update={"aim": AimTable(stale_s=1, expect=("stale",))})
    stale = [list_change(1.0), *arrival("aa00", t=2.1)]
    assert judge(expecting, stale, {}).outcome == "passed"
    assert judge(expecting, [], {}).outcome == "failed"
    assert judge(PLAN, stale, {}).outcome == "failed"
    assert FaultTable(kind="kill", who=("i1",)).label() == "kill i1"
