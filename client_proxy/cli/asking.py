"""A question to a running instance's control socket, from a command."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click


def ask_instance(socket: Path, question: dict[str, Any]) -> dict[str, Any]:
    """Its answer. A refusal ends the command with its reason."""
    from client_proxy.cli.control import ask

    try:
        said = ask(socket, question)
    except ValueError as error:
        raise click.ClickException(f"{socket}: {error}") from None
    if not said.get("ok"):
        raise click.ClickException(str(said.get("why", "no")))
    return said
