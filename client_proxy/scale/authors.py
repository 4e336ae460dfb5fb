"""Process of the authors, who propose policy changes to control machines, as `client-proxy policy` does.

An author reads the newest policy, changes the weight of one server of its own service and proposes the result
through the control socket. If another author's change was decided first, it tries again from the newest
policy."""

from __future__ import annotations

import asyncio
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from client_proxy.cli.control import ask
from client_proxy.fault_injection.helper import Json, Order, serve
from client_proxy.scale.files import VERSIONS_FOLDER, change_policy

POLL_INTERVAL_S = 0.05  # time between two queries for the result of a proposal
RESULT_TIMEOUT_S = 30.0  # time that an author waits for the result of one proposal
FIRST_BACKOFF_S = 0.1  # mean pause before the second try; doubled after each further try
MAX_BACKOFF_S = 2.0  # upper bound of the mean pause between two tries
MAX_TRIES = 20  # proposals that an author makes for one change, at most


@dataclass
class Try:
    """One proposal and its result.

    `what` is the change result as the control machine reports it, or `not taken`, `no answer` or `unknown`;
    `why` is the reason for it. `asked_s` and `ended_s` are monotonic seconds."""

    asked_s: float
    ended_s: float
    what: str
    why: str = ""
    version: int = 0


@dataclass
class Change:
    """A change of the policy by one author, with all of its tries. `by` names the control machine."""

    name: str
    author: int
    service: int
    by: str
    tries: list[Try] = field(default_factory=list)
    done: bool = False


class Author:
    """Proposes one change at one control machine until it is decided or refused."""

    def __init__(
        self, change: Change, control: Path, home: Path, folder: Path, number: int, until_s: float
    ) -> None:
        """`control` and `home` are the control socket and the folder of the control machine.

        The proposed files are written to `folder`. `number` picks the new weight. No try begins after
        `until_s` (monotonic seconds)."""
        self._change, self._control, self._home, self._folder = change, control, home, folder
        self._number, self._until_s = number, until_s
        self._random = Random(f"{change.name}/{number}")

    async def make_change(self) -> None:
        try:
            for attempt_number in range(MAX_TRIES):
                attempt = await self._propose_newest(attempt_number)
                self._change.tries.append(attempt)
                if attempt.what in ("decided", "refused") or time.monotonic() > self._until_s:
                    return
                pause_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt_number)
                await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))
        finally:
            self._change.done = True

    async def _request(self, **fields: Any) -> Json:
        return await asyncio.to_thread(ask, self._control, fields)

    async def _propose_newest(self, attempt_number: int) -> Try:
        asked_s = time.monotonic()
        try:
            status = (await self._request(do="status"))["agreement"]
            body = self._home / VERSIONS_FOLDER / f"body-{status['digest']}"
            newest = body.read_text()
            text = change_policy(newest, self._change.service, self._number)
            if text == newest:
                # An earlier try was given up, but an acceptor that had voted for it has completed it.
                return Try(asked_s, time.monotonic(), "decided", "by a seat", status["newest"])
            file = self._folder / f"{self._change.name}-{attempt_number}.toml"
            file.write_text(text)
            name = f"{self._change.name}-{attempt_number}"
            answer = await self._request(do="propose", file=str(file), after=status["newest"], change=name)
            if not answer["ok"]:
                return Try(asked_s, time.monotonic(), "not taken", answer["why"])
            return await self._await_result(asked_s, name)
        except (OSError, ValueError) as error:
            return Try(asked_s, time.monotonic(), "no answer", str(error))

    async def _await_result(self, asked_s: float, name: str) -> Try:
        end_s = time.monotonic() + RESULT_TIMEOUT_S
        while time.monotonic() < end_s:
            changes = (await self._request(do="status"))["agreement"]["changes"]
            found = next((each for each in changes if each["change"] == name), None)
            if found is not None:
                why = "; ".join(f"{who}: {why}" for who, why in found["refused"].items())
                return Try(asked_s, time.monotonic(), found["what"], why, found["version"])
            await asyncio.sleep(POLL_INTERVAL_S)
        return Try(asked_s, time.monotonic(), "unknown", f"not ended after {RESULT_TIMEOUT_S:g} s")


def orders() -> dict[str, Order]:
    changes: list[Change] = []
    tasks: set[asyncio.Task[None]] = set()

    async def begin_change(order: Json) -> None:
        """Starts one change in the background.

        `by`, `control` and `home` are the name, the control socket and the folder of the control machine. No
        try begins after `until_s` (monotonic seconds)."""
        change = Change(order["name"], order["author"], order["service"], order["by"])
        changes.append(change)
        control, home, folder = (Path(order[key]) for key in ("control", "home", "folder"))
        author = Author(change, control, home, folder, len(changes), order["until_s"])
        task = asyncio.get_running_loop().create_task(author.make_change())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def report(order: Json) -> Json:
        return {"changes": [asdict(each) for each in changes], "cpu_s": time.process_time()}

    return {"change": begin_change, "look": report}


if __name__ == "__main__":
    serve(orders)
