"""Passes endpoint lists on in steps, so that a long list does not hold the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator, Set

from client_proxy.api.events import EndpointsListed, EndpointState, ListKind
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.endpoint_list import ENTRIES_PER_STEP
from client_proxy.proxy.upstream_pool import UpstreamPool


def split_list(event: EndpointsListed) -> Iterator[EndpointsListed]:
    """Yield events that together have the effect of a list, each with a bounded number of changes.

    The entries of a long list come as changes. A complete one follows at the end, since it also says which
    endpoints are gone; by then none of its entries is a change. A list of before a restart is not split:
    nothing is served yet.
    """
    if len(event.endpoints) <= ENTRIES_PER_STEP or event.kind is ListKind.RESTORED:
        yield event
        return
    for start in range(0, len(event.endpoints), ENTRIES_PER_STEP):
        yield EndpointsListed(ListKind.DELTA, event.endpoints[start : start + ENTRIES_PER_STEP])
    if event.kind is not ListKind.DELTA:
        yield event


class ListSteps:
    """Lists and watch events that are passed on in their order, one step in an iteration of the loop."""

    def __init__(self, pass_on: Callable[[EndpointsListed], None]) -> None:
        """Start with no list. `pass_on`: called with each step."""
        self._pass_on = pass_on
        self._steps: deque[EndpointsListed] = deque()
        self.pending = False  # the next step follows in the next iteration

    def add(self, event: EndpointsListed) -> None:
        """Pass on an event, its first step at once unless others wait."""
        self._steps.extend(split_list(event))
        if not self.pending:
            self._do_step()

    def _do_step(self) -> None:
        """Pass on events of `ENTRIES_PER_STEP` entries together."""
        entries = 0
        while self._steps and entries < ENTRIES_PER_STEP:
            event = self._steps.popleft()
            entries += max(1, len(event.endpoints))
            self._pass_on(event)
        self.pending = bool(self._steps)
        if self.pending:
            asyncio.get_running_loop().call_soon(self._do_step)


def update_pool(
    pool: UpstreamPool,
    directory: EndpointDirectory,
    event: EndpointsListed,
    retired_names: Callable[[], Set[str]],
) -> None:
    """Update the connection pool from a list or a watch event.

    Args:
        pool: The pool.
        directory: The endpoint list, to which the event has been applied.
        event: The event.
        retired_names: Returns the endpoints that requests of earlier policies may still use.
    """
    for endpoint in event.endpoints:
        address = directory.addresses.get(endpoint.name)
        if address is not None:
            ready = endpoint.state is EndpointState.READY
            pool.update_endpoint(endpoint.name, address, endpoint.started_ms, ready)
    if event.kind is ListKind.DELTA:
        for endpoint in event.endpoints:
            if endpoint.name not in directory.entries:
                pool.remove_gone(endpoint.name)
    elif event.kind is not ListKind.FAILED:
        pool.retain_endpoints(directory.entries.keys(), retired_names())
