"""What a peer sends and the proxy has to hold is bounded: lines without an end, unfinished messages."""

from __future__ import annotations

import asyncio

import pytest

from client_proxy.api.events import Outcome
from client_proxy.proxy.errors import BadRequestError
from client_proxy.proxy.message_buffer import PARSE_CHUNK_BYTES
from client_proxy.proxy.request_parser import MAX_HEADER_BYTES, ParsedRequest, RequestParser
from tests.proxy.sockets import UNSAFE_CLASS, Client, Host, ReceivedRequest, proxy, run
from tests.proxy.test_front import encode_head
from tests.proxy.test_upstream import attempt_at

CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_HEAD = encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked")
LONG_CHUNK = b"a000\r\n" + b"x" * 40_960 + b"\r\n"  # longer than the limits on headers


class Requests:
    """Collects the requests of a parser."""

    def __init__(self) -> None:
        self.parsed: list[ParsedRequest] = []

    def continue_expected(self) -> None:
        pass

    def request_parsed(self, parsed: ParsedRequest) -> None:
        self.parsed.append(parsed)


def feed_all(parser: RequestParser, data: bytes) -> None:
    """Feed bytes in pieces of the size that a connection uses."""
    for at in range(0, len(data), PARSE_CHUNK_BYTES):
        parser.feed(data[at : at + PARSE_CHUNK_BYTES])


@pytest.mark.parametrize(
    "start",
    [
        b"1\r\nx\r\n0\r\nX-Check: ",  # a trailer line
        b"1\r\nx\r\n1;",  # a chunk extension
        LONG_CHUNK + b"0\r\n",  # the name of a trailer line
    ],
)
def test_response_line_that_never_ends_is_not_collected(start: bytes) -> None:
    # The library holds an incomplete line, so one server's answers took all proxies over their memory limit.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_RESPONSE + start + b"p" * 256 * 1024)  # and nothing more: the line stays open

    async def test() -> None:
        assert (await attempt_at(Host("h", answer), timeout_ms=2000.0)).outcome is Outcome.ERROR

    run(test())


@pytest.mark.parametrize("start", [b"1\r\nx\r\n0\r\nX-Check: ", b"1\r\nx\r\n1;", LONG_CHUNK + b"0\r\n"])
def test_request_line_that_never_ends_is_not_collected(start: bytes) -> None:
    # The library holds an incomplete line, up to the limit on the whole message: 17 times that on headers.
    parser = RequestParser(Requests())
    feed_all(parser, CHUNKED_HEAD + start + b"p" * 1024)
    with pytest.raises(BadRequestError) as raised:
        feed_all(parser, b"p" * (MAX_HEADER_BYTES + PARSE_CHUNK_BYTES))
    assert raised.value.status == 413


def test_trailer_after_a_long_body_is_within_the_limits() -> None:
    # The size of the body was counted as one of the trailer, and whole messages were turned away.
    async def answer(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_RESPONSE + LONG_CHUNK + b"0\r\nX-Check: 1\r\n\r\n")

    async def test() -> None:
        async with proxy(Host("h", answer)) as p:
            client = await Client.connect(p.port)
            client.writer.write(CHUNKED_HEAD + LONG_CHUNK + b"0\r\nX-Check: 1\r\n\r\n")
            status, _, body = await client.answer()
            assert (status, len(body)) == (200, 40_960)
            client.close()

    run(test())
