"""The program with few descriptors, all client ones of which idle clients use while discovery is down."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
import sys
from pathlib import Path

from tests.proxy.sockets import Host, Registry, entry, run, start_process, until
from tests.proxy.test_program import connect_with_retry, free_port, write_config

SOCKETS = 150
CLIENTS = 2 * SOCKETS


def test_idle_clients_leave_descriptors_for_endpoints_and_discovery(tmp_path: Path) -> None:
    # Discovery starts only once more clients have connected than there are descriptors, and they keep coming.
    async def test() -> None:
        host, port, discovery = await Host("h").start(), free_port(), free_port()
        env = write_config(
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
        first = await connect_with_retry(port)
        closed_counts = [0] * CLIENTS

        async def reconnect_and_stay_idle(number: int) -> None:
            """Half of the clients send a readiness probe, half nothing; a closed client connects again."""
            loop = asyncio.get_running_loop()
            while True:
                with contextlib.suppress(ConnectionError), socket.socket() as client:
                    client.setblocking(False)
                    await loop.sock_connect(client, ("127.0.0.1", port))
                    if number % 2:
                        await loop.sock_sendall(client, b"GET /ready HTTP/1.1\r\n\r\n")
                    while await loop.sock_recv(client, 1024):
                        pass
                closed_counts[number] += 1

        idle_clients = [asyncio.create_task(reconnect_and_stay_idle(number)) for number in range(CLIENTS)]
        # By then more clients have connected than there are descriptors.
        await until(lambda: sum(closed_counts) >= CLIENTS)
        registry = Registry(port=discovery)
        registry.server = await asyncio.start_server(registry._serve, "127.0.0.1", discovery)
        await until(lambda: bool(registry.watches))
        registry.send_chunk(registry.change(entry(host), full=True))
        served = 0
        while served < 20:
            active_client = await connect_with_retry(port)
            # The proxy may close an idle connection just as a request is sent; the client reconnects then.
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                served += (await active_client.ask())[0] == 200
            active_client.close()
        assert len(host.received) >= 20
        assert process.returncode is None
        process.terminate()
        _, log = await process.communicate()
        assert process.returncode == 0 and b"Traceback" not in log, log
        first.close()
        for task in idle_clients:
            task.cancel()
        await asyncio.gather(*idle_clients, return_exceptions=True)
        host.stop()
        registry.stop()

    run(test())
