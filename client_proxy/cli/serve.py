"""Runs one client proxy from its own file, without the platform's configuration."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from client_proxy.address import read_address
from client_proxy.allocator import return_large_buffers
from client_proxy.cli.instance_factory import Instance, build_instance
from client_proxy.cli.instance_file import InstanceFile
from client_proxy.process_signals import ProcessSignals

__all__ = ["Instance", "run"]

log = logging.getLogger(__name__)


async def run(
    instance_file: InstanceFile, signals: ProcessSignals, ready: Callable[[int], object] | None = None
) -> None:
    """Serves until SIGTERM or SIGINT.

    Args:
        instance_file: The validated file of the instance.
        signals: The process's signals, installed before the file was read.
        ready: Called with the port once the instance listens.
    """
    if signals.termination_requested:
        return  # no client connection has been accepted yet
    return_large_buffers()
    instance = build_instance(instance_file)
    port = await instance.start()
    stop = asyncio.Event()
    signals.attach(asyncio.get_running_loop().call_soon_threadsafe, stop.set, instance.reload_keys)
    host = read_address(instance_file.file.listen)[0]
    log.info("serving at %s:%d", host, port)
    if ready is not None:
        ready(port)
    await stop.wait()
    await instance.end()
    # Once the loop closes, the default actions would replace Python's handlers and end the process early.
    signals.ignore()
