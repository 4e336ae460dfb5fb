"""The command under its former name, kept for scripts that still call it."""

from __future__ import annotations

import sys

from client_proxy.cli.__main__ import main as client_proxy

NOTICE = "cedarcross: this command is now called client-proxy; the former name goes on working"


def main() -> None:
    """Prints a notice with the new name to standard error, then runs the command with the same arguments."""
    print(NOTICE, file=sys.stderr)
    client_proxy("cedarcross")
