"""Lists that are long or come in small pieces: requests are served meanwhile, and nothing is lost or held."""

from __future__ import annotations

import asyncio
import json
import tracemalloc
from typing import Any

import pytest

from client_proxy.endpoint_list import ENTRIES_PER_STEP, EndpointList, read_list, read_list_text
from client_proxy.proxy.endpoint_watch import MAX_FRAMING_BYTES, PARSE_STEP_BYTES, EndpointWatch
from client_proxy.proxy.json_lines import JsonTexts
from tests.proxy.sockets import Client, Host, Json, entry, proxy, run, until

LISTED = 3200  # entries of the largest list that the pages name


def list_message(host: Host, count: int) -> Json:
    entries = [{**entry(host), "name": f"s-{number:05d}"} for number in range(count)]
    return {"index": 41, "snapshot": True, "endpoints": entries}


def chunks(message: Json) -> bytes:
    """A message as an encoder makes it that writes each name, value and separator as a chunk."""
    pieces = json.JSONEncoder().iterencode(message)
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece.encode()) for piece in pieces) + b"1\r\n\n\r\n"


def test_requests_are_answered_while_a_long_list_comes_in_small_pieces() -> None:
    # Guards against review case 10: each piece had the whole line so far copied and searched again, and all
    # pieces were handled without a pause, so no request was answered for the rest of the run.
    async def test() -> None:
        host = Host("a")
        async with proxy(host) as p:
            p.registry.watches[-1].write(chunks(list_message(host, LISTED)))
            client = await Client.connect(p.port)
            while len(p.directory.entries) < LISTED:
                assert (await client.ask())[0] == 200
            assert (await client.ask())[0] == 200
            client.close()

    run(test())


class ScriptedTransport(asyncio.Transport):
    """A transport that only keeps whether it reads."""

    reading = True

    def is_reading(self) -> bool:
        return self.reading

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def abort(self) -> None:
        self.reading = False


class WatchRecorder:
    """A watch without a socket, and what it passes on."""

    def __init__(self) -> None:
        self.messages: list[EndpointList | None] = []
        self.ends: list[tuple[str, bool]] = []
        self.transport = ScriptedTransport()
        self.watch = EndpointWatch(
            lambda text: read_list_text(text, 0.0),
            self._message,
            lambda reason, unreadable: self.ends.append((reason, unreadable)),
        )
        self.watch.connection_made(self.transport)
        self.watch.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def _message(self, message: EndpointList | None) -> bool:
        self.messages.append(message)
        return False


def test_a_step_parses_a_bounded_number_of_bytes() -> None:
    # Guards against review case 10: a read full of small pieces was handled in one iteration of the loop.
    async def test() -> None:
        recorder = WatchRecorder()
        data = chunks(list_message(Host("a", port=1), 400))
        recorder.watch.data_received(data)
        iterations = 0
        while not recorder.messages:
            assert not recorder.transport.reading  # what comes meanwhile stays with the kernel
            await asyncio.sleep(0)
            iterations += 1
        assert iterations >= len(data) // PARSE_STEP_BYTES
        await until(lambda: recorder.transport.reading)
        assert recorder.messages[0] == read_list(list_message(Host("a", port=1), 400), 0.0)

    run(test())


def test_a_step_passes_on_a_bounded_number_of_changes() -> None:
    async def test() -> None:
        recorder = WatchRecorder()
        line = json.dumps({"index": 1, "endpoints": [{"name": "a", "address": "1.1.1.1:1"}]}).encode() + b"\n"
        data = line * (3 * ENTRIES_PER_STEP)
        recorder.watch.data_received(b"%x\r\n%b\r\n" % (len(data), data))
        passed_on = 0
        while len(recorder.messages) < 3 * ENTRIES_PER_STEP:
            assert len(recorder.messages) - passed_on <= ENTRIES_PER_STEP
            passed_on = len(recorder.messages)
            await asyncio.sleep(0)

    run(test())


@pytest.mark.parametrize("how", ["connection", "response", "unreadable"])
def test_what_came_before_the_end_of_a_watch_is_passed_on(how: str) -> None:
    # A drain that discovery has written counts as known, also when the watch ends right behind it.
    async def test() -> None:
        recorder = WatchRecorder()
        data = chunks(list_message(Host("a", port=1), 400))
        if how == "response":
            data += b"0\r\n\r\n"
        elif how == "unreadable":
            data += b"2\r\n}\n\r\n"
        recorder.watch.data_received(data)
        if how == "connection":
            recorder.watch.connection_lost(None)
        await until(lambda: bool(recorder.ends))
        assert [len(message.endpoints) for message in recorder.messages if message] == [400]
        assert [unreadable for _, unreadable in recorder.ends] == [how == "unreadable"]

    run(test())


def test_an_endless_head_of_discovery_ends_the_watch() -> None:
    async def test() -> None:
        recorder = WatchRecorder()
        recorder.watch.data_received(b"0\r\nX: " + b"x" * (MAX_FRAMING_BYTES + PARSE_STEP_BYTES))
        await until(lambda: bool(recorder.ends))

    run(test())


def read_at_once(text: bytes) -> EndpointList:
    steps = read_list_text(text, 0.0)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: EndpointList = end.value
            return result


@pytest.mark.parametrize("indent", [None, 0, 4])
def test_a_text_is_read_as_the_message_that_it_encodes(indent: int | None) -> None:
    message: dict[str, Any] = {"new": {"a": ["]}"]}, **list_message(Host("a", port=1), 300)}
    text = json.dumps(message, indent=indent).encode()
    assert read_at_once(text) == read_list(message, 0.0)


@pytest.mark.parametrize(
    "text",
    [
        "{}",
        "[]",
        '{"index": 1}',
        '{"endpoints": []}',
        '{"index": 1, "endpoints": [}',
        '{"index": 1, "endpoints": [],}',
        '{"index": 1, "endpoints": []} 2',
        '{"index": 1, "endpoints": {}}',
        '{"index": 1, "endpoints": [7]}',
        '{"index": 1, "endpoints": [{"name": "a"}]}',
        '{"index": 1, "endpoints": [' + "[" * 5000 + "]" * 5000 + "]}",
        '{"index": 1, "endpoints": [{"name": "' + "a" * 5000 + '", "address": "1.1.1.1:1"}]}',
        "\ud800",
    ],
)
def test_a_text_that_is_no_list_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match=r".") as raised:
        read_at_once(text.encode("utf-8", "surrogatepass"))
    assert "\n" not in str(raised.value)


def test_a_message_of_small_values_takes_little_more_memory_than_its_text() -> None:
    # Decoded as a whole, each empty object of three bytes would take over sixty.
    text = b'{"index": 1, "endpoints": [' + b"{}," * 200_000 + b"{}]}"
    tracemalloc.start()
    try:
        with pytest.raises(ValueError, match="endpoints"):
            read_at_once(text)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 2 * len(text)


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_strings_with_brackets_and_escapes_are_no_structure(size: int) -> None:
    text = json.dumps({"a\\": '}]"\\', "b": ["\\\\", "{"], "c": "\u2028"}).encode()
    texts = JsonTexts(1000)
    stream = text + b"\n\n"
    parts = [stream[at : at + size] for at in range(0, len(stream), size)]
    assert [found for part in parts for found in texts.feed(part)] == [text, None]


def test_a_line_break_in_a_string_is_an_error() -> None:
    with pytest.raises(ValueError, match="line break"):
        list(JsonTexts(1000).feed(b'{"a": "\n'))
