"""Pydantic models of the configuration files, which are TOML.

The reference page and the JSON schema print the descriptions of the keys. All faults of a file are reported
together, each with file, line and key.
"""

from __future__ import annotations

import ipaddress
import tomllib
from typing import Annotated, Any, Literal, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from client_proxy.toml_table import TomlError, line_numbers

MAX_SERVERS = 10_000  # servers in one file
ModelT = TypeVar("ModelT", bound=BaseModel)


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(
            "an address of the form IP:port is needed (IPv6 in brackets); there are no name look-ups"
        )
    return text


def _check_listen_address(text: str) -> str:
    if text.endswith(":0"):
        _check_address(text[:-1] + "1")
        return text
    return _check_address(text)


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(min_length=1, max_length=128)]


class Model(BaseModel):
    """Base of all models: unknown keys are faults, and values are not converted to the type of their key."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ServerEntry(Model):
    """`[[server]]`: one server."""

    name: Name = Field(description="its name, which no other has")
    address: Address = Field(description="where it listens, `IP:port`")
    hall: str = Field("", max_length=128, description="the hall it stands in")
    rack: int = Field(0, ge=0, description="its rack: servers of one rack drop each other's repeats")
    weight: float = Field(
        1.0, ge=0, le=1000, description="how gladly it is drawn beside others; 0: no new work"
    )
    state: Literal["ready", "draining"] = Field(
        "ready", description="`draining`: no new work, what runs may end"
    )
    warm: bool = Field(
        False, description="it has been up for long; else one that is new in the file starts cold"
    )


class End(Model):
    """`[end]`, the last table of a file: it shows that the file is complete."""

    version: int = Field(ge=0, description="the same as at the top")
    digest: str = Field(
        "", max_length=64, description="written by `client-proxy config seal`: BLAKE2b of all above"
    )


class FleetFile(Model):
    """A server file. With `version` and `[end]`, an incomplete file is detected and not accepted."""

    version: int | None = Field(None, ge=0, description="higher than that of the file before")
    server: tuple[ServerEntry, ...] = Field((), max_length=MAX_SERVERS, description="the servers")
    end: End | None = Field(None, description="the file's end")


class RequestClassEntry(Model):
    """`[[class]]`: a class of requests, identified by the first segment of their path."""

    name: Name = Field(description="the first part of the path: `/name/...`")
    effect: Literal["safe", "keyed", "unsafe"] = Field(
        "unsafe", description="may it be repeated? `keyed`: by servers that drop repeats of its key"
    )
    group: Literal["all", "zone", "cell"] = Field("all", description="who drops repeats: all, a hall, a rack")
    window_ms: float = Field(0.0, ge=0, description="for how long repeats are dropped")
    aim_ms: float = Field(gt=0, description="an answer within this is in time")
    deadline_ms: float = Field(gt=0, description="after this nobody waits any more")
    worth: float = Field(1.0, gt=0, description="of one request, beside the other classes")


class PolicyTable(Model):
    """`[policy]`: with this table the policy file states the whole policy.

    Classes, features and the keys of this table in the files of the instances are then ignored.
    """

    program: str = Field(
        "0",
        pattern=r"^\d{1,4}(\.\d{1,4}){0,3}$",
        description="lowest version of the program that can use this policy",
    )
    attempts: int = Field(3, ge=1, le=10, description="maximum number of attempts of one request")
    cold_s: float = Field(7.5, ge=0, description="duration of slow start after a server has started")
    cold_share: float = Field(0.3, gt=0, le=1, description="share of the load at the beginning of slow start")
    idle_s: float = Field(60.0, gt=0, description="idle time after which servers close a connection")
    retry_after: bool = Field(True, description="rejections state when to retry")


class RolloutPlan(Model):
    """File with the operator's plan of a rollout."""

    shares: tuple[float, ...] = Field(
        (0.05, 0.25, 0.5, 1.0), min_length=1, max_length=20, description="share of the instances, by stage"
    )
    past_s: float = Field(15.0, ge=1, le=3600, description="length of the baseline before the first stage")
    warm_s: float = Field(5.0, ge=0, le=3600, description="first part of each stage, which is not compared")
    least_s: float = Field(20.0, ge=1, le=86_400, description="minimum time for which a stage is compared")
    least_requests: int = Field(200, ge=1, description="minimum of requests with the new policy, by stage")
    most_s: float = Field(300.0, ge=1, le=86_400, description="stage length after which `undecided` applies")
    borne: float = Field(0.02, gt=0, lt=1, description="tolerated difference of the failure rates")
    alpha: float = Field(0.01, gt=0, lt=0.5, description="chance of a false alarm, over stages and classes")
    undecided: Literal["ask", "go-on"] = Field("ask", description="what a stage without verdict does")
    confirm: tuple[int, ...] = Field((), description="stages that an operator must confirm")


class RolloutTable(RolloutPlan):
    """`[rollout]`: a new policy that is rolled out in stages. Written by `client-proxy rollout`."""

    name: str = Field(min_length=1, max_length=40, description="name of the rollout")
    new: str = Field(min_length=1, description="text of the new policy, a complete policy file")
    stage: int = Field(0, ge=0, le=20, description="0: all use the old policy, for the baseline")
    members: tuple[int, ...] = Field((), max_length=10_000, description="members that use the new policy")
    what: Literal["running", "probing", "asks", "paused"] = Field(
        "running", description="phase of the rollout"
    )
    reason: str = Field("", max_length=300, description="why the rollout is in this phase")
    probes: int = Field(0, ge=0, le=9, description="probes of this stage that are over")


class PolicyFile(FleetFile):
    """The agreed policy file: servers and, with `[policy]`, classes, limits and features."""

    policy: PolicyTable | None = Field(None, description="with this table the file states the whole policy")
    class_: tuple[RequestClassEntry, ...] = Field(
        (), alias="class", max_length=200, description="the classes of requests"
    )
    halls: dict[str, Any] | None = Field(None, description="as in the operators' file of features")
    overload: dict[str, Any] | None = Field(None, description="as in the operators' file of features")
    connections: dict[str, Any] | None = Field(None, description="as in the operators' file of features")
    reach: dict[str, Any] | None = Field(None, description="as in the operators' file of features")
    rollout: RolloutTable | None = Field(None, description="a rollout of a new policy")


class ServersTable(Model):
    """`[servers]`: the watched server file."""

    file: str = Field(min_length=1, description="path of the file of servers, relative to this one")
    look_ms: float = Field(200.0, ge=1, le=60_000, description="between two looks at the file")
    settle_ms: float = Field(
        1000.0, ge=0, le=60_000, description="a file without `[end]` must have been unchanged for so long"
    )
    sealed: bool = Field(False, description="take only files with `[end]`")
    leaving_share: float = Field(
        0.5,
        gt=0,
        le=1,
        description="when more than this share of the servers would go at once, the old list stands",
    )
    hold_s: float = Field(
        0.0, ge=0, description="such a list is taken after so long all the same; 0: only by force"
    )
    keep: str = Field("", description="folder for versions that were taken; none: they are not kept")
    kept: int = Field(20, ge=1, le=1000, description="so many are kept at most")


class SeatEntry(Model):
    """`[[agreement.seat]]`: an instance that is an acceptor or may become one."""

    member: int = Field(ge=0, description="its number, as on its card")
    address: Address = Field(description="where it listens for the agreement, `IP:port`, UDP and TCP")
    public: str = Field(min_length=44, max_length=44, description="its public key, in base64")
    votes: bool = Field(True, description="it has a seat from the first version on")


class AgreementTable(Model):
    """`[agreement]`: the instances agree on the policy file by consensus.

    The agreed file replaces `[servers]`, and all else that it states.
    """

    keys: str = Field(min_length=1, description="this instance's key file, relative to this one")
    listen: Annotated[str, AfterValidator(_check_listen_address)] = Field(
        description="UDP and TCP, `IP:port`"
    )
    first: str = Field(min_length=1, description="the file that is version 1, the same everywhere")
    keep: str = Field(min_length=1, description="folder for votes, versions and bodies")
    lease_ms: float = Field(3000.0, ge=100, le=600_000, description="an instance decides so long by a lease")
    clock_error: float = Field(0.05, ge=0, lt=0.5, description="of a clock's rate, at most")
    stale: Literal["refuse", "serve"] = Field(
        "refuse", description="without a lease: refuse at once, or serve on by the version that is there"
    )
    generation: int = Field(
        1, ge=1, le=1000, description="higher than before when all begin anew by hand (`policy rescue`)"
    )
    seat: tuple[SeatEntry, ...] = Field(
        min_length=1, max_length=20, description="who votes, and who may be voted in"
    )


class LogTable(Model):
    """`[log]`: the format of the log and its rate limit."""

    form: Literal["text", "json"] = Field("text", description="lines for people, or a JSON object each")
    per_event_per_s: float = Field(20.0, gt=0, description="lines a second of one event; the rest is counted")


class ServeFile(Model):
    """The file of one instance, read by `client-proxy serve`."""

    name: Name = Field("badgeryoke", description="this instance's name")
    listen: Annotated[str, AfterValidator(_check_listen_address)] = Field(
        "127.0.0.1:8080", description="where applications reach it"
    )
    discovery: Address | None = Field(
        None, description="address of a discovery service, in place of `[servers]`"
    )
    hall: str = Field("", max_length=128, description="the hall this instance runs in")
    instances: int = Field(1, ge=1, description="client proxies that share the servers")
    ordinal: int = Field(0, ge=0, description="this one's number among them, from 0")
    attempts: int = Field(3, ge=1, le=10, description="for one request at most")
    cold_s: float = Field(7.5, ge=0, description="a server that has just started is warm after this")
    cold_share: float = Field(0.3, gt=0, le=1, description="and bears this share at the start")
    idle_s: float = Field(60.0, gt=0, description="servers close connections that are idle for so long")
    sockets: int = Field(1024, ge=64, description="descriptors it may hold")
    retry_after: bool = Field(True, description="refusals say when to come back")
    operators: str = Field("", description="the operators' file of features, relative to this one")
    learned: str = Field(
        "", description="file for what was learned of servers, kept over a restart; none: each begins anew"
    )
    control: str = Field("", description="path of the control socket, relative to this one; none: no control")
    class_: tuple[RequestClassEntry, ...] = Field(
        alias="class", min_length=1, description="the kinds of requests"
    )
    servers: ServersTable | None = Field(None, description="the watched file of servers")
    agreement: AgreementTable | None = Field(None, description="the list of servers, agreed on")
    log: LogTable = Field(default_factory=LogTable, description="the log")


def _fault_line(lines_by_key: dict[tuple[str, int, str], int], location: tuple[int | str, ...]) -> int:
    """Return the line number of a fault.

    Args:
        lines_by_key: Line numbers by table, number of the table in its list, and key. The key of a table's
            header is empty.
        location: Pydantic's location of the fault: names of tables and keys, and numbers of tables in a list.
    """
    table, number, line = "", 0, 1
    for part in location:
        if isinstance(part, int):
            number = part
        else:
            inner = f"{table}.{part}" if table else part
            line = lines_by_key.get((table, number, part)) or lines_by_key.get((inner, 0, "")) or line
            if (inner, 0, "") in lines_by_key:
                table, number = inner, 0
        line = lines_by_key.get((table, number, "")) or line if isinstance(part, int) else line
    return line


def _fault_text(error: Any) -> str:
    fault_type, value = error["type"], error.get("input")
    if fault_type == "missing":
        return "missing"
    if fault_type == "extra_forbidden":
        return "not a known key"
    text = str(error["msg"]).removeprefix("Value error, ")
    text = text[:1].lower() + text[1:]
    return f"{value!r:.80}: {text}" if not isinstance(value, dict | list | tuple) else text


def parse(model: type[ModelT], text: str, name: str) -> ModelT:
    """Read a TOML text into a model.

    Args:
        model: Model of the file.
        text: The file.
        name: Name of the file, for messages.

    Raises:
        TomlError: The file is not valid; the text has a line for each fault, with file, line, key and what is
            allowed.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise TomlError(f"{name}: {error}") from None
    try:
        # The models are strict and have tuples, while tomllib returns lists.
        return model.model_validate(_lists_to_tuples(table))
    except ValidationError as error:
        lines_by_key = line_numbers(text)
        faults = [
            (_fault_line(lines_by_key, fault["loc"]), fault) for fault in error.errors(include_url=False)
        ]
        lines = [
            f"{name}:{line}: {'.'.join(str(part) for part in fault['loc'])}: {_fault_text(fault)}"
            for line, fault in sorted(faults, key=lambda located: located[0])
        ]
        raise TomlError("\n".join(lines)) from None


def _lists_to_tuples(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _lists_to_tuples(item) for key, item in value.items()}
    if isinstance(value, list):
        return tuple(_lists_to_tuples(item) for item in value)
    return value
