"""The entry point of `client-proxy` and `python -m client_proxy.cli`.

`serve` installs its signal handlers before it imports the commands, because their import takes longest and
a signal during it would end the process by the default action.
"""

from __future__ import annotations

import sys

from client_proxy.process_signals import PROCESS_SIGNALS

SERVE_COMMAND = "serve"


def main(program: str = "client-proxy") -> None:
    """Runs the command. `program`: the program name in its messages."""
    if sys.argv[1:2] == [SERVE_COMMAND]:
        PROCESS_SIGNALS.install()
    from client_proxy.cli.commands import main as command

    command(prog_name=program)


if __name__ == "__main__":
    main()
