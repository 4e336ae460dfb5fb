"""The whole program with few descriptors: clients that only rest fill theirs while discovery is down."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
import sys
from pathlib import Path

from tests.proxy.sockets import Host, Registry, entry, run, start_process, until
from tests.proxy.test_program import connected, free_port, written

SOCKETS = 150
CLIENTS = 2 * SOCKETS


def test_clients_that_rest_leave_hosts_and_discovery_their_descriptors(tmp_path: Path) -> None:
    # Discovery comes up only when many more have connected than there is room for, and they go on coming.
    async def test() -> None:
        host, port, discovery = await Host("h").start(), free_port(), free_port()
        env = written(
            tmp_path,
            listen=f"127.0.0.1:{port}",
            discovery=f"127.0.0.1:{discovery}",
            limits={"sockets": SOCKETS},
        )
        process = await start_process(
            sys.executable, "-m", "client_proxy.proxy", "--operators", "deploy/platform.toml", env=env,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)),
        )  # fmt: skip
        first = await connected(port)
        ended = [0] * CLIENTS

        async def rest(number: int) -> None:
            """Half of them ask whether it is ready, half say nothing; who is ended comes again."""
            loop = asyncio.get_running_loop()
            while True:
                with contextlib.suppress(ConnectionError), socket.socket() as client:
                    client.setblocking(False)
                    await loop.sock_connect(client, ("127.0.0.1", port))
                    if number % 2:
                        await loop.sock_sendall(client, b"GET /ready HTTP/1.1\r\n\r\n")
                    while await loop.sock_recv(client, 1024):
                        pass
                ended[number] += 1

        resting = [asyncio.create_task(rest(number)) for number in range(CLIENTS)]
        await until(lambda: sum(ended) >= CLIENTS)  # many more have come than there is room for
        registry = Registry(port=discovery)
        registry.server = await asyncio.start_server(registry._serve, "127.0.0.1", discovery)
        await until(lambda: bool(registry.watches))
        registry.send_chunk(registry.change(entry(host), full=True))
        served = 0
        while served < 20:
            asking = await connected(port)
            # Crossed by its end, as a client between requests may be, it comes again.
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                served += (await asking.ask())[0] == 200
            asking.close()
        assert len(host.received) >= 20
        assert process.returncode is None
        process.terminate()
        _, log = await process.communicate()
        assert process.returncode == 0 and b"Traceback" not in log, log
        first.close()
        for each in resting:
            each.cancel()
        await asyncio.gather(*resting, return_exceptions=True)
        host.stop()
        registry.stop()

    run(test())
