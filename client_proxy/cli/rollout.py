"""`client-proxy rollout`: introduces a new policy in stages, and stops when a stage performs worse."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from client_proxy.cli.asking import ask_instance
from client_proxy.cli.policy import FILE, SOCKET, request_change, requester_options

POLL_INTERVAL_S = 1.0  # s; between two lines of `status --follow`


@click.group()
def rollout() -> None:
    """Introduce a new policy in stages, beside the old one (needs [agreement])."""


@rollout.command("start")
@click.argument("socket", type=SOCKET)
@click.argument("file", type=FILE)
@click.option("--name", required=True, help="Name of the rollout.")
@click.option(
    "--plan", type=FILE, required=True, help="TOML file with the stages and the criteria for worse."
)
@requester_options
def start(socket: Path, file: Path, name: str, plan: Path, why: str, who: str, wait_s: float) -> None:
    """Start a rollout of the policy in FILE through the instance at the control SOCKET, which must have a
    seat."""
    question = {"do": "rollout", "op": "start", "file": str(file.resolve()), "plan": str(plan.resolve())}
    request_change(socket, question | {"name": name, "who": who, "why": why}, wait_s)


def _add_order_command(op: str, text: str) -> None:
    @rollout.command(op, help=text)
    @click.argument("socket", type=SOCKET)
    @requester_options
    def order(socket: Path, why: str, who: str, wait_s: float) -> None:
        request_change(socket, {"do": "rollout", "op": op, "who": who, "why": why}, wait_s)


_add_order_command("pause", "Pause the rollout in its stage until `go-on` or `back`.")
_add_order_command("go-on", "Resume a paused rollout, or confirm the next stage of one that asks.")
_add_order_command("back", "Return all instances to the old policy and end the rollout.")


@rollout.command("status")
@click.argument("socket", type=SOCKET)
@click.option("--follow", is_flag=True, help="Print the status every second until the rollout ends.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(socket: Path, follow: bool, as_json: bool) -> None:
    """Print the stage, its members, and how much more requests the new policy loses than the old one."""
    while True:
        agreement = ask_instance(socket, {"do": "status"}).get("agreement") or {}
        state = agreement.get("rollout")
        if as_json:
            click.echo(json.dumps(state))
        else:
            click.echo(format_status(state))
        if not follow or state is None:
            return
        time.sleep(POLL_INTERVAL_S)


def format_status(state: dict[str, Any] | None) -> str:
    """Returns one line with the status of a rollout; None: there is none."""
    if state is None:
        return "no rollout is active (`policy history` shows how the last one ended)"
    difference, low, high, requests = state["lose_more"]["all"]
    verdict_note = "  the old policy performs worse as well: no verdict" if state["troubled"] else ""
    return (
        f"{state['name']}: stage {state['stage']} of {state['of']}, {state['what']} {state['reason']}  "
        f"{len(state['members'])} of {state['there']} on the new policy, {requests} requests, "
        f"lost share {difference:+.4f} ({low:+.4f} to {high:+.4f}){verdict_note}"
    )
