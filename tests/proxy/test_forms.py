"""Requests in every form that HTTP/1.1 and the protocol allow: whole, byte by byte, and pipelined.

Each gets one final response in order, and reaches an endpoint unchanged, also during a drain."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from client_proxy.api.events import EndpointState
from client_proxy.proxy.messages import ClientRequest
from client_proxy.proxy.requests import origin_form
from tests.proxy.sockets import (
    KEYED_CLASS,
    UNSAFE_CLASS,
    Client,
    Host,
    Json,
    ReceivedRequest,
    entry,
    http_response,
    proxy,
    run,
    settings_json,
    until,
)

SAFE_CLASS = "extract-check"
KEY = "5c0f6e1a"
BODY = b"form"
EXPIRES_MS = 60_000


def settings_without_timeouts() -> Json:
    """Settings with a class of each effect, and deadlines so long that only the test ends a request."""
    settings = settings_json()
    settings["categories"].append({"name": SAFE_CLASS, "effect": "retryable", "worth": 1.0})
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = float(EXPIRES_MS)
    return settings


def encode_request(number: int, start: str, *lines: str, body: bytes = BODY, with_ids: bool = True) -> bytes:
    """Encode a request with this start line, these header lines, and a unique trace id."""
    id_headers = (f"X-Trace-Id: t{number}", f"Idempotency-Key: {KEY}") if with_ids else ()
    head = [start, *id_headers, f"X-Expires-In-Ms: {EXPIRES_MS}", *lines]
    return "".join(f"{line}\r\n" for line in head).encode("latin-1") + b"\r\n" + body


def encode_keyed_request(
    number: int, *lines: str, body: bytes = BODY, target: str = "", with_ids: bool = True
) -> bytes:
    target = target or f"/{KEYED_CLASS}/7f3a?n={number}"
    return encode_request(number, f"POST {target} HTTP/1.1", *lines, body=body, with_ids=with_ids)


LENGTH = f"Content-Length: {len(BODY)}"


def list_forms() -> Iterator[tuple[str, bytes]]:
    """Yield pairs of a name and a keyed request with trace id `t1`, key `KEY` and body `BODY`."""
    yield "as shown", encode_keyed_request(1, LENGTH, "Host: app.svc")
    yield (
        "names in lower case",
        encode_keyed_request(1, LENGTH).lower().replace(b"post", b"POST").replace(b"http/", b"HTTP/"),
    )
    yield (
        "names in upper case",
        encode_keyed_request(
            1, f"X-TRACE-ID: t1\r\nIDEMPOTENCY-KEY: {KEY}\r\nCONTENT-LENGTH: 4", with_ids=False
        ),
    )
    yield (
        "no space before values",
        encode_keyed_request(1, f"X-Trace-Id:t1\r\nIdempotency-Key:{KEY}\r\n{LENGTH}", with_ids=False),
    )
    yield (
        "spaces and tabs round values",
        encode_keyed_request(
            1, f"X-Trace-Id: \t t1 \t\r\nIdempotency-Key:\t{KEY}  \r\nContent-Length:   4 ", with_ids=False
        ),
    )
    yield (
        "in another order",
        encode_keyed_request(1, f"{LENGTH}\r\nIdempotency-Key: {KEY}\r\nX-Trace-Id: t1", with_ids=False),
    )
    yield "after empty lines", b"\r\n\r\n" + encode_keyed_request(1, LENGTH)
    yield "with zeros before the length", encode_keyed_request(1, "Content-Length: 0004")
    yield "with empty headers", encode_keyed_request(1, LENGTH, "X-Empty:", "X-Blank:   ")
    yield (
        "with the further figures",
        encode_keyed_request(1, LENGTH, "X-Props: a=1,b=2.5", "X-Size-Hint: 900", "X-Customer: c"),
    )
    yield "kept alive by word", encode_keyed_request(1, LENGTH, "Connection: Keep-Alive")
    yield (
        "with headers of the connection",
        encode_keyed_request(1, LENGTH, "Connection: keep-alive, X-Hop", "X-Hop: 1"),
    )
    yield (
        "its own names for the connection",
        encode_keyed_request(1, LENGTH, "Connection: X-Trace-Id, Idempotency-Key"),
    )
    yield (
        "in chunks",
        encode_keyed_request(1, "Transfer-Encoding: chunked", body=b"2\r\nfo\r\n2\r\nrm\r\n0\r\n\r\n"),
    )
    yield (
        "in chunks with extensions and a trailer",
        encode_keyed_request(
            1,
            "transfer-encoding:  Chunked ",
            body=b'0001;a="b"\r\nf\r\n3\r\norm\r\n000\r\nX-Trace-Id: other\r\nX-Late: 1\r\n\r\n',
        ),
    )
    yield (
        "to a whole URL",
        encode_keyed_request(1, LENGTH, "Host: app.svc", target=f"http://app.svc/{KEYED_CLASS}/7f3a?n=1"),
    )


FORMS = dict(list_forms())


@pytest.mark.parametrize("piece", [1, 7, 100_000])
@pytest.mark.parametrize("form", FORMS)
def test_each_form_reaches_an_endpoint_unchanged(
    form: str, piece: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    encode = ClientRequest.encode
    sent: list[bytes] = []

    def record_encoding(self: ClientRequest, left_ms: float) -> bytes:
        sent.append(encode(self, left_ms))
        return sent[-1]

    monkeypatch.setattr(ClientRequest, "encode", record_encoding)

    async def test() -> None:
        host = Host("h")
        async with proxy(host, settings=settings_without_timeouts()) as p:
            client = await Client.connect(p.port)
            await send_in_pieces(client, FORMS[form], piece)
            assert (await client.answer())[0] == 200
            await send_in_pieces(
                client, encode_keyed_request(2, LENGTH), piece
            )  # the connection serves another request
            assert (await client.answer())[0] == 200
            first, second = host.received
            assert first.line == f"POST /{KEYED_CLASS}/7f3a?n=1 HTTP/1.1"
            assert (first.headers["x-trace-id"], first.headers["idempotency-key"]) == ("t1", KEY)
            assert (first.body, second.headers["x-trace-id"]) == (BODY, "t2")
            assert not {"x-hop", "x-late", "transfer-encoding"} & first.headers.keys()
            # An endpoint may treat white space around a value as a part of it.
            lines = sent[0].lower().split(b"\r\n")
            assert b"x-trace-id: t1" in lines
            assert b"idempotency-key: " + KEY.encode() in lines
            client.close()

    run(test())


async def send_in_pieces(client: Client, data: bytes, piece: int) -> None:
    """Send data in pieces, with a loop iteration of the proxy after each."""
    for at in range(0, len(data), piece):
        client.writer.write(data[at : at + piece])
        await asyncio.sleep(0)


@pytest.mark.parametrize("piece", [1, 1000, 1_000_000])
@pytest.mark.parametrize("close", [False, True], ids=["kept alive", "closed by the last"])
@pytest.mark.parametrize("drain", ["the busy host", "the idle host"])
def test_pipelined_requests_are_answered_in_order_during_a_drain(piece: int, close: bool, drain: str) -> None:
    # The draining endpoint finishes its request, and the other one gets all later requests.
    count, drained_at = 60 if piece > 1 else 12, 5

    async def echo(host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if len(order) == drained_at:
            await drained.wait()
        order.append(host.name)
        writer.write(http_response(200, received.headers["x-trace-id"].encode()))

    async def test() -> None:
        hosts = Host("a", echo), Host("b", echo)
        async with proxy(*hosts, settings=settings_without_timeouts()) as p:
            client = await Client.connect(p.port)
            data = b"".join(request_of_each_kind(number) for number in range(count))
            data += encode_keyed_request(count, LENGTH, "Connection: close") if close else b""
            sending = asyncio.create_task(send_in_pieces(client, data, piece))
            await until(lambda: len(order) == drained_at < sum(len(host.received) for host in hosts))
            busy, idle = sorted(hosts, key=lambda host: len(host.received) == order.count(host.name))
            drained_host = busy if drain == "the busy host" else idle
            p.registry.send_chunk(p.registry.change(entry(drained_host, "draining")))
            await until(lambda: p.directory.entries[drained_host.name].state is EndpointState.DRAINING)
            drained.set()
            bodies = [await client.answer() for _ in range(count + close)]
            await sending
            assert [(status, body) for status, _, body in bodies] == [
                (200, f"t{number}".encode()) for number in range(count + close)
            ]
            assert order[drained_at] == busy.name
            assert drained_host.name not in order[drained_at + 1 :]
            if close:
                assert bodies[-1][1]["connection"] == "close"
                assert await client.reader.read() == b""
            assert not p.engine.pending_count
            client.close()

    order: list[str] = []
    drained = asyncio.Event()
    run(test())


def request_of_each_kind(number: int) -> bytes:
    """Return a safe, a keyed or an unsafe request, in turn."""
    if number % 3 == 0:
        return encode_request(number, f"GET /{SAFE_CLASS}/7f3a HTTP/1.1", body=b"")
    if number % 3 == 1:
        return encode_keyed_request(number, LENGTH)
    return encode_request(
        number, f"POST /{UNSAFE_CLASS} HTTP/1.1", "Transfer-Encoding: chunked", body=b"4\r\nform\r\n0\r\n\r\n"
    )


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"/a/b?c", b"/a/b?c"),
        (b"http://h:1/a?c", b"/a?c"),
        (b"HTTPS://h/a", b"/a"),
        (b"http://h?c", b"/?c"),
        (b"http://h", b"/"),
        (b"/http://h/a", b"/http://h/a"),
        (b"*", b"*"),
    ],
)
def test_target_is_converted_to_its_origin_form(target: bytes, path: bytes) -> None:
    assert origin_form(target) == path
