"""The balancer's timers: requests them from the proxy and calls back when they fire."""

from __future__ import annotations

from collections.abc import Callable

from client_proxy.api.actions import Action, SetTimer
from client_proxy.balancer.request import Request


class Timers:
    """Pending timers and their callbacks, by token.

    The proxy cannot cancel a timer: one cancelled here still fires, and is then ignored.

    Args:
        actions: the list to which the `SetTimer` actions are appended.
    """

    def __init__(self, actions: list[Action]) -> None:
        self._actions = actions
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_token = 0

    def __len__(self) -> int:
        return len(self._callbacks)

    def start(self, delay_ms: float, callback: Callable[[], None]) -> int:
        """Call `callback` after `delay_ms`; returns the timer's token."""
        self._last_token += 1
        self._callbacks[self._last_token] = callback
        self._actions.append(SetTimer(delay_ms, self._last_token))
        return self._last_token

    def start_for(self, request: Request, delay_ms: float, callback: Callable[[Request], None]) -> None:
        """Start the one timer of a request; `callback` is called with the request when it fires."""

        def fire() -> None:
            request.timer_token = None
            callback(request)

        request.timer_token = self.start(delay_ms, fire)

    def cancel_for(self, request: Request) -> None:
        """Cancel a request's timer, if one is pending."""
        if request.timer_token is not None:
            del self._callbacks[request.timer_token]
            request.timer_token = None

    def fire(self, token: int) -> None:
        """Call the callback of a timer, unless the timer was cancelled."""
        callback = self._callbacks.pop(token, None)
        if callback is not None:
            callback()
