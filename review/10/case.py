"""Case 10: discovery's answer to a call comes in small pieces, as its encoder makes them."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from review.stand_ins_2.case import Case, main
from review.stand_ins_2.client import Client, Request
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.host import Host
from review.stand_ins_2.proxy import ProxyProcess
from review.stand_ins_2.settings import small_deployment

Json = dict[str, Any]
LISTED = 3200  # entries of the whole list: sixteen times two hundred hosts
PROCESSES = 9  # addresses behind these entries
CALL_S = 2.0  # discovery answers a call after its turn, within the three seconds that a call may wait
CLIENT_CONNECTIONS = 6
PLAY_S = 20.0
LATE_LIMIT_S = 0.5  # a request whose answer comes later than this after its time is lost
EXPIRES_MS = {"extract-issue": 696, "entry-register": 870}
PAUSE_S = 0.05  # mean pause between an answer and the next request of a connection


class PiecewiseDiscovery(Discovery):
    """Discovery whose encoder writes each piece of a message as soon as it has made it, a chunk a piece."""

    def _tell(self, writer: asyncio.StreamWriter, message: Json | None) -> None:
        if message is None:
            super()._tell(writer, message)
            return
        pieces = json.JSONEncoder(separators=(",", ":")).iterencode(message)
        writer.write(b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in map(str.encode, pieces)))
        writer.write(b"1\r\n\n\r\n")


async def play(case: Case) -> bool:
    """Play the case; return whether the rule held."""
    dice = random.Random(59)

    async def after_its_turn(number: int) -> bool:
        await asyncio.sleep(CALL_S)
        return True

    hosts = [Host(f"p-{number}", case.record) for number in range(PROCESSES)]
    discovery = (PiecewiseDiscovery if case.trouble else Discovery)(case.record, after_its_turn)
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
    await proxy.start(known=discovery.whole_list() | {"index": 0})
    requests: list[Request] = []

    async def ask_on() -> None:
        client = Client(case.record, proxy.port)
        end_s = case.record.now_s() + PLAY_S
        while case.record.now_s() < end_s:
            name = "extract-issue" if dice.random() < 0.62 else "entry-register"
            requests.append(await client.ask(name, EXPIRES_MS[name]))
            await asyncio.sleep(dice.expovariate(1.0 / PAUSE_S))
        client.close()

    await asyncio.gather(*(ask_on() for _ in range(CLIENT_CONNECTIONS)))
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
            f"{request.class_name} {request.trace_id} could wait {request.expires_ms} ms; "
            + ("no answer within 10 s" if waited_s is None else f"answered after {waited_s} s")
        )
    return not lost


if __name__ == "__main__":
    main(__file__, play)
