"""Dials called off at every step of the way give their descriptor back once, on the virtual clock."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from client_proxy import clock
from client_proxy.api.events import Outcome
from client_proxy.api.settings import Limits
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.virtual import Scheduler
from client_proxy.proxy.messages import ClientRequest
from client_proxy.proxy.upstream_attempt import AttemptResult
from client_proxy.proxy.upstream_pool import UpstreamPool


@pytest.mark.parametrize("turns", range(6))
def test_a_dial_called_off_while_its_transport_is_made(turns: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # It used to be counted twice, so that the pool believed in fewer open descriptors than there were.
    scheduler = Scheduler()
    loop = scheduler.new_loop("proxy")
    network = MemoryNetwork(loop)
    make = loop.create_connection

    async def main() -> None:
        host = network.listen(loop, asyncio.Protocol, ("127.0.0.1", 0))
        upstream = UpstreamPool(Limits(), (), 1000.0, 10, network.socket)
        upstream.update_endpoint("h", host.address, None, True)
        request = ClientRequest(b"POST", b"/c/1", [], b"", clock.now_ms(), "c")
        ended: list[AttemptResult] = []
        attempt = upstream.start_attempt(request, "h", 5000.0, ended.append)
        assert attempt is not None

        def cancel_after(left: int) -> None:
            if left:
                loop.call_soon(cancel_after, left - 1)
            else:
                attempt.cancel()

        def made(*args: Any, **named: Any) -> Any:
            cancel_after(turns)
            return make(*args, **named)

        monkeypatch.setattr(loop, "create_connection", made)
        await asyncio.sleep(1.0)
        assert [each.outcome for each in ended] == [Outcome.CANCELLED]
        assert upstream.open_connections == network.open_socket_count(loop) == 0

    with clock.driven(scheduler.time, scheduler.time):
        scheduler.run(loop, main(), 10.0)
