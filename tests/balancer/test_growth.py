"""Memory stays bounded over a long run with ever new server names, request ids, keys and connections."""

from __future__ import annotations

from dataclasses import replace

import pytest

from client_proxy.api.actions import Send
from client_proxy.api.events import AttemptEnded, Outcome, RequestArrived
from client_proxy.balancer.balancer import Balancer
from client_proxy.proxy import listener
from tests.driver import SAFE, SETTINGS, endpoint, full
from tests.proxy.sockets import KEYED_CLASS, UNSAFE_CLASS, Client, Host, entry, proxy, run, until


def test_no_state_is_kept_of_servers_replaced_under_new_names_at_one_address() -> None:
    async def test() -> None:
        host = Host("h0")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            for number in range(1, 2001):
                gone = entry(host, "gone")
                host.name = f"h{number}"
                p.engine.notify_endpoints(
                    p.directory.apply({"index": number, "endpoints": [gone, entry(host)]})
                )
                if number % 100 == 0:
                    assert (await client.ask())[2] == b"from " + host.name.encode()
            endpoint_set = p.engine.balancer.endpoint_set
            for table in (p.directory.entries, p.directory.addresses, p.upstream.endpoints):
                assert set(table) == {host.name}
            assert set(endpoint_set.endpoints) == {host.name}
            assert len(endpoint_set.local.ring) == 1
            await until(lambda: p.upstream.open_connections == host.open == 1)
            client.close()

    run(test())


def test_no_state_is_kept_of_finished_requests_and_closed_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "SWEEP_S", 0.01)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            monkeypatch.setattr(p.listener.trace_ids, "lifetime_ms", 1.0)
            for number in range(1000):
                client = await Client.connect(p.port)
                cls = (KEYED_CLASS, UNSAFE_CLASS)[number % 2]
                assert (await client.ask(cls, key=f"k{number}"))[0] == 200
                client.close()
            await until(lambda: not p.listener.connections and not p.listener.trace_ids)
            balancer = p.engine.balancer
            await until(lambda: not balancer.requests and not balancer.timers)
            assert not p.engine.pending_count
            assert not any(balancer.pending.values())
            assert not balancer.key_order._queues
            assert not any(p.listener.limits.by_state.values())

    run(test())


def test_no_state_is_kept_of_keys_without_requests() -> None:
    ordered = replace(SAFE, name="ordered", in_order=True)
    safety = replace(SETTINGS.safety, key_quiet_ms=0.0)
    balancer = Balancer(replace(SETTINGS, classes=(ordered,), safety=safety), 1)
    balancer.handle(0.0, [full(endpoint("s1"))])
    for number in range(3000):
        now = 10.0 + number
        actions = balancer.handle(now, [RequestArrived(number, "ordered", key=f"k{number}")])
        assert any(isinstance(action, Send) for action in actions)
        balancer.handle(now + 0.5, [AttemptEnded(number, 0, Outcome.OK, 0.5, answered=True)])
    assert not balancer.key_order._queues
    assert not balancer.requests
    assert not balancer.timers
