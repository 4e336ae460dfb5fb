"""A clock that does not wait, and event loops on it: one scheduler, a loop for each machine.

The scheduler runs everything that is ready at one instant, then sets the clock to the next timer. Every
machine (a daemon, or the simulation round it) has an event loop of its own, so that it can be killed
outright: what its loop had still to run is never run, as after SIGKILL. All of it is in one thread and goes
by the order of calls, so the same start gives the same run, to the last event.
"""

from __future__ import annotations

import asyncio
import heapq
import logging
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, TypeVar, cast

from client_proxy.emulator.errors import SchedulerStuckError

log = logging.getLogger(__name__)
T = TypeVar("T")

START_S = 1000.0  # no virtual clock begins at zero: a zero that stands for "never" would hide there


class Scheduler:
    """The clock, and whatever is to run on it."""

    def __init__(self) -> None:
        self.now_s = START_S
        self._ready: deque[tuple[VirtualLoop, asyncio.Handle]] = deque()
        self._timers: list[tuple[float, int, VirtualLoop, asyncio.TimerHandle]] = []
        self._count = 0
        self.executed_callbacks = 0  # callbacks so far

    def time(self) -> float:
        """Return the time in seconds."""
        return self.now_s

    def soon(self, loop: VirtualLoop, handle: asyncio.Handle) -> None:
        """Run a callback in the next turn."""
        self._ready.append((loop, handle))

    def at(self, when_s: float, loop: VirtualLoop, handle: asyncio.TimerHandle) -> None:
        """Run a callback at a time."""
        self._count += 1  # timers of one instant fire in the order of their setting
        heapq.heappush(self._timers, (when_s, self._count, loop, handle))

    def turn(self, until_s: float = float("inf")) -> bool:
        """Run what is ready, or what is due next. False if nothing is, up to `until_s`."""
        if not self._ready:
            while self._timers and (self._timers[0][3].cancelled() or self._timers[0][2].dead):
                heapq.heappop(self._timers)
            if not self._timers or self._timers[0][0] > until_s:
                return False
            self.now_s = max(self.now_s, self._timers[0][0])
            while self._timers and self._timers[0][0] <= self.now_s:
                _, _, loop, timer = heapq.heappop(self._timers)
                if not timer.cancelled():
                    self._ready.append((loop, timer))
        # As in any event loop, what becomes ready meanwhile is for the next turn.
        for _ in range(len(self._ready)):
            loop, handle = self._ready.popleft()
            if loop.dead or handle.cancelled():
                continue
            self.executed_callbacks += 1
            events._set_running_loop(loop)
            try:
                handle._run()
            finally:
                events._set_running_loop(None)
        return True

    def run(self, loop: VirtualLoop, main: Coroutine[Any, Any, T], most_s: float = float("inf")) -> T:
        """Run until `main`, a coroutine of `loop`, is done. Raises Stuck if it can't come to that, or has
        not within `most_s` virtual seconds."""
        task = loop.create_task(main)
        until_s = self.now_s + most_s
        while not task.done():
            if not self.turn(until_s):
                task.cancel()
                while self.turn(self.now_s):
                    pass
                raise SchedulerStuckError(f"nothing left to run at {self.now_s - START_S:.3f} s")
        result: T = task.result()
        return result

    def run_for(self, span_s: float) -> None:
        """Run everything for a span of virtual time."""
        until_s = self.now_s + span_s
        while self.turn(until_s):
            pass
        self.now_s = until_s

    def new_loop(self, name: str) -> VirtualLoop:
        """Return a loop for one machine."""
        return VirtualLoop(self, name)  # type: ignore[abstract]


class VirtualLoop(asyncio.AbstractEventLoop):
    """One machine's event loop. It offers what the daemon and the emulator use, and nothing else: another
    call raises NotImplementedError, so nothing slips past the clock unseen."""

    def __init__(self, scheduler: Scheduler, name: str) -> None:
        self.scheduler = scheduler
        self.name = name
        self.dead = False
        self.network: Any = None  # set by the network that the machine is on
        self.failures: list[str] = []  # what nobody caught

    def kill(self) -> None:
        """As SIGKILL: nothing of it runs any more."""
        self.dead = True

    # Time and callbacks

    def time(self) -> float:
        """Return the scheduler's time."""
        return self.scheduler.now_s

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback in the next turn."""
        handle = asyncio.Handle(callback, args, self, context)
        self.scheduler.soon(self, handle)
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback after a delay."""
        return self.call_at(self.time() + max(0.0, delay), callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a time."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.scheduler.at(when, self, handle)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass  # dropped when it comes up

    def create_future(self) -> asyncio.Future[Any]:
        """Return a new future."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, **named: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task."""
        return asyncio.Task(coro, loop=self, **named)

    # What asyncio asks of its loop

    def get_debug(self) -> bool:
        """Return that debugging is off."""
        return False

    def is_running(self) -> bool:
        """Return whether the machine runs."""
        return not self.dead

    def is_closed(self) -> bool:
        """Return whether the machine was killed."""
        return self.dead

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record and log an exception that nobody caught."""
        if self.dead:
            return  # what a killed machine leaves behind is nobody's failure
        error = context.get("exception")
        self.failures.append(f"{context.get('message')}: {error!r}")
        log.error("%s: %s", self.name, context.get("message"), exc_info=error)

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Record and log an exception that nobody caught."""
        self.call_exception_handler(context)

    # Sockets, all of them the network's

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, **_: Any
    ) -> asyncio.Server:
        """Listen on the network."""
        return cast(asyncio.Server, self.network.listen(self, protocol_factory, (host, port)))

    async def create_connection(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        **_: Any,
    ) -> tuple[Any, Any]:
        """Connect over the network, or take a connected socket."""
        if sock is None:
            sock = self.network.socket(0)
            await self.sock_connect(sock, (host, port))
        protocol = protocol_factory()
        transport = sock.attach(self, protocol)
        # As in asyncio, it returns once the protocol has been told of its connection.
        made = self.create_future()

        def told() -> None:
            if not made.done():
                made.set_result(None)

        self.call_soon(told)
        try:
            await made
        except asyncio.CancelledError:
            transport.close()
            raise
        return transport, protocol

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a socket over the network."""
        await self.network.connect(self, sock, (address[0], address[1]))
