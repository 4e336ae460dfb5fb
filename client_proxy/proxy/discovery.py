"""Follows a discovery service: the endpoint list, its changes, and failures of calls or the watch."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from client_proxy.address import Address
from client_proxy.api.events import EndpointsListed, ListKind
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.endpoint_list import EndpointList
from client_proxy.proxy.endpoint_watch import EndpointWatch

log = logging.getLogger(__name__)

# A change must be known within `NOTIFICATION_LIMIT_S` after discovery has it and can be reached, however
# earlier calls failed. So the rest of a call that is in any stage (`endpoint_watch`), the wait for the next
# call, and that call itself must fit into the limit (tests/proxy/test_told_in_time.py checks the sum).
NOTIFICATION_LIMIT_S = 6.0
RETRY_DELAY_S = 0.5  # s between two calls in push mode; else the balancer decides (`MAX_RESUBSCRIBE_MS`)
NEXT_CALL_S = 1.0  # allowed for the next call's connect and response


class Discovery:
    """Follows the endpoint list of one discovery service, and passes on lists and watch events."""

    def __init__(
        self,
        address: Address,
        balancer_subscribes: bool,
        directory: EndpointDirectory,
        notify: Callable[[EndpointsListed], None],
    ) -> None:
        """Create a follower that has not started.

        Args:
            address: The address of the service.
            balancer_subscribes: Whether the balancer decides when to call; else (push mode) a call follows
                each failure after `RETRY_DELAY_S`.
            directory: Updated with each message.
            notify: Called with each list and watch event, and with each failure of a call or the watch.
        """
        self._address = address
        self._balancer_subscribes = balancer_subscribes
        self._directory = directory
        self._notify = notify
        self._watch: EndpointWatch | None = None
        # The watch at the previous address, which stays open until the new service has answered.
        self._former_watch: EndpointWatch | None = None
        self._retry_timer: asyncio.TimerHandle | None = None  # of the next call in push mode
        self._answered = False
        self._stopped = False

    def start(self) -> None:
        """Open the first watch in push mode; else the balancer decides when to subscribe."""
        if not self._balancer_subscribes:
            self._open_watch()

    def subscribe(self) -> None:
        """Open a watch, unless one is open.

        A subscription that the balancer scheduled before a move may come after it, and must not replace the
        watch that the move has opened.
        """
        if self._watch is None:
            self._open_watch()

    def _open_watch(self) -> None:
        self._close_watch()
        if self._stopped:
            return
        self._answered = False
        self._watch = EndpointWatch(self._directory.read_text, self._on_message, self._watch_failed)
        self._watch.open(self._address, self._directory.index)

    def move(self, address: Address) -> None:
        """Switch to the service at another address.

        The current list stays until the new service sends its own complete list, as an index of the old
        service is invalid there. A drain that the old service has written already counts as notified, so the
        old watch is read until the new service answers.
        """
        if address == self._address:
            return
        self._address = address
        self._directory.index = None
        if self._former_watch is None and self._watch is not None:
            self._former_watch, self._watch = self._watch, None
            self._former_watch.redirect(self._on_former_watch_message, self._former_watch_ended)
        self._open_watch()

    def stop(self) -> None:
        """Stop permanently: no later call opens a watch."""
        self._stopped = True
        self._close_watch()
        self._close_former_watch()

    def _close_watch(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._watch is not None:
            self._watch.close()
            self._watch = None

    def _close_former_watch(self) -> None:
        former_watch, self._former_watch = self._former_watch, None
        if former_watch is not None:
            former_watch.close()

    def _on_former_watch_message(self, message: EndpointList | None) -> bool:
        if message is not None:
            event = self._directory.apply_list(message)
            self._directory.index = None
            self._notify(event)
        return True

    def _former_watch_ended(self, reason: str, unreadable: bool) -> None:
        log.info("discovery: the watch at the previous address ended: %s", reason)
        self._former_watch = None

    def _on_message(self, message: EndpointList | None) -> bool:
        if message is not None:
            event = self._directory.apply_list(message)
            self._close_former_watch()
        elif self._answered:
            return True
        elif self._directory.index is None:
            return False  # the complete list is still due, so an empty line is no response
        else:
            event = EndpointsListed(ListKind.DELTA)  # an empty line: nothing changed since the index
        self._answered = True
        self._notify(event)
        return True

    def _watch_failed(self, reason: str, unreadable: bool) -> None:
        log.warning("discovery: the watch failed: %s", reason)
        self._watch = None
        if unreadable:
            # The unreadable message may have been a change that later ones depend on: get the complete list.
            self._directory.index = None
        if self._balancer_subscribes:
            self._notify(EndpointsListed(ListKind.FAILED))
        elif not self._stopped:
            self._retry_timer = asyncio.get_running_loop().call_later(RETRY_DELAY_S, self._open_watch)
