"""A service of a chain, as a process: answers at once, or calls the next level's client proxy within what is
left of the deadline and passes on what that says.

    python -m benchmarks.scale.chain_service LISTEN... [--next HOST:PORT] [--fail] [--tally FILE]

With `--next` it is a level in the middle, else the leaf; `--fail`: the leaf answers 500. The leaf writes a
line of JSON for each call to the tally: the trace's first part, and what is left of the deadline in ms."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import sys
import time
from pathlib import Path

import uvloop

from benchmarks.scale.chain_http import Call, HttpClient, HttpError, read_call, write_answer

MARGIN_MS = 5.0  # kept back for the answer's way


class Service:
    def __init__(self, next_address: tuple[str, int] | None, fails: bool, tally: Path | None) -> None:
        self._client = HttpClient(*next_address) if next_address else None
        self._fails = fails
        self._tally = tally.open("a") if tally else None
        self._numbers = itertools.count()

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (call := await read_call(reader)) is not None:
                write_answer(writer, await self._answer(call))
                await writer.drain()
        except (HttpError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, call: Call) -> int:
        """The status of the answer."""
        if self._client is None:
            self._count(call)
            return 500 if self._fails else 200
        left_ms = call.expires_in_ms - 1000.0 * (time.monotonic() - call.read_s) - MARGIN_MS
        if left_ms <= 0:
            return 504
        # Danger: a repeat of this call reaches the next level with the same trace while that one is at it.
        trace = f"{call.trace.split('.')[0]}.{next(self._numbers)}"
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                return await self._client.call(trace, left_ms)
        except (TimeoutError, OSError, HttpError):
            return 504

    def _count(self, call: Call) -> None:
        if self._tally is not None:
            told = {"trace": call.trace.split(".")[0], "left_ms": round(call.expires_in_ms, 1)}
            self._tally.write(json.dumps(told) + "\n")
            self._tally.flush()


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def run(args: argparse.Namespace) -> None:
    service = Service(args.next, args.fail, args.tally)
    for host, port in args.listen:
        await asyncio.start_server(service.connection, host, port)
    await asyncio.Event().wait()


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("listen", nargs="+", type=_address)
    parser.add_argument("--next", type=_address)
    parser.add_argument("--fail", action="store_true")
    parser.add_argument("--tally", type=Path)
    uvloop.run(run(parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
