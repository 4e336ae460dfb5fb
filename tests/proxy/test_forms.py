"""Requests in every form that HTTP/1.1 and the protocol allow, whole, byte by byte and many at once.

Each gets one final answer, in its turn, and reaches a host as it was meant, also while a host is drained."""

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
    http,
    proxy,
    run,
    settings_json,
    until,
)

SAFE_CLASS = "extract-check"
KEY = "5c0f6e1a"
BODY = b"form"
EXPIRES_MS = 60_000


def patient() -> Json:
    """Settings with a class of each effect, by which nothing but the test ends a request."""
    settings = settings_json()
    settings["categories"].append({"name": SAFE_CLASS, "effect": "retryable", "worth": 1.0})
    for cls in settings["categories"]:
        cls["aim_ms"] = cls["deadline_ms"] = float(EXPIRES_MS)
    return settings


def worded(number: int, start: str, *lines: str, body: bytes = BODY, named: bool = True) -> bytes:
    """A request in these words, with an id of its own."""
    own = (f"X-Trace-Id: t{number}", f"Idempotency-Key: {KEY}") if named else ()
    head = [start, *own, f"X-Expires-In-Ms: {EXPIRES_MS}", *lines]
    return "".join(f"{line}\r\n" for line in head).encode("latin-1") + b"\r\n" + body


def keyed(number: int, *lines: str, body: bytes = BODY, target: str = "", named: bool = True) -> bytes:
    target = target or f"/{KEYED_CLASS}/7f3a?n={number}"
    return worded(number, f"POST {target} HTTP/1.1", *lines, body=body, named=named)


LENGTH = f"Content-Length: {len(BODY)}"


def forms() -> Iterator[tuple[str, bytes]]:
    """By name. Each is one keyed request with the id `t1`, the key `KEY` and the body `BODY`."""
    yield "as shown", keyed(1, LENGTH, "Host: app.svc")
    yield (
        "names in lower case",
        keyed(1, LENGTH).lower().replace(b"post", b"POST").replace(b"http/", b"HTTP/"),
    )
    yield (
        "names in upper case",
        keyed(1, f"X-TRACE-ID: t1\r\nIDEMPOTENCY-KEY: {KEY}\r\nCONTENT-LENGTH: 4", named=False),
    )
    yield (
        "no space before values",
        keyed(1, f"X-Trace-Id:t1\r\nIdempotency-Key:{KEY}\r\n{LENGTH}", named=False),
    )
    yield (
        "spaces and tabs round values",
        keyed(1, f"X-Trace-Id: \t t1 \t\r\nIdempotency-Key:\t{KEY}  \r\nContent-Length:   4 ", named=False),
    )
    yield "in another order", keyed(1, f"{LENGTH}\r\nIdempotency-Key: {KEY}\r\nX-Trace-Id: t1", named=False)
    yield "after empty lines", b"\r\n\r\n" + keyed(1, LENGTH)
    yield "with zeros before the length", keyed(1, "Content-Length: 0004")
    yield "with empty headers", keyed(1, LENGTH, "X-Empty:", "X-Blank:   ")
    yield (
        "with the further figures",
        keyed(1, LENGTH, "X-Props: a=1,b=2.5", "X-Size-Hint: 900", "X-Customer: c"),
    )
    yield "kept alive by word", keyed(1, LENGTH, "Connection: Keep-Alive")
    yield "with headers of the connection", keyed(1, LENGTH, "Connection: keep-alive, X-Hop", "X-Hop: 1")
    yield "its own names for the connection", keyed(1, LENGTH, "Connection: X-Trace-Id, Idempotency-Key")
    yield "in chunks", keyed(1, "Transfer-Encoding: chunked", body=b"2\r\nfo\r\n2\r\nrm\r\n0\r\n\r\n")
    yield (
        "in chunks with extensions and a trailer",
        keyed(
            1,
            "transfer-encoding:  Chunked ",
            body=b'0001;a="b"\r\nf\r\n3\r\norm\r\n000\r\nX-Trace-Id: other\r\nX-Late: 1\r\n\r\n',
        ),
    )
    yield "to a whole URL", keyed(1, LENGTH, "Host: app.svc", target=f"http://app.svc/{KEYED_CLASS}/7f3a?n=1")


FORMS = dict(forms())


@pytest.mark.parametrize("piece", [1, 7, 100_000])
@pytest.mark.parametrize("form", FORMS)
def test_each_form_reaches_a_host_as_it_was_meant(
    form: str, piece: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    encode = ClientRequest.encode
    sent: list[bytes] = []

    def recorded(self: ClientRequest, left_ms: float) -> bytes:
        sent.append(encode(self, left_ms))
        return sent[-1]

    monkeypatch.setattr(ClientRequest, "encode", recorded)

    async def test() -> None:
        host = Host("h")
        async with proxy(host, settings=patient()) as p:
            client = await Client.connect(p.port)
            await send_in_pieces(client, FORMS[form], piece)
            assert (await client.answer())[0] == 200
            await send_in_pieces(client, keyed(2, LENGTH), piece)  # the connection is fit for another
            assert (await client.answer())[0] == 200
            first, second = host.received
            assert first.line == f"POST /{KEYED_CLASS}/7f3a?n=1 HTTP/1.1"
            assert (first.headers["x-trace-id"], first.headers["idempotency-key"]) == ("t1", KEY)
            assert (first.body, second.headers["x-trace-id"]) == (BODY, "t2")
            assert not {"x-hop", "x-late", "transfer-encoding"} & first.headers.keys()
            # A host may take every byte of a value for a part of it.
            lines = sent[0].lower().split(b"\r\n")
            assert b"x-trace-id: t1" in lines
            assert b"idempotency-key: " + KEY.encode() in lines
            client.close()

    run(test())


async def send_in_pieces(client: Client, data: bytes, piece: int) -> None:
    """Each piece is a segment of its own, and the proxy's loop turns in between."""
    for at in range(0, len(data), piece):
        client.writer.write(data[at : at + piece])
        await asyncio.sleep(0)


@pytest.mark.parametrize("piece", [1, 1000, 1_000_000])
@pytest.mark.parametrize("close", [False, True], ids=["kept alive", "closed by the last"])
@pytest.mark.parametrize("drain", ["the busy host", "the idle host"])
def test_many_at_once_are_answered_in_order_with_a_drain_in_the_middle(
    piece: int, close: bool, drain: str
) -> None:
    # The host that is drained goes on answering, and the other gets what comes from then on.
    count, drained_at = 60 if piece > 1 else 12, 5

    async def echo(host: Host, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if len(order) == drained_at:
            await drained.wait()
        order.append(host.name)
        writer.write(http(200, got.headers["x-trace-id"].encode()))

    async def test() -> None:
        hosts = Host("a", echo), Host("b", echo)
        async with proxy(*hosts, settings=patient()) as p:
            client = await Client.connect(p.port)
            data = b"".join(one_of_each(number) for number in range(count))
            data += keyed(count, LENGTH, "Connection: close") if close else b""
            sending = asyncio.create_task(send_in_pieces(client, data, piece))
            await until(lambda: len(order) == drained_at < sum(len(host.received) for host in hosts))
            busy, idle = sorted(hosts, key=lambda host: len(host.received) == order.count(host.name))
            leaves = busy if drain == "the busy host" else idle
            p.registry.send_chunk(p.registry.change(entry(leaves, "draining")))
            await until(lambda: p.directory.entries[leaves.name].state is EndpointState.DRAINING)
            drained.set()
            bodies = [await client.answer() for _ in range(count + close)]
            await sending
            assert [(status, body) for status, _, body in bodies] == [
                (200, f"t{number}".encode()) for number in range(count + close)
            ]
            assert order[drained_at] == busy.name
            assert leaves.name not in order[drained_at + 1 :]
            if close:
                assert bodies[-1][1]["connection"] == "close"
                assert await client.reader.read() == b""
            assert not p.engine.pending_count
            client.close()

    order: list[str] = []
    drained = asyncio.Event()
    run(test())


def one_of_each(number: int) -> bytes:
    """Requests of the three effects in turn."""
    if number % 3 == 0:
        return worded(number, f"GET /{SAFE_CLASS}/7f3a HTTP/1.1", body=b"")
    if number % 3 == 1:
        return keyed(number, LENGTH)
    return worded(
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
def test_the_path_of_a_whole_url(target: bytes, path: bytes) -> None:
    assert origin_form(target) == path
