"""`client-proxy policy`: shows and changes the policy that the fleet agrees on ([agreement])."""

from __future__ import annotations

import getpass
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from client_proxy.cli.asking import ask_instance

FILE = click.Path(dir_okay=False, path_type=Path)
SOCKET = click.Path(path_type=Path)
EXIT_REFUSED = 1
POLL_INTERVAL_S = 0.1  # s; between two queries for the result of a change
RESCUE_WARNING = """\
This makes the newest policy that is stored here the first of a new generation. Do it only when a majority
of the seats is permanently lost. The risks:
- if a majority of the seats still runs somewhere, it continues with its own policy beside yours, for ever;
- a change that the lost seats had decided, and that did not reach this instance, is lost{pending};
- every instance needs the new file and generation; without them it has no lease and, by default, refuses
  requests.
"""
CommandT = TypeVar("CommandT", bound=Callable[..., None])


@click.group()
def policy() -> None:
    """The policy that the fleet agrees on ([agreement]): servers, classes, limits, features."""


def requester_options(command: CommandT) -> CommandT:
    """Adds the options of every change: who requests it, why, and how long to wait for its result."""
    command = click.option(
        "--wait", "wait_s", default=30.0, show_default=True, help="Seconds to wait for the result."
    )(command)
    command = click.option(
        "--who", default=getpass.getuser, help="Who requests the change; default: the user's name."
    )(command)
    return click.option("--why", required=True, help="Reason for the change, shown in the history.")(command)


def request_change(socket: Path, question: dict[str, Any], wait_s: float) -> None:
    """Requests a change, waits for its result and prints it.

    The exit code is 0 for an accepted change, 1 for a refused one.

    Raises:
        ClickException: The instance refuses the question, or there is no result after `wait_s` seconds.
    """
    change_name = ask_instance(socket, question)["change"]
    timeout_at_s = time.monotonic() + wait_s
    while time.monotonic() < timeout_at_s:
        results = ask_instance(socket, {"do": "status"})["agreement"]["changes"]
        result = next((each for each in reversed(results) if each["change"] == change_name), None)
        if result is not None:
            click.echo(json.dumps(result))
            sys.exit(0 if result["what"] in ("decided", "could") else EXIT_REFUSED)
        time.sleep(POLL_INTERVAL_S)
    raise click.ClickException(f"{change_name} has no result after {wait_s:g} s: see `policy status` later")


@policy.command("init")
@click.option("--config", "path", type=FILE, required=True, help="File of the instance.")
@click.option("--anew", is_flag=True, help="The memory is lost: make a new one, which must be voted in.")
def policy_init(path: Path, anew: bool) -> None:
    """Create the memory of votes of the instance, once. After a loss use --anew: else it could vote twice."""
    from client_proxy.cli.instance_file import load_instance_file
    from client_proxy.consensus.bootstrap import initialize_acceptor
    from client_proxy.membership.keys import load_keyring

    table = load_instance_file(path).file.agreement
    if table is None:
        raise click.ClickException(f"{path}: there is no [agreement]")
    member = load_keyring(path.parent / table.keys).certificate.member
    try:
        click.echo(initialize_acceptor(table, path.parent, member, anew))
    except ValueError as error:
        raise click.ClickException(str(error)) from None


@policy.command("check")
@click.argument("file", type=FILE)
@click.option("--beside", type=FILE, help="Print the changes from this policy to FILE.")
def policy_check(file: Path, beside: Path | None) -> None:
    """Check whether FILE is a valid policy, without contacting any instance. All faults are printed."""
    from client_proxy.config.policy import describe_policy_changes, read_policy

    new = read_policy(file.read_bytes(), str(file))
    whole = f"{len(new.classes)} classes" if new.table is not None else "a list alone"
    click.echo(f"{len(new.server_list.servers)} servers, {whole}, {new.server_list.digest}")
    if beside is not None:
        for line in describe_policy_changes(read_policy(beside.read_bytes(), str(beside)), new):
            click.echo(line)


@policy.command("propose")
@click.argument("socket", type=SOCKET)
@click.argument("file", type=FILE)
@click.option(
    "--after", type=int, required=True, help="The version that FILE is based on (see policy status)."
)
@click.option(
    "--dry-run",
    "dry",
    is_flag=True,
    help="Only ask every instance whether it accepts the policy; change nothing.",
)
@click.option(
    "--despite",
    type=int,
    multiple=True,
    help="Number of a member that is not asked, as it would refuse any change.",
)
@requester_options
def policy_propose(
    socket: Path,
    file: Path,
    after: int,
    dry: bool,
    despite: tuple[int, ...],
    why: str,
    who: str,
    wait_s: float,
) -> None:
    """Propose the policy in FILE through the instance at the control SOCKET, which must have a seat."""
    question = {"do": "propose", "file": str(file.resolve()), "after": after, "dry": dry}
    question["despite"] = list(despite)
    request_change(socket, question | {"who": who, "why": why}, wait_s)


@policy.command("back")
@click.argument("socket", type=SOCKET)
@click.argument("version", type=int)
@requester_options
def policy_back(socket: Path, version: int, why: str, who: str, wait_s: float) -> None:
    """Propose the content of VERSION as a new version, with the current seats."""
    request_change(socket, {"do": "back", "version": version, "who": who, "why": why}, wait_s)


@policy.command("withdraw")
@click.argument("socket", type=SOCKET)
@click.argument("change")
def policy_withdraw(socket: Path, change: str) -> None:
    """Cancel a pending change at SOCKET, if no seat was asked to vote for it yet."""
    ask_instance(socket, {"do": "withdraw", "change": change})
    click.echo(f"withdrawn: {change}")


@policy.command("history")
@click.argument("socket", type=SOCKET)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def policy_history(socket: Path, as_json: bool) -> None:
    """List the decided versions, the newest last, with who requested each and why."""
    versions = ask_instance(socket, {"do": "history"})["versions"]
    if as_json:
        click.echo(json.dumps(versions, indent=1))
        return
    for each in versions:
        kept = "" if each["kept"] else "  (not kept: no rollback to it)"
        who = each["who"] or "-"
        click.echo(f"{each['version']:8}  {each['digest'][:8]}  {who:12} {each['why']}{kept}")


@policy.group("seat")
def seat() -> None:
    """Add or remove seats, which vote on changes, one at a time."""


@seat.command("add")
@click.argument("socket", type=SOCKET)
@click.option("--member", type=int, required=True, help="Number of the instance.")
@click.option("--memory", type=int, required=True, help="Number that `policy init` printed there.")
@requester_options
def seat_add(socket: Path, member: int, memory: int, why: str, who: str, wait_s: float) -> None:
    """Give a member a seat, or a new memory if it already has a seat."""
    question = {"do": "seat", "add": {"member": member, "memory": memory}, "who": who, "why": why}
    request_change(socket, question, wait_s)


@seat.command("remove")
@click.argument("socket", type=SOCKET)
@click.option("--member", type=int, required=True, help="Number of the instance; it may be down.")
@requester_options
def seat_remove(socket: Path, member: int, why: str, who: str, wait_s: float) -> None:
    """Remove the seat of a member."""
    request_change(socket, {"do": "seat", "remove": member, "who": who, "why": why}, wait_s)


@policy.command("rescue")
@click.option("--config", "path", type=FILE, required=True, help="File of a stopped instance.")
@click.option("--out", type=FILE, required=True, help="Path to write the newest policy that it stored to.")
@click.option("--yes", is_flag=True, help="Accept the risks. Without it nothing is changed.")
def policy_rescue(path: Path, out: Path, yes: bool) -> None:
    """Start a new generation from the policy stored here, after the permanent loss of most seats."""
    from client_proxy.cli.instance_file import load_instance_file
    from client_proxy.consensus.disaster_recovery import archive_state, inspect_state

    table = load_instance_file(path).file.agreement
    if table is None:
        raise click.ClickException(f"{path}: there is no [agreement]")
    try:
        recovered = inspect_state(table, path.parent)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    pending = (
        f" (this seat had voted for one: {recovered.pending_change})" if recovered.pending_change else ""
    )
    click.echo(RESCUE_WARNING.format(pending=pending), err=True)
    click.echo(f"stored here: version {recovered.version}, {recovered.digest}", err=True)
    if not yes:
        raise click.ClickException("nothing was changed; repeat with --yes to continue")
    out.write_bytes(recovered.body)
    archive_path = archive_state(table, path.parent)
    click.echo(
        f"{out} is written, {table.keep} is now {archive_path}. In every instance's file set first = that "
        f"file, generation = {table.generation + 1}, the seats that remain; then run `policy init` at each."
    )


@policy.command("status")
@click.argument("socket", type=SOCKET)
def policy_status(socket: Path) -> None:
    """Print the version the instance decides by, its lease and the members it hears from, as JSON."""
    agreement = ask_instance(socket, {"do": "status"}).get("agreement")
    if agreement is None:
        raise click.ClickException("this instance has no [agreement]")
    click.echo(json.dumps(agreement, indent=1))
