"""Discovery over loopback sockets: lists and changes, dead watches, and what the balancer hears of them."""

from __future__ import annotations

import asyncio
import json

import pytest

from client_proxy.api.events import EndpointsListed, EndpointState, ListKind
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.proxy import discovery as module
from client_proxy.proxy.discovery import Discovery
from client_proxy.proxy.socket_state import SocketState
from tests.proxy.sockets import Host, Registry, entry, run, until


class Told:
    """A discovery with what it told, and its registry."""

    def __init__(self, registry: Registry, asked: bool = True) -> None:
        self.events: list[EndpointsListed] = []
        self.directory = EndpointDirectory()
        self.registry = registry
        address = ("127.0.0.1", registry.port)
        self.discovery = Discovery(address, asked, self.directory, self.events.append)

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


def test_whole_list_then_changes() -> None:
    async def test() -> None:
        registry = await Registry().start()
        told = Told(registry)
        await told.subscribe()
        registry.send_chunk(registry.change(entry(A), entry(B), full=True))
        registry.send_chunk(registry.change(entry(A, "draining")) + registry.change(entry(B, "gone")))
        await until(lambda: len(told.events) == 3)
        assert told.kinds == [ListKind.FULL, ListKind.DELTA, ListKind.DELTA]
        assert {e.name: e.state for e in told.directory.entries.values()} == {"a": EndpointState.DRAINING}
        assert not told.directory.usable()
        told.discovery.stop()
        registry.stop()

    run(test())


def test_chunks_that_do_not_end_on_lines() -> None:
    async def test() -> None:
        registry = await Registry().start()
        told = Told(registry)
        await told.subscribe()
        data = registry.change(entry(A), full=True) + registry.change(entry(B)) + b"\n"
        for at in range(0, len(data), 7):
            registry.send_chunk(data[at : at + 7])
            await asyncio.sleep(0)
        await until(lambda: len(told.events) == 2)
        assert set(told.directory.entries) == {"a", "b"}
        told.discovery.stop()
        registry.stop()

    run(test())


def test_call_is_answered_once_also_if_nothing_changed() -> None:
    async def test() -> None:
        registry = await Registry().start()
        told = Told(registry)
        told.directory.apply({"index": 41, "snapshot": True, "endpoints": [entry(A)]}, restored=True)
        await told.subscribe()
        assert "since=41" in registry.calls[0]
        registry.send_chunk(b"\n")
        registry.send_chunk(b"\n")
        registry.send_chunk(registry.change(entry(B)))
        await until(lambda: len(told.events) == 2)
        assert told.events[0] == EndpointsListed(ListKind.DELTA)
        assert set(told.directory.entries) == {"a", "b"}
        told.discovery.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize("how", ["reset", "silence", "unreadable", "refused"])
def test_broken_watch_is_told_once_as_failed(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # A cut-off discovery says nothing, not even an end of stream: only its silence tells.
    if how == "silence":
        monkeypatch.setattr(module, "WATCH_TIMEOUT_S", 0.1)
        monkeypatch.setattr(module, "RESPONSE_TIMEOUT_S", 600.0)

    async def test() -> None:
        registry = await Registry().start()
        told = Told(registry)
        if how == "refused":
            registry.stop()
            told.discovery.subscribe()
            await until(lambda: ListKind.FAILED in told.kinds)
            assert told.kinds == [ListKind.FAILED]
            return
        await told.subscribe()
        registry.send_chunk(registry.change(entry(A), full=True))
        await until(lambda: len(told.events) == 1)
        if how == "reset":
            registry.watches[0].transport.abort()
        elif how == "unreadable":
            registry.send_chunk(b'{"index": 9, "endpoints": [{"name": "x"}]}\n')
        await until(lambda: len(told.events) == 2)
        assert told.kinds == [ListKind.FULL, ListKind.FAILED]
        assert set(told.directory.entries) == {"a"}  # the old list stands
        await told.subscribe()
        # What could not be read may have been a change: only the whole list mends that.
        assert ("since=" in registry.calls[1]) is (how != "unreadable")
        told.discovery.stop()
        registry.stop()

    run(test())


def test_pushed_lists_are_followed_without_being_asked_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "RETRY_DELAY_S", 0.01)

    async def test() -> None:
        registry = await Registry().start()
        told = Told(registry, asked=False)
        told.discovery.start()
        await until(lambda: len(registry.watches) == 1)
        registry.watches[0].transport.abort()
        await until(lambda: len(registry.watches) == 2)
        registry.send_chunk(registry.change(entry(A), full=True))
        await until(lambda: told.kinds == [ListKind.FULL])
        told.discovery.stop()
        registry.stop()

    run(test())


def test_after_a_stop_nothing_is_called_any_more(monkeypatch: pytest.MonkeyPatch) -> None:
    # A call that a failure had asked for came due after the end, and a move then opened a watch of its own.
    monkeypatch.setattr(module, "RETRY_DELAY_S", 0.0)

    async def test() -> None:
        registry = await Registry().start()
        elsewhere = await Registry().start()
        told = Told(registry, asked=False)
        told.discovery.start()
        await until(lambda: len(registry.watches) == 1)
        told.discovery._watch.close("lost")  # type: ignore[union-attr]  # the next call is due now
        told.discovery.stop()
        told.discovery.subscribe()
        told.discovery.move(("127.0.0.1", elsewhere.port))
        probe = Told(registry)
        await probe.subscribe()  # whatever was due has come before it
        assert (len(registry.calls), elsewhere.calls) == (2, [])
        probe.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


@pytest.mark.parametrize("asked", [True, False])
def test_a_call_that_was_due_leaves_the_watch_of_a_move_alone(
    asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "RETRY_DELAY_S", 0.0)

    async def test() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        told = Told(registry, asked=asked)
        told.discovery.subscribe()
        await until(lambda: len(registry.watches) == 1)
        told.discovery._watch.close("lost")  # type: ignore[union-attr]
        told.discovery.move(("127.0.0.1", elsewhere.port))
        await until(lambda: len(elsewhere.watches) == 1)
        if asked:
            told.discovery.subscribe()  # as the balancer asks after the failure
        probe = Told(registry)
        await probe.subscribe()  # whatever was due has come before it
        elsewhere.send_chunk(elsewhere.change(entry(A), full=True))
        await until(lambda: set(told.directory.entries) == {"a"})
        assert (len(registry.calls), len(elsewhere.calls)) == (2, 1)
        probe.discovery.stop()
        told.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


@pytest.mark.parametrize("change", ["draining", "gone"])
@pytest.mark.parametrize("when", ["before the move", "after the move"])
def test_what_the_old_service_tells_beside_a_move_is_heard(when: str, change: str) -> None:
    # Written before the move and not yet read, it counts as told; with the old watch it was thrown away.
    async def test() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        told = Told(registry)
        await told.subscribe()
        registry.send_chunk(registry.change(entry(A), entry(B), full=True))
        await until(lambda: len(told.events) == 1)
        former = told.discovery._watch
        assert former is not None
        assert former._transport is not None
        transport = former._transport
        if when == "before the move":
            transport.pause_reading()
            registry.send_chunk(registry.change(entry(A, change)))
            peer = SocketState(transport.get_extra_info("socket"))
            await until(peer.has_unread_data)
            transport.resume_reading()
        told.discovery.move(("127.0.0.1", elsewhere.port))
        if when == "after the move":
            registry.send_chunk(registry.change(entry(A, change)))
        # The new service works through its calls: it has not answered yet.
        await until(lambda: len(told.events) == 2)
        stands = {
            name for name, known in told.directory.entries.items() if known.state is EndpointState.READY
        }
        assert stands == {"b"}
        await until(lambda: len(elsewhere.watches) == 1)
        assert "since" not in elsewhere.calls[0]
        # Its answer is what holds from then on, and an index of the old service is never told to it.
        elsewhere.send_chunk(elsewhere.change(entry(B), full=True))
        await until(lambda: len(told.events) == 3)
        assert transport.is_closing()
        assert set(told.directory.entries) == {"b"}
        elsewhere.watches[0].transport.abort()
        await until(lambda: told.kinds[-1] is ListKind.FAILED)
        await told.subscribe_at(elsewhere)
        assert f"since={elsewhere.index}" in elsewhere.calls[1]
        assert len(registry.calls) == 1
        told.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


def test_an_index_of_the_old_service_is_not_told_to_the_new_one() -> None:
    # The first call to the new service fails, after the old one has told a change.
    async def test() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        told = Told(registry)
        await told.subscribe()
        registry.send_chunk(registry.change(entry(A), full=True))
        await until(lambda: len(told.events) == 1)
        told.discovery.move(("127.0.0.1", elsewhere.port))
        registry.send_chunk(registry.change(entry(A, "draining")))
        await until(lambda: len(told.events) == 2 and len(elsewhere.watches) == 1)
        elsewhere.watches[0].transport.abort()
        await until(lambda: told.kinds[-1] is ListKind.FAILED)
        registry.watches[0].transport.abort()  # its end is no failure of the new one
        await told.subscribe_at(elsewhere)
        assert "since" not in elsewhere.calls[1]
        assert told.kinds == [ListKind.FULL, ListKind.DELTA, ListKind.FAILED]
        told.discovery.stop()
        registry.stop()
        elsewhere.stop()

    run(test())


def test_moved_twice_the_first_service_is_heard_until_the_last_has_answered() -> None:
    async def test() -> None:
        registries = [await Registry().start() for _ in range(3)]
        first, second, third = registries
        told = Told(first)
        await told.subscribe()
        first.send_chunk(first.change(entry(A), entry(B), full=True))
        await until(lambda: len(told.events) == 1)
        told.discovery.move(("127.0.0.1", second.port))
        await until(lambda: len(second.watches) == 1)
        told.discovery.move(("127.0.0.1", third.port))
        await until(lambda: len(third.watches) == 1)
        second.send_chunk(second.change(full=True))  # it is not followed any more
        first.send_chunk(first.change(entry(A, "draining")))
        await until(lambda: len(told.events) == 2)
        assert told.events[1].endpoints[0].state is EndpointState.DRAINING
        third.send_chunk(third.change(entry(B), full=True))
        await until(lambda: set(told.directory.entries) == {"b"})
        assert len(told.events) == 3
        told.discovery.stop()
        for registry in registries:
            registry.stop()

    run(test())


@pytest.mark.parametrize("figure", ["weight", "since_ms", "group"])
@pytest.mark.parametrize("value", ["-Infinity", "NaN", "1e999", '"x"'])
def test_a_line_with_a_figure_that_is_none_is_taken_in_not_at_all(figure: str, value: str) -> None:
    # One infinite weight would stay in every mean of the weights.
    directory = EndpointDirectory()
    directory.apply({"index": 1, "snapshot": True, "endpoints": [entry(A)]})
    bad = json.loads(json.dumps({**entry(B), figure: 0}).replace(f'"{figure}": 0', f'"{figure}": {value}'))
    with pytest.raises(ValueError, match="not a list"):
        directory.apply({"index": 2, "snapshot": True, "endpoints": [entry(B), bad]})
    assert (set(directory.entries), directory.index) == ({"a"}, 1)


def test_start_time_is_the_same_whenever_it_is_told() -> None:
    # The balancer takes another start time for a restart and forgets what it knew of the host.
    directory = EndpointDirectory()
    message = {"index": 1, "snapshot": True, "endpoints": [entry(A, since_ms=1_700_000_000_000)]}
    first, second = directory.apply(message), directory.apply(message)
    assert first.endpoints[0].started_ms == second.endpoints[0].started_ms
    assert first.endpoints[0].started_ms is not None
    assert directory.apply({**message, "endpoints": [entry(A)]}).endpoints[0].started_ms is None


def test_unknown_status_is_not_ready() -> None:
    # Read as an error, one such entry would keep the whole list from us for good.
    directory = EndpointDirectory()
    directory.apply({"index": 1, "snapshot": True, "endpoints": [entry(A, "resting"), entry(B)]})
    assert [e.state for e in directory.entries.values()] == [EndpointState.DRAINING, EndpointState.READY]
