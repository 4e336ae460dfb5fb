"""`python -m cedarcross.proxy`: one client proxy, as the environment configures it."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

import uvloop

from cedarcross.balance import DEFAULT_DEADLINE_MS
from cedarcross.proxy.config import Config, ConfigError, load
from cedarcross.proxy.core import Core
from cedarcross.proxy.discovery import Directory, Discovery
from cedarcross.proxy.front import Front
from cedarcross.proxy.upstream import Upstream

log = logging.getLogger(__name__)

# After SIGTERM new connections go on coming for up to 0.4 s.
STILL_COMING_S = 0.5
# Then what is taken is finished: each request by its own deadline. SIGKILL comes 0.7 s after the longest
# deadline at the soonest, counted from SIGTERM.
SPARE_S = 0.05
CLIENTS_PART = 3  # clients hold this part of the descriptors at most
REST_PART = 3  # and this part of theirs may rest
SPARE_DESCRIPTORS = 64  # for the loop, discovery, logs and connections about to close


async def run(config: Config) -> None:
    settings = config.settings
    # In an overload refused clients come back on many connections at once; hosts take few of ours.
    most = max(12, config.sockets - SPARE_DESCRIPTORS)
    to_hosts, to_clients = most // 3, most - most // 3
    directory = Directory()
    upstream = Upstream(settings.limits, settings.report_fields, settings.safety.drain_grace_ms, to_hosts)
    core = Core(settings, config.seed, directory, upstream)
    core.discovery = Discovery(config.discovery, settings.subscribe, directory, core.told)
    if config.known is not None:
        try:
            core.told(directory.apply(config.known, restored=True))
        except ValueError as error:
            log.warning("the known list is unusable: %s", error)
    front = Front(core, settings, directory.usable, to_clients, config.sockets // CLIENTS_PART // REST_PART)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload, core.discovery)
    await front.listen(*config.listen)
    core.start()
    core.discovery.start()
    await stop.wait()
    longest_ms = max((cls.deadline_ms for cls in settings.classes), default=DEFAULT_DEADLINE_MS)
    await front.end(STILL_COMING_S, longest_ms / 1000.0 + SPARE_S)
    core.discovery.stop()
    # With the loop its handlers go, and a signal that came then would end the process the hard way.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))


def reload(discovery: Discovery) -> None:
    """On SIGHUP: the file's address of discovery. All else in it is for the next start."""
    try:
        address = load(os.environ, again=True).discovery
    except ConfigError as error:
        log.warning("the new configuration is unusable, the old one stands: %s", error)
        return
    log.info("configuration read again, discovery at %s:%d", *address)
    discovery.move(address)


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"cedarcross.proxy: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(config))
    except OSError as error:
        print(f"cedarcross.proxy: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
