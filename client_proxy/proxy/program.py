"""The program behind `python -m client_proxy.proxy`: command line, start, reload and shutdown."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from client_proxy.allocator import return_large_buffers
from client_proxy.operators import NO_FEATURES, OperatorSettings, load_operators
from client_proxy.process_signals import ProcessSignals
from client_proxy.proxy.config import Config, load_config
from client_proxy.proxy.daemon import Daemon
from client_proxy.proxy.errors import ConfigError
from client_proxy.toml_table import TomlError

if TYPE_CHECKING:
    from client_proxy.membership.gossip import Gossip
    from client_proxy.membership.keys import Keyring

log = logging.getLogger(__name__)


async def run(
    config: Config, operators: OperatorSettings, keyring: Keyring | None, signals: ProcessSignals
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    gossip: Gossip | None = None
    if operators.gossip is not None and keyring is not None:
        from client_proxy.membership.gossip import Gossip

        gossip = Gossip.from_config(config, operators.gossip, keyring)
    daemon = Daemon(config, operators=operators, gossip=gossip)
    if signals.termination_requested:
        return  # no connection has been accepted yet
    await daemon.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals.attach(loop.call_soon_threadsafe, stop.set, partial(reload, daemon))
    await stop.wait()
    await daemon.shut_down()
    # Once the loop is closed, a signal would have its default action again and end the process by a signal.
    signals.ignore()


def reload(daemon: Daemon) -> None:
    """Reload the discovery address and the gossip keys; other settings need a restart."""
    if daemon.gossip is not None:
        daemon.gossip.reload_keys()
    try:
        address = load_config(os.environ, reloading=True).discovery
    except ConfigError as error:
        log.warning("reload: the new configuration is unusable, the old one stays: %s", error)
        return
    if address is None:
        return
    log.info("configuration reloaded; discovery at %s:%d", *address)
    daemon.move(address)


def load_keys(operators: OperatorSettings) -> Keyring | None:
    """Return the gossip keys that the operators' file names, or None without gossip. Raises TomlError."""
    if operators.gossip is None:
        return None
    from client_proxy.membership.keys import load_keyring

    return load_keyring(operators.gossip.keys)


def argument_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m client_proxy.proxy",
        description="Run one client proxy, configured by environment variables.",
    )
    parser.add_argument(
        "--operators",
        metavar="FILE",
        help="the operators' TOML file; without it, the features it configures are off",
    )
    return parser


def main(signals: ProcessSignals) -> int:
    """Run the program. Returns the exit code: 2 for unusable configuration, 1 if it can't listen.

    Args:
        signals: The installed signal handlers, which also record signals that arrive during the start.
    """
    args = argument_parser().parse_args()
    return_large_buffers()
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load_config(os.environ)
        operators = load_operators(args.operators) if args.operators else NO_FEATURES
        keyring = load_keys(operators)
    except (ConfigError, TomlError) as error:
        print(f"client_proxy.proxy: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(config, operators, keyring, signals))
    except OSError as error:
        print(f"client_proxy.proxy: {error}", file=sys.stderr)
        return 1
    return 0
