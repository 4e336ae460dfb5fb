"""Changes of the endpoint list: the same state as after the complete list, for work by what has changed."""

from __future__ import annotations

from dataclasses import replace
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from client_proxy.api.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Idempotency, Prices, RequestClass, Safety, Settings
from client_proxy.balancer import pool as pool_module
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.endpoint_set import EndpointSet
from client_proxy.limits.load_shedding import LoadShedding
from client_proxy.limits.ready_capacity import ReadyCapacity
from client_proxy.limits.settings import OverloadSettings
from client_proxy.rates import warmed_up_share

CLASS = RequestClass("safe", latency_objective_ms=500, deadline_ms=2000, idempotency=Idempotency.IDEMPOTENT)
SETTINGS = Settings(classes=(CLASS,), proxies=40, zone="a", prices=Prices(cross_zone=1.0))
ENTRIES = st.builds(
    ListedEndpoint,
    name=st.sampled_from([f"s-{number}" for number in range(8)]),
    zone=st.sampled_from(["a", "b"]),
    weight=st.sampled_from([0.5, 1.0, 2.0]),
    state=st.sampled_from(list(EndpointState)),
    started_ms=st.sampled_from([None, 100.0, 900.0]),
)


class ZoneHook(BalancerHook):
    orders_zones = True


def listed(endpoint_set: EndpointSet) -> tuple[ListedEndpoint, ...]:
    return tuple(endpoint.listed for endpoint in endpoint_set.endpoints.values())


def state_of(endpoint_set: EndpointSet) -> list[object]:
    """What the choice of an endpoint goes by."""
    pools = {"": endpoint_set.local, "remote": endpoint_set.remote, **endpoint_set.zone_pools}
    return [
        (name, [endpoint.listed for endpoint in pool.ring], pool.subset_size, pool.proxies_per_endpoint())
        for name, pool in pools.items()
    ]


@given(steps=st.lists(st.tuples(st.sampled_from(list(ListKind)), st.lists(ENTRIES, max_size=4)), max_size=8))
def test_changes_lead_to_the_state_of_the_complete_list(
    steps: list[tuple[ListKind, list[ListedEndpoint]]],
) -> None:
    hook = ZoneHook()
    changed = EndpointSet(SETTINGS, hook)
    for kind, entries in steps:
        changed.update(EndpointsListed(kind, tuple(entries)))
        complete = EndpointSet(SETTINGS, hook)
        complete.update(EndpointsListed(ListKind.FULL, listed(changed)))
        assert state_of(changed) == state_of(complete)


@given(steps=st.lists(st.tuples(st.integers(0, 900), st.lists(ENTRIES, max_size=4)), max_size=12))
def test_the_capacity_is_the_sum_of_all_shares(steps: list[tuple[int, list[ListedEndpoint]]]) -> None:
    safety = Safety(slow_start_ms=1000.0, slow_start_share=0.25)
    capacity, now_ms = ReadyCapacity(safety), 0.0
    ready: dict[str, float | None] = {}
    for elapsed_ms, entries in steps:
        now_ms += elapsed_ms
        for entry in entries:
            if entry.state is EndpointState.READY:
                capacity.update(entry.name, entry.started_ms)
                ready[entry.name] = entry.started_ms
            else:
                capacity.remove(entry.name)
                ready.pop(entry.name, None)
        shares = [warmed_up_share(now_ms, started_ms, safety) for started_ms in ready.values()]
        assert capacity.total(now_ms) == pytest.approx(sum(shares))
        assert set(capacity) == set(ready)


def test_a_change_hashes_no_endpoint_that_is_not_in_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against review case 8: each change of one endpoint sorted all 3,200 of the fleet anew, and
    # requests waited behind hundreds of changes.
    hashed: list[bytes] = []

    def counting(data: bytes) -> int:
        hashed.append(data)
        return crc32(data)

    balancer = Balancer(SETTINGS, 1, LoadShedding(OverloadSettings(), SETTINGS))
    entries = [ListedEndpoint(f"s-{number:04d}", "ab"[number % 2]) for number in range(800)]
    balancer.handle(0.0, [EndpointsListed(ListKind.FULL, tuple(entries))])
    monkeypatch.setattr(pool_module, "crc32", counting)
    for number, state in enumerate((EndpointState.DRAINING, EndpointState.GONE, EndpointState.READY)):
        change = EndpointsListed(ListKind.DELTA, (replace(entries[7], state=state),))
        balancer.handle(1.0 + number, [change])
    assert set(hashed) == {b"s-0007"}
    hashed.clear()
    balancer.handle(9.0, [EndpointsListed(ListKind.FULL, tuple(entries))])  # the same list once more
    assert not hashed


class RecordingHook(BalancerHook):
    """Records the changes that it is told."""

    def __init__(self) -> None:
        self.changes: list[list[ListedEndpoint]] = []

    def endpoints_changed(self, now_ms: float, changed, endpoints) -> None:  # type: ignore[no-untyped-def]
        self.changes.append(list(changed))


def test_a_hook_is_told_the_changes_and_each_failed_call() -> None:
    hook = RecordingHook()
    balancer = Balancer(SETTINGS, 1, hook)
    a, b = ListedEndpoint("a"), ListedEndpoint("b")
    restarted = replace(b, started_ms=-50.0)
    balancer.handle(0.0, [EndpointsListed(ListKind.FULL, (a, b))])
    balancer.handle(1.0, [EndpointsListed(ListKind.FULL, (restarted,))])
    balancer.handle(2.0, [EndpointsListed(ListKind.FAILED)])
    assert hook.changes == [[a, b], [replace(a, state=EndpointState.GONE), restarted], []]
