"""Carries out the faults of a plan, and brings the proof that each of them happened.

A fault has a beginning, perhaps a way back, and evidence from both of its ends; one that left no trace is the
drill's error and never a pass: a checker that saw no fault has checked nothing."""

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
from client_proxy.fault_injection.plan import OF_AGREEMENT, OF_DATAGRAMS, OF_DISKS, OF_WIRES, FaultTable

Seen = dict[str, Any]
SAMPLE_S = 0.05
CLOCK_ERROR = 0.02  # of a rate, as measured over the fault
SPINNERS = 3
DIES_S = 10.0
DEADLY = ("torn", "die-at", "die-after")  # the process dies by itself, at a step of its own
LAYERED = ("full", "read-only", "slow-disk", *DEADLY)


class Fault:
    """One fault of the plan, on all that it names."""

    def __init__(self, fleet: Fleet, number: int, stated: FaultTable) -> None:
        self.fleet, self.number, self.stated = fleet, number, stated
        self.begin_s = self.end_s = 0.0
        self.seen: Seen = {}
        self._before: Seen = {}
        self._sampling: asyncio.Task[None] | None = None
        self._spinners: list[Child] = []

    # The two moments

    async def begin(self) -> None:
        kind = self.stated.kind
        self.begin_s = time.monotonic()
        if kind in ("kill", "term", "stop"):
            await self._each(self._signal)
        elif kind in OF_WIRES:
            await self._wires(kind)
        elif kind in OF_AGREEMENT:
            await self._each(self._change)
        elif kind in OF_DATAGRAMS or kind == "clock" or kind in LAYERED:
            await self._each(self._layer)
        elif kind == "lost-disk":
            await self._each(self._lose)
        elif kind in ("list", "spoilt-list"):
            await self._each(self._list)
        elif kind == "rotate":
            await self._each(self._rotate)
        elif kind == "bad-start":
            await self._each(self._bad_start)
        elif kind == "busy":
            await self._each(self._busy)
        self.begun_s = time.monotonic()

    async def put_right(self) -> None:
        """Raises RigError if what was done left no trace."""
        kind = self.stated.kind
        if kind in DEADLY:
            await self._each(self._late_death)
        if kind in ("kill", "term", "lost-disk", "bad-start", *DEADLY):
            await self._each(self._come_back)
        elif kind == "stop":
            await self._each(self._go_on)
        elif kind in OF_WIRES:
            await self._whole_wires(kind)
        elif kind in OF_DATAGRAMS or kind == "clock" or kind in LAYERED:
            await self._each(self._layer_off)
        elif kind == "busy":
            await self._each(self._idle)
        self.end_s = time.monotonic()

    async def _each(self, act: Callable[[str], Awaitable[None]]) -> None:
        for name in self.stated.who:
            await act(name)

    def _note(self, name: str, **seen: Any) -> None:
        self.seen.setdefault(name, {}).update(seen)

    def _unseen(self, name: str, why: str) -> RigError:
        return RigError(f"fault {self.number} ({self.stated.named()}) did not happen at {name}: {why}")

    # Processes

    async def _signal(self, name: str) -> None:
        kind = self.stated.kind
        child = self.fleet.named(name)
        if kind != "stop":
            self.fleet.ended_by_plan.add(name)
        # Said before it is done: an answer in between must not look like one of a process that is well.
        self.fleet.say_state(name, {"kill": "killed", "term": "ending", "stop": "stopping"}[kind])
        child.signal(stop_signal(kind))
        if kind == "stop":
            if not await child.wait_for_state("T"):
                raise self._unseen(name, "not stopped")
            self._note(name, state="T")
            self.fleet.say_state(name, "stopped")
            return
        code = await child.wait_for_exit(DIES_S + self.fleet.plan.load.deadline_ms / 1000.0)
        if code is None:
            self.fleet.say_state(name, "hangs")
            await child.kill()
            code = child.process.returncode if child.process else None
        self._note(name, code=code)
        if kind == "kill" and code != -9:
            raise self._unseen(name, f"it had ended by itself with {code}")
        await self.fleet.close_doors(name)
        self.fleet.say_state(name, "ended", code=code)

    async def _go_on(self, name: str) -> None:
        child = self.fleet.named(name)
        if not await child.wait_for_state("T", 0.0) and not child.up:
            raise self._unseen(name, "it ended while it was stopped")
        self.fleet.say_state(name, "going")
        child.signal(signal.SIGCONT)
        if not await child.wait_for_state("!T"):
            raise self._unseen(name, "it did not go on")

    async def _come_back(self, name: str) -> None:
        fleet = self.fleet
        if self.stated.fresh:
            fleet.lose_folder(name)
        if self.stated.future:
            self._note(name, kept=fleet.future_folder(name))
        if self.stated.anew:
            self._note(name, memory=fleet.new_memory(name))
        if name in fleet.racks:
            await fleet.start_rack(name, cold=True)
        elif name == "d":
            await fleet.start_discovery()
        else:
            await fleet.start_instance(name)
            await fleet.wait_for_instance(name)
        fleet.ended_by_plan.discard(name)

    async def _late_death(self, name: str) -> None:
        child = self.fleet.named(name)
        code = await child.wait_for_exit(0.0)
        if code != -9:
            self.fleet.ended_by_plan.discard(name)
            raise self._unseen(name, "it came to no such step meanwhile")
        self._note(name, code=code)
        self.fleet.say_state(name, "ended", code=code)

    async def _bad_start(self, name: str) -> None:
        await self._kill_quietly(name)
        await self.fleet.start_instance(name, broken=True)
        code = await self.fleet.instances[name].wait_for_exit(DIES_S)
        if not code:
            raise self._unseen(name, f"with a broken file it ended with {code}")
        self._note(name, code=code, said=self.fleet.instances[name].last_line())
        self.fleet.say_state(name, "ended", code=code)

    async def _lose(self, name: str) -> None:
        kept = self.fleet.home(name) / "kept"
        if not kept.exists():
            raise self._unseen(name, "it had kept nothing")
        await self._kill_quietly(name)
        self._note(name, lost=len(os.listdir(kept)))
        self.fleet.lose_folder(name)

    async def _kill_quietly(self, name: str) -> None:
        self.fleet.ended_by_plan.add(name)
        self.fleet.say_state(name, "killed")
        child = self.fleet.instances[name]
        child.signal(signal.SIGKILL)
        if await child.wait_for_exit(DIES_S) != -9:
            raise self._unseen(name, "it had ended by itself")

    # Wires

    async def _wires(self, kind: str) -> None:
        fleet, stated = self.fleet, self.stated
        sides: dict[str, set[str]] = {}
        for one in stated.who:
            for other in stated.to:
                for id_, side in fleet.ways(one, other):
                    sides.setdefault(id_, set()).update(("there", "back") if stated.back else (side,))
        self._sides = {id_: sorted(each) for id_, each in sides.items()}
        for id_, each in self._sides.items():
            self._before[id_] = await self._way(id_, kind, each)
        self._dials = 0
        if kind == "silent":
            self._sampling = asyncio.create_task(self._sample_dials())

    async def _way(self, id_: str, mode: str, sides: list[str]) -> Seen:
        """What it counted, from the moment on at which it was set."""
        stated = self.stated
        more = {"ms": stated.ms, "bytes_per_s": stated.bytes_per_s}
        return await self.fleet.wires.ask("way", id=id_, sides=sides, mode=mode, **more)

    async def _sample_dials(self) -> None:
        """Dials that hang are seen at the one who dials: its sockets wait for an answer."""
        addresses = {self.fleet.links[id_] for id_ in self._sides}
        diallers = {id_.split(">")[0] for id_ in self._sides}
        pids = [self.fleet.named(name).pid for name in diallers if name != "c"]
        pids += [self.fleet.clients.pid] if "c" in diallers else []
        while True:
            for pid in pids:
                self._dials += sum(1 for each in tcp_sockets(pid, SYN_SENT) if each[2:] in addresses)
            await asyncio.sleep(SAMPLE_S)

    async def _whole_wires(self, kind: str) -> None:
        after = (await self.fleet.wires.ask("count", ids=list(self._sides)))["links"]
        for id_, each in self._sides.items():
            await self._way(id_, "", each)
        if self._sampling is not None:
            self._sampling.cancel()
        told = {"silent": "held", "delay": "delayed", "trickle": "trickled"}
        bitten = 0
        for id_, sides in self._sides.items():
            old, new = self._before[id_], after[id_]
            if kind == "reset":
                bitten += new["counts"].get("reset", 0) - old["was_reset"]
            else:
                word = told[kind]
                bitten += sum(new[side].get(word, 0) - old[side].get(word, 0) for side in sides)
            if kind == "silent":
                # The far end: nothing may have come through the side that was cut.
                through = sum(new[side].get("passed", 0) - old[side].get("passed", 0) for side in sides)
                if through:
                    raise self._unseen(id_, f"{through} bytes came through")
        self._note("wires", bitten=bitten, hanging_dials=self._dials)
        if not bitten and not self._dials:
            raise self._unseen(",".join(self.stated.to), "nothing was on these wires")

    # Layers under the program

    async def _layer(self, name: str) -> None:
        child, stated = self.fleet.instances[name], self.stated
        if stated.kind in DEADLY:
            self.fleet.ended_by_plan.add(name)
        if stated.kind == "clock":
            said = await child.order(do="clock", rate=stated.rate, step_s=stated.step_s)
        elif stated.kind in OF_DISKS:
            said = await child.order(do="disk", mode=stated.kind, ms=stated.ms, step=stated.step)
        else:
            addresses = [self.fleet.host(1 + int(other[1:])) for other in stated.to]
            more = {"kind": stated.kind, "ms": stated.ms, "share": stated.share, "step": stated.step}
            said = await child.order(do="datagrams", to=addresses, **more)
        self._before[name] = said

    async def _layer_off(self, name: str) -> None:
        child, stated, before = self.fleet.instances[name], self.stated, self._before[name]
        if stated.kind == "clock":
            said = await child.order(do="clock", rate=1.0, step_s=0.0)
            await self._judge_clock(name, before, said)
            return
        if stated.kind in OF_DISKS:
            said = await child.order(do="disk", mode="")
        else:
            addresses = [self.fleet.host(1 + int(other[1:])) for other in stated.to]
            said = await child.order(do="datagrams", to=addresses)
        count = said["counts"].get(stated.kind, 0) - before["counts"].get(stated.kind, 0)
        self._note(name, count=count)
        if not count:
            raise self._unseen(name, "nothing met it")

    async def _judge_clock(self, name: str, before: Seen, said: Seen) -> None:
        span_s = said["true_s"] - before["true_s"]
        rate = (said["told_s"] - before["told_s"]) / max(1e-9, span_s)
        self._note(name, rate=round(rate, 4), off_s=round(before["unix_s"] - time.time(), 3))
        if abs(rate - self.stated.rate) > CLOCK_ERROR:
            raise self._unseen(name, f"its clock ran at {rate:.3f}")

    # Lists

    async def _list(self, name: str) -> None:
        """Brought to an instance as operators' scripts bring files: to who is up, and nobody goes back."""
        fleet, stated = self.fleet, self.stated
        if name == stated.who[0]:
            fleet.version += 1
        reached = fleet.instances[name].up
        before = fleet.dropped[name]
        fleet.dropped[name] = before | set(stated.drop)
        if reached:
            fleet.write_list(name, spoilt=stated.kind == "spoilt-list")
        else:
            # Its copy stays as it is: the next change brings it up to date, this one never does.
            pass
        fleet.history.write(
            "list", time.monotonic(), instance=name, reached=reached, drop=list(stated.drop),
            spoilt=stated.kind == "spoilt-list", version=fleet.version,
        )  # fmt: skip
        self._note(name, reached=reached)

    async def _change(self, name: str) -> None:
        self._note(name, **await make_changes(self.fleet, self.number, self.stated, name))

    async def _rotate(self, name: str) -> None:
        """As operators do: the file is replaced, and who is up is told to read it again. Who is stopped hears
        of it when it goes on."""
        child, groups = self.fleet.instances[name], self.stated.groups
        begin = child.log.stat().st_size
        self.fleet.write_keys(name, groups)
        if not child.up:
            self._note(name, read="at its next start")
            return
        child.signal(signal.SIGHUP)
        if process_state(child.pid) == "T":
            self._note(name, read="when it goes on")
            return
        wanted = f"keys read again: group keys {', '.join(map(str, groups))}".encode()
        end_s = time.monotonic() + DIES_S
        while wanted not in child.log.read_bytes()[begin:]:
            if time.monotonic() > end_s:
                raise self._unseen(name, "it did not read its keys again")
            await asyncio.sleep(SAMPLE_S)
        self._note(name, read="now")

    # A core

    async def _busy(self, name: str) -> None:
        """Neighbours on the one core that is left to it."""
        child = self.fleet.instances[name]
        core = self.number % (os.cpu_count() or 1)
        os.sched_setaffinity(child.pid, {core})
        self._before[name] = {"waited_s": waited_s(child.pid)}
        for nth in range(SPINNERS):
            spinner = Helper(f"busy-{self.number}-{name}-{nth}", self.fleet.folder)
            await spinner.start("client_proxy.fault_injection.cpu_hog", str(core))
            self._spinners.append(spinner)

    async def _idle(self, name: str) -> None:
        child = self.fleet.instances[name]
        for spinner in self._spinners:
            await spinner.kill()
        self._spinners.clear()
        waited = waited_s(child.pid) - self._before[name]["waited_s"]
        if child.up:
            os.sched_setaffinity(child.pid, range(os.cpu_count() or 1))
        self._note(name, waited_s=round(waited, 3))
        if waited <= 0.0:
            raise self._unseen(name, "it never waited for its core")

    async def abandon(self) -> None:
        """The drill ends early."""
        if self._sampling is not None:
            self._sampling.cancel()
        for spinner in self._spinners:
            await spinner.kill()
