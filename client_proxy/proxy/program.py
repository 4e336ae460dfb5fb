"""The program of `python -m client_proxy.proxy`: its command line, its life from start to shutdown."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from client_proxy.operators import NOTHING, Operators, load_operators
from client_proxy.process_signals import ProcessSignals
from client_proxy.proxy.config import Config, load_config
from client_proxy.proxy.daemon import Daemon
from client_proxy.proxy.errors import ConfigError
from client_proxy.toml_table import TomlError

if TYPE_CHECKING:
    from client_proxy.membership.gossip import Gossip
    from client_proxy.membership.keys import Keyring

log = logging.getLogger(__name__)


async def run(config: Config, operators: Operators, keyring: Keyring | None, signals: ProcessSignals) -> None:
    """Serve until SIGTERM or SIGINT, then finish what is pending."""
    gossip: Gossip | None = None
    if operators.gossip is not None and keyring is not None:
        from client_proxy.membership.gossip import Gossip

        gossip = Gossip.from_config(config, operators.gossip, keyring)
    daemon = Daemon(config, operators=operators, gossip=gossip)
    if signals.termination_requested:
        return  # nobody has been accepted yet
    await daemon.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals.attach(loop.call_soon_threadsafe, stop.set, partial(reload, daemon))
    await stop.wait()
    await daemon.shut_down()
    # From the loop's close on, a handler of Python's would be no more than the default action again.
    signals.ignore()


def reload(daemon: Daemon) -> None:
    """Read the file's discovery address and the keys for gossip again; all else is for the next start."""
    if daemon.gossip is not None:
        daemon.gossip.reload_keys()
    try:
        address = load_config(os.environ, reloading=True).discovery
    except ConfigError as error:
        log.warning("the new configuration is unusable, the old one stands: %s", error)
        return
    if address is None:
        return
    log.info("configuration read again, discovery at %s:%d", *address)
    daemon.move(address)


def load_keys(operators: Operators) -> Keyring | None:
    """Return the gossip keys that the operators' file names, if it does. Raises TomlError."""
    if operators.gossip is None:
        return None
    from client_proxy.membership.keys import load_keyring

    return load_keyring(operators.gossip.keys)


def argument_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m client_proxy.proxy",
        description="One client proxy, as the environment configures it.",
    )
    parser.add_argument(
        "--operators", metavar="FILE", help="the operators' TOML file; none: its features are off"
    )
    return parser


def main(signals: ProcessSignals) -> int:
    """Run the program; returns its exit code: 2 for unusable configuration, 1 if it can't listen.

    Args:
        signals: The process's signals, installed: those that came before the files were read count.
    """
    args = argument_parser().parse_args()
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load_config(os.environ)
        operators = load_operators(args.operators) if args.operators else NOTHING
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
