"""Transfer of policy bodies over TCP.

The client sends a line with the body's digest in hexadecimal and reads until the end of the stream. It
accepts only content that has this digest, so it does not need to trust the server.
"""

from __future__ import annotations

import asyncio

from client_proxy.address import Address
from client_proxy.config.fleet import digest_of
from client_proxy.consensus.store import Store

MAX_BODY_BYTES = 1024 * 1024
MAX_REQUEST_BYTES = 256
MAX_CONCURRENT_REQUESTS = 32
TRANSFER_TIMEOUT_S = 2.0


async def fetch_body(address: Address, digest: str) -> bytes | None:
    """Returns the body with this digest, or None if it could not be fetched from the address."""
    try:
        async with asyncio.timeout(TRANSFER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_BODY_BYTES)
            try:
                writer.write(digest.encode() + b"\n")
                content = await _read_to_end(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return None
    return content if len(content) <= MAX_BODY_BYTES and digest_of(content) == digest else None


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Reads until the end of the stream, or until the content exceeds the size limit of a body."""
    content = await reader.read(MAX_BODY_BYTES + 1)
    while (more := await reader.read(MAX_BODY_BYTES + 1)) and len(content) <= MAX_BODY_BYTES:
        content += more
    return content


class BodyServer:
    """A TCP server for the bodies in a store."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._server: asyncio.Server | None = None
        self._open_requests = 0

    async def start(self, listen: Address) -> None:
        """Starts to listen on the address. Raises OSError if it cannot be bound."""
        self._server = await asyncio.start_server(self.serve, *listen, limit=MAX_REQUEST_BYTES)

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles the one request of a connection. The response is empty if the body is not stored here."""
        self._open_requests += 1
        try:
            if self._open_requests > MAX_CONCURRENT_REQUESTS:
                return
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                digest = (await reader.readline()).decode("latin-1").strip()
                content = self._store.body(digest) if digest.isalnum() else None
                if content is not None:
                    writer.write(content)
                    await writer.drain()
        except (OSError, TimeoutError, ValueError):
            pass  # The client disconnected, was too slow or sent no line; it will try another instance.
        finally:
            self._open_requests -= 1
            writer.close()
