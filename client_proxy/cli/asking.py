"""Sends the questions of commands to the control socket of a running instance."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click


def ask_instance(socket: Path, question: dict[str, Any]) -> dict[str, Any]:
    """Returns the instance's answer to a question. Raises ClickException, with the reason, if it refuses."""
    from client_proxy.cli.control import ask

    try:
        answer = ask(socket, question)
    except ValueError as error:
        raise click.ClickException(f"{socket}: {error}") from None
    if not answer.get("ok"):
        raise click.ClickException(str(answer.get("why", "no")))
    return answer
