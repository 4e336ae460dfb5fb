"""Injects the faults of a plan, ends them, and collects evidence that each of them happened.

A fault that left no trace is an error of the drill and never a pass, since a check that saw no fault has
checked nothing.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from client_proxy.fault_injection.changes import make_changes
from client_proxy.fault_injection.child_process import (
    SYN_SENT,
    Child,
    Helper,
    RigError,
    process_state,
    stop_signal,
    tcp_sockets,
    waited_s,
)
from client_proxy.fault_injection.fleet import Fleet
from client_proxy.fault_injection.plan import (
    AGREEMENT_KINDS,
    DATAGRAM_KINDS,
    DISK_KINDS,
    LINK_KINDS,
    FaultTable,
)

Json = dict[str, Any]
SAMPLE_S = 0.05  # between two reads of a process's sockets or log
CLOCK_ERROR = 0.02  # largest difference between a clock's stated rate and the one measured over the fault
SPINNER_COUNT = 3  # processes that compete for the core of a `busy` instance
DEATH_TIMEOUT_S = 10.0  # longest wait for the end of a process or for its log line
SELF_KILL_KINDS = ("torn", "die-at", "die-after")  # the process kills itself at the ordered step
LAYER_KINDS = ("full", "read-only", "slow-disk", *SELF_KILL_KINDS)


class Fault:
    """One fault of the plan, on all processes that it names."""

    def __init__(self, fleet: Fleet, number: int, fault_spec: FaultTable) -> None:
        self.fleet, self.number, self.fault_spec = fleet, number, fault_spec
        self.begin_s = self.end_s = 0.0
        self.evidence: Json = {}
        self._baseline: Json = {}
        self._sampling_task: asyncio.Task[None] | None = None
        self._spinners: list[Child] = []

    # Begin and end

    async def begin(self) -> None:
        """Inject the fault. Raises RigError if that is not possible."""
        kind = self.fault_spec.kind
        self.begin_s = time.monotonic()
        if kind in ("kill", "term", "stop"):
            await self._for_each_victim(self._send_signal)
        elif kind in LINK_KINDS:
            await self._break_links(kind)
        elif kind in AGREEMENT_KINDS:
            await self._for_each_victim(self._propose_changes)
        elif kind in DATAGRAM_KINDS or kind == "clock" or kind in LAYER_KINDS:
            await self._for_each_victim(self._arm_layer)
        elif kind == "lost-disk":
            await self._for_each_victim(self._delete_disk)
        elif kind in ("list", "spoilt-list"):
            await self._for_each_victim(self._replace_list)
        elif kind == "rotate":
            await self._for_each_victim(self._rotate_keys)
        elif kind == "bad-start":
            await self._for_each_victim(self._bad_start)
        elif kind == "busy":
            await self._for_each_victim(self._occupy_core)
        self.begun_s = time.monotonic()

    async def revert(self) -> None:
        """End the fault. Raises RigError if it left no trace."""
        kind = self.fault_spec.kind
        if kind in SELF_KILL_KINDS:
            await self._for_each_victim(self._expect_death)
        if kind in ("kill", "term", "lost-disk", "bad-start", *SELF_KILL_KINDS):
            await self._for_each_victim(self._start_again)
        elif kind == "stop":
            await self._for_each_victim(self._resume)
        elif kind in LINK_KINDS:
            await self._repair_links(kind)
        elif kind in DATAGRAM_KINDS or kind == "clock" or kind in LAYER_KINDS:
            await self._for_each_victim(self._disarm_layer)
        elif kind == "busy":
            await self._for_each_victim(self._free_core)
        self.end_s = time.monotonic()

    async def _for_each_victim(self, action: Callable[[str], Awaitable[None]]) -> None:
        for name in self.fault_spec.who:
            await action(name)

    def _add_evidence(self, name: str, **evidence: Any) -> None:
        self.evidence.setdefault(name, {}).update(evidence)

    def _not_happened(self, name: str, why: str) -> RigError:
        return RigError(f"fault {self.number} ({self.fault_spec.label()}) did not happen at {name}: {why}")

    # Processes

    async def _send_signal(self, name: str) -> None:
        kind = self.fault_spec.kind
        child = self.fleet.process_by_name(name)
        if kind != "stop":
            self.fleet.ended_by_plan.add(name)
        # Recorded before the signal: an answer in between must not count as one of a healthy process.
        self.fleet.record_state(name, {"kill": "killed", "term": "ending", "stop": "stopping"}[kind])
        child.signal(stop_signal(kind))
        if kind == "stop":
            if not await child.wait_for_state("T"):
                raise self._not_happened(name, "not stopped")
            self._add_evidence(name, state="T")
            self.fleet.record_state(name, "stopped")
            return
        code = await child.wait_for_exit(DEATH_TIMEOUT_S + self.fleet.plan.load.deadline_ms / 1000.0)
        if code is None:
            self.fleet.record_state(name, "hangs")
            await child.kill()
            code = child.process.returncode if child.process else None
        self._add_evidence(name, code=code)
        if kind == "kill" and code != -9:
            raise self._not_happened(name, f"it had already ended by itself with exit code {code}")
        await self.fleet.refuse_dials(name)
        self.fleet.record_state(name, "ended", code=code)

    async def _resume(self, name: str) -> None:
        child = self.fleet.process_by_name(name)
        if not await child.wait_for_state("T", 0.0) and not child.up:
            raise self._not_happened(name, "it ended while it was stopped")
        self.fleet.record_state(name, "going")
        child.signal(signal.SIGCONT)
        if not await child.wait_for_state("!T"):
            raise self._not_happened(name, "it did not continue after SIGCONT")

    async def _start_again(self, name: str) -> None:
        fleet = self.fleet
        if self.fault_spec.fresh:
            fleet.delete_kept_folder(name)
        if self.fault_spec.future:
            self._add_evidence(name, kept=fleet.store_unknown_version(name))
        if self.fault_spec.anew:
            self._add_evidence(name, memory=fleet.renew_storage_id(name))
        if name in fleet.racks:
            await fleet.start_rack(name, cold=True)
        elif name == "d":
            await fleet.start_discovery()
        else:
            await fleet.start_instance(name)
            await fleet.wait_for_instance(name)
        fleet.ended_by_plan.discard(name)

    async def _expect_death(self, name: str) -> None:
        """Check that the instance has killed itself at the ordered step."""
        child = self.fleet.process_by_name(name)
        code = await child.wait_for_exit(0.0)
        if code != -9:
            self.fleet.ended_by_plan.discard(name)
            raise self._not_happened(name, "it reached no such step while the fault was active")
        self._add_evidence(name, code=code)
        self.fleet.record_state(name, "ended", code=code)

    async def _bad_start(self, name: str) -> None:
        """Restart an instance with a broken configuration, and check that it exits with an error."""
        await self._kill_victim(name)
        await self.fleet.start_instance(name, broken=True)
        code = await self.fleet.instances[name].wait_for_exit(DEATH_TIMEOUT_S)
        if not code:
            raise self._not_happened(name, f"with a broken file its exit code was {code}")
        self._add_evidence(name, code=code, said=self.fleet.instances[name].last_line())
        self.fleet.record_state(name, "ended", code=code)

    async def _delete_disk(self, name: str) -> None:
        """Kill an instance and delete what it stored."""
        kept = self.fleet.home(name) / "kept"
        if not kept.exists():
            raise self._not_happened(name, f"there is no folder {kept}")
        await self._kill_victim(name)
        self._add_evidence(name, lost=len(os.listdir(kept)))
        self.fleet.delete_kept_folder(name)

    async def _kill_victim(self, name: str) -> None:
        self.fleet.ended_by_plan.add(name)
        self.fleet.record_state(name, "killed")
        child = self.fleet.instances[name]
        child.signal(signal.SIGKILL)
        if await child.wait_for_exit(DEATH_TIMEOUT_S) != -9:
            raise self._not_happened(name, "it had already ended by itself")

    # Links

    async def _break_links(self, kind: str) -> None:
        fleet, fault_spec = self.fleet, self.fault_spec
        sides: dict[str, set[str]] = {}
        for sender in fault_spec.who:
            for receiver in fault_spec.to:
                for id_, side in fleet.link_sides(sender, receiver):
                    sides.setdefault(id_, set()).update(("there", "back") if fault_spec.back else (side,))
        self._link_sides = {id_: sorted(names) for id_, names in sides.items()}
        for id_, link_sides in self._link_sides.items():
            self._baseline[id_] = await self._set_link_faults(id_, kind, link_sides)
        self._hanging_dials = 0
        if kind == "silent":
            self._sampling_task = asyncio.create_task(self._sample_dials())

    async def _set_link_faults(self, id_: str, mode: str, sides: list[str]) -> Json:
        """Set the faults of a link. Returns its counts so far, which the evidence is compared with."""
        fault_spec = self.fault_spec
        parameters = {"ms": fault_spec.ms, "bytes_per_s": fault_spec.bytes_per_s}
        return await self.fleet.fault_proxy.ask("way", id=id_, sides=sides, mode=mode, **parameters)

    async def _sample_dials(self) -> None:
        """Count hanging dials at the processes that dial: their sockets are in the state SYN_SENT."""
        addresses = {self.fleet.links[id_] for id_ in self._link_sides}
        diallers = {id_.split(">")[0] for id_ in self._link_sides}
        pids = [self.fleet.process_by_name(name).pid for name in diallers if name != "c"]
        pids += [self.fleet.clients.pid] if "c" in diallers else []
        while True:
            for pid in pids:
                self._hanging_dials += sum(
                    1 for found in tcp_sockets(pid, SYN_SENT) if found[2:] in addresses
                )
            await asyncio.sleep(SAMPLE_S)

    async def _repair_links(self, kind: str) -> None:
        totals = (await self.fleet.fault_proxy.ask("count", ids=list(self._link_sides)))["links"]
        for id_, link_sides in self._link_sides.items():
            await self._set_link_faults(id_, "", link_sides)
        if self._sampling_task is not None:
            self._sampling_task.cancel()
        counter_names = {"silent": "held", "delay": "delayed", "trickle": "trickled"}
        affected = 0
        for id_, sides in self._link_sides.items():
            old, new = self._baseline[id_], totals[id_]
            if kind == "reset":
                affected += new["counts"].get("reset", 0) - old["was_reset"]
            else:
                counter_name = counter_names[kind]
                affected += sum(
                    new[side].get(counter_name, 0) - old[side].get(counter_name, 0) for side in sides
                )
            if kind == "silent":
                # Evidence from the other end: no byte may have passed in the silent direction.
                passed_bytes = sum(new[side].get("passed", 0) - old[side].get("passed", 0) for side in sides)
                if passed_bytes:
                    raise self._not_happened(id_, f"{passed_bytes} bytes passed")
        self._add_evidence("wires", bitten=affected, hanging_dials=self._hanging_dials)
        if not affected and not self._hanging_dials:
            raise self._not_happened(",".join(self.fault_spec.to), "there was no traffic on these links")

    # Fault layers inside the process

    async def _arm_layer(self, name: str) -> None:
        child, fault_spec = self.fleet.instances[name], self.fault_spec
        if fault_spec.kind in SELF_KILL_KINDS:
            self.fleet.ended_by_plan.add(name)
        if fault_spec.kind == "clock":
            answer = await child.order(do="clock", rate=fault_spec.rate, step_s=fault_spec.step_s)
        elif fault_spec.kind in DISK_KINDS:
            answer = await child.order(
                do="disk", mode=fault_spec.kind, ms=fault_spec.ms, step=fault_spec.step
            )
        else:
            addresses = [self.fleet.host(1 + int(receiver[1:])) for receiver in fault_spec.to]
            parameters = {
                "kind": fault_spec.kind,
                "ms": fault_spec.ms,
                "share": fault_spec.share,
                "step": fault_spec.step,
            }
            answer = await child.order(do="datagrams", to=addresses, **parameters)
        self._baseline[name] = answer

    async def _disarm_layer(self, name: str) -> None:
        child, fault_spec, previous = self.fleet.instances[name], self.fault_spec, self._baseline[name]
        if fault_spec.kind == "clock":
            answer = await child.order(do="clock", rate=1.0, step_s=0.0)
            await self._verify_clock(name, previous, answer)
            return
        if fault_spec.kind in DISK_KINDS:
            answer = await child.order(do="disk", mode="")
        else:
            addresses = [self.fleet.host(1 + int(receiver[1:])) for receiver in fault_spec.to]
            answer = await child.order(do="datagrams", to=addresses)
        count = answer["counts"].get(fault_spec.kind, 0) - previous["counts"].get(fault_spec.kind, 0)
        self._add_evidence(name, count=count)
        if not count:
            raise self._not_happened(name, "the layer counted no affected operation")

    async def _verify_clock(self, name: str, previous: Json, answer: Json) -> None:
        """Check that the instance's clock ran at the stated rate between two answers."""
        span_s = answer["true_s"] - previous["true_s"]
        rate = (answer["told_s"] - previous["told_s"]) / max(1e-9, span_s)
        self._add_evidence(name, rate=round(rate, 4), off_s=round(previous["unix_s"] - time.time(), 3))
        if abs(rate - self.fault_spec.rate) > CLOCK_ERROR:
            raise self._not_happened(
                name, f"its clock ran at a rate of {rate:.3f}, {self.fault_spec.rate:g} stated"
            )

    # Lists

    async def _replace_list(self, name: str) -> None:
        """Replace an instance's list as operators' scripts do: only if it is up, without a retry."""
        fleet, fault_spec = self.fleet, self.fault_spec
        if name == fault_spec.who[0]:
            fleet.version += 1
        reached = fleet.instances[name].up
        previous = fleet.dropped[name]
        fleet.dropped[name] = previous | set(fault_spec.drop)
        if reached:
            fleet.write_list(name, spoilt=fault_spec.kind == "spoilt-list")
        else:
            # Its copy stays as it is until the next change.
            pass
        fleet.history.write(
            "list", time.monotonic(), instance=name, reached=reached, drop=list(fault_spec.drop),
            spoilt=fault_spec.kind == "spoilt-list", version=fleet.version,
        )  # fmt: skip
        self._add_evidence(name, reached=reached)

    async def _propose_changes(self, name: str) -> None:
        self._add_evidence(name, **await make_changes(self.fleet, self.number, self.fault_spec, name))

    async def _rotate_keys(self, name: str) -> None:
        """Replace an instance's key file, and send SIGHUP if it is up.

        A stopped instance handles the signal when it continues.
        """
        child, groups = self.fleet.instances[name], self.fault_spec.groups
        log_size = child.log.stat().st_size
        self.fleet.write_keys(name, groups)
        if not child.up:
            self._add_evidence(name, read="at its next start")
            return
        child.signal(signal.SIGHUP)
        if process_state(child.pid) == "T":
            self._add_evidence(name, read="when it goes on")
            return
        expected_line = f"keys read again: group keys {', '.join(map(str, groups))}".encode()
        deadline_s = time.monotonic() + DEATH_TIMEOUT_S
        while expected_line not in child.log.read_bytes()[log_size:]:
            if time.monotonic() > deadline_s:
                raise self._not_happened(name, f"no log line {expected_line.decode()!r}")
            await asyncio.sleep(SAMPLE_S)
        self._add_evidence(name, read="now")

    # CPU

    async def _occupy_core(self, name: str) -> None:
        """Pin an instance to one core, and start processes that compete for it."""
        child = self.fleet.instances[name]
        core = self.number % (os.cpu_count() or 1)
        os.sched_setaffinity(child.pid, {core})
        self._baseline[name] = {"waited_s": waited_s(child.pid)}
        for index in range(SPINNER_COUNT):
            spinner = Helper(f"busy-{self.number}-{name}-{index}", self.fleet.folder)
            await spinner.start("client_proxy.fault_injection.cpu_hog", str(core))
            self._spinners.append(spinner)

    async def _free_core(self, name: str) -> None:
        child = self.fleet.instances[name]
        for spinner in self._spinners:
            await spinner.kill()
        self._spinners.clear()
        waited_since_s = waited_s(child.pid) - self._baseline[name]["waited_s"]
        if child.up:
            os.sched_setaffinity(child.pid, range(os.cpu_count() or 1))
        self._add_evidence(name, waited_s=round(waited_since_s, 3))
        if waited_since_s <= 0.0:
            raise self._not_happened(name, "it never waited for its core")

    async def abandon(self) -> None:
        """Stop the fault's own tasks and processes when the drill ends early."""
        if self._sampling_task is not None:
            self._sampling_task.cancel()
        for spinner in self._spinners:
            await spinner.kill()
