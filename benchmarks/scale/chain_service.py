"""Process of one service of a chain.

The leaf answers at once. Any other level calls the next level's client proxy within the rest of the deadline
and passes on the status of the response.

    python -m benchmarks.scale.chain_service LISTEN... [--next HOST:PORT] [--fail] [--tally FILE]

Without `--next` the service is the leaf. With `--fail` the leaf answers 500. The leaf writes a line of JSON
to the tally file for each call: the first part of the trace id and the rest of the deadline in ms."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import sys
import time
from pathlib import Path

import uvloop

from benchmarks.scale.chain_http import Call, HttpClient, HttpError, read_call, write_response

MARGIN_MS = 5.0  # part of the deadline reserved for the way back of the response


class Service:
    """Handles the calls of one level."""

    def __init__(self, next_address: tuple[str, int] | None, fails: bool, tally: Path | None) -> None:
        self._client = HttpClient(*next_address) if next_address else None
        self._fails = fails
        self._tally = tally.open("a") if tally else None
        self._numbers = itertools.count()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (call := await read_call(reader)) is not None:
                write_response(writer, await self._answer(call))
                await writer.drain()
        except (HttpError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, call: Call) -> int:
        """Returns the status to answer a call with."""
        if self._client is None:
            self._record(call)
            return 500 if self._fails else 200
        left_ms = call.expires_in_ms - 1000.0 * (time.monotonic() - call.read_s) - MARGIN_MS
        if left_ms <= 0:
            return 504
        # A number makes the trace id unique: a retry of this call could otherwise reach the next level with
        # the same id while the first attempt is still running there.
        trace = f"{call.trace.split('.')[0]}.{next(self._numbers)}"
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                return await self._client.call(trace, left_ms)
        except (TimeoutError, OSError, HttpError):
            return 504

    def _record(self, call: Call) -> None:
        if self._tally is not None:
            entry = {"trace": call.trace.split(".")[0], "left_ms": round(call.expires_in_ms, 1)}
            self._tally.write(json.dumps(entry) + "\n")
            self._tally.flush()


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def run(args: argparse.Namespace) -> None:
    service = Service(args.next, args.fail, args.tally)
    for host, port in args.listen:
        await asyncio.start_server(service.handle_connection, host, port)
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
