"""A virtual clock and the event loops on it: one scheduler, and one event loop for each simulated machine.

The scheduler runs all callbacks that are ready, then sets the clock to the next timer instead of waiting for
it. Each machine (a daemon, or the simulation around the daemons) has an event loop of its own, so that it can
be killed: callbacks left on its loop are never run, as after SIGKILL. Everything runs in one thread, in the
order in which callbacks were scheduled, so a run is deterministic down to the last event.
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

START_S = 1000.0  # seconds; not 0, so that simulations reveal code in which the time 0 stands for "never"


class Scheduler:
    """The virtual clock, with the callbacks and timers of all loops on it."""

    def __init__(self) -> None:
        self.now_s = START_S
        self._ready: deque[tuple[VirtualLoop, asyncio.Handle]] = deque()
        self._timers: list[tuple[float, int, VirtualLoop, asyncio.TimerHandle]] = []  # a heap
        self._timer_count = 0
        self.executed_callbacks = 0  # number of callbacks run so far, on all loops

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    def schedule_soon(self, loop: VirtualLoop, handle: asyncio.Handle) -> None:
        """Schedule a callback of a loop for the next turn."""
        self._ready.append((loop, handle))

    def schedule_at(self, when_s: float, loop: VirtualLoop, handle: asyncio.TimerHandle) -> None:
        """Schedule a callback of a loop for a time."""
        self._timer_count += 1  # timers of the same time fire in the order in which they were set
        heapq.heappush(self._timers, (when_s, self._timer_count, loop, handle))

    def run_turn(self, until_s: float = float("inf")) -> bool:
        """Run the callbacks that are ready; if none is, set the clock to the next timer and run what is due.

        Returns:
            False if no callback is ready and no timer is due up to `until_s`, True otherwise.
        """
        if not self._ready:
            while self._timers and (self._timers[0][3].cancelled() or self._timers[0][2].killed):
                heapq.heappop(self._timers)
            if not self._timers or self._timers[0][0] > until_s:
                return False
            self.now_s = max(self.now_s, self._timers[0][0])
            while self._timers and self._timers[0][0] <= self.now_s:
                _, _, loop, timer = heapq.heappop(self._timers)
                if not timer.cancelled():
                    self._ready.append((loop, timer))
        # As in any event loop, callbacks that become ready during this turn run in the next one.
        for _ in range(len(self._ready)):
            loop, handle = self._ready.popleft()
            if loop.killed or handle.cancelled():
                continue
            self.executed_callbacks += 1
            events._set_running_loop(loop)
            try:
                handle._run()
            finally:
                events._set_running_loop(None)
        return True

    def run(self, loop: VirtualLoop, main: Coroutine[Any, Any, T], timeout_s: float = float("inf")) -> T:
        """Run `main` as a task of `loop` until it is done, and return its result.

        Raises:
            SchedulerStuckError: nothing was left to run before `main` was done, or it was not done within
                `timeout_s` seconds of virtual time.
        """
        task = loop.create_task(main)
        until_s = self.now_s + timeout_s
        while not task.done():
            if not self.run_turn(until_s):
                task.cancel()
                while self.run_turn(self.now_s):
                    pass
                raise SchedulerStuckError(
                    f"nothing is left to run at {self.now_s - START_S:.3f} s of virtual time"
                )
        result: T = task.result()
        return result

    def run_for(self, span_s: float) -> None:
        """Run all loops for a span of virtual time, in seconds."""
        until_s = self.now_s + span_s
        while self.run_turn(until_s):
            pass
        self.now_s = until_s

    def new_loop(self, name: str) -> VirtualLoop:
        """Return a new loop, for one machine of this name."""
        return VirtualLoop(self, name)  # type: ignore[abstract]


class VirtualLoop(asyncio.AbstractEventLoop):
    """The event loop of one simulated machine.

    It has the methods that the daemon and the emulator use. All others raise NotImplementedError, so that no
    call can use the real clock or real I/O unnoticed.

    Attributes:
        name: the machine's name, for log lines.
        killed: whether the machine was killed.
        network: the network that the machine is on; the network sets it.
        failures: exceptions that nobody caught.
    """

    def __init__(self, scheduler: Scheduler, name: str) -> None:
        self.scheduler = scheduler
        self.name = name
        self.killed = False
        self.network: Any = None
        self.failures: list[str] = []

    def kill(self) -> None:
        """Kill the machine as by SIGKILL: no callback of its loop runs any more."""
        self.killed = True

    # Time and callbacks

    def time(self) -> float:
        """Return the scheduler's time."""
        return self.scheduler.now_s

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for the next turn."""
        handle = asyncio.Handle(callback, args, self, context)
        self.scheduler.schedule_soon(self, handle)
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay in seconds."""
        return self.call_at(self.time() + max(0.0, delay), callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time in seconds."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.scheduler.schedule_at(when, self, handle)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass  # the scheduler drops cancelled timers when they become due

    def create_future(self) -> asyncio.Future[Any]:
        """Return a new future."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, **options: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task."""
        return asyncio.Task(coro, loop=self, **options)

    # State and error handling, which asyncio calls

    def get_debug(self) -> bool:
        """Return that debugging is off."""
        return False

    def is_running(self) -> bool:
        """Return whether the machine has not been killed."""
        return not self.killed

    def is_closed(self) -> bool:
        """Return whether the machine was killed."""
        return self.killed

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record and log an exception that nobody caught."""
        if self.killed:
            return  # tasks that a killed machine leaves unfinished are no failures
        error = context.get("exception")
        self.failures.append(f"{context.get('message')}: {error!r}")
        log.error("%s: %s", self.name, context.get("message"), exc_info=error)

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Record and log an exception that nobody caught."""
        self.call_exception_handler(context)

    # Sockets, which the network in memory provides

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
        """Connect over the network, or use `sock`, which is connected already."""
        if sock is None:
            sock = self.network.socket(0)
            await self.sock_connect(sock, (host, port))
        protocol = protocol_factory()
        transport = sock.attach(self, protocol)
        # As in asyncio, return only after the protocol's `connection_made` has been called.
        connected = self.create_future()

        def set_connected() -> None:
            if not connected.done():
                connected.set_result(None)

        self.call_soon(set_connected)
        try:
            await connected
        except asyncio.CancelledError:
            transport.close()
            raise
        return transport, protocol

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a socket over the network."""
        await self.network.connect(self, sock, (address[0], address[1]))
