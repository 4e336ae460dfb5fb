"""`client-proxy policy`: what the fleet agrees on ([agreement]), from a command."""

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
REFUSED = 1
POLL_INTERVAL_S = 0.1
RISK = """\
This makes the newest policy that is kept here the first of a new generation. Do it only when a majority
of the seats is gone for good. What it risks:
- if a majority of them still runs somewhere, that fleet serves on by its own policy beside yours, for ever;
- a change that the lost seats had decided, and that nobody told this one of, is lost{pending};
- every instance has to be given the new file and generation; until then it refuses.
"""
F = TypeVar("F", bound=Callable[..., None])


@click.group()
def policy() -> None:
    """What the fleet agrees on ([agreement]): servers, classes, limits, features."""


def requester_options(command: F) -> F:
    """Who wants a change, why, and how long to wait for its end."""
    command = click.option("--wait", "wait_s", default=30.0, show_default=True, help="Seconds for the end.")(
        command
    )
    command = click.option("--who", default=getpass.getuser, help="Who wants it; else the user's name.")(
        command
    )
    return click.option("--why", required=True, help="Why, for everyone who reads the history.")(command)


def request_change(socket: Path, question: dict[str, Any], wait_s: float) -> None:
    """Ask for the change, and tell what becomes of it."""
    named = ask_instance(socket, question)["change"]
    end_s = time.monotonic() + wait_s
    while time.monotonic() < end_s:
        told = ask_instance(socket, {"do": "status"})["agreement"]["changes"]
        found = next((each for each in reversed(told) if each["change"] == named), None)
        if found is not None:
            click.echo(json.dumps(found))
            sys.exit(0 if found["what"] in ("decided", "could") else REFUSED)
        time.sleep(POLL_INTERVAL_S)
    raise click.ClickException(f"{named} has not ended: `policy status` tells of it later")


@policy.command("init")
@click.option("--config", "path", type=FILE, required=True, help="The instance's file.")
@click.option("--anew", is_flag=True, help="Its memory is lost: another, which has to be voted in.")
def policy_init(path: Path, anew: bool) -> None:
    """Let the instance vote, once. Where its folder was lost only with --anew: else it would vote twice."""
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
@click.option("--beside", type=FILE, help="Tell what changes from this one to FILE.")
def policy_check(file: Path, beside: Path | None) -> None:
    """Look whether FILE is a policy, without asking anybody. Faults end it with their lines."""
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
@click.option("--after", type=int, required=True, help="The version that FILE was made from (policy status).")
@click.option(
    "--dry-run", "dry", is_flag=True, help="Ask every instance whether it can take it; change nothing."
)
@click.option("--despite", type=int, multiple=True, help="A member that is not asked: it would refuse all.")
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
    """Propose the policy in FILE at the instance at the control SOCKET, which has to be one that votes."""
    question = {"do": "propose", "file": str(file.resolve()), "after": after, "dry": dry}
    question["despite"] = list(despite)
    request_change(socket, question | {"who": who, "why": why}, wait_s)


@policy.command("back")
@click.argument("socket", type=SOCKET)
@click.argument("version", type=int)
@requester_options
def policy_back(socket: Path, version: int, why: str, who: str, wait_s: float) -> None:
    """Propose what VERSION was, as a version of its own. Its seats are those of now."""
    request_change(socket, {"do": "back", "version": version, "who": who, "why": why}, wait_s)


@policy.command("withdraw")
@click.argument("socket", type=SOCKET)
@click.argument("change")
def policy_withdraw(socket: Path, change: str) -> None:
    """Call off a change that is under way at SOCKET, if no seat was asked to vote for it yet."""
    ask_instance(socket, {"do": "withdraw", "change": change})
    click.echo(f"withdrawn: {change}")


@policy.command("history")
@click.argument("socket", type=SOCKET)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def policy_history(socket: Path, as_json: bool) -> None:
    """The versions that were decided, the newest last: who wanted each, and why."""
    versions = ask_instance(socket, {"do": "history"})["versions"]
    if as_json:
        click.echo(json.dumps(versions, indent=1))
        return
    for each in versions:
        kept = "" if each["kept"] else "  (not kept: no way back to it)"
        who = each["who"] or "-"
        click.echo(f"{each['version']:8}  {each['digest'][:8]}  {who:12} {each['why']}{kept}")


@policy.group("seat")
def seat() -> None:
    """Who votes: one seat at a time."""


@seat.command("add")
@click.argument("socket", type=SOCKET)
@click.option("--member", type=int, required=True, help="The instance's number.")
@click.option("--memory", type=int, required=True, help="As `policy init` told it there.")
@requester_options
def seat_add(socket: Path, member: int, memory: int, why: str, who: str, wait_s: float) -> None:
    """Give a member a seat; if it has one already, another memory for it."""
    question = {"do": "seat", "add": {"member": member, "memory": memory}, "who": who, "why": why}
    request_change(socket, question, wait_s)


@seat.command("remove")
@click.argument("socket", type=SOCKET)
@click.option("--member", type=int, required=True, help="The instance's number; it may be gone for good.")
@requester_options
def seat_remove(socket: Path, member: int, why: str, who: str, wait_s: float) -> None:
    """Take a member's seat away."""
    request_change(socket, {"do": "seat", "remove": member, "who": who, "why": why}, wait_s)


@policy.command("rescue")
@click.option("--config", "path", type=FILE, required=True, help="The file of an instance that is stopped.")
@click.option("--out", type=FILE, required=True, help="Where the newest policy that it kept is written to.")
@click.option("--yes", is_flag=True, help="The risks are known. Without it nothing is done.")
def policy_rescue(path: Path, out: Path, yes: bool) -> None:
    """The way out when a majority of the seats is gone for good: begin anew, from what this instance kept."""
    from client_proxy.cli.instance_file import load_instance_file
    from client_proxy.consensus.disaster_recovery import archive_state, inspect_state

    table = load_instance_file(path).file.agreement
    if table is None:
        raise click.ClickException(f"{path}: there is no [agreement]")
    try:
        found = inspect_state(table, path.parent)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    pending = f" (this seat had voted for one: {found.pending_change})" if found.pending_change else ""
    click.echo(RISK.format(pending=pending), err=True)
    click.echo(f"kept here: version {found.version}, {found.digest}", err=True)
    if not yes:
        raise click.ClickException("nothing was done; say --yes to go on")
    out.write_bytes(found.body)
    aside = archive_state(table, path.parent)
    click.echo(
        f"{out} is written, {table.keep} is now {aside}. In every instance's file: first = that file, "
        f"generation = {table.generation + 1}, seats of those that live; then `policy init` at each of these."
    )


@policy.command("status")
@click.argument("socket", type=SOCKET)
def policy_status(socket: Path) -> None:
    """What the instance decides by, until when, and who was heard, as JSON."""
    said = ask_instance(socket, {"do": "status"}).get("agreement")
    if said is None:
        raise click.ClickException("the policy is not agreed on here")
    click.echo(json.dumps(said, indent=1))
