"""`client-proxy rollout`: a new policy beside the old one, in stages, stopped when a stage does worse."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from client_proxy.cli.asking import ask_instance
from client_proxy.cli.policy import FILE, SOCKET, request_change, requester_options

POLL_INTERVAL_S = 1.0


@click.group()
def rollout() -> None:
    """A new policy in stages, old and new side by side (needs [agreement])."""


@rollout.command("start")
@click.argument("socket", type=SOCKET)
@click.argument("file", type=FILE)
@click.option("--name", required=True, help="Of the rollout.")
@click.option("--plan", type=FILE, required=True, help="Stages and what counts as worse, as TOML.")
@requester_options
def start(socket: Path, file: Path, name: str, plan: Path, why: str, who: str, wait_s: float) -> None:
    """Begin with the policy in FILE, at the instance at the control SOCKET, which has to be one that
    votes."""
    question = {"do": "rollout", "op": "start", "file": str(file.resolve()), "plan": str(plan.resolve())}
    request_change(socket, question | {"name": name, "who": who, "why": why}, wait_s)


def _order(op: str, text: str) -> None:
    @rollout.command(op, help=text)
    @click.argument("socket", type=SOCKET)
    @requester_options
    def order(socket: Path, why: str, who: str, wait_s: float) -> None:
        request_change(socket, {"do": "rollout", "op": op, "who": who, "why": why}, wait_s)


_order("pause", "Let it stand where it is: nothing moves until `go-on` or `back`.")
_order("go-on", "Let a paused one go on, or one that asks take its next stage.")
_order("back", "All go by the old policy again; the rollout is over.")


@rollout.command("status")
@click.argument("socket", type=SOCKET)
@click.option("--follow", is_flag=True, help="Until it is over, a line a second.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(socket: Path, follow: bool, as_json: bool) -> None:
    """How it stands: the stage, who is in it, and by how much the new ones lose more."""
    while True:
        said = ask_instance(socket, {"do": "status"}).get("agreement") or {}
        found = said.get("rollout")
        if as_json:
            click.echo(json.dumps(found))
        else:
            click.echo(line(found))
        if not follow or found is None:
            return
        time.sleep(POLL_INTERVAL_S)


def line(found: dict[str, Any] | None) -> str:
    """Return one line on how a rollout stands."""
    if found is None:
        return "no rollout is on (`policy history` tells how the last one ended)"
    difference, low, high, asked_ = found["lose_more"]["all"]
    trouble = "  the others do worse as well: nothing is judged" if found["troubled"] else ""
    return (
        f"{found['name']}: stage {found['stage']} of {found['of']}, {found['what']} {found['reason']}  "
        f"{len(found['members'])} of {found['there']} by the new one, {asked_} requests, "
        f"lose {difference:+.4f} ({low:+.4f} to {high:+.4f}){trouble}"
    )
