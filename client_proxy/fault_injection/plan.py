"""Models (pydantic) of a drill's plan: the fleet, its load, and faults that start at a time or an event.

A plan is a TOML file. It is validated as a whole before anything is started; each error names line and key.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field, model_validator

from client_proxy.config.models import Model, parse
from client_proxy.toml_table import TomlError, read_text

MAX_INSTANCES = 60  # limit of the addresses and links that a drill assigns
MAX_TIME_S = 600.0  # longest time in a plan

PROCESS_KINDS = ("kill", "term", "stop", "bad-start", "busy")
LINK_KINDS = ("silent", "reset", "delay", "trickle")
DATAGRAM_KINDS = ("loss", "late", "twice", "reorder", "die-after")
CLOCK_KINDS = ("clock",)
DISK_KINDS = ("full", "read-only", "slow-disk", "torn", "lost-disk", "die-at")
LIST_KINDS = ("list", "spoilt-list")
AGREEMENT_KINDS = ("propose", "withdraw", "back", "reseat", "dry-run")
INSTANT_KINDS = ("list", "spoilt-list", "rotate", *AGREEMENT_KINDS)  # faults that need no end
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

    instances: int = Field(3, ge=1, le=MAX_INSTANCES, description="number of proxy processes")
    line: Literal["serve", "run"] = Field(
        "serve",
        description="command line: `serve`: `client-proxy serve` with watched files; `run`: the platform's",
    )
    racks: int = Field(3, ge=1, le=20, description="number of server processes; each is a rack")
    per_rack: int = Field(2, ge=1, le=20, description="servers in each rack")
    halls: int = Field(1, ge=1, le=10, description="number of halls that the racks are spread over")
    gossip: bool = Field(False, description="instances exchange their observations of servers")
    seats: int = Field(0, ge=0, le=5, description="instances that vote on the list; 0: each has its own file")
    lease_ms: float = Field(1500.0, ge=200, le=60_000, description="lease of the agreement")
    spare: int = Field(0, ge=0, le=7, description="further instances in the files that can become voters")
    narrow: tuple[str, ...] = Field(
        (), description="instances whose files lack the spare ones, so that they reject them"
    )
    stale: Literal["refuse", "serve"] = Field("refuse", description="what an instance without a lease does")
    whole: bool = Field(False, description="the agreed file also states classes and features")
    without: tuple[str, ...] = Field((), description="servers missing from the first agreed list")
    learned: bool = Field(False, description="instances keep their warm state over a restart")
    features: str = Field("", description="further tables of the operators' file, as TOML text")
    others: dict[str, str] = Field(
        default_factory=dict, description="by instance (`i2`), a checkout of another version that it runs"
    )


class LoadTable(Model):
    """`[load]`"""

    rate: float = Field(20.0, gt=0, le=2000, description="requests per second to each instance")
    work_ms: float = Field(6.0, gt=0, le=1000, description="work of one request at a server")
    unsafe_share: float = Field(0.4, ge=0, le=1, description="share of requests that are not idempotent")
    deadline_ms: float = Field(
        1500.0, ge=100, le=30_000, description="how long a client waits for its answer"
    )
    elsewhere: bool = Field(True, description="clients retry at the next instance if theirs is down")


class After(Model):
    """`when = { log = "taken", of = "i2" }`: waits for the first log line with that text."""

    of: str = Field(description="whose log")
    log: str = Field(min_length=1, description="text that the line contains")
    within_s: float = Field(
        30.0, gt=0, le=MAX_TIME_S, description="without the line by then the drill ends with `error`"
    )


class FaultTable(Model):
    """`[[fault]]`"""

    kind: Kind
    who: tuple[str, ...] = Field(min_length=1, description="`i0`..: instances, `r0`..: racks, `d`: discovery")
    to: tuple[str, ...] = Field((), description="faults of links: the other ends; `c`: the clients")
    back: bool = Field(True, description="faults of links: in both directions")
    at_s: float = Field(
        0.0, ge=0, le=MAX_TIME_S, description="start, counted from the load's start or from `when`"
    )
    when: After | None = Field(None, description="an event to wait for first")
    for_s: float = Field(0.0, ge=0, le=MAX_TIME_S, description="duration; 0: to the plan's end")
    fresh: bool = Field(False, description="kill, term, lost-disk: restart without its folder")
    ms: float = Field(0.0, ge=0, le=60_000, description="delay, late, slow-disk: the delay")
    share: float = Field(1.0, gt=0, le=1, description="loss, late, twice, reorder: share of datagrams")
    bytes_per_s: float = Field(2000.0, gt=0, description="trickle: bytes per second")
    rate: float = Field(1.0, ge=0.5, le=2.0, description="clock: seconds that it advances per second")
    step_s: float = Field(0.0, ge=-86_400, le=86_400, description="clock: offset of the time of day")
    groups: tuple[int, ...] = Field(
        (), max_length=2, description="rotate: numbers of the valid gossip keys; the first is used to send"
    )
    drop: tuple[str, ...] = Field((), description="list, propose: servers to remove from the list")
    anew: bool = Field(
        False,
        description="propose: `drop` removes from all servers; kill, lost-disk: restart with a new id",
    )
    cycle: tuple[tuple[str, ...], ...] = Field(
        (),
        max_length=20,
        description="propose: instead of `drop`, one list after the other, each from all servers",
    )
    many: int = Field(1, ge=1, le=1000, description="propose: number of changes in a row")
    attempts: int = Field(0, ge=0, le=10, description="propose: attempts in a whole policy; 0: unchanged")
    features: str = Field("", description="propose: feature tables of a whole policy, as TOML text")
    version: int = Field(0, ge=0, description="back: the version to return to")
    seat: str = Field("", description="reseat: the instance that gets or loses a vote")
    despite: tuple[str, ...] = Field((), description="propose: instances whose validation is skipped")
    remove: bool = Field(False, description="reseat: the instance loses its vote")
    step: int = Field(
        1,
        ge=1,
        le=1000,
        description="die-at: number of the disk step at which the process dies; die-after: of the datagram",
    )
    future: bool = Field(False, description="kill: restart with a folder of versions that nobody knows")

    @model_validator(mode="after")
    def _validate(self) -> FaultTable:
        is_link_fault = self.kind in LINK_KINDS
        if is_link_fault and not self.to:
            raise ValueError("to: missing: a fault of a link has two ends")
        if self.to and not is_link_fault and self.kind not in DATAGRAM_KINDS:
            raise ValueError(f"to: {self.kind} has one end only")
        if self.kind == "list" and not self.drop:
            raise ValueError("drop: missing: the servers to remove from the list")
        if self.kind == "back" and not self.version:
            raise ValueError("version: missing: the version to return to")
        if self.kind == "reseat" and not self.seat:
            raise ValueError("seat: missing: the instance that gets or loses a vote")
        if self.kind == "rotate" and not self.groups:
            raise ValueError("groups: missing: numbers of the valid gossip keys")
        if self.kind in ("delay", "late", "slow-disk") and not self.ms:
            raise ValueError(f"ms: missing: the delay of {self.kind}")
        if self.kind == "clock" and self.rate == 1.0 and not self.step_s:
            raise ValueError("rate, step_s: neither is stated: the clock would be right")
        return self

    def label(self) -> str:
        """Return a short description for progress lines and errors."""
        target = f" {'<>' if self.back else '>'} {','.join(self.to)}" if self.to else ""
        return f"{self.kind} {','.join(self.who)}{target}"


class AimTable(Model):
    """`[aim]`: what the fleet has to achieve."""

    whole_s: float = Field(8.0, gt=0, description="time after the last fault by which service is restored")
    whole_share: float = Field(0.98, gt=0, le=1, description="share of requests that must be served then")
    stale_s: float = Field(
        4.0, gt=0, description="time after a change of the list by which no instance uses the old one"
    )
    expect: tuple[str, ...] = Field((), description="rules that this plan is known to break")


class Plan(Model):
    """A plan file."""

    name: str = Field(pattern=r"^[a-z0-9-]{1,60}$", description="name of the drill and its folder")
    about: str = Field("", max_length=500, description="free text")
    seed: int = Field(1, ge=0, description="seed of all random draws")
    length_s: float = Field(12.0, gt=0, le=MAX_TIME_S, description="duration of the load")
    fleet: FleetTable = Field(default_factory=FleetTable)
    load: LoadTable = Field(default_factory=LoadTable)
    aim: AimTable = Field(default_factory=AimTable)
    fault: tuple[FaultTable, ...] = ()

    @model_validator(mode="after")
    def _validate_references(self) -> Plan:
        known = set(self.instances()) | set(self.racks()) | {"c", "d"}
        servers = set(self.servers())
        for number, fault in enumerate(self.fault):
            processes = (*fault.who, *fault.to, *((fault.when.of,) if fault.when else ()))
            for name in processes:
                if name not in known:
                    raise ValueError(f"fault.{number}: {name}: no such process in this fleet")
            if "d" in processes and self.fleet.line != "run":
                raise ValueError(f"fault.{number}: d: only instances of the `run` line have a discovery")
            for name in (*fault.drop, *(each for drops in fault.cycle for each in drops)):
                if name not in servers:
                    raise ValueError(f"fault.{number}: drop: no server {name}; there are {sorted(servers)}")
            if fault.at_s >= self.length_s:
                raise ValueError(f"fault.{number}: at_s: after the end of the plan")
            if fault.kind in (*LIST_KINDS, *DISK_KINDS) and self.fleet.line == "run":
                raise ValueError(
                    f"fault.{number}: {fault.kind}: instances of the `run` line have no files of their own"
                )
            if (fault.kind in LIST_KINDS and self.fleet.seats) or (
                fault.kind in AGREEMENT_KINDS and (not self.fleet.seats or len(fault.who) != 1)
            ):
                raise ValueError(
                    f"fault.{number}: {fault.kind}: a list file needs fleet.seats = 0, "
                    "an agreed change needs seats and one instance in `who`"
                )
            if fault.kind == "rotate" and not self.fleet.gossip:
                raise ValueError(f"fault.{number}: rotate: needs fleet.gossip = true")
            if fault.kind in (
                "rotate", *LIST_KINDS, *AGREEMENT_KINDS, *DISK_KINDS, *CLOCK_KINDS, *DATAGRAM_KINDS,
                "bad-start", "busy",
            ):  # fmt: skip
                if any(not name.startswith("i") for name in fault.who):
                    raise ValueError(f"fault.{number}: who: {fault.kind} applies to instances only")
            elif any(name == "c" for name in fault.who) and fault.kind not in LINK_KINDS:
                raise ValueError(
                    f"fault.{number}: who: c: the clients are the drill's own and get no such fault"
                )
            if fault.kind in DATAGRAM_KINDS and not (self.fleet.gossip or self.fleet.seats):
                raise ValueError(
                    f"fault.{number}: {fault.kind}: instances send datagrams only with gossip or seats"
                )
            if fault.kind in LINK_KINDS and self.fleet.seats and "c" not in processes:
                raise ValueError(
                    f"fault.{number}: {fault.kind}: with seats, all instances share the links to a server"
                )
        if self.fleet.without and not set(self.fleet.without) < servers:
            raise ValueError(f"fleet.without: must be some, not all, of {sorted(servers)}")
        if self.fleet.seats + self.fleet.spare > self.fleet.instances or (
            self.fleet.seats and self.fleet.line == "run"
        ):
            raise ValueError("fleet.seats: with `spare` more than fleet.instances, or on the `run` line")
        return self

    def instances(self) -> tuple[str, ...]:
        """Return the names of the instances."""
        return tuple(f"i{n}" for n in range(self.fleet.instances))

    def racks(self) -> tuple[str, ...]:
        """Return the names of the racks."""
        return tuple(f"r{n}" for n in range(self.fleet.racks))

    def servers(self) -> dict[str, str]:
        """Return the rack of each server."""
        return {f"{rack}-{n + 1}": rack for rack in self.racks() for n in range(self.fleet.per_rack)}

    def hall(self, rack: str) -> str:
        """Return the hall of a rack."""
        return f"h{int(rack[1:]) % self.fleet.halls}"


def load(path: Path) -> Plan:
    """Read and validate a plan. Raises TomlError."""
    return parse(Plan, read_text(path), str(path))


def format_plan(plan: Plan) -> str:
    """Return the text of a plan file that `load` reads back as the same plan."""
    import json

    lines: list[str] = []

    def to_toml(field_value: object) -> str:
        # Strings, numbers and lists are written in JSON as in TOML.
        return json.dumps(field_value)

    def write_table(header: str, model: Model) -> None:
        lines.append(header)
        for key, field_value in model.model_dump(exclude_defaults=True).items():
            if key == "kind" or not isinstance(field_value, dict):
                lines.append(f"{key} = {to_toml(field_value)}")
            elif field_value:
                inline_table = ", ".join(
                    f"{json.dumps(inner_key)} = {to_toml(inner_value)}"
                    for inner_key, inner_value in field_value.items()
                )
                lines.append(f"{key} = {{ {inline_table} }}")
        lines.append("")

    for key in ("name", "about", "seed", "length_s"):
        lines.append(f"{key} = {to_toml(getattr(plan, key))}")
    lines.append("")
    write_table("[fleet]", plan.fleet)
    write_table("[load]", plan.load)
    write_table("[aim]", plan.aim)
    for fault in plan.fault:
        write_table("[[fault]]", fault)
    return "\n".join(lines)


__all__ = ["FaultTable", "Plan", "TomlError", "format_plan", "load"]
