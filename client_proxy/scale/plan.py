"""Models of a scale plan: regions, control machines, real instances, and the days that a run plays.

A plan is a TOML file. It is validated as a whole, together with its estimated need of processes and memory,
before anything is started."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field, model_validator

from client_proxy.config.models import Model, parse
from client_proxy.toml_table import TomlError, read_text

MAX_PROCESSES = 200  # processes of one run
MEMORY_SHARE = 0.5  # largest share of the machine's memory that a run may take
MAX_INSTANCES = 10_000  # hollow instances of one region
MAX_SEATS = 7  # control machines of a run, each with a seat in the agreement
MAX_RUN_S = 3600.0  # upper bound for the length of a run and of a day

# Estimates that decide whether a plan is too large for the machine. They are derived in docs/design/scale.md.
PROCESS_MB = 60.0  # a Python process with the program's modules loaded and no instance yet
HOLLOW_MB = 0.35  # a hollow instance without its server list
SERVER_MB = 0.002  # one parsed server entry in an instance's list
BODY_KB_PER_SERVER = 0.11  # size of one server entry in a policy file
BODIES_KEPT = 24  # policy files that an instance keeps; followers keep them on tmpfs, in memory
REAL_MB = 75.0  # a real instance under load, its process included

DayKind = Literal[
    "quiet", "changes", "restarts", "zone-back", "rack", "control-down", "region-cut", "start-all"
]


class RegionTable(Model):
    """`[[region]]`: a region with its zones, hollow instances and control machines."""

    name: str = Field(pattern=r"^[a-z0-9-]{1,20}$", description="of the region")
    zones: tuple[str, ...] = Field(min_length=1, max_length=20, description="names of its zones")
    instances: int = Field(ge=1, le=MAX_INSTANCES, description="hollow instances, dealt out to its zones")
    control: int = Field(0, ge=0, le=MAX_SEATS, description="control machines that stand here")


class HollowTable(Model):
    """`[hollow]`: how hollow instances are grouped into processes, and what they take part in."""

    per_process: int = Field(60, ge=1, le=500, description="hollow instances in a process, at most")
    gossip: bool = Field(False, description="they take part in gossip")
    discovery: bool = Field(False, description="they follow an emulated discovery service")


class RealTable(Model):
    """`[real]`: `client-proxy serve` processes beside the hollow ones."""

    instances: int = Field(2, ge=0, le=60, description="under the agreement")
    plain: int = Field(1, ge=0, le=60, description="the same load without the agreement, to compare")
    rate: float = Field(294.0, gt=0, le=2000, description="calls a second to each, open loop")
    work_ms: float = Field(2.0, gt=0, le=1000, description="of one call at a server")
    deadline_ms: float = Field(1500.0, ge=100, le=30_000, description="after this nobody waits any more")
    servers: int = Field(4, ge=1, le=20, description="processes of emulated servers; names share them")
    per_client: int = Field(4, ge=1, le=60, description="instances that one process of clients calls")


class PolicySizeTable(Model):
    """`[policy]`: the size of the policy that the instances agree on."""

    servers: int = Field(10, ge=1, le=10_000, description="servers in the policy")
    services: int = Field(5, ge=1, le=1000, description="the servers are dealt out to so many services")


class DayTable(Model):
    """`[[day]]`: one phase of the run."""

    kind: DayKind = Field(description="what happens")
    name: str = Field("", pattern=r"^[a-z0-9-]{0,40}$", description="in the report; without it the kind")
    length_s: float = Field(5.0, gt=0, le=MAX_RUN_S, description="of the day; faults last a part of it")
    changes: int = Field(0, ge=0, le=1000, description="changes of the policy, spread evenly over the day")
    authors: int = Field(1, ge=1, le=20, description="who make them at once, each for services of its own")
    down: int = Field(0, ge=0, le=20, description="hollow instances that are killed for the day")
    stopped: int = Field(0, ge=0, le=20, description="hollow instances that are stopped for the day")
    loss: float = Field(0.0, ge=0, lt=1, description="share of datagrams that are lost")
    restarts: int = Field(0, ge=0, le=1000, description="restarts: hollow instances, spread over the day")
    zone: str = Field("", description="zone-back: which; rack: the zone of the instances that go")
    region: str = Field("", description="region-cut: which")
    control: int = Field(1, ge=0, le=MAX_SEATS, description="control-down, rack: control machines that go")
    fault_s: float = Field(
        0.0, ge=0, le=MAX_RUN_S, description="how long a fault lasts; 0: two thirds of the day"
    )

    @property
    def title(self) -> str:
        """The name in the report; the kind if the day has no name."""
        return self.name or self.kind

    @property
    def fault_length_s(self) -> float:
        """How long the day's fault lasts, in seconds."""
        return self.fault_s or self.length_s * 2 / 3


class ScalePlan(Model):
    """A whole scale plan file."""

    name: str = Field(pattern=r"^[a-z0-9-]{1,40}$", description="of the run")
    about: str = Field("", max_length=500, description="for people")
    seed: int = Field(1, ge=0, description="of all that is drawn")
    lease_ms: float = Field(3000.0, ge=200, le=600_000, description="of the agreement")
    memory_mb: float = Field(0.0, ge=0, description="memory that it may take; 0: half of the machine's")
    most_s: float = Field(
        580.0, gt=0, le=MAX_RUN_S, description="the run ends by itself after this at the latest"
    )
    region: tuple[RegionTable, ...] = Field(max_length=20)
    hollow: HollowTable = Field(default_factory=HollowTable)
    real: RealTable = Field(default_factory=RealTable)
    policy: PolicySizeTable = Field(default_factory=PolicySizeTable)
    day: tuple[DayTable, ...] = Field(max_length=50)

    @model_validator(mode="after")
    def _check_consistency(self) -> ScalePlan:
        # Checked here and not by a `min_length` of the fields: an array whose only table is invalid would be
        # reported as empty as well.
        if not self.region or not self.day:
            raise ValueError("region, day: at least one of each is needed")
        zones = [zone for region in self.region for zone in region.zones]
        names = [region.name for region in self.region]
        if len(set(zones)) != len(zones) or len(set(names)) != len(names):
            raise ValueError("region: two regions or zones have the same name")
        if sum(day.length_s for day in self.day) >= self.most_s:
            raise ValueError("most_s: the days are longer than the run may take")
        for region in self.region:
            if region.instances < len(region.zones):
                raise ValueError(f"region.instances: {region.name}: fewer than its zones")
        if not 1 <= self.control <= MAX_SEATS:
            raise ValueError(f"region.control: {self.control} control machines; 1 to {MAX_SEATS} are needed")
        for number, day in enumerate(self.day):
            self._check_day(f"day.{number}", day, zones, names)
        return self

    def _check_day(self, where: str, day: DayTable, zones: list[str], regions: list[str]) -> None:
        if day.kind in ("zone-back", "rack") and day.zone not in zones:
            raise ValueError(f"{where}.zone: {day.zone!r}: no such zone; there are {zones}")
        if day.kind == "region-cut" and day.region not in regions:
            raise ValueError(f"{where}.region: {day.region!r}: no such region; there are {regions}")
        if day.kind in ("control-down", "rack") and day.control > self.control:
            raise ValueError(f"{where}.control: there are {self.control} control machines")
        if day.down + day.stopped > self.instances - len(zones):
            raise ValueError(
                f"{where}.down: down + stopped exceeds the number of hollow instances that can be taken away"
            )
        if day.fault_length_s > day.length_s:
            raise ValueError(f"{where}.fault_s: longer than the day")

    @property
    def instances(self) -> int:
        """Number of hollow instances that follow, without a seat in the agreement."""
        return sum(region.instances for region in self.region)

    @property
    def control(self) -> int:
        """Number of control machines in all regions."""
        return sum(region.control for region in self.region)

    @property
    def separate_count(self) -> int:
        """Number of hollow instances with a process of their own, as a day kills or stops them singly."""
        return max(day.down + day.stopped for day in self.day)


class PlanRefused(TomlError):
    """The plan needs more processes or memory than a run may take. The text is one line with the key."""


def load(path: Path) -> ScalePlan:
    """Reads a plan and checks it.

    Raises:
        TomlError: the file is invalid; the text has one line per error.
        PlanRefused: the plan is too large for the machine."""
    plan = parse(ScalePlan, read_text(path), str(path))
    try:
        check_size(plan)
    except PlanRefused as refused:
        raise PlanRefused(f"{path}: {refused}") from None
    return plan


def check_size(plan: ScalePlan) -> None:
    """Raises PlanRefused if the plan needs more processes or memory than a run may take."""
    from client_proxy.scale.topology import Layout

    count = Layout(plan).process_count()
    if count > MAX_PROCESSES:
        raise PlanRefused(f"hollow.per_process: {count} processes; at most {MAX_PROCESSES} are allowed")
    needed, allowed = memory_needed_mb(plan, count), memory_allowed_mb(plan)
    if needed > allowed:
        raise PlanRefused(f"memory_mb: about {needed:.0f} MB are needed; {allowed:.0f} MB are allowed")


def memory_needed_mb(plan: ScalePlan, processes: int) -> float:
    """Estimates the memory of all processes and of the files that followers keep on tmpfs, in MB."""
    hollow = plan.instances + plan.control
    bodies_mb = plan.policy.servers * BODY_KB_PER_SERVER * BODIES_KEPT / 1024.0
    per_instance_mb = HOLLOW_MB + plan.policy.servers * SERVER_MB + bodies_mb
    real = plan.real.instances + plan.real.plain
    return processes * PROCESS_MB + hollow * per_instance_mb + real * (REAL_MB - PROCESS_MB)


def memory_allowed_mb(plan: ScalePlan) -> float:
    """Returns the smaller of the plan's own limit and the allowed share of the machine's memory, in MB."""
    share_mb = MEMORY_SHARE * _machine_mb()
    return min(share_mb, plan.memory_mb) if plan.memory_mb else share_mb


def _machine_mb() -> float:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024.0
    raise OSError("/proc/meminfo has no MemTotal")
