"""Runs a case: the exit code, the time limit, the temporary folder and the end of all processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.stand_ins_2.proxy import ProxyProcess
from review.stand_ins_2.record import Record

TIME_LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 11, 2  # run.sh makes 1 of 11; Python itself ends with 1 after an error


class Case:
    """One run of a case.

    Attributes:
        trouble: whether the disruption is played (`TROUBLE=0` leaves it out).
        folder: a temporary folder.
        proxies: the client proxies; all are ended after the run.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.proxies: list[ProxyProcess] = []


def main(script: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: `BROKEN`, `HELD` or `COULD_NOT_RUN`."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder))
        code = asyncio.run(_play(case, play))
        for proxy in case.proxies:
            for line in proxy.log_lines():
                case.record.add(f"log of {proxy.name}: {line}")
    case.record.write(Path(script).resolve().parent / "record.txt")
    sys.exit(code)


async def _play(case: Case, play: Callable[[Case], Awaitable[bool]]) -> int:
    task = asyncio.current_task()
    if task is not None:  # the processes of a case that is told to end are ended, too
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    case.record.say("with the disruption" if case.trouble else "without the disruption")
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            return _code(case, await play(case))
    except (Exception, asyncio.CancelledError):  # noqa: BLE001 - whatever fails, the case couldn't run
        case.record.say(f"the case couldn't run: {traceback.format_exc()}")
        return COULD_NOT_RUN
    finally:
        for proxy in case.proxies:
            await proxy.end()


def _code(case: Case, held: bool) -> int:
    ended = [f"{proxy.name} with {proxy.exit_code}" for proxy in case.proxies if proxy.exit_code is not None]
    if ended:
        case.record.say(f"the rule was broken: ended {', '.join(ended)}")
        return BROKEN
    case.record.say("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
