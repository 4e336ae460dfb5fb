"""The events that wait for the balancer, which handles all of one iteration of the loop in one call."""

from __future__ import annotations

from collections import deque

from client_proxy.api.events import ClientDisconnected, Event, RequestArrived


class EventQueue:
    """Queued events; disconnects are handled ahead of all others, the latest first.

    Otherwise a retry due in the same iteration would be decided before the disconnect of its client. Its
    attempt would belong to no pending request, and would count as in flight at its endpoint forever.
    """

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._disconnects: deque[Event] = deque()
        self._arrived: set[int] = set()  # ids of requests whose arrival is queued
        self._withdrawn: set[int] = set()  # those of them that the balancer never learns of

    def __len__(self) -> int:
        return len(self._events) + len(self._disconnects)

    def post(self, event: Event) -> None:
        """Queue an event."""
        if isinstance(event, RequestArrived):
            self._arrived.add(event.request_id)
        self._events.append(event)

    def disconnect(self, request_id: int) -> None:
        """Queue the disconnect of a request's client, or withdraw the request if its arrival is queued."""
        if request_id in self._arrived:
            self._arrived.remove(request_id)
            self._withdrawn.add(request_id)
        else:
            self._disconnects.appendleft(ClientDisconnected(request_id))

    def take(self) -> list[Event]:
        """Return the events in the order in which they are handled, and empty the queue."""
        events, self._events = self._events, []
        if self._disconnects:
            events = [*self._disconnects, *events]
            self._disconnects.clear()
        if self._withdrawn:
            events = [event for event in events if not self._is_withdrawn(event)]
            self._withdrawn.clear()
        if self._arrived:
            self._arrived.clear()
        return events

    def _is_withdrawn(self, event: Event) -> bool:
        return isinstance(event, RequestArrived) and event.request_id in self._withdrawn

    def clear(self) -> None:
        """Drop all events."""
        self._events = []
        self._disconnects.clear()
        self._arrived.clear()
        self._withdrawn.clear()
