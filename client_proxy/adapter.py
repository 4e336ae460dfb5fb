"""Adapter: runs the balancers of many simulated instances and translates the simulator's protocol.

It reads one batch of events per line from standard input and writes one reply per line. It makes no decisions
of its own. An unreadable line ends the process with one line on standard error and exit code 1. A crash of a
balancer is reported on standard error and in the reply, and ends the process too. `--operators FILE` enables
the same features in the balancers as in a daemon that is started with this file.
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

# Outcomes by their code in the simulator's protocol.
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
WORK_HINT_VALID_FLAG, CLIENT_RETRY_FLAG = 1, 2  # bits of a request's `flags`


class WireError(ValueError):
    """An input line violates the simulator's protocol."""


# Events


def read_endpoint(entry: Json) -> ListedEndpoint:
    """Reads one entry of an endpoint list."""
    return ListedEndpoint(
        name=entry["host"],
        zone=entry.get("locality", ""),
        cell=entry.get("cell", 0),
        weight=entry.get("share", 1.0),
        state=EndpointState(entry.get("lifecycle", "ready")),
        started_ms=entry.get("up_since_ms") or None,
    )


def read_report(fields: Json) -> tuple[float, ...] | None:
    """Returns the load report of a response; None: it carries none."""
    return tuple(fields["stats"]) if fields.get("stats") else None


def read_integer(fields: Json, name: str) -> int:
    """Returns the integer under a key of a message. Raises WireError for another type."""
    value = fields[name]
    if not isinstance(value, int):
        raise WireError(f"{name} is not a whole number: {value!r}")
    return value


def read_number(fields: Json, name: str) -> float:
    """Returns the number under a key of a message. Raises WireError for another type."""
    value = fields[name]
    if not isinstance(value, int | float):
        raise WireError(f"{name} is not a number: {value!r}")
    return value


def read_request(fields: Json) -> RequestArrived:
    """Reads the arrival of a request."""
    flags = fields.get("flags", 0)
    return RequestArrived(
        request_id=read_integer(fields, "handle"),
        class_name=fields.get("priority", ""),
        deadline_ms=read_number(fields, "give_up_at_ms"),
        tenant=fields.get("org") or None,
        key=fields.get("resource"),
        work_hint_ms=fields.get("effort_ms") if flags & WORK_HINT_VALID_FLAG else None,
        client_retry=bool(flags & CLIENT_RETRY_FLAG),
    )


def read_outcome(fields: Json) -> AttemptEnded:
    """Reads the result of an attempt."""
    return AttemptEnded(
        request_id=read_integer(fields, "handle"),
        attempt=fields.get("n", 0),
        outcome=OUTCOMES[fields["verdict"]],
        latency_ms=fields.get("delay_seen_ms", 0.0),
        answered=fields.get("closed", False),
        report=read_report(fields),
    )


def read_stream(fields: Json) -> StreamStarted:
    """Reads the start of a streamed response."""
    return StreamStarted(read_integer(fields, "handle"), fields.get("n", 0), fields.get("delay_seen_ms", 0.0))


def read_probe(fields: Json) -> ProbeEnded:
    """Reads the result of a load probe."""
    latency_ms = fields.get("delay_seen_ms", 0.0)
    return ProbeEnded(fields["host"], OUTCOMES[fields["verdict"]], latency_ms, read_report(fields))


EVENTS: dict[str, Callable[[Json], Event]] = {
    "new_request": read_request,
    "resolved": read_outcome,
    "timeout_fired": lambda fields: TimerFired(read_integer(fields, "cookie")),
    "head_received": read_stream,
    "left": lambda fields: ClientDisconnected(read_integer(fields, "handle")),
    "health_result": read_probe,
}


# Actions


def write_action(action: Action) -> Json:
    """Returns an action as a message of the simulator's protocol."""
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


# Reading batches


@dataclass(frozen=True, slots=True)
class StartInstance:
    """An instance starts, with a new balancer."""

    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class KillInstance:
    """An instance is killed without a shutdown."""


Step = StartInstance | KillInstance | Event


@dataclass(frozen=True, slots=True)
class Batch:
    """One validated line of input.

    Attributes:
        number: Number of the batch; the reply repeats it.
        now_ms: Time of the events in ms of the simulator's clock.
        groups: Name and events of each instance.
    """

    number: int
    now_ms: float
    groups: list[tuple[str, list[Step]]]


class BatchReader:
    """Parses lines into batches.

    Keeps the endpoint lists: the simulator registers each list once, and the instances refer to it by number.
    """

    def __init__(self, err: TextIO) -> None:
        self._lists: dict[int, tuple[ListedEndpoint, ...]] = {}
        self._reported_unknown_kinds: list[str] = []
        self._err = err

    def read(self, line: str) -> Batch:
        """Parses a line. Raises WireError, with the reason, if it is not a valid batch."""
        try:
            batch = json.loads(line)
            if not isinstance(batch, dict):
                raise WireError("not an object")
            groups = [(group["who"], self._read_steps(group["news"])) for group in batch["groups"]]
            return Batch(batch["n"], read_number(batch, "ts_ms"), groups)
        except json.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from error
        except KeyError as error:
            raise WireError(f"missing or unknown: {error}") from error
        except (TypeError, ValueError) as error:
            raise WireError(str(error)) from error

    def _read_steps(self, messages: list[Json]) -> list[Step]:
        steps: list[Step] = []
        for message in messages:
            if not isinstance(message, dict) or len(message) != 1:
                raise WireError("an event is not an object with one key")
            ((kind, fields),) = message.items()
            if not isinstance(fields, dict):
                raise WireError(f"the fields of {kind!r} are not an object")
            step = self._read_step(kind, fields)
            if step is not None:
                steps.append(step)
        return steps

    def _read_step(self, kind: str, fields: Json) -> Step | None:
        if kind in EVENTS:
            return EVENTS[kind](fields)
        if kind == "begin":
            return StartInstance(read_settings(fields["facts"]), fields["seed"])
        if kind == "power_off":
            return KillInstance()
        if kind == "sync":
            scope = LIST_KINDS[fields["scope"]]
            return EndpointsListed(scope, () if scope is ListKind.FAILED else self._lists[fields["list"]])
        if kind == "register":
            self._lists[fields["list"]] = tuple(read_endpoint(e) for e in fields["members"])
        elif kind != "peer" and kind not in self._reported_unknown_kinds:
            self._reported_unknown_kinds.append(kind)
            print(f"adapter: unknown event {kind!r} ignored", file=self._err)
        return None


# Hosting


class BalancerHost:
    """The balancers of all instances of this process; they share no state."""

    def __init__(self, operators: OperatorSettings = NO_FEATURES) -> None:
        self._balancers: dict[str, Balancer] = {}
        self._operators = operators

    def handle_steps(self, who: str, now_ms: float, steps: list[Step]) -> list[Json]:
        """Handles one instance's events of a batch and returns its actions as messages.

        Events before a start or a kill of the instance within the batch are discarded, with their actions.

        Raises:
            WireError: The instance has not been started.
        """
        events: list[Event] = []
        for step in steps:
            if isinstance(step, StartInstance | KillInstance):
                events.clear()
                self._balancers.pop(who, None)
                if isinstance(step, StartInstance):
                    hook = self._operators.balancer_hook(step.settings, step.seed)
                    self._balancers[who] = Balancer(step.settings, step.seed, hook)
            elif who not in self._balancers:
                raise WireError(f"event for {who!r}, which has not been started")
            else:
                events.append(step)
        if not events:
            return []
        return [write_action(action) for action in self._balancers[who].handle(now_ms, events)]


def protocol_error_name(error: Exception) -> str:
    """Returns the error's name in the simulator's protocol; misuse of the balancer is `ValueError` there."""
    return "ValueError" if isinstance(error, BalancerError) else type(error).__name__


def handle_batch(host: BalancerHost, batch: Batch, err: TextIO) -> tuple[list[Json], bool]:
    """Returns the reply's groups and whether a balancer crashed; events after a crash are not handled."""
    groups: list[Json] = []
    for who, steps in batch.groups:
        try:
            cmds = host.handle_steps(who, batch.now_ms, steps)
        except WireError:
            raise
        except Exception as error:  # reported on standard error and to the simulator; the process then ends
            traceback.print_exc(file=err)
            crash = {"give_in": {"message": f"{protocol_error_name(error)}: {error}"}}
            return [*groups, {"who": who, "cmds": [crash]}], True
        if cmds:
            groups.append({"who": who, "cmds": cmds})
    return groups, False


def serve(lines: Iterable[str], out: TextIO, err: TextIO, operators: OperatorSettings = NO_FEATURES) -> int:
    """Answers every line until the input ends. Returns the exit code of the process."""
    reader, host = BatchReader(err), BalancerHost(operators)
    for line in lines:
        try:
            batch = reader.read(line)
            groups, crashed = handle_batch(host, batch, err)
        except WireError as error:
            print(f"adapter: unreadable line: {error}", file=err)
            return 1
        out.write(json.dumps({"n": batch.number, "groups": groups}, separators=(",", ":")) + "\n")
        out.flush()
        if crashed:
            return 1
    return 0


def main() -> int:
    """Serves the simulator on standard input and output. Returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m client_proxy.adapter", description=__doc__)
    parser.add_argument(
        "--operators", metavar="FILE", help="TOML file of optional features; without it all are off"
    )
    args = parser.parse_args()
    try:
        operators = load_operators(args.operators) if args.operators else NO_FEATURES
    except TomlError as error:
        print(f"adapter: {error}", file=sys.stderr)
        return 2
    return serve(sys.stdin, sys.stdout, sys.stderr, operators)


if __name__ == "__main__":
    sys.exit(main())
