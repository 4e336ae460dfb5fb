"""Connection slots: never more taken than the limit, none lost, and granted in FIFO order."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.proxy.connection_slots import ConnectionSlots

OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["take", "back", "closing", "cancel", "turn"]), st.integers(0, 20)),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(st.integers(1, 4), OPERATIONS)
def test_no_slot_is_lost_or_given_twice(limit: int, operations: list[tuple[str, int]]) -> None:
    async def test() -> None:
        slots = ConnectionSlots(limit)
        waiters: list[asyncio.Task[None]] = []
        acquired_at_once = 0  # slots acquired without waiting
        announced = 0

        def taken_count() -> int:
            return acquired_at_once + sum(waiter.done() and not waiter.cancelled() for waiter in waiters)

        for what, number in operations:
            if what == "take":
                if slots.try_acquire():
                    acquired_at_once += 1
                else:
                    waiters.append(asyncio.create_task(slots.acquire()))
            elif what == "closing" and announced < taken_count():
                announced += 1
                slots.announce_release()
            elif what == "back" and taken_count():
                if acquired_at_once:
                    acquired_at_once -= 1
                else:
                    waiters.remove(
                        next(waiter for waiter in waiters if waiter.done() and not waiter.cancelled())
                    )
                slots.release(announced > 0)
                announced -= announced > 0
            elif what == "cancel" and waiters:
                waiters[number % len(waiters)].cancel()
            elif what == "turn":
                await asyncio.sleep(0)
            assert 0 <= slots.in_use <= limit
        for _ in range(3):
            await asyncio.sleep(0)
        assert slots.in_use == taken_count() <= limit
        # Waiters remain only if all slots are taken.
        assert slots.full or all(waiter.done() for waiter in waiters)
        for waiter in waiters:
            waiter.cancel()
        await asyncio.gather(*waiters, return_exceptions=True)

    asyncio.run(test())


def test_slots_are_granted_in_fifo_order_within_a_lowered_limit() -> None:
    async def test() -> None:
        slots, order = ConnectionSlots(2), []

        async def acquire_slot(name: str) -> None:
            await slots.acquire()
            order.append(name)

        assert slots.try_acquire()
        assert slots.try_acquire()
        assert not slots.try_acquire()
        tasks = [asyncio.create_task(acquire_slot(name)) for name in "abc"]
        await asyncio.sleep(0)
        slots.announce_release()
        assert not slots.release_expected  # one release is announced, for three waiters
        slots.release(announced=True)
        await asyncio.sleep(0)
        assert order == ["a"]
        assert slots.in_use == 2
        slots.limit = 1
        slots.release()
        await asyncio.sleep(0)
        assert order == ["a"]
        assert slots.in_use == 1
        slots.release()
        await asyncio.sleep(0)
        assert order == ["a", "b"]
        assert slots.in_use == 1
        tasks[2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        slots.release()
        assert slots.in_use == 0

    asyncio.run(test())
