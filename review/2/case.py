"""Some servers send some answers that never end: the last header line of a chunked answer goes on and on."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins.deployment import Deployment, crashes, lost_requests, run_case, trouble
from standins.http import response
from standins.server import Exchange, Server, answer_plainly

SECONDS = 30.0
SHARE = 0.2  # of the answers of the servers concerned
SERVERS = 1  # of nine
PIECE = b"p" * 65536
PIECE_S = 0.001  # between two pieces
MEMORY_MB = 88  # the pages allow limits of at most 192; the short days have some 80 to 96


async def answer_without_end(server: Server, exchange: Exchange, writer: asyncio.StreamWriter) -> None:
    """Answer; a share of the answers has a whole body and then a trailer that never ends."""
    if not trouble() or server.random.random() >= SHARE:
        await answer_plainly(server, exchange, writer)
        return
    exchange.answered = "200 that never ends"
    body = server.body_of(exchange)
    head = response(200, b"", server.load_report(), "Transfer-Encoding: chunked", length=False)
    writer.write(head + b"%x\r\n%b\r\n0\r\nX-Check: " % (len(body), body))
    asyncio.get_running_loop().create_task(go_on(server, exchange, writer))


async def go_on(server: Server, exchange: Exchange, writer: asyncio.StreamWriter) -> None:
    """Write the trailer until the connection ends."""
    sent = 0
    try:
        while not writer.is_closing():
            writer.write(PIECE)
            sent += len(PIECE)
            await writer.drain()
            await asyncio.sleep(PIECE_S)
    except ConnectionError:
        pass
    server.record.add("endless answer", server=server.name, trace_id=exchange.trace_id, trailer_bytes=sent)


async def script(deployment: Deployment) -> None:
    """Let the clients work."""
    for server in deployment.servers[:SERVERS]:
        server.answer = answer_without_end
    await asyncio.gather(*(client.run(SECONDS) for client in deployment.clients))


def judge(deployment: Deployment) -> list[str]:
    """Return lost requests and crashes."""
    return [*crashes(deployment), *lost_requests(deployment)]


if __name__ == "__main__":
    sys.exit(run_case(Deployment(Path(__file__).parent, memory_mb=MEMORY_MB), script, judge))
