"""Tests of the rules of an agreed policy on constructed histories."""

from __future__ import annotations

from typing import Any

from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.load import KEYED
from client_proxy.fault_injection.plan import FleetTable, Plan
from client_proxy.fault_injection.versions import check_versions, overlap_s, overlaps_ms

PLAN = Plan(
    name="v",
    fleet=FleetTable(instances=3, seats=3, racks=2, lease_ms=950.0, whole=True, without=("r1-2",)),
)
ALL_SERVERS = ["r0-1", "r0-2", "r1-1", "r1-2"]


def change(
    name: str, t: float, end: float, servers: list[str], what: str = "decided", version: int = 2
) -> Record:
    return {
        "kind": "change", "t": t, "end": end, "name": name, "instance": "i0", "what": what,
        "version": version if what == "decided" else 0, "servers": servers, "attempts": 3,
    }  # fmt: skip


def request(id_: str, instance: str, t: float, *servers: str) -> list[Record]:
    attempt: dict[str, Any] = {"kind": "op", "t": t + 0.1, "id": id_, "logical": id_, "instance": instance}
    attempt |= {"class": KEYED, "begin": t, "written": t, "end": t + 0.1, "status": 200, "ending": "served"}
    records = [attempt]
    for index, server in enumerate(servers):
        arrival_s = t + 0.01 * (index + 1)
        records.append(
            {"kind": "arrival", "t": arrival_s, "first": arrival_s, "id": id_, "server": server, "life": 1,
             "n": index, "instance": instance, "class": KEYED}
        )  # fmt: skip
    return records


def broken_rules(*records: Record | list[Record]) -> set[tuple[str, str]]:
    flat_records = [r for each in records for r in (each if isinstance(each, list) else [each])]
    return {(b.rule, b.who) for b in check_versions(PLAN, sorted(flat_records, key=lambda r: float(r["t"])))}


# Version 2 has r1-2, which version 1 lacks, and lacks r0-2.
VERSION_2 = change("two", 10.0, 10.2, ["r0-1", "r1-1", "r1-2"])


def test_no_older_version_is_used_w_after_a_decision() -> None:
    assert overlap_s(PLAN) == 1.0
    assert broken_rules(VERSION_2, request("a", "i1", 11.1, "r0-2")) == set()
    assert broken_rules(VERSION_2, request("a", "i1", 11.6, "r0-2")) == {("old", "i1")}
    # A request that a newer version allows as well is no breach.
    assert broken_rules(VERSION_2, request("a", "i1", 99.0, "r0-1")) == set()


def test_the_first_use_counts_as_the_decision_if_the_author_got_no_outcome() -> None:
    lost = change("two", 10.0, 40.0, VERSION_2["servers"], what="unknown")
    reported = {"kind": "versions", "t": 50.0, "who": "i1", "versions": [[1, ""], [2, "two"]]}
    first_use = request("u", "i2", 10.3, "r1-2")
    assert broken_rules(lost, reported, request("a", "i1", 20.0, "r0-2")) == set()
    assert broken_rules(lost, reported, first_use, request("a", "i1", 20.0, "r0-2")) == {("old", "i1")}
    assert overlaps_ms(PLAN, [lost, reported, *first_use, *request("a", "i1", 10.9, "r0-2")])[2] > 500


def test_a_version_that_was_not_decided_is_not_used() -> None:
    refused = change("two", 10.0, 10.2, VERSION_2["servers"], what="refused")
    assert broken_rules(refused, request("a", "i1", 11.0, "r1-2")) == {("nowhere", "i1")}
    # A version is not in use before it is proposed either.
    assert broken_rules(VERSION_2, request("a", "i1", 9.0, "r1-2")) == {("nowhere", "i1")}


def test_all_attempts_of_a_request_use_one_version() -> None:
    assert broken_rules(VERSION_2, request("a", "i1", 10.5, "r0-2", "r1-2")) == {("mixed", "i1")}
    assert broken_rules(VERSION_2, request("a", "i1", 10.5, "r0-2", "r0-1")) == set()
    assert broken_rules(VERSION_2, request("a", "i1", 10.5, "r0-1", "r0-1", "r1-1", "r1-1")) == {
        ("mixed", "i1")
    }


def test_a_number_stands_for_one_version() -> None:
    reported = [
        {"kind": "versions", "t": 50.0 + n, "who": f"i{n}", "versions": [[2, name]]}
        for n, name in enumerate(("two", "two", "other"))
    ]
    assert broken_rules(VERSION_2, *reported) == {("split", "i2")}


def test_without_seats_there_is_no_rule() -> None:
    plan = PLAN.model_copy(update={"fleet": FleetTable(instances=3)})
    assert check_versions(plan, [VERSION_2, *request("a", "i1", 99.0, "r0-2")]) == []
