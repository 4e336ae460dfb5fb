"""Adapter: hosts many balancers behind the simulator's wire. It decides nothing.

Reads one batch a line from standard input, writes one reply a line. An unreadable line ends it with
one line on standard error and exit code 1; a crash of a balancer is reported there and on the wire, and
ends it too. `--operators FILE` gives the balancers the advice that the daemon's have with the same file.
"""

from __future__ import annotations

import argparse
import json
import sys
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TextIO

from client_proxy.api.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    Log,
    Probe,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from client_proxy.api.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    Event,
    ListedEndpoint,
    ListKind,
    Outcome,
    ProbeEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from client_proxy.api.settings import Settings
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.errors import BalancerError
from client_proxy.operators import NO_FEATURES, OperatorSettings, load_operators
from client_proxy.settings import Json, read_settings
from client_proxy.toml_table import TomlError

OUTCOMES = {
    100: Outcome.OK,
    301: Outcome.ERROR,
    302: Outcome.REJECTED,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}
LIST_KINDS = {
    "update": ListKind.DELTA,
    "replace": ListKind.FULL,
    "restored": ListKind.RESTORED,
    "unavailable": ListKind.FAILED,
}
HINT_VALID, REPEAT = 1, 2


class WireError(ValueError):
    """A line that is not what the wire allows."""


# Events


def read_endpoint(entry: Json) -> ListedEndpoint:
    """The entry of an endpoint list."""
    return ListedEndpoint(
        name=entry["host"],
        zone=entry.get("locality", ""),
        cell=entry.get("cell", 0),
        weight=entry.get("share", 1.0),
        state=EndpointState(entry.get("lifecycle", "ready")),
        started_ms=entry.get("up_since_ms") or None,
    )


def read_report(fields: Json) -> tuple[float, ...] | None:
    """The load report of an answer, if there is one."""
    return tuple(fields["stats"]) if fields.get("stats") else None


def whole(fields: Json, name: str) -> int:
    """A whole number of a message."""
    value = fields[name]
    if not isinstance(value, int):
        raise WireError(f"{name} is not a whole number: {value!r}")
    return value


def number(fields: Json, name: str) -> float:
    """A number of a message."""
    value = fields[name]
    if not isinstance(value, int | float):
        raise WireError(f"{name} is not a number: {value!r}")
    return value


def read_request(fields: Json) -> RequestArrived:
    """The arrival of a request."""
    flags = fields.get("flags", 0)
    return RequestArrived(
        request_id=whole(fields, "handle"),
        class_name=fields.get("priority", ""),
        deadline_ms=number(fields, "give_up_at_ms"),
        tenant=fields.get("org") or None,
        key=fields.get("resource"),
        work_hint_ms=fields.get("effort_ms") if flags & HINT_VALID else None,
        client_retry=bool(flags & REPEAT),
    )


def read_outcome(fields: Json) -> AttemptEnded:
    """The end of an attempt."""
    return AttemptEnded(
        request_id=whole(fields, "handle"),
        attempt=fields.get("n", 0),
        outcome=OUTCOMES[fields["verdict"]],
        latency_ms=fields.get("delay_seen_ms", 0.0),
        answered=fields.get("closed", False),
        report=read_report(fields),
    )


def read_stream(fields: Json) -> StreamStarted:
    """The begin of a streamed answer."""
    return StreamStarted(whole(fields, "handle"), fields.get("n", 0), fields.get("delay_seen_ms", 0.0))


def read_probe(fields: Json) -> ProbeEnded:
    """The end of a load probe."""
    latency_ms = fields.get("delay_seen_ms", 0.0)
    return ProbeEnded(fields["host"], OUTCOMES[fields["verdict"]], latency_ms, read_report(fields))


EVENTS: dict[str, Callable[[Json], Event]] = {
    "new_request": read_request,
    "resolved": read_outcome,
    "timeout_fired": lambda fields: TimerFired(whole(fields, "cookie")),
    "head_received": read_stream,
    "left": lambda fields: ClientDisconnected(whole(fields, "handle")),
    "health_result": read_probe,
}


# Actions


def write_action(action: Action) -> Json:
    """An action in the simulator's form."""
    match action:
        case Send():
            host, wait_ms = action.endpoint, action.timeout_ms
            return {"try": {"handle": action.request_id, "host": host, "max_wait_ms": wait_ms}}
        case SetTimer():
            return {"defer": {"in_ms": action.delay_ms, "cookie": action.token}}
        case Reject():
            return {"overload_reply": {"handle": action.request_id, "retry_after_ms": action.retry_after_ms}}
        case Fail():
            return {"give_up": {"handle": action.request_id}}
        case Cancel():
            return {"cancel": {"handle": action.request_id, "n": action.attempt}}
        case Probe():
            return {"check": {"host": action.endpoint}}
        case CloseIdle():
            return {"disconnect": {"host": action.endpoint}}
        case Subscribe():
            return {"track": {"active": True}}
        case Log():
            return {"remark": {"message": action.text}}


# Reading a batch


@dataclass(frozen=True, slots=True)
class Begin:
    """A new life of an instance."""

    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """The end of a life: killed outright."""


Step = Begin | Stop | Event


@dataclass(frozen=True, slots=True)
class Batch:
    """One line of input, checked."""

    number: int
    now_ms: float
    groups: list[tuple[str, list[Step]]]


class Reader:
    """Turns lines into batches. Keeps the lists of servers that the wire sends once for all instances."""

    def __init__(self, err: TextIO) -> None:
        self._lists: dict[int, tuple[ListedEndpoint, ...]] = {}
        self._unknown_named: list[str] = []
        self._err = err

    def read(self, line: str) -> Batch:
        """Raises WireError, saying what is wrong, for a line that is no batch."""
        try:
            batch = json.loads(line)
            if not isinstance(batch, dict):
                raise WireError("not an object")
            groups = [(group["who"], self._steps(group["news"])) for group in batch["groups"]]
            return Batch(batch["n"], number(batch, "ts_ms"), groups)
        except json.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from error
        except KeyError as error:
            raise WireError(f"missing or unknown: {error}") from error
        except (TypeError, ValueError) as error:
            raise WireError(str(error)) from error

    def _steps(self, news: list[Json]) -> list[Step]:
        steps: list[Step] = []
        for message in news:
            if not isinstance(message, dict) or len(message) != 1:
                raise WireError("an event is not an object with one key")
            ((kind, fields),) = message.items()
            if not isinstance(fields, dict):
                raise WireError(f"the fields of {kind!r} are not an object")
            step = self._step(kind, fields)
            if step is not None:
                steps.append(step)
        return steps

    def _step(self, kind: str, fields: Json) -> Step | None:
        if kind in EVENTS:
            return EVENTS[kind](fields)
        if kind == "begin":
            return Begin(read_settings(fields["facts"]), fields["seed"])
        if kind == "power_off":
            return Stop()
        if kind == "sync":
            scope = LIST_KINDS[fields["scope"]]
            return EndpointsListed(scope, () if scope is ListKind.FAILED else self._lists[fields["list"]])
        if kind == "register":
            self._lists[fields["list"]] = tuple(read_endpoint(e) for e in fields["members"])
        elif kind != "peer" and kind not in self._unknown_named:
            self._unknown_named.append(kind)
            print(f"adapter: unknown event {kind!r} ignored", file=self._err)
        return None


# Hosting


class Host:
    """The instances of one process; they share nothing."""

    def __init__(self, operators: OperatorSettings = NO_FEATURES) -> None:
        self._balancers: dict[str, Balancer] = {}
        self._operators = operators

    def play(self, who: str, now_ms: float, steps: list[Step]) -> list[Json]:
        """One instance's part of a batch. What a life killed within it would have done is void."""
        events: list[Event] = []
        for step in steps:
            if isinstance(step, Begin | Stop):
                events.clear()
                self._balancers.pop(who, None)
                if isinstance(step, Begin):
                    advisor = self._operators.balancer_hook(step.settings, step.seed)
                    self._balancers[who] = Balancer(step.settings, step.seed, advisor)
            elif who not in self._balancers:
                raise WireError(f"event for {who!r}, which has not begun")
            else:
                events.append(step)
        if not events:
            return []
        return [write_action(action) for action in self._balancers[who].handle(now_ms, events)]


def wire_name(error: Exception) -> str:
    """Returns the name that the wire gives to a crash; a misuse of the balancer is a `ValueError` there."""
    return "ValueError" if isinstance(error, BalancerError) else type(error).__name__


def play_batch(host: Host, batch: Batch, err: TextIO) -> tuple[list[Json], bool]:
    """The reply's groups, and whether an instance's decisions crashed; nothing is played after that."""
    groups: list[Json] = []
    for who, steps in batch.groups:
        try:
            cmds = host.play(who, batch.now_ms, steps)
        except WireError:
            raise
        except Exception as error:  # reported with its text, here and on the wire; then the end
            traceback.print_exc(file=err)
            fault = {"give_in": {"message": f"{wire_name(error)}: {error}"}}
            return [*groups, {"who": who, "cmds": [fault]}], True
        if cmds:
            groups.append({"who": who, "cmds": cmds})
    return groups, False


def serve(lines: Iterable[str], out: TextIO, err: TextIO, operators: OperatorSettings = NO_FEATURES) -> int:
    """Answer every line until input ends; the exit code."""
    reader, host = Reader(err), Host(operators)
    for line in lines:
        try:
            batch = reader.read(line)
            groups, crashed = play_batch(host, batch, err)
        except WireError as error:
            print(f"adapter: unreadable line: {error}", file=err)
            return 1
        out.write(json.dumps({"n": batch.number, "groups": groups}, separators=(",", ":")) + "\n")
        out.flush()
        if crashed:
            return 1
    return 0


def main() -> int:
    """Serve the simulator on standard input and output."""
    parser = argparse.ArgumentParser(prog="python -m client_proxy.adapter", description=__doc__)
    parser.add_argument("--operators", metavar="FILE", help="the operators' TOML file; none: no advice")
    args = parser.parse_args()
    try:
        operators = load_operators(args.operators) if args.operators else NO_FEATURES
    except TomlError as error:
        print(f"adapter: {error}", file=sys.stderr)
        return 2
    return serve(sys.stdin, sys.stdout, sys.stderr, operators)


if __name__ == "__main__":
    sys.exit(main())
