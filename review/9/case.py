"""Case 9: hosts end some of their answers with the end of the connection instead of a stated length."""

from __future__ import annotations

import asyncio
import random

from review.stand_ins_2.case import Case, main
from review.stand_ins_2.client import Client, Request
from review.stand_ins_2.discovery import Discovery
from review.stand_ins_2.host import Host, own_body
from review.stand_ins_2.http import Message
from review.stand_ins_2.proxy import ProxyProcess
from review.stand_ins_2.settings import small_deployment

HOSTS = 9
CLIENT_CONNECTIONS = 6
PLAY_S = 20.0
NO_LENGTH_SHARE = 0.1  # of the answers state no length
LEAST_FORWARDED_SHARE = 0.5  # of the whole answers with no length
EXPIRES_MS = {"extract-issue": 696, "entry-register": 870}
PAUSE_S = 0.05  # mean pause between an answer and the next request of a connection


async def play(case: Case) -> bool:
    """Play the case; return whether the rule held."""
    dice = random.Random(59)
    whole: dict[str, bytes] = {}  # bodies of the whole answers with no length, by trace id

    async def answer(host: Host, message: Message, writer: asyncio.StreamWriter) -> bool:
        if not case.trouble or dice.random() >= NO_LENGTH_SHARE:
            return await host.answer_whole(message, writer)
        writer.write(f"HTTP/1.1 200 OK\r\n{host.load_report()}\r\nConnection: close\r\n\r\n".encode())
        writer.write(own_body(host, message))
        writer.write_eof()  # everything is written before the end of the stream: no reset
        await writer.drain()
        await asyncio.sleep(0.5)
        whole[message.headers["x-trace-id"]] = own_body(host, message)
        case.record.add(f"host {host.name} has answered {message.headers['x-trace-id']} with no length")
        return False

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
    await asyncio.sleep(1.0)
    answered = [request for request in requests if request.trace_id in whole]
    forwarded = [r for r in answered if r.status == 200 and r.body == whole[r.trace_id]]
    lost = [r for r in answered if r.class_name == "entry-register" and r.status != 200]
    case.record.say(f"{len(requests)} requests, {sum(r.status == 200 for r in requests)} served")
    case.record.say(f"{len(answered)} answers with no length came whole; {len(forwarded)} were forwarded")
    case.record.say(
        f"{len(lost)} entry-register ran once and were answered whole, but the client got "
        f"{sorted({r.status for r in lost})}"
    )
    return len(forwarded) >= LEAST_FORWARDED_SHARE * len(answered)


if __name__ == "__main__":
    main(__file__, play)
