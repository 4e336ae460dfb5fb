"""Case 8: six in ten hosts of a large fleet are replaced within 7 s, and discovery tells each change."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from review.stand_ins_2.case import Case, main
from review.stand_ins_2.client import Client, Request
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.host import Host
from review.stand_ins_2.proxy import ProxyProcess
from review.stand_ins_2.settings import small_deployment

Json = dict[str, Any]
LISTED = 3200  # entries of the whole list: sixteen times two hundred hosts
REPLACED = 1920  # six in ten
REPLACE_S = 7.0  # all of them begin to drain within this time, evenly
DRAIN_S = 1.0  # a host that drains is gone, and its successor is ready, after so long
PROCESSES = 9  # addresses behind the entries
CLIENT_CONNECTIONS = 6
BEFORE_S = 5.0  # play before the first change
PLAY_S = 30.0
LATE_LIMIT_S = 0.5  # a request whose answer comes later than this after its time is lost
EXPIRES_MS = {"extract-issue": 696, "entry-register": 870}
PAUSE_S = 0.05  # mean pause between an answer and the next request of a connection


async def replace(case: Case, discovery: Discovery, entries: list[Json]) -> None:
    """Replace hosts one after the other; discovery tells each change when it happens, a line a change."""
    loop = asyncio.get_running_loop()

    def successor(entry: Json, number: int) -> None:
        discovery.change({**entry, "status": "gone"})
        discovery.change({**entry, "name": f"r-{number:08x}", "since_ms": int(time.time() * 1000)})

    start_s = loop.time()
    for number, entry in enumerate(entries):
        await asyncio.sleep(max(0.0, start_s + number * REPLACE_S / len(entries) - loop.time()))
        discovery.change({**entry, "status": "draining"})
        loop.call_later(DRAIN_S, successor, entry, number)
    case.record.say(f"{len(entries)} hosts began to drain within {loop.time() - start_s:.1f} s")


async def play(case: Case) -> bool:
    """Play the case; return whether the rule held."""
    dice = random.Random(59)
    hosts = [Host(f"p-{number}", case.record) for number in range(PROCESSES)]
    discovery = Discovery(case.record)
    await discovery.start()
    for host in hosts:
        await host.start()
    settings = small_deployment(proxies=200)
    entries = []
    for number in range(LISTED):
        host = hosts[number % PROCESSES]
        zone = settings["zones"][number // 8 % 3]
        entries.append({**host.entry(), "name": f"s-{number:08x}", "group": number // 8, "zone": zone})
    discovery.change(*entries)
    proxy = ProxyProcess(case.record, case.folder, "n0", settings, discovery.port)
    case.proxies.append(proxy)
    await proxy.start()
    requests: list[Request] = []

    async def ask_on() -> None:
        client = Client(case.record, proxy.port)
        end_s = case.record.now_s() + PLAY_S
        while case.record.now_s() < end_s:
            name = "extract-issue" if dice.random() < 0.62 else "entry-register"
            requests.append(await client.ask(name, EXPIRES_MS[name]))
            await asyncio.sleep(dice.expovariate(1.0 / PAUSE_S))
        client.close()

    async def trouble() -> None:
        await asyncio.sleep(BEFORE_S)
        if case.trouble:
            await replace(case, discovery, dice.sample(entries, REPLACED))

    await asyncio.gather(trouble(), *(ask_on() for _ in range(CLIENT_CONNECTIONS)))
    lost = [
        request
        for request in requests
        if request.answered_s is None
        or request.answered_s - request.sent_s > request.expires_ms / 1000.0 + LATE_LIMIT_S
    ]
    case.record.say(f"{len(requests)} requests, {sum(r.status == 200 for r in requests)} served")
    for request in lost:
        waited_s = None if request.answered_s is None else round(request.answered_s - request.sent_s, 2)
        case.record.say(
            f"{request.class_name} {request.trace_id} sent at {request.sent_s:.2f} s could wait "
            f"{request.expires_ms} ms; "
            + ("no answer within 10 s" if waited_s is None else f"answered after {waited_s} s")
        )
    return not lost


if __name__ == "__main__":
    main(__file__, play)
