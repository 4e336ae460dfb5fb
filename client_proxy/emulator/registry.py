"""The emulated discovery: the endpoint list, the delayed notification of watches, and outages."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable

from client_proxy.emulator.discovery_connection import SILENT, DiscoveryConnection, Json
from client_proxy.emulator.environment import DiscoveryEnvironment
from client_proxy.emulator.event_log import Notification
from client_proxy.emulator.listeners import Listener
from client_proxy.emulator.random_streams import uniform_draw

MIN_NOTIFICATION_DELAY_S, MAX_NOTIFICATION_DELAY_S = 0.017, 0.087
"""Seconds; a change is sent to each proxy after a delay between these, which is fixed for each proxy."""
RESET = "reset"
"""The outage mode in which discovery resets connections and refuses dials."""
DISCOVERY_ITSELF = -1
"""Stands in place of a proxy number in `Registry.changes`: a change at discovery, not at a proxy."""


class Registry:
    """The emulated discovery service, with a listener for each proxy.

    Attributes:
        latency_s: the time until a request is answered, in seconds.
        index: the version of the endpoint list.
        requests: the number of requests so far.
        outage_mode: how it fails at present; empty while it works.
        connections: all open connections; the values are unused.
        listeners: its listeners by proxy number.
        changes: by server name, each change of the server's entry, with its time.
    """

    def __init__(self, environment: DiscoveryEnvironment) -> None:
        self.latency_s = environment.scenario.discovery.latency_ms / 1000.0
        self.index = 1
        self.requests = 0
        self.outage_mode = ""
        self.connections: dict[DiscoveryConnection, None] = {}
        self.listeners: list[Listener] = []
        self.changes: dict[str, list[Notification]] = defaultdict(list)
        self._environment = environment
        self._entries: dict[str, Json] = {}
        self._gone_entries: dict[str, Json] = {}
        self._changed_at_index: dict[str, int] = {}  # the version of the latest change, by server name
        # By proxy and server name: the start time of which the proxy was notified.
        self._notified_since_ms: dict[int, dict[str, int]] = defaultdict(dict)

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return self._environment.loop

    def prepare(self) -> None:
        """Create the listeners, one for each proxy."""
        for proxy in range(self._environment.scenario.clients.proxies):
            self.listeners.append(self._environment.new_listener(self._connection_factory(proxy)))

    def _connection_factory(self, proxy: int) -> Callable[[], asyncio.Protocol]:
        return lambda: DiscoveryConnection(self, proxy)

    def start(self) -> None:
        """Accept connections."""
        for listener in self.listeners:
            listener.open()

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.end()

    # The endpoint list

    def publish(self, name: str, status: str, since_ms: int) -> None:
        """Change a server's entry and notify the proxies that watch the list, each after its delay."""
        entry = self._new_entry(name, status, since_ms)
        self.index += 1
        self._changed_at_index[name] = self.index
        if status == "gone":
            self._entries.pop(name, None)
            self._gone_entries[name] = entry
        else:
            self._gone_entries.pop(name, None)
            self._entries[name] = entry
        change = Notification(DISCOVERY_ITSELF, name, status, self._loop.time(), since_ms)
        self.changes[name].append(change)
        for connection in list(self.connections):
            draw = uniform_draw(self._environment.scenario.seed, "spread", connection.proxy)
            spread_s = MAX_NOTIFICATION_DELAY_S - MIN_NOTIFICATION_DELAY_S
            self._loop.call_later(MIN_NOTIFICATION_DELAY_S + spread_s * draw, connection.send_changes)

    def _new_entry(self, name: str, status: str, since_ms: int) -> Json:
        spec = self._environment.servers[name].spec
        return {
            "name": name,
            "zone": spec.zone,
            "type": spec.server_type.name,
            "group": spec.rack,
            "status": status,
            "weight": round(spec.server_type.cores * spec.server_type.speed, 3),
            "since_ms": since_ms,
        }

    def publish_later(self, name: str, status: str, since_ms: int, delay_ms: float) -> None:
        """Publish a change of a server's entry after a delay."""
        self._loop.call_later(delay_ms / 1000.0, self.publish, name, status, since_ms)

    def _with_address(self, entry: Json, proxy: int) -> Json:
        host, port = self._environment.servers[entry["name"]].listeners[proxy].address
        return {**entry, "address": f"{host}:{port}"}

    def snapshot(self, proxy: int, notify: bool = True) -> Json:
        """Return the whole list for a proxy.

        Args:
            proxy: the proxy.
            notify: whether to record that the proxy is notified of all entries, and of the removal of those
                that it knew and that are gone.
        """
        if notify:
            for name, since_ms in list(self._notified_since_ms[proxy].items()):
                if name not in self._entries:
                    self._record_notification(proxy, name, "gone", since_ms)
            for entry in self._entries.values():
                self._record_notification(proxy, entry["name"], entry["status"], entry["since_ms"])
        entries = [self._with_address(entry, proxy) for entry in self._entries.values()]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    def changes_since(self, proxy: int, index: int) -> Json | None:
        """Return the changes after version `index`, recording the notification; None if there are none."""
        entries = []
        for name, changed_at_index in self._changed_at_index.items():
            if changed_at_index > index:
                entry = self._entries.get(name) or self._gone_entries[name]
                self._record_notification(proxy, name, entry["status"], entry["since_ms"])
                entries.append(self._with_address(entry, proxy))
        return {"index": self.index, "snapshot": False, "endpoints": entries} if entries else None

    def _record_notification(self, proxy: int, name: str, status: str, since_ms: int) -> None:
        notification = Notification(proxy, name, status, self._loop.time(), since_ms)
        self._environment.event_log.notifications.append(notification)
        if status == "gone":
            self._notified_since_ms[proxy].pop(name, None)
        else:
            self._notified_since_ms[proxy][name] = since_ms

    # Outages

    def begin_outage(self, mode: str) -> None:
        """Begin an outage of a mode in `scenario.DISCOVERY_MODES`."""
        self.outage_mode = mode
        if mode == SILENT:
            return
        for connection in list(self.connections):
            if mode == RESET:
                connection.reset()
            else:
                connection.end()
        if mode == RESET:
            for listener in self.listeners:
                listener.close()

    def end_outage(self) -> None:
        """End the outage, and send the changes made during it to the watches that are still open."""
        ended_mode, self.outage_mode = self.outage_mode, ""
        if ended_mode == RESET:
            for listener in self.listeners:
                listener.open()
        for connection in list(self.connections):
            connection.send_changes()
