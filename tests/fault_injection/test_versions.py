"""The rules of an agreed policy, on histories made by hand."""

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
ALL = ["r0-1", "r0-2", "r1-1", "r1-2"]


def change(
    name: str, t: float, end: float, servers: list[str], what: str = "decided", version: int = 2
) -> Record:
    return {
        "kind": "change", "t": t, "end": end, "name": name, "instance": "i0", "what": what,
        "version": version if what == "decided" else 0, "servers": servers, "attempts": 3,
    }  # fmt: skip


def request(id_: str, instance: str, t: float, *servers: str) -> list[Record]:
    op: dict[str, Any] = {"kind": "op", "t": t + 0.1, "id": id_, "logical": id_, "instance": instance}
    op |= {"class": KEYED, "begin": t, "written": t, "end": t + 0.1, "status": 200, "ending": "served"}
    found = [op]
    for nth, server in enumerate(servers):
        at = t + 0.01 * (nth + 1)
        found.append(
            {"kind": "arrival", "t": at, "first": at, "id": id_, "server": server, "life": 1, "n": nth,
             "instance": instance, "class": KEYED}
        )  # fmt: skip
    return found


def rules(*records: Record | list[Record]) -> set[tuple[str, str]]:
    flat = [r for each in records for r in (each if isinstance(each, list) else [each])]
    return {(b.rule, b.who) for b in check_versions(PLAN, sorted(flat, key=lambda r: float(r["t"])))}


# Version 2 has r1-2, which the first one lacks, and not r0-2.
TWO = change("two", 10.0, 10.2, ["r0-1", "r1-1", "r1-2"])


def test_w_after_a_version_was_decided_nothing_older_decides() -> None:
    assert overlap_s(PLAN) == 1.0
    assert rules(TWO, request("a", "i1", 11.1, "r0-2")) == set()
    assert rules(TWO, request("a", "i1", 11.6, "r0-2")) == {("old", "i1")}
    # What can't be told from a newer one is no breach.
    assert rules(TWO, request("a", "i1", 99.0, "r0-1")) == set()


def test_the_first_use_counts_where_its_author_was_told_nothing() -> None:
    lost = change("two", 10.0, 40.0, TWO["servers"], what="unknown")
    told = {"kind": "versions", "t": 50.0, "who": "i1", "versions": [[1, ""], [2, "two"]]}
    used = request("u", "i2", 10.3, "r1-2")
    assert rules(lost, told, request("a", "i1", 20.0, "r0-2")) == set()
    assert rules(lost, told, used, request("a", "i1", 20.0, "r0-2")) == {("old", "i1")}
    assert overlaps_ms(PLAN, [lost, told, *used, *request("a", "i1", 10.9, "r0-2")])[2] > 500


def test_what_was_not_decided_decides_nothing() -> None:
    refused = change("two", 10.0, 10.2, TWO["servers"], what="refused")
    assert rules(refused, request("a", "i1", 11.0, "r1-2")) == {("nowhere", "i1")}
    # Nor does what is proposed only later.
    assert rules(TWO, request("a", "i1", 9.0, "r1-2")) == {("nowhere", "i1")}


def test_one_request_is_of_one_version() -> None:
    assert rules(TWO, request("a", "i1", 10.5, "r0-2", "r1-2")) == {("mixed", "i1")}
    assert rules(TWO, request("a", "i1", 10.5, "r0-2", "r0-1")) == set()
    assert rules(TWO, request("a", "i1", 10.5, "r0-1", "r0-1", "r1-1", "r1-1")) == {("mixed", "i1")}


def test_there_is_one_version_of_each_number() -> None:
    told = [
        {"kind": "versions", "t": 50.0 + n, "who": f"i{n}", "versions": [[2, name]]}
        for n, name in enumerate(("two", "two", "other"))
    ]
    assert rules(TWO, *told) == {("split", "i2")}


def test_without_seats_nothing_is_promised() -> None:
    plan = PLAN.model_copy(update={"fleet": FleetTable(instances=3)})
    assert check_versions(plan, [TWO, *request("a", "i1", 99.0, "r0-2")]) == []
