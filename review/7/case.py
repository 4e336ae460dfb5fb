"""Case 7: many bad clients send much at once and go."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from pathlib import Path

from review.stand_ins_2.case import Case, main
from review.stand_ins_2.client import Client, Request, encode, new_trace_id
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.host import Host
from review.stand_ins_2.proxy import PROXY_HOST, ProxyProcess
from review.stand_ins_2.settings import small_deployment

HOSTS = 9
MEMORY_MB = 192  # the most that the pages give a client proxy
SOCKETS = 1024
CLIENT_CONNECTIONS = 6  # of sound clients
BAD_CLIENTS = 500
REQUESTS_AT_ONCE = 33  # of each bad client
HEADER_LINES = 120  # further ones of each request of a bad client
BEFORE_S = 3.0  # play before the bad clients come
PLAY_S = 12.0
LOOK_S = 0.02  # the platform looks at the memory so often
EXPIRES_MS = {"extract-issue": 696, "entry-register": 870}
PAUSE_S = 0.05  # mean pause between an answer and the next request of a connection


def resident_mb(pid: int) -> float:
    """Return the memory of a process as the system counts it, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next((int(line.split()[1]) / 1024.0 for line in lines if line.startswith("VmRSS")), 0.0)


async def send_and_go(case: Case, port: int) -> None:
    """Send requests at once, and close the connection without reading an answer."""
    lines = "".join(f"X-{number}: 1\r\n" for number in range(HEADER_LINES)).encode()
    requests = [
        encode("entry-register", new_trace_id(), EXPIRES_MS["entry-register"])
        for _ in range(REQUESTS_AT_ONCE)
    ]
    data = b"".join(request.replace(b"Host:", lines + b"Host:", 1) for request in requests)
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(PROXY_HOST, port)
        writer.write(data)
        await writer.drain()
        writer.close()
        case.record.add(f"a bad client has sent {len(data)} bytes and goes")


async def watch_memory(case: Case, proxy: ProxyProcess) -> float:
    """Kill the client proxy once it is over its memory, as the platform does; return the most seen, in MB."""
    most_mb = 0.0
    with contextlib.suppress(OSError):  # the process has ended
        while proxy.exit_code is None:
            now_mb = resident_mb(proxy.pid)
            if now_mb > most_mb + 5.0:
                case.record.add(f"the client proxy has {now_mb:.0f} MB")
            most_mb = max(most_mb, now_mb)
            if now_mb > MEMORY_MB:
                proxy.signal(signal.SIGKILL)
                break
            await asyncio.sleep(LOOK_S)
    return most_mb


async def play(case: Case) -> bool:
    """Play the case; return whether the rule held."""
    dice = random.Random(59)
    hosts = [
        Host(f"s-{number}", case.record, zone=f"hall-{number % 3}", group=number % 3)
        for number in range(HOSTS)
    ]
    discovery = Discovery(case.record)
    await discovery.start()
    for host in hosts:
        await host.start()
    discovery.change(*[host.entry() for host in hosts])
    proxy = ProxyProcess(case.record, case.folder, "n0", small_deployment(), discovery.port)
    case.proxies.append(proxy)
    await proxy.start(limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    platform = asyncio.create_task(watch_memory(case, proxy))
    requests: list[Request] = []

    async def ask_on() -> None:
        client = Client(case.record, proxy.port)
        end_s = case.record.now_s() + PLAY_S
        while case.record.now_s() < end_s and proxy.exit_code is None:
            name = "extract-issue" if dice.random() < 0.62 else "entry-register"
            with contextlib.suppress(OSError):  # the client proxy has been killed
                requests.append(await client.ask(name, EXPIRES_MS[name]))
            await asyncio.sleep(dice.expovariate(1.0 / PAUSE_S))
        client.close()

    async def trouble() -> None:
        await asyncio.sleep(BEFORE_S)
        if case.trouble:
            await asyncio.gather(*(send_and_go(case, proxy.port) for _ in range(BAD_CLIENTS)))

    await asyncio.gather(trouble(), *(ask_on() for _ in range(CLIENT_CONNECTIONS)))
    platform.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        case.record.say(
            f"the client proxy went over {MEMORY_MB} MB: it had {await platform:.0f} MB, and was killed"
        )
    unanswered = sum(request.answered_s is None for request in requests)
    case.record.say(
        f"{len(requests)} requests of sound clients, {sum(r.status == 200 for r in requests)} served, "
        f"{unanswered} without an answer"
    )
    return proxy.exit_code is None


if __name__ == "__main__":
    main(__file__, play)
