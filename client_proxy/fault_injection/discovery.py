"""The emulator's discovery service as a process of a drill, for instances started by the platform's line."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from client_proxy.emulator.event_log import Notification
from client_proxy.emulator.listeners import SocketListener
from client_proxy.emulator.registry import Registry
from client_proxy.emulator.scenario_reader import parse_scenario
from client_proxy.fault_injection.helper import Json, Order, serve
from client_proxy.fault_injection.history import Writer


class NotificationLog(list[Notification]):
    """A list that writes each notification to the history in place of keeping it."""

    def __init__(self, writer: Writer) -> None:
        super().__init__()
        self._writer = writer

    def append(self, notification: Notification) -> None:
        self._writer.write(
            "told",
            notification.at_s,
            instance=f"i{notification.proxy}",
            server=notification.server,
            status=notification.status,
        )


def make_handlers() -> dict[str, Order]:
    state: dict[str, Any] = {}

    async def begin(order: Json) -> Json:
        """Start the service. `doors` in the order: by server, the address for each instance."""
        loop = asyncio.get_running_loop()
        drill_scenario = parse_scenario(order["day"], "fleet")
        writer = Writer(Path(order["history"]))
        servers = {
            spec.name: SimpleNamespace(
                spec=spec,
                listeners=[
                    SimpleNamespace(address=tuple(host_port)) for host_port in order["doors"][spec.name]
                ],
            )
            for spec in drill_scenario.servers()
        }
        # Only what the registry uses of a simulation.
        simulation: Any = SimpleNamespace(
            scenario=drill_scenario,
            loop=loop,
            servers=servers,
            event_log=SimpleNamespace(notifications=NotificationLog(writer)),
            new_listener=lambda factory: SocketListener(loop, factory, (order["host"], 0)),
        )
        registry = state["registry"] = Registry(simulation)
        registry.prepare()
        for name in servers:
            registry.publish(name, "ready", 0)
        registry.start()
        return {"doors": [list(listener.address) for listener in registry.listeners]}

    async def put(order: Json) -> None:
        state["registry"].publish(order["server"], order["status"], order.get("since_ms", 0))

    return {"begin": begin, "put": put}


if __name__ == "__main__":
    serve(make_handlers)
