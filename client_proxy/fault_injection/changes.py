"""Changes of the agreed policy in a drill, made as operators make them: through an instance's control socket.

What became of each stands in the history, with the servers that it names: so that what clients saw can be
held against it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path
from typing import Any

from client_proxy.cli.control import ask
from client_proxy.fault_injection.child_process import RigError
from client_proxy.fault_injection.fleet import Fleet
from client_proxy.fault_injection.plan import FaultTable

Seen = dict[str, Any]
ENDS_S = 30.0
SAMPLE_S = 0.02


async def _asked(control: Path, question: Seen) -> Seen:
    """Raises RigError: nobody answers there."""
    try:
        return await asyncio.to_thread(ask, control, question)
    except (OSError, ValueError) as error:
        raise RigError(f"{control.parent.name}: its control socket: {error}") from None


async def _ended(fleet: Fleet, name: str, change: str) -> Seen:
    """What the instance tells that became of it. An author that dies tells nothing, in its next life
    neither."""
    child, control = fleet.instances[name], fleet.home(name) / "control.sock"
    pid, end_s = child.pid, time.monotonic() + ENDS_S
    while time.monotonic() < end_s:
        with contextlib.suppress(RigError):
            status = await _asked(control, {"do": "status"})
            told = status.get("agreement", {}).get("changes", [])
            found = next((each for each in told if each["change"] == change), None)
            if found is not None:
                return dict(found)
        if not child.up or child.pid != pid:
            return {"what": "unknown", "why": "its author is gone"}
        await asyncio.sleep(SAMPLE_S)
    return {"what": "unknown", "why": f"not ended after {ENDS_S:g} s"}


async def make_changes(fleet: Fleet, number: int, stated: FaultTable, name: str) -> Seen:
    """All changes of one fault, one after the other. Returns what became of the last, and how many of
    each."""
    counts: dict[str, int] = {}
    seen: Seen = {}
    for nth in range(stated.many):
        change = f"change-{number}" if stated.many == 1 else f"change-{number}-{nth}"
        seen = await _one(fleet, stated, name, change, nth)
        counts[str(seen["what"])] = counts.get(str(seen["what"]), 0) + 1
    return seen if stated.many == 1 else {**seen, "counts": counts}


async def _one(fleet: Fleet, stated: FaultTable, name: str, change: str, nth: int) -> Seen:
    control = fleet.home(name) / "control.sock"
    question: Seen = {"change": change, "who": "drill", "why": change}
    said: Seen = {}
    if stated.kind in ("propose", "withdraw", "dry-run"):
        drop = stated.cycle[nth % len(stated.cycle)] if stated.cycle else stated.drop
        file, said = fleet.proposal(change, drop, bool(stated.anew or stated.cycle), stated)
        question |= {"do": "propose", "file": str(file), "dry": stated.kind == "dry-run"}
        question["despite"] = [int(each[1:]) + 1 for each in stated.despite]
    elif stated.kind == "back":
        question |= {"do": "back", "version": stated.version}
    else:
        member = int(stated.seat[1:]) + 1
        seat = (
            {"remove": member}
            if stated.remove
            else {"add": {"member": member, "memory": fleet.memories[stated.seat]}}
        )
        question |= {"do": "seat", **seat}
    begin_s = time.monotonic()
    try:
        answer = await _asked(control, question)
    except RigError:
        if fleet.instances[name].up and name not in fleet.ended_by_plan:
            raise
        answer = {"ok": True}  # it died as it was asked: perhaps with the change under way
    if not answer["ok"]:
        ended: Seen = {"what": "refused", "why": answer.get("why")}
    else:
        if stated.kind == "withdraw":
            with contextlib.suppress(RigError):
                called = await _asked(control, {"do": "withdraw", "change": change})
                said["called_off"] = called["ok"] or called.get("why")
        ended = await _ended(fleet, name, change)
    if stated.kind == "back" and ended["what"] == "decided":
        said = fleet.versions.get(stated.version, {})
    if stated.kind == "reseat":
        said = fleet.versions.get(fleet.newest, {})
    if ended["what"] == "decided":
        fleet.newest = int(ended["version"])
        fleet.versions[fleet.newest] = said
    fleet.history.write(
        "change", begin_s, name=change, instance=name, what=ended["what"], version=ended.get("version", 0),
        servers=said.get("servers", []), attempts=said.get("attempts", 0), end=round(time.monotonic(), 6),
    )  # fmt: skip
    return {**ended, **({"called_off": said["called_off"]} if "called_off" in said else {})}


async def tell_versions(fleet: Fleet) -> None:
    """What each instance that is up tells its operators of all that was decided."""
    for name, child in fleet.instances.items():
        control = fleet.home(name) / "control.sock"
        if not child.up or not fleet.plan.fleet.seats:
            continue
        with contextlib.suppress(RigError):
            answer = await _asked(control, {"do": "history"})
            versions = [[each["version"], each["change"]] for each in answer.get("versions", ())]
            fleet.history.write("versions", time.monotonic(), who=name, versions=versions)
