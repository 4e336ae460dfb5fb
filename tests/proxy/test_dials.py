"""A dial cancelled at any step releases its slot once. Runs on a virtual clock."""

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
def test_dial_cancelled_while_its_transport_is_created(turns: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # The slot must be released once: released twice, it makes the pool count fewer descriptors than are open.
    scheduler = Scheduler()
    loop = scheduler.new_loop("proxy")
    network = MemoryNetwork(loop)
    original_create_connection = loop.create_connection

    async def main() -> None:
        host = network.listen(loop, asyncio.Protocol, ("127.0.0.1", 0))
        upstream = UpstreamPool(Limits(), (), 1000.0, 10, network.socket)
        upstream.update_endpoint("h", host.address, None, True)
        request = ClientRequest(b"POST", b"/c/1", [], b"", clock.now_ms(), "c")
        ended: list[AttemptResult] = []
        attempt = upstream.start_attempt(request, "h", 5000.0, ended.append)
        assert attempt is not None

        def cancel_after(turns_left: int) -> None:
            if turns_left:
                loop.call_soon(cancel_after, turns_left - 1)
            else:
                attempt.cancel()

        def create_and_cancel(*args: Any, **named: Any) -> Any:
            cancel_after(turns)
            return original_create_connection(*args, **named)

        monkeypatch.setattr(loop, "create_connection", create_and_cancel)
        await asyncio.sleep(1.0)
        assert [each.outcome for each in ended] == [Outcome.CANCELLED]
        assert upstream.open_connections == network.open_socket_count(loop) == 0

    with clock.use_clock(scheduler.time, scheduler.time):
        scheduler.run(loop, main(), 10.0)
