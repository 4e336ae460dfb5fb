"""Case 7: hosts follow some answers with a second one, some milliseconds late."""

from __future__ import annotations

import asyncio
import random

from review.stand_ins_2.case import Case, main
from review.stand_ins_2.client import Client, Request
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.host import Host, own_body
from review.stand_ins_2.http import Message, response
from review.stand_ins_2.proxy import ProxyProcess
from review.stand_ins_2.settings import small_deployment

HOSTS = 9
CLIENT_CONNECTIONS = 12
PLAY_S = 30.0
SECOND_SHARE = 0.1  # of the answers have a second one behind them
SECOND_LATE_S = 0.003  # the second answer comes so much later
EXPIRES_MS = {"extract-issue": 696, "entry-register": 870}
PAUSE_S = 0.02  # mean pause between an answer and the next request of a connection


async def play(case: Case) -> bool:
    """Play the case; return whether the rule held."""
    dice = random.Random(59)
    twice: set[str] = set()

    async def answer(host: Host, message: Message, writer: asyncio.StreamWriter) -> bool:
        body = own_body(host, message)
        writer.write(response(200, body, host.load_report()))
        if case.trouble and dice.random() < SECOND_SHARE:
            await writer.drain()
            await asyncio.sleep(SECOND_LATE_S)
            writer.write(response(200, body, host.load_report()))
            twice.add(message.headers["x-trace-id"])
            case.record.add(f"host {host.name} answers {message.headers['x-trace-id']} a second time")
        return True

    hosts = [
        Host(f"s-{number}", case.record, zone=f"hall-{number % 3}", group=number % 3, answer=answer)
        for number in range(HOSTS)
    ]
    discovery = Discovery(case.record)
    await discovery.start()
    for host in hosts:
        await host.start()
    discovery.change(*[host.entry() for host in hosts])
    proxy = ProxyProcess(case.record, case.folder, "n0", small_deployment(), discovery.port)
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

    await asyncio.gather(*(ask_on() for _ in range(CLIENT_CONNECTIONS)))
    served = [request for request in requests if request.status == 200]
    foreign = [request for request in served if not request.body.decode().endswith(request.trace_id)]
    case.record.say(
        f"{len(requests)} requests, {len(served)} served, {len(twice)} answered a second time by their host"
    )
    for request in foreign:
        case.record.say(f"{request.class_name} {request.trace_id} was served: {request.body.decode()}")
    return not foreign


if __name__ == "__main__":
    main(__file__, play)
