"""Discovery over loopback sockets: lists, changes, broken watches, and the events that the balancer gets."""

from __future__ import annotations

import asyncio
import json

import pytest

from client_proxy.api.events import EndpointsListed, EndpointState, ListKind
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.proxy import discovery as module
from client_proxy.proxy import endpoint_watch
from client_proxy.proxy.discovery import Discovery
from client_proxy.proxy.socket_state import SocketState
from tests.proxy.sockets import Host, Registry, entry, run, until


class DiscoveryRecorder:
    """A discovery client with a record of its events, and the scripted service."""

    def __init__(self, registry: Registry, balancer_subscribes: bool = True) -> None:
        self.events: list[EndpointsListed] = []
        self.directory = EndpointDirectory()
        self.registry = registry
        address = ("127.0.0.1", registry.port)
        self.discovery = Discovery(address, balancer_subscribes, self.directory, self.events.append)

    @property
    def kinds(self) -> list[ListKind]:
        return [event.kind for event in self.events]

    async def subscribe(self) -> None:
        await self.subscribe_at(self.registry)

    async def subscribe_at(self, registry: Registry) -> None:
        calls = len(registry.watches)
        self.discovery.subscribe()
        await until(lambda: len(registry.watches) > calls)


A, B = Host("a", port=1), Host("b", port=2)


def test_changes_are_applied_to_the_complete_list() -> None:
    async def test() -> None:
        registry = await Registry().start()
        recorder = DiscoveryRecorder(registry)
        await recorder.subscribe()
        registry.send_chunk(registry.change(entry(A), entry(B), full=True))
        registry.send_chunk(registry.change(entry(A, "draining")) + registry.change(entry(B, "gone")))
        await until(lambda: len(recorder.events) == 3)
        assert recorder.kinds == [ListKind.FULL, ListKind.DELTA, ListKind.DELTA]
        assert {e.name: e.state for e in recorder.directory.entries.values()} == {"a": EndpointState.DRAINING}
        assert not recorder.directory.usable()
        recorder.discovery.stop()
        registry.stop()

    run(test())


def test_chunks_that_split_lines_are_joined() -> None:
    async def test() -> None:
        registry = await Registry().start()
        recorder = DiscoveryRecorder(registry)
        await recorder.subscribe()
        data = registry.change(entry(A), full=True) + registry.change(entry(B)) + b"\n"
        for at in range(0, len(data), 7):
            registry.send_chunk(data[at : at + 7])
            await asyncio.sleep(0)
        await until(lambda: len(recorder.events) == 2)
        assert set(recorder.directory.entries) == {"a", "b"}
        recorder.discovery.stop()
        registry.stop()

    run(test())


def test_call_without_changes_is_answered_once() -> None:
    async def test() -> None:
        registry = await Registry().start()
        recorder = DiscoveryRecorder(registry)
        recorder.directory.apply({"index": 41, "snapshot": True, "endpoints": [entry(A)]}, restored=True)
        await recorder.subscribe()
        assert "since=41" in registry.calls[0]
        registry.send_chunk(b"\n")
        registry.send_chunk(b"\n")
        registry.send_chunk(registry.change(entry(B)))
        await until(lambda: len(recorder.events) == 2)
        assert recorder.events[0] == EndpointsListed(ListKind.DELTA)
        assert set(recorder.directory.entries) == {"a", "b"}
        recorder.discovery.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize("how", ["reset", "silence", "unreadable", "refused"])
def test_broken_watch_is_reported_once_as_failed(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # A partitioned discovery sends nothing, not even an end of stream; only a timeout detects it.
    if how == "silence":
        monkeypatch.setattr(endpoint_watch, "WATCH_TIMEOUT_S", 0.1)
        monkeypatch.setattr(endpoint_watch, "RESPONSE_TIMEOUT_S", 600.0)

    async def test() -> None:
        registry = await Registry().start()
        recorder = DiscoveryRecorder(registry)
        if how == "refused":
            registry.stop()
            recorder.discovery.subscribe()
            await until(lambda: ListKind.FAILED in recorder.kinds)
            assert recorder.kinds == [ListKind.FAILED]
            return
        await recorder.subscribe()
        registry.send_chunk(registry.change(entry(A), full=True))
        await until(lambda: len(recorder.events) == 1)
        if how == "reset":
            registry.watches[0].transport.abort()
        elif how == "unreadable":
            registry.send_chunk(b'{"index": 9, "endpoints": [{"name": "x"}]}\n')
        await until(lambda: len(recorder.events) == 2)
        assert recorder.kinds == [ListKind.FULL, ListKind.FAILED]
        assert set(recorder.directory.entries) == {"a"}  # the last list stays
        await recorder.subscribe()
        # The unreadable message may have been a change, so the complete list is requested.
        assert ("since=" in registry.calls[1]) is (how != "unreadable")
        recorder.discovery.stop()
        registry.stop()

    run(test())


def test_push_mode_follows_lists_without_a_subscription(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "RETRY_DELAY_S", 0.01)

    async def test() -> None:
        registry = await Registry().start()
        recorder = DiscoveryRecorder(registry, balancer_subscribes=False)
        recorder.discovery.start()
        await until(lambda: len(registry.watches) == 1)
        registry.watches[0].transport.abort()
        await until(lambda: len(registry.watches) == 2)
        registry.send_chunk(registry.change(entry(A), full=True))
        await until(lambda: recorder.kinds == [ListKind.FULL])
        recorder.discovery.stop()
        registry.stop()

    run(test())


def test_no_call_after_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    # After the stop, a call that was scheduled after a failure must not run, and a move must not open another
    # watch.
    monkeypatch.setattr(module, "RETRY_DELAY_S", 0.0)

    async def test() -> None:
        registry = await Registry().start()
        elsewhere = await Registry().start()
        recorder = DiscoveryRecorder(registry, balancer_subscribes=False)
        recorder.discovery.start()
        await until(lambda: len(registry.watches) == 1)
        recorder.discovery._watch.close("lost")  # type: ignore[union-attr]  # the next call is due at once
        recorder.discovery.stop()
        recorder.discovery.subscribe()
        recorder.discovery.move(("127.0.0.1", elsewhere.port))
        probe = DiscoveryRecorder(registry)
        await probe.subscribe()  # all scheduled calls have run before it
        assert (len(registry.calls), elsewhere.calls) == (2, [])
        probe.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


@pytest.mark.parametrize("balancer_subscribes", [True, False])
def test_call_scheduled_before_a_move_keeps_the_new_watch(
    balancer_subscribes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "RETRY_DELAY_S", 0.0)

    async def test() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        recorder = DiscoveryRecorder(registry, balancer_subscribes=balancer_subscribes)
        recorder.discovery.subscribe()
        await until(lambda: len(registry.watches) == 1)
        recorder.discovery._watch.close("lost")  # type: ignore[union-attr]
        recorder.discovery.move(("127.0.0.1", elsewhere.port))
        await until(lambda: len(elsewhere.watches) == 1)
        if balancer_subscribes:
            recorder.discovery.subscribe()  # as the balancer does after the failure
        probe = DiscoveryRecorder(registry)
        await probe.subscribe()  # all scheduled calls have run before it
        elsewhere.send_chunk(elsewhere.change(entry(A), full=True))
        await until(lambda: set(recorder.directory.entries) == {"a"})
        assert (len(registry.calls), len(elsewhere.calls)) == (2, 1)
        probe.discovery.stop()
        recorder.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


@pytest.mark.parametrize("change", ["draining", "gone"])
@pytest.mark.parametrize("when", ["before the move", "after the move"])
def test_change_at_the_old_service_around_a_move_is_applied(when: str, change: str) -> None:
    # A change that the old service has written before the move counts as notified, also if the proxy has not
    # read it yet. It must not be lost with the old watch.
    async def test() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        recorder = DiscoveryRecorder(registry)
        await recorder.subscribe()
        registry.send_chunk(registry.change(entry(A), entry(B), full=True))
        await until(lambda: len(recorder.events) == 1)
        former = recorder.discovery._watch
        assert former is not None
        assert former._transport is not None
        transport = former._transport
        if when == "before the move":
            transport.pause_reading()
            registry.send_chunk(registry.change(entry(A, change)))
            peer = SocketState(transport.get_extra_info("socket"))
            await until(peer.has_unread_data)
            transport.resume_reading()
        recorder.discovery.move(("127.0.0.1", elsewhere.port))
        if when == "after the move":
            registry.send_chunk(registry.change(entry(A, change)))
        # The new service has not answered yet.
        await until(lambda: len(recorder.events) == 2)
        ready_names = {
            name for name, known in recorder.directory.entries.items() if known.state is EndpointState.READY
        }
        assert ready_names == {"b"}
        await until(lambda: len(elsewhere.watches) == 1)
        assert "since" not in elsewhere.calls[0]
        # Its list replaces the old one, and it never gets an index of the old service.
        elsewhere.send_chunk(elsewhere.change(entry(B), full=True))
        await until(lambda: len(recorder.events) == 3)
        assert transport.is_closing()
        assert set(recorder.directory.entries) == {"b"}
        elsewhere.watches[0].transport.abort()
        await until(lambda: recorder.kinds[-1] is ListKind.FAILED)
        await recorder.subscribe_at(elsewhere)
        assert f"since={elsewhere.index}" in elsewhere.calls[1]
        assert len(registry.calls) == 1
        recorder.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


def test_index_of_the_old_service_is_not_sent_to_the_new_one() -> None:
    # The first call to the new service fails, after the old service has sent a change.
    async def test() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        recorder = DiscoveryRecorder(registry)
        await recorder.subscribe()
        registry.send_chunk(registry.change(entry(A), full=True))
        await until(lambda: len(recorder.events) == 1)
        recorder.discovery.move(("127.0.0.1", elsewhere.port))
        registry.send_chunk(registry.change(entry(A, "draining")))
        await until(lambda: len(recorder.events) == 2 and len(elsewhere.watches) == 1)
        elsewhere.watches[0].transport.abort()
        await until(lambda: recorder.kinds[-1] is ListKind.FAILED)
        registry.watches[0].transport.abort()  # the end of the old watch is no failure of the new service
        await recorder.subscribe_at(elsewhere)
        assert "since" not in elsewhere.calls[1]
        assert recorder.kinds == [ListKind.FULL, ListKind.DELTA, ListKind.FAILED]
        recorder.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


def test_after_two_moves_the_first_service_is_followed_until_the_last_answers() -> None:
    async def test() -> None:
        registries = [await Registry().start() for _ in range(3)]
        first, second, third = registries
        recorder = DiscoveryRecorder(first)
        await recorder.subscribe()
        first.send_chunk(first.change(entry(A), entry(B), full=True))
        await until(lambda: len(recorder.events) == 1)
        recorder.discovery.move(("127.0.0.1", second.port))
        await until(lambda: len(second.watches) == 1)
        recorder.discovery.move(("127.0.0.1", third.port))
        await until(lambda: len(third.watches) == 1)
        second.send_chunk(second.change(full=True))  # the second service is no longer followed
        first.send_chunk(first.change(entry(A, "draining")))
        await until(lambda: len(recorder.events) == 2)
        assert recorder.events[1].endpoints[0].state is EndpointState.DRAINING
        third.send_chunk(third.change(entry(B), full=True))
        await until(lambda: set(recorder.directory.entries) == {"b"})
        assert len(recorder.events) == 3
        recorder.discovery.stop()
        for registry in registries:
            registry.stop()

    run(test())


@pytest.mark.parametrize("figure", ["weight", "since_ms", "group"])
@pytest.mark.parametrize("value", ["-Infinity", "NaN", "1e999", '"x"'])
def test_message_with_an_invalid_number_is_rejected_whole(figure: str, value: str) -> None:
    # An infinite weight would make every mean of the weights infinite.
    directory = EndpointDirectory()
    directory.apply({"index": 1, "snapshot": True, "endpoints": [entry(A)]})
    bad = json.loads(json.dumps({**entry(B), figure: 0}).replace(f'"{figure}": 0', f'"{figure}": {value}'))
    with pytest.raises(ValueError, match="not a list"):
        directory.apply({"index": 2, "snapshot": True, "endpoints": [entry(B), bad]})
    assert (set(directory.entries), directory.index) == ({"a"}, 1)


def test_start_time_is_equal_in_each_message() -> None:
    # The balancer treats another start time as a restart, and forgets its statistics of the endpoint.
    directory = EndpointDirectory()
    message = {"index": 1, "snapshot": True, "endpoints": [entry(A, since_ms=1_700_000_000_000)]}
    first, second = directory.apply(message), directory.apply(message)
    assert first.endpoints[0].started_ms == second.endpoints[0].started_ms
    assert first.endpoints[0].started_ms is not None
    assert directory.apply({**message, "endpoints": [entry(A)]}).endpoints[0].started_ms is None


def test_unknown_status_is_not_ready() -> None:
    # Treated as an error, one such entry would make the whole list unusable.
    directory = EndpointDirectory()
    directory.apply({"index": 1, "snapshot": True, "endpoints": [entry(A, "resting"), entry(B)]})
    assert [e.state for e in directory.entries.values()] == [EndpointState.DRAINING, EndpointState.READY]


def test_a_list_of_too_many_endpoints_changes_nothing() -> None:
    # Each listed endpoint takes memory for as long as it is listed, however it was added.
    directory = EndpointDirectory(max_entries=2)
    directory.apply({"index": 1, "snapshot": True, "endpoints": [entry(A), entry(B)]})
    c = Host("c", port=3)
    for full in (False, True):
        listed = [entry(A), entry(B), entry(c)]
        with pytest.raises(ValueError, match="3 endpoints, 2 at most"):
            directory.apply({"index": 2, "snapshot": full, "endpoints": listed})
        assert (set(directory.entries), directory.index) == ({"a", "b"}, 1)
    directory.apply({"index": 3, "endpoints": [entry(A, "gone"), entry(c), entry(B, "draining")]})
    assert set(directory.entries) == {"b", "c"}
