"""Bad clients stop in the middle of a request and stay; the proxy beside them may not run out of memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins.deployment import Deployment, crashes, run_case, trouble

BEFORE_S, AFTER_S = 3.0, 8.0
BAD_CLIENTS = 48
MEMORY_MB = 88  # the pages allow limits of at most 192; the short days have some 80 to 96
STAY_S = 3.0  # the time in which bad clients are owed their error or close
# A body of 64 KiB in small chunks, but for its last ones: 224 KiB on the wire.
PIECES = b"2\r\nab\r\n" * 32700


async def stop_in_the_middle(deployment: Deployment, number: int) -> None:
    """Send the greater part of a request, and wait for the error or close."""
    head = (
        f"POST /extract-issue/bad-{number} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: bad{number:013x}\r\n"
        f"X-Expires-In-Ms: 700\r\nIdempotency-Key: bad-{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.proxies[0].port)
        writer.write(head.encode() + PIECES)
        deployment.record.add("bad client stops", number=number)
        answer = await asyncio.wait_for(reader.read(200), STAY_S)
        deployment.record.add("bad client got", number=number, answer=answer[:30].decode("latin-1"))
        writer.close()
    except (OSError, TimeoutError) as error:
        deployment.record.add("bad client got", number=number, answer=repr(error))


async def script(deployment: Deployment) -> None:
    """Let the clients work; after some seconds the bad ones come to the first proxy."""
    seconds = BEFORE_S + STAY_S + AFTER_S
    work = [asyncio.create_task(client.run(seconds)) for client in deployment.clients]
    await asyncio.sleep(BEFORE_S)
    if trouble():
        await asyncio.gather(*(stop_in_the_middle(deployment, number) for number in range(BAD_CLIENTS)))
    await asyncio.gather(*work)


if __name__ == "__main__":
    sys.exit(run_case(Deployment(Path(__file__).parent, memory_mb=MEMORY_MB), script, crashes))
