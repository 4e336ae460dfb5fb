"""Changes of the agreed policy during a drill, proposed through an instance's control socket as operators do.

The history gets one `change` record for each, with its outcome and the servers that it lists, so that the
checks can compare it with what clients saw.
"""

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

Json = dict[str, Any]
CHANGE_TIMEOUT_S = 30.0  # longest wait for the outcome of a change
POLL_S = 0.02  # between two status questions to the author


async def _ask(control: Path, request: Json) -> Json:
    """Return the answer from the control socket at `control`. Raises RigError if none comes."""
    try:
        return await asyncio.to_thread(ask, control, request)
    except (OSError, ValueError) as error:
        raise RigError(f"{control.parent.name}: control socket {control}: {error}") from None


async def _wait_for_outcome(fleet: Fleet, name: str, change: str) -> Json:
    """Wait for the outcome of a change, as its author `name` reports it.

    An author that dies forgets its changes, also after a restart: their outcome is `unknown`.
    """
    child, control = fleet.instances[name], fleet.home(name) / "control.sock"
    pid, deadline_s = child.pid, time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(RigError):
            status = await _ask(control, {"do": "status"})
            changes = status.get("agreement", {}).get("changes", [])
            match = next((entry for entry in changes if entry["change"] == change), None)
            if match is not None:
                return dict(match)
        if not child.up or child.pid != pid:
            return {"what": "unknown", "why": "its author is gone"}
        await asyncio.sleep(POLL_S)
    return {"what": "unknown", "why": f"not ended after {CHANGE_TIMEOUT_S:g} s"}


async def make_changes(fleet: Fleet, number: int, fault: FaultTable, name: str) -> Json:
    """Make the changes of one fault of the plan, one after the other, through the instance `name`.

    Args:
        fleet: The drill's processes.
        number: The fault's number in the plan; part of the changes' names.
        fault: The fault.
        name: The instance that proposes.

    Returns:
        The outcome of the last change; of several, also how many had each outcome.

    Raises:
        RigError: The instance does not answer although it should be running.
    """
    counts: dict[str, int] = {}
    outcome: Json = {}
    for index in range(fault.many):
        change = f"change-{number}" if fault.many == 1 else f"change-{number}-{index}"
        outcome = await _make_change(fleet, fault, name, change, index)
        counts[str(outcome["what"])] = counts.get(str(outcome["what"]), 0) + 1
    return outcome if fault.many == 1 else {**outcome, "counts": counts}


async def _make_change(fleet: Fleet, fault: FaultTable, name: str, change: str, index: int) -> Json:
    """Propose one change, wait for its outcome, and record both. `index`: its place among the fault's."""
    control = fleet.home(name) / "control.sock"
    request: Json = {"change": change, "who": "drill", "why": change}
    details: Json = {}
    if fault.kind in ("propose", "withdraw", "dry-run"):
        drop = fault.cycle[index % len(fault.cycle)] if fault.cycle else fault.drop
        file, details = fleet.proposal(change, drop, bool(fault.anew or fault.cycle), fault)
        request |= {"do": "propose", "file": str(file), "dry": fault.kind == "dry-run"}
        request["despite"] = [int(entry[1:]) + 1 for entry in fault.despite]
    elif fault.kind == "back":
        request |= {"do": "back", "version": fault.version}
    else:
        member = int(fault.seat[1:]) + 1
        seat = (
            {"remove": member}
            if fault.remove
            else {"add": {"member": member, "memory": fleet.storage_ids[fault.seat]}}
        )
        request |= {"do": "seat", **seat}
    begin_s = time.monotonic()
    try:
        answer = await _ask(control, request)
    except RigError:
        if fleet.instances[name].up and name not in fleet.ended_by_plan:
            raise
        answer = {"ok": True}  # it died while it was asked; the change may be in progress
    if not answer["ok"]:
        outcome: Json = {"what": "refused", "why": answer.get("why")}
    else:
        if fault.kind == "withdraw":
            with contextlib.suppress(RigError):
                withdrawal = await _ask(control, {"do": "withdraw", "change": change})
                details["called_off"] = withdrawal["ok"] or withdrawal.get("why")
        outcome = await _wait_for_outcome(fleet, name, change)
    if fault.kind == "back" and outcome["what"] == "decided":
        details = fleet.versions.get(fault.version, {})
    if fault.kind == "reseat":
        details = fleet.versions.get(fleet.latest_agreed_version, {})
    if outcome["what"] == "decided":
        fleet.latest_agreed_version = int(outcome["version"])
        fleet.versions[fleet.latest_agreed_version] = details
    fleet.history.write(
        "change", begin_s, name=change, instance=name, what=outcome["what"],
        version=outcome.get("version", 0), servers=details.get("servers", []),
        attempts=details.get("attempts", 0), end=round(time.monotonic(), 6),
    )  # fmt: skip
    return {**outcome, **({"called_off": details["called_off"]} if "called_off" in details else {})}


async def record_versions(fleet: Fleet) -> None:
    """Record the decided versions that each running instance reports to its operators."""
    for name, child in fleet.instances.items():
        control = fleet.home(name) / "control.sock"
        if not child.up or not fleet.plan.fleet.seats:
            continue
        with contextlib.suppress(RigError):
            answer = await _ask(control, {"do": "history"})
            versions = [[entry["version"], entry["change"]] for entry in answer.get("versions", ())]
            fleet.history.write("versions", time.monotonic(), who=name, versions=versions)
