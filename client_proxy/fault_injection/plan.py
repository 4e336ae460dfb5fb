"""What a drill does, as models of the library pydantic: a fleet, its load, and faults by time or by event.

A plan is a TOML file. It is checked whole before anything is started; each fault of the file is told with its
line and key."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field, model_validator

from client_proxy.config.models import Model, parse
from client_proxy.toml_table import TomlError, read_text

MAX_INSTANCES = 60  # that the addresses and the wires are laid out for
MOST_S = 600.0

PROCESS_KINDS = ("kill", "term", "stop", "bad-start", "busy")
LINK_KINDS = ("silent", "reset", "delay", "trickle")
DATAGRAM_KINDS = ("loss", "late", "twice", "reorder", "die-after")
CLOCK_KINDS = ("clock",)
DISK_KINDS = ("full", "read-only", "slow-disk", "torn", "lost-disk", "die-at")
LIST_KINDS = ("list", "spoilt-list")
AGREEMENT_KINDS = ("propose", "withdraw", "back", "reseat", "dry-run")
INSTANT_KINDS = ("list", "spoilt-list", "rotate", *AGREEMENT_KINDS)  # they have no way back
Kind = Literal[
    "kill", "term", "stop", "bad-start", "busy",
    "silent", "reset", "delay", "trickle",
    "loss", "late", "twice", "reorder", "die-after",
    "clock",
    "full", "read-only", "slow-disk", "torn", "lost-disk",
    "die-at",
    "list", "spoilt-list", "rotate",
    "propose", "withdraw", "back", "reseat", "dry-run",
]  # fmt: skip


class FleetTable(Model):
    """`[fleet]`"""

    instances: int = Field(3, ge=1, le=MAX_INSTANCES, description="processes of the program")
    line: Literal["serve", "run"] = Field(
        "serve", description="`serve`: `client-proxy serve` with watched files; `run`: the platform's line"
    )
    racks: int = Field(3, ge=1, le=20, description="processes of servers, each a rack")
    per_rack: int = Field(2, ge=1, le=20, description="servers in each")
    halls: int = Field(1, ge=1, le=10, description="racks are dealt out to so many halls")
    gossip: bool = Field(False, description="instances tell each other what they saw of servers")
    seats: int = Field(0, ge=0, le=5, description="so many vote on the list; 0: each has a file of its own")
    lease_ms: float = Field(1500.0, ge=200, le=60_000, description="of the agreement")
    spare: int = Field(0, ge=0, le=7, description="so many more stand in the files and can be voted in")
    narrow: tuple[str, ...] = Field(
        (), description="instances whose files lack the spare ones: they refuse them"
    )
    stale: Literal["refuse", "serve"] = Field("refuse", description="what an instance without a lease does")
    whole: bool = Field(False, description="the agreed file states classes and features as well")
    without: tuple[str, ...] = Field((), description="servers that are not on the first agreed list")
    learned: bool = Field(False, description="instances keep what they learned over a restart")
    features: str = Field("", description="further tables of the operators' file, as TOML text")
    others: dict[str, str] = Field(
        default_factory=dict, description="by instance (`i2`), a checkout of another version that it runs"
    )


class LoadTable(Model):
    """`[load]`"""

    rate: float = Field(20.0, gt=0, le=2000, description="requests a second to each instance")
    work_ms: float = Field(6.0, gt=0, le=1000, description="of one request at a server")
    unsafe_share: float = Field(0.4, ge=0, le=1, description="requests that may not be repeated")
    deadline_ms: float = Field(1500.0, ge=100, le=30_000, description="after this nobody waits any more")
    elsewhere: bool = Field(True, description="clients go on to the next instance when theirs is gone")


class After(Model):
    """`when = { log = "taken", of = "i2" }`: at the first such line of a log."""

    of: str = Field(description="whose log")
    log: str = Field(min_length=1, description="text of the line")
    within_s: float = Field(30.0, gt=0, le=MOST_S, description="else the drill is in error")


class FaultTable(Model):
    """`[[fault]]`"""

    kind: Kind
    who: tuple[str, ...] = Field(min_length=1, description="`i0`..: instances, `r0`..: racks, `d`: discovery")
    to: tuple[str, ...] = Field((), description="faults of wires: from `who` to these; `c`: the clients")
    back: bool = Field(True, description="faults of wires: in the other direction as well")
    at_s: float = Field(0.0, ge=0, le=MOST_S, description="after the load has begun, or after `when`")
    when: After | None = Field(None, description="an event to wait for first")
    for_s: float = Field(0.0, ge=0, le=MOST_S, description="then it is put right; 0: at the plan's end")
    fresh: bool = Field(False, description="kill, term, lost-disk: it comes back without its folder")
    ms: float = Field(0.0, ge=0, le=60_000, description="delay, late, slow-disk: so long")
    share: float = Field(1.0, gt=0, le=1, description="loss, late, twice, reorder: of datagrams")
    bytes_per_s: float = Field(2000.0, gt=0, description="trickle")
    rate: float = Field(1.0, ge=0.5, le=2.0, description="clock: seconds that it counts in a second")
    step_s: float = Field(0.0, ge=-86_400, le=86_400, description="clock: by so much the time of day is off")
    groups: tuple[int, ...] = Field(
        (), max_length=2, description="rotate: the keys of gossip that are valid; the first is sent with"
    )
    drop: tuple[str, ...] = Field((), description="list, propose: servers that are not on it any more")
    anew: bool = Field(
        False,
        description="propose: `drop` counts from all servers; kill, lost-disk: it returns with a new memory",
    )
    cycle: tuple[tuple[str, ...], ...] = Field(
        (), max_length=20, description="propose: in place of `drop`, one after the other, anew"
    )
    many: int = Field(1, ge=1, le=1000, description="propose: so many changes in a row")
    attempts: int = Field(0, ge=0, le=10, description="propose: of a whole policy; 0: as it was")
    features: str = Field("", description="propose: tables of features of a whole policy, as TOML text")
    version: int = Field(0, ge=0, description="back: to this one")
    seat: str = Field("", description="reseat: the instance that gets a seat, or loses it")
    despite: tuple[str, ...] = Field((), description="propose: instances that are not asked")
    remove: bool = Field(False, description="reseat: it loses it")
    step: int = Field(
        1, ge=1, le=1000, description="die-at: the step of its disk at which it dies; die-after: the datagram"
    )
    future: bool = Field(False, description="kill: it returns with a folder of versions that nobody knows")

    @model_validator(mode="after")
    def _fits(self) -> FaultTable:
        wires = self.kind in LINK_KINDS
        if wires and not self.to:
            raise ValueError("to: missing: a fault of wires has two ends")
        if self.to and not wires and self.kind not in DATAGRAM_KINDS:
            raise ValueError(f"to: {self.kind} has one end only")
        if self.kind == "list" and not self.drop:
            raise ValueError("drop: missing: which servers leave the list?")
        if self.kind == "back" and not self.version:
            raise ValueError("version: missing: back to which?")
        if self.kind == "reseat" and not self.seat:
            raise ValueError("seat: missing: whose?")
        if self.kind == "rotate" and not self.groups:
            raise ValueError("groups: missing: which keys are valid?")
        if self.kind in ("delay", "late", "slow-disk") and not self.ms:
            raise ValueError("ms: missing")
        if self.kind == "clock" and self.rate == 1.0 and not self.step_s:
            raise ValueError("rate, step_s: neither is stated: the clock would be right")
        return self

    def label(self) -> str:
        ends = f" {'<>' if self.back else '>'} {','.join(self.to)}" if self.to else ""
        return f"{self.kind} {','.join(self.who)}{ends}"


class AimTable(Model):
    """`[aim]`: what is asked of the fleet."""

    whole_s: float = Field(8.0, gt=0, description="so long after the last fault, service is whole again")
    whole_share: float = Field(0.98, gt=0, le=1, description="served of what is asked then")
    stale_s: float = Field(
        4.0, gt=0, description="after a change of the list, or a return, by the old one no longer"
    )
    expect: tuple[str, ...] = Field((), description="rules that are known to break on this plan")


class Plan(Model):
    """The whole file."""

    name: str = Field(pattern=r"^[a-z0-9-]{1,60}$", description="of the drill and its folder")
    about: str = Field("", max_length=500, description="for people")
    seed: int = Field(1, ge=0, description="of all that is drawn")
    length_s: float = Field(12.0, gt=0, le=MOST_S, description="load, with the faults in it")
    fleet: FleetTable = Field(default_factory=FleetTable)
    load: LoadTable = Field(default_factory=LoadTable)
    aim: AimTable = Field(default_factory=AimTable)
    fault: tuple[FaultTable, ...] = ()

    @model_validator(mode="after")
    def _whole(self) -> Plan:
        known = set(self.instances()) | set(self.racks()) | {"c", "d"}
        servers = set(self.servers())
        for number, fault in enumerate(self.fault):
            named = (*fault.who, *fault.to, *((fault.when.of,) if fault.when else ()))
            for name in named:
                if name not in known:
                    raise ValueError(f"fault.{number}: {name}: no such process in this fleet")
            if "d" in named and self.fleet.line != "run":
                raise ValueError(f"fault.{number}: d: only instances of the `run` line have a discovery")
            for name in (*fault.drop, *(each for drops in fault.cycle for each in drops)):
                if name not in servers:
                    raise ValueError(f"fault.{number}: drop: no server {name}; there are {sorted(servers)}")
            if fault.at_s >= self.length_s:
                raise ValueError(f"fault.{number}: at_s: after the end of the plan")
            if fault.kind in (*LIST_KINDS, *DISK_KINDS) and self.fleet.line == "run":
                raise ValueError(f"fault.{number}: {fault.kind}: the `run` line has no files of its own")
            if (fault.kind in LIST_KINDS and self.fleet.seats) or (
                fault.kind in AGREEMENT_KINDS and (not self.fleet.seats or len(fault.who) != 1)
            ):
                raise ValueError(f"fault.{number}: {fault.kind}: lists are agreed on where there are seats")
            if fault.kind == "rotate" and not self.fleet.gossip:
                raise ValueError(f"fault.{number}: rotate: there are keys only with gossip")
            if fault.kind in (
                "rotate", *LIST_KINDS, *AGREEMENT_KINDS, *DISK_KINDS, *CLOCK_KINDS, *DATAGRAM_KINDS,
                "bad-start", "busy",
            ):  # fmt: skip
                if any(not name.startswith("i") for name in fault.who):
                    raise ValueError(f"fault.{number}: who: {fault.kind} befalls instances only")
            elif any(name == "c" for name in fault.who) and fault.kind not in LINK_KINDS:
                raise ValueError(f"fault.{number}: who: the clients are the drill's own measure")
            if fault.kind in DATAGRAM_KINDS and not (self.fleet.gossip or self.fleet.seats):
                raise ValueError(f"fault.{number}: {fault.kind}: instances send datagrams only with gossip")
            if fault.kind in LINK_KINDS and self.fleet.seats and "c" not in named:
                raise ValueError(f"fault.{number}: {fault.kind}: with seats, all share the wires to a server")
        if self.fleet.without and not set(self.fleet.without) < servers:
            raise ValueError(f"fleet.without: not some of {sorted(servers)}")
        if self.fleet.seats + self.fleet.spare > self.fleet.instances or (
            self.fleet.seats and self.fleet.line == "run"
        ):
            raise ValueError("fleet.seats: more than instances, or on the `run` line")
        return self

    def instances(self) -> tuple[str, ...]:
        return tuple(f"i{n}" for n in range(self.fleet.instances))

    def racks(self) -> tuple[str, ...]:
        return tuple(f"r{n}" for n in range(self.fleet.racks))

    def servers(self) -> dict[str, str]:
        """By server, its rack."""
        return {f"{rack}-{n + 1}": rack for rack in self.racks() for n in range(self.fleet.per_rack)}

    def hall(self, rack: str) -> str:
        return f"h{int(rack[1:]) % self.fleet.halls}"


def load(path: Path) -> Plan:
    """Raises TomlError."""
    return parse(Plan, read_text(path), str(path))


def format_plan(plan: Plan) -> str:
    """The plan as a file that `load` reads back as the same plan."""
    import json

    lines: list[str] = []

    def value(given: object) -> str:
        # JSON's strings, numbers and lists are TOML's too.
        return json.dumps(given)

    def table(head: str, model: Model) -> None:
        lines.append(head)
        for key, given in model.model_dump(exclude_defaults=True).items():
            if key == "kind" or not isinstance(given, dict):
                lines.append(f"{key} = {value(given)}")
            elif given:
                inner = ", ".join(f"{json.dumps(k)} = {value(v)}" for k, v in given.items())
                lines.append(f"{key} = {{ {inner} }}")
        lines.append("")

    for key in ("name", "about", "seed", "length_s"):
        lines.append(f"{key} = {value(getattr(plan, key))}")
    lines.append("")
    table("[fleet]", plan.fleet)
    table("[load]", plan.load)
    table("[aim]", plan.aim)
    for fault in plan.fault:
        table("[[fault]]", fault)
    return "\n".join(lines)


__all__ = ["FaultTable", "Plan", "TomlError", "format_plan", "load"]
