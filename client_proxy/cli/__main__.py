"""The entry point of `client-proxy` and `python -m client_proxy.cli`.

A serving instance handles its signals before the commands are imported, which takes longer than the rest.
"""

from __future__ import annotations

import sys

from client_proxy.process_signals import PROCESS_SIGNALS

SERVE_COMMAND = "serve"


def main(program: str = "client-proxy") -> None:
    """Run the command. `program`: the name under which it tells of itself."""
    if sys.argv[1:2] == [SERVE_COMMAND]:
        PROCESS_SIGNALS.install()
    from client_proxy.cli.commands import main as command

    command(prog_name=program)


if __name__ == "__main__":
    main()
